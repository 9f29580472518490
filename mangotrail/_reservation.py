"""Where a gang at the head of the queue will be able to start first."""

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
    """Capacity that becomes free for a gang.

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

    :param request: if it is not pinned, homes of cells are considered, too.
    :param expected_end_s: expected end of a running job.
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
    return sorted(candidates, key=lambda one: one.ready_s)


def _iter_offers(
    worker: Worker,
    request: PlacementRequest,
    now_s: float,
    expected_end_s: Callable[[JobId], float],
) -> Iterable[_Offer]:
    """Offer what is free now, and the whole worker once its jobs end."""
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
        whole = _count_members(
            request, allowed, worker.slots, worker.connections
        )
        whole = min(whole, _unclaimed_slots(worker, request))
        if whole > members:
            yield _Offer(ready_s, whole, allowed, worker)


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
    for offer in sorted(offers, key=lambda one: (one.ready_s, -one.members)):
        earlier = chosen.get(id(offer.worker))
        chosen[id(offer.worker)] = offer
        members += offer.members - (earlier.members if earlier else 0)
        if members >= request.shape.members:
            return Reservation(
                zone, _spots(list(chosen.values()), request), offer.ready_s
            )
    return None


def _spots(offers: list[_Offer], request: PlacementRequest) -> list[Allocation]:
    remaining = request.shape.members
    allocations = []
    for offer in sorted(offers, key=lambda one: -one.members):
        count = min(remaining, offer.members)
        if count:
            allocations.append(
                allocate_on(
                    offer.worker, offer.mask, count, request.shape.accelerators
                )
            )
        remaining -= count
    return allocations
