"""Where a gang is placed."""

from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from itertools import chain
from typing import NamedTuple

from mangotrail._blocks import count_blocks, full_mask, take_block
from mangotrail._messages import GangLevel, JobShape
from mangotrail.ids import AccountId, JobId, WorkerId
from mangotrail.topology import Allocation, Hold, Topology, Worker, Zone


class CapacityScope(Enum):
    """Which capacity a placement may use.

    Lend is free capacity that others are guaranteed, borrow is all free
    capacity. Reclaim and displace count jobs that can be preempted, too.
    """

    OWN = 'own'
    OPEN = 'open'
    LEND = 'lend'
    BORROW = 'borrow'
    RECLAIM = 'reclaim'
    DISPLACE = 'displace'


# Searches that need cells of the account itself.
GUARANTEED_SCOPES = (CapacityScope.OWN, CapacityScope.RECLAIM)


class PlacementRequest(NamedTuple):
    """A gang to place.

    :param expected_end_s: time by which it ends according to learned run times,
        infinite if unknown; a shorter one may backfill.
    :param excluded_workers: workers that it must not use.
    """

    job: JobId
    account: AccountId
    shape: JobShape
    non_preemptible: bool
    urgent: bool = False
    expected_end_s: float = float('inf')
    excluded_workers: frozenset[WorkerId] = frozenset()


class WorkerFit(NamedTuple):
    """Members that fit on one worker."""

    members: int
    leftover: int
    mask: int
    worker: Worker


def available_mask(
    worker: Worker, request: PlacementRequest, scope: CapacityScope
) -> int:
    """Return the accelerators of a worker that a gang may use."""
    guaranteed = worker.guaranteed_by_account.get(request.account, 0)
    if scope is CapacityScope.OWN:
        mask = worker.free_mask & guaranteed
    elif scope is CapacityScope.BORROW:
        mask = worker.free_mask
    elif scope is CapacityScope.LEND:
        mask = worker.free_mask & worker.guaranteed_mask & ~guaranteed
    else:
        mask = worker.free_mask
        if worker.preemptible_mask and scope is not CapacityScope.OPEN:
            mask |= _preemptible_mask(worker, request, scope, guaranteed)
        if request.non_preemptible or scope is not CapacityScope.DISPLACE:
            mask &= ~worker.guaranteed_mask | guaranteed
    if worker.claims:
        mask &= ~_claimed_mask(worker, request)
    return mask


def _preemptible_mask(
    worker: Worker,
    request: PlacementRequest,
    scope: CapacityScope,
    guaranteed: int,
) -> int:
    mask = 0
    for hold in worker.holds.values():
        if is_preemptible_for(hold, request, scope):
            # Urgent work leaves others alone inside their own guarantee.
            holder_guaranteed = (
                worker.guaranteed_by_account.get(hold.account, 0) & ~guaranteed
            )
            mask |= hold.mask & ~holder_guaranteed
    return mask & guaranteed if scope is CapacityScope.RECLAIM else mask


def is_preemptible_for(
    hold: Hold, request: PlacementRequest, scope: CapacityScope
) -> bool:
    """Tell whether a holder may be preempted for a gang.

    An account reclaims its cells from all others; urgent work displaces any
    work that is not urgent.
    """
    if hold.non_preemptible:
        return False
    if scope is CapacityScope.RECLAIM:
        return hold.account != request.account
    return not hold.urgent


def _claimed_mask(worker: Worker, request: PlacementRequest) -> int:
    mask = 0
    for job, claim in worker.claims.items():
        if job != request.job and claim.blocks(
            request.expected_end_s, request.urgent
        ):
            mask |= claim.mask
    return mask


def _claimed_slots(worker: Worker, request: PlacementRequest) -> int:
    return sum(
        claim.slots
        for job, claim in worker.claims.items()
        if job != request.job
        and claim.blocks(request.expected_end_s, request.urgent)
    )


def _members_by_slots(
    worker: Worker, request: PlacementRequest, scope: CapacityScope, mask: int
) -> int:
    slots, connections = worker.free_slots, worker.free_connections
    if scope is CapacityScope.RECLAIM or scope is CapacityScope.DISPLACE:
        for hold in worker.holds.values():
            if is_preemptible_for(hold, request, scope):
                slots += hold.slots
                connections += hold.connections
    if worker.claims:
        claimed = _claimed_slots(worker, request)
        slots -= claimed
        connections -= claimed
    if request.shape.accelerators:
        slots = min(slots, connections)
    if not request.non_preemptible:
        return slots
    if not request.shape.accelerators:
        return min(slots, worker.spare_slots)
    if mask & ~worker.guaranteed_by_account.get(request.account, 0):
        return min(slots, worker.spare_slots, worker.spare_connections)
    return slots


def fit_on(
    worker: Worker, request: PlacementRequest, scope: CapacityScope
) -> WorkerFit | None:
    """Return how many members fit on a worker, None if none does."""
    size = request.shape.accelerators
    mask = available_mask(worker, request, scope) if size else 0
    if size:
        count = count_blocks(mask, size)
        if not count:
            return None
        rest = mask.bit_count() - count * size
    else:
        count = worker.slots
        # Workers with few accelerators first, then those with few free slots.
        rest = worker.accelerators * worker.slots + worker.free_slots
    count = min(count, _members_by_slots(worker, request, scope, mask))
    return WorkerFit(count, rest, mask, worker) if count > 0 else None


