"""Framing of the journal: length, place and checksums of each write."""

import struct
from collections.abc import Iterator
from zlib import crc32

from mangotrail._struct import FrozenStruct

MAGIC = b'MTJ1'
# Magic, segment, offset of the frame, payload length, payload checksum,
# checksum of the header so far.
HEADER_FIELDS = struct.Struct('<4sIQII')
CHECKSUM = struct.Struct('<I')
HEADER_BYTES = HEADER_FIELDS.size + CHECKSUM.size


class Frame(FrozenStruct, frozen=True, kw_only=True):
    """One intact frame; an empty payload marks all before it as synced."""

    offset: int
    payload: bytes

    @property
    def end(self) -> int:
        """Offset of the byte that follows."""
        return self.offset + HEADER_BYTES + len(self.payload)


def encode_frame(segment: int, offset: int, payload: bytes) -> bytes:
    """Return the bytes of a frame.

    :param segment: number of the segment that holds the frame.
    :param offset: offset of the frame in the segment.
    """
    fields = HEADER_FIELDS.pack(
        MAGIC, segment, offset, len(payload), crc32(payload)
    )
    return fields + CHECKSUM.pack(crc32(fields)) + payload


def read_header(
    data: bytes, segment: int, offset: int
) -> tuple[int, int] | None:
    """Return length and checksum in an intact header, else None."""
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    magic, held_segment, held_offset, length, checksum = HEADER_FIELDS.unpack(
        header[: HEADER_FIELDS.size]
    )
    intact = CHECKSUM.unpack(header[HEADER_FIELDS.size :])[0] == crc32(
        header[: HEADER_FIELDS.size]
    )
    placed = (magic, held_segment, held_offset) == (MAGIC, segment, offset)
    return (length, checksum) if intact and placed else None


def read_frames(data: bytes, segment: int) -> Iterator[Frame]:
    """Yield the intact frames from the start on, up to the first other."""
    offset = 0
    while True:
        found = read_header(data, segment, offset)
        if found is None:
            return
        start = offset + HEADER_BYTES
        payload = data[start : start + found[0]]
        if len(payload) < found[0] or crc32(payload) != found[1]:
            return
        frame = Frame(offset=offset, payload=payload)
        yield frame
        offset = frame.end


def is_damaged(data: bytes, segment: int, offset: int) -> bool:
    """Whether what is broken at an offset was durable once.

    The mark after a synced frame and the next frame become durable together,
    with the sync of that frame. A power loss before it may keep either, so
    an intact frame right behind a missing mark proves nothing. A header
    anywhere else was written after a sync that covered the broken place.
    """
    unsynced_offset = offset + HEADER_BYTES
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        found = read_header(data, segment, position)
        if found is not None and position != unsynced_offset:
            return True
        position = data.find(MAGIC, position + 1)
    return False
