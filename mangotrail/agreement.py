"""Replicated log with elections, membership changes and leader authority.

The algorithm is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote,
vote refusal while a leader is active, learners, changes of one voter at a time
and leadership transfer as in Ongaro's thesis. This module performs no I/O and
reads no clock: the driver passes the time in and executes the `Effects`.
"""

from collections.abc import Mapping
from math import inf

import msgspec

from mangotrail._effects import (
    Effects,
    Outgoing,
    Role,
    Snapshot,
    SnapshotPart,
    Timing,
)
from mangotrail._follower import Follower
from mangotrail._incoming import (
    config_refusal,
)
from mangotrail._member import NO_MEMBER
from mangotrail._peer import (
    Append,
    AppendReply,
    EntryKind,
    GroupConfig,
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
from mangotrail.errors import (
    MembershipError,
    NotLeaderError,
    UnavailableError,
)
from mangotrail.ids import InstanceId, MemberId

__all__ = (
    'Agreement',
    'Effects',
    'Outgoing',
    'Role',
    'Snapshot',
    'SnapshotPart',
    'Timing',
)

# Bounds the memory of a leader that cannot commit.
MAX_UNCOMMITTED_ENTRIES = 2048
JOIN_EXPIRY_S = 5.0


class Agreement(Follower):
    """One member of the group.

    :param member: id of this member; a new data folder needs a new id.
    :param instance: instance that runs this member.
    :param log: durable entries that follow the snapshot.
    :param hard_state: durable term and vote.
    :param config: configuration before the first entry: the founding voters
        on a founding member, no members on any other.
    :param seed: seed of the election timeouts; differs between members.
    :param snapshot: position of the durable snapshot, if there is one; the
        driver has already restored its state.
    :param can_vote: False on an instance without a disk.
    :param min_copies: members, this one included, on whose disks an entry is
        durable before it is committed, if the majority is smaller.
    :raises ValueError: if the log does not follow the snapshot.
    """

    @property
    def next_tick_s(self) -> float:
        """Time at which the next ``tick`` is due."""
        if self.replication is not None:
            return min(self.replication.next_due_s(), self.transfer_deadline_s)
        return self.deadline_s

    def has_authority(self, now_s: float) -> bool:
        """Whether no other member can have been elected up to now.

        Also requires that an entry of the current term is committed. The
        state then holds every entry committed by earlier leaders, if the
        driver has applied all effects returned so far.
        """
        replication = self.replication
        return (
            replication is not None
            and not self.transfer_sent
            and self.commit >= self.no_op_index
            and now_s - replication.quorum_contact_s(now_s)
            < self.timing.authority_s
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
            for instance, (member, asked_s) in self.join_requests.items()
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

    def tick(self, now_s: float) -> Effects:
        """Handle elapsed timers and send proposed entries."""
        self.init_timers(now_s)
        if self.role is Role.LEADER:
            self.tick_leader(now_s)
        elif self.role is not Role.STOPPED:
            self.tick_follower(now_s)
        return self.flush(now_s)

    def receive(self, message: PeerMessage, now_s: float) -> Effects:
        """Handle a message from a peer; invalid ones are only counted."""
        self.init_timers(now_s)
        if self.role is Role.STOPPED:
            self.counters['stopped'] += 1
        elif message.to not in {self.member, NO_MEMBER}:
            self.counters['unknown_member'] += 1
        elif message.sender in {self.member, NO_MEMBER}:
            self.counters['malformed'] += 1
        else:
            self.dispatch(message, now_s)
        return self.flush(now_s)

    def propose(self, payload: bytes, now_s: float) -> tuple[int, int]:
        """Append a command, which the next ``tick`` sends.

        :return: index and term of the entry. The command is committed once
            the entry with this index and term is; it is lost if an entry of
            another term is committed at the index.
        :raises NotLeaderError: if this member does not lead.
        :raises UnavailableError: if too many entries wait to be committed.
        """
        self.check_leading()
        if self.log.last_index - self.commit >= MAX_UNCOMMITTED_ENTRIES:
            raise UnavailableError(
                'too many log entries wait to be committed',
                value=self.log.last_index - self.commit,
                allowed=f'under {MAX_UNCOMMITTED_ENTRIES}',
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

    def transfer(self, now_s: float, *, target: MemberId = NO_MEMBER) -> None:
        """Transfer leadership to a voter; proposals are refused meanwhile.

        The next ``tick`` sends the messages, as after ``propose``: only calls
        of the driver's own loop return effects, so none can be dropped.

        :param target: the voter; by default the most advanced one.
        :raises NotLeaderError: if this member does not lead.
        :raises MembershipError: if no such voter answers.
        """
        self.init_timers(now_s)
        self.check_leading()
        if not self.start_transfer(now_s, target):
            raise MembershipError(
                'no voter can take over the leadership',
                field='target',
                value=target,
                remedy='retry when the voter answers',
            )

    def announce_leaving(self) -> None:
        """Tell the leader, with each reply, that this member will stop."""
        self.is_leaving = True

    def synced(self, write: int, now_s: float) -> Effects:
        """Record that everything up to a write is durable.

        :param write: ``Effects.write`` of the newest effects whose entries,
            hard state and snapshot are durable.
        """
        self.init_timers(now_s)
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
        """Stop voting and leading permanently after a storage failure.

        To rejoin, the driver builds a new agreement from the reopened
        journal. Until then nothing is acknowledged, because it may be lost.
        """
        self.init_timers(now_s)
        self.step_down(now_s)
        self.role = Role.STOPPED
        self.leader = NO_MEMBER
        self.outbox.clear()
        self.withheld.clear()
        return self.flush(now_s)

    def tick_leader(self, now_s: float) -> None:
        """Step down without quorum contact or after a failed transfer."""
        replication = self.replication
        if replication is None:
            return
        contact_s = max(
            replication.elected_s, replication.quorum_contact_s(now_s)
        )
        if now_s - contact_s > self.timing.election_max_s:
            self.step_down(now_s)
        elif now_s >= self.transfer_deadline_s:
            if self.transfer_sent:
                # The target may still act on the transfer message, so this
                # member cannot regain authority in this term.
                self.step_down(now_s)
            else:
                self.transfer_member = NO_MEMBER
                self.transfer_deadline_s = inf
        elif not self.is_voter and self.log.config_index <= self.commit:
            self.start_transfer(now_s, NO_MEMBER)

    def dispatch(self, message: PeerMessage, now_s: float) -> None:
        """Call the handler of a message."""
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

    def on_reply(
        self, reply: AppendReply | SnapshotReply, now_s: float
    ) -> None:
        """Handle the reply of a peer to the leader."""
        replication = self.replication
        if reply.term > self.term:
            self.enter_term(reply.term, now_s)
        elif replication is None or reply.term < self.term:
            self.counters['outdated'] += 1
        elif isinstance(reply, AppendReply):
            replication.on_append_reply(reply, now_s)
        else:
            replication.on_snapshot_reply(reply, now_s)

    def on_join(self, message: Join, now_s: float) -> None:
        """Record that a member outside the group asks to become a learner.

        A follower forwards the request, because a member that lost its disk
        may know only the addresses of followers.
        """
        if self.role is not Role.LEADER:
            if self.leader != NO_MEMBER and message.sender not in self.members:
                forwarded = msgspec.structs.replace(message, term=self.term)
                self.send(self.leader_instance, forwarded)
            return
        self.join_requests = {
            instance: asked
            for instance, asked in self.join_requests.items()
            if now_s - asked[1] < JOIN_EXPIRY_S
        }
        if message.sender not in self.members:
            self.join_requests[message.instance] = (message.sender, now_s)

    def check_leading(self) -> None:
        """Raise unless this member accepts proposals."""
        if self.role is not Role.LEADER or self.transfer_member:
            raise NotLeaderError(
                'this member does not lead the group',
                field='leader',
                value=self.leader,
                remedy='send the request to the leader',
            )

    def config_refusal(self, proposed: GroupConfig, now_s: float) -> str:
        """Return why a configuration must not be appended now, '' if it may.

        While too few members answer to commit anything, learners may be
        added at once: they have no votes and can hold the missing copies.
        """
        lacks_copies = len(self.caught_up(now_s)) < self.min_copies
        if not (lacks_copies and self.keeps_voters(proposed)):
            if self.commit < self.no_op_index:
                return 'no entry of the term is committed yet'
            if self.log.config_index > self.commit:
                return 'another change is not committed yet'
        return config_refusal(
            current=self.config,
            proposed=proposed,
            leader=self.member,
            caught_up=self.caught_up(now_s),
        )

    def keeps_voters(self, proposed: GroupConfig) -> bool:
        """Whether no committed or pending configuration has other voters."""
        configs = [self.log.config_at(self.commit)]
        configs.extend(
            config for index, config in self.log.configs if index > self.commit
        )
        return all(config.voters == proposed.voters for config in configs)

    def advance_commit(self, replication: Replication) -> None:
        """Commit entries of the current term that a majority holds."""
        index = min(
            replication.match_index(self.writes.durable_index),
            replication.copied_index(
                self.writes.durable_index, self.min_copies
            ),
        )
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index

    def send_transfer(self, replication: Replication, now_s: float) -> None:
        """Tell the target of a transfer to campaign once it holds the log."""
        peer = replication.peers.get(self.transfer_member)
        if peer is None or self.transfer_sent:
            return
        if peer.match_index == self.log.last_index:
            self.transfer_sent = True
            self.transfer_deadline_s = now_s + self.timing.election_max_s
            self.send(
                peer.peer.instance,
                TransferLeadership(
                    to=self.transfer_member, sender=self.member, term=self.term
                ),
            )

    def start_transfer(self, now_s: float, target: MemberId) -> bool:
        """Choose the target of a transfer; False if none is available."""
        replication = self.replication
        if replication is None or self.transfer_member:
            return False
        recent = self.caught_up(now_s) & replication.voters - {self.member}
        candidates = [
            (replication.peers[member].match_index, member)
            for member in recent
            if target in {member, NO_MEMBER}
        ]
        if not candidates:
            return False
        self.transfer_member = max(candidates)[1]
        self.transfer_deadline_s = now_s + self.timing.election_max_s
        return True

    def flush(self, now_s: float) -> Effects:
        """Collect and clear everything that is due."""
        replication = self.replication
        if replication is not None:
            replication.update_peers()
            self.advance_commit(replication)
            self.outbox.extend(
                replication.messages(
                    commit=self.commit, snapshot=self.snapshot, now_s=now_s
                )
            )
            self.send_transfer(replication, now_s)

        hard_state = None
        entries: tuple[LogEntry, ...] = ()
        if self.role is not Role.STOPPED:
            if self.writes.hard_state_dirty:
                hard_state = HardState(term=self.term, voted_for=self.voted_for)
            first = self.writes.submitted_index + 1
            entries = tuple(self.log.slice(first, self.log.last_index))
            self.writes.start(
                self.log.last_index,
                hard=hard_state is not None,
                install=self.install is not None,
            )
        install, self.install = self.install, None
        messages = self.release_messages()
        committed = self.take_committed()
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
