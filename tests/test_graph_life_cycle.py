"""Guards against two runs of a task at once, lost jobs and overfull workers.

Leaders follow each other while answers are lost, orders are carried out
seconds late, and workers crash, return under a new life or are cut off.
"""

import asyncio
from collections import defaultdict
from random import Random
from typing import Any

import pytest

from mangotrail._graphs import (
    CancelGraph,
    EndKind,
    Heartbeat,
    JobPhase,
    RegisterWorker,
    StepSpec,
    SubmitGraph,
    TaskKey,
)
from mangotrail.graphs.advice import Adviser
from mangotrail.graphs.leader import GraphLeader, WallClock
from mangotrail.graphs.records import StepState
from mangotrail.graphs.telemetry import Telemetry
from mangotrail.graphs.units import URGENT_PRIORITY as URGENT_PRIORITY
from mangotrail.ids import JobId
from tests.graph_fakes import (
    NORMAL,
    SETTINGS,
    URGENT,
    FakeConnection,
    FakeConnector,
    FakeReplica,
    FakeWorker,
    apply,
    filled_state,
    graph_spec,
    step_spec,
    worker_spec,
)
from tests.virtual_time import VirtualClock, VirtualLoop, run_virtual

WORKERS = 8


class Cluster:
    """A leader, its successors and workers that fail.

    :param faults: share of the orders without an answer.
    :param adviser: approves workers, if there is one.
    """

    def __init__(
        self, *, seed: int, faults: float, adviser: Adviser | None = None
    ) -> None:
        self.adviser = adviser
        self.loop = VirtualLoop()
        self.clock = VirtualClock(self.loop)
        self.random = Random(seed)
        self.connector = FakeConnector(
            clock=self.clock, random=self.random, faults=faults
        )
        self.connector.add(worker_spec(number) for number in range(WORKERS))
        self.state = filled_state()
        for worker in self.connector.all:
            apply(self.state, RegisterWorker(worker=worker.spec))
        self.replica = FakeReplica(
            state=self.state, clock=self.clock, random=self.random
        )
        self.violations: list[str] = []
        self.leader: GraphLeader | None = None
        self.task: asyncio.Task[None] | None = None

    def elect(self) -> None:
        """Let a leader of the next term take over; the old one freezes."""
        self.replica.current_term += 1
        if self.task is not None:
            self.task.cancel()
        self.leader = GraphLeader(
            replica=self.replica.at_term(self.replica.current_term),
            connector=self.connector,
            settings=SETTINGS,
            clock=self.clock,
            wall=WallClock(self.clock),
            telemetry=Telemetry(),
            adviser=self.adviser,
        )
        self.task = asyncio.create_task(self.leader.run())

    async def check_invariants(self) -> None:
        """Look for broken promises all the time."""
        while True:
            await asyncio.sleep(0.01)
            holders = defaultdict(list)
            for worker in self.connector.all:
                if worker.is_alive:
                    for task in worker.runs:
                        holders[task].append(worker.spec.worker)
                    self._check_capacity(worker)
            for task, workers in holders.items():
                if len(workers) > 1:
                    self.violations.append(f'{task} runs on {workers}')

    def _check_capacity(self, worker: FakeWorker) -> None:
        used = sum(
            self.step_of(task).spec.need.accelerators for task in worker.runs
        )
        if used > worker.spec.capacity.accelerators:
            self.violations.append(f'{worker.spec.worker} holds {used}')

    def step_of(self, task: TaskKey) -> StepState:
        """Return the step of a task."""
        return self.state.jobs[task.job].step(task)

    def submit(self, number: int) -> None:
        """Hand a random job in."""
        urgent = self.random.random() < 0.4
        gang = urgent or self.random.random() < 0.5
        steps = [
            step_spec(
                self.random.randint(1, 6),
                self.random.choice((1, 2, 4, 8)),
                gang=gang,
                same_rack=gang and self.random.random() < 0.5,
            )
        ]
        if self.random.random() < 0.3:
            steps.append(step_spec(2, 1, after=(0,)))
        graph = graph_spec(
            f'job-{number}', *steps, queue=URGENT if urgent else NORMAL
        )
        apply(
            self.state,
            SubmitGraph(graph=graph),
            time_ms=round(self.clock.wall_s() * 1000),
        )
        if self.leader is not None:
            self.leader.replan()

    async def inject_failure(self) -> None:
        """Do one random harm."""
        kind = self.random.choice(('elect', 'crash', 'cut', 'cancel', 'calm'))
        worker = self.random.choice(list(self.connector.at.values()))
        if kind == 'elect':
            self.elect()
        elif kind == 'crash' and worker.is_alive:
            self.replace(worker, 1.0)
        elif kind == 'cut':
            self.connector.cut.add(worker.spec.address)
            span_s = self.random.uniform(0.5, 14)
            self.loop.call_later(
                span_s, self.connector.cut.discard, worker.spec.address
            )
        elif kind == 'cancel' and self.state.jobs:
            job = self.random.choice(list(self.state.jobs))
            apply(self.state, CancelGraph(job=job))

    def replace(self, worker: FakeWorker, silent_s: float) -> None:
        """End a life of a worker and begin the next under the same id.

        :param silent_s: time until the first heartbeat of the next life.
        """
        worker.crash()
        number = int(worker.spec.worker.removeprefix('w'))
        born_ms = worker.spec.born_ms + 1
        self.connector.add([worker_spec(number, born_ms=born_ms)])
        self.loop.call_later(silent_s, self.announce, number, born_ms)

    def announce(self, number: int, born_ms: int) -> None:
        """Send a heartbeat of a new life."""
        beat = Heartbeat(
            worker=worker_spec(number, born_ms=born_ms),
            draining=False,
            sequence=1,
        )
        if self.leader is not None:
            self.loop.create_task(self.leader.on_heartbeat(beat))

    async def run_jobs(self, jobs: int, *, with_failures: bool = True) -> None:
        """Hand jobs in while harm is done, then let everything finish."""
        expiry = asyncio.create_task(self.connector.expire_leases())
        watch = asyncio.create_task(self.check_invariants())
        self.elect()
        await asyncio.sleep(0.2)
        for number in range(jobs):
            self.submit(number)
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            if with_failures and self.random.random() < 0.5:
                await self.inject_failure()
        self.connector.cut.clear()
        self.connector.faults = 0
        if with_failures:
            self.elect()
            for worker in list(self.connector.at.values()):
                number = int(worker.spec.worker.removeprefix('w'))
                self.announce(number, worker.spec.born_ms)
        await asyncio.sleep(90)
        for task in (expiry, watch, self.task):
            if task is not None:
                task.cancel()

    def check(self) -> None:
        """Check what was promised."""
        assert not self.violations, self.violations[:5]
        for name, job in self.state.jobs.items():
            assert job.phase in {
                JobPhase.COMPLETED,
                JobPhase.CANCELLED,
            }, (name, job.phase, [s.done for s in job.occurrences[0]])
        assert not self.state.runs


