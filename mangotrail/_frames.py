"""Framing of the journal: length, place and checksums of each write."""

import struct
from collections.abc import Iterator
from zlib import crc32

from mangotrail._struct import FrozenStruct

MAGIC = b'MTJ1'
# Magic, segment, offset of the frame, payload length, payload checksum,
# checksum of the header so far.
FIELDS = struct.Struct('<4sIQII')
CHECKSUM = struct.Struct('<I')
HEADER_BYTES = FIELDS.size + CHECKSUM.size


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
    fields = FIELDS.pack(MAGIC, segment, offset, len(payload), crc32(payload))
    return fields + CHECKSUM.pack(crc32(fields)) + payload


def payload_range(
    data: bytes, segment: int, offset: int
) -> tuple[int, int] | None:
    """Return length and checksum in an intact header, else None."""
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    magic, held_segment, held_offset, length, checksum = FIELDS.unpack(
        header[: FIELDS.size]
    )
    intact = CHECKSUM.unpack(header[FIELDS.size :])[0] == crc32(
        header[: FIELDS.size]
    )
    placed = (magic, held_segment, held_offset) == (MAGIC, segment, offset)
    return (length, checksum) if intact and placed else None


def read_frames(data: bytes, segment: int) -> Iterator[Frame]:
    """Yield the intact frames from the start on, up to the first other."""
    offset = 0
    while True:
        found = payload_range(data, segment, offset)
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
    unsynced = offset + HEADER_BYTES
    at = data.find(MAGIC, offset + 1)
    while at >= 0:
        found = payload_range(data, segment, at)
        if found is not None and at != unsynced:
            return True
        at = data.find(MAGIC, at + 1)
    return False
