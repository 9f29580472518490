"""Journal in the files of a data folder."""

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path
from zlib import crc32

import msgspec

from mangotrail._effects import Snapshot, SnapshotPart
from mangotrail._files import (
    FILE_MODE,
    replace_file,
    storage_error,
    sync_folder,
)
from mangotrail._frames import HEADER_BYTES, encode_frame
from mangotrail._peer import (
    HardState,
    JournalBatch,
    LogEntry,
    SnapshotHeader,
)
from mangotrail._recovery import SNAPSHOT_NAME, Recovery, segment_path
from mangotrail._storage import Journal, Recovered
from mangotrail.errors import StorageError
from mangotrail.ids import MemberId

LOCK_NAME = 'lock'


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
        # Highest entry index in each segment, oldest segment first.
        self.segments: dict[int, int] = {}
        self.segment = 0
        self.segment_file = -1
        self.offset = 0
        self.lock_file = -1
        try:
            self.lock()
        except OSError as error:
            self.close()
            raise self.mark_failed(error) from error

    def lock(self) -> None:
        """Take the lock of the folder."""
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_file = os.open(
            self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE
        )
        fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def load(self) -> Recovered:
        """Return the durable content and truncate a torn tail.

        :raises StorageError: if the journal is damaged or cannot be used; it
            is closed, so that the folder can be opened again.
        """
        try:
            return self.recover()
        except OSError as error:
            self.close()
            raise self.mark_failed(error) from error
        except StorageError:
            self.close()
            raise

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
        merged = JournalBatch(
            entries=[entry for batch in batches for entry in batch.entries],
            hard_state=hard_states[-1] if hard_states else None,
        )
        try:
            self.write_batch(merged)
        except OSError as error:
            raise self.mark_failed(error) from error

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
        """Return part of the snapshot at an index, None if replaced."""
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
            raise self.mark_failed(error) from error
        return SnapshotPart(
            body=body, total=header.total, checksum=header.checksum
        )

    def close(self) -> None:
        """Close the files."""
        self.failed = True
        for descriptor in (self.segment_file, self.lock_file):
            if descriptor >= 0:
                os.close(descriptor)
        self.segment_file = -1
        self.lock_file = -1

    # Recovery.

    def recover(self) -> Recovered:
        """Read the folder, truncate a torn tail, open the last segment."""
        (self.folder / f'{SNAPSHOT_NAME}.new').unlink(missing_ok=True)
        recovery = Recovery(self.folder)
        for segment in recovery.obsolete_segments:
            segment_path(self.folder, segment).unlink()
        self.hard_state = recovery.hard_state
        self.segments = recovery.segments
        if recovery.segments:
            self.reopen_segment(recovery)
        else:
            self.start_segment(0)
        return Recovered(
            snapshot=recovery.snapshot,
            hard_state=recovery.hard_state,
            entries=recovery.log,
            truncated_bytes=recovery.truncated_bytes,
        )

    def reopen_segment(self, recovery: Recovery) -> None:
        """Open the last segment and truncate what may not be durable.

        A frame without a sync marker may exist only in the page cache, after
        a failed sync even in pages that are marked clean, so it is written
        again.
        """
        self.segment = max(recovery.segments)
        self.offset = recovery.intact_end
        if recovery.unmarked_payload:
            self.offset -= HEADER_BYTES + len(recovery.unmarked_payload)
        path = segment_path(self.folder, self.segment)
        self.segment_file = os.open(path, os.O_RDWR)
        os.ftruncate(self.segment_file, self.offset)
        if recovery.unmarked_payload:
            self.write_frame(recovery.unmarked_payload)
        elif not self.offset:
            self.write_hard_state()
        os.fsync(self.segment_file)
        sync_folder(self.folder)

    # Writing.

    def write_hard_state(self) -> None:
        """Write the hard state, the first record of every segment."""
        self.write_batch(JournalBatch(entries=(), hard_state=self.hard_state))

    def write_batch(self, batch: JournalBatch) -> None:
        """Write a batch durably."""
        self.write_frame(msgspec.msgpack.encode(batch))
        highest = max((entry.index for entry in batch.entries), default=0)
        self.segments[self.segment] = max(self.segments[self.segment], highest)

    def write_frame(self, payload: bytes) -> None:
        """Write and sync a frame, then append a sync marker.

        The marker itself is not synced. A broken frame without a marker
        counts as a torn write, one with a marker as damage.
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
        """Create a segment that begins with the hard state, durably.

        The sync marker at the end of the previous segment is synced first,
        because only the end of the last segment may be torn.
        """
        if self.segment_file >= 0:
            os.fsync(self.segment_file)
            os.close(self.segment_file)
            self.segment_file = -1
        self.segment_file = os.open(
            segment_path(self.folder, segment),
            os.O_RDWR | os.O_CREAT | os.O_TRUNC,
            FILE_MODE,
        )
        self.segment = segment
        self.offset = 0
        self.segments[segment] = 0
        self.write_hard_state()
        sync_folder(self.folder)

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
            for segment in list(self.segments):
                if segment < first:
                    segment_path(self.folder, segment).unlink()
                    del self.segments[segment]
        except OSError as error:
            raise self.mark_failed(error) from error

    # Errors.

    def check_usable(self) -> None:
        """Raise if the journal failed, is closed or was not loaded."""
        if self.failed or self.segment_file < 0:
            raise storage_error(self.folder, 'closed, or failed before')

    def mark_failed(self, reason: object) -> StorageError:
        """Make the journal unusable and return the error to raise."""
        self.failed = True
        return storage_error(self.folder, reason)
