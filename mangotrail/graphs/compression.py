"""Compression of large encoded values.

A configuration with 2,000 queues takes 850 KB, which an entry instance on a
link of 2 Mbit/s can't receive before it takes its leader for lost.
"""

import zlib

import msgspec

# Smaller values take one or two packets anyway.
MIN_BYTES = 4_096
# Fast, since the leader does nothing else meanwhile.
LEVEL = 3
# Far above the largest configuration that an operator can send (4 MiB); bounds
# the memory that a damaged value can take.
MAX_BYTES = 32 * 1024 * 1024
# First byte of a zlib stream. In MessagePack it is a number, so that no encoded
# structure begins with it.
MARK = b'\x78'


def compress(encoded: bytes) -> bytes:
    """Compress an encoded structure if it is large."""
    if len(encoded) < MIN_BYTES:
        return encoded
    return zlib.compress(encoded, LEVEL)


def decompress(packed: bytes) -> bytes:
    """Return the encoded structure.

    :raises msgspec.DecodeError: if the bytes are damaged, cut off or too large.
    """
    if packed[:1] != MARK:
        return packed
    stream = zlib.decompressobj()
    try:
        encoded = stream.decompress(packed, MAX_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'damaged compression: {error}') from error
    if not stream.eof:
        raise msgspec.DecodeError(
            'the compressed bytes are cut off or too large'
        )
    return encoded
