"""Packing of guaranteed cells into workers by backtracking search."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple, TypeAlias

from mangotrail._blocks import count_blocks, full_mask, take_block
from mangotrail._bundle import Level
from mangotrail.ids import AccountId
from mangotrail.topology import Rack, Topology, Worker, Zone


class CellShape(NamedTuple):
    """Size and level of one guaranteed cell."""

    account: AccountId
    level: Level
    accelerators: int


class RemainingCapacity(NamedTuple):
    """Capacity of a worker that cells can still take.

    The search treats workers of a rack with equal values as interchangeable.

    :param mask: accelerators that no cell has taken.
    :param max_accelerators: limit set by the slots and connections.
    :param held_by_account: accelerators by account that non-preemptible jobs
        hold or that are kept for the account; cells of others cannot use them.
    """

    mask: int
    max_accelerators: int
    held_by_account: tuple[tuple[AccountId, int], ...] = ()

    def usable(self, account: AccountId) -> int:
        """Return the mask of accelerators that an account's cell may take."""
        mask = self.mask
        for owner, used in self.held_by_account:
            if owner != account:
                mask &= ~used
        return mask

    def fits(self, account: AccountId, size: int) -> bool:
        """Return whether a block of an account fits."""
        return (
            size <= self.max_accelerators
            and count_blocks(self.usable(account), size) > 0
        )

    def without(self, mask: int) -> 'RemainingCapacity':
        """Return the capacity that remains after a block is taken."""
        return self._replace(
            mask=self.mask & ~mask,
            max_accelerators=self.max_accelerators - mask.bit_count(),
        )


CellBinding: TypeAlias = tuple[tuple[Worker, int], ...]
# Number of whole workers by rack, and the rack and capacity of the worker that
# takes the remainder.
_Candidate: TypeAlias = tuple[
    tuple[tuple[Rack, int], ...], tuple[Rack, RemainingCapacity] | None
]


def idle_capacity(worker: Worker) -> RemainingCapacity:
    """Return the capacity of an idle worker."""
    mask = full_mask(worker.accelerators)
    return RemainingCapacity(mask=mask, max_accelerators=worker.accelerators)


