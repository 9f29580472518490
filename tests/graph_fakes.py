"""Workers and a replicated log that fail on demand, on virtual time."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgspec

from mangotrail._graph_settings import GraphSettings, GraphTiming
from mangotrail._graphs import (
    AccountSpec,
    Configuration,
    EndKind,
    GraphCommand,
    GraphCommandBody,
    GraphSpec,
    QueueSpec,
    Resources,
    ServiceSpec,
    SetConfiguration,
    StepSpec,
    SubmitGraph,
    TaskKey,
    WorkerSpec,
)
from mangotrail.clock import Clock
from mangotrail.errors import NotLeaderError, UndecidedError
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.worker_connection import (
    ListedEnd,
    ListedRun,
    Listing,
    RenewalFailure,
    StartAnswer,
    StartOrder,
    WorkerConnection,
    WorkerConnector,
)
from mangotrail.ids import (
    AccountId,
    InstanceId,
    JobId,
    LifeId,
    QueueId,
    RegionId,
    ServiceId,
    WorkerId,
    ZoneId,
)

SERVICE = ServiceId('render')
URGENT = QueueId('urgent')
NORMAL = QueueId('normal')
ACCOUNT = AccountId('acme')
COMMIT_S = 0.02
TRIP_S = 0.004
STOP_S = 0.2
GANG_WAIT_S = 3.0
LEASE_MS = 10_000
CAPACITY = Resources(cpu_millis=32_000, memory_mb=131_072, accelerators=8)

SETTINGS = GraphSettings(
    instance='core-1',
    address=InstanceId('127.0.0.1:7000'),
    seeds=(InstanceId('127.0.0.1:7000'),),
    zone=ZoneId('a'),
    region=RegionId('r'),
    timing=GraphTiming(lease_ms=LEASE_MS),
)


def queue_spec(queue: QueueId, priority: int, **changes: Any) -> QueueSpec:
    """Return a queue of the service."""
    fields: dict[str, Any] = {
        'queue': queue,
        'host': 'jobs.example',
        'path_prefix': f'/{queue}/',
        'service': SERVICE,
        'priority': priority,
        'max_attempts': 3,
        'stretch': 2.0,
        'target_latency_ms': 500,
        'timeout_ms': 3000,
    }
    return QueueSpec(**(fields | changes))


def configuration(version: int = 1, *, guaranteed: int = 32) -> Configuration:
    """Return a configuration with an urgent and a normal queue."""
    return Configuration(
        version=version,
        document=b'{}',
        queues=(queue_spec(URGENT, 0), queue_spec(NORMAL, 1)),
        accounts=(
            AccountSpec(
                account=ACCOUNT,
                keys=('key',),
                guaranteed_accelerators=guaranteed,
            ),
        ),
        services=(ServiceSpec(service=SERVICE),),
    )


def worker_spec(
    number: int,
    *,
    born_ms: int = 1,
    rack: str = '',
    capacity: Resources = CAPACITY,
) -> WorkerSpec:
    """Return a worker with 8 accelerators; four of them share a rack."""
    rack = rack or f'rack-{number // 4}'
    return WorkerSpec(
        life=LifeId(f'w{number}@{born_ms}'),
        worker=WorkerId(f'w{number}'),
        born_ms=born_ms,
        service=SERVICE,
        address=f'10.0.0.{number}:80',
        zone=ZoneId('ab'[number % 2]),
        labels=('kind', rack),
        rack=rack,
        capacity=capacity,
    )


def step_spec(
    count: int = 1, accelerators: int = 1, **changes: Any
) -> StepSpec:
    """Return a step of equal tasks."""
    fields: dict[str, Any] = {
        'count': count,
        'need': Resources(
            cpu_millis=1_000, memory_mb=1_000, accelerators=accelerators
        ),
        'estimated_ms': 1_000,
    }
    return StepSpec(**(fields | changes))


def graph_spec(
    name: str, *steps: StepSpec, queue: QueueId = NORMAL, **changes: Any
) -> GraphSpec:
    """Return a job."""
    fields: dict[str, Any] = {
        'job': JobId(name),
        'queue': queue,
        'account': ACCOUNT,
        'payload': f'payload of {name}',
        'steps': steps or (step_spec(),),
    }
    return GraphSpec(**(fields | changes))


def apply(
    state: GraphState, *bodies: GraphCommandBody, time_ms: int = 0
) -> Any:
    """Apply commands and return the result of the last one."""
    result = None
    for body in bodies:
        result = state.apply(GraphCommand(time_ms=time_ms, body=body))
    return result


def filled_state(*graphs: GraphSpec) -> GraphState:
    """Return a state with a configuration and accepted jobs."""
    state = GraphState()
    apply(state, SetConfiguration(configuration=configuration()))
    for graph in graphs:
        apply(state, SubmitGraph(graph=graph))
    return state


class FakeRun:
    """A run that is present on a fake worker."""

    def __init__(self, order: StartOrder, begun_s: float) -> None:
        self.order = order
        self.begun_s = begun_s
        self.timer: asyncio.TimerHandle | None = None


class FakeWorker:
    """One life of a worker that obeys its protocol and notes each start.

    :param duration_s: how long each task works.
    """

    def __init__(
        self, spec: WorkerSpec, *, clock: Clock, duration_s: float = 1.0
    ) -> None:
        self.spec = spec
        self.clock = clock
        self.duration_s = duration_s
        self.fence = 0
        self.runs: dict[TaskKey, FakeRun] = {}
        self.ends: list[ListedEnd] = []
        self.count = 0
        self.highest_ended: dict[TaskKey, int] = {}
        self.lease_ms = 0
        self.started: list[tuple[TaskKey, int, float]] = []
        self.changed = asyncio.Event()
        self.is_alive = True
        self.overload = 0
        # Decides on the tickets of starts; all are taken without it.
        self.accepts_ticket: Callable[[StartOrder, WorkerId], bool] | None = (
            None
        )

    def clock_ms(self) -> int:
        """Return the own steady clock, which is one percent slow."""
        return round(self.clock.monotonic_s() * 990)

    def start(self, order: StartOrder) -> StartAnswer:
        """Carry out an order to start."""
        if order.fencing_token < self.fence:
            return StartAnswer.FENCED
        self.fence = order.fencing_token
        held = self.runs.get(order.task)
        if held is not None and held.order.run == order.run:
            return StartAnswer.STARTED
        self.lease_ms = max(self.lease_ms, order.deadline_ms)
        if order.run <= self.highest_ended.get(order.task, 0) or held:
            return StartAnswer.OUTDATED_RUN
        if self.clock_ms() > order.deadline_ms:
            return StartAnswer.TOO_LATE
        if self.accepts_ticket is not None and not self.accepts_ticket(
            order, self.spec.worker
        ):
            return StartAnswer.NO_TICKET
        run = FakeRun(order, self.clock.monotonic_s())
        self.runs[order.task] = run
        self.started.append((order.task, order.run, run.begun_s))
        run.timer = asyncio.get_running_loop().call_later(
            self.duration_s, self.end, order.task, order.run, EndKind.DONE
        )
        return StartAnswer.STARTED

    def stop(self, task: TaskKey, run: int, fencing_token: int) -> None:
        """Carry out an order to stop."""
        if fencing_token < self.fence:
            return
        self.fence = fencing_token
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        held = self.runs.get(task)
        if held is not None and held.order.run <= run:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, held.order.run, EndKind.STOPPED
            )

    def end(self, task: TaskKey, run: int, kind: EndKind) -> None:
        """End a run."""
        held = self.runs.get(task)
        if held is None or held.order.run != run or not self.is_alive:
            return
        del self.runs[task]
        if held.timer is not None:
            held.timer.cancel()
        self.count += 1
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        self.ends.append(
            ListedEnd(
                number=self.count, task=task, run=run, end=kind, checkpoint=''
            )
        )
        self.changed.set()

    def crash(self) -> None:
        """End the life of the worker."""
        self.is_alive = False
        for held in self.runs.values():
            if held.timer is not None:
                held.timer.cancel()
        self.runs.clear()
        self.changed.set()

    def listing(self, acknowledged: int) -> Listing:
        """Return what a renewal lists."""
        self.ends = [end for end in self.ends if end.number > acknowledged]
        return Listing(
            clock_ms=self.clock_ms(),
            running=tuple(
                ListedRun(
                    task=task,
                    run=held.order.run,
                    checkpoint='',
                    percent=100,
                    usage=None,
                )
                for task, held in self.runs.items()
            ),
            ends=tuple(self.ends),
        )


class FakeConnection(WorkerConnection):
    """Connection to a fake worker that loses answers and delays orders.

    :param faults: share of the orders without an answer; half of them are
        carried out seconds later.
    """

    def __init__(
        self, workers: 'FakeConnector', spec: WorkerSpec, faults: float
    ) -> None:
        self.workers = workers
        self.spec = spec
        self.faults = faults
        self.random = workers.random

    def worker(self) -> FakeWorker | None:
        """Return the worker at the address, None if it is silent."""
        held = self.workers.at.get(self.spec.address)
        if held is None or not held.is_alive or self.workers.is_cut(held):
            return None
        return held

    async def start(self, order: StartOrder) -> tuple[StartAnswer, int]:
        """Order a start."""
        await asyncio.sleep(TRIP_S * (1 + self.random.random()))
        worker = self.worker()
        # Like a worker, a later life under the same id takes the order.
        if worker is not None and worker.spec.worker != self.spec.worker:
            return StartAnswer.OTHER_LIFE, 0
        if worker is None or self._delays(lambda: self._late_start(order)):
            await asyncio.sleep(0.6)
            return StartAnswer.UNANSWERED, 0
        return worker.start(order), worker.clock_ms()

    async def stop(self, task: TaskKey, run: int, fencing_token: int) -> bool:
        """Order a stop."""
        await asyncio.sleep(TRIP_S)
        worker = self.worker()
        if worker is None or worker.spec.worker != self.spec.worker:
            await asyncio.sleep(0.6)
            return False
        if self._delays(lambda: worker.stop(task, run, fencing_token)):
            await asyncio.sleep(0.6)
            return False
        worker.stop(task, run, fencing_token)
        return True

    async def renew(
        self,
        *,
        fencing_token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Listing | RenewalFailure:
        """Renew the lease."""
        await asyncio.sleep(TRIP_S)
        worker = self.worker()
        if worker is None:
            return await self._silence()
        if worker.spec.worker != self.spec.worker:
            return Listing(clock_ms=0, is_same_life=False, is_same_worker=False)
        if fencing_token < worker.fence:
            return Listing(clock_ms=worker.clock_ms(), is_fenced=True)
        worker.fence = fencing_token
        worker.lease_ms = max(worker.lease_ms, deadline_ms or 0)
        worker.listing(acknowledged)
        if wait_ms and not worker.ends:
            worker.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        if not worker.is_alive:
            # Its connections were reset.
            return RenewalFailure.NO_ANSWER
        if self.worker() is not worker:
            return await self._silence()
        return msgspec.structs.replace(
            worker.listing(acknowledged),
            is_same_life=worker.spec.life == self.spec.life,
        )

    async def _silence(self) -> RenewalFailure:
        held = self.workers.at[self.spec.address]
        if not held.is_alive and not self.workers.is_cut(held):
            return RenewalFailure.NO_PROCESS
        await asyncio.sleep(0.7)
        return RenewalFailure.NO_ANSWER

    def close(self) -> None:
        """Nothing is open."""

    def _late_start(self, order: StartOrder) -> None:
        worker = self.worker()
        if worker is not None and worker.spec.worker == self.spec.worker:
            worker.start(order)

    def _delays(self, order: Any) -> bool:
        """Whether the order gets no answer; it may be carried out later."""
        if self.random.random() >= self.faults:
            return False
        if self.random.random() < 0.5:
            delay_s = self.random.uniform(0, 12)
            asyncio.get_running_loop().call_later(delay_s, order)
        return True


class FakeConnector(WorkerConnector):
    """All fake workers.

    :param faults: share of the orders without an answer.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random | None = None,
        faults: float = 0.0,
        duration_s: float = 1.0,
    ) -> None:
        self.clock = clock
        self.random = random or Random(0)
        self.faults = faults
        self.duration_s = duration_s
        self.at: dict[str, FakeWorker] = {}
        self.all: list[FakeWorker] = []
        self.cut: set[str] = set()

    def add(self, specs: Iterable[WorkerSpec]) -> None:
        """Start lives of workers."""
        for spec in specs:
            worker = FakeWorker(
                spec, clock=self.clock, duration_s=self.duration_s
            )
            self.at[spec.address] = worker
            self.all.append(worker)

    def is_cut(self, worker: FakeWorker) -> bool:
        """Whether a worker cannot be reached."""
        return worker.spec.address in self.cut

    def open(self, worker: WorkerSpec) -> WorkerConnection:
        """Return the port to a life of a worker."""
        return FakeConnection(self, worker, self.faults)

    async def expire_leases(self) -> None:
        """End what has outlived its lease, as workers do."""
        while True:
            await asyncio.sleep(0.05)
            for worker in self.all:
                over = worker.clock_ms() > worker.lease_ms
                if worker.is_alive and over:
                    for task, held in list(worker.runs.items()):
                        worker.end(task, held.order.run, EndKind.LAPSED)


