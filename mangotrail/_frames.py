"""Frame format of the journal: length, position and checksums."""

import struct
from collections.abc import Iterator
from zlib import crc32

from mangotrail._struct import FrozenStruct

MAGIC = b'MTJ1'
# Magic, segment, offset of the frame, payload length, payload checksum. The
# checksum of these fields follows them.
HEADER_FIELDS = struct.Struct('<4sIQII')
CHECKSUM = struct.Struct('<I')
HEADER_BYTES = HEADER_FIELDS.size + CHECKSUM.size


class Frame(FrozenStruct, frozen=True, kw_only=True):
    """One intact frame; one with an empty payload is a sync marker."""

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
    """Return payload length and checksum, None without intact header."""
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES:
        return None
    magic, header_segment, header_offset, length, checksum = (
        HEADER_FIELDS.unpack(header[: HEADER_FIELDS.size])
    )
    intact = CHECKSUM.unpack(header[HEADER_FIELDS.size :])[0] == crc32(
        header[: HEADER_FIELDS.size]
    )
    placed = (magic, header_segment, header_offset) == (
        MAGIC,
        segment,
        offset,
    )
    return (length, checksum) if intact and placed else None


def read_frames(data: bytes, segment: int) -> Iterator[Frame]:
    """Yield the frames from the start up to the first broken one."""
    offset = 0
    while True:
        header = read_header(data, segment, offset)
        if header is None:
            return
        start = offset + HEADER_BYTES
        payload = data[start : start + header[0]]
        if len(payload) < header[0] or crc32(payload) != header[1]:
            return
        frame = Frame(offset=offset, payload=payload)
        yield frame
        offset = frame.end


def is_damaged(data: bytes, segment: int, offset: int) -> bool:
    """Whether the broken bytes at an offset were durable before.

    The sync marker of a frame becomes durable together with the next frame,
    when that frame is synced. A power loss before the sync may keep either of
    them, so an intact frame directly after a missing marker proves nothing. A
    header anywhere else was written after a sync that covered the offset.
    """
    unsynced_offset = offset + HEADER_BYTES
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        header = read_header(data, segment, position)
        if header is not None and position != unsynced_offset:
            return True
        position = data.find(MAGIC, position + 1)
    return False
