"""Replays a trace against a policy and collects statistics.

The driver executes the decisions of the policy in virtual time; it models no
instances and no network. docs/measurements.md describes the statistics.
"""

import gc
import heapq
import math
import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from time import perf_counter_ns
from types import BuiltinFunctionType, FunctionType, MethodType, ModuleType

from benchmarks.trace import (
    CancelLine,
    Header,
    JobFailure,
    SubmitLine,
    Trace,
    TraceLine,
    WorkerCondition,
    WorkerLine,
    ZoneLine,
)
from mangotrail._messages import (
    GangLevel,
    JobSpec,
    Outcome,
    Placement,
    TaskUsage,
    WorkerStatus,
    ZoneState,
)
from mangotrail.events import (
    BundleApplied,
    Checkpoint,
    Decision,
    EndpointsChanged,
    EndpointStatus,
    Event,
    Finish,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    Place,
    Quarantine,
    Refuse,
    Stop,
    Throttle,
    Tick,
    UsageReported,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.ids import (
    AccountId,
    EndpointId,
    JobId,
    RequestId,
    WorkerId,
    ZoneId,
)
from mangotrail.policy import Policy

# Ticks are frequent while a stop, a retry or an evacuation can be due, and rare
# otherwise, so that a week replays in seconds.
FAST_TICK_S = 1.0
SLOW_TICK_S = 30.0
FAST_TICKS_DURATION_S = 40.0
STATE_SAMPLES = 12
MAX_MESSAGES = 5


class Rule(StrEnum):
    """Hard rules that no decision may violate."""

    UNKNOWN_JOB = 'unknown_job'
    ACCELERATOR_TWICE = 'accelerator_twice'
    SLOT_TWICE = 'slot_twice'
    CONNECTION_TWICE = 'connection_twice'
    ZONE_OUT = 'zone_out'
    WORKER_LOST = 'worker_lost'
    GANG_NOT_WHOLE = 'gang_not_whole'
    SECOND_RUN = 'second_run'
    ENDPOINT = 'endpoint'
    NOT_RUN_FALSE = 'not_run_false'
    PREEMPTED = 'preempted'


class RunState(StrEnum):
    """Progress of a job in the replay."""

    WAITING = 'waiting'
    HELD = 'held'
    DONE = 'done'


@dataclass(slots=True, eq=False)
class Worker:
    """Resources of a worker and how much of them is in use.

    :param held: indexes of the accelerators that attempts hold.
    :param excess: use above the declared sizes, as a share of the worker.
    """

    worker: WorkerId
    zone: ZoneId
    rack: str
    accelerators: int
    cores: int
    slots: int
    connections: int
    condition: WorkerCondition = WorkerCondition.HEALTHY
    reported_lost: bool = False
    held: set[int] = field(default_factory=set)
    used_slots: int = 0
    used_connections: int = 0
    excess: float = 0

    def share_for(self, accelerators: int) -> float:
        """Return the share of the worker that a gang member holds.

        :param accelerators: accelerators of the member; with 0 it holds a slot.
        """
        if accelerators:
            return accelerators / self.accelerators
        return 1 / self.slots


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that holds resources.

    :param share_limit: throttle, a multiple of the declared size.
    :param rate: progress per second.
    :param finish_version: a scheduled end of another version is outdated.
    """

    run: 'Run'
    number: int
    placement: Placement
    started_s: float | None = None
    progress_updated_s: float = 0
    share_limit: float = math.inf
    rate: float = 1
    finish_version: int = 0
    stopping: bool = False
    ended: bool = False


@dataclass(slots=True, eq=False)
class Run:
    """A job of the trace and its progress.

    :param need: accelerators of the whole gang.
    :param possible: whether the inventory could hold the gang if empty.
    :param checkpoint_s: duration of a checkpoint.
    :param progress_s: run time done, including what is not saved.
    :param saved_s: run time that the last checkpoint saved.
    :param entitled_s: since when the job waits within a guarantee.
    """

    line: SubmitLine
    job_spec: JobSpec
    need: int
    possible: bool
    checkpoint_s: float
    state: RunState = RunState.WAITING
    attempt: Attempt | None = None
    last_attempt: int = 0
    began: bool = False
    cancelled: bool = False
    progress_s: float = 0
    saved_s: float = 0
    started_s: float | None = None
    ended_s: float | None = None
    outcome: Outcome | None = None
    entitled_s: float | None = None


@dataclass(slots=True, eq=False)
class Account:
    """Guarantee, held accelerators and waiting jobs of an account.

    :param cells: level and accelerators of the guaranteed cells.
    :param entitled: waiting jobs that the guarantee covers.
    """

    guaranteed: int
    cells: Sequence[tuple[GangLevel, int]]
    held: int = 0
    waiting: dict[JobId, Run] = field(default_factory=dict)
    entitled: dict[JobId, Run] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ReplayStats:
    """Statistics of a replay.

    Capacity, fragmentation and work are in accelerator-seconds. A wait is a
    tuple of its duration, its start and the job.
    """

    violations: Counter[Rule] = field(default_factory=Counter)
    messages: list[str] = field(default_factory=list)
    call_ns: list[int] = field(default_factory=list)
    tick_ns: list[int] = field(default_factory=list)
    capacity: float = 0
    fragmented: float = 0
    fragmented_zone: float = 0
    move_possible: float = 0
    move_work: float = 0
    lost_work: float = 0
    useful_work: float = 0
    reclaim_waits: list[tuple[float, float, JobId]] = field(
        default_factory=list
    )
    move_reclaim_waits: list[tuple[float, float, JobId]] = field(
        default_factory=list
    )
    checkpoints: int = 0
    stops: int = 0
    killed_by_zone: int = 0
    worker_faults: int = 0
    quarantines: int = 0
    throttles: int = 0
    wrong_refusals: int = 0
    peak_state_bytes: int = 0


LEVEL_ORDER = {GangLevel.WORKER: 0, GangLevel.RACK: 1, GangLevel.ZONE: 2}


def deep_size(root: object) -> int:
    """Return the bytes of all objects that are reachable from an object.

    Code and types are left out: they are not state.
    """
    skipped = (
        type,
        ModuleType,
        FunctionType,
        MethodType,
        BuiltinFunctionType,
    )
    seen: set[int] = set()
    pending: list[object] = [root]
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, skipped):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total


class Replay:
    """One replay of one trace under one policy."""

    def __init__(self, *, trace: Trace, policy: Policy) -> None:
        self.trace = trace
        self.header: Header = trace.header
        self.policy = policy
        self.stats = ReplayStats()
        self.now_s = 0.0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.workers: dict[WorkerId, Worker] = {}
        self.zones: dict[ZoneId, ZoneState] = {}
        self.zone_version: Counter[ZoneId] = Counter()
        self.endpoints: dict[EndpointId, EndpointStatus] = {}
        self.runs: dict[JobId, Run] = {}
        self.accounts: dict[AccountId, Account] = {}
        self.attempts: dict[JobId, Attempt] = {}
        self.waiting_needs: Counter[int] = Counter()
        self.demand = 0
        self.free: Counter[ZoneId] = Counter()
        self.capacity = 0
        self.tick_version = 0
        self.next_tick_s = 0.0
        self.fast_until_s = 0.0
        self.last_submit_s = 0.0
        self.build_inventory()

    def build_inventory(self) -> None:
        """Create the workers, endpoints and accounts of the bundle."""
        bundle = self.header.bundle
        for zone in bundle.zones:
            self.zones[zone.zone] = ZoneState.IN
            for rack in zone.racks:
                for worker in rack.workers:
                    self.workers[worker] = Worker(
                        worker=worker,
                        zone=zone.zone,
                        rack=f'{zone.zone}/{rack.rack}',
                        accelerators=rack.accelerators,
                        cores=rack.cores,
                        slots=zone.slots,
                        connections=zone.connections,
                    )
            for service in bundle.services:
                name = EndpointId(f'{service.service}.{zone.zone}')
                self.endpoints[name] = EndpointStatus(
                    endpoint=name,
                    service=service.service,
                    zone=zone.zone,
                    url=f'http://{name}',
                )
        for account in bundle.accounts:
            shapes = account.guarantees
            self.accounts[account.account] = Account(
                guaranteed=sum(s.accelerators * s.count for s in shapes),
                cells=[(GangLevel(s.level), s.accelerators) for s in shapes],
            )
        self.recount_capacity()

    # Time and events.

    def run(self) -> ReplayStats:
        """Replay the whole trace."""
        header = self.header
        for line in self.trace.lines:
            self.schedule_at(line.at_s, self.line_action(line))
            if isinstance(line, SubmitLine):
                self.last_submit_s = max(self.last_submit_s, line.at_s)
        for sample in range(1, STATE_SAMPLES + 1):
            self.schedule_at(
                header.end_s * sample / STATE_SAMPLES, self.sample_state_size
            )
        self.deliver(BundleApplied(bundle=header.bundle))
        self.deliver(
            WorkersReported(
                workers=[
                    WorkerStatus(worker=worker, healthy=True)
                    for worker in self.workers
                ]
            )
        )
        self.deliver(EndpointsChanged(endpoints=list(self.endpoints.values())))
        self.schedule_tick(FAST_TICK_S)
        self.schedule_at(header.usage_every_s, self.report_usage)
        while self.event_queue and self.event_queue[0][0] <= header.end_s:
            time_s, _, action = heapq.heappop(self.event_queue)
            self.advance_to(time_s)
            action()
        self.advance_to(header.end_s)
        self.record_remaining_waits()
        return self.stats

    def schedule_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self.event_count += 1
        heapq.heappush(self.event_queue, (time_s, self.event_count, action))

    def schedule_after(
        self, delay_s: float, action: Callable[[], None]
    ) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.now_s + delay_s, action)

    def advance_to(self, time_s: float) -> None:
        """Advance the virtual time and integrate the statistics up to it."""
        elapsed_s = time_s - self.now_s
        if elapsed_s <= 0:
            return
        if self.now_s <= self.last_submit_s or self.waiting_needs:
            stats = self.stats
            stats.capacity += elapsed_s * self.capacity
            if self.waiting_needs:
                smallest = min(self.waiting_needs)
                free = sum(self.free.values())
                if smallest <= free:
                    stats.fragmented += elapsed_s * free
                if smallest <= max(self.free.values(), default=0):
                    stats.fragmented_zone += elapsed_s * free
        if self.any_zone_out:
            possible = min(self.capacity, self.demand)
            self.stats.move_possible += elapsed_s * possible
        self.now_s = time_s

    @property
    def any_zone_out(self) -> bool:
        """Whether any zone is being evacuated or is out."""
        return any(state != ZoneState.IN for state in self.zones.values())

    def deliver(self, event: Event) -> None:
        """Pass an event to the policy and apply its decisions."""
        started_ns = perf_counter_ns()
        decisions = self.policy.handle(event, self.now_s)
        spent_ns = perf_counter_ns() - started_ns
        if isinstance(event, Tick):
            self.stats.tick_ns.append(spent_ns)
        else:
            self.stats.call_ns.append(spent_ns)
        for decision in decisions:
            self.apply(decision)

    def schedule_tick(self, delay_s: float) -> None:
        """Schedule the next tick; it replaces the one scheduled before."""
        self.tick_version += 1
        version = self.tick_version
        self.next_tick_s = self.now_s + delay_s

        def tick() -> None:
            if version != self.tick_version:
                return
            self.deliver(Tick())
            fast = self.now_s < self.fast_until_s
            if version == self.tick_version:
                self.schedule_tick(FAST_TICK_S if fast else SLOW_TICK_S)

        self.schedule_after(delay_s, tick)

    def tick_fast(self) -> None:
        """Tick frequently for ``FAST_TICKS_DURATION_S``."""
        self.fast_until_s = self.now_s + FAST_TICKS_DURATION_S
        if self.next_tick_s > self.now_s + FAST_TICK_S:
            self.schedule_tick(FAST_TICK_S)

    # Lines of the trace.

    def line_action(self, line: TraceLine) -> Callable[[], None]:
        """Return the action of a trace line."""
        match line:
            case SubmitLine():
                return lambda: self.submit(line)
            case CancelLine():
                return lambda: self.cancel(line.job)
            case ZoneLine():
                return lambda: self.change_zone(line)
            case WorkerLine():
                return lambda: self.change_worker(line)

    def submit(self, line: SubmitLine) -> None:
        """Submit a job to the policy."""
        job_class = self.header.classes[line.job_class]
        job_spec = JobSpec(
            account=job_class.account,
            request=RequestId(line.job),
            service=job_class.service,
            shape=job_class.shape,
            created_at_s=line.at_s,
            job_kind=line.job_class,
            urgent=job_class.urgent,
            idempotent=job_class.idempotent,
            preemptible=job_class.preemptible,
            declared_runtime_s=line.declared_s,
        )
        shape = job_class.shape
        run = Run(
            line=line,
            job_spec=job_spec,
            need=shape.members * shape.accelerators,
            possible=self.fits_inventory(job_spec),
            checkpoint_s=job_class.checkpoint_s,
        )
        self.runs[line.job] = run
        self.enqueue(run)
        self.deliver(JobSubmitted(job=line.job, job_spec=job_spec))

    def cancel(self, job: JobId) -> None:
        """Cancel a job on behalf of its caller."""
        run = self.runs[job]
        if run.state == RunState.DONE:
            return
        run.cancelled = True
        if run.state == RunState.WAITING:
            self.end_run(run, Outcome.CANCELLED)
        self.deliver(JobCancelled(job=job))

    def change_zone(self, line: ZoneLine) -> None:
        """Change the state of a zone."""
        self.update_all_progress()
        self.zones[line.zone] = line.state
        self.zone_version[line.zone] += 1
        version = self.zone_version[line.zone]
        self.recount_capacity()
        for account in self.accounts.values():
            for run in account.entitled.values():
                run.entitled_s = self.now_s
        if line.state != ZoneState.IN:
            self.schedule_after(
                line.deadline_s,
                lambda: self.fail_attempts_in_zone(line.zone, version),
            )
        self.tick_fast()
        self.deliver(
            ZoneChanged(
                zone=line.zone, state=line.state, deadline_s=line.deadline_s
            )
        )

    def fail_attempts_in_zone(self, zone: ZoneId, version: int) -> None:
        """Fail the attempts that remain in a zone at its deadline."""
        if version != self.zone_version[zone]:
            return
        for attempt in tuple(self.attempts.values()):
            if attempt.placement.zone == zone:
                self.stats.killed_by_zone += attempt.started_s is not None
                self.fail_attempt(attempt, 'zone out')

    def change_worker(self, line: WorkerLine) -> None:
        """Change the condition of a worker."""
        worker = self.workers[line.worker]
        worker.condition = line.condition
        self.recount_capacity()
        if line.condition == WorkerCondition.LOST:
            self.schedule_after(
                self.header.detect_s, lambda: self.report_lost_worker(worker)
            )
            return
        if worker.reported_lost:
            worker.reported_lost = False
            self.report_worker(worker)
        if line.condition == WorkerCondition.FAILS_ALL:
            for attempt in self.attempts_on(worker):
                if attempt.started_s is not None:
                    self.schedule_worker_fault(attempt, worker)

    def report_lost_worker(self, worker: Worker) -> None:
        """Report a lost worker and fail its attempts."""
        if worker.condition != WorkerCondition.LOST:
            return
        worker.reported_lost = True
        self.tick_fast()
        self.report_worker(worker)
        for attempt in self.attempts_on(worker):
            self.stats.worker_faults += 1
            self.fail_attempt(attempt, 'worker lost', worker.worker)

    def report_worker(self, worker: Worker) -> None:
        """Report to the policy whether a worker is healthy."""
        status = WorkerStatus(
            worker=worker.worker, healthy=not worker.reported_lost
        )
        self.deliver(WorkersReported(workers=[status]))

    def attempts_on(self, worker: Worker) -> list[Attempt]:
        """Return the attempts with a member on a worker."""
        return [
            attempt
            for attempt in self.attempts.values()
            if any(
                member.worker == worker.worker
                for member in attempt.placement.members
            )
        ]

    def report_usage(self) -> None:
        """Report the usage of running attempts ``usage_lag_s`` ago."""
        header = self.header
        measured_at_s = self.now_s - header.usage_lag_s
        usage = [
            TaskUsage(
                job=job,
                attempt=attempt.number,
                measured_s=measured_at_s - attempt.started_s,
                cores=self.usage_ratio(attempt) * self.declared_cores(attempt),
                accelerator_share=self.usage_ratio(attempt),
            )
            for job, attempt in self.attempts.items()
            if attempt.started_s is not None
            and attempt.started_s < measured_at_s
        ]
        if usage:
            self.deliver(UsageReported(usage=usage))
        self.schedule_after(header.usage_every_s, self.report_usage)

    def usage_ratio(self, attempt: Attempt) -> float:
        """Return the usage of an attempt as a multiple of its declared size."""
        return min(attempt.run.line.size, attempt.share_limit)

    def declared_cores(self, attempt: Attempt) -> float:
        """Return the declared cores of all members of a gang."""
        cores = 0.0
        for member in attempt.placement.members:
            worker = self.workers[member.worker]
            cores += worker.cores * worker.share_for(len(member.accelerators))
        return cores

    def adjust_excess(self, attempt: Attempt, sign: int) -> None:
        """Add or remove the usage of an attempt above its declared size.

        The excess slows everything on the same worker evenly, and the slowest
        member determines the rate of a gang.

        :param sign: 1 to add, -1 to remove.
        """
        excess = max(0.0, self.usage_ratio(attempt) - 1)
        if not excess or attempt.started_s is None:
            return
        affected_workers = []
        for member in attempt.placement.members:
            worker = self.workers[member.worker]
            member_share = worker.share_for(len(member.accelerators))
            worker.excess = max(
                0.0, worker.excess + sign * member_share * excess
            )
            affected_workers.append(worker)
        affected_attempts = {
            other.run.line.job: other
            for worker in affected_workers
            for other in self.attempts_on(worker)
        }
        for other in affected_attempts.values():
            self.set_rate(other)

    def set_rate(self, attempt: Attempt) -> None:
        """Update the rate of an attempt and reschedule its end."""
        largest_excess = max(
            self.workers[member.worker].excess
            for member in attempt.placement.members
        )
        size = attempt.run.line.size
        rate = min(1.0, attempt.share_limit / size) / (1 + largest_excess)
        if attempt.started_s is None or rate == attempt.rate:
            return
        self.update_progress(attempt)
        attempt.rate = rate
        self.schedule_finish(attempt)

    # Decisions.

    def apply(self, decision: Decision) -> None:
        """Apply one decision."""
        match decision:
            case Place():
                self.place(decision)
            case Refuse():
                self.refuse(decision)
            case Checkpoint():
                self.checkpoint(decision)
            case Stop():
                self.stop(decision)
            case Throttle():
                self.throttle(decision)
            case Finish():
                self.finish(decision)
            case Quarantine():
                self.stats.quarantines += 1
                self.tick_fast()
            case _:
                return

    def record_violation(self, rule: Rule, message: str) -> None:
        """Count a violation; the messages of the first ones are kept."""
        self.stats.violations[rule] += 1
        if len(self.stats.messages) < MAX_MESSAGES:
            self.stats.messages.append(f'{self.now_s:.1f} s: {rule}: {message}')

    def place(self, decision: Place) -> None:
        """Allocate the resources of an attempt and schedule its start."""
        run = self.runs.get(decision.job)
        violated = self.violated_rules(decision, run)
        for rule in violated:
            self.record_violation(
                rule, f'{decision.job} attempt {decision.attempt}'
            )
        if violated or run is None:
            self.schedule_after(
                self.header.start_delay_s,
                lambda: self.deliver(
                    GangFailed(
                        job=decision.job,
                        attempt=decision.attempt,
                        nothing_ran=True,
                        reason='placement breaks a rule',
                    )
                ),
            )
            return
        self.dequeue(run)
        run.state = RunState.HELD
        run.last_attempt = decision.attempt
        attempt = Attempt(
            run=run, number=decision.attempt, placement=decision.placement
        )
        run.attempt = attempt
        self.attempts[decision.job] = attempt
        self.adjust_held(attempt, 1)
        self.schedule_after(
            self.header.start_delay_s, lambda: self.start(attempt)
        )

    def violated_rules(self, decision: Place, run: Run | None) -> set[Rule]:
        """Return the hard rules that a placement violates."""
        if run is None or run.state != RunState.WAITING or run.cancelled:
            return {Rule.UNKNOWN_JOB}
        violated: set[Rule] = set()
        placement = decision.placement
        shape = run.job_spec.shape
        if decision.attempt <= run.last_attempt:
            violated.add(Rule.UNKNOWN_JOB)
        if run.began and not run.job_spec.idempotent:
            violated.add(Rule.SECOND_RUN)
        if self.zones.get(placement.zone) != ZoneState.IN:
            violated.add(Rule.ZONE_OUT)
        endpoint = self.endpoints.get(placement.endpoint)
        if endpoint is None or endpoint.service != run.job_spec.service:
            violated.add(Rule.ENDPOINT)
        if len(placement.members) != shape.members:
            violated.add(Rule.GANG_NOT_WHOLE)
        taken: defaultdict[WorkerId, set[int]] = defaultdict(set)
        tasks: Counter[WorkerId] = Counter()
        for member in placement.members:
            worker = self.workers.get(member.worker)
            if worker is None or worker.zone != placement.zone:
                violated.add(Rule.ZONE_OUT)
                continue
            if worker.reported_lost:
                violated.add(Rule.WORKER_LOST)
            if len(member.accelerators) != shape.accelerators:
                violated.add(Rule.GANG_NOT_WHOLE)
            for index in member.accelerators:
                used = index in worker.held or index in taken[member.worker]
                if used or index >= worker.accelerators:
                    violated.add(Rule.ACCELERATOR_TWICE)
                taken[member.worker].add(index)
            tasks[member.worker] += 1
            if worker.used_slots + tasks[member.worker] > worker.slots:
                violated.add(Rule.SLOT_TWICE)
            connections = worker.used_connections + tasks[member.worker]
            if connections > worker.connections:
                violated.add(Rule.CONNECTION_TWICE)
        if (
            self.level_order(taken | dict.fromkeys(tasks, set()))
            > LEVEL_ORDER[shape.level]
        ):
            violated.add(Rule.GANG_NOT_WHOLE)
        return violated

    def level_order(self, names: Iterable[WorkerId]) -> int:
        """Return the order of the smallest level that contains the workers."""
        workers = [self.workers[name] for name in names if name in self.workers]
        if len(workers) <= 1:
            return LEVEL_ORDER[GangLevel.WORKER]
        if len({worker.rack for worker in workers}) == 1:
            return LEVEL_ORDER[GangLevel.RACK]
        return LEVEL_ORDER[GangLevel.ZONE]

    def refuse(self, decision: Refuse) -> None:
        """End a job as not run."""
        run = self.runs.get(decision.job)
        if run is None or run.state == RunState.DONE:
            return
        if run.began or run.state == RunState.HELD:
            self.record_violation(Rule.NOT_RUN_FALSE, f'{decision.job} refused')
        if run.possible:
            self.stats.wrong_refusals += 1
        if run.state == RunState.WAITING:
            self.end_run(run, Outcome.NOT_RUN)

    def checkpoint(self, decision: Checkpoint) -> None:
        """Save the present progress of an attempt after ``checkpoint_s``."""
        attempt = self.find_attempt(decision.job, decision.attempt)
        if attempt is None:
            return
        self.stats.checkpoints += 1
        self.tick_fast()
        run = attempt.run
        if attempt.started_s is None or not run.job_spec.preemptible:
            return
        if run.checkpoint_s > decision.deadline_s:
            return
        self.update_progress(attempt)
        progress = run.progress_s

        def save() -> None:
            if not attempt.ended:
                run.saved_s = max(run.saved_s, progress)

        self.schedule_after(run.checkpoint_s, save)

    def stop(self, decision: Stop) -> None:
        """Stop a gang; its resources are released after ``stop_delay_s``."""
        attempt = self.find_attempt(decision.job, decision.attempt)
        if attempt is None or attempt.stopping:
            return
        run = attempt.run
        evacuated = self.zones[attempt.placement.zone] != ZoneState.IN
        incomplete = any(
            self.workers[member.worker].condition == WorkerCondition.LOST
            for member in attempt.placement.members
        )
        non_preemptible = not (
            run.job_spec.idempotent and run.job_spec.preemptible
        )
        stop_allowed = evacuated or incomplete or run.cancelled
        if (
            attempt.started_s is not None
            and non_preemptible
            and not stop_allowed
        ):
            self.record_violation(
                Rule.PREEMPTED, f'{decision.job}: {decision.reason}'
            )
        self.stats.stops += 1
        attempt.stopping = True
        self.tick_fast()
        self.schedule_after(
            self.header.stop_delay_s,
            lambda: self.fail_attempt(attempt, 'stopped'),
        )

    def throttle(self, decision: Throttle) -> None:
        """Limit the usage of an attempt to a share of its declared size."""
        attempt = self.find_attempt(decision.job, decision.attempt)
        if attempt is None:
            return
        self.stats.throttles += 1
        self.adjust_excess(attempt, -1)
        attempt.share_limit = decision.share
        self.adjust_excess(attempt, 1)
        self.set_rate(attempt)

    def finish(self, decision: Finish) -> None:
        """End a job that gets no further attempt."""
        run = self.runs.get(decision.job)
        if run is None or run.state == RunState.DONE:
            return
        if run.state == RunState.HELD:
            self.record_violation(
                Rule.UNKNOWN_JOB, f'{decision.job} ended while held'
            )
            return
        if run.began and not decision.ran:
            self.record_violation(Rule.NOT_RUN_FALSE, f'{decision.job} ended')
        self.end_run(run, decision.outcome)

    def find_attempt(self, job: JobId, number: int) -> Attempt | None:
        """Return the attempt with this number if it holds resources."""
        attempt = self.attempts.get(job)
        if attempt is None or attempt.number != number:
            return None
        return attempt

    # Life cycle of attempts.

    def start(self, attempt: Attempt) -> None:
        """Start the gang, or fail it as a whole."""
        if attempt.ended or attempt.stopping:
            return
        run = attempt.run
        if self.zones[attempt.placement.zone] != ZoneState.IN:
            self.fail_attempt(attempt, 'zone out')
            return
        members = [
            self.workers[member.worker] for member in attempt.placement.members
        ]
        for worker in members:
            if worker.condition == WorkerCondition.LOST:
                self.fail_attempt(attempt, 'not prepared', worker.worker)
                return
        attempt.started_s = self.now_s
        attempt.progress_updated_s = self.now_s
        run.began = True
        if run.started_s is None:
            run.started_s = self.now_s
        self.schedule_finish(attempt)
        self.set_rate(attempt)
        self.adjust_excess(attempt, 1)
        for worker in members:
            if worker.condition == WorkerCondition.FAILS_ALL:
                self.schedule_worker_fault(attempt, worker)
                break
        self.deliver(GangStarted(job=run.line.job, attempt=attempt.number))

    def schedule_worker_fault(self, attempt: Attempt, worker: Worker) -> None:
        """Schedule the failure of an attempt on a worker that fails all tasks."""

        def fault() -> None:
            if not attempt.ended:
                self.stats.worker_faults += 1
                self.fail_attempt(attempt, 'task failed', worker.worker)

        self.schedule_after(self.header.fail_after_s, fault)

    def schedule_finish(self, attempt: Attempt) -> None:
        """Schedule the end of an attempt at its present rate."""
        attempt.finish_version += 1
        version = attempt.finish_version
        run = attempt.run
        if attempt.rate <= 0:
            return
        remaining_s = (
            max(0.0, run.line.runtime_s - run.progress_s) / attempt.rate
        )

        def end() -> None:
            if not attempt.ended and version == attempt.finish_version:
                self.finish_attempt(attempt)

        self.schedule_after(remaining_s, end)

    def finish_attempt(self, attempt: Attempt) -> None:
        """End an attempt that has run to completion."""
        run = attempt.run
        job = run.line.job
        if run.line.fails == JobFailure.CRASH:
            first = attempt.placement.members[0].worker
            self.fail_attempt(attempt, 'task failed', first)
            return
        failed = run.line.fails == JobFailure.ANSWER
        outcome = Outcome.FAILED if failed else Outcome.ANSWERED
        self.update_progress(attempt)
        self.stats.useful_work += run.line.runtime_s * run.need
        self.release(attempt)
        self.end_run(run, outcome)
        started = attempt.started_s or self.now_s
        self.deliver(
            JobFinished(
                job=job,
                attempt=attempt.number,
                outcome=outcome,
                runtime_s=self.now_s - started,
            )
        )

    def fail_attempt(
        self, attempt: Attempt, reason: str, worker: WorkerId | None = None
    ) -> None:
        """End an attempt without an answer; unsaved progress is lost."""
        if attempt.ended:
            return
        run = attempt.run
        self.update_progress(attempt)
        lost = (run.progress_s - run.saved_s) * run.need
        self.stats.lost_work += lost
        if self.any_zone_out:
            self.stats.move_work -= lost
        run.progress_s = run.saved_s
        self.release(attempt)
        if run.cancelled:
            self.end_run(run, Outcome.CANCELLED)
        else:
            self.enqueue(run)
        self.tick_fast()
        self.deliver(
            GangFailed(
                job=run.line.job,
                attempt=attempt.number,
                nothing_ran=attempt.started_s is None,
                reason=reason,
                worker=worker,
            )
        )

    def release(self, attempt: Attempt) -> None:
        """Release the resources of an attempt."""
        self.adjust_excess(attempt, -1)
        attempt.ended = True
        attempt.run.attempt = None
        self.attempts.pop(attempt.run.line.job)
        self.adjust_held(attempt, -1)

    def adjust_held(self, attempt: Attempt, sign: int) -> None:
        """Allocate or release the resources of an attempt.

        :param sign: 1 to allocate, -1 to release.
        """
        run = attempt.run
        account = self.accounts[run.job_spec.account]
        account.held += sign * run.need
        for member in attempt.placement.members:
            worker = self.workers[member.worker]
            if sign > 0:
                worker.held.update(member.accelerators)
            else:
                worker.held.difference_update(member.accelerators)
            worker.used_slots += sign
            worker.used_connections += sign
            if self.usable(worker):
                self.free[worker.zone] -= sign * len(member.accelerators)
        self.update_entitled(account)

    def update_progress(self, attempt: Attempt) -> None:
        """Add the progress since the last update."""
        if attempt.started_s is None:
            return
        run = attempt.run
        elapsed_s = self.now_s - attempt.progress_updated_s
        run.progress_s += elapsed_s * attempt.rate
        attempt.progress_updated_s = self.now_s
        # The rate is left out: it depends on wrong sizes, not on the evacuation.
        if (
            self.any_zone_out
            and self.zones[attempt.placement.zone] == ZoneState.IN
        ):
            self.stats.move_work += elapsed_s * run.need

    def update_all_progress(self) -> None:
        """Update the progress of all attempts, before zones change."""
        for attempt in self.attempts.values():
            self.update_progress(attempt)

    # Queues.

    def enqueue(self, run: Run) -> None:
        """Add a job to the waiting jobs."""
        run.state = RunState.WAITING
        account = self.accounts[run.job_spec.account]
        if run.possible:
            account.waiting[run.line.job] = run
            if run.need:
                self.waiting_needs[run.need] += 1
        if run.last_attempt == 0 and run.possible:
            self.demand += run.need
        self.update_entitled(account)

    def dequeue(self, run: Run) -> None:
        """Remove a job from the waiting jobs."""
        account = self.accounts[run.job_spec.account]
        if account.waiting.pop(run.line.job, None) and run.need:
            self.waiting_needs[run.need] -= 1
            if not self.waiting_needs[run.need]:
                self.waiting_needs.pop(run.need)
        account.entitled.pop(run.line.job, None)
        if run.entitled_s is not None:
            self.record_reclaim_wait(run)

    def end_run(self, run: Run, outcome: Outcome) -> None:
        """Record the end of a job."""
        if run.state == RunState.WAITING:
            run.entitled_s = None
            self.dequeue(run)
        run.state = RunState.DONE
        run.ended_s = self.now_s
        run.outcome = outcome
        if run.possible:
            self.demand -= run.need
        self.update_entitled(self.accounts[run.job_spec.account])

    def update_entitled(self, account: Account) -> None:
        """Find the waiting jobs that the guarantee of an account covers.

        Jobs count in queue order until the next one would exceed the
        guaranteed accelerators that the account does not hold yet.
        """
        budget = account.guaranteed - account.held
        entitled: dict[JobId, Run] = {}
        if budget > 0:
            for job, run in account.waiting.items():
                if not run.need or not self.fits_cell(account, run):
                    continue
                if run.need > budget:
                    break
                budget -= run.need
                entitled[job] = run
        for job, run in account.entitled.items():
            if job not in entitled:
                run.entitled_s = None
        for run in entitled.values():
            if run.entitled_s is None:
                run.entitled_s = self.now_s
        account.entitled = entitled

    def fits_cell(self, account: Account, run: Run) -> bool:
        """Return whether one guaranteed cell can hold a job."""
        order = LEVEL_ORDER[run.job_spec.shape.level]
        return any(
            run.need <= size and LEVEL_ORDER[level] <= order
            for level, size in account.cells
        )

    def record_reclaim_wait(self, run: Run) -> None:
        """Record how long a job within its guarantee waited."""
        entitled_s = run.entitled_s
        run.entitled_s = None
        if entitled_s is None:
            return
        wait = (self.now_s - entitled_s, entitled_s, run.line.job)
        if self.any_zone_out:
            self.stats.move_reclaim_waits.append(wait)
        else:
            self.stats.reclaim_waits.append(wait)

    def usable(self, worker: Worker) -> bool:
        """Return whether tasks can succeed on a worker."""
        return (
            worker.condition == WorkerCondition.HEALTHY
            and self.zones[worker.zone] == ZoneState.IN
        )

    def recount_capacity(self) -> None:
        """Recount the usable and the free accelerators."""
        self.free = Counter()
        self.capacity = 0
        for worker in self.workers.values():
            if self.usable(worker):
                self.capacity += worker.accelerators
                self.free[worker.zone] += worker.accelerators - len(worker.held)

    def fits_inventory(self, job_spec: JobSpec) -> bool:
        """Return whether the inventory could hold a job if it were empty."""
        shape = job_spec.shape
        member_capacity: Counter[str] = Counter()
        for worker in self.workers.values():
            tasks = worker.slots
            if shape.accelerators:
                tasks = min(tasks, worker.accelerators // shape.accelerators)
            match shape.level:
                case GangLevel.WORKER:
                    member_capacity[worker.worker] += tasks
                case GangLevel.RACK:
                    member_capacity[worker.rack] += tasks
                case GangLevel.ZONE:
                    member_capacity[worker.zone] += tasks
        return max(member_capacity.values(), default=0) >= shape.members

    # Results.

    def sample_state_size(self) -> None:
        """Sample the size of the state of the policy."""
        self.stats.peak_state_bytes = max(
            self.stats.peak_state_bytes, deep_size(self.policy)
        )

    def record_remaining_waits(self) -> None:
        """Record the waits that last until the end of the trace."""
        self.update_all_progress()
        for run in self.runs.values():
            if run.state == RunState.WAITING and run.entitled_s is not None:
                self.record_reclaim_wait(run)

    def counted_runs(self) -> list[Run]:
        """Return the jobs that can be answered.

        They are possible, do not fail by themselves and are never cancelled.
        """
        cancelled = {
            line.job
            for line in self.trace.lines
            if isinstance(line, CancelLine)
        }
        return [
            run
            for job, run in self.runs.items()
            if run.possible
            and job not in cancelled
            and run.line.fails == JobFailure.NONE
        ]

    def completion_s(self, run: Run) -> float:
        """Return the completion time; without an answer, the time to the end."""
        if run.outcome == Outcome.ANSWERED and run.ended_s is not None:
            return run.ended_s - run.line.at_s
        return self.header.end_s - run.line.at_s

    def bound_s(self, run: Run) -> float:
        """Return the completion time on an empty cluster, a lower bound."""
        return run.line.runtime_s + self.header.start_delay_s

    def urgent_waits(self) -> list[tuple[float, float, JobId]]:
        """Return the wait, the submission time and the id of each urgent job."""
        waits = []
        for run in self.counted_runs():
            if run.job_spec.urgent:
                started = run.started_s
                if started is None:
                    started = self.header.end_s
                waits.append((
                    started - run.line.at_s,
                    run.line.at_s,
                    run.line.job,
                ))
        return waits


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile; 0 without values."""
    if not values:
        return 0
    ranked = sorted(values)
    return ranked[max(0, math.ceil(share * len(ranked)) - 1)]
