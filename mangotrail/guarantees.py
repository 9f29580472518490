"""Feasibility of guarantees, and binding of guaranteed cells.

Each guaranteed cell is bound to accelerators that its account can reclaim at
any time. Other accounts may borrow the accelerators of a bound cell only for
preemptible jobs, so that reclaiming never waits for a non-preemptible job.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from typing import NamedTuple, TypeAlias

from mangotrail._blocks import full_mask
from mangotrail._bundle import AccountSpec, Bundle
from mangotrail._packing import (
    CellBinding,
    CellShape,
    Packing,
    RemainingCapacity,
    idle_capacity,
    pack_all,
    pack_most,
    search_order,
)
from mangotrail.errors import InvalidBundleError
from mangotrail.ids import AccountId
from mangotrail.topology import Topology, Worker

BoundCell: TypeAlias = tuple[CellShape, CellBinding]

# Sufficient for fleets of the design size, where the search nearly always
# succeeds without backtracking. A bundle that needs more steps is refused.
MAX_CHECK_STEPS = 20000
# Kept small, because the leader waits for this search.
MAX_BACKTRACKING_STEPS = 200


def cell_shapes(accounts: Iterable[AccountSpec]) -> Iterator[CellShape]:
    """Yield one shape for each guaranteed cell."""
    for spec in accounts:
        for shape in spec.guarantees:
            for _ in range(shape.count):
                yield CellShape(spec.account, shape.level, shape.accelerators)


def check_guarantees(bundle: Bundle) -> None:
    """Check that all guarantees of a bundle can be satisfied together.

    A cell at level worker is one aligned block; at level rack or zone it is
    whole workers of equal size and at most one block for the remainder.

    :raises InvalidBundleError: if a cell does not fit; names its account and
        shape.
    """
    topology = Topology(bundle)
    cells = search_order(cell_shapes(bundle.accounts))
    total = sum(worker.accelerators for worker in topology.iter_workers())
    for cell in cells:
        total -= cell.accelerators
        if total < 0:
            raise _does_not_fit(cell)
    capacities = (
        (worker, idle_capacity(worker)) for worker in topology.iter_workers()
    )
    _, failed = pack_all(Packing(topology, capacities), cells, MAX_CHECK_STEPS)
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


class ExcludedCapacity(NamedTuple):
    """Capacity of a worker to which cells of other accounts are not bound.

    :param account: account that the capacity is kept for.
    """

    worker: Worker
    account: AccountId
    mask: int
    members: int


class KeptBindings(Enum):
    """Which bindings a new plan keeps.

    ``USED`` keeps only bindings on which jobs of their own account run;
    changing the others interrupts no job.
    """

    ALL = 'all'
    USED = 'used'


def _runs_own_work(cell: CellShape, binding: CellBinding) -> bool:
    return any(
        hold.account == cell.account and hold.mask & mask
        for worker, mask in binding
        for hold in worker.holds.values()
    )


class Guarantees:
    """Bindings of all guaranteed cells."""

    def __init__(self) -> None:
        self.bindings: list[BoundCell] = []
        # Where unbound cells will be bound once the jobs of others there have
        # ended. New non-preemptible jobs of others are kept away from these
        # accelerators; otherwise small jobs could keep a large cell unbound
        # forever.
        self.future_bindings: list[BoundCell] = []

    @property
    def unbound(self) -> list[CellShape]:
        """Return the cells that have no binding at present."""
        return [cell for cell, binding in self.bindings if not binding]

    def propose(
        self,
        topology: Topology,
        accounts: Iterable[AccountSpec],
        *,
        keep: KeptBindings = KeptBindings.ALL,
        excluded: Sequence[ExcludedCapacity] = (),
        backtrack: bool = True,
    ) -> list[BoundCell]:
        """Find bindings for as many cells as possible.

        :param keep: bindings to keep as long as they are valid.
        :param excluded: capacity that is kept for jobs of one account.
        :param backtrack: whether to backtrack if a cell does not fit, which
            takes several times as long.
        """
        wanted = search_order(cell_shapes(accounts))
        plan = _BindingPlan(topology, excluded)
        kept = []
        remaining = Counter(wanted)
        for cell, binding in self.bindings:
            may_keep = keep is KeptBindings.ALL or _runs_own_work(cell, binding)
            if may_keep and remaining[cell] and plan.keep(cell, binding):
                remaining[cell] -= 1
                kept.append((cell, plan.bindings[-1]))
        wanted = search_order(remaining.elements())
        return plan.drop_oversubscribed(
            kept + plan.bind(wanted, backtrack=backtrack)
        )

    def apply(
        self, topology: Topology, bindings: list[BoundCell]
    ) -> set[Worker]:
        """Put proposed bindings in force.

        :returns: workers whose bindings changed.
        """
        before = {
            worker: (worker.guaranteed_by_account, worker.guaranteed_mask)
            for worker in topology.iter_workers()
            if worker.guaranteed_mask
        }
        for worker in before:
            worker.guaranteed_by_account = {}
            worker.guaranteed_mask = 0
        self.bindings = bindings
        self.future_bindings = (
            self._plan_future(topology) if self.unbound else []
        )
        for cell, binding in bindings:
            for worker, mask in binding:
                worker.add_guaranteed(cell.account, mask)
        for _, binding in self.future_bindings:
            for worker, mask in binding:
                worker.guaranteed_mask |= mask
        for zone in topology.zones.values():
            zone.cell_workers = {}
        bound_workers = {
            worker
            for _, binding in bindings + self.future_bindings
            for worker, _ in binding
        }
        for worker in topology.iter_workers():
            for account in worker.guaranteed_by_account:
                worker.zone.cell_workers.setdefault(account, []).append(worker)
        changed = {
            worker
            for worker in bound_workers.union(before)
            if (worker.guaranteed_by_account, worker.guaranteed_mask)
            != before.get(worker)
        }
        for worker in changed:
            worker.zone.capacity_version += 1
        return changed

    def _plan_future(self, topology: Topology) -> list[BoundCell]:
        """Choose future bindings of unbound cells, ignoring running jobs."""
        taken: dict[Worker, int] = {}
        for _, binding in self.bindings:
            for worker, mask in binding:
                taken[worker] = taken.get(worker, 0) | mask
        remaining = Counter(self.unbound)
        kept = []
        for cell, binding in self.future_bindings:
            good = all(
                topology.workers.get(worker.worker) is worker
                and worker.usable
                and not mask & taken.get(worker, 0)
                for worker, mask in binding
            )
            if remaining[cell] and good:
                remaining[cell] -= 1
                kept.append((cell, binding))
                for worker, mask in binding:
                    taken[worker] = taken.get(worker, 0) | mask
        wanted = search_order(remaining.elements())
        capacities = (
            (worker, idle_capacity(worker).without(taken.get(worker, 0)))
            for worker in topology.iter_workers()
            if worker.accelerators and worker.usable
        )
        bindings = pack_most(Packing(topology, capacities), wanted)
        found = zip(wanted, bindings, strict=True)
        return kept + [(cell, binding) for cell, binding in found if binding]


class _BindingPlan:
    """Bindings under construction."""

    def __init__(
        self, topology: Topology, excluded: Sequence[ExcludedCapacity]
    ) -> None:
        self.topology = topology
        self.excluded: dict[Worker, list[ExcludedCapacity]] = {}
        for capacity in excluded:
            self.excluded.setdefault(capacity.worker, []).append(capacity)
        self.taken: dict[Worker, int] = {}
        self.bindings: list[CellBinding] = []

    def keep(self, cell: CellShape, binding: CellBinding) -> bool:
        """Keep a binding if the account can still take all of it."""
        found = []
        for worker, mask in binding:
            current = self.topology.workers.get(worker.worker)
            if current is None or not current.usable:
                return False
            capacity = self.capacity_of(current)
            usable = capacity.usable(cell.account)
            if mask & ~usable or mask.bit_count() > capacity.max_accelerators:
                return False
            found.append((current, mask))
        if found:
            self._add(tuple(found))
        return bool(found)

    def _add(self, binding: CellBinding) -> None:
        self.bindings.append(binding)
        for worker, mask in binding:
            self.taken[worker] = self.taken.get(worker, 0) | mask

    def bind(
        self, cells: list[CellShape], *, backtrack: bool
    ) -> list[BoundCell]:
        """Bind cells; a cell that does not fit gets an empty binding."""
        if not cells:
            return []
        bindings: list[CellBinding] = []
        if backtrack:
            steps = len(cells) + MAX_BACKTRACKING_STEPS
            bindings, _ = pack_all(self._packing(), cells, steps)
        if not bindings:
            bindings = pack_most(self._packing(), cells)
        return list(zip(cells, bindings, strict=True))

    def _packing(self) -> Packing:
        capacities = (
            (worker, self.capacity_of(worker))
            for worker in self.topology.iter_workers()
            if worker.accelerators and worker.usable
        )
        return Packing(self.topology, capacities)

    def capacity_of(self, worker: Worker) -> RemainingCapacity:
        """Return the capacity of a worker that cells can still take."""
        taken = self.taken.get(worker, 0)
        held_by_account: dict[AccountId, int] = {}
        uncovered_slots = worker.uncovered_slots
        uncovered_connections = worker.uncovered_connections
        if worker.non_preemptible_mask:
            for hold in worker.holds.values():
                if hold.non_preemptible and hold.mask:
                    _add_mask(held_by_account, hold.account, hold.mask)
        for capacity in self.excluded.get(worker, ()):
            _add_mask(held_by_account, capacity.account, capacity.mask)
            uncovered_slots += capacity.members
            uncovered_connections += capacity.members if capacity.mask else 0
        max_accelerators = worker.accelerators - taken.bit_count()
        if uncovered_slots:
            limit = min(
                worker.slots - uncovered_slots,
                worker.connections - uncovered_connections,
            )
            max_accelerators = min(max_accelerators, limit - taken.bit_count())
        return RemainingCapacity(
            mask=full_mask(worker.accelerators) & ~taken,
            max_accelerators=max(0, max_accelerators),
            held_by_account=tuple(sorted(held_by_account.items())),
        )

    def drop_oversubscribed(self, cells: list[BoundCell]) -> list[BoundCell]:
        """Drop bindings whose slots or connections are taken.

        A member inside a cell of its own account uses the slots of that cell.
        Once the cell is bound elsewhere the member needs slots of its own,
        which :meth:`capacity_of` does not account for.
        """
        guaranteed: dict[Worker, dict[AccountId, int]] = {}
        for cell, binding in cells:
            for worker, mask in binding:
                _add_mask(guaranteed.setdefault(worker, {}), cell.account, mask)
        oversubscribed = {
            worker
            for worker, masks in guaranteed.items()
            if (
                worker.non_preemptible_mask
                or worker.uncovered_slots
                or worker in self.excluded
            )
            and self._is_oversubscribed(worker, masks)
        }
        return [
            (
                cell,
                () if oversubscribed.intersection(dict(binding)) else binding,
            )
            for cell, binding in cells
        ]

    def _is_oversubscribed(
        self, worker: Worker, guaranteed: dict[AccountId, int]
    ) -> bool:
        needed = sum(mask.bit_count() for mask in guaranteed.values())
        slots = worker.slots - min(worker.slots, needed)
        connections = worker.connections - min(worker.connections, needed)
        for hold in worker.holds.values():
            if hold.non_preemptible:
                uncovered = hold.uncovered_by(guaranteed.get(hold.account, 0))
                slots -= uncovered
                connections -= uncovered if hold.mask else 0
        for capacity in self.excluded.get(worker, ()):
            slots -= capacity.members
            connections -= capacity.members if capacity.mask else 0
        return slots < 0 or connections < 0


def _add_mask(
    masks: dict[AccountId, int], account: AccountId, mask: int
) -> None:
    masks[account] = masks.get(account, 0) | mask
