"""Guards against starts without a ticket and steps that wait forever."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import pytest

from mangotrail._graphs import (
    AdviceSpec,
    JobPhase,
    SetConfiguration,
    StepSpec,
    SubmitGraph,
)
from mangotrail.clock import ManualClock
from mangotrail.graphs.advice import (
    MAX_WORKERS_PER_QUESTION,
    AdviceCache,
    AdviceFailure,
    Adviser,
    Question,
)
from mangotrail.graphs.units import UnitKey
from mangotrail.graphs.worker_connection import StartOrder
from mangotrail.ids import JobId, LifeId, WorkerId
from tests.graph_fakes import (
    NORMAL,
    apply,
    configuration,
    graph_spec,
    queue_spec,
    step_spec,
)
from tests.test_graph_life_cycle import Cluster
from tests.virtual_time import run_virtual

ADVICE = AdviceSpec(decision_ms=50, period_ms=5, validity_ms=4_000)
UNIT: UnitKey = (JobId('a'), 0, 0)


class FakeAdviser(Adviser):
    """Adviser that approves some workers; its tickets expire.

    :param approves: ids of the workers that may run any step.
    :param failures: failures that it returns before the first decision.
    """

    def __init__(
        self, approves: set[str], failures: Sequence[AdviceFailure] = ()
    ) -> None:
        self.approves = approves
        self.failures = list(failures)
        self.asked: list[Sequence[WorkerId]] = []
        self.valid_until: dict[str, float] = {}
        self.busy = 0

    async def ask(
        self, unit: UnitKey, workers: Sequence[WorkerId], advice: AdviceSpec
    ) -> Mapping[WorkerId, str] | AdviceFailure:
        """Return a decision after a delay."""
        assert not self.busy, 'one call at a time'
        self.busy += 1
        self.asked.append(workers)
        await asyncio.sleep((50 + 5 * len(workers)) / 1000)
        self.busy -= 1
        if self.failures:
            return self.failures.pop()
        now_s = asyncio.get_running_loop().time()
        tickets = {}
        for worker in workers:
            if worker in self.approves:
                job, occurrence, step = unit
                ticket = f'{job}.{occurrence}.{step}/{worker}/{now_s}'
                tickets[worker] = ticket
                self.valid_until[ticket] = now_s + advice.validity_ms / 1000
        return tickets

    def accepts_ticket(self, order: StartOrder, worker: WorkerId) -> bool:
        """Whether a worker accepts the ticket of a start order."""
        task = order.task
        stem = f'{task.job}.{task.occurrence}.{task.step}/{worker}/'
        now_s = asyncio.get_running_loop().time()
        return (
            order.ticket.startswith(stem)
            and self.valid_until.get(order.ticket, 0) > now_s
        )


class TestAdvisedJobs:
    """Jobs of a queue with an adviser."""

    def run_job(
        self, adviser: FakeAdviser, *steps: StepSpec, seconds: float = 30
    ) -> Cluster:
        """Run one job on workers that require tickets."""
        cluster = Cluster(seed=1, faults=0.0, adviser=adviser)
        for worker in cluster.connector.all:
            worker.accepts_ticket = adviser.accepts_ticket
        advised = msgspec.structs.replace(
            configuration(2), queues=(queue_spec(NORMAL, 1, advice=ADVICE),)
        )
        apply(cluster.state, SetConfiguration(configuration=advised))

        async def scenario() -> None:
            cluster.elect()
            await asyncio.sleep(0.2)
            apply(cluster.state, SubmitGraph(graph=graph_spec('job', *steps)))
            cluster.leader.replan()
            await asyncio.sleep(seconds)

        run_virtual(scenario(), cluster.loop)
        return cluster

    def started(self, cluster: Cluster) -> Counter[str]:
        """Return the number of starts on each worker with any."""
        return Counter({
            worker.spec.worker: len(worker.started)
            for worker in cluster.connector.all
            if worker.started
        })

    def test_only_approved(self) -> None:
        """All tasks start, and on approved workers only."""
        adviser = FakeAdviser({'w1', 'w5'})
        cluster = self.run_job(adviser, step_spec(24, 1))
        assert set(self.started(cluster)) == {'w1', 'w5'}
        assert cluster.state.jobs[JobId('job')].phase is JobPhase.COMPLETED

    def test_gang(self) -> None:
        """A gang starts as a whole, once all its workers have tickets."""
        adviser = FakeAdviser({'w1', 'w2', 'w6'})
        cluster = self.run_job(adviser, step_spec(3, 8, gang=True))
        assert self.started(cluster) == Counter({'w1': 1, 'w2': 1, 'w6': 1})

    def test_tickets_run_out(self) -> None:
        """Later steps and long-waiting tasks get new tickets after expiry."""
        adviser = FakeAdviser({'w3'})
        cluster = self.run_job(
            adviser, step_spec(40, 4), step_spec(2, 1, after=(0,)), seconds=90
        )
        assert self.started(cluster) == Counter({'w3': 42})
        assert cluster.state.jobs[JobId('job')].phase is JobPhase.COMPLETED

    @pytest.mark.parametrize('failure', AdviceFailure)
    def test_failures(self, failure: AdviceFailure) -> None:
        """A busy or unresponsive adviser is asked again after a pause."""
        adviser = FakeAdviser({'w0'}, failures=[failure] * 5)
        cluster = self.run_job(adviser, step_spec(1, 1))
        assert self.started(cluster) == Counter({'w0': 1})
        assert len(adviser.asked) < 10

    def test_fault_of_the_adviser(self) -> None:
        """An exception in the adviser does not stop later questions.

        It used to end the task that asks the adviser, so that no step of an
        advised queue could start any more.
        """
        adviser = FakeAdviser({'w0'})
        faults = [ArithmeticError('injected fault of the adviser')] * 2
        ask = adviser.ask

        async def fail(*args: Any) -> Any:
            if faults:
                raise faults.pop()
            return await ask(*args)

        adviser.ask = fail
        cluster = self.run_job(adviser, step_spec(1, 1))
        assert self.started(cluster) == Counter({'w0': 1})

    def test_nobody_approved(self) -> None:
        """Without an approved worker nothing starts and no question repeats."""
        adviser = FakeAdviser(set())
        cluster = self.run_job(adviser, step_spec(1, 1))
        assert not self.started(cluster)
        assert len(adviser.asked) == 1


class TestBook:
    """Cache of the adviser's decisions."""

    async def test_batches(self) -> None:
        """Each worker is asked about once, in batches of bounded size."""
        adviser = FakeAdviser({'w40'})
        cache = AdviceCache(adviser=adviser, clock=ManualClock(now_s=5))
        question = Question(
            unit=UNIT,
            advice=ADVICE,
            workers=[
                (LifeId(f'w{number}@1'), WorkerId(f'w{number}'))
                for number in range(50)
            ],
        )
        assert not await cache.ask(question)
        assert await cache.ask(question)
        assert [len(batch) for batch in adviser.asked] == [
            MAX_WORKERS_PER_QUESTION,
            50 - MAX_WORKERS_PER_QUESTION,
        ]
        assert not cache.undecided_workers(question)
        assert cache.approved() == {UNIT: {LifeId('w40@1')}}

    async def test_expiry(self) -> None:
        """A ticket is not used shortly before it expires."""
        clock = ManualClock(now_s=5)
        cache = AdviceCache(adviser=FakeAdviser({'w1'}), clock=clock)
        worker = (LifeId('w1@1'), WorkerId('w1'))
        question = Question(unit=UNIT, advice=ADVICE, workers=[worker])
        await cache.ask(question)
        assert cache.ticket(UNIT, worker[0])
        clock.now_s += 2.6
        assert not cache.ticket(UNIT, worker[0])
        assert cache.undecided_workers(question) == [worker]
        cache.retain(set())
        assert not cache.tickets
