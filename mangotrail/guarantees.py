"""Whether all guarantees fit together, and where each can be reclaimed.

Each guaranteed cell has a home: accelerators that its account can take at any
time. Work of other accounts may borrow a home only if it can be preempted, so
that reclaiming never depends on work that must not stop.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from typing import NamedTuple, TypeAlias

from mangotrail._blocks import full_mask
from mangotrail._bundle import AccountSpec, Bundle
from mangotrail._packing import (
    CellShape,
    Home,
    Packing,
    Room,
    empty_room,
    order,
    pack_most,
    search,
)
from mangotrail.errors import InvalidBundleError
from mangotrail.ids import AccountId
from mangotrail.topology import Topology, Worker

PlannedCell: TypeAlias = tuple[CellShape, Home]

# Enough for fleets of the design size, where the first descent nearly always
# succeeds; a bundle that needs more is refused.
MAX_CHECK_STEPS = 20000
# The leader waits for this search, so it is short.
MAX_BACKTRACKING = 200


def cell_shapes(accounts: Iterable[AccountSpec]) -> Iterator[CellShape]:
    """Return one shape for each guaranteed cell."""
    for spec in accounts:
        for shape in spec.guarantees:
            for _ in range(shape.count):
                yield CellShape(spec.account, shape.level, shape.accelerators)


def check_guarantees(bundle: Bundle) -> None:
    """Check that all guarantees can be placed together.

    A cell at level worker is one aligned block; at level rack or zone it is
    whole workers of equal size and at most one block for the remainder.

    :raises InvalidBundleError: names the account and shape that do not fit.
    """
    topology = Topology(bundle)
    cells = order(cell_shapes(bundle.accounts))
    total = sum(worker.accelerators for worker in topology.walk())
    for cell in cells:
        total -= cell.accelerators
        if total < 0:
            raise _does_not_fit(cell)
    rooms = ((worker, empty_room(worker)) for worker in topology.walk())
    _, failed = search(Packing(topology, rooms), cells, MAX_CHECK_STEPS)
    if failed is not None:
        raise _does_not_fit(failed)


def _does_not_fit(cell: CellShape) -> InvalidBundleError:
    shape = f'{cell.accelerators} accelerators at level {cell.level.value}'
    return InvalidBundleError(
        f'guarantee of account {cell.account}: a cell of {shape} does not fit '
        'together with the other guarantees',
        field=f'accounts.{cell.account}.guarantees',
        value=shape,
        allowed='cells that all fit into the zones at the same time',
        remedy='lower the count or size of cells, or add workers',
    )


class Avoided(NamedTuple):
    """Capacity of a worker that homes of other accounts must leave alone."""

    worker: Worker
    account: AccountId
    mask: int
    tasks: int


class Keep(Enum):
    """Which homes a new plan leaves where they are.

    Used ones run work of their account; moving the others interrupts nobody.
    """

    ALL = 'all'
    USED = 'used'


def _is_used(cell: CellShape, home: Home) -> bool:
    return any(
        hold.account == cell.account and hold.mask & mask
        for worker, mask in home
        for hold in worker.holds.values()
    )


class Guarantees:
    """Homes of all guaranteed cells."""

    def __init__(self) -> None:
        self.homes: list[PlannedCell] = []
        # Where suspended cells will be once work of others there has ended.
        # They keep new work that must not stop away; otherwise small jobs
        # could keep a large cell suspended for ever.
        self.forming: list[PlannedCell] = []

    @property
    def suspended(self) -> list[CellShape]:
        """Return the cells that have no home at present."""
        return [cell for cell, home in self.homes if not home]

    def propose(
        self,
        topology: Topology,
        accounts: Iterable[AccountSpec],
        *,
        keep: Keep = Keep.ALL,
        avoid: Sequence[Avoided] = (),
        backtrack: bool = True,
    ) -> list[PlannedCell]:
        """Find homes that can be reclaimed for as many cells as possible.

        :param keep: which homes stay where they are if they are still good.
        :param avoid: capacity that is to be left to work of one account.
        :param backtrack: whether to search on if the first attempt fails,
            which takes several times as long.
        """
        wanted = order(cell_shapes(accounts))
        plan = _Plan(topology, avoid)
        kept = []
        left = Counter(wanted)
        for cell, home in self.homes:
            stays = keep is Keep.ALL or _is_used(cell, home)
            if stays and left[cell] and plan.keep(cell, home):
                left[cell] -= 1
                kept.append((cell, plan.homes[-1]))
        wanted = order(left.elements())
        return plan.without_excess(
            kept + plan.find(wanted, backtrack=backtrack)
        )

    def adopt(
        self, topology: Topology, homes: list[PlannedCell]
    ) -> set[Worker]:
        """Put proposed homes in force.

        :returns: workers whose homes changed.
        """
        before = {
            worker: (worker.own, worker.reserved)
            for worker in topology.walk()
            if worker.reserved
        }
        for worker in before:
            worker.own = {}
            worker.reserved = 0
        self.homes = homes
        self.forming = self._form(topology) if self.suspended else []
        for cell, home in homes:
            for worker, mask in home:
                worker.reserve(cell.account, mask)
        for _, home in self.forming:
            for worker, mask in home:
                worker.reserved |= mask
        for zone in topology.zones.values():
            zone.with_cells = {}
        concerned = {
            worker for _, home in homes + self.forming for worker, _ in home
        }
        for worker in topology.walk():
            for account in worker.own:
                worker.zone.with_cells.setdefault(account, []).append(worker)
        changed = {
            worker
            for worker in concerned.union(before)
            if (worker.own, worker.reserved) != before.get(worker)
        }
        for worker in changed:
            worker.zone.freed += 1
        return changed

    def _form(self, topology: Topology) -> list[PlannedCell]:
        """Choose where suspended cells will be, without regard to work."""
        taken: dict[Worker, int] = {}
        for _, home in self.homes:
            for worker, mask in home:
                taken[worker] = taken.get(worker, 0) | mask
        left = Counter(self.suspended)
        kept = []
        for cell, home in self.forming:
            good = all(
                topology.workers.get(worker.worker) is worker
                and worker.usable
                and not mask & taken.get(worker, 0)
                for worker, mask in home
            )
            if left[cell] and good:
                left[cell] -= 1
                kept.append((cell, home))
                for worker, mask in home:
                    taken[worker] = taken.get(worker, 0) | mask
        wanted = order(left.elements())
        rooms = (
            (worker, empty_room(worker).without(taken.get(worker, 0)))
            for worker in topology.walk()
            if worker.accelerators and worker.usable
        )
        homes = pack_most(Packing(topology, rooms), wanted)
        found = zip(wanted, homes, strict=True)
        return kept + [(cell, home) for cell, home in found if home]


class _Plan:
    """Homes under construction."""

    def __init__(self, topology: Topology, avoid: Sequence[Avoided]) -> None:
        self.topology = topology
        self.avoid: dict[Worker, list[Avoided]] = {}
        for one in avoid:
            self.avoid.setdefault(one.worker, []).append(one)
        self.taken: dict[Worker, int] = {}
        self.homes: list[Home] = []

    def keep(self, cell: CellShape, home: Home) -> bool:
        """Keep a home if the account can still take all of it."""
        found = []
        for worker, mask in home:
            current = self.topology.workers.get(worker.worker)
            if current is None or not current.usable:
                return False
            room = self.room(current)
            usable = room.usable(cell.account)
            if mask & ~usable or mask.bit_count() > room.tasks:
                return False
            found.append((current, mask))
        if found:
            self._add(tuple(found))
        return bool(found)

    def _add(self, home: Home) -> None:
        self.homes.append(home)
        for worker, mask in home:
            self.taken[worker] = self.taken.get(worker, 0) | mask

    def find(
        self, cells: list[CellShape], *, backtrack: bool
    ) -> list[PlannedCell]:
        """Find homes for cells; an empty home means that none was found."""
        if not cells:
            return []
        homes: list[Home] = []
        if backtrack:
            steps = len(cells) + MAX_BACKTRACKING
            homes, _ = search(self._packing(), cells, steps)
        if not homes:
            homes = pack_most(self._packing(), cells)
        return list(zip(cells, homes, strict=True))

    def _packing(self) -> Packing:
        rooms = (
            (worker, self.room(worker))
            for worker in self.topology.walk()
            if worker.accelerators and worker.usable
        )
        return Packing(self.topology, rooms)

    def room(self, worker: Worker) -> Room:
        """Return what cells can still take of a worker."""
        taken = self.taken.get(worker, 0)
        blocked: dict[AccountId, int] = {}
        outside = worker.outside
        outside_connections = worker.outside_connections
        if worker.pinned:
            for hold in worker.holds.values():
                if hold.pinned and hold.mask:
                    _add_mask(blocked, hold.account, hold.mask)
        for one in self.avoid.get(worker, ()):
            _add_mask(blocked, one.account, one.mask)
            outside += one.tasks
            outside_connections += one.tasks if one.mask else 0
        tasks = worker.accelerators - taken.bit_count()
        if outside:
            limit = min(
                worker.slots - outside,
                worker.connections - outside_connections,
            )
            tasks = min(tasks, limit - taken.bit_count())
        return Room(
            mask=full_mask(worker.accelerators) & ~taken,
            tasks=max(0, tasks),
            blocked=tuple(sorted(blocked.items())),
        )

    def without_excess(self, cells: list[PlannedCell]) -> list[PlannedCell]:
        """Drop homes whose slots or connections are taken.

        A member inside a cell of its own account uses the slots of that cell.
        Once the cell moves away the member needs slots of its own, which the
        rooms do not foresee.
        """
        own: dict[Worker, dict[AccountId, int]] = {}
        for cell, home in cells:
            for worker, mask in home:
                _add_mask(own.setdefault(worker, {}), cell.account, mask)
        excess = {
            worker
            for worker, masks in own.items()
            if (worker.pinned or worker.outside or worker in self.avoid)
            and self._exceeds(worker, masks)
        }
        return [
            (cell, () if excess.intersection(dict(home)) else home)
            for cell, home in cells
        ]

    def _exceeds(self, worker: Worker, own: dict[AccountId, int]) -> bool:
        needed = sum(mask.bit_count() for mask in own.values())
        slots = worker.slots - min(worker.slots, needed)
        connections = worker.connections - min(worker.connections, needed)
        for hold in worker.holds.values():
            if hold.pinned:
                outside = hold.outside_of(own.get(hold.account, 0))
                slots -= outside
                connections -= outside if hold.mask else 0
        for one in self.avoid.get(worker, ()):
            slots -= one.tasks
            connections -= one.tasks if one.mask else 0
        return slots < 0 or connections < 0


def _add_mask(
    masks: dict[AccountId, int], account: AccountId, mask: int
) -> None:
    masks[account] = masks.get(account, 0) | mask