class TestLifeCycle:
    """Runs of tasks under failures."""

    @pytest.mark.parametrize('seed', range(50))
    def test_failures(self, seed: int) -> None:
        """Every job ends, and no task ever runs twice at once."""
        cluster = Cluster(seed=seed, faults=0.05)
        run_virtual(cluster.run_jobs(25), cluster.loop)
        cluster.check()

    def test_without_failures(self) -> None:
        """Without failures each task runs once."""
        cluster = Cluster(seed=1, faults=0.0)
        run_virtual(cluster.run_jobs(15, with_failures=False), cluster.loop)
        cluster.check()
        starts = defaultdict(int)
        for worker in cluster.connector.all:
            for end in worker.ends:
                assert end.end is not EndKind.ALONE
            for task, _, _ in worker.started:
                starts[task] += 1
        urgent = {
            name
            for name, job in cluster.state.jobs.items()
            if job.queue.priority == URGENT_PRIORITY
        }
        for task, count in starts.items():
            if task.job in urgent:
                assert count == 1

    def test_cancel_stops_runs(self) -> None:
        """A cancelled job runs nowhere half a second later."""
        cluster = Cluster(seed=2, faults=0.0)
        cluster.connector.duration_s = 30.0

        async def play() -> None:
            cluster.elect()
            await asyncio.sleep(0.2)
            cluster.submit(0)
            await asyncio.sleep(0.5)
            apply(cluster.state, CancelGraph(job=JobId('job-0')))
            cluster.leader.replan()
            await asyncio.sleep(0.5)

        run_virtual(play(), cluster.loop)
        assert not any(worker.runs for worker in cluster.connector.all)


class TestSilentWorker:
    """A worker that is cut off and runs on."""

    def test_lease_decides(self) -> None:
        """Its tasks start elsewhere only after its lease has ended."""
        cluster = Cluster(seed=3, faults=0.0)
        cluster.connector.duration_s = 60.0
        for worker in cluster.connector.all:
            worker.duration_s = 60.0

        async def play() -> None:
            expiry = asyncio.create_task(cluster.connector.expire_leases())
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, _submit('long', step_spec(1, 8)))
            cluster.leader.replan()
            await asyncio.sleep(0.5)
            busy = next(held for held in cluster.connector.all if held.runs)
            cluster.connector.cut.add(busy.spec.address)
            await asyncio.sleep(20)
            expiry.cancel()
            watch.cancel()

        run_virtual(play(), cluster.loop)
        assert not cluster.violations
        starts = [held for held in cluster.connector.all if held.started]
        assert len(starts) == 2


