"""Planning: which runs to start next and which to preempt for them.

Planning has no side effects outside the planner: it reads the replicated
state and the leader's view of the workers, and returns a plan. It is designed
for a mixed load: urgent gangs that take seconds and must start at once, and
gangs and wide steps that take several times as long and can wait.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from enum import Enum

from mangotrail._graphs import RunStart, StepSpec, TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.advice import Question
from mangotrail.graphs.capacity import (
    TaskPacker,
    WorkerCapacity,
    emptiest_workers,
)
from mangotrail.graphs.preemption import RunInfo, Victim, VictimSelector
from mangotrail.graphs.records import JobState
from mangotrail.graphs.standstill import StandstillDetector, is_idle
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.units import (
    URGENT_PRIORITY,
    SchedulingUnit,
    UnitKey,
    entitled_jobs,
    waiting_units,
)
from mangotrail.ids import JobId, LifeId, ServiceId

# Minimum time that a task waits for its preferred rack. After that it may be
# placed elsewhere if the workers are mostly idle and this is no worse than
# waiting on.
RACK_WAIT_MS = 2_000
# Workers count as mostly idle if at least this share of their accelerators is
# free. Waiting for a rack is then pointless.
IDLE_SHARE = 0.5

# Upper bound of the work lost to preemption for an urgent job that no guarantee
# covers, as a multiple of the job's own work. The lost work has to be repeated
# on the same workers, so a higher bound would reduce the total throughput.
MAX_PREEMPTION_RATIO = 3.0


class Claim(FrozenStruct, frozen=True, kw_only=True):
    """Capacity claimed for a unit whose preempted runs have not all ended.

    :param placements: index and worker life of each task.
    """

    unit: UnitKey
    placements: Sequence[tuple[int, LifeId]]


class WaitCause(Enum):
    """What waiting tasks lack.

    ``PREEMPTION``: runs are being preempted for them. ``RESERVATION``: capacity
    that becomes free is kept for them. ``RACK``: they would fit, but not on a
    preferred rack. ``ROOM``: free capacity.
    """

    PREEMPTION = 'preemption'
    RESERVATION = 'reservation'
    RACK = 'rack'
    ROOM = 'room'


class WaitReason(FrozenStruct, frozen=True, kw_only=True):
    """Why tasks of a unit do not start now.

    :param tasks: number of waiting tasks.
    :param entitled: whether a guarantee covers the unit.
    :param standing_ms: for how long the job has had nothing running beside
        ample room, in milliseconds.
    :param in_time: whether the job can still meet its latency objective.
    :param open_workers: number of workers that accept runs of the unit.
    :param free_accelerators: accelerators free on those workers.
    """

    unit: UnitKey
    cause: WaitCause
    tasks: int
    entitled: bool
    standing_ms: int
    in_time: bool
    open_workers: int
    free_accelerators: int


class Preemption(FrozenStruct, frozen=True, kw_only=True):
    """Runs that are stopped so that a unit can start.

    :param tasks: tasks whose runs are stopped; gangs are included as a whole.
    :param entitled: whether a guarantee covers the unit.
    :param cost: lost work in core-seconds.
    """

    unit: UnitKey
    tasks: Sequence[TaskKey]
    entitled: bool
    cost: float


class Plan(FrozenStruct, frozen=True, kw_only=True):
    """Result of one planning cycle.

    :param starts: runs to commit and order; gangs are included as a whole.
    :param preemptions: runs to stop in favour of other units.
    :param claims: claimed capacity, an input of the next planning cycle.
    :param standing: when each unit that stands still began to, an input of the
        next planning cycle.
    :param waits: units of which at least one task does not start.
    :param questions: questions to ask the adviser.
    """

    starts: Sequence[RunStart]
    preemptions: Sequence[Preemption]
    claims: Mapping[UnitKey, Claim]
    standing: Mapping[UnitKey, int]
    waits: Sequence[WaitReason] = ()
    questions: Sequence[Question] = ()

    @property
    def stops(self) -> list[TaskKey]:
        """Return all tasks whose runs are to be stopped."""
        return [
            task for preemption in self.preemptions for task in preemption.tasks
        ]


class Planner:
    """Makes one plan.

    :param workers: capacity of each worker, not yet reduced by its runs.
    :param runs: start times and stop requests of the current runs.
    :param claims: claims of the previous plan.
    :param standing: units that stood still in the previous plan.
    :param is_quiet: whether no job has come in for a while.
    :param spread_factor: slowdown of a gang across racks and of tasks far from
        their data.
    :param approved: workers with a valid ticket, for each unit whose queue has
        an adviser.
    """

    def __init__(
        self,
        *,
        state: GraphState,
        workers: Mapping[LifeId, WorkerCapacity],
        runs: Mapping[TaskKey, RunInfo],
        claims: Mapping[UnitKey, Claim],
        standing: Mapping[UnitKey, int],
        is_quiet: bool,
        now_ms: int,
        spread_factor: float,
        approved: Mapping[UnitKey, AbstractSet[LifeId]],
    ) -> None:
        self.approved = approved
        self.spread_factor = spread_factor
        self.state = state
        self.workers = workers
        self.runs = runs
        self.now_ms = now_ms
        self.entitled = entitled_jobs(state)
        self.starts: list[RunStart] = []
        self.preemptions: list[Preemption] = []
        self.claims: dict[UnitKey, Claim] = {}
        self.reserved: UnitKey | None = None
        # Open workers by service and label; they stay the same during a plan.
        self.suitable: dict[tuple[ServiceId, str], list[WorkerCapacity]] = {}
        self.tasks_by_worker: dict[UnitKey, dict[LifeId, int]] = defaultdict(
            dict
        )
        self.allocate_runs()
        self.standstill = StandstillDetector(
            running=state.runs,
            is_quiet=is_quiet,
            since=standing,
            now_ms=now_ms,
        )
        self.units = self.ordered_units()
        self.keep_claims(claims)

    def plan(self) -> Plan:
        """Return the runs to start and to stop."""
        for unit in self.units:
            claim = self.claims.get(unit.key)
            if claim is not None:
                self.start_claimed(unit, claim)
            elif unit.step.spec.gang:
                self.place_gang(unit)
            else:
                self.place_tasks(unit)
        return Plan(
            starts=self.starts,
            preemptions=self.preemptions,
            claims=self.claims,
            standing=self.standstill.standing,
            waits=self.wait_reasons(),
            questions=self.questions(),
        )

    def wait_reasons(self) -> list[WaitReason]:
        """Return a reason for each unit of which some tasks do not start."""
        started: dict[UnitKey, int] = defaultdict(int)
        for start in self.starts:
            task = start.task
            started[task.job, task.occurrence, task.step] += 1
        return [
            self.wait_reason(unit, len(unit.indices) - started[unit.key])
            for unit in self.units
            if len(unit.indices) > started[unit.key]
        ]

    def wait_reason(self, unit: SchedulingUnit, tasks: int) -> WaitReason:
        """Return why some tasks of a unit wait."""
        capacities = self.candidates(unit)
        since_ms = self.standstill.standing.get(unit.key, self.now_ms)
        return WaitReason(
            unit=unit.key,
            cause=self.wait_cause(unit, capacities),
            tasks=tasks,
            entitled=unit.entitled,
            standing_ms=self.now_ms - since_ms,
            in_time=unit.can_meet_objective(self.now_ms),
            open_workers=len(capacities),
            free_accelerators=sum(
                max(capacity.accelerators, 0) for capacity in capacities
            ),
        )

    def wait_cause(
        self, unit: SchedulingUnit, capacities: Sequence[WorkerCapacity]
    ) -> WaitCause:
        """Return what the waiting tasks of a unit lack."""
        if unit.key in self.claims:
            return WaitCause.PREEMPTION
        if unit.key == self.reserved:
            return WaitCause.RESERVATION
        spec = unit.step.spec
        packer = TaskPacker(spec, capacities, self.tasks_by_worker[unit.key])
        if packer.total >= (spec.count if spec.gang else 1):
            return WaitCause.RACK
        return WaitCause.ROOM

    def allocate_runs(self) -> None:
        """Allocate the resources of all current runs."""
        for task, start in self.state.runs.items():
            capacity = self.workers.get(start.life)
            step = self.state.jobs[task.job].step(task)
            if capacity is not None and step is not None:
                capacity.allocate(step.spec)
            key = (task.job, task.occurrence, task.step)
            task_counts = self.tasks_by_worker[key]
            task_counts[start.life] = task_counts.get(start.life, 0) + 1

    def ordered_units(self) -> list[SchedulingUnit]:
        """Return the waiting units by descending priority."""
        units = waiting_units(self.state)
        for unit in units:
            unit.entitled = unit.job.graph.job in self.entitled
            unit.waited_ms = self.now_ms - unit.job.accepted_ms
        self.find_overdue(units)
        units.sort(
            key=lambda unit: (
                not unit.entitled,
                not unit.is_overdue,
                unit.job.queue.priority,
                unit.objective_ms(),
                unit.key,
            )
        )
        return units

    def find_overdue(self, units: Sequence[SchedulingUnit]) -> None:
        """Mark the units that have stood still for too long."""
        services = frozenset(unit.job.queue.service for unit in units)
        idle = {
            service: is_idle(
                capacity
                for capacity in self.workers.values()
                if capacity.is_open and capacity.worker.service == service
            )
            for service in services
        }
        for unit in units:
            self.standstill.observe(
                unit,
                is_idle=idle[unit.job.queue.service],
                workers=self.candidates(unit),
                tasks_by_worker=self.tasks_by_worker[unit.key],
            )
            unit.is_overdue = self.standstill.is_overdue(unit)

    def keep_claims(self, claims: Mapping[UnitKey, Claim]) -> None:
        """Keep the claims whose workers all still accept runs of the unit."""
        units = {unit.key: unit for unit in self.units}
        for key, claim in claims.items():
            unit = units.get(key)
            if unit is None:
                continue
            suitable = {
                capacity.worker.life for capacity in self.suitable_workers(unit)
            }
            if suitable.issuperset(life for _, life in claim.placements):
                self.claims[key] = claim
                for _, life in claim.placements:
                    self.workers[life].allocate(unit.step.spec)

    def start_claimed(self, unit: SchedulingUnit, claim: Claim) -> None:
        """Start a claimed unit once its capacity is free on every worker."""
        used = [self.workers[life] for _, life in claim.placements]
        # The claim is allocated already, so a negative value means that a
        # preempted run still holds resources.
        if all(min(capacity.free_resources()) >= 0 for capacity in used):
            del self.claims[unit.key]
            for index, life in claim.placements:
                self.starts.append(unit.run_start(index, life))

    def start(
        self, unit: SchedulingUnit, index: int, capacity: WorkerCapacity
    ) -> None:
        """Start a task and allocate its resources."""
        capacity.allocate(unit.step.spec)
        task_counts = self.tasks_by_worker[unit.key]
        task_counts[capacity.worker.life] = (
            task_counts.get(capacity.worker.life, 0) + 1
        )
        self.starts.append(unit.run_start(index, capacity.worker.life))

    def candidates(self, unit: SchedulingUnit) -> list[WorkerCapacity]:
        """Return the open workers that may run tasks of a unit.

        If the queue has an adviser, only approved workers are included.
        """
        suitable = self.suitable_workers(unit)
        if unit.job.queue.advice is None:
            return suitable
        approved = self.approved.get(unit.key, frozenset())
        return [
            capacity
            for capacity in suitable
            if capacity.worker.life in approved
        ]

    def suitable_workers(self, unit: SchedulingUnit) -> list[WorkerCapacity]:
        """Return the open workers that match service and label of a unit."""
        key = (unit.job.queue.service, unit.step.spec.label)
        if key not in self.suitable:
            self.suitable[key] = [
                capacity
                for capacity in self.workers.values()
                if capacity.is_open
                and capacity.worker.service == unit.job.queue.service
                and capacity.has_label(unit.step.spec)
            ]
        return self.suitable[key]

    def questions(self) -> list[Question]:
        """Return the questions to the adviser by descending priority."""
        started = {
            (start.task.job, start.task.occurrence, start.task.step)
            for start in self.starts
        }
        return [
            Question(
                unit=unit.key,
                advice=unit.job.queue.advice,
                workers=[
                    (capacity.worker.life, capacity.worker.worker)
                    for capacity in self.workers_by_preference(unit)
                ],
            )
            for unit in self.units
            if unit.job.queue.advice is not None
            and not (unit.step.spec.gang and unit.key in started)
        ]

    def workers_by_preference(
        self, unit: SchedulingUnit
    ) -> list[WorkerCapacity]:
        """Return the suitable workers, near the data and emptiest first.

        The workers of a rack are adjacent if the step needs a single rack, so
        that one question to the adviser covers a whole rack.
        """
        spec = unit.step.spec
        return sorted(
            self.suitable_workers(unit),
            key=lambda capacity: (
                bool(spec.data_rack) and capacity.worker.rack != spec.data_rack,
                capacity.worker.rack if spec.same_rack else '',
                -capacity.fitting_tasks(spec),
                capacity.worker.life,
            ),
        )

    def is_mostly_idle(self, capacities: Iterable[WorkerCapacity]) -> bool:
        """Whether the share of free accelerators is at least IDLE_SHARE."""
        free = 0
        total = 0
        for capacity in capacities:
            free += max(capacity.accelerators, 0)
            total += capacity.worker.capacity.accelerators
        return free >= total * IDLE_SHARE

    def rack_groups(self, unit: SchedulingUnit) -> list[list[WorkerCapacity]]:
        """Return the sets of workers to try, in order of preference."""
        spec = unit.step.spec
        capacities = self.candidates(unit)
        racks: dict[str, list[WorkerCapacity]] = defaultdict(list)
        for capacity in capacities:
            racks[capacity.worker.rack].append(capacity)
        if spec.data_rack in racks and spec.data_rack:
            near = [racks[spec.data_rack]]
        elif spec.same_rack:
            near = sorted(
                racks.values(),
                key=lambda rack: sum(
                    capacity.accelerators for capacity in rack
                ),
            )
        else:
            return [capacities]
        possible = any(self.fits_when_vacated(spec, rack) for rack in near)
        if (
            not possible
            or unit.is_overdue
            or self.should_leave_rack(unit, capacities)
        ):
            return [*near, capacities]
        return near

    def should_leave_rack(
        self, unit: SchedulingUnit, capacities: Sequence[WorkerCapacity]
    ) -> bool:
        """Whether to place a unit across racks instead of waiting for one.

        Across racks it takes ``spread_factor`` times as long. That pays off on
        mostly idle workers if the unit still meets its objective, or if it has
        waited for at least the extra time.
        """
        if unit.waited_ms <= RACK_WAIT_MS or not self.is_mostly_idle(
            capacities
        ):
            return False
        here_ms = unit.step.spec.estimated_ms
        elsewhere_ms = self.spread_factor * here_ms
        return (
            self.now_ms + elsewhere_ms <= unit.objective_ms()
            or unit.waited_ms >= elsewhere_ms - here_ms
        )

    def fits_when_vacated(
        self, spec: StepSpec, capacities: Iterable[WorkerCapacity]
    ) -> bool:
        """Whether a whole gang, or a single task, fits once runs have ended.

        Lasting tasks do not end, so that it would wait for them in vain.
        """
        total = 0
        for capacity in capacities:
            count = capacity.vacated_tasks(spec)
            limit = spec.per_worker_limit
            total += min(count, limit) if limit else count
        return total >= (spec.count if spec.gang else 1)

    def place_gang(self, unit: SchedulingUnit) -> None:
        """Start a whole gang, else preempt runs or reserve capacity for it."""
        tasks_by_worker = self.tasks_by_worker[unit.key]
        for capacities in self.rack_groups(unit):
            packer = TaskPacker(unit.step.spec, capacities, tasks_by_worker)
            chosen = packer.pack(len(unit.indices))
            if chosen:
                for index, capacity in zip(unit.indices, chosen, strict=True):
                    self.start(unit, index, capacity)
                return
        if unit.is_urgent:
            self.preempt(unit, unit.indices)
        elif self.reserved is None and unit.can_meet_objective(self.now_ms):
            self.reserve(unit)

    def reserve(self, unit: SchedulingUnit) -> None:
        """Reserve capacity for a gang until enough runs have ended.

        Without a reservation, smaller units of lower priority would take all
        capacity that becomes free and starve the gang. Only the gang of the
        highest priority gets one, which limits the idle capacity.
        """
        spec = unit.step.spec
        for capacities in self.rack_groups(unit):
            chosen = emptiest_workers(spec, capacities, len(unit.indices))
            if chosen:
                for capacity in chosen:
                    capacity.allocate(spec)
                self.reserved = unit.key
                return

    def place_tasks(self, unit: SchedulingUnit) -> None:
        """Start as many tasks as fit; preempt runs for the rest if urgent."""
        waiting = list(unit.indices)
        tasks_by_worker = self.tasks_by_worker[unit.key]
        for capacities in self.rack_groups(unit):
            if not waiting:
                return
            packer = TaskPacker(unit.step.spec, capacities, tasks_by_worker)
            for capacity in packer.pack(min(packer.total, len(waiting))):
                self.start(unit, waiting.pop(0), capacity)
        if waiting and unit.is_urgent:
            self.preempt(unit, waiting)

    def preempt(self, unit: SchedulingUnit, indices: Sequence[int]) -> None:
        """Stop the runs whose loss costs least and claim their capacity.

        :param indices: indices of the tasks that do not fit.
        """
        if not unit.entitled and not unit.can_meet_objective(self.now_ms):
            # The job would miss its objective anyway, so preemption would only
            # waste work.
            return
        selector = VictimSelector(
            step=unit.step.spec,
            workers=self.workers,
            victims=self.victims(unit),
            tasks_by_worker=self.tasks_by_worker[unit.key],
        )
        found = [
            selection
            for capacities in self.rack_groups(unit)
            if (selection := selector.select(capacities, len(indices)))
            is not None
        ]
        if not found:
            return
        cost, victims, chosen = min(found, key=lambda selection: selection[0])
        if (
            not unit.entitled
            and cost > MAX_PREEMPTION_RATIO * unit.core_seconds()
        ):
            return
        self.preemptions.append(
            Preemption(
                unit=unit.key,
                tasks=[task for victim in victims for task in victim.tasks],
                entitled=unit.entitled,
                cost=cost,
            )
        )
        placements = [
            (index, capacity.worker.life)
            for index, capacity in zip(indices, chosen, strict=True)
        ]
        self.claims[unit.key] = Claim(unit=unit.key, placements=placements)
        for capacity in chosen:
            capacity.allocate(unit.step.spec)

    def victims(self, unit: SchedulingUnit) -> list[Victim]:
        """Return the runs that may be preempted for a unit."""
        groups: dict[tuple[JobId, int, int, int], list[TaskKey]] = {}
        for task in self.state.runs:
            job = self.state.jobs[task.job]
            step = job.step(task)
            if step is None or not self.may_preempt(unit, job, step.spec):
                continue
            single = 0 if step.spec.gang else task.index + 1
            group = (task.job, task.occurrence, task.step, single)
            groups.setdefault(group, []).append(task)
        return [
            Victim(self.state, self.runs, tasks, self.now_ms)
            for tasks in groups.values()
            if not any(
                self.runs.get(task, RunInfo()).stopping for task in tasks
            )
        ]

    def may_preempt(
        self, unit: SchedulingUnit, job: JobState, spec: StepSpec
    ) -> bool:
        """Whether runs of a step may be preempted for a unit."""
        if job.graph.job in self.entitled:
            return False
        if spec.lasting:
            # Whoever set a limit for it relies on its tasks staying up.
            return unit.entitled and not spec.max_unavailable
        if job.queue.priority > unit.job.queue.priority:
            return True
        return unit.entitled and job.queue.priority == URGENT_PRIORITY
