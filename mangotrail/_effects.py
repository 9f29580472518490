"""Values that the agreement hands to its driver."""

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

# Clocks of two instances may drift by this share of the election timeout
# before an old leader's authority could reach into a successor's term.
CLOCK_DRIFT_MARGIN = 0.1


class Role(StrEnum):
    """Part that a member plays."""

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
        """Check that the periods fit together."""
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
                'the timing of the agreement contradicts itself',
                field='timing',
                value=self,
                allowed='heartbeat < authority, election_min < election_max',
                remedy='correct the timing section of the settings',
            )


class Snapshot(FrozenStruct, frozen=True, kw_only=True):
    """Replicated state at one place of the log."""

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
    """A message and where it goes.

    :param instance: receiving instance; empty for every other instance.
    """

    instance: InstanceId
    message: PeerMessage


class Effects(FrozenStruct, frozen=True, kw_only=True):
    """What the driver has to do after one step of the agreement.

    The driver first hands `install`, `entries` and `hard_state` to the
    journal, then applies `install` and `committed`, and sends `messages` and
    `chunks` at any time. It calls ``Agreement.synced(write)`` once everything
    up to `write` is durable; messages that depend on it are held back until
    then.

    :param write: number of the newest write; grows with each write.
    :param chunks: snapshot chunks whose body the driver fills in with
        ``Agreement.fill_chunk`` before it sends them.
    :param entries: entries to write; they replace the entry of the first
        index and all that follow it.
    :param install: snapshot from the leader; it replaces the whole log and
        state.
    :param committed: entries to apply, in order.
    :param snapshot_due: place at which the driver takes a snapshot after it
        applied `committed`; then it calls ``Agreement.compact``.
    :param leader: leader of the term as far as known, else empty.
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
