"""Where a gang is placed."""

from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from itertools import chain
from typing import NamedTuple

from mangotrail._blocks import count_blocks, full_mask, take_block
from mangotrail._messages import GangLevel, JobShape
from mangotrail.ids import AccountId, JobId, WorkerId
from mangotrail.topology import Hold, Spot, Topology, Worker, Zone


class Reach(Enum):
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
OWNERS = (Reach.OWN, Reach.RECLAIM)


class Want(NamedTuple):
    """A gang to place.

    :param ends_s: time by which it ends according to learned run times,
        infinite if unknown; a shorter one may backfill.
    :param avoided: workers that it must not use.
    """

    job: JobId
    account: AccountId
    shape: JobShape
    pinned: bool
    urgent: bool = False
    ends_s: float = float('inf')
    avoided: frozenset[WorkerId] = frozenset()


class Fit(NamedTuple):
    """Members that fit on one worker."""

    members: int
    rest: int
    mask: int
    worker: Worker


def takeable(worker: Worker, want: Want, reach: Reach) -> int:
    """Return the accelerators of a worker that a gang may use."""
    own = worker.own.get(want.account, 0)
    if reach is Reach.OWN:
        mask = worker.free & own
    elif reach is Reach.BORROW:
        mask = worker.free
    elif reach is Reach.LEND:
        mask = worker.free & worker.reserved & ~own
    else:
        mask = worker.free
        if worker.soft and reach is not Reach.OPEN:
            mask |= _displaceable(worker, want, reach, own)
        if want.pinned or reach is not Reach.DISPLACE:
            mask &= ~worker.reserved | own
    if worker.claims:
        mask &= ~_claimed(worker, want)
    return mask


def _displaceable(worker: Worker, want: Want, reach: Reach, own: int) -> int:
    mask = 0
    for hold in worker.holds.values():
        if is_displaceable(hold, want, reach):
            # Urgent work leaves others alone inside their own guarantee.
            theirs = worker.own.get(hold.account, 0) & ~own
            mask |= hold.mask & ~theirs
    return mask & own if reach is Reach.RECLAIM else mask


def is_displaceable(hold: Hold, want: Want, reach: Reach) -> bool:
    """Tell whether a holder may be preempted for a gang.

    An account reclaims its cells from all others; urgent work displaces any
    work that is not urgent.
    """
    if hold.pinned:
        return False
    if reach is Reach.RECLAIM:
        return hold.account != want.account
    return not hold.urgent


def _claimed(worker: Worker, want: Want) -> int:
    mask = 0
    for job, claim in worker.claims.items():
        if job != want.job and claim.blocks(want.ends_s, want.urgent):
            mask |= claim.mask
    return mask


def _claimed_slots(worker: Worker, want: Want) -> int:
    return sum(
        claim.slots
        for job, claim in worker.claims.items()
        if job != want.job and claim.blocks(want.ends_s, want.urgent)
    )


def _members_by_slots(
    worker: Worker, want: Want, reach: Reach, mask: int
) -> int:
    slots, connections = worker.free_slots, worker.free_connections
    if reach is Reach.RECLAIM or reach is Reach.DISPLACE:
        for hold in worker.holds.values():
            if is_displaceable(hold, want, reach):
                slots += hold.slots
                connections += hold.connections
    if worker.claims:
        claimed = _claimed_slots(worker, want)
        slots -= claimed
        connections -= claimed
    if want.shape.accelerators:
        slots = min(slots, connections)
    if not want.pinned:
        return slots
    if not want.shape.accelerators:
        return min(slots, worker.spare_slots)
    if mask & ~worker.own.get(want.account, 0):
        return min(slots, worker.spare_slots, worker.spare_connections)
    return slots


def fit_on(worker: Worker, want: Want, reach: Reach) -> Fit | None:
    """Return how many members fit on a worker, None if none does."""
    size = want.shape.accelerators
    mask = takeable(worker, want, reach) if size else 0
    if size:
        count = count_blocks(mask, size)
        if not count:
            return None
        rest = mask.bit_count() - count * size
    else:
        count = worker.slots
        # Workers with few accelerators first, then those with few free slots.
        rest = worker.accelerators * worker.slots + worker.free_slots
    count = min(count, _members_by_slots(worker, want, reach, mask))
    return Fit(count, rest, mask, worker) if count > 0 else None


