"""Quarantine of workers that fail runs, and detection of stalled runs.

A faulty worker may answer all calls and yet fail or stall every run. Since its
capacity is always free again, it would attract most new runs.
"""

from collections.abc import Iterable, Mapping

from mangotrail._graphs import TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.state import GraphState
from mangotrail.ids import JobId, LifeId

# Number of jobs that must fail on a worker, with no success in between, to
# quarantine it. One in twenty runs fails through a fault of its own, so a
# single failure is not significant.
QUARANTINE_FAILED_JOBS = 2
# Failures that are further apart are attributed to the jobs, not the worker.
FAILURE_WINDOW_S = 8.0
# Time for which a quarantined worker gets no runs; after that it is retried.
QUARANTINE_S = 5.0
# Largest share of workers in quarantine at a time. If more of them fail, the
# cause is not the workers.
MAX_QUARANTINED_SHARE = 0.3
# Usage is ignored for this long after a start: a run that resumes needs up to
# 0.6 s before it works, and usage is reported for the last 0.5 s.
WARM_UP_S = 1.2
# A run that uses no processor for this long is stalled, or waits for a stalled
# member of its gang.
STALL_TIMEOUT_S = 1.2


class Usage(FrozenStruct, frozen=True, kw_only=True):
    """Processor usage of a run.

    :param idle_s: time between the first and the last of the consecutive
        listings, up to the newest, that show the run idle; None if it is
        working.
    """

    life: LifeId
    idle_s: float | None


class QuarantineTracker:
    """Tracks failures of runs on workers and quarantines faulty workers."""

    def __init__(self) -> None:
        self.failures: dict[LifeId, dict[JobId, float]] = {}
        self.quarantined_until_s: dict[LifeId, float] = {}

    def record_success(self, life: LifeId) -> None:
        """Record that a task was done on a worker."""
        self.failures.pop(life, None)

    def record_failure(self, life: LifeId, job: JobId, now_s: float) -> bool:
        """Record a failed run; True if the worker is now quarantined."""
        failures = self.failures.setdefault(life, {})
        failures[job] = now_s
        recent = {
            job_id: failed_s
            for job_id, failed_s in failures.items()
            if now_s - failed_s < FAILURE_WINDOW_S
        }
        self.failures[life] = recent
        if len(recent) < QUARANTINE_FAILED_JOBS:
            return False
        self.quarantine(life, now_s)
        return True

    def quarantine(self, life: LifeId, now_s: float) -> None:
        """Quarantine a worker for QUARANTINE_S."""
        self.failures.pop(life, None)
        self.quarantined_until_s[life] = now_s + QUARANTINE_S

    def has_recent_failure(self, life: LifeId, now_s: float) -> bool:
        """Whether a run failed on a worker recently, with no success since.

        A single failure does not justify a quarantine, but on queues whose jobs
        rarely fail it points to the worker, and preferring another worker costs
        nothing.
        """
        return any(
            now_s - failed_s < FAILURE_WINDOW_S
            for failed_s in self.failures.get(life, {}).values()
        )

    def quarantined(self, lives: Iterable[LifeId], now_s: float) -> set[LifeId]:
        """Return the quarantined workers, at most MAX_QUARANTINED_SHARE of all.

        Those with the longest remaining quarantine are kept.
        """
        known = list(lives)
        quarantined = sorted(
            (
                life
                for life in known
                if self.quarantined_until_s.get(life, 0) > now_s
            ),
            key=lambda life: (-self.quarantined_until_s[life], life),
        )
        return set(quarantined[: int(len(known) * MAX_QUARANTINED_SHARE)])


def stall_groups(
    state: GraphState, tasks: Iterable[TaskKey]
) -> list[list[TaskKey]]:
    """Return the groups of tasks that stall together: single tasks and gangs.

    Tasks that may legitimately be idle are excluded, and so are gangs that are
    done or lack a member, whose remaining members are idle because they are
    ending.
    """
    groups: dict[tuple[JobId, int, int, int], list[TaskKey]] = {}
    for task in tasks:
        job = state.jobs.get(task.job)
        step = job.step(task) if job else None
        if step is None or step.spec.lasting or step.spec.fills:
            continue
        if not step.spec.need.cpu_millis:  # It may use none by right.
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
    """Return the stalled runs.

    :param groups: single tasks and whole gangs. A gang is stalled only if all
        its members are idle, because a member that has finished its part is
        idle until the others have finished.
    """
    stalled = []
    for group in groups:
        tasks = list(group)
        usages = [usage.get(task) for task in tasks]
        if all(
            task_usage is not None
            and task_usage.idle_s is not None
            and task_usage.idle_s >= STALL_TIMEOUT_S
            for task_usage in usages
        ):
            stalled.extend(tasks)
    return stalled


def stalled_workers(
    stalled: Iterable[TaskKey], usage: Mapping[TaskKey, Usage]
) -> set[LifeId]:
    """Return the workers of stalled runs that have no working run."""
    suspects = {usage[task].life for task in stalled}
    working = {
        run_usage.life
        for run_usage in usage.values()
        if run_usage.idle_s is None
    }
    return suspects - working
