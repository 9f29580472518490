"""Search for a packing of guaranteed cells into workers."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, TypeAlias

from mangotrail._blocks import count_blocks, full_mask, take_block
from mangotrail._bundle import Level
from mangotrail.ids import AccountId
from mangotrail.topology import Rack, Topology, Worker, Zone


class CellShape(NamedTuple):
    """One guaranteed cell to be packed."""

    account: AccountId
    level: Level
    accelerators: int


class Room(NamedTuple):
    """What a worker can still take; workers with equal room are alike.

    :param mask: accelerators that no cell has taken.
    :param tasks: accelerators that the slots and connections allow to take.
    :param blocked: accelerators in use by work that must not be preempted.
    """

    mask: int
    tasks: int
    blocked: tuple[tuple[AccountId, int], ...] = ()

    def usable(self, account: AccountId) -> int:
        """Return the accelerators that a cell of an account may take."""
        mask = self.mask
        for owner, used in self.blocked:
            if owner != account:
                mask &= ~used
        return mask

    def fits(self, account: AccountId, size: int) -> bool:
        """Tell whether a block of an account fits."""
        return (
            size <= self.tasks and count_blocks(self.usable(account), size) > 0
        )

    def without(self, mask: int) -> 'Room':
        """Return the room that is left after a block was taken."""
        return self._replace(
            mask=self.mask & ~mask, tasks=self.tasks - mask.bit_count()
        )


Home: TypeAlias = tuple[tuple[Worker, int], ...]
# Racks of whole workers (with their number), and the rack and room of the
# worker that takes the remainder.
_Candidate: TypeAlias = tuple[
    tuple[tuple[Rack, int], ...], tuple[Rack, Room] | None
]


def empty_room(worker: Worker) -> Room:
    """Return the room of a worker that runs nothing."""
    mask = full_mask(worker.accelerators)
    return Room(mask=mask, tasks=worker.accelerators)


class Packing:
    """Workers grouped by rack and room, and the cells taken from them."""

    def __init__(
        self, topology: Topology, rooms: Iterable[tuple[Worker, Room]]
    ) -> None:
        self.zones = list(topology.zones.values())
        self.buckets: dict[int, dict[Room, list[Worker]]] = {
            id(rack): {} for zone in self.zones for rack in zone.racks
        }
        self.rooms: dict[int, Room] = {}
        for worker, room in rooms:
            self._put(worker, room)

    def _put(self, worker: Worker, room: Room) -> None:
        self.rooms[id(worker)] = room
        self.buckets[id(worker.rack)].setdefault(room, []).append(worker)

    def _move(self, worker: Worker, room: Room) -> None:
        old = self.rooms[id(worker)]
        bucket = self.buckets[id(worker.rack)]
        bucket[old].remove(worker)
        if not bucket[old]:
            del bucket[old]
        self._put(worker, room)

    def take(self, cell: CellShape, candidate: _Candidate) -> Home:
        """Take the accelerators of a candidate."""
        home = []
        whole, rest = candidate
        for rack, count in whole:
            mask = full_mask(rack.accelerators)
            for worker in self._whole(rack, cell.account)[:count]:
                home.append((worker, mask))
        used = sum(mask.bit_count() for _, mask in home)
        for worker, mask in home:
            self._move(worker, self.rooms[id(worker)].without(mask))
        if rest is not None:
            rack, room = rest
            worker = self.buckets[id(rack)][room][0]
            size = cell.accelerators - used
            block = take_block(room.usable(cell.account), size)
            self._move(worker, room.without(block))
            home.append((worker, block))
        return tuple(home)

    def undo(self, home: Home) -> None:
        """Give the accelerators of a cell back."""
        for worker, mask in home:
            room = self.rooms[id(worker)]
            self._move(
                worker,
                room._replace(
                    mask=room.mask | mask, tasks=room.tasks + mask.bit_count()
                ),
            )

    def _whole(self, rack: Rack, account: AccountId) -> list[Worker]:
        full = full_mask(rack.accelerators)
        return [
            worker
            for room, workers in self.buckets[id(rack)].items()
            if room.usable(account) == full and room.tasks >= rack.accelerators
            for worker in workers
        ]

    def candidates(self, cell: CellShape) -> Iterator[_Candidate]:
        """Return every distinct way to take a cell, tightest first."""
        if cell.level is Level.WORKER:
            yield from self._single(cell)
        elif cell.level is Level.RACK:
            yield from self._in_racks(cell)
        else:
            yield from self._in_zones(cell)

    def _single(self, cell: CellShape) -> Iterator[_Candidate]:
        racks = [rack for zone in self.zones for rack in zone.racks]
        for rest in self._blocks(racks, cell.account, cell.accelerators):
            yield (), rest

    def _blocks(
        self, racks: Sequence[Rack], account: AccountId, size: int
    ) -> list[tuple[Rack, Room]]:
        found = [
            (rack, room)
            for rack in racks
            if rack.accelerators >= size
            for room in self.buckets[id(rack)]
            if room.fits(account, size)
        ]
        return sorted(found, key=lambda one: one[1].usable(account).bit_count())

    def _in_racks(self, cell: CellShape) -> Iterator[_Candidate]:
        racks = [
            (len(self._whole(rack, cell.account)), rack)
            for zone in self.zones
            for rack in zone.racks
            if rack.accelerators
        ]
        for free, rack in sorted(racks, key=lambda one: one[0]):
            whole, rest = divmod(cell.accelerators, rack.accelerators)
            if free >= whole:
                taken = ((rack, whole),) if whole else ()
                yield from self._with_rest(cell, taken, [rack], rest)

    def _with_rest(
        self,
        cell: CellShape,
        whole: tuple[tuple[Rack, int], ...],
        racks: Sequence[Rack],
        rest: int,
    ) -> Iterator[_Candidate]:
        if not rest:
            yield whole, None
            return
        taken = {id(rack): count for rack, count in whole}
        for rack, room in self._blocks(racks, cell.account, rest):
            spare = len(self._whole(rack, cell.account)) - taken.get(
                id(rack), 0
            )
            full = room.usable(cell.account) == full_mask(rack.accelerators)
            if not full or spare > 0:
                yield whole, (rack, room)

    def _in_zones(self, cell: CellShape) -> Iterator[_Candidate]:
        for zone in sorted(self.zones, key=self._free_in):
            for size in sorted({rack.accelerators for rack in zone.racks}):
                racks = [
                    rack for rack in zone.racks if rack.accelerators == size
                ]
                if not size:
                    continue
                whole, rest = divmod(cell.accelerators, size)
                for taken in self._spread(cell.account, racks, whole):
                    yield from self._with_rest(cell, taken, racks, rest)

    def _free_in(self, zone: Zone) -> int:
        return sum(
            room.mask.bit_count() * len(workers)
            for rack in zone.racks
            for room, workers in self.buckets[id(rack)].items()
        )

    def _spread(
        self, account: AccountId, racks: Sequence[Rack], whole: int
    ) -> Iterator[tuple[tuple[Rack, int], ...]]:
        free = [(len(self._whole(rack, account)), rack) for rack in racks]
        free.sort(key=lambda one: one[0])
        if sum(count for count, _ in free) >= whole:
            yield from _distributions(free, whole)


def _distributions(
    free: list[tuple[int, Rack]], whole: int
) -> Iterator[tuple[tuple[Rack, int], ...]]:
    if not whole:
        yield ()
        return
    if not free:
        return
    (count, rack), *others = free
    later = sum(one for one, _ in others)
    for taken in range(min(count, whole), max(0, whole - later) - 1, -1):
        for more in _distributions(others, whole - taken):
            yield (((rack, taken),) if taken else ()) + more


def order(cells: Iterable[CellShape]) -> list[CellShape]:
    """Sort cells for the search: large first, then narrow levels first."""
    levels = list(Level)
    return sorted(
        cells, key=lambda cell: (-cell.accelerators, levels.index(cell.level))
    )


def search(
    packing: Packing, cells: Sequence[CellShape], max_steps: int
) -> tuple[list[Home], CellShape | None]:
    """Pack all cells with backtracking.

    :param cells: cells in search order.
    :param max_steps: steps after which the search gives up.
    :returns: a home for each cell, or the cell at which the deepest attempt
        failed.
    """
    homes: list[Home] = []
    stack = [packing.candidates(cells[0])] if cells else []
    deepest = 0
    for _ in range(max_steps):
        if len(homes) == len(cells):
            return homes, None
        deepest = max(deepest, len(homes))
        candidate = next(stack[-1], None)
        if candidate is None:
            stack.pop()
            if not stack:
                break
            packing.undo(homes.pop())
            continue
        homes.append(packing.take(cells[len(homes)], candidate))
        if len(homes) < len(cells):
            stack.append(packing.candidates(cells[len(homes)]))
    return [], cells[deepest] if deepest < len(cells) else cells[-1]


def pack_most(packing: Packing, cells: Sequence[CellShape]) -> list[Home]:
    """Pack each cell if it fits without moving another one.

    :returns: a home for each cell, empty where none was found.
    """
    homes: list[Home] = []
    hopeless: set[CellShape] = set()
    for cell in cells:
        candidate = None
        if cell not in hopeless:
            candidate = next(packing.candidates(cell), None)
        if candidate is None:
            hopeless.add(cell)
        homes.append(packing.take(cell, candidate) if candidate else ())
    return homes