def _fits(workers: Iterable[Worker], want: Want, reach: Reach) -> Iterator[Fit]:
    for worker in workers:
        if worker.healthy and not worker.quarantined:
            if want.avoided and worker.worker in want.avoided:
                continue
            fit = fit_on(worker, want, reach)
            if fit is not None:
                yield fit


def _may_fit(zone: Zone, want: Want, reach: Reach) -> Iterable[Worker]:
    """Return the workers of a zone that can hold a member at all."""
    size = want.shape.accelerators
    if not size:
        return zone.workers
    if reach is Reach.OWN:
        return zone.with_cells.get(want.account, ())
    if reach is Reach.RECLAIM or reach is Reach.DISPLACE:
        return zone.with_accelerators
    return chain.from_iterable(zone.by_free[size:])


def _choose(fits: Sequence[Fit], members: int, size: int) -> list[Spot]:
    """Fill whole workers first, then the tightest worker that remains."""
    left = members
    chosen: list[Spot] = []
    larger: Fit | None = None
    for fit in sorted(fits, key=lambda one: (-one.members, one.rest)):
        if fit.members > left:
            if larger is None or fit.members < larger.members:
                larger = fit
            continue
        if larger is not None and fit.members < left:
            break
        chosen.append(_spot(fit, fit.members, size))
        left -= fit.members
        if not left:
            return chosen
    if larger is not None:
        chosen.append(_spot(larger, left, size))
    return chosen


def _spot(fit: Fit, members: int, size: int) -> Spot:
    return spot_on(fit.worker, fit.mask, members, size)


def spot_on(worker: Worker, mask: int, members: int, size: int) -> Spot:
    """Place members of a size on the given accelerators of a worker."""
    masks = []
    for _ in range(members):
        block = take_block(mask, size) if size else 0
        mask &= ~block
        masks.append(block)
    return Spot(worker=worker, masks=tuple(masks))


def _domain(
    workers: Iterable[Worker], want: Want, reach: Reach
) -> list[Spot] | None:
    members = want.shape.members
    fits = list(_fits(workers, want, reach))
    if sum(fit.members for fit in fits) < members:
        return None
    return _choose(fits, members, want.shape.accelerators)


def _single(
    workers: Iterable[Worker], want: Want, reach: Reach
) -> list[Spot] | None:
    members = want.shape.members
    fits = [
        fit for fit in _fits(workers, want, reach) if fit.members >= members
    ]
    if not fits:
        return None
    best = min(fits, key=lambda fit: (fit.members, fit.rest))
    return [_spot(best, members, want.shape.accelerators)]


def place_in_zone(zone: Zone, want: Want, reach: Reach) -> list[Spot] | None:
    """Place a gang inside one zone, whole or not at all."""
    return next(choices_in_zone(zone, want, reach), None)


def choices_in_zone(
    zone: Zone, want: Want, reach: Reach
) -> Iterator[list[Spot]]:
    """Return one placement for each part of a zone that can hold a gang.

    The fullest rack comes first, so that empty racks are left to large gangs.
    """
    shape = want.shape
    need = shape.members * shape.accelerators
    if reach is Reach.RECLAIM or reach is Reach.DISPLACE:
        need = 0
    elif zone.free < need or zone.free_slots < shape.members:
        return
    if reach in OWNERS and want.account not in zone.with_cells:
        return
    if shape.members == 1 or shape.level is GangLevel.WORKER:
        found = _single(_may_fit(zone, want, reach), want, reach)
        if found:
            yield found
        return
    domains: list[Iterable[Worker]] = [_may_fit(zone, want, reach)]
    if shape.level is GangLevel.RACK:
        racks = sorted(zone.racks, key=lambda one: one.free)
        domains = [rack.workers for rack in racks if rack.free >= need]
    for workers in domains:
        found = _domain(workers, want, reach)
        if found:
            yield found


def zones_that_hold(topology: Topology, shape: JobShape) -> list[Zone]:
    """Return the zones whose empty inventory can hold a gang."""
    zones = topology.holding.get(shape)
    if zones is None:
        zones = [
            zone
            for zone in topology.zones.values()
            if any(
                _capacity(domain, shape) >= shape.members
                for domain in domains_of(zone, shape.level)
            )
        ]
        topology.holding[shape] = zones
    return zones


def _capacity(domain: Iterable[Worker], shape: JobShape) -> int:
    return sum(_members_when_empty(worker, shape) for worker in domain)


def domains_of(zone: Zone, level: GangLevel) -> list[tuple[Worker, ...]]:
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
