"""Fake workers and replicated log with injected faults, on virtual time."""

import asyncio
from collections.abc import Callable, Iterable
from math import inf
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
from mangotrail.graphs.suspended_leases import SuspendedLeases
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
# Time between the rounds of the leader, with their way back.
ROUND_S = 0.15
TRIP_S = 0.004
STOP_S = 0.2
GANG_WAIT_S = 3.0
LEASE_MS = 10_000
# Ends that a worker lists at a time.
LISTED_ENDS = 500
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
    """Return a worker with 8 accelerators; each rack has four workers."""
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
    """Return a step."""
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
    """A run on a fake worker."""

    def __init__(self, order: StartOrder, begun_s: float) -> None:
        self.order = order
        self.begun_s = begun_s
        self.timer: asyncio.TimerHandle | None = None


class FakeWorker:
    """One life of a worker that follows the protocol and records each start.

    :param duration_s: duration of each task.
    """

    def __init__(
        self, spec: WorkerSpec, *, clock: Clock, duration_s: float = 1.0
    ) -> None:
        self.spec = spec
        self.clock = clock
        self.begun_s = clock.monotonic_s()
        self.duration_s = duration_s
        self.fence = 0
        self.runs: dict[TaskKey, FakeRun] = {}
        self.ends: list[ListedEnd] = []
        self.count = 0
        self.highest_ended: dict[TaskKey, int] = {}
        self.lease_ms = 0
        self.started: list[tuple[TaskKey, int, float]] = []
        self.ended_s: dict[tuple[TaskKey, int], float] = {}
        # Runs whose end `done` has been acknowledged.
        self.noted_done: set[tuple[TaskKey, int]] = set()
        self.changed = asyncio.Event()
        self.is_alive = True
        self.overload = 0
        # Checks the ticket of a start order; None accepts all.
        self.accepts_ticket: Callable[[StartOrder, WorkerId], bool] | None = (
            None
        )

    def clock_ms(self) -> int:
        """Return the clock of this life, which is 1 % slow."""
        return round((self.clock.monotonic_s() - self.begun_s) * 990)

    def start(self, order: StartOrder) -> StartAnswer:
        """Execute a start order."""
        if order.fencing_token < self.fence:
            return StartAnswer.FENCED
        self.fence = order.fencing_token
        current = self.runs.get(order.task)
        if current is not None and current.order.run == order.run:
            return StartAnswer.STARTED
        self.lease_ms = max(self.lease_ms, order.deadline_ms)
        if order.run <= self.highest_ended.get(order.task, 0) or current:
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
        """Execute a stop order."""
        if fencing_token < self.fence:
            return
        self.fence = fencing_token
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        current = self.runs.get(task)
        if current is not None and current.order.run <= run:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, current.order.run, EndKind.STOPPED
            )

    def end(self, task: TaskKey, run: int, kind: EndKind) -> None:
        """End a run."""
        current = self.runs.get(task)
        if current is None or current.order.run != run or not self.is_alive:
            return
        del self.runs[task]
        if current.timer is not None:
            current.timer.cancel()
        self.count += 1
        self.ended_s[task, run] = self.clock.monotonic_s()
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
        for fake_run in self.runs.values():
            if fake_run.timer is not None:
                fake_run.timer.cancel()
        self.runs.clear()
        self.changed.set()

    def listing(self, acknowledged: int) -> Listing:
        """Return the listing for a renewal."""
        for end in self.ends:
            if end.number <= acknowledged and end.end is EndKind.DONE:
                self.noted_done.add((end.task, end.run))
        self.ends = [end for end in self.ends if end.number > acknowledged]
        return Listing(
            clock_ms=self.clock_ms(),
            running=tuple(
                ListedRun(
                    task=task,
                    run=fake_run.order.run,
                    checkpoint='',
                    percent=100,
                    usage=None,
                )
                for task, fake_run in self.runs.items()
            ),
            ends=tuple(self.ends[:LISTED_ENDS]),
            has_more_ends=len(self.ends) > LISTED_ENDS,
        )


