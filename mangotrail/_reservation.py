"""Estimates where and when a waiting gang can start first."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from mangotrail._blocks import count_blocks, full_mask
from mangotrail.ids import JobId
from mangotrail.placement import (
    PlacementRequest,
    allocate_on,
    placement_domains,
)
from mangotrail.topology import Allocation, Worker, Zone


class Reservation(NamedTuple):
    """Capacity that is expected to become free for a gang.

    :param ready_s: time at which all of it is expected to be free.
    """

    zone: Zone
    allocations: list[Allocation]
    ready_s: float


class _Offer(NamedTuple):
    ready_s: float
    members: int
    mask: int
    worker: Worker


def find_reservations(
    zones: Iterable[Zone],
    request: PlacementRequest,
    now_s: float,
    expected_end_s: Callable[[JobId], float],
) -> list[Reservation]:
    """Return where a gang can start later, earliest first.

    :param request: if it is preemptible, guaranteed cells of other accounts
        are considered as well.
    :param expected_end_s: returns the expected end of a running job.
    """
    candidates: list[Reservation] = []
    for zone in zones:
        for domain in placement_domains(zone, request.shape.level):
            offers = [
                offer
                for worker in domain
                for offer in _iter_offers(
                    worker, request, now_s, expected_end_s
                )
            ]
            found = _earliest_reservation(zone, offers, request)
            if found:
                candidates.append(found)
    return sorted(candidates, key=lambda found: found.ready_s)


def _iter_offers(
    worker: Worker,
    request: PlacementRequest,
    now_s: float,
    expected_end_s: Callable[[JobId], float],
) -> Iterable[_Offer]:
    """Yield the free capacity, and the whole worker once its jobs end."""
    if not worker.usable:
        return
    allowed = full_mask(worker.accelerators) & ~worker.claimed_mask
    if request.non_preemptible:
        allowed &= ~worker.guaranteed_mask | worker.guaranteed_by_account.get(
            request.account, 0
        )
    mask = worker.free_mask & allowed
    members = _count_members(
        request, mask, worker.free_slots, worker.free_connections
    )
    members = min(members, _unclaimed_slots(worker, request))
    if members > 0:
        yield _Offer(now_s, members, mask, worker)
    if worker.holds:
        ready_s = max(expected_end_s(job) for job in worker.holds)
        idle_members = _count_members(
            request, allowed, worker.slots, worker.connections
        )
        idle_members = min(idle_members, _unclaimed_slots(worker, request))
        if idle_members > members:
            yield _Offer(ready_s, idle_members, allowed, worker)


def _unclaimed_slots(worker: Worker, request: PlacementRequest) -> int:
    claimed = worker.claimed_slots
    if not request.non_preemptible:
        return worker.slots - claimed
    needed = (
        worker.guaranteed_mask
        & ~worker.guaranteed_by_account.get(request.account, 0)
    ).bit_count()
    limit = worker.slots
    if request.shape.accelerators:
        limit = min(limit, worker.connections)
    return limit - min(limit, needed) - claimed


def _count_members(
    request: PlacementRequest, mask: int, slots: int, connections: int
) -> int:
    if not request.shape.accelerators:
        return slots
    blocks = count_blocks(mask, request.shape.accelerators)
    return min(blocks, slots, connections)


def _earliest_reservation(
    zone: Zone, offers: Iterable[_Offer], request: PlacementRequest
) -> Reservation | None:
    chosen: dict[int, _Offer] = {}
    members = 0
    for offer in sorted(offers, key=lambda item: (item.ready_s, -item.members)):
        earlier = chosen.get(id(offer.worker))
        chosen[id(offer.worker)] = offer
        members += offer.members - (earlier.members if earlier else 0)
        if members >= request.shape.members:
            return Reservation(
                zone,
                _allocate_offers(list(chosen.values()), request),
                offer.ready_s,
            )
    return None


def _allocate_offers(
    offers: list[_Offer], request: PlacementRequest
) -> list[Allocation]:
    remaining = request.shape.members
    allocations = []
    for offer in sorted(offers, key=lambda item: -item.members):
        count = min(remaining, offer.members)
        if count:
            allocations.append(
                allocate_on(
                    offer.worker, offer.mask, count, request.shape.accelerators
                )
            )
        remaining -= count
    return allocations
