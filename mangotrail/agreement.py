"""Replicated log with elections, membership changes and leader authority.

The algorithm is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote,
vote refusal while a leader is heard, learners, changes of one voter at a time
and leadership transfer as in Ongaro's thesis. Nothing here reads a clock or
does input or output: the driver passes the time in and carries out `Effects`.
"""

from collections import Counter
from collections.abc import Mapping
from math import inf
from random import Random

import msgspec

from mangotrail._effects import (
    Effects,
    Outgoing,
    Role,
    Snapshot,
    SnapshotPart,
    Timing,
)
from mangotrail._incoming import (
    IncomingSnapshot,
    config_refusal,
    is_well_formed,
)
from mangotrail._log import Log
from mangotrail._peer import (
    Append,
    AppendReply,
    EntryKind,
    GroupConfig,
    GroupMember,
    HardState,
    Join,
    LogEntry,
    PeerMessage,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from mangotrail._replication import Replication
from mangotrail._writes import Writes
from mangotrail.errors import (
    MembershipError,
    NotLeaderError,
    UnavailableError,
)
from mangotrail.ids import InstanceId, MemberId

NOBODY = MemberId('')
EVERY_INSTANCE = InstanceId('')
SNAPSHOT_ENTRIES = 1000
SNAPSHOT_BYTES = 4_000_000
# Bounds the memory of a leader that cannot commit.
UNCOMMITTED_ENTRIES = 2048
JOIN_PERIOD_S = 1.0
JOIN_EXPIRY_S = 5.0


class Agreement:
    """One member of the group.

    :param member: id of this member; a new data folder needs a new id.
    :param instance: instance that runs this member.
    :param log: durable entries that follow the snapshot.
    :param hard_state: durable term and vote.
    :param config: configuration before the first entry: the founding voters
        on a founding member, no members on any other.
    :param seed: seed of the election timeouts; differs between members.
    :param snapshot: place of the durable snapshot, if there is one; the
        driver has restored its state.
    :param can_vote: False on an instance without a disk.
    :raises ValueError: if the log does not follow the snapshot.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        instance: InstanceId,
        log: tuple[LogEntry, ...],
        hard_state: HardState,
        config: GroupConfig,
        seed: int,
        snapshot: SnapshotMeta | None = None,
        timing: Timing | None = None,
        can_vote: bool = True,
    ) -> None:
        self.member = member
        self.instance = instance
        self.timing = timing or Timing()
        self.can_vote = can_vote
        self.random = Random(seed)
        self.counters: Counter[str] = Counter()

        self.snapshot = snapshot
        base = snapshot or SnapshotMeta(index=0, term=0, config=config)
        self.log = Log(base=base, entries=log)
        self.term = max(hard_state.term, self.log.last_term)
        self.voted_for = (
            hard_state.voted_for if hard_state.term == self.term else NOBODY
        )
        self.commit = base.index
        self.snapshot_asked = base.index

        self.role = Role.FOLLOWER
        self.leader = NOBODY
        # None until the first call. Then it is set as if a leader had just
        # been heard, because a restart forgets whether one was.
        self.heard_s: float | None = None
        self.deadline_s = inf
        self.join_sent_s = -inf
        self.votes: set[MemberId] = set()
        self.pre_vote = False
        # The log agrees with the leader of the term up to here.
        self.verified = base.index
        self.incoming: IncomingSnapshot | None = None
        self.leader_instance = EVERY_INSTANCE
        # Newest sending time heard from the leader of the term.
        self.probe_s = -inf

        self.replication: Replication | None = None
        self.no_op_index = 0
        self.joined: dict[InstanceId, tuple[MemberId, float]] = {}
        self.transfer_to = NOBODY
        self.transfer_until_s = inf
        self.transfer_sent = False

        self.writes = Writes(last_index=self.log.last_index)
        self.install: Snapshot | None = None
        self.outbox: list[Outgoing] = []
        self.withheld: list[Outgoing] = []
        self.delivered_index = base.index
        self.delivered_bytes = 0

    # Questions of the driver.

    @property
    def config(self) -> GroupConfig:
        """Newest configuration in the log, committed or not."""
        return self.log.config

    @property
    def members(self) -> frozenset[MemberId]:
        """Voters and learners of the newest configuration."""
        return frozenset(
            named.member
            for named in (*self.config.voters, *self.config.learners)
        )

    @property
    def is_voter(self) -> bool:
        """Whether this member counts in the newest configuration."""
        return any(voter.member == self.member for voter in self.config.voters)

    @property
    def may_campaign(self) -> bool:
        """Whether this member may become leader.

        A member whose removal is not known to be committed still may: it can
        be the only one with a log that is long enough to win.
        """
        configs = [
            config for index, config in self.log.configs if index > self.commit
        ]
        return self.can_vote and any(
            voter.member == self.member
            for config in (*configs, self.log.config_at(self.commit))
            for voter in config.voters
        )

    @property
    def is_member(self) -> bool:
        """Whether the newest configuration names this member."""
        return self.member in self.members

    @property
    def wake_s(self) -> float:
        """Time at which the next ``tick`` is due."""
        if self.replication is not None:
            return min(self.replication.next_due_s(), self.transfer_until_s)
        return self.deadline_s

    def has_authority(self, now_s: float) -> bool:
        """Whether no other member can have been elected up to now.

        Also requires that an entry of the own term is committed, so that the
        applied state holds every entry committed by earlier leaders.
        """
        lead = self.replication
        return (
            lead is not None
            and not self.transfer_sent
            and self.commit >= self.no_op_index
            and now_s - lead.contact_s(now_s) < self.timing.authority_s
        )

    def caught_up(self, now_s: float) -> frozenset[MemberId]:
        """Return the members that answer and hold almost the whole log.

        :return: empty unless this member leads.
        """
        if self.replication is None:
            return frozenset()
        return self.replication.caught_up(self.commit, now_s)

    def joining(self, now_s: float) -> Mapping[InstanceId, MemberId]:
        """Return the members outside the group that recently asked to join."""
        return {
            instance: member
            for instance, (member, asked_s) in self.joined.items()
            if now_s - asked_s < JOIN_EXPIRY_S and member not in self.members
        }

    @staticmethod
    def fill_chunk(chunk: Outgoing, part: SnapshotPart) -> Outgoing:
        """Return a chunk of ``Effects.chunks`` with its bytes filled in."""
        message = msgspec.structs.replace(
            chunk.message,
            body=part.body,
            total=part.total,
            checksum=part.checksum,
        )
        return msgspec.structs.replace(chunk, message=message)

    # Calls that change the state.

    def tick(self, now_s: float) -> Effects:
        """Do what time requires; also sends what was proposed."""
        self.start_clock(now_s)
        if self.role is Role.LEADER:
            self.tick_leader(now_s)
        elif self.role is not Role.STOPPED:
            self.tick_follower(now_s)
        return self.flush(now_s)

    def receive(self, message: PeerMessage, now_s: float) -> Effects:
        """Take in a message of a peer; what cannot be used is counted."""
        self.start_clock(now_s)
        if self.role is Role.STOPPED:
            self.counters['stopped'] += 1
        elif message.to not in {self.member, NOBODY}:
            self.counters['unknown_member'] += 1
        elif message.sender in {self.member, NOBODY}:
            self.counters['malformed'] += 1
        else:
            self.dispatch(message, now_s)
        return self.flush(now_s)

    def propose(self, payload: bytes, now_s: float) -> tuple[int, int]:
        """Append a command; the next ``tick`` sends all that was proposed.

        :return: index and term; the command is committed when an entry with
            both is, and lost when the index is committed in another term.
        :raises NotLeaderError: if this member does not lead.
        :raises UnavailableError: if too many entries wait to be committed.
        """
        self.check_leading()
        if self.log.last_index - self.commit >= UNCOMMITTED_ENTRIES:
            raise UnavailableError(
                'too many log entries wait to be committed',
                value=self.log.last_index - self.commit,
                allowed=f'under {UNCOMMITTED_ENTRIES}',
                remedy='retry when a majority of the voters answers',
            )
        return self.append(EntryKind.COMMAND, payload)

    def propose_config(
        self, config: GroupConfig, now_s: float
    ) -> tuple[int, int]:
        """Append a configuration that differs in one voter at most.

        :raises NotLeaderError: if this member does not lead.
        :raises MembershipError: if the change is not safe now.
        """
        self.check_leading()
        reason = self.config_refusal(config, now_s)
        if reason:
            raise MembershipError(
                reason,
                field='voters',
                value=[voter.member for voter in config.voters],
                remedy='propose the change again later',
            )
        payload = msgspec.msgpack.encode(config)
        return self.append(EntryKind.CONFIG, payload)

    def transfer(self, now_s: float, *, target: MemberId = NOBODY) -> Effects:
        """Hand leadership to a voter; proposals are refused meanwhile.

        :param target: the voter; by default the most advanced one.
        :raises NotLeaderError: if this member does not lead.
        :raises MembershipError: if no such voter answers.
        """
        self.start_clock(now_s)
        self.check_leading()
        if not self.start_transfer(now_s, target):
            raise MembershipError(
                'no voter can take over the leadership',
                field='target',
                value=target,
                remedy='retry when the voter answers',
            )
        return self.flush(now_s)

    def synced(self, write: int, now_s: float) -> Effects:
        """Note that everything up to a write is durable.

        :param write: ``Effects.write`` of the newest effects whose entries,
            hard state and snapshot are durable.
        """
        self.start_clock(now_s)
        if self.role is Role.STOPPED:
            return self.flush(now_s)
        grew = self.writes.finish(write)
        self.count_own_vote(now_s)
        if grew and self.role is Role.FOLLOWER and self.leader:
            self.acknowledge()
        return self.flush(now_s)

    def compact(self, meta: SnapshotMeta) -> None:
        """Drop entries that a durable snapshot covers.

        :param meta: ``Effects.snapshot_due`` of the snapshot.
        """
        if self.snapshot is None or meta.index > self.snapshot.index:
            self.snapshot = meta
            self.log.compact(meta.index)

    def stop(self, now_s: float) -> Effects:
        """Give up voting and leading for good, after a storage failure.

        The driver builds a new agreement from the reopened journal to come
        back. Until then nothing is acknowledged, because it might be lost.
        """
        self.start_clock(now_s)
        self.step_down(now_s)
        self.role = Role.STOPPED
        self.leader = NOBODY
        self.outbox.clear()
        self.withheld.clear()
        return self.flush(now_s)

    # Time.

    def start_clock(self, now_s: float) -> None:
        """Set the first deadline at the first call."""
        if self.heard_s is None:
            self.heard_s = now_s
            self.reset_deadline(now_s)
            if not self.is_member:
                self.deadline_s = now_s

    def reset_deadline(self, now_s: float) -> None:
        """Wait for a leader for a random time."""
        self.deadline_s = now_s + self.random.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )

    def heard_recently(self, now_s: float) -> bool:
        """Whether a leader may still hold authority through this member."""
        if self.replication is not None:
            heard_s = max(
                self.replication.elected_s, self.replication.contact_s(now_s)
            )
        else:
            heard_s = self.heard_s if self.heard_s is not None else now_s
        return now_s - heard_s < self.timing.election_min_s

    def tick_leader(self, now_s: float) -> None:
        """Step down without contact or after a transfer that failed."""
        lead = self.replication
        if lead is None:
            return
        contact_s = max(lead.elected_s, lead.contact_s(now_s))
        if now_s - contact_s > self.timing.election_max_s:
            self.step_down(now_s)
        elif now_s >= self.transfer_until_s:
            if self.transfer_sent:
                # The target may still use the permission it was given, so
                # the authority in this term is gone for good.
                self.step_down(now_s)
            else:
                self.transfer_to = NOBODY
                self.transfer_until_s = inf
        elif not self.is_voter and self.log.config_index <= self.commit:
            self.start_transfer(now_s, NOBODY)

    def tick_follower(self, now_s: float) -> None:
        """Campaign and ask to join when no leader is heard."""
        if now_s < self.deadline_s:
            return
        self.leader = NOBODY
        if self.may_campaign:
            self.campaign(now_s, pre_vote=True)
        else:
            self.deadline_s = now_s + JOIN_PERIOD_S
        # Also asked by a member that still counts itself in: its removal may
        # be in entries that it never received.
        if now_s - self.join_sent_s >= JOIN_PERIOD_S:
            self.join_sent_s = now_s
            self.send(
                EVERY_INSTANCE,
                Join(
                    to=NOBODY,
                    sender=self.member,
                    term=self.term,
                    instance=self.instance,
                ),
            )

    # Terms and elections.

    def step_down(self, now_s: float) -> None:
        """Follow, in the same term."""
        if self.role is Role.LEADER or self.leader == self.member:
            self.leader = NOBODY
        if self.role is not Role.FOLLOWER:
            self.reset_deadline(now_s)
        self.role = Role.FOLLOWER
        self.replication = None
        self.joined.clear()
        self.transfer_to = NOBODY
        self.transfer_until_s = inf
        self.transfer_sent = False
        self.votes.clear()

    def enter_term(self, term: int, now_s: float) -> None:
        """Follow in a later term, whose leader is not known yet."""
        self.step_down(now_s)
        self.term = term
        self.voted_for = NOBODY
        self.writes.hard_dirty = True
        self.leader = NOBODY
        # Every leader of a later term holds all committed entries.
        self.verified = self.commit
        self.incoming = None
        self.probe_s = -inf

    def campaign(
        self, now_s: float, *, pre_vote: bool, transfer: bool = False
    ) -> None:
        """Ask for votes.

        :param transfer: whether the leader handed over to this member.
        """
        if not pre_vote:
            self.enter_term(self.term + 1, now_s)
            self.voted_for = self.member
        self.role = Role.CANDIDATE
        self.leader = NOBODY
        self.pre_vote = pre_vote
        # The refusal times of the other voters have mostly passed, so a
        # retry need not wait for the full timeout again.
        self.deadline_s = now_s + self.timing.heartbeat_s * (
            1 + 1.5 * self.random.random()
        )
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
        """Count the vote for oneself once it is durable."""
        if (
            self.role is Role.CANDIDATE
            and not self.pre_vote
            and self.writes.hard_durable
        ):
            self.votes.add(self.member)
            self.count_votes(now_s)

    def count_votes(self, now_s: float) -> None:
        """Go on when a majority of the voters agreed."""
        voters = {voter.member for voter in self.config.voters}
        if len(self.votes & voters) * 2 <= len(voters):
            return
        if not self.pre_vote:
            self.lead(now_s)
        elif not self.heard_recently(now_s):
            self.campaign(now_s, pre_vote=False)

    def lead(self, now_s: float) -> None:
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
            now_s=now_s,
        )
        # Entries of earlier terms are committed only through an entry of
        # the own term (section 5.4.2 of the paper).
        self.no_op_index = self.append(EntryKind.NO_OP, b'')[0]

    # Messages.

    def dispatch(self, message: PeerMessage, now_s: float) -> None:
        """Hand a message to its handler."""
        match message:
            case VoteRequest():
                self.on_vote_request(message, now_s)
            case VoteReply():
                self.on_vote_reply(message, now_s)
            case Append():
                self.on_append(message, now_s)
            case SnapshotChunk():
                self.on_chunk(message, now_s)
            case AppendReply() | SnapshotReply():
                self.on_reply(message, now_s)
            case TransferLeadership():
                self.on_transfer(message, now_s)
            case Join():
                self.on_join(message, now_s)

    def on_vote_request(self, request: VoteRequest, now_s: float) -> None:
        """Grant a vote, a pre-vote, or refuse."""
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        refused = not self.can_vote or (
            self.heard_recently(now_s) and not request.transfer
        )
        if refused or request.term < self.term:
            self.counters['vote_refused'] += 1
            granted = False
        elif request.pre_vote:
            granted = up_to_date and request.term > self.term
        else:
            if request.term > self.term:
                self.enter_term(request.term, now_s)
            granted = up_to_date and self.voted_for in {NOBODY, request.sender}
            if granted and self.voted_for == NOBODY:
                self.voted_for = request.sender
                self.writes.hard_dirty = True
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

    def hear_leader(
        self, message: Append | SnapshotChunk, now_s: float
    ) -> bool:
        """Follow the sender; False if its term has passed."""
        if message.term < self.term:
            self.counters['outdated'] += 1
            self.reject(message, 0)
            return False
        if message.term > self.term:
            self.enter_term(message.term, now_s)
        if self.role is Role.LEADER:
            # Two leaders in a term: an identity was used twice.
            self.counters['second_leader'] += 1
            return False
        self.step_down(now_s)
        self.leader = message.sender
        self.heard_s = now_s
        self.leader_instance = message.instance
        self.probe_s = max(message.probe_s, self.probe_s)
        self.reset_deadline(now_s)
        return True

    def on_append(self, message: Append, now_s: float) -> None:
        """Take in entries or a heartbeat."""
        if not is_well_formed(message):
            self.counters['malformed'] += 1
            return
        if not self.hear_leader(message, now_s):
            return
        previous = message.previous_index
        held_term = self.log.term_at(previous)
        if previous >= self.commit and held_term != message.previous_term:
            hint = min(self.log.last_index, previous - 1)
            if held_term is not None:
                hint = self.log.first_of_term(previous) - 1
            self.reject(message, max(hint, self.commit))
            return
        for entry in message.entries:
            if entry.index <= self.commit:
                continue
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.writes.truncate(entry.index)
            self.log.append(entry)
        last = previous + len(message.entries)
        self.verified = max(self.verified, last)
        self.commit = max(self.commit, min(message.commit, last))
        self.acknowledge()

    def acknowledge(self) -> None:
        """Tell the leader how much of its log is durable here."""
        self.send(
            self.leader_instance,
            AppendReply(
                to=self.leader,
                sender=self.member,
                term=self.term,
                accepted=True,
                previous_index=0,
                match_index=min(self.verified, self.writes.durable_index),
                probe_s=self.probe_s,
            ),
        )

    def reject(self, message: Append | SnapshotChunk, hint: int) -> None:
        """Refuse a message and say up to where the log may match."""
        previous = (
            message.previous_index
            if isinstance(message, Append)
            else message.meta.index
        )
        self.send(
            message.instance,
            AppendReply(
                to=message.sender,
                sender=self.member,
                term=self.term,
                accepted=False,
                previous_index=previous,
                match_index=hint,
                probe_s=message.probe_s,
            ),
        )

    def on_chunk(self, chunk: SnapshotChunk, now_s: float) -> None:
        """Take in part of a snapshot."""
        if not self.hear_leader(chunk, now_s):
            return
        index = chunk.meta.index
        if index <= self.commit or self.log.term_at(index) == chunk.meta.term:
            # A late chunk must not drop entries that were acknowledged since.
            self.verified = max(self.verified, index)
            self.commit = max(self.commit, index)
            self.acknowledge()
            return
        if self.incoming is None or not self.incoming.matches(chunk):
            self.incoming = IncomingSnapshot(chunk)
        self.incoming.add(chunk)
        offset = len(self.incoming.body)
        if self.incoming.is_whole:
            if self.incoming.is_intact:
                self.replace_log(self.incoming)
                return
            self.counters['damaged_snapshot'] += 1
            self.incoming = None
            offset = 0
        self.send(
            chunk.instance,
            SnapshotReply(
                to=chunk.sender,
                sender=self.member,
                term=self.term,
                index=chunk.meta.index,
                offset=offset,
                probe_s=chunk.probe_s,
            ),
        )

    def replace_log(self, incoming: IncomingSnapshot) -> None:
        """Replace log and state; acknowledged when the snapshot is durable."""
        meta = incoming.meta
        self.incoming = None
        self.log = Log(base=meta)
        self.snapshot = meta
        self.install = Snapshot(meta=meta, body=bytes(incoming.body))
        self.writes.replace(meta.index)
        self.commit = meta.index
        self.verified = meta.index
        self.delivered_index = meta.index
        self.delivered_bytes = 0
        self.snapshot_asked = meta.index

    def on_reply(
        self, reply: AppendReply | SnapshotReply, now_s: float
    ) -> None:
        """Take in the answer of a peer to the leader."""
        lead = self.replication
        if reply.term > self.term:
            self.enter_term(reply.term, now_s)
        elif lead is None or reply.term < self.term:
            self.counters['outdated'] += 1
        elif isinstance(reply, AppendReply):
            lead.take_append_reply(reply, now_s)
        else:
            lead.take_snapshot_reply(reply, now_s)

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

    def on_join(self, message: Join, now_s: float) -> None:
        """Note that a member outside the group wants to become a learner."""
        if self.role is Role.LEADER and message.sender not in self.members:
            self.joined[message.instance] = (message.sender, now_s)

    # The leader's log.

    def check_leading(self) -> None:
        """Raise unless this member takes proposals."""
        if self.role is not Role.LEADER or self.transfer_to:
            raise NotLeaderError(
                'this member does not lead the group',
                field='leader',
                value=self.leader,
                remedy='send the request to the leader',
            )

    def append(self, kind: EntryKind, payload: bytes) -> tuple[int, int]:
        """Append an entry of the own term."""
        index = self.log.last_index + 1
        self.log.append(
            LogEntry(index=index, term=self.term, kind=kind, payload=payload)
        )
        return index, self.term

    def config_refusal(self, wanted: GroupConfig, now_s: float) -> str:
        """Return why a configuration must not be appended now, or nothing."""
        if self.commit < self.no_op_index:
            return 'no entry of the term is committed yet'
        if self.log.config_index > self.commit:
            return 'another change is not committed yet'
        return config_refusal(
            held=self.config,
            wanted=wanted,
            leader=self.member,
            caught_up=self.caught_up(now_s),
        )

    def advance_commit(self, lead: Replication) -> None:
        """Commit what a majority holds durably in the own term."""
        index = lead.match_index(self.writes.durable_index)
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index

    def hand_over(self, lead: Replication, now_s: float) -> None:
        """Tell the target of a transfer to campaign once it holds the log."""
        peer = lead.peers.get(self.transfer_to)
        if peer is None or self.transfer_sent:
            return
        if peer.match_index == self.log.last_index:
            self.transfer_sent = True
            self.transfer_until_s = now_s + self.timing.election_max_s
            self.send(
                peer.peer.instance,
                TransferLeadership(
                    to=self.transfer_to, sender=self.member, term=self.term
                ),
            )

    def start_transfer(self, now_s: float, target: MemberId) -> bool:
        """Choose who takes over; False if no such voter answers."""
        lead = self.replication
        if lead is None or self.transfer_to:
            return False
        recent = self.caught_up(now_s) & lead.voters - {self.member}
        candidates = [
            (lead.peers[member].match_index, member)
            for member in recent
            if target in {member, NOBODY}
        ]
        if not candidates:
            return False
        self.transfer_to = max(candidates)[1]
        self.transfer_until_s = now_s + self.timing.election_max_s
        return True

    # Effects.

    def send(self, instance: InstanceId, message: PeerMessage) -> None:
        """Queue a message."""
        self.outbox.append(Outgoing(instance=instance, message=message))

    def flush(self, now_s: float) -> Effects:
        """Return everything that is due and forget it."""
        lead = self.replication
        if lead is not None:
            lead.follow_config()
            self.advance_commit(lead)
            self.outbox.extend(
                lead.messages(
                    commit=self.commit, snapshot=self.snapshot, now_s=now_s
                )
            )
            self.hand_over(lead, now_s)

        hard_state = None
        entries: tuple[LogEntry, ...] = ()
        if self.role is not Role.STOPPED:
            if self.writes.hard_dirty:
                hard_state = HardState(term=self.term, voted_for=self.voted_for)
            first = self.writes.handed_index + 1
            entries = tuple(self.log.slice(first, self.log.last_index))
            self.writes.start(
                self.log.last_index,
                hard=hard_state is not None,
                install=self.install is not None,
            )
        install, self.install = self.install, None
        messages = self.releasable()
        committed = self.deliver()
        return Effects(
            messages=tuple(
                out
                for out in messages
                if not isinstance(out.message, SnapshotChunk)
            ),
            chunks=tuple(
                out
                for out in messages
                if isinstance(out.message, SnapshotChunk)
            ),
            write=self.writes.number,
            hard_state=hard_state,
            entries=entries,
            install=install,
            committed=committed,
            snapshot_due=self.snapshot_due(),
            role=self.role,
            term=self.term,
            leader=self.leader,
        )

    def releasable(self) -> list[Outgoing]:
        """Return the messages whose term and vote are durable."""
        # Messages of a term that has passed are of no use to anyone.
        self.withheld = [
            out
            for out in (*self.withheld, *self.outbox)
            if out.message.term >= self.term
        ]
        self.outbox.clear()
        if not self.writes.hard_durable:
            return []
        released = self.withheld
        self.withheld = []
        return released

    def deliver(self) -> tuple[LogEntry, ...]:
        """Return the committed entries that were not returned before."""
        if self.role is Role.STOPPED or self.commit <= self.delivered_index:
            return ()
        entries = tuple(self.log.slice(self.delivered_index + 1, self.commit))
        self.delivered_index = self.commit
        self.delivered_bytes += sum(len(entry.payload) for entry in entries)
        return entries

    def snapshot_due(self) -> SnapshotMeta | None:
        """Return the place of a snapshot when enough was delivered."""
        index = self.delivered_index
        if (
            index - self.snapshot_asked < SNAPSHOT_ENTRIES
            and self.delivered_bytes < SNAPSHOT_BYTES
        ):
            return None
        self.snapshot_asked = index
        self.delivered_bytes = 0
        return SnapshotMeta(
            index=index,
            term=self.log.term_at(index) or 0,
            config=self.log.config_at(index),
        )