class FakeReplica:
    """Replicated log with one state, as the leader of a term sees it.

    :param state: the state that all terms share.
    """

    def __init__(
        self, *, state: GraphState, clock: Clock, random: Random
    ) -> None:
        self.state = state
        self.clock = clock
        self.random = random
        self.current_term = 1
        self.faults = 0.0

    def at_term(self, term: int) -> 'TermView':
        """Return the replica as the leader of a term sees it."""
        return TermView(self, term)


class TermView:
    """The replica of one leader; a later term makes it powerless."""

    def __init__(self, replica: FakeReplica, term: int) -> None:
        self.replica = replica
        self.own_term = term
        self.state = replica.state

    def term(self) -> int:
        """Return the term of this leader."""
        return self.own_term

    def has_authority(self) -> bool:
        """Whether no later leader was elected."""
        return self.replica.current_term == self.own_term

    async def propose(self, body: GraphCommandBody, now_ms: int) -> Any:
        """Commit a command; now and then its fate stays unknown."""
        await asyncio.sleep(COMMIT_S)
        if not self.has_authority():
            raise NotLeaderError('another leader replaced the command')
        result = self.state.apply(GraphCommand(time_ms=now_ms, body=body))
        if self.replica.random.random() < self.replica.faults:
            raise UndecidedError('the command was not committed in time')
        return result