class TestFailedSession:
    """A session with a worker that fails by a fault of its own."""

    @pytest.mark.parametrize('call', ['renew', 'start', 'stop'])
    def test_replaced(self, call: str) -> None:
        """Another session takes its place, and no task is lost or doubled."""
        cluster = Cluster(seed=4, faults=0.0)
        faults = {'left': 2}
        original = getattr(FakeConnection, call)

        async def fail(port: FakeConnection, *args: Any, **kwargs: Any) -> Any:
            worker = port.worker()
            failing = faults['left'] and (call == 'start' or worker.runs)
            if failing:
                faults['left'] -= 1
            if not failing or faults['left']:
                result = await original(port, *args, **kwargs)
            if failing:
                raise ArithmeticError('a fault of the port')
            return result

        async def play() -> None:
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            for number in range(6):
                apply(cluster.state, _submit(f'job-{number}', step_spec(3, 1)))
            cluster.leader.replan()
            await asyncio.sleep(0.5)
            if call == 'stop':
                apply(cluster.state, CancelGraph(job=JobId('job-0')))
                cluster.leader.replan()
            await asyncio.sleep(60)
            watch.cancel()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeConnection, call, fail)
            run_virtual(play(), cluster.loop)
        assert not faults['left']
        cluster.check()


class TestSuccessor:
    """A worker that returns under its id."""

    @pytest.mark.parametrize('seed', range(20))
    def test_often_replaced(self, seed: int) -> None:
        """No start reaches a life that it was not planned for.

        A start that was committed just before its session heard of the later
        life was sent all the same, on top of what the later life got.
        """
        cluster = Cluster(seed=seed, faults=0.0)

        async def replace() -> None:
            while True:
                await asyncio.sleep(cluster.random.uniform(0.02, 0.2))
                worker = cluster.random.choice(
                    list(cluster.connector.at.values())
                )
                cluster.replace(worker, cluster.random.uniform(0.02, 0.3))

        async def play() -> None:
            watch = asyncio.create_task(cluster.check_invariants())
            cluster.elect()
            await asyncio.sleep(0.2)
            replacing = asyncio.create_task(replace())
            for number in range(40):
                cluster.submit(number)
                await asyncio.sleep(cluster.random.uniform(0.02, 0.2))
            replacing.cancel()
            await asyncio.sleep(90)
            watch.cancel()

        run_virtual(play(), cluster.loop)
        cluster.check()

    def test_ends_stay_listed(self) -> None:
        """A later life counts its ends anew; none is acknowledged unseen.

        The session of the life before acknowledged its own ends to the later
        life, which then forgot ends that nobody had noted.
        """
        cluster = Cluster(seed=6, faults=0.0)
        told: list[tuple[str, str, int]] = []
        original = FakeConnection.renew

        async def renew(port: FakeConnection, **kwargs: Any) -> Any:
            worker = port.worker()
            if worker is not None:
                lives = (port.spec.life, worker.spec.life)
                told.append((*lives, kwargs['acknowledged']))
            return await original(port, **kwargs)

        async def play() -> None:
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, _submit('first', step_spec(8, 8)))
            cluster.leader.replan()
            await asyncio.sleep(3)
            cluster.connector.at['10.0.0.1:80'].crash()
            await asyncio.sleep(0.3)
            cluster.connector.add([worker_spec(1, born_ms=2)])
            await asyncio.sleep(3)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeConnection, 'renew', renew)
            run_virtual(play(), cluster.loop)
        others = [number for own, other, number in told if own != other]
        assert others
        assert not any(others)
        assert any(number for own, other, number in told if own == other)


class TestTakeover:
    """A leader that takes over runs."""

    def test_age_of_runs(self) -> None:
        """Runs keep their age, so that the youngest are stopped.

        A leader that took all adopted runs for new ones stopped gangs that
        had worked for long.
        """
        cluster = Cluster(seed=5, faults=0.0)

        async def play() -> None:
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, _submit('old', step_spec(4, 8)))
            cluster.leader.replan()
            await asyncio.sleep(20)
            apply(cluster.state, _submit('young', step_spec(4, 8)))
            cluster.leader.replan()
            await asyncio.sleep(1)
            cluster.elect()
            await asyncio.sleep(0.5)
            urgent = graph_spec(
                'urgent', step_spec(4, 8, gang=True), queue=URGENT
            )
            apply(
                cluster.state,
                SubmitGraph(graph=urgent),
                time_ms=round(cluster.clock.wall_s() * 1000),
            )
            cluster.leader.replan()
            await asyncio.sleep(1)

        for worker in cluster.connector.all:
            worker.duration_s = 100.0
        run_virtual(play(), cluster.loop)
        stopped = {
            end.task.job
            for worker in cluster.connector.all
            for end in worker.ends
        }
        present = {
            task.job for worker in cluster.connector.all for task in worker.runs
        }
        assert present == {JobId('old'), JobId('urgent')}
        assert stopped <= {JobId('young')}


def _submit(name: str, *steps: StepSpec) -> SubmitGraph:
    return SubmitGraph(graph=graph_spec(name, *steps))