class FakeConnection(WorkerConnection):
    """Connection to a fake worker that loses answers and delays orders.

    :param faults: share of orders without an answer; half of these are executed
        up to 12 s later.
    """

    def __init__(
        self, connector: 'FakeConnector', spec: WorkerSpec, faults: float
    ) -> None:
        self.workers = connector
        self.spec = spec
        self.faults = faults
        self.random = connector.random

    def worker(self) -> FakeWorker | None:
        """Return the worker at the address, None if it is unreachable."""
        current = self.workers.at.get(self.spec.address)
        if (
            current is None
            or not current.is_alive
            or self.workers.is_cut(current)
        ):
            return None
        return current

    async def start(self, order: StartOrder) -> tuple[StartAnswer, int]:
        """Send a start order."""
        await asyncio.sleep(TRIP_S * (1 + self.random.random()))
        worker = self.worker()
        # Like a real worker, a successor with the same id accepts the order.
        if worker is not None and worker.spec.worker != self.spec.worker:
            return StartAnswer.OTHER_LIFE, 0
        if worker is None or self._delays(lambda: self.delay_start(order)):
            await asyncio.sleep(0.6)
            return StartAnswer.UNANSWERED, 0
        return worker.start(order), worker.clock_ms()

    async def stop(self, task: TaskKey, run: int, fencing_token: int) -> bool:
        """Send a stop order."""
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
            # The crash has reset its connections.
            return RenewalFailure.NO_ANSWER
        if self.worker() is not worker:
            return await self._silence()
        return msgspec.structs.replace(
            worker.listing(acknowledged),
            is_same_life=worker.spec.life == self.spec.life,
        )

    async def _silence(self) -> RenewalFailure:
        current = self.workers.at[self.spec.address]
        if self.spec.address in self.workers.resetting:
            return RenewalFailure.REFUSED
        if not current.is_alive and not self.workers.is_cut(current):
            return RenewalFailure.REFUSED
        await asyncio.sleep(0.7)
        return RenewalFailure.NO_ANSWER

    def close(self) -> None:
        """Do nothing: no connection is open."""

    def delay_start(self, order: StartOrder) -> None:
        """Execute a start order late, on whichever life is at the address."""
        worker = self.worker()
        if worker is not None and worker.spec.worker == self.spec.worker:
            worker.start(order)

    def _delays(self, order: Any) -> bool:
        """Whether the order gets no answer; it may be executed later."""
        if self.random.random() >= self.faults:
            return False
        if self.random.random() < 0.5:
            delay_s = self.random.uniform(0, 12)
            asyncio.get_running_loop().call_later(delay_s, order)
        return True


class FakeConnector(WorkerConnector):
    """Connector to all fake workers.

    :param faults: share of orders without an answer.
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
        # Addresses of partitioned workers whose network resets connections.
        self.resetting: set[str] = set()

    def add(self, specs: Iterable[WorkerSpec]) -> None:
        """Start new lives of workers."""
        for spec in specs:
            worker = FakeWorker(
                spec, clock=self.clock, duration_s=self.duration_s
            )
            self.at[spec.address] = worker
            self.all.append(worker)

    def is_cut(self, worker: FakeWorker) -> bool:
        """Whether a worker is partitioned."""
        return worker.spec.address in self.cut | self.resetting

    def open(self, worker: WorkerSpec) -> WorkerConnection:
        """Return a connection to a life of a worker."""
        return FakeConnection(self, worker, self.faults)

    async def expire_leases(self) -> None:
        """End runs of workers whose lease has expired, as real workers do."""
        while True:
            await asyncio.sleep(0.05)
            for worker in self.all:
                expired = worker.clock_ms() > worker.lease_ms
                if worker.is_alive and expired:
                    for task, fake_run in list(worker.runs.items()):
                        worker.end(task, fake_run.order.run, EndKind.LAPSED)


class FakeReplica:
    """Replicated log with a single state.

    :param state: state shared by all terms.
    """

    def __init__(
        self, *, state: GraphState, clock: Clock, random: Random
    ) -> None:
        self.state = state
        self.clock = clock
        self.random = random
        self.leases = SuspendedLeases(clock)
        self.current_term = 1
        self.faults = 0.0
        # Whether a majority does not answer at the moment.
        self.is_isolated = False

    def at_term(self, term: int) -> 'TermView':
        """Return the view of the replica for the leader of a term."""
        return TermView(self, term)


class TermView:
    """View of the replica for one leader; a later term ends its authority."""

    def __init__(self, replica: FakeReplica, term: int) -> None:
        self.replica = replica
        self.own_term = term
        self.state = replica.state
        self.leases = replica.leases

    def term(self) -> int:
        """Return the term of this leader."""
        return self.own_term

    def leads(self) -> bool:
        """Whether no later leader has been elected."""
        return self.replica.current_term == self.own_term

    def has_authority(self) -> bool:
        """Whether this is certain, because a majority answers."""
        return self.leads() and not self.replica.is_isolated

    def quorum_contact_s(self) -> float:
        """Return when the last round was sent that a majority answered."""
        now_s = self.replica.clock.monotonic_s()
        return now_s - ROUND_S if self.has_authority() else -inf

    async def propose(self, body: GraphCommandBody, now_ms: int) -> Any:
        """Commit a command; some commits are reported as undecided."""
        await asyncio.sleep(COMMIT_S)
        if self.replica.is_isolated:
            raise UndecidedError('the command was not committed in time')
        if not self.leads():
            raise NotLeaderError('another leader replaced the command')
        result = self.state.apply(GraphCommand(time_ms=now_ms, body=body))
        self.leases.observe(body)
        if self.replica.random.random() < self.replica.faults:
            raise UndecidedError('the command was not committed in time')
        return result
