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
from mangotrail.topology import Spot, Worker, Zone


class Reservation(NamedTuple):
    """Capacity that becomes free for a gang.

    :param ready_s: time at which all of it is expected to be free.
    """

    zone: Zone
    allocations: list[Spot]
    ready_s: float


class _Offer(NamedTuple):
    ready_s: float
    members: int
    mask: int
    worker: Worker


def reservations(
    zones: Iterable[Zone],
    want: PlacementRequest,
    now_s: float,
    ends_s: Callable[[JobId], float],
) -> list[Reservation]:
    """Return where a gang can start later, earliest first.

    :param want: if it is not pinned, homes of cells are considered, too.
    :param ends_s: expected end of a running job.
    """
    choices: list[Reservation] = []
    for zone in zones:
        for domain in placement_domains(zone, want.shape.level):
            offers = [
                offer
                for worker in domain
                for offer in _offers(worker, want, now_s, ends_s)
            ]
            found = _earliest(zone, offers, want)
            if found:
                choices.append(found)
    return sorted(choices, key=lambda one: one.ready_s)


def _offers(
    worker: Worker,
    want: PlacementRequest,
    now_s: float,
    ends_s: Callable[[JobId], float],
) -> Iterable[_Offer]:
    """Offer what is free now, and the whole worker once its jobs end."""
    if not worker.usable:
        return
    allowed = full_mask(worker.accelerators) & ~worker.claimed
    if want.non_preemptible:
        allowed &= ~worker.reserved | worker.own.get(want.account, 0)
    mask = worker.free & allowed
    members = _members(want, mask, worker.free_slots, worker.free_connections)
    members = min(members, _spare(worker, want))
    if members > 0:
        yield _Offer(now_s, members, mask, worker)
    if worker.holds:
        ready_s = max(ends_s(job) for job in worker.holds)
        whole = _members(want, allowed, worker.slots, worker.connections)
        whole = min(whole, _spare(worker, want))
        if whole > members:
            yield _Offer(ready_s, whole, allowed, worker)


def _spare(worker: Worker, want: PlacementRequest) -> int:
    claimed = worker.claimed_slots
    if not want.non_preemptible:
        return worker.slots - claimed
    needed = (worker.reserved & ~worker.own.get(want.account, 0)).bit_count()
    limit = worker.slots
    if want.shape.accelerators:
        limit = min(limit, worker.connections)
    return limit - min(limit, needed) - claimed


def _members(
    want: PlacementRequest, mask: int, slots: int, connections: int
) -> int:
    if not want.shape.accelerators:
        return slots
    blocks = count_blocks(mask, want.shape.accelerators)
    return min(blocks, slots, connections)


def _earliest(
    zone: Zone, offers: Iterable[_Offer], want: PlacementRequest
) -> Reservation | None:
    chosen: dict[int, _Offer] = {}
    members = 0
    for offer in sorted(offers, key=lambda one: (one.ready_s, -one.members)):
        earlier = chosen.get(id(offer.worker))
        chosen[id(offer.worker)] = offer
        members += offer.members - (earlier.members if earlier else 0)
        if members >= want.shape.members:
            return Reservation(
                zone, _spots(list(chosen.values()), want), offer.ready_s
            )
    return None


def _spots(offers: list[_Offer], want: PlacementRequest) -> list[Spot]:
    left = want.shape.members
    spots = []
    for offer in sorted(offers, key=lambda one: -one.members):
        count = min(left, offer.members)
        if count:
            spots.append(
                allocate_on(
                    offer.worker, offer.mask, count, want.shape.accelerators
                )
            )
        left -= count
    return spots
