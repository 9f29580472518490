"""Values that the agreement and its driver exchange."""

from enum import StrEnum

from mangotrail._peer import (
    HardState,
    LogEntry,
    PeerMessage,
    SnapshotMeta,
)
from mangotrail._struct import FrozenStruct
from mangotrail.errors import SettingsError
from mangotrail.ids import InstanceId, MemberId

# Largest drift between the clocks of two instances, as a share of the election
# timeout, at which a leader's authority still ends before its successor's term.
CLOCK_DRIFT_MARGIN = 0.1


class Role(StrEnum):
    """Role of a member in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    STOPPED = 'stopped'


class Timing(FrozenStruct, frozen=True, kw_only=True):
    """Periods of the agreement in seconds.

    :param authority_s: how long an acknowledged round proves leadership.
    :raises SettingsError: if the authority of a leader could outlast the
        time after which its followers elect another one.
    """

    heartbeat_s: float = 0.3
    election_min_s: float = 1.2
    election_max_s: float = 2
    authority_s: float = 1

    def __post_init__(self) -> None:
        """Check that the periods are consistent."""
        bound = self.election_min_s * (1 - CLOCK_DRIFT_MARGIN)
        if self.authority_s > bound:
            raise SettingsError(
                'the authority of a leader must end before an election',
                field='timing.authority_ms',
                value=self.authority_s,
                allowed=f'at most {bound:.3f} s',
                remedy='lower authority_ms or raise election_min_ms',
            )
        if not (
            0 < self.heartbeat_s < self.authority_s
            and self.election_min_s < self.election_max_s
        ):
            raise SettingsError(
                'the periods of the agreement are inconsistent',
                field='timing',
                value=self,
                allowed='heartbeat < authority, election_min < election_max',
                remedy='correct the timing section of the settings',
            )


class Snapshot(FrozenStruct, frozen=True, kw_only=True):
    """Replicated state at one index of the log."""

    meta: SnapshotMeta
    body: bytes


class SnapshotPart(FrozenStruct, frozen=True, kw_only=True):
    """Bytes of a snapshot from one offset on.

    :param total: bytes of the whole snapshot.
    :param checksum: CRC-32 of the whole snapshot.
    """

    body: bytes
    total: int
    checksum: int


class Outgoing(FrozenStruct, frozen=True, kw_only=True):
    """A message and its destination.

    :param instance: receiving instance; empty for every other instance.
    """

    instance: InstanceId
    message: PeerMessage


class Effects(FrozenStruct, frozen=True, kw_only=True):
    """Actions for the driver after one step of the agreement.

    The driver first passes `install`, `entries` and `hard_state` to the
    journal, then applies `install` and `committed`, and sends `messages` and
    `chunks` at any time. It calls ``Agreement.synced(write)`` once everything
    up to `write` is durable; the agreement withholds messages that depend on
    it until then.

    :param write: number of the newest write; grows with each write.
    :param chunks: snapshot chunks whose body the driver fills in with
        ``Agreement.fill_chunk`` before it sends them.
    :param entries: entries to write; they replace the entry of the first
        index and all that follow it.
    :param install: snapshot from the leader; it replaces the whole log and
        state.
    :param committed: entries to apply, in order.
    :param snapshot_due: position at which the driver takes a snapshot after
        it applied `committed`; then it calls ``Agreement.compact``.
    :param leader: leader of the term, empty if it is not known.
    """

    messages: tuple[Outgoing, ...]
    chunks: tuple[Outgoing, ...]
    write: int
    hard_state: HardState | None
    entries: tuple[LogEntry, ...]
    install: Snapshot | None
    committed: tuple[LogEntry, ...]
    snapshot_due: SnapshotMeta | None
    role: Role
    term: int
    leader: MemberId

    @property
    def must_sync(self) -> bool:
        """Whether the journal has something to write."""
        return bool(
            self.entries
            or self.hard_state is not None
            or self.install is not None
        )
