"""Guards against runs that a later life of a worker may still hold."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from types import SimpleNamespace

import pytest

from mangotrail._graphs import EndKind, RunEnd, RunStart, TaskKey
from mangotrail.graphs.session_owner import MAX_ORDER_DELAY_S
from mangotrail.graphs.successor_cleanup import CommitEnds, SuccessorCleanup
from mangotrail.graphs.tracked_run import RunPhase, TrackedRun
from mangotrail.graphs.worker_connection import (
    ListedEnd,
    Listing,
    RenewalFailure,
)
from mangotrail.ids import JobId, LifeId
from tests.graph_fakes import LEASE_MS, SETTINGS
from tests.virtual_time import VirtualClock, VirtualLoop, run_virtual

START = RunStart(
    task=TaskKey(job=JobId('job'), occurrence=0, step=0, index=0),
    run=1,
    life=LifeId('w1@1'),
)
DONE = ListedEnd(
    number=1, task=START.task, run=START.run, end=EndKind.DONE, checkpoint=''
)
Renew = Callable[..., Awaitable[Listing | RenewalFailure]]


def open_cleanup(
    clock: VirtualClock, renew: Renew, *, stops: bool, commit: CommitEnds
) -> SuccessorCleanup:
    """Return the cleanup of one run that was ordered and never listed.

    :param stops: whether the successor answers stops.
    """

    async def stop(*args: object) -> bool:
        return stops

    tracked = TrackedRun(START, RunPhase.UNSURE, clock.monotonic_s())
    tracked.order_expiry_s = clock.monotonic_s() + MAX_ORDER_DELAY_S
    return SuccessorCleanup(
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

        async def commit(ends: Sequence[RunEnd]) -> bool:
            raise AssertionError('nothing is known of the run')

        async def scenario() -> float:
            cleanup = open_cleanup(clock, renew, stops=False, commit=commit)
            await asyncio.wait_for(cleanup.run(), 60)
            return clock.monotonic_s() - cut_s

        assert run_virtual(scenario(), loop) > LEASE_MS / 1000


class TestManyEnds:
    """A successor with more ends than it lists at a time."""

    def test_unlisted_end(self) -> None:
        """A run whose end may not be listed yet is not taken for lost."""
        loop = VirtualLoop()
        listings = [
            Listing(clock_ms=0, is_same_life=False, has_more_ends=True),
            Listing(clock_ms=0, is_same_life=False, ends=(DONE,)),
        ]
        committed: list[RunEnd] = []

        async def renew(**kwargs: object) -> Listing:
            return listings.pop(0)

        async def commit(ends: Sequence[RunEnd]) -> bool:
            committed.extend(ends)
            return True

        async def scenario() -> None:
            cleanup = open_cleanup(
                VirtualClock(loop), renew, stops=True, commit=commit
            )
            await asyncio.wait_for(cleanup.run(), 60)

        run_virtual(scenario(), loop)
        assert [end.end for end in committed] == [EndKind.DONE]
