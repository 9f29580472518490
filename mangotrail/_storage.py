"""Interface of the durable storage of a member."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from mangotrail._effects import Snapshot, SnapshotPart
from mangotrail._peer import HardState, LogEntry
from mangotrail._struct import FrozenStruct
from mangotrail.ids import MemberId


class Recovered(FrozenStruct, frozen=True, kw_only=True):
    """What a journal held when it was opened.

    :param entries: entries that follow the snapshot without a gap.
    :param truncated_bytes: length of the torn tail that was cut.
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
        """Return what is durable; to be called once, before anything else.

        :raises DamagedJournalError: if something durable is broken.
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
        """Make a snapshot of the own state durable, drop what it covers.

        :raises StorageError: as in ``sync``.
        """

    @abstractmethod
    def install(self, snapshot: Snapshot) -> None:
        """Make a snapshot of the leader durable in place of the whole log.

        :raises StorageError: as in ``sync``.
        """

    @abstractmethod
    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return part of the snapshot at an index, None if it is replaced."""

    @abstractmethod
    def close(self) -> None:
        """Release the files; what was not synced is lost."""


class DisklessJournal(Journal):
    """Journal of a learner without a disk: nothing survives a restart."""

    def load(self) -> Recovered:
        """Return nothing."""
        return Recovered()

    def append(
        self,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
    ) -> None:
        """Forget the records."""

    def sync(self) -> None:
        """Do nothing."""

    def compact(self, snapshot: Snapshot) -> None:
        """Forget the snapshot."""

    def install(self, snapshot: Snapshot) -> None:
        """Forget the snapshot."""

    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return nothing: a learner never sends snapshots."""

    def close(self) -> None:
        """Do nothing."""
