"""Durable log entries, hard state, snapshots and the identity of a member.

Files of a data folder:

- ``identity.json``: deployment, instance and member id;
- ``journal-<segment>``: frames of journal batches, see ``_frames``;
- ``snapshot``: header frame, then the state; replaced atomically;
- ``lock``: held by the process that uses the folder.
"""

import fcntl
import os
import re
from abc import ABC, abstractmethod
from collections.abc import Iterable
from pathlib import Path
from secrets import token_hex
from zlib import crc32

import msgspec

from mangotrail._effects import Snapshot, SnapshotPart
from mangotrail._frames import (
    HEADER_BYTES,
    encode_frame,
    has_later_frame,
    read_frames,
)
from mangotrail._peer import (
    HardState,
    Identity,
    JournalBatch,
    LogEntry,
    SnapshotHeader,
)
from mangotrail._struct import FrozenStruct
from mangotrail.errors import (
    DamagedJournalError,
    SettingsError,
    StorageError,
)
from mangotrail.ids import InstanceId, MemberId

IDENTITY_NAME = 'identity.json'
SNAPSHOT_NAME = 'snapshot'
LOCK_NAME = 'lock'
SEGMENT_PATTERN = re.compile('journal-([0-9]{10})')
# Other users have no business with payloads of client accounts.
FILE_MODE = 0o600
DAMAGE_REMEDY = (
    'move the data folder away and start again: the instance joins with a '
    'fresh identity and receives the log from the other members'
)
STORAGE_REMEDY = 'free space or replace the disk, then restart the process'


