"""Reads what the files of a data folder hold, without changing them."""

import os
import re
from pathlib import Path
from zlib import crc32

import msgspec

from mangotrail._effects import Snapshot
from mangotrail._files import IDENTITY_NAME, damage_error
from mangotrail._frames import is_damaged, read_frames
from mangotrail._peer import (
    HardState,
    JournalBatch,
    LogEntry,
    SnapshotHeader,
)
from mangotrail.errors import DamagedJournalError
from mangotrail.ids import MemberId

SNAPSHOT_NAME = 'snapshot'
SEGMENT_PATTERN = re.compile('journal-([0-9]{10})')


def segment_path(folder: Path, segment: int) -> Path:
    """Return the file of a segment."""
    return folder / f'journal-{segment:010}'


def damaged_file_error(path: Path, offset: int) -> DamagedJournalError:
    """Return the error of a file that is damaged at an offset."""
    return damage_error(path, offset, f'is damaged at offset {offset}')


class Recovery:
    """Content of a data folder.

    :param folder: the data folder.
    :raises DamagedJournalError: if something durable is broken or missing.
    :raises OSError: if a file cannot be read.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.snapshot: Snapshot | None = None
        self.hard_state = HardState(term=0, voted_for=MemberId(''))
        self.entries: dict[int, LogEntry] = {}
        # Highest entry index in each segment, oldest segment first.
        self.segments: dict[int, int] = {}
        # Segments that the snapshot made superfluous.
        self.obsolete_segments: list[int] = []
        # End of the intact frames of the last segment, and the payload of
        # the last frame if no mark follows it.
        self.intact_end = 0
        self.unmarked_payload = b''
        self.truncated_bytes = 0
        header = self.read_snapshot()
        for segment in self.find_segments(header):
            self.read_segment(segment)
        self.check_gaps()

    @property
    def log(self) -> tuple[LogEntry, ...]:
        """Entries that follow the snapshot."""
        base = self.snapshot.meta.index if self.snapshot else 0
        return tuple(
            self.entries[index]
            for index in sorted(self.entries)
            if index > base
        )

    @property
    def is_empty(self) -> bool:
        """Whether no member has written anything yet."""
        return not (self.snapshot or self.entries or self.hard_state.term)

    def read_snapshot(self) -> SnapshotHeader | None:
        """Read and check the snapshot."""
        path = self.folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        data = path.read_bytes()
        frame = next(read_frames(data, 0), None)
        if frame is None:
            raise damaged_file_error(path, 0)
        try:
            header = msgspec.msgpack.decode(frame.payload, type=SnapshotHeader)
        except msgspec.MsgspecError as error:
            raise damaged_file_error(path, 0) from error
        body = data[frame.end :]
        if len(body) != header.total or crc32(body) != header.checksum:
            raise damaged_file_error(path, frame.end)
        self.snapshot = Snapshot(meta=header.meta, body=body)
        return header

    def find_segments(self, header: SnapshotHeader | None) -> list[int]:
        """Return the segments in use and check that none is missing."""
        first = header.first_segment if header else 0
        matches = map(SEGMENT_PATTERN.fullmatch, os.listdir(self.folder))
        numbers = sorted(int(match[1]) for match in matches if match)
        self.obsolete_segments = [
            number for number in numbers if number < first
        ]
        found = [number for number in numbers if number >= first]
        # An identity is written only after its journal.
        started = (self.folder / IDENTITY_NAME).exists()
        last = header.last_segment if header else first - (not started)
        expected = range(first, max([last, *found]) + 1)
        missing = sorted(set(expected) - set(found))
        if missing:
            raise damaged_file_error(segment_path(self.folder, missing[0]), 0)
        self.segments = dict.fromkeys(found, 0)
        return found

    def read_segment(self, segment: int) -> None:
        """Replay one segment."""
        path = segment_path(self.folder, segment)
        data = path.read_bytes()
        self.intact_end = 0
        self.unmarked_payload = b''
        for frame in read_frames(data, segment):
            self.intact_end = frame.end
            self.unmarked_payload = frame.payload
            if not frame.payload:
                continue
            try:
                batch = msgspec.msgpack.decode(frame.payload, type=JournalBatch)
            except msgspec.MsgspecError as error:
                raise damaged_file_error(path, frame.offset) from error
            self.replay(segment, batch)
        self.truncated_bytes = len(data) - self.intact_end
        is_last = segment == max(self.segments)
        if self.truncated_bytes and (
            not is_last or is_damaged(data, segment, self.intact_end)
        ):
            raise damaged_file_error(path, self.intact_end)

    def replay(self, segment: int, batch: JournalBatch) -> None:
        """Take in the records of one frame."""
        if batch.hard_state is not None:
            self.hard_state = batch.hard_state
        for entry in batch.entries:
            stale = entry.index
            while stale in self.entries:
                del self.entries[stale]
                stale += 1
            self.entries[entry.index] = entry
            self.segments[segment] = max(self.segments[segment], entry.index)

    def check_gaps(self) -> None:
        """Check that the entries follow the snapshot and each other."""
        base = self.snapshot.meta.index if self.snapshot else 0
        for expected, entry in enumerate(self.log, base + 1):
            if entry.index != expected:
                raise damaged_file_error(
                    segment_path(self.folder, min(self.segments)), 0
                )
