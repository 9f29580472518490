"""Guards against gangs placed in parts, out of bounds or not at all."""

from itertools import combinations, product

from hypothesis import given, settings
from hypothesis import strategies as st

from mangotrail._blocks import bit_indexes, count_blocks, full_mask, take_block
from mangotrail._messages import GangLevel, JobShape
from mangotrail.ids import AccountId, JobId
from mangotrail.placement import CapacityScope, PlacementRequest, place_in_zone
from mangotrail.topology import Hold, Topology, Worker
from tests.core_events import account, make_bundle, zone_spec

GROUPS = {1: 1, 2: 2, 3: 4, 4: 4}


def naive_blocks(mask: int, size: int) -> list[set[int]]:
    """List every block of a size."""
    width = GROUPS.get(size, 64)
    return [
        set(chosen)
        for chosen in combinations(bit_indexes(mask), size)
        if chosen[0] // width == chosen[-1] // width
    ]


def naive_count(mask: int, size: int) -> int:
    """Try every sequence of blocks for the longest one."""
    best = 0
    for block in naive_blocks(mask, size):
        rest = mask & ~sum(1 << bit for bit in block)
        best = max(best, 1 + naive_count(rest, size))
    return best


class TestBlocks:
    """Adjacent accelerators on one worker."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(mask=st.integers(0, 255), size=st.integers(1, 8))
    def test_agrees_with_full_search(self, mask: int, size: int) -> None:
        """A wrong count would split a gang or waste a worker."""
        assert count_blocks(mask, size) == naive_count(mask, size)
        block = take_block(mask, size)
        possible = naive_blocks(mask, size)
        assert set(bit_indexes(block)) in possible if possible else not block

    def test_keeps_large_groups(self) -> None:
        """Blocks taken from whole groups would fragment the worker."""
        assert take_block(0b11110110, 1) == 0b10
        assert take_block(0b11111100, 2) == 0b1100
        assert take_block(0b11110111, 3) == 0b111


def naive_fits(domain: tuple[Worker, ...], shape: JobShape) -> bool:
    """Try every distribution of the members over the workers."""
    capacity = [_naive_room(worker, shape) for worker in domain]
    return any(
        sum(split) == shape.members
        for split in product(*(range(count + 1) for count in capacity))
    )


def _naive_room(worker: Worker, shape: JobShape) -> int:
    if not shape.accelerators:
        return worker.free_slots
    blocks = naive_count(worker.free_mask, shape.accelerators)
    return min(blocks, worker.free_slots, worker.free_connections)


USED = st.lists(
    st.tuples(st.integers(0, 15), st.integers(0, 4)), min_size=4, max_size=4
)
SHAPE = st.builds(
    JobShape,
    members=st.integers(1, 6),
    accelerators=st.integers(0, 4),
    level=st.sampled_from(GangLevel),
)


class TestGangs:
    """Gangs inside one zone."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(used=USED, shape=SHAPE)
    def test_agrees_with_full_search(self, used: list, shape: JobShape) -> None:
        """A gang must be placed exactly if some placement exists."""
        zones = [zone_spec('z', (2, 4), (2, 4), slots=4, connections=3)]
        topology = Topology(make_bundle(zones, [account('a')]))
        zone = next(iter(topology.zones.values()))
        for worker, (mask, slots) in zip(
            topology.iter_workers(), used, strict=True
        ):
            hold = Hold(
                account=AccountId('x'),
                masks=(mask,),
                mask=mask,
                slots=slots,
                connections=min(slots, 3),
                non_preemptible=False,
                urgent=False,
                uncovered_slots=0,
                uncovered_connections=0,
            )
            worker.add_hold(JobId('x'), hold)
        domains = {
            GangLevel.WORKER: [(worker,) for worker in zone.workers],
            GangLevel.RACK: [rack.workers for rack in zone.racks],
            GangLevel.ZONE: [zone.workers],
        }[shape.level]
        request = PlacementRequest(
            job=JobId('j'),
            account=AccountId('a'),
            shape=shape,
            non_preemptible=True,
        )
        allocations = place_in_zone(zone, request, CapacityScope.OPEN)
        assert bool(allocations) == any(
            naive_fits(one, shape) for one in domains
        )
        for allocation in allocations or ():
            assert allocation.mask & ~allocation.worker.free_mask == 0
            assert (
                allocation.mask.bit_count()
                == len(allocation.masks) * shape.accelerators
            )
            assert len(allocation.masks) <= allocation.worker.free_slots
        if allocations:
            workers = {allocation.worker for allocation in allocations}
            assert any(workers <= set(domain) for domain in domains)
            members = sum(len(allocation.masks) for allocation in allocations)
            assert members == shape.members

    def test_small_job_takes_fullest_worker(self) -> None:
        """Small jobs on empty workers leave no room for large gangs."""
        zones = [zone_spec('z', (2, 8))]
        topology = Topology(make_bundle(zones, [account('a')]))
        zone = next(iter(topology.zones.values()))
        second = zone.workers[1]
        second.free_mask = full_mask(8) & ~1
        request = PlacementRequest(
            job=JobId('j'),
            account=AccountId('a'),
            shape=JobShape(),
            non_preemptible=False,
        )
        (allocation,) = place_in_zone(zone, request, CapacityScope.OPEN) or ()
        assert allocation.worker is second and allocation.mask == 0b10
