"""Replicated state machine of jobs made of steps.

The state changes only by committed commands. Every member applies the same
commands in the same order, so this module must be deterministic: it reads no
clock, draws no random number and does not depend on the order of a set.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from mangotrail._graphs import (
    Applied,
    CancelGraph,
    Configuration,
    DepartedLife,
    DrainWorker,
    EndKind,
    EndRuns,
    GraphCommand,
    JobPhase,
    OpenOccurrence,
    QueueSpec,
    RegisterWorker,
    RemoveWorker,
    ResumeLease,
    RunEnd,
    RunStart,
    SetConfiguration,
    SetZone,
    StartRuns,
    StateImage,
    SubmitGraph,
    SuspendLease,
    TaskKey,
    Verdict,
)
from mangotrail.graphs.records import JobState, StepState, WorkerState
from mangotrail.ids import JobId, LifeId, WorkerId, ZoneId

# An ended job is kept for this long, so that callers can still read its phase.
RETENTION_MS = 600_000
# Longer than a heartbeat can be delayed by a partition.
DEPARTED_RETENTION_MS = 3_600_000
# Ends that no worker has listed, so that they do not show that the run began.
INFERRED_ENDS = frozenset((EndKind.NEVER_STARTED, EndKind.LOST))
DONE = Applied(verdict=Verdict.OK)

__all__ = ('GraphState', 'JobState', 'StepState', 'WorkerState')


class GraphState:
    """Configuration, availability zones, workers, jobs and runs."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.closed_zones: set[ZoneId] = set()
        self.workers: dict[LifeId, WorkerState] = {}
        self.jobs: dict[JobId, JobState] = {}
        # Runs that may be on their worker; at most one per task.
        self.runs: dict[TaskKey, RunStart] = {}
        # Time of removal of lives that must not be registered again.
        self.departed: dict[LifeId, int] = {}
        self.handlers: dict[type, Callable[[Any, int], Any]] = {
            SetConfiguration: self.set_configuration,
            SetZone: self.set_zone,
            SubmitGraph: self.submit,
            CancelGraph: self.cancel,
            RegisterWorker: self.register_worker,
            DrainWorker: self.drain_worker,
            RemoveWorker: self.remove_worker,
            SuspendLease: self.suspend_lease,
            ResumeLease: self.resume_lease,
            OpenOccurrence: self.open_occurrence,
            StartRuns: self.start_runs,
            EndRuns: self.end_runs,
        }

    @property
    def version(self) -> int:
        """Version of the configuration in force, -1 if there is none."""
        return self.configuration.version if self.configuration else -1

    def apply(self, command: GraphCommand) -> Any:
        """Apply a committed command and return its result.

        :return: :class:`Applied`, but the accepted starts for ``StartRuns``.
        """
        return self.handlers[type(command.body)](command.body, command.time_ms)

    def life_of(self, worker: WorkerId) -> LifeId | None:
        """Return the newest life of a worker, None if none is registered."""
        lives = [
            state.spec
            for state in self.workers.values()
            if state.spec.worker == worker
        ]
        newest = max(lives, key=lambda spec: spec.born_ms, default=None)
        return newest.life if newest else None

    def set_configuration(self, body: SetConfiguration, now_ms: int) -> Applied:
        """Put a configuration in force if it is newer."""
        if body.configuration.version > self.version:
            self.configuration = body.configuration
            self.update_queues(body.configuration.queues)
        return DONE

    def update_queues(self, queues: Sequence[QueueSpec]) -> None:
        """Let live jobs follow their queues, which may have other workers now.

        A queue is known by its id, or else by the address that callers use. The
        jobs of a queue that is not configured any more stay as they are.
        """
        by_id = {queue.queue: queue for queue in queues}
        by_address = {
            (queue.host, queue.path_prefix): queue for queue in queues
        }
        for job in self.jobs.values():
            known = job.queue
            queue = by_id.get(known.queue) or by_address.get((
                known.host,
                known.path_prefix,
            ))
            if queue is not None and job.is_live:
                job.follow_queue(queue)

    def set_zone(self, body: SetZone, now_ms: int) -> Applied:
        """Close or reopen an availability zone for starts."""
        if body.open:
            self.closed_zones.discard(body.zone)
        else:
            self.closed_zones.add(body.zone)
        return DONE

    def submit(self, body: SubmitGraph, now_ms: int) -> Applied:
        """Accept a job; a job with the same id is left unchanged."""
        graph = body.graph
        known_job = self.jobs.get(graph.job)
        if known_job is not None:
            if known_job.graph.account == graph.account:
                return DONE
            return Applied(verdict=Verdict.CONFLICT, reason='id is taken')
        queues = self.configuration.queues if self.configuration else ()
        queue = next((q for q in queues if q.queue == graph.queue), None)
        if queue is None:
            return Applied(verdict=Verdict.UNKNOWN_OBJECT, reason='no queue')
        self.prune(now_ms)
        self.jobs[graph.job] = JobState(
            graph=graph, queue=queue, accepted_ms=now_ms
        )
        return DONE

    def cancel(self, body: CancelGraph, now_ms: int) -> Applied:
        """Cancel a job that has not ended."""
        job = self.jobs.get(body.job)
        if job is None:
            return Applied(verdict=Verdict.UNKNOWN_OBJECT, reason='no job')
        if job.is_live:
            job.end(JobPhase.CANCELLED, now_ms)
        return DONE

    def register_worker(self, body: RegisterWorker, now_ms: int) -> Applied:
        """Register a life of a worker, unless it was removed before.

        A heartbeat that was delayed may arrive after its sender has left.
        """
        life = body.worker.life
        if life not in self.workers and life not in self.departed:
            self.workers[body.worker.life] = WorkerState(body.worker)
        return DONE

    def drain_worker(self, body: DrainWorker, now_ms: int) -> Applied:
        """Drain a worker: nothing more starts on it."""
        if body.life in self.workers:
            self.workers[body.life].draining = True
        return DONE

    def remove_worker(self, body: RemoveWorker, now_ms: int) -> Applied:
        """Remove a life that has ended; its runs are lost."""
        ends = [
            RunEnd(task=start.task, run=start.run, end=EndKind.LOST)
            for start in self.runs.values()
            if start.life == body.life
        ]
        self.end_runs(EndRuns(ends=ends), now_ms)
        self.workers.pop(body.life, None)
        self.departed = {
            life: removed_ms
            for life, removed_ms in self.departed.items()
            if now_ms - removed_ms < DEPARTED_RETENTION_MS
        }
        self.departed[body.life] = now_ms
        return DONE

    def suspend_lease(self, body: SuspendLease, now_ms: int) -> Applied:
        """Suspend the leases of a silent worker."""
        if body.life in self.workers:
            self.workers[body.life].lease_left_ms = body.left_ms
        return DONE

    def resume_lease(self, body: ResumeLease, now_ms: int) -> Applied:
        """Allow leases for a worker that answers again."""
        if body.life in self.workers:
            self.workers[body.life].lease_left_ms = None
        return DONE

    def open_occurrence(self, body: OpenOccurrence, now_ms: int) -> Applied:
        """Create the steps of an occurrence."""
        job = self.jobs.get(body.job)
        if job is not None:
            job.open_occurrence(body.occurrence)
        return DONE

    def start_runs(self, body: StartRuns, now_ms: int) -> tuple[RunStart, ...]:
        """Accept runs and record them; gangs are accepted all or nothing."""
        groups: dict[tuple[JobId, int, int, int], list[RunStart]] = {}
        for start in body.starts:
            task = start.task
            single = task.index + 1 if not self.is_gang_task(task) else 0
            group = (task.job, task.occurrence, task.step, single)
            groups.setdefault(group, []).append(start)
        accepted: list[RunStart] = []
        for starts in groups.values():
            if all(self.may_start(start) for start in starts):
                numbered = [
                    msgspec.structs.replace(start, numbered_ms=now_ms)
                    for start in starts
                ]
                accepted.extend(numbered)
                self.record_starts(numbered)
        return tuple(accepted)

    def is_gang_task(self, task: TaskKey) -> bool:
        """Whether a task belongs to a gang."""
        job = self.jobs.get(task.job)
        step = job.step(task) if job else None
        return step is not None and step.spec.gang

    def may_start(self, start: RunStart) -> bool:
        """Whether a run is still wanted and its task has no other run."""
        task = start.task
        job = self.jobs.get(task.job)
        step = job.step(task) if job else None
        worker = self.workers.get(start.life)
        if job is None or step is None or worker is None or not job.is_live:
            return False
        return (
            not worker.draining
            and not worker.is_suspended
            and worker.spec.zone not in self.closed_zones
            and task not in self.runs
            and not (step.done[task.index] and not step.spec.lasting)
            and start.run > step.last_runs[task.index]
            and job.is_ready(task.occurrence, task.step)
        )

    def record_starts(self, starts: Iterable[RunStart]) -> None:
        """Record runs, which may be ordered from now on."""
        for start in starts:
            job = self.jobs[start.task.job]
            steps = job.occurrences[start.task.occurrence]
            steps[start.task.step].last_runs[start.task.index] = start.run
            self.runs[start.task] = start

    def end_runs(self, body: EndRuns, now_ms: int) -> Applied:
        """Record ends of runs and jobs that have begun.

        Ends of outdated runs are ignored.
        """
        for name in body.begun:
            if name in self.jobs:
                self.jobs[name].begin()
        for end in body.ends:
            current = self.runs.get(end.task)
            if current is not None and current.run == end.run:
                del self.runs[end.task]
                self.apply_end(end, now_ms)
        return DONE

    def apply_end(self, end: RunEnd, now_ms: int) -> None:
        """Apply the end of a run to its task and job."""
        job = self.jobs.get(end.task.job)
        step = job.step(end.task) if job else None
        if job is None or step is None:
            return
        step.save_checkpoint(end.task.index, end.checkpoint)
        if end.end not in INFERRED_ENDS:
            job.begin()
        if step.spec.lasting:
            return
        if end.end is EndKind.DONE:
            step.mark_done(end.task.index)
            job.complete_if_done(now_ms)
        elif end.end is EndKind.FAILED:
            failures = step.count_failure(end.task.index, end.run)
            if failures >= job.queue.max_attempts and job.is_live:
                job.end(JobPhase.FAILED, now_ms)

    def prune(self, now_ms: int) -> None:
        """Remove jobs that ended long ago and have no runs."""
        busy = {task.job for task in self.runs}
        expired = [
            name
            for name, job in self.jobs.items()
            if job.ended_ms
            and now_ms - job.ended_ms > RETENTION_MS
            and name not in busy
        ]
        for name in expired:
            del self.jobs[name]

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        image = StateImage(
            configuration=self.configuration,
            closed_zones=tuple(sorted(self.closed_zones)),
            workers=tuple(worker.image() for worker in self.workers.values()),
            jobs=tuple(job.image() for job in self.jobs.values()),
            runs=tuple(self.runs.values()),
            departed=tuple(
                DepartedLife(life=life, removed_ms=removed_ms)
                for life, removed_ms in self.departed.items()
            ),
        )
        return msgspec.msgpack.encode(image)

    def restore(self, body: bytes) -> None:
        """Replace the whole state with a decoded snapshot.

        :raises msgspec.MsgspecError: if the bytes are not a valid snapshot.
        """
        image = msgspec.msgpack.decode(body, type=StateImage)
        self.configuration = image.configuration
        self.closed_zones = set(image.closed_zones)
        self.workers = {
            entry.worker.life: WorkerState(
                entry.worker,
                draining=entry.draining,
                lease_left_ms=entry.lease_left_ms,
            )
            for entry in image.workers
        }
        self.jobs = {
            entry.graph.job: JobState.from_image(entry) for entry in image.jobs
        }
        if image.configuration is not None:
            # Older snapshots hold the queues as they were at acceptance.
            self.update_queues(image.configuration.queues)
        self.runs = {start.task: start for start in image.runs}
        self.departed = {
            entry.life: entry.removed_ms for entry in image.departed
        }
