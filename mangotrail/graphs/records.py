"""Mutable records of jobs, steps and workers in the replicated state."""

from collections.abc import Iterator, Sequence

import msgspec

from mangotrail._graphs import (
    GraphSpec,
    JobImage,
    JobPhase,
    OccurrenceImage,
    QueueSpec,
    StepImage,
    StepSpec,
    TaskKey,
    WorkerImage,
    WorkerSpec,
)

ENDED_PHASES = frozenset((
    JobPhase.COMPLETED,
    JobPhase.FAILED,
    JobPhase.CANCELLED,
))


class StepState:
    """Progress of the tasks of one step in one occurrence.

    :param image: progress from a snapshot; None for a new step.
    """

    __slots__ = (
        'checkpoints',
        'counted_run',
        'done',
        'failures',
        'last_runs',
        'spec',
        'remaining',
    )

    def __init__(self, spec: StepSpec, image: StepImage | None = None) -> None:
        self.spec = spec
        blank = [0] * spec.count
        self.done = list(image.done) if image else [False] * spec.count
        self.failures = list(image.failures) if image else list(blank)
        self.last_runs = list(image.last_runs) if image else list(blank)
        self.checkpoints = (
            list(image.checkpoints) if image else [''] * spec.count
        )
        self.counted_run = image.counted_run if image else 0
        self.remaining = self.done.count(False)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not self.remaining

    def mark_done(self, index: int) -> None:
        """Mark a task as done; one member is enough for its whole gang."""
        indices = range(self.spec.count) if self.spec.gang else (index,)
        for finished in indices:
            if not self.done[finished]:
                self.done[finished] = True
                self.remaining -= 1

    def count_failure(self, index: int, run: int) -> int:
        """Count a failed run and return the total.

        A run of a gang counts once, however many members report the failure.
        """
        if self.spec.gang:
            index = 0
            if run <= self.counted_run:
                return self.failures[0]
            self.counted_run = run
        self.failures[index] += 1
        return self.failures[index]

    def save_checkpoint(self, index: int, checkpoint: str) -> None:
        """Keep the newest checkpoint; a gang shares one among its members."""
        if checkpoint:
            self.checkpoints[0 if self.spec.gang else index] = checkpoint

    def checkpoint(self, index: int) -> str:
        """Return the checkpoint from which the next run resumes."""
        return self.checkpoints[0 if self.spec.gang else index]

    def next_run(self, index: int) -> int:
        """Return a run number above that of every earlier run.

        All members of a gang use the same number.
        """
        if self.spec.gang:
            return max(self.last_runs) + 1
        return self.last_runs[index] + 1

    def image(self) -> StepImage:
        """Return the progress for a snapshot."""
        return StepImage(
            done=tuple(self.done),
            failures=tuple(self.failures),
            last_runs=tuple(self.last_runs),
            checkpoints=tuple(self.checkpoints),
            counted_run=self.counted_run,
        )


