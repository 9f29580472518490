"""Guards against runs that a later life of a worker may still hold."""

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace

import pytest

from mangotrail._graphs import RunEnd, RunStart, TaskKey
from mangotrail.graphs.session_owner import MAX_ORDER_DELAY_S
from mangotrail.graphs.successor_cleanup import SuccessorCleanup
from mangotrail.graphs.tracked_run import RunPhase, TrackedRun
from mangotrail.graphs.worker_connection import Listing, RenewalFailure
from mangotrail.ids import JobId, LifeId
from tests.graph_fakes import LEASE_MS, SETTINGS
from tests.virtual_time import VirtualClock, VirtualLoop, run_virtual

START = RunStart(
    task=TaskKey(job=JobId('job'), occurrence=0, step=0, index=0),
    run=1,
    life=LifeId('w1@1'),
)


class TestUnreachable:
    """A successor that cannot be reached."""

    @pytest.mark.parametrize('failure', list(RenewalFailure))
    def test_lease_decides(self, failure: RenewalFailure) -> None:
        """A run is given up only after every lease has expired.

        Refused connections used to count as the end of the successor, but a
        partition refuses them too, and a late order may have started the run
        there.
        """
        loop = VirtualLoop()
        clock = VirtualClock(loop)

        cut_s = clock.monotonic_s() + MAX_ORDER_DELAY_S - 1

        async def renew(**kwargs: object) -> Listing | RenewalFailure:
            if clock.monotonic_s() < cut_s:
                return Listing(clock_ms=0, is_same_life=False)
            return failure

        async def stop(*args: object) -> bool:
            return False

        async def commit(ends: Sequence[RunEnd]) -> bool:
            raise AssertionError('nothing is known of the run')

        async def scenario() -> float:
            tracked = TrackedRun(START, RunPhase.UNSURE, clock.monotonic_s())
            tracked.order_expiry_s = clock.monotonic_s() + MAX_ORDER_DELAY_S
            cleanup = SuccessorCleanup(
                connection=SimpleNamespace(renew=renew, stop=stop),
                owner=SimpleNamespace(
                    clock=clock,
                    timing=SETTINGS.timing,
                    term=1,
                    may_order=lambda: True,
                    is_current=lambda task, run: True,
                ),
                runs=[tracked],
                commit_ends=commit,
            )
            await asyncio.wait_for(cleanup.run(), 60)
            return clock.monotonic_s() - cut_s

        assert run_virtual(scenario(), loop) > LEASE_MS / 1000
