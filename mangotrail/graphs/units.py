"""Scheduling units: waiting tasks, and which of them a guarantee covers."""

from collections.abc import Sequence

from mangotrail._graphs import RunStart, StepSpec, TaskKey
from mangotrail.graphs.records import JobState, StepState
from mangotrail.graphs.state import GraphState
from mangotrail.ids import AccountId, JobId, LifeId

URGENT_PRIORITY = 0
# Weight of an accelerator, in cores, when work is compared.
CORES_PER_ACCELERATOR = 8

UnitKey = tuple[JobId, int, int]


class SchedulingUnit:
    """Waiting tasks of one step of one occurrence.

    :param indices: indices of the waiting tasks; for a gang, of all tasks.
    """

    __slots__ = (
        'entitled',
        'indices',
        'is_overdue',
        'job',
        'key',
        'occurrence',
        'step',
        'step_number',
        'waited_ms',
    )

    def __init__(
        self,
        *,
        job: JobState,
        occurrence: int,
        step_number: int,
        step: StepState,
        indices: Sequence[int],
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step_number = step_number
        self.step = step
        self.indices = indices
        self.key: UnitKey = (job.graph.job, occurrence, step_number)
        self.entitled = False
        self.is_overdue = False
        self.waited_ms = 0

    @property
    def is_urgent(self) -> bool:
        """Whether the job is in an urgent queue."""
        return self.job.queue.priority == URGENT_PRIORITY

    def objective_ms(self) -> float:
        """Return the latency objective as a time in Unix milliseconds."""
        begin_ms = self.job.objective_start_ms(self.occurrence)
        return begin_ms + objective_duration_ms(self.job)

    def can_meet_objective(self, now_ms: int) -> bool:
        """Whether a start now would meet the objective, as estimated."""
        return now_ms + self.step.spec.estimated_ms <= self.objective_ms()

    def core_seconds(self) -> float:
        """Return the estimated work of the waiting tasks in core-seconds."""
        spec = self.step.spec
        seconds = spec.estimated_ms / 1000
        return len(self.indices) * seconds * core_equivalents(spec)

    def run_start(self, index: int, life: LifeId) -> RunStart:
        """Return the start of a new run of a task on a worker."""
        task = TaskKey(
            job=self.job.graph.job,
            occurrence=self.occurrence,
            step=self.step_number,
            index=index,
        )
        return RunStart(task=task, run=self.step.next_run(index), life=life)


def core_equivalents(spec: StepSpec) -> float:
    """Return the resources of a task, converted to cores."""
    need = spec.need
    return need.cpu_millis / 1000 + CORES_PER_ACCELERATOR * need.accelerators


def objective_duration_ms(job: JobState) -> float:
    """Return the latency objective of one occurrence in milliseconds."""
    queue = job.queue
    return (
        queue.stretch * critical_path_ms(job.graph.steps)
        + queue.target_latency_ms
    )


def critical_path_ms(steps: Sequence[StepSpec]) -> int:
    """Return the estimated duration of the longest chain of steps."""
    ends: list[int] = []
    for step in steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + step.estimated_ms)
    return max(ends, default=0)


def entitled_jobs(state: GraphState) -> frozenset[JobId]:
    """Return the urgent jobs that are covered by their account's guarantee.

    Jobs are covered in the order of acceptance. Each counts with the
    accelerators of its widest step.
    """
    configuration = state.configuration
    left = {
        account.account: account.guaranteed_accelerators
        for account in (configuration.accounts if configuration else ())
    }
    chosen = []
    for job in sorted(
        state.jobs.values(), key=lambda job: (job.accepted_ms, job.graph.job)
    ):
        if job.is_live and job.queue.priority == URGENT_PRIORITY:
            need = max(
                step.count * step.need.accelerators for step in job.graph.steps
            )
            account: AccountId = job.graph.account
            if need <= left.get(account, 0):
                left[account] -= need
                chosen.append(job.graph.job)
    return frozenset(chosen)


def waiting_units(state: GraphState) -> list[SchedulingUnit]:
    """Return the units whose tasks may start, regardless of capacity."""
    units = []
    for job in state.jobs.values():
        if not job.is_live:
            continue
        for occurrence, number, step in job.open_steps():
            if not job.is_ready(occurrence, number):
                continue
            occupied = [
                TaskKey(
                    job=job.graph.job,
                    occurrence=occurrence,
                    step=number,
                    index=index,
                )
                in state.runs
                for index in range(step.spec.count)
            ]
            if step.spec.gang and any(occupied):
                continue
            indices = [
                index
                for index in range(step.spec.count)
                if not step.done[index] and not occupied[index]
            ]
            if indices:
                units.append(
                    SchedulingUnit(
                        job=job,
                        occurrence=occurrence,
                        step_number=number,
                        step=step,
                        indices=indices,
                    )
                )
    return units
