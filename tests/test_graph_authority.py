"""Guards against a leader that gives up for good after a short doubt.

The authority of a leader lapses while it is paused or cut off for a moment, and
comes back in the same term. Nobody else leads then, so that whatever it stopped
doing stays undone until the leader changes.
"""

import asyncio
from collections.abc import Callable

import pytest

from mangotrail._graphs import (
    EndKind,
    GraphCommandBody,
    JobPhase,
    RemoveWorker,
    SubmitGraph,
)
from mangotrail.ids import LifeId
from tests.graph_fakes import (
    FakeConnection,
    FakeWorker,
    apply,
    graph_spec,
    step_spec,
)
from tests.test_graph_life_cycle import Cluster
from tests.virtual_time import run_virtual

LAPSE_S = 0.4
# Above the term of every leader of these tests.
FOREIGN_FENCE = 1_000


def wide_job(name: str) -> SubmitGraph:
    """Return a job whose start orders queue for each worker."""
    return SubmitGraph(graph=graph_spec(name, step_spec(64, 1)))


def lapse(cluster: Cluster) -> None:
    """Take the authority of the leader for a moment, as a pause does."""
    cluster.replica.is_isolated = True

    def restore() -> None:
        cluster.replica.is_isolated = False

    cluster.loop.call_later(LAPSE_S, restore)


class TestLapse:
    """Authority that lapses and comes back in the same term."""

    @pytest.mark.parametrize('orders', [1, 8, 20])
    def test_queued_orders(self, orders: int) -> None:
        """Start orders that are queued meanwhile are sent or given up.

        The leader used to stop ordering for the rest of its term, although
        nobody else led.
        """
        cluster = Cluster(seed=1, faults=0.0)
        original = FakeConnection.start
        seen = 0

        async def start(connection: FakeConnection, order: object) -> object:
            nonlocal seen
            seen += 1
            if seen == orders:
                lapse(cluster)
            return await original(connection, order)

        async def scenario() -> None:
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, wide_job('first'))
            cluster.leader.replan()
            await asyncio.sleep(5)
            apply(cluster.state, wide_job('second'))
            cluster.leader.replan()
            await asyncio.sleep(20)
            watch.cancel()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeConnection, 'start', start)
            run_virtual(scenario(), cluster.loop)
        assert seen > orders
        cluster.check()

    def test_ended_life(self) -> None:
        """A life that ended is removed, and its runs start again.

        A session whose removal of the life was not committed used to end all
        the same, so that the runs of the life counted as present for the rest
        of the term.
        """
        cluster = Cluster(seed=2, faults=0.0)
        cluster.connector.duration_s = 4.0
        for worker in cluster.connector.all:
            worker.duration_s = 4.0

        async def propose(body: GraphCommandBody, now_ms: int) -> object:
            if isinstance(body, RemoveWorker) and not lapses:
                lapses.append(body.life)
                lapse(cluster)
            return await original(body, now_ms)

        async def scenario() -> None:
            nonlocal original
            cluster.elect()
            original = cluster.leader.replica.propose
            cluster.leader.replica.propose = propose
            await asyncio.sleep(0.2)
            apply(cluster.state, wide_job('job'))
            cluster.leader.replan()
            await asyncio.sleep(1)
            cluster.replace(cluster.connector.at['10.0.0.1:80'], 0.3)
            await asyncio.sleep(30)

        lapses: list[LifeId] = []
        original: Callable[..., object]
        run_virtual(scenario(), cluster.loop)
        assert lapses == ['w1@1']
        assert LifeId('w1@1') not in cluster.state.workers
        cluster.check()


class TestUndecidedStarts:
    """Starts that are applied after their commit was reported as undecided."""

    @pytest.mark.parametrize('gang', [False, True])
    def test_ordered_later(self, *, gang: bool) -> None:
        """They are ordered all the same, and each once.

        No session knew of such runs, so that they were neither ordered nor ended
        for the rest of the term.
        """
        cluster = Cluster(seed=6, faults=0.0)

        async def scenario() -> None:
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            cluster.replica.faults = 1.0
            job = graph_spec('job', step_spec(4, 1, gang=gang))
            apply(cluster.state, SubmitGraph(graph=job))
            cluster.leader.replan()
            await asyncio.sleep(0.1)
            cluster.replica.faults = 0.0
            await asyncio.sleep(20)
            watch.cancel()

        run_virtual(scenario(), cluster.loop)
        cluster.check()
        starts = [run for w in cluster.connector.all for _, run, _ in w.started]
        assert starts == [1, 1, 1, 1]


class TestForeignFence:
    """A worker that has seen a token that no leader of this group gave."""

    def play(self, fence: Callable[[FakeWorker], None]) -> Cluster:
        """Run jobs while one worker refuses the leader as outdated."""
        cluster = Cluster(seed=3, faults=0.0)

        async def scenario() -> None:
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, wide_job('first'))
            cluster.leader.replan()
            await asyncio.sleep(0.5)
            fence(cluster.connector.at['10.0.0.1:80'])
            await asyncio.sleep(1)
            apply(cluster.state, wide_job('second'))
            cluster.leader.replan()
            await asyncio.sleep(60)
            watch.cancel()

        run_virtual(scenario(), cluster.loop)
        return cluster

    def test_other_workers(self) -> None:
        """The other workers serve on, once a majority has confirmed the term.

        One such answer used to end all orders for the rest of the term.
        """

        def fence(worker: FakeWorker) -> None:
            worker.fence = FOREIGN_FENCE

        cluster = self.play(fence)
        phases = {job.phase for job in cluster.state.jobs.values()}
        assert phases == {JobPhase.COMPLETED}
        assert not cluster.violations

    def test_later_leader(self) -> None:
        """A leader that is really outdated sends no further order."""
        cluster = Cluster(seed=4, faults=0.0)
        orders: list[int] = []
        original = FakeConnection.start

        async def start(connection: FakeConnection, order: object) -> object:
            orders.append(order.fencing_token)
            return await original(connection, order)

        async def scenario() -> None:
            cluster.elect()
            await asyncio.sleep(0.2)
            for worker in cluster.connector.all:
                worker.fence = FOREIGN_FENCE
            # The clock of a suspended machine has not moved: the leader takes
            # its authority for granted, but hears from no majority any more.
            contact_s = cluster.clock.monotonic_s()
            view = cluster.leader.replica
            view.quorum_contact_s = lambda: contact_s
            await asyncio.sleep(1.2)
            apply(cluster.state, wide_job('job'))
            cluster.leader.replan()
            await asyncio.sleep(5)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeConnection, 'start', start)
            run_virtual(scenario(), cluster.loop)
        assert not orders

    def test_lease(self) -> None:
        """Its runs are started elsewhere after its lease has expired."""
        cluster = Cluster(seed=5, faults=0.0)
        for worker in cluster.connector.all:
            worker.duration_s = 60.0

        async def scenario() -> None:
            expiry = asyncio.create_task(cluster.connector.expire_leases())
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, wide_job('job'))
            cluster.leader.replan()
            await asyncio.sleep(0.5)
            cluster.connector.at['10.0.0.1:80'].fence = FOREIGN_FENCE
            await asyncio.sleep(140)
            expiry.cancel()
            watch.cancel()

        run_virtual(scenario(), cluster.loop)
        ends = cluster.connector.at['10.0.0.1:80'].ends
        assert {end.end for end in ends} == {EndKind.LAPSED}
        cluster.check()
