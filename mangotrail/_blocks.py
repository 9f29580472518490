"""Blocks of adjacent accelerators on one worker, as bit masks.

A worker's accelerators form aligned groups of 2 and of 4. A block of 1, 2, 3
or 4 lies inside the smallest group that can hold it; a larger block lies
anywhere on the worker.
"""

from collections.abc import Iterator
from functools import lru_cache

_GROUP = 4


def full_mask(size: int) -> int:
    """Return the mask of the first `size` accelerators."""
    return (1 << size) - 1


def bit_indexes(mask: int) -> list[int]:
    """Return the accelerator indexes of a mask in ascending order."""
    indexes = []
    while mask:
        low = mask & -mask
        indexes.append(low.bit_length() - 1)
        mask ^= low
    return indexes


def _groups(mask: int, width: int) -> Iterator[int]:
    shift = 0
    group = full_mask(width)
    while mask >> shift:
        part = mask & (group << shift)
        if part:
            yield part
        shift += width


def _group_width(size: int) -> int:
    return size if size <= 2 else _GROUP


@lru_cache(maxsize=65536)
def count_blocks(mask: int, size: int) -> int:
    """Return how many blocks of `size` fit into the free accelerators."""
    if size == 1 or size > _GROUP:
        return mask.bit_count() // size
    return sum(
        part.bit_count() >= size for part in _groups(mask, _group_width(size))
    )


def _lowest_bits(mask: int, size: int) -> int:
    taken = 0
    for _ in range(size):
        low = mask & -mask
        taken |= low
        mask ^= low
    return taken


def _fragmentation_key(mask: int) -> tuple[int, int]:
    pairs = sum(part.bit_count() == 2 for part in _groups(mask, 2))
    return mask.bit_count(), pairs


@lru_cache(maxsize=65536)
def take_block(mask: int, size: int) -> int:
    """Return the block of `size` that leaves the largest groups whole.

    :returns: mask of the block, 0 if none fits.
    """
    if size > mask.bit_count():
        return 0
    if size > _GROUP:
        return _take_across_groups(mask, size)
    best = 0
    best_key: tuple[int, int, int] | None = None
    for part in _groups(mask, _group_width(size)):
        if part.bit_count() < size:
            continue
        key = (*_fragmentation_key(_group_around(mask, part)), part)
        if best_key is None or key < best_key:
            best, best_key = part, key
    return _take_from_group(best, size)


def _group_around(mask: int, part: int) -> int:
    shift = (part.bit_length() - 1) // _GROUP * _GROUP
    return mask & (full_mask(_GROUP) << shift)


def _take_from_group(part: int, size: int) -> int:
    # Of a group of 4, a block of 3 takes the whole pair first.
    pairs = sorted(_groups(part, 2), key=lambda pair: -pair.bit_count())
    taken = 0
    for pair in pairs:
        taken |= _lowest_bits(pair, min(size, pair.bit_count()))
        size -= min(size, pair.bit_count())
    return taken


def _take_across_groups(mask: int, size: int) -> int:
    taken = 0
    for part in sorted(_groups(mask, _GROUP), key=lambda one: one.bit_count()):
        step = min(size, part.bit_count())
        taken |= _take_from_group(part, step)
        size -= step
    return taken