class Recovered(FrozenStruct, frozen=True, kw_only=True):
    """What a journal held when it was opened.

    :param entries: entries that follow the snapshot without a gap.
    :param cut_bytes: length of the torn tail that was cut.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState = HardState(term=0, voted_for=MemberId(''))
    entries: tuple[LogEntry, ...] = ()
    cut_bytes: int = 0


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


class FileJournal(Journal):
    """Journal in a data folder.

    :param folder: the data folder; it is created if it does not exist.
    :raises StorageError: if the folder cannot be used or is in use.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.failed = False
        self.batches: list[JournalBatch] = []
        self.hard_state = HardState(term=0, voted_for=MemberId(''))
        self.snapshot_header: SnapshotHeader | None = None
        # Highest entry index in each segment, oldest segment first.
        self.segments: dict[int, int] = {}
        self.segment = 0
        self.segment_file = -1
        self.offset = 0
        self.lock_file = -1
        try:
            self.lock()
        except OSError as error:
            raise self.storage_error(error) from error

    def lock(self) -> None:
        """Take the lock of the folder."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_file = os.open(
            self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE
        )
        fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def load(self) -> Recovered:
        """Return what is durable, cutting a torn tail."""
        try:
            return self.recover()
        except OSError as error:
            raise self.storage_error(error) from error

    def append(
        self,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
    ) -> None:
        """Queue records for the next sync."""
        self.check_usable()
        batch = JournalBatch(entries=tuple(entries), hard_state=hard_state)
        if batch.entries or hard_state is not None:
            self.batches.append(batch)

    def sync(self) -> None:
        """Write the queued records as one frame and sync it."""
        self.check_usable()
        batches, self.batches = self.batches, []
        if not batches:
            return
        hard_states = [
            batch.hard_state
            for batch in batches
            if batch.hard_state is not None
        ]
        if hard_states:
            self.hard_state = hard_states[-1]
        whole = JournalBatch(
            entries=[entry for batch in batches for entry in batch.entries],
            hard_state=hard_states[-1] if hard_states else None,
        )
        try:
            self.write_batch(whole)
        except OSError as error:
            raise self.storage_error(error) from error

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and delete the segments that it covers."""
        self.sync()
        covered = snapshot.meta.index
        first = self.segment + 1
        for segment in sorted(self.segments, reverse=True):
            if self.segments[segment] > covered:
                first = segment
        self.replace_snapshot(snapshot, first)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and delete all segments."""
        self.sync()
        self.replace_snapshot(snapshot, self.segment + 1)

    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return part of the snapshot at an index, None if it is replaced."""
        try:
            with (self.folder / SNAPSHOT_NAME).open('rb') as source:
                prefix = source.read(HEADER_BYTES)
                size = int.from_bytes(prefix[16:20], 'little')
                header = msgspec.msgpack.decode(
                    source.read(size), type=SnapshotHeader
                )
                if header.meta.index != index:
                    return None
                source.seek(offset, os.SEEK_CUR)
                body = source.read(max(0, min(length, header.total - offset)))
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            raise self.storage_error(error) from error
        return SnapshotPart(
            body=body, total=header.total, checksum=header.checksum
        )

    def close(self) -> None:
        """Release the files."""
        self.failed = True
        for held in (self.segment_file, self.lock_file):
            if held >= 0:
                os.close(held)
        self.segment_file = -1
        self.lock_file = -1

    # Recovery.

    def recover(self) -> Recovered:
        """Read snapshot and segments and open the last segment."""
        (self.folder / f'{SNAPSHOT_NAME}.new').unlink(missing_ok=True)
        snapshot = self.load_snapshot()
        first = (
            self.snapshot_header.first_segment if self.snapshot_header else 0
        )
        found = self.segment_numbers()
        for segment in found:
            if segment < first:
                self.segment_path(segment).unlink()
        found = [segment for segment in found if segment >= first]
        for expected, segment in enumerate(found, first):
            if segment != expected:
                raise self.damaged(self.segment_path(expected), 0)
        if self.snapshot_header and found[-1:] < [
            self.snapshot_header.last_segment
        ]:
            missing = first + len(found)
            raise self.damaged(self.segment_path(missing), 0)
        entries: dict[int, LogEntry] = {}
        base = snapshot.meta.index if snapshot else 0
        cut_bytes = 0
        for segment in found:
            cut_bytes = self.load_segment(
                segment, entries, is_last=segment == found[-1]
            )
        if not found:
            self.start_segment(0)
        log = [entries[index] for index in sorted(entries) if index > base]
        for expected_index, entry in enumerate(log, base + 1):
            if entry.index != expected_index:
                raise self.damaged(self.segment_path(found[0]), 0)
        return Recovered(
            snapshot=snapshot,
            hard_state=self.hard_state,
            entries=tuple(log),
            cut_bytes=cut_bytes,
        )

    def load_segment(
        self, segment: int, entries: dict[int, LogEntry], *, is_last: bool
    ) -> int:
        """Replay one segment into the entries; return the bytes cut."""
        path = self.segment_path(segment)
        data = path.read_bytes()
        end = 0
        unmarked = b''
        highest = 0
        for frame in read_frames(data, segment):
            end = frame.end
            unmarked = frame.payload
            if not frame.payload:
                continue
            try:
                batch = msgspec.msgpack.decode(frame.payload, type=JournalBatch)
            except msgspec.MsgspecError as error:
                raise self.damaged(path, frame.offset) from error
            if batch.hard_state is not None:
                self.hard_state = batch.hard_state
            for entry in batch.entries:
                highest = max(highest, entry.index)
                stale = entry.index
                while stale in entries:
                    del entries[stale]
                    stale += 1
                entries[entry.index] = entry
        if end < len(data) and (
            not is_last or has_later_frame(data, segment, end)
        ):
            raise self.damaged(path, end)
        self.segments[segment] = highest
        if is_last:
            self.reopen_segment(segment, end, unmarked)
        return len(data) - end

    def reopen_segment(self, segment: int, end: int, unmarked: bytes) -> None:
        """Open the last segment and cut what is not known to be durable.

        A frame without a mark after it may be in the page cache only, after
        a failed sync even without being dirty, so it is written again.
        """
        self.segment = segment
        self.offset = end
        if unmarked:
            self.offset -= HEADER_BYTES + len(unmarked)
        self.segment_file = os.open(self.segment_path(segment), os.O_RDWR)
        os.ftruncate(self.segment_file, self.offset)
        if unmarked or not self.offset:
            self.write_frame(
                unmarked
                or msgspec.msgpack.encode(
                    JournalBatch(entries=(), hard_state=self.hard_state)
                )
            )
        os.fsync(self.segment_file)
        self.sync_folder()

    def load_snapshot(self) -> Snapshot | None:
        """Read and check the snapshot."""
        path = self.folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        data = path.read_bytes()
        frame = next(read_frames(data, 0), None)
        if frame is None:
            raise self.damaged(path, 0)
        try:
            header = msgspec.msgpack.decode(frame.payload, type=SnapshotHeader)
        except msgspec.MsgspecError as error:
            raise self.damaged(path, 0) from error
        body = data[frame.end :]
        if len(body) != header.total or crc32(body) != header.checksum:
            raise self.damaged(path, frame.end)
        self.snapshot_header = header
        return Snapshot(meta=header.meta, body=body)

    def segment_numbers(self) -> list[int]:
        """Return the numbers of the segments in the folder."""
        matches = [
            SEGMENT_PATTERN.fullmatch(name) for name in os.listdir(self.folder)
        ]
        return sorted(int(match[1]) for match in matches if match)

    # Writing.

    def write_batch(self, batch: JournalBatch) -> None:
        """Write a batch durably."""
        self.write_frame(msgspec.msgpack.encode(batch))
        highest = max((entry.index for entry in batch.entries), default=0)
        self.segments[self.segment] = max(self.segments[self.segment], highest)

    def write_frame(self, payload: bytes) -> None:
        """Write and sync a frame, then mark it as synced.

        The mark itself is not synced. While it is missing, a broken frame
        counts as a torn write; with it, as damage.
        """
        self.write_bytes(encode_frame(self.segment, self.offset, payload))
        os.fsync(self.segment_file)
        self.write_bytes(encode_frame(self.segment, self.offset, b''))

    def write_bytes(self, data: bytes) -> None:
        """Write bytes at the end of the segment."""
        view = memoryview(data)
        while view:
            written = os.pwrite(self.segment_file, view, self.offset)
            self.offset += written
            view = view[written:]

    def start_segment(self, segment: int) -> None:
        """Create a segment that begins with the hard state, durably."""
        if self.segment_file >= 0:
            os.close(self.segment_file)
            self.segment_file = -1
        self.segment_file = os.open(
            self.segment_path(segment),
            os.O_RDWR | os.O_CREAT | os.O_TRUNC,
            FILE_MODE,
        )
        self.segment = segment
        self.offset = 0
        self.segments[segment] = 0
        self.write_batch(JournalBatch(entries=(), hard_state=self.hard_state))
        self.sync_folder()

    def replace_snapshot(self, snapshot: Snapshot, first: int) -> None:
        """Start a segment, replace the snapshot, delete older segments."""
        header = SnapshotHeader(
            meta=snapshot.meta,
            first_segment=first,
            last_segment=self.segment + 1,
            total=len(snapshot.body),
            checksum=crc32(snapshot.body),
        )
        frame = encode_frame(0, 0, msgspec.msgpack.encode(header))
        try:
            self.start_segment(self.segment + 1)
            replace_file(self.folder / SNAPSHOT_NAME, frame, snapshot.body)
            self.snapshot_header = header
            for segment in list(self.segments):
                if segment < first:
                    self.segment_path(segment).unlink()
                    del self.segments[segment]
        except OSError as error:
            raise self.storage_error(error) from error

    def sync_folder(self) -> None:
        """Make created, renamed and deleted files durable."""
        sync_folder(self.folder)

    def segment_path(self, segment: int) -> Path:
        """Return the file of a segment."""
        return self.folder / f'journal-{segment:010}'

    # Errors.

    def check_usable(self) -> None:
        """Raise after a failure, until the journal is opened anew."""
        if self.failed or self.segment_file < 0:
            raise StorageError(
                'the journal is closed or failed before',
                field='data_folder',
                value=self.folder,
                remedy=STORAGE_REMEDY,
            )

    def storage_error(self, error: Exception) -> StorageError:
        """Make the journal unusable and return the error to raise."""
        self.failed = True
        return StorageError(
            f'the journal cannot be read or written: {error}',
            field='data_folder',
            value=self.folder,
            remedy=STORAGE_REMEDY,
        )

    def damaged(self, path: Path, offset: int) -> DamagedJournalError:
        """Make the journal unusable and return the error to raise."""
        self.failed = True
        return DamagedJournalError(
            f'{path.name} is damaged at offset {offset}',
            field=str(path),
            value=offset,
            allowed='an intact file; only a torn last write is cut',
            remedy=DAMAGE_REMEDY,
        )