class Packing:
    """Workers grouped by rack and remaining capacity."""

    def __init__(
        self,
        topology: Topology,
        capacities: Iterable[tuple[Worker, RemainingCapacity]],
    ) -> None:
        self.zones = list(topology.zones.values())
        self.buckets: dict[int, dict[RemainingCapacity, list[Worker]]] = {
            id(rack): {} for zone in self.zones for rack in zone.racks
        }
        self.capacities: dict[int, RemainingCapacity] = {}
        for worker, capacity in capacities:
            self._put(worker, capacity)

    def _put(self, worker: Worker, capacity: RemainingCapacity) -> None:
        self.capacities[id(worker)] = capacity
        self.buckets[id(worker.rack)].setdefault(capacity, []).append(worker)

    def _move(self, worker: Worker, capacity: RemainingCapacity) -> None:
        old = self.capacities[id(worker)]
        bucket = self.buckets[id(worker.rack)]
        bucket[old].remove(worker)
        if not bucket[old]:
            del bucket[old]
        self._put(worker, capacity)

    def take(self, cell: CellShape, candidate: _Candidate) -> CellBinding:
        """Bind a cell to the accelerators of a candidate."""
        binding = []
        whole, remainder = candidate
        for rack, count in whole:
            mask = full_mask(rack.accelerators)
            for worker in self._idle_workers(rack, cell.account)[:count]:
                binding.append((worker, mask))
        used = sum(mask.bit_count() for _, mask in binding)
        for worker, mask in binding:
            self._move(worker, self.capacities[id(worker)].without(mask))
        if remainder is not None:
            rack, capacity = remainder
            worker = self.buckets[id(rack)][capacity][0]
            size = cell.accelerators - used
            block = take_block(capacity.usable(cell.account), size)
            self._move(worker, capacity.without(block))
            binding.append((worker, block))
        return tuple(binding)

    def undo(self, binding: CellBinding) -> None:
        """Return the accelerators of a cell."""
        for worker, mask in binding:
            capacity = self.capacities[id(worker)]
            self._move(
                worker,
                capacity._replace(
                    mask=capacity.mask | mask,
                    max_accelerators=capacity.max_accelerators
                    + mask.bit_count(),
                ),
            )

    def _idle_workers(self, rack: Rack, account: AccountId) -> list[Worker]:
        full = full_mask(rack.accelerators)
        return [
            worker
            for capacity, workers in self.buckets[id(rack)].items()
            if capacity.usable(account) == full
            and capacity.max_accelerators >= rack.accelerators
            for worker in workers
        ]

    def candidates(self, cell: CellShape) -> Iterator[_Candidate]:
        """Yield every distinct way to bind a cell, tightest fit first."""
        if cell.level is Level.WORKER:
            yield from self._in_worker(cell)
        elif cell.level is Level.RACK:
            yield from self._in_racks(cell)
        else:
            yield from self._in_zones(cell)

    def _in_worker(self, cell: CellShape) -> Iterator[_Candidate]:
        racks = [rack for zone in self.zones for rack in zone.racks]
        for remainder in self._blocks(racks, cell.account, cell.accelerators):
            yield (), remainder

    def _blocks(
        self, racks: Sequence[Rack], account: AccountId, size: int
    ) -> list[tuple[Rack, RemainingCapacity]]:
        found = [
            (rack, capacity)
            for rack in racks
            if rack.accelerators >= size
            for capacity in self.buckets[id(rack)]
            if capacity.fits(account, size)
        ]
        return sorted(
            found, key=lambda item: item[1].usable(account).bit_count()
        )

    def _in_racks(self, cell: CellShape) -> Iterator[_Candidate]:
        racks = [
            (len(self._idle_workers(rack, cell.account)), rack)
            for zone in self.zones
            for rack in zone.racks
            if rack.accelerators
        ]
        for free, rack in sorted(racks, key=lambda item: item[0]):
            whole, remainder = divmod(cell.accelerators, rack.accelerators)
            if free >= whole:
                taken = ((rack, whole),) if whole else ()
                yield from self._with_remainder(cell, taken, [rack], remainder)

    def _with_remainder(
        self,
        cell: CellShape,
        whole: tuple[tuple[Rack, int], ...],
        racks: Sequence[Rack],
        remainder: int,
    ) -> Iterator[_Candidate]:
        if not remainder:
            yield whole, None
            return
        taken = {id(rack): count for rack, count in whole}
        for rack, capacity in self._blocks(racks, cell.account, remainder):
            spare = len(self._idle_workers(rack, cell.account)) - taken.get(
                id(rack), 0
            )
            full = capacity.usable(cell.account) == full_mask(rack.accelerators)
            if not full or spare > 0:
                yield whole, (rack, capacity)

    def _in_zones(self, cell: CellShape) -> Iterator[_Candidate]:
        for zone in sorted(self.zones, key=self._free_in):
            for size in sorted({rack.accelerators for rack in zone.racks}):
                racks = [
                    rack for rack in zone.racks if rack.accelerators == size
                ]
                if not size:
                    continue
                whole, remainder = divmod(cell.accelerators, size)
                for taken in self._distribute(cell.account, racks, whole):
                    yield from self._with_remainder(
                        cell, taken, racks, remainder
                    )

    def _free_in(self, zone: Zone) -> int:
        return sum(
            capacity.mask.bit_count() * len(workers)
            for rack in zone.racks
            for capacity, workers in self.buckets[id(rack)].items()
        )

    def _distribute(
        self, account: AccountId, racks: Sequence[Rack], whole: int
    ) -> Iterator[tuple[tuple[Rack, int], ...]]:
        free = [
            (len(self._idle_workers(rack, account)), rack) for rack in racks
        ]
        free.sort(key=lambda item: item[0])
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
    later = sum(other for other, _ in others)
    for taken in range(min(count, whole), max(0, whole - later) - 1, -1):
        for more in _distributions(others, whole - taken):
            yield (((rack, taken),) if taken else ()) + more


def search_order(cells: Iterable[CellShape]) -> list[CellShape]:
    """Sort cells for the search: by size descending, then narrowest level."""
    levels = list(Level)
    return sorted(
        cells, key=lambda cell: (-cell.accelerators, levels.index(cell.level))
    )


def pack_all(
    packing: Packing, cells: Sequence[CellShape], max_steps: int
) -> tuple[list[CellBinding], CellShape | None]:
    """Pack all cells with backtracking.

    :param cells: cells in search order.
    :param max_steps: steps after which the search gives up.
    :returns: a binding for each cell, or the cell at which the deepest attempt
        failed.
    """
    bindings: list[CellBinding] = []
    stack = [packing.candidates(cells[0])] if cells else []
    deepest = 0
    for _ in range(max_steps):
        if len(bindings) == len(cells):
            return bindings, None
        deepest = max(deepest, len(bindings))
        candidate = next(stack[-1], None)
        if candidate is None:
            stack.pop()
            if not stack:
                break
            packing.undo(bindings.pop())
            continue
        bindings.append(packing.take(cells[len(bindings)], candidate))
        if len(bindings) < len(cells):
            stack.append(packing.candidates(cells[len(bindings)]))
    return [], cells[deepest] if deepest < len(cells) else cells[-1]


def pack_most(
    packing: Packing, cells: Sequence[CellShape]
) -> list[CellBinding]:
    """Pack cells greedily, without backtracking.

    :returns: a binding for each cell, empty if the cell does not fit.
    """
    bindings: list[CellBinding] = []
    infeasible: set[CellShape] = set()
    for cell in cells:
        candidate = None
        if cell not in infeasible:
            candidate = next(packing.candidates(cell), None)
        if candidate is None:
            infeasible.add(cell)
        bindings.append(packing.take(cell, candidate) if candidate else ())
    return bindings