def _iter_fits(
    workers: Iterable[Worker], request: PlacementRequest, scope: CapacityScope
) -> Iterator[WorkerFit]:
    for worker in workers:
        if worker.healthy and not worker.quarantined:
            if (
                request.excluded_workers
                and worker.worker in request.excluded_workers
            ):
                continue
            fit = fit_on(worker, request, scope)
            if fit is not None:
                yield fit


def _candidate_workers(
    zone: Zone, request: PlacementRequest, scope: CapacityScope
) -> Iterable[Worker]:
    """Return the workers of a zone that can hold a member at all."""
    size = request.shape.accelerators
    if not size:
        return zone.workers
    if scope is CapacityScope.OWN:
        return zone.cell_workers.get(request.account, ())
    if scope is CapacityScope.RECLAIM or scope is CapacityScope.DISPLACE:
        return zone.accelerator_workers
    return chain.from_iterable(zone.workers_by_free[size:])


def _select_workers(
    fits: Sequence[WorkerFit], members: int, size: int
) -> list[Allocation]:
    """Fill whole workers first, then the tightest worker that remains."""
    remaining = members
    chosen: list[Allocation] = []
    smallest_larger: WorkerFit | None = None
    for fit in sorted(fits, key=lambda one: (-one.members, one.leftover)):
        if fit.members > remaining:
            if smallest_larger is None or fit.members < smallest_larger.members:
                smallest_larger = fit
            continue
        if smallest_larger is not None and fit.members < remaining:
            break
        chosen.append(_allocate_fit(fit, fit.members, size))
        remaining -= fit.members
        if not remaining:
            return chosen
    if smallest_larger is not None:
        chosen.append(_allocate_fit(smallest_larger, remaining, size))
    return chosen


def _allocate_fit(fit: WorkerFit, members: int, size: int) -> Allocation:
    return allocate_on(fit.worker, fit.mask, members, size)


def allocate_on(
    worker: Worker, mask: int, members: int, size: int
) -> Allocation:
    """Place members of a size on the given accelerators of a worker."""
    masks = []
    for _ in range(members):
        block = take_block(mask, size) if size else 0
        mask &= ~block
        masks.append(block)
    return Allocation(worker=worker, masks=tuple(masks))


def _place_in_domain(
    workers: Iterable[Worker], request: PlacementRequest, scope: CapacityScope
) -> list[Allocation] | None:
    members = request.shape.members
    fits = list(_iter_fits(workers, request, scope))
    if sum(fit.members for fit in fits) < members:
        return None
    return _select_workers(fits, members, request.shape.accelerators)


def _place_on_one_worker(
    workers: Iterable[Worker], request: PlacementRequest, scope: CapacityScope
) -> list[Allocation] | None:
    members = request.shape.members
    fits = [
        fit
        for fit in _iter_fits(workers, request, scope)
        if fit.members >= members
    ]
    if not fits:
        return None
    best = min(fits, key=lambda fit: (fit.members, fit.leftover))
    return [_allocate_fit(best, members, request.shape.accelerators)]


def place_in_zone(
    zone: Zone, request: PlacementRequest, scope: CapacityScope
) -> list[Allocation] | None:
    """Place a gang inside one zone, whole or not at all."""
    return next(placements_in_zone(zone, request, scope), None)


def placements_in_zone(
    zone: Zone, request: PlacementRequest, scope: CapacityScope
) -> Iterator[list[Allocation]]:
    """Return one placement for each part of a zone that can hold a gang.

    The fullest rack comes first, so that empty racks are left to large gangs.
    """
    shape = request.shape
    need = shape.members * shape.accelerators
    if scope is CapacityScope.RECLAIM or scope is CapacityScope.DISPLACE:
        need = 0
    elif zone.free < need or zone.free_slots < shape.members:
        return
    if scope in GUARANTEED_SCOPES and request.account not in zone.cell_workers:
        return
    if shape.members == 1 or shape.level is GangLevel.WORKER:
        found = _place_on_one_worker(
            _candidate_workers(zone, request, scope), request, scope
        )
        if found:
            yield found
        return
    domains: list[Iterable[Worker]] = [_candidate_workers(zone, request, scope)]
    if shape.level is GangLevel.RACK:
        racks = sorted(zone.racks, key=lambda one: one.free)
        domains = [rack.workers for rack in racks if rack.free >= need]
    for workers in domains:
        found = _place_in_domain(workers, request, scope)
        if found:
            yield found


def feasible_zones(topology: Topology, shape: JobShape) -> list[Zone]:
    """Return the zones whose empty inventory can hold a gang."""
    zones = topology.feasible_zones.get(shape)
    if zones is None:
        zones = [
            zone
            for zone in topology.zones.values()
            if any(
                _domain_capacity(domain, shape) >= shape.members
                for domain in placement_domains(zone, shape.level)
            )
        ]
        topology.feasible_zones[shape] = zones
    return zones


def _domain_capacity(domain: Iterable[Worker], shape: JobShape) -> int:
    return sum(_members_when_empty(worker, shape) for worker in domain)


def placement_domains(zone: Zone, level: GangLevel) -> list[tuple[Worker, ...]]:
    """Return the parts of a zone that must hold a whole gang."""
    if level is GangLevel.WORKER:
        return [(worker,) for worker in zone.workers]
    if level is GangLevel.RACK:
        return [rack.workers for rack in zone.racks]
    return [zone.workers]


def _members_when_empty(worker: Worker, shape: JobShape) -> int:
    if not shape.accelerators:
        return worker.slots
    return min(
        count_blocks(full_mask(worker.accelerators), shape.accelerators),
        worker.slots,
        worker.connections,
    )
