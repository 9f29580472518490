"""Which workers are suspect, judged by what happens to tasks on them.

Answers this load: a few workers fail whatever they start, or let it stand
still, while they answer all calls. A failing worker has free capacity all the
time and would attract most new work.
"""

from collections.abc import Iterable, Mapping

from mangotrail._graphs import TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.state import GraphState
from mangotrail.ids import JobId, LifeId

# Failures of this many jobs, with no success between, make a worker suspect.
# One in twenty runs fails by its own fault, so one failure proves nothing.
QUARANTINE_FAILED_JOBS = 2
# Failures that are further apart are taken for those of the jobs themselves.
FAILURE_WINDOW_S = 8.0
# A suspect worker gets nothing for this long, and is then tried again.
QUARANTINE_S = 5.0
# At most this share of the workers rests at a time: with more, the cause is
# elsewhere.
MAX_QUARANTINED_SHARE = 0.3
# A run that resumes needs up to 0.6 s before it works, and the use of
# processors is reported for the last half second.
WARM_UP_S = 1.2
# A run that uses no processor for this long stands still, or waits for a
# member of its gang that does.
STALL_TIMEOUT_S = 1.2


class Usage(FrozenStruct, frozen=True, kw_only=True):
    """Use of processors by a run.

    :param idle_s: time from the first to the newest listing that shows the
        run idle, with none between that does not; None if it works.
    """

    life: LifeId
    idle_s: float | None


class QuarantineTracker:
    """Evidence against workers."""

    def __init__(self) -> None:
        self.failures: dict[LifeId, dict[JobId, float]] = {}
        self.quarantined_until_s: dict[LifeId, float] = {}

    def record_success(self, life: LifeId) -> None:
        """Note that a task was done on a worker."""
        self.failures.pop(life, None)

    def record_failure(self, life: LifeId, job: JobId, now_s: float) -> bool:
        """Note that a task failed; True if the worker is now suspect."""
        held = self.failures.setdefault(life, {})
        held[job] = now_s
        recent = {
            name: at
            for name, at in held.items()
            if now_s - at < FAILURE_WINDOW_S
        }
        self.failures[life] = recent
        if len(recent) < QUARANTINE_FAILED_JOBS:
            return False
        self.quarantine(life, now_s)
        return True

    def quarantine(self, life: LifeId, now_s: float) -> None:
        """Give a worker nothing for a while."""
        self.failures.pop(life, None)
        self.quarantined_until_s[life] = now_s + QUARANTINE_S

    def has_recent_failure(self, life: LifeId, now_s: float) -> bool:
        """Whether something failed on a worker lately, with no success since.

        One failure proves nothing, but it is the job's own far less often on
        queues whose jobs rarely fail, and to go elsewhere costs nothing.
        """
        return any(
            now_s - at < FAILURE_WINDOW_S
            for at in self.failures.get(life, {}).values()
        )

    def quarantined(self, lives: Iterable[LifeId], now_s: float) -> set[LifeId]:
        """Return the workers that rest, those that rest longest first."""
        held = list(lives)
        resting = sorted(
            (
                life
                for life in held
                if self.quarantined_until_s.get(life, 0) > now_s
            ),
            key=lambda life: (-self.quarantined_until_s[life], life),
        )
        return set(resting[: int(len(held) * MAX_QUARANTINED_SHARE)])


def stall_groups(
    state: GraphState, tasks: Iterable[TaskKey]
) -> list[list[TaskKey]]:
    """Return the tasks that stand still together: single ones, whole gangs.

    Left out are gangs that are done or lack a member, whose other members
    are idle because they end, and tasks that may be idle at any time.
    """
    groups: dict[tuple[JobId, int, int, int], list[TaskKey]] = {}
    for task in tasks:
        job = state.jobs.get(task.job)
        step = job.step(task) if job else None
        if step is None or step.spec.lasting or step.spec.fills:
            continue
        single = 0 if step.spec.gang else task.index + 1
        group = groups.setdefault(
            (task.job, task.occurrence, task.step, single), []
        )
        if not step.done[task.index]:
            group.append(task)
    return [
        group
        for (job_id, occurrence, number, single), group in groups.items()
        if single
        or len(group)
        == state.jobs[job_id].occurrences[occurrence][number].spec.count
    ]


def stalled_runs(
    groups: Iterable[Iterable[TaskKey]],
    usage: Mapping[TaskKey, Usage],
) -> list[TaskKey]:
    """Return the runs that stand still.

    :param groups: single tasks, and gangs whole: a member that has finished
        its part is idle until the others have, so a gang stands still only
        if all its members are idle.
    """
    stalled = []
    for group in groups:
        tasks = list(group)
        held = [usage.get(task) for task in tasks]
        if all(
            use is not None
            and use.idle_s is not None
            and use.idle_s >= STALL_TIMEOUT_S
            for use in held
        ):
            stalled.extend(tasks)
    return stalled


def stalled_workers(
    stalled: Iterable[TaskKey], usage: Mapping[TaskKey, Usage]
) -> set[LifeId]:
    """Return the workers of stalled runs on which nothing works."""
    suspects = {usage[task].life for task in stalled}
    working = {use.life for use in usage.values() if use.idle_s is None}
    return suspects - working
