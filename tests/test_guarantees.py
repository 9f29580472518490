"""Guards against guarantees that cannot be honoured."""

from collections.abc import Iterator
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangotrail._bundle import Bundle
from mangotrail._packing import CellShape
from mangotrail.errors import InvalidBundleError
from mangotrail.events import Checkpoint, Stop, Wait
from mangotrail.guarantees import cell_shapes, check_guarantees
from mangotrail.topology import Topology, Worker
from tests.core_events import (
    Driver,
    account,
    cells,
    make_bundle,
    places,
    spec,
    zone_spec,
)

Taken = frozenset[tuple[str, int]]


def blocks(worker: Worker, size: int) -> Iterator[Taken]:
    """Return every block of a size, by listing all sets of accelerators."""
    width = (1, 1, 2, 4, 4)[size] if size <= 4 else 64
    for chosen in combinations(range(worker.accelerators), size):
        if chosen[0] // width == chosen[-1] // width:
            yield frozenset((worker.worker, one) for one in chosen)


def cell_choices(topology: Topology, cell: CellShape) -> Iterator[Taken]:
    """Return every set of accelerators that forms a cell."""
    domains = {
        'worker': [(worker,) for worker in topology.iter_workers()],
        'rack': [
            rack.workers
            for zone in topology.zones.values()
            for rack in zone.racks
        ],
        'zone': [
            tuple(one for one in zone.workers if one.accelerators == size)
            for zone in topology.zones.values()
            for size in sorted({one.accelerators for one in zone.workers})
        ],
    }[cell.level.value]
    for domain in domains:
        size = domain[0].accelerators
        whole, rest = divmod(cell.accelerators, size) if size else (0, 1)
        if cell.level.value == 'worker':
            whole, rest = 0, cell.accelerators
        for workers in combinations(domain, whole):
            taken = frozenset().union(
                *(next(blocks(one, size)) for one in workers)
            )
            if not rest:
                yield taken
                continue
            for other in set(domain).difference(workers):
                for block in blocks(other, rest):
                    yield taken | block


def fits(bundle: Bundle) -> bool:
    """Try every choice for every cell."""
    topology = Topology(bundle)
    choices = [
        set(cell_choices(topology, cell))
        for cell in cell_shapes(bundle.accounts)
    ]

    def place(number: int, taken: Taken) -> bool:
        if number == len(choices):
            return True
        return any(
            place(number + 1, taken | choice)
            for choice in choices[number]
            if not taken & choice
        )

    return place(0, frozenset())


SHAPES = st.lists(
    st.builds(
        cells,
        st.sampled_from(['worker', 'rack', 'zone']),
        st.integers(1, 6),
    ),
    min_size=1,
    max_size=4,
)
ZONES = st.lists(
    st.lists(
        st.tuples(st.integers(1, 2), st.sampled_from([0, 1, 2, 3, 4])),
        min_size=1,
        max_size=2,
    ),
    min_size=1,
    max_size=2,
)