class JobState:
    """One accepted job.

    :param graph: the job as submitted.
    :param queue: its queue as configured now, or when it was last configured.
    :param accepted_ms: time of acceptance in Unix milliseconds.
    """

    def __init__(
        self, *, graph: GraphSpec, queue: QueueSpec, accepted_ms: int
    ) -> None:
        self.graph = graph
        self.queue = queue
        self.accepted_ms = accepted_ms
        self.ended_ms = 0
        self.phase = JobPhase.QUEUED
        self.next_occurrence = 0
        # Whether a worker has begun a task of the job.
        self.has_begun = False
        self.occurrences: dict[int, Sequence[StepState]] = {}
        if not graph.occurrences:
            self.open_occurrence(0)

    @classmethod
    def from_image(cls, image: JobImage) -> 'JobState':
        """Restore a job from a snapshot."""
        job = cls(
            graph=image.graph,
            queue=image.queue,
            accepted_ms=image.accepted_ms,
        )
        job.ended_ms = image.ended_ms
        job.phase = image.phase
        job.next_occurrence = image.next_occurrence
        job.has_begun = image.started_runs > 0
        job.occurrences = {
            occurrence.number: [
                StepState(spec, step)
                for spec, step in zip(
                    image.graph.steps, occurrence.steps, strict=True
                )
            ]
            for occurrence in image.occurrences
        }
        return job

    def follow_queue(self, queue: QueueSpec) -> None:
        """Adopt the definition of its queue in a later configuration.

        The bound on attempts stays as accepted, so that a lower one does not
        fail the job for attempts that it was granted.
        """
        self.queue = msgspec.structs.replace(
            queue, max_attempts=self.queue.max_attempts
        )

    @property
    def is_live(self) -> bool:
        """Whether tasks of the job may still start."""
        return self.phase not in ENDED_PHASES

    @property
    def is_pending(self) -> bool:
        """Whether the job is waiting and no task has started.

        A start that is committed does not count: its worker may be lost.
        """
        return (
            self.is_live and not self.has_begun and not self.graph.occurrences
        )

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix milliseconds at which an occurrence is due."""
        return self.graph.first_due_ms + occurrence * self.graph.interval_ms

    def objective_start_ms(self, occurrence: int) -> int:
        """Return the Unix milliseconds from which the objective counts."""
        if self.graph.occurrences:
            return self.due_ms(occurrence)
        return self.accepted_ms

    def open_occurrence(self, number: int) -> bool:
        """Create the steps of the next occurrence; False if it is not next."""
        if number != self.next_occurrence or not self.is_live:
            return False
        self.next_occurrence += 1
        self.occurrences[number] = [
            StepState(spec) for spec in self.graph.steps
        ]
        return True

    def step(self, task: TaskKey) -> StepState | None:
        """Return the step of a task, None if it is not open."""
        steps = self.occurrences.get(task.occurrence)
        if steps is None or task.step >= len(steps):
            return None
        if task.index >= steps[task.step].spec.count:
            return None
        return steps[task.step]

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that a step depends on are done."""
        steps = self.occurrences[occurrence]
        return all(steps[earlier].is_done for earlier in steps[step].spec.after)

    def open_steps(self) -> Iterator[tuple[int, int, StepState]]:
        """Yield occurrence, number and state of each step that is not done."""
        for occurrence, steps in self.occurrences.items():
            for number, step in enumerate(steps):
                if not step.is_done:
                    yield occurrence, number, step

    def complete_if_done(self, now_ms: int) -> None:
        """Complete the job once all tasks of all occurrences are done."""
        steps_done = all(
            step.is_done
            for steps in self.occurrences.values()
            for step in steps
        )
        total = max(self.graph.occurrences, 1)
        if self.is_live and steps_done and self.next_occurrence >= total:
            self.end(JobPhase.COMPLETED, now_ms)

    def begin(self) -> None:
        """Record that a worker has begun a task."""
        self.has_begun = True
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def end(self, phase: JobPhase, now_ms: int) -> None:
        """End the job; no more tasks start."""
        self.phase = phase
        self.ended_ms = now_ms

    def image(self) -> JobImage:
        """Return the job for a snapshot."""
        return JobImage(
            graph=self.graph,
            queue=self.queue,
            accepted_ms=self.accepted_ms,
            ended_ms=self.ended_ms,
            phase=self.phase,
            next_occurrence=self.next_occurrence,
            started_runs=int(self.has_begun),
            occurrences=tuple(
                OccurrenceImage(
                    number=number,
                    steps=tuple(step.image() for step in steps),
                )
                for number, steps in self.occurrences.items()
            ),
        )


class WorkerState:
    """A registered life of a worker.

    :param lease_left_ms: longest time for which its leases may have gone on
        when they were suspended; None while they may be granted.
    """

    __slots__ = ('draining', 'lease_left_ms', 'spec')

    def __init__(
        self,
        spec: WorkerSpec,
        *,
        draining: bool = False,
        lease_left_ms: int | None = None,
    ) -> None:
        self.spec = spec
        self.draining = draining
        self.lease_left_ms = lease_left_ms

    @property
    def is_suspended(self) -> bool:
        """Whether no lease may be granted."""
        return self.lease_left_ms is not None

    def image(self) -> WorkerImage:
        """Return the worker for a snapshot."""
        return WorkerImage(
            worker=self.spec,
            draining=self.draining,
            lease_left_ms=self.lease_left_ms,
        )
