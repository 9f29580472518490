"""Which runs start next and which are stopped to make room.

Everything here is pure: it reads the replicated state and what the leader
knows about workers, and returns a plan. It answers this load: urgent gangs
that take seconds and must start at once, beside gangs and wide steps that
take several times as long and can wait.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet

from mangotrail._graphs import RunStart, StepSpec, TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.advice import Question
from mangotrail.graphs.capacity import (
    TaskPacker,
    WorkerCapacity,
    emptiest_workers,
    tasks_per_empty_worker,
)
from mangotrail.graphs.preemption import RunInfo, Victim, VictimSelector
from mangotrail.graphs.records import JobState
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.units import (
    URGENT_PRIORITY,
    SchedulingUnit,
    UnitKey,
    entitled_jobs,
    waiting_units,
)
from mangotrail.ids import JobId, LifeId

# A task waits at least this long for its rack. Later it takes another one, if
# the workers are mostly idle and that is not worse than to go on waiting.
RACK_WAIT_MS = 2_000
# Share of accelerators in use under which waiting for a rack is pointless.
IDLE_SHARE = 0.5

# An urgent job beyond its account's guarantee may cost others this many times
# its own work. More would serve nobody: the same cores do the work again.
MAX_PREEMPTION_RATIO = 3.0


class Claim(FrozenStruct, frozen=True, kw_only=True):
    """Capacity kept for a unit until the runs in its way have ended."""

    unit: UnitKey
    placements: Sequence[tuple[int, LifeId]]


class WaitReason(FrozenStruct, frozen=True, kw_only=True):
    """Why tasks of a unit do not start now.

    :param tasks: tasks that wait.
    :param open_workers: workers of the service that take runs.
    :param free_accelerators: accelerators free on them.
    :param claimed: whether runs are being stopped to make room for the unit.
    :param reserved: whether what becomes free is kept for the unit.
    :param in_time: whether the job can still meet its objective.
    """

    unit: UnitKey
    tasks: int
    entitled: bool
    claimed: bool
    reserved: bool
    in_time: bool
    open_workers: int
    free_accelerators: int


class Preemption(FrozenStruct, frozen=True, kw_only=True):
    """Runs that are stopped to make room for a unit.

    :param tasks: tasks whose runs are stopped, gangs whole.
    :param entitled: whether a guarantee covers the unit.
    :param cost: core-seconds of work that is thrown away.
    """

    unit: UnitKey
    tasks: Sequence[TaskKey]
    entitled: bool
    cost: float


class Plan(FrozenStruct, frozen=True, kw_only=True):
    """What to do next.

    :param starts: runs to number and order, gangs whole.
    :param preemptions: runs to stop because others go first.
    :param claims: capacity kept, to be given to the next planning.
    :param waits: units that do not start whole.
    :param questions: what advisers should decide.
    """

    starts: Sequence[RunStart]
    preemptions: Sequence[Preemption]
    claims: Mapping[UnitKey, Claim]
    waits: Sequence[WaitReason] = ()
    questions: Sequence[Question] = ()

    @property
    def stops(self) -> list[TaskKey]:
        """Return all tasks whose runs are stopped."""
        return [task for held in self.preemptions for task in held.tasks]


class Planner:
    """Makes one plan.

    :param workers: open workers with their whole capacity free.
    :param runs: what is known of the runs that occupy workers.
    :param claims: claims of the plan before.
    :param spread_factor: how many times as long work takes off its rack.
    :param approved: workers that may run a step whose queue has an adviser.
    """

    def __init__(
        self,
        *,
        state: GraphState,
        workers: Mapping[LifeId, WorkerCapacity],
        runs: Mapping[TaskKey, RunInfo],
        claims: Mapping[UnitKey, Claim],
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
        self.tasks_by_worker: dict[UnitKey, dict[LifeId, int]] = defaultdict(
            dict
        )
        self.allocate_runs()
        self.units = self.ordered_units()
        self.keep_claims(claims)

    def plan(self) -> Plan:
        """Return what to start and what to stop."""
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
            waits=self.wait_reasons(),
            questions=self.questions(),
        )

    def wait_reasons(self) -> list[WaitReason]:
        """Return the units that do not start whole, with what they lack."""
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
        """Return what a unit lacks."""
        slots = self.candidates(unit)
        return WaitReason(
            unit=unit.key,
            tasks=tasks,
            entitled=unit.entitled,
            claimed=unit.key in self.claims,
            reserved=unit.key == self.reserved,
            in_time=unit.can_meet_objective(self.now_ms),
            open_workers=len(slots),
            free_accelerators=sum(max(slot.accelerators, 0) for slot in slots),
        )

    def allocate_runs(self) -> None:
        """Take the capacity of all runs from their workers."""
        for task, start in self.state.runs.items():
            slot = self.workers.get(start.life)
            step = self.state.jobs[task.job].step(task)
            if slot is not None and step is not None:
                slot.allocate(step.spec)
            key = (task.job, task.occurrence, task.step)
            held = self.tasks_by_worker[key]
            held[start.life] = held.get(start.life, 0) + 1

    def ordered_units(self) -> list[SchedulingUnit]:
        """Return the waiting units, the most pressing first."""
        units = waiting_units(self.state)
        for unit in units:
            unit.entitled = unit.job.graph.job in self.entitled
            unit.waited_ms = self.now_ms - unit.job.accepted_ms
        units.sort(
            key=lambda unit: (
                not unit.entitled,
                unit.job.queue.priority,
                unit.objective_ms(),
                unit.key,
            )
        )
        return units

    def keep_claims(self, claims: Mapping[UnitKey, Claim]) -> None:
        """Keep the claims that can still come true."""
        units = {unit.key: unit for unit in self.units}
        for key, claim in claims.items():
            unit = units.get(key)
            usable = all(
                life in self.workers and self.workers[life].is_open
                for _, life in claim.placements
            )
            if unit is not None and usable:
                self.claims[key] = claim
                for _, life in claim.placements:
                    self.workers[life].allocate(unit.step.spec)

    def start_claimed(self, unit: SchedulingUnit, claim: Claim) -> None:
        """Start a unit whose claim has become free."""
        used = [self.workers[life] for _, life in claim.placements]
        # The claim itself is taken already, so nothing may be overdrawn.
        if all(min(slot.free_resources()) >= 0 for slot in used):
            del self.claims[unit.key]
            for index, life in claim.placements:
                self.starts.append(unit.run_start(index, life))

    def start(
        self, unit: SchedulingUnit, index: int, slot: WorkerCapacity
    ) -> None:
        """Start a task and take its capacity."""
        slot.allocate(unit.step.spec)
        held = self.tasks_by_worker[unit.key]
        held[slot.worker.life] = held.get(slot.worker.life, 0) + 1
        self.starts.append(unit.run_start(index, slot.worker.life))

    def candidates(self, unit: SchedulingUnit) -> list[WorkerCapacity]:
        """Return the open workers that may run tasks of a unit."""
        suitable = self.suitable_workers(unit)
        if unit.job.queue.advice is None:
            return suitable
        approved = self.approved.get(unit.key, frozenset())
        return [slot for slot in suitable if slot.worker.life in approved]

    def suitable_workers(self, unit: SchedulingUnit) -> list[WorkerCapacity]:
        """Return the open workers of the service, whoever approves them."""
        return [
            slot
            for slot in self.workers.values()
            if slot.is_open
            and slot.worker.service == unit.job.queue.service
            and slot.has_label(unit.step.spec)
        ]

    def questions(self) -> list[Question]:
        """Return what to ask advisers, the most pressing step first."""
        started = {
            (start.task.job, start.task.occurrence, start.task.step)
            for start in self.starts
        }
        return [
            Question(
                unit=unit.key,
                advice=unit.job.queue.advice,
                workers=[
                    (slot.worker.life, slot.worker.worker)
                    for slot in self.workers_by_preference(unit)
                ],
            )
            for unit in self.units
            if unit.job.queue.advice is not None
            and not (unit.step.spec.gang and unit.key in started)
        ]

    def workers_by_preference(
        self, unit: SchedulingUnit
    ) -> list[WorkerCapacity]:
        """Return workers near the data first, then the emptiest.

        Those of one rack come together if a gang needs one, so that a
        question covers a whole rack.
        """
        spec = unit.step.spec
        return sorted(
            self.suitable_workers(unit),
            key=lambda slot: (
                bool(spec.data_rack) and slot.worker.rack != spec.data_rack,
                slot.worker.rack if spec.same_rack else '',
                -slot.fitting_tasks(spec),
                slot.worker.life,
            ),
        )

    def is_mostly_idle(self, slots: Iterable[WorkerCapacity]) -> bool:
        """Whether most accelerators of some workers are free."""
        free = 0
        whole = 0
        for slot in slots:
            free += max(slot.accelerators, 0)
            whole += slot.worker.capacity.accelerators
        return free >= whole * IDLE_SHARE

    def rack_groups(self, unit: SchedulingUnit) -> list[list[WorkerCapacity]]:
        """Return sets of workers to try, in the order of preference."""
        spec = unit.step.spec
        slots = self.candidates(unit)
        racks: dict[str, list[WorkerCapacity]] = defaultdict(list)
        for slot in slots:
            racks[slot.worker.rack].append(slot)
        if spec.data_rack in racks and spec.data_rack:
            near = [racks[spec.data_rack]]
        elif spec.same_rack:
            near = sorted(
                racks.values(),
                key=lambda held: sum(slot.accelerators for slot in held),
            )
        else:
            return [slots]
        possible = any(self.fits_when_empty(spec, held) for held in near)
        if not possible or self.should_leave_rack(unit, slots):
            return [*near, slots]
        return near

    def should_leave_rack(
        self, unit: SchedulingUnit, slots: Sequence[WorkerCapacity]
    ) -> bool:
        """Whether a unit does better on any workers than waiting for a rack.

        Elsewhere it takes several times as long. That is worth it if workers
        are idle and it still meets its objective, or if it has waited for as
        long as the work elsewhere takes more.
        """
        if unit.waited_ms <= RACK_WAIT_MS or not self.is_mostly_idle(slots):
            return False
        here_ms = unit.step.spec.estimated_ms
        elsewhere_ms = self.spread_factor * here_ms
        return (
            self.now_ms + elsewhere_ms <= unit.objective_ms()
            or unit.waited_ms >= elsewhere_ms - here_ms
        )

    def fits_when_empty(
        self, spec: StepSpec, slots: Iterable[WorkerCapacity]
    ) -> bool:
        """Whether workers hold a whole step, or a task of it, when empty."""
        total = 0
        for slot in slots:
            count = tasks_per_empty_worker(slot.worker.capacity, spec)
            limit = spec.per_worker_limit
            total += min(count, limit) if limit else count
        return total >= (spec.count if spec.gang else 1)

    def place_gang(self, unit: SchedulingUnit) -> None:
        """Start a gang where it fits whole, or make room for it."""
        present = self.tasks_by_worker[unit.key]
        for slots in self.rack_groups(unit):
            room = TaskPacker(unit.step.spec, slots, present)
            chosen = room.pack(len(unit.indices))
            if chosen:
                for index, slot in zip(unit.indices, chosen, strict=True):
                    self.start(unit, index, slot)
                return
        if unit.is_urgent:
            self.preempt(unit, unit.indices)
        elif self.reserved is None and unit.can_meet_objective(self.now_ms):
            self.reserve(unit)

    def reserve(self, unit: SchedulingUnit) -> None:
        """Keep capacity for a gang while the runs in its way end.

        Without it, smaller units that come later take each place that becomes
        free. Only the most pressing gang has a reservation, so that little
        capacity is idle.
        """
        spec = unit.step.spec
        for slots in self.rack_groups(unit):
            chosen = emptiest_workers(spec, slots, len(unit.indices))
            if chosen:
                for slot in chosen:
                    slot.allocate(spec)
                self.reserved = unit.key
                return

    def place_tasks(self, unit: SchedulingUnit) -> None:
        """Start as many tasks as fit."""
        waiting = list(unit.indices)
        present = self.tasks_by_worker[unit.key]
        for slots in self.rack_groups(unit):
            if not waiting:
                return
            room = TaskPacker(unit.step.spec, slots, present)
            for slot in room.pack(min(room.total, len(waiting))):
                self.start(unit, waiting.pop(0), slot)
        if waiting and unit.is_urgent:
            self.preempt(unit, waiting)

    def preempt(self, unit: SchedulingUnit, indices: Sequence[int]) -> None:
        """Stop the runs whose loss costs least and claim their capacity.

        :param indices: tasks that found no room.
        """
        if not unit.entitled and not unit.can_meet_objective(self.now_ms):
            # Work would be thrown away for a caller who is late all the same.
            return
        maker = VictimSelector(
            step=unit.step.spec,
            workers=self.workers,
            victims=self.victims(unit),
            tasks_by_worker=self.tasks_by_worker[unit.key],
        )
        found = [
            made
            for slots in self.rack_groups(unit)
            if (made := maker.select(slots, len(indices))) is not None
        ]
        if not found:
            return
        cost, victims, chosen = min(found, key=lambda made: made[0])
        if (
            not unit.entitled
            and cost > MAX_PREEMPTION_RATIO * unit.core_seconds()
        ):
            return
        self.preemptions.append(
            Preemption(
                unit=unit.key,
                tasks=[task for held in victims for task in held.tasks],
                entitled=unit.entitled,
                cost=cost,
            )
        )
        places = [
            (index, slot.worker.life)
            for index, slot in zip(indices, chosen, strict=True)
        ]
        self.claims[unit.key] = Claim(unit=unit.key, placements=places)
        for slot in chosen:
            slot.allocate(unit.step.spec)

    def victims(self, unit: SchedulingUnit) -> list[Victim]:
        """Return what may be stopped for a unit."""
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
        """Whether tasks of a step may be stopped for a unit."""
        if spec.lasting or job.graph.job in self.entitled:
            return False
        if job.queue.priority > unit.job.queue.priority:
            return True
        return unit.entitled and job.queue.priority == URGENT_PRIORITY