class TestCheck:
    """The check of a bundle when it is written."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(shapes=SHAPES, zones=ZONES)
    def test_agrees_with_full_search(self, shapes: list, zones: list) -> None:
        """An accepted bundle that does not fit breaks a guarantee."""
        bundle = make_bundle(
            [zone_spec(f'z{n}', *racks) for n, racks in enumerate(zones)],
            [account('a', *shapes[:2]), account('b', *shapes[2:])],
        )
        try:
            check_guarantees(bundle)
        except InvalidBundleError:
            accepted = False
        else:
            accepted = True
        assert accepted == fits(bundle)

    def test_tightest_zone_is_not_always_right(self) -> None:
        """A bundle that fits must not be refused for the order of search."""
        zones = [zone_spec('z1', (10, 1)), zone_spec('z2', (8, 1))]
        shapes = [cells('zone', 6), cells('zone', 4, 3)]
        check_guarantees(make_bundle(zones, [account('a', *shapes)]))

    def test_names_account_and_shape(self) -> None:
        """An operator must learn which guarantee to change."""
        bundle = make_bundle(
            [zone_spec('z', (2, 8))],
            [account('a', cells('worker', 8)), account('b', cells('rack', 16))],
        )
        with pytest.raises(InvalidBundleError) as caught:
            check_guarantees(bundle)
        assert 'a' in caught.value.message
        assert '8 accelerators at level worker' in caught.value.message


class TestReclaim:
    """Guaranteed capacity that others borrowed."""

    def build(self, **limits: int) -> Driver:
        """Build one worker that is guaranteed to account a."""
        return Driver(
            make_bundle(
                [zone_spec('z', (1, 4))],
                [account('a', cells('worker', 4)), account('b')],
                **limits,
            )
        )

    def test_checkpoint_then_stop(self) -> None:
        """An account must get its cells back within the reclaim time."""
        driver = self.build(reclaim_s=9)
        driver.run('b1', spec('b', size=4))
        (checkpoint, wait) = driver.submit('a1', spec('a', size=4))
        assert isinstance(checkpoint, Checkpoint) and isinstance(wait, Wait)
        asked_s = driver.now_s
        driver.wait_for(Stop, 'b1')
        assert driver.now_s - asked_s <= 9
        assert places(driver.fail('b1')) == {'a1'}

    def test_stop_right_after_checkpoint(self) -> None:
        """An attempt that gave way must not count as failed."""
        driver = self.build()
        driver.run('b1', spec('b', size=4))
        driver.submit('a1', spec('a', size=4))
        assert places(driver.fail('b1')) == {'a1'}
        assert driver.scheduler.core.jobs['b1'].failures == 0

    @pytest.mark.parametrize(
        'non_preemptible', [{'preemptible': False}, {'idempotent': False}]
    )
    def test_non_preemptible_work_takes_no_cell(
        self, non_preemptible: dict
    ) -> None:
        """Work that must not stop would make the cell unreclaimable."""
        driver = self.build()
        driver.submit('b1', spec('b', **non_preemptible))
        assert 'b1' not in driver.placed

    def test_preemptible_work_borrows_first(self) -> None:
        """Work that must not stop can only use unguaranteed capacity."""
        zones = [zone_spec('z', (2, 4))]
        guaranteed = account('a', cells('worker', 4))
        driver = Driver(make_bundle(zones, [guaranteed, account('b')]))
        ((_, ((worker, _),)),) = driver.scheduler.core.guarantees.bindings
        driver.submit('soft', spec('b', size=4))
        (member,) = driver.placed['soft'].placement.members
        assert member.worker == worker.worker

    def test_cell_is_rebound_for_non_preemptible_work(self) -> None:
        """A cell that nobody uses must not keep a gang out for ever."""
        driver = Driver(
            make_bundle(
                [zone_spec('z', (1, 3), (2, 2))],
                [account('a', cells('worker', 2)), account('b')],
            )
        )
        gang = spec('b', 2, 2, level='rack', preemptible=False)
        driver.submit('b1', gang)
        assert 'b1' in driver.placed
        assert not driver.scheduler.core.guarantees.unbound

    def test_freed_capacity_goes_to_unbound_cells(self) -> None:
        """Other work that must not stop would keep a guarantee suspended."""
        zones = [zone_spec('z1', (1, 1)), zone_spec('z2', (1, 1))]
        guaranteed = account('a', cells('worker', 1))
        driver = Driver(make_bundle(zones, [guaranteed, account('b')]))
        core = driver.scheduler.core
        ((_, ((worker, _),)),) = core.guarantees.bindings
        driver.run('b1', spec('b', preemptible=False))
        driver.submit('b2', spec('b', preemptible=False))
        driver.zone(worker.zone.zone, 'out')
        assert core.guarantees.unbound
        assert not places(driver.finish('b1'))
        assert not core.guarantees.unbound

    def test_small_jobs_do_not_keep_a_cell_unbound(self) -> None:
        """A cell that needs several freed accelerators must get them."""
        zones = [zone_spec('z1', (1, 4)), zone_spec('z2', (1, 4))]
        guaranteed = account('a', cells('worker', 4))
        driver = Driver(make_bundle(zones, [guaranteed, account('b')]))
        core = driver.scheduler.core
        ((_, ((worker, _),)),) = core.guarantees.bindings
        for number in range(6):
            driver.submit(f'b{number}', spec('b', preemptible=False))
        driver.zone(worker.zone.zone, 'out')
        for number in range(4):
            assert not places(driver.finish(f'b{number}'))
        assert not core.guarantees.unbound

    def test_zone_out_and_back(self) -> None:
        """Guarantees follow the zones that are in."""
        driver = Driver(
            make_bundle(
                [zone_spec('z1', (1, 4)), zone_spec('z2', (1, 4))],
                [account('a', cells('worker', 4)), account('b')],
            )
        )
        core = driver.scheduler.core
        ((_, ((worker, _),)),) = core.guarantees.bindings
        first = worker.zone.zone
        second = {'z1': 'z2', 'z2': 'z1'}[first]
        driver.zone(first, 'out')
        ((_, ((worker, _),)),) = core.guarantees.bindings
        assert worker.zone.zone == second
        driver.zone(second, 'out')
        assert len(core.guarantees.unbound) == 1
        driver.zone(second, 'in')
        assert not core.guarantees.unbound
