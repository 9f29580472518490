"""Interface of the durable storage of a member."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangotrail._effects import Snapshot, SnapshotPart
from mangotrail._peer import HardState, LogEntry
from mangotrail._struct import FrozenStruct
from mangotrail.ids import MemberId


class Recovered(FrozenStruct, frozen=True, kw_only=True):
    """Content of a journal when it was opened.

    :param entries: entries that follow the snapshot without a gap.
    :param truncated_bytes: length of the torn tail that was truncated.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState = HardState(term=0, voted_for=MemberId(''))
    entries: tuple[LogEntry, ...] = ()
    truncated_bytes: int = 0


class Journal(ABC):
    """Storage of one member.

    ``sync``, ``compact`` and ``install`` may run in another thread than
    ``append``, one of them at a time.
    """

    @abstractmethod
    def load(self) -> Recovered:
        """Return the durable content; call it once, before anything else.

        :raises DamagedJournalError: if durable content is damaged.
        :raises StorageError: if the folder cannot be read or written.
        """

    @abstractmethod
    def append(
        self,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
    ) -> None:
        """Queue records for the next sync.

        :param entries: they replace the entry of the first index and all
            that follow it.
        """

    @abstractmethod
    def sync(self) -> None:
        """Make everything that was appended before the call durable.

        :raises StorageError: on a full disk or a failed write; the journal
            cannot be used afterwards.
        """

    @abstractmethod
    def compact(self, snapshot: Snapshot) -> None:
        """Make a snapshot of the local state durable, drop what it covers.

        :raises StorageError: as in ``sync``.
        """

    @abstractmethod
    def install(self, snapshot: Snapshot) -> None:
        """Make a snapshot from the leader durable, replacing the whole log.

        :raises StorageError: as in ``sync``.
        """

    @abstractmethod
    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return part of the snapshot at an index, None if replaced."""

    @abstractmethod
    def close(self) -> None:
        """Close the files; records that were not synced are lost."""


class DisklessJournal(Journal):
    """Journal of a learner without a disk: nothing survives a restart."""

    def load(self) -> Recovered:
        """Return empty content."""
        return Recovered()

    def append(
        self,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
    ) -> None:
        """Discard the records."""

    def sync(self) -> None:
        """Do nothing."""

    def compact(self, snapshot: Snapshot) -> None:
        """Discard the snapshot."""

    def install(self, snapshot: Snapshot) -> None:
        """Discard the snapshot."""

    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return None: a learner never sends snapshots."""

    def close(self) -> None:
        """Do nothing."""
