"""Guards against guarantees that cannot be honoured."""

from collections.abc import Iterator
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangotrail._bundle import Bundle
from mangotrail._packing import CellShape
from mangotrail.errors import InvalidBundleError
from mangotrail.guarantees import cell_shapes, check_guarantees
from mangotrail.topology import Topology, Worker
from tests.core_events import account, cells, make_bundle, zone_spec

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
        'worker': [(worker,) for worker in topology.walk()],
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