def sync_folder(folder: Path) -> None:
    """Make created, renamed and deleted files of a folder durable."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def replace_file(path: Path, *parts: bytes) -> None:
    """Replace a file atomically and durably."""
    new = path.with_name(f'{path.name}.new')
    handle = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        for part in parts:
            view = memoryview(part)
            while view:
                view = view[os.write(handle, view) :]
        os.fsync(handle)
    finally:
        os.close(handle)
    new.replace(path)
    sync_folder(path.parent)


def read_identity(folder: Path) -> Identity | None:
    """Return the identity of a data folder, None if it has none.

    :raises DamagedJournalError: if the file is damaged, or if it is missing
        although the folder holds a journal.
    """
    path = folder / IDENTITY_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        names = os.listdir(folder) if folder.exists() else []
        if not any(SEGMENT_PATTERN.fullmatch(name) for name in names):
            return None
        reason = 'is missing although there is a journal'
    except msgspec.MsgspecError as error:
        reason = f'is damaged: {error}'
    except OSError as error:
        raise StorageError(
            f'the identity cannot be read: {error}',
            field=str(path),
            remedy=STORAGE_REMEDY,
        ) from error
    raise DamagedJournalError(
        f'{IDENTITY_NAME} {reason}',
        field=str(path),
        value=0,
        remedy=DAMAGE_REMEDY,
    )


def write_identity(folder: Path, identity: Identity) -> None:
    """Write the identity of a data folder that has none, durably.

    :raises SettingsError: if the folder has an identity.
    :raises StorageError: if the file cannot be written.
    """
    held = read_identity(folder)
    if held is not None:
        raise SettingsError(
            'the data folder already has an identity',
            field='data_folder',
            value=held.member,
            allowed='a folder without an identity',
            remedy='keep the identity; a member must never be founded twice',
        )
    text = msgspec.json.format(msgspec.json.encode(identity))
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        replace_file(folder / IDENTITY_NAME, text)
    except OSError as error:
        raise StorageError(
            f'the identity cannot be written: {error}',
            field='data_folder',
            value=folder,
            remedy=STORAGE_REMEDY,
        ) from error


def open_identity(
    folder: Path, *, deployment: str, instance: InstanceId
) -> Identity:
    """Return the identity of a data folder, a fresh one if there is none.

    :raises SettingsError: if the folder belongs to another deployment or
        instance.
    """
    held = read_identity(folder)
    if held is None:
        held = fresh_identity(deployment=deployment, instance=instance)
        write_identity(folder, held)
    for name, wanted in (('deployment', deployment), ('instance', instance)):
        if getattr(held, name) != wanted:
            raise SettingsError(
                f'the data folder belongs to another {name}',
                field=name,
                value=getattr(held, name),
                allowed=wanted,
                remedy='correct data_folder in the settings',
            )
    return held


def fresh_identity(*, deployment: str, instance: InstanceId) -> Identity:
    """Return an identity with a random member id, which is never reused."""
    return Identity(
        format_version=1,
        deployment=deployment,
        instance=instance,
        member=MemberId(token_hex(8)),
        founding=False,
    )
