"""State shared by all classes of the agreement."""

from collections import Counter
from math import inf
from random import Random

from mangotrail._effects import (
    Outgoing,
    Role,
    Snapshot,
    Timing,
)
from mangotrail._incoming import (
    IncomingSnapshot,
)
from mangotrail._peer import (
    EntryKind,
    GroupConfig,
    HardState,
    LogEntry,
    PeerMessage,
    SnapshotMeta,
)
from mangotrail._replicated_log import Log
from mangotrail._replication import Replication
from mangotrail._writes import WriteTracker
from mangotrail.ids import InstanceId, MemberId

NO_MEMBER = MemberId('')
ALL_INSTANCES = InstanceId('')
SNAPSHOT_ENTRIES = 1000
SNAPSHOT_BYTES = 4_000_000


class Member:
    """Log, term, role, writes and queued messages of one member.

    The subclasses share it, because elections, replication and commits depend
    on each other's state.
    See ``Agreement`` for the parameters.
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
        min_copies: int = 0,
    ) -> None:
        self.member = member
        self.instance = instance
        self.timing = timing or Timing()
        self.can_vote = can_vote
        self.min_copies = min_copies
        self.random = Random(seed)
        self.counters: Counter[str] = Counter()

        self.snapshot = snapshot
        base = snapshot or SnapshotMeta(index=0, term=0, config=config)
        self.log = Log(base=base, entries=log)
        self.term = max(hard_state.term, self.log.last_term)
        self.voted_for = (
            hard_state.voted_for if hard_state.term == self.term else NO_MEMBER
        )
        self.commit = base.index
        self.snapshot_requested_index = base.index

        self.role = Role.FOLLOWER
        self.leader = NO_MEMBER
        # None until the first call, which sets it to the current time: a
        # leader may have been active just before a restart.
        self.leader_contact_s: float | None = None
        self.deadline_s = inf
        # When the last election or pre-vote of this member began, and how long
        # it waits for the other votes.
        self.campaign_s = -inf
        self.retry_delay_s = 0.0
        self.join_sent_s = -inf
        self.votes: set[MemberId] = set()
        self.pre_vote = False
        # The log matches that of the term's leader up to this index.
        self.verified_index = base.index
        self.incoming: IncomingSnapshot | None = None
        self.leader_instance = ALL_INSTANCES
        # Newest sending time received from the leader of the term.
        self.probe_s = -inf
        # Whether this member has been told to stop.
        self.is_leaving = False
        # The last term in which a leader was heard, and the newest reading of
        # the clock of that leader.
        self.heard_term = 0
        self.heard_s = -inf

        self.replication: Replication | None = None
        self.no_op_index = 0
        self.join_requests: dict[InstanceId, tuple[MemberId, float]] = {}
        self.transfer_member = NO_MEMBER
        self.transfer_deadline_s = inf
        self.transfer_sent = False

        self.writes = WriteTracker(last_index=self.log.last_index)
        self.install: Snapshot | None = None
        self.outbox: list[Outgoing] = []
        self.withheld: list[Outgoing] = []
        self.delivered_index = base.index
        self.delivered_bytes = 0

    @property
    def config(self) -> GroupConfig:
        """Newest configuration in the log, committed or not."""
        return self.log.config

    @property
    def members(self) -> frozenset[MemberId]:
        """Voters and learners of the newest configuration."""
        return frozenset(
            peer.member for peer in (*self.config.voters, *self.config.learners)
        )

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in the newest configuration."""
        return any(voter.member == self.member for voter in self.config.voters)

    @property
    def may_campaign(self) -> bool:
        """Whether this member may become leader.

        A member whose removal is not known to be committed still may: it can
        be the only one whose log is long enough to win.
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

    def init_timers(self, now_s: float) -> None:
        """Set the first election deadline on the first call."""
        if self.leader_contact_s is None:
            self.leader_contact_s = now_s
            self.reset_deadline(now_s)
            if not self.is_member:
                self.deadline_s = now_s

    def reset_deadline(self, now_s: float) -> None:
        """Set a random election deadline."""
        self.deadline_s = now_s + self.random.uniform(
            self.timing.election_min_s, self.timing.election_max_s
        )

    def has_recent_leader(self, now_s: float) -> bool:
        """Whether a leader may still rely on this member for authority."""
        if self.replication is not None:
            heard_s = max(
                self.replication.elected_s,
                self.replication.quorum_contact_s(now_s),
            )
        else:
            heard_s = (
                self.leader_contact_s
                if self.leader_contact_s is not None
                else now_s
            )
        return now_s - heard_s < self.timing.election_min_s

    def append(self, kind: EntryKind, payload: bytes) -> tuple[int, int]:
        """Append an entry of the current term."""
        index = self.log.last_index + 1
        self.log.append(
            LogEntry(index=index, term=self.term, kind=kind, payload=payload)
        )
        return index, self.term

    def send(self, instance: InstanceId, message: PeerMessage) -> None:
        """Queue a message."""
        self.outbox.append(Outgoing(instance=instance, message=message))

    def release_messages(self) -> list[Outgoing]:
        """Return the queued messages once term and vote are durable."""
        # Receivers ignore messages of earlier terms.
        self.withheld = [
            out
            for out in (*self.withheld, *self.outbox)
            if out.message.term >= self.term
        ]
        self.outbox.clear()
        if not self.writes.hard_state_durable:
            return []
        released = self.withheld
        self.withheld = []
        return released

    def take_committed(self) -> tuple[LogEntry, ...]:
        """Return the committed entries that were not returned before."""
        if self.role is Role.STOPPED or self.commit <= self.delivered_index:
            return ()
        entries = tuple(self.log.slice(self.delivered_index + 1, self.commit))
        self.delivered_index = self.commit
        self.delivered_bytes += sum(len(entry.payload) for entry in entries)
        return entries

    def snapshot_due(self) -> SnapshotMeta | None:
        """Return the position of a snapshot to take, None if none is due."""
        index = self.delivered_index
        if (
            index - self.snapshot_requested_index < SNAPSHOT_ENTRIES
            and self.delivered_bytes < SNAPSHOT_BYTES
        ):
            return None
        self.snapshot_requested_index = index
        self.delivered_bytes = 0
        return SnapshotMeta(
            index=index,
            term=self.log.term_at(index) or 0,
            config=self.log.config_at(index),
        )
