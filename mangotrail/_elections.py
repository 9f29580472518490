"""Elections with pre-vote and vote refusal."""

from math import inf

from mangotrail._effects import (
    Role,
)
from mangotrail._member import ALL_INSTANCES, NO_MEMBER, Member
from mangotrail._peer import (
    EntryKind,
    GroupMember,
    Join,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from mangotrail._replication import Replication

JOIN_PERIOD_S = 1.0


class Elections(Member):
    """Terms, votes and election timeouts."""

    def step_down(self, now_s: float) -> None:
        """Become a follower in the same term."""
        if self.role is Role.LEADER or self.leader == self.member:
            self.leader = NO_MEMBER
        if self.role is not Role.FOLLOWER:
            self.reset_deadline(now_s)
        self.role = Role.FOLLOWER
        self.replication = None
        self.join_requests.clear()
        self.transfer_member = NO_MEMBER
        self.transfer_deadline_s = inf
        self.transfer_sent = False
        self.votes.clear()

    def enter_term(self, term: int, now_s: float) -> None:
        """Become a follower in a later term with no known leader."""
        self.step_down(now_s)
        self.term = term
        self.voted_for = NO_MEMBER
        self.writes.hard_state_dirty = True
        self.leader = NO_MEMBER
        # Every leader of a later term holds all committed entries.
        self.verified_index = self.commit
        self.incoming = None
        self.probe_s = -inf

    def campaign(
        self, now_s: float, *, pre_vote: bool, transfer: bool = False
    ) -> None:
        """Start an election or a pre-vote.

        :param transfer: whether the leader transfers its role to this member.
        """
        if not pre_vote:
            self.enter_term(self.term + 1, now_s)
            self.voted_for = self.member
        self.role = Role.CANDIDATE
        self.leader = NO_MEMBER
        self.pre_vote = pre_vote
        # By now most voters no longer refuse votes because of a recent
        # leader, so a retry need not wait for a full election timeout.
        self.retry_delay_s = self.timing.heartbeat_s * (
            1 + 1.5 * self.random.random()
        )
        self.campaign_s = now_s
        if pre_vote:
            self.deadline_s = now_s + self.retry_delay_s
        else:
            # Until the vote of this member is durable; see count_own_vote.
            self.reset_deadline(now_s)
        self.votes = {self.member} if pre_vote else set()
        self.ask_for_votes(transfer=transfer)
        self.count_votes(now_s)

    def ask_for_votes(self, *, transfer: bool) -> None:
        """Send vote requests to the other voters."""
        for voter in self.config.voters:
            if voter.member != self.member:
                self.send(
                    voter.instance,
                    VoteRequest(
                        to=voter.member,
                        sender=self.member,
                        term=self.term + self.pre_vote,
                        instance=self.instance,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                        pre_vote=self.pre_vote,
                        transfer=transfer,
                    ),
                )

    def count_own_vote(self, now_s: float) -> None:
        """Count the vote of this member once it is durable."""
        if (
            self.role is Role.CANDIDATE
            and not self.pre_vote
            and self.writes.hard_state_durable
        ):
            # The disks of the other voters may be as slow as that of this
            # member, and another election would discard their votes.
            sync_s = now_s - self.campaign_s
            self.deadline_s = min(
                self.deadline_s, now_s + sync_s + self.retry_delay_s
            )
            self.votes.add(self.member)
            self.count_votes(now_s)

    def count_votes(self, now_s: float) -> None:
        """Proceed once a majority of the voters has granted its vote."""
        voters = {voter.member for voter in self.config.voters}
        if len(self.votes & voters) * 2 <= len(voters):
            return
        if not self.pre_vote:
            self.become_leader(now_s)
        elif not self.has_recent_leader(now_s):
            self.campaign(now_s, pre_vote=False)

    def become_leader(self, now_s: float) -> None:
        """Become the leader of the term."""
        self.role = Role.LEADER
        self.leader = self.member
        self.votes.clear()
        self.deadline_s = inf
        self.replication = Replication(
            own=GroupMember(member=self.member, instance=self.instance),
            term=self.term,
            log=self.log,
            timing=self.timing,
            counters=self.counters,
            now_s=now_s,
        )
        # Entries of earlier terms are committed only through an entry of
        # the current term (section 5.4.2 of the paper).
        self.no_op_index = self.append(EntryKind.NO_OP, b'')[0]

    def tick_follower(self, now_s: float) -> None:
        """Campaign and ask to join after an election timeout."""
        if now_s < self.deadline_s:
            return
        self.leader = NO_MEMBER
        if self.may_campaign:
            self.campaign(now_s, pre_vote=True)
        else:
            self.deadline_s = now_s + JOIN_PERIOD_S
        # Also sent by a member that its own log still lists: it may never
        # have received the entry that removed it.
        if now_s - self.join_sent_s >= JOIN_PERIOD_S:
            self.join_sent_s = now_s
            self.send(
                ALL_INSTANCES,
                Join(
                    to=NO_MEMBER,
                    sender=self.member,
                    term=self.term,
                    instance=self.instance,
                ),
            )

    def on_vote_request(self, request: VoteRequest, now_s: float) -> None:
        """Grant or refuse a vote or a pre-vote."""
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        refused = not self.can_vote or (
            self.has_recent_leader(now_s) and not request.transfer
        )
        if refused or request.term < self.term:
            self.counters['vote_refused'] += 1
            granted = False
        elif request.pre_vote:
            granted = up_to_date and request.term > self.term
        else:
            if request.term > self.term:
                self.enter_term(request.term, now_s)
            granted = up_to_date and self.voted_for in {
                NO_MEMBER,
                request.sender,
            }
            if granted and self.voted_for == NO_MEMBER:
                self.voted_for = request.sender
                self.writes.hard_state_dirty = True
                self.reset_deadline(now_s)
        self.send(
            request.instance,
            VoteReply(
                to=request.sender,
                sender=self.member,
                term=self.term,
                asked_term=request.term,
                pre_vote=request.pre_vote,
                granted=granted,
            ),
        )

    def on_vote_reply(self, reply: VoteReply, now_s: float) -> None:
        """Count a vote."""
        if reply.term > self.term:
            self.enter_term(reply.term, now_s)
        elif (
            self.role is not Role.CANDIDATE
            or reply.pre_vote != self.pre_vote
            or reply.asked_term != self.term + self.pre_vote
        ):
            self.counters['outdated'] += 1
        elif reply.granted:
            self.votes.add(reply.sender)
            self.count_votes(now_s)

    def on_transfer(self, message: TransferLeadership, now_s: float) -> None:
        """Campaign at once, because the leader gave up its authority."""
        if (
            message.term == self.term
            and message.sender == self.leader
            and self.may_campaign
        ):
            self.campaign(now_s, pre_vote=False, transfer=True)
        else:
            self.counters['outdated'] += 1
