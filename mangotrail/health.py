"""Detection and quarantine of bad workers.

A failure counts once per worker and job. Failures of jobs, or kinds of jobs,
that fail on several workers are not attributed to the workers.
"""

from mangotrail.estimates import JobKind
from mangotrail.ids import JobId, WorkerId

# A worker is bad once this many jobs failed on it. A single job may itself be
# at fault, and two failures may be a coincidence.
BAD_WORKER_JOBS = 3
# Jobs and kinds that fail on this many workers are bad themselves.
BAD_JOB_WORKERS = 2
BAD_KIND_WORKERS = 3
# Memory bounds; callers choose the names of kinds.
MAX_FAILURES = 16
MAX_KINDS = 10000
PROBE_INITIAL_DELAY_S = 300.0
PROBE_MAX_DELAY_S = 3600.0
# A worker is released without a probe if no suitable job was found this long
# after the probe was due; otherwise a gang that needs it might wait forever.
MAX_PROBE_WAIT_S = 300.0


class Probation:
    """State of a quarantined worker.

    :param due_s: time from which the next probe may start.
    """

    def __init__(self, due_s: float) -> None:
        self.due_s = due_s
        self.job: JobId | None = None


class Health:
    """Failures since the last success, and quarantined workers."""

    def __init__(self) -> None:
        self.failures_by_worker: dict[WorkerId, dict[JobId, JobKind]] = {}
        self.workers_by_job: dict[JobId, set[WorkerId]] = {}
        self.workers_by_kind: dict[JobKind, set[WorkerId]] = {}
        self.quarantined: dict[WorkerId, Probation] = {}
        # Delay before the next probe; reset when a job succeeds on the worker.
        self.probe_delays_s: dict[WorkerId, float] = {}

    def record_failure(
        self, worker: WorkerId, job: JobId, kind: JobKind
    ) -> None:
        """Record that a job failed on a worker."""
        failures = self.failures_by_worker.setdefault(worker, {})
        failures[job] = kind
        if len(failures) > MAX_FAILURES:
            del failures[next(iter(failures))]
        while len(self.workers_by_kind) >= MAX_KINDS:
            del self.workers_by_kind[next(iter(self.workers_by_kind))]
        self.workers_by_job.setdefault(job, set()).add(worker)
        self.workers_by_kind.setdefault(kind, set()).add(worker)

    def record_success(self, worker: WorkerId, kind: JobKind) -> None:
        """Record that a job ran to completion on a worker."""
        self.failures_by_worker.pop(worker, None)
        self.probe_delays_s.pop(worker, None)
        self.workers_by_kind.pop(kind, None)

    def forget_job(self, job: JobId) -> None:
        """Drop the failures of a job that ended."""
        self.workers_by_job.pop(job, None)

    def failure_count(self, worker: WorkerId) -> int:
        """Return how many jobs failed here that are not bad themselves."""
        return sum(
            len(self.workers_by_job.get(job, ())) < BAD_JOB_WORKERS
            and len(self.workers_by_kind.get(kind, ())) < BAD_KIND_WORKERS
            for job, kind in self.failures_by_worker.get(worker, {}).items()
        )

    def is_bad(self, worker: WorkerId) -> bool:
        """Return whether a worker should be quarantined."""
        known = worker in self.quarantined
        return not known and self.failure_count(worker) >= BAD_WORKER_JOBS

    def quarantine(self, worker: WorkerId, now_s: float) -> None:
        """Quarantine a worker until a probe succeeds."""
        self.quarantined[worker] = Probation(self._next_probe_s(worker, now_s))

    def _next_probe_s(self, worker: WorkerId, now_s: float) -> float:
        delay_s = self.probe_delays_s.get(worker, PROBE_INITIAL_DELAY_S)
        self.probe_delays_s[worker] = min(PROBE_MAX_DELAY_S, 2 * delay_s)
        return now_s + delay_s

    def due_probes(self, now_s: float) -> list[WorkerId]:
        """Return the workers on which a probe is due."""
        return [
            worker
            for worker, probation in self.quarantined.items()
            if probation.job is None and probation.due_s <= now_s
        ]

    def record_failed_probe(self, worker: WorkerId, now_s: float) -> None:
        """Record a failed probe and postpone the next one."""
        probation = self.quarantined[worker]
        probation.job = None
        probation.due_s = self._next_probe_s(worker, now_s)

    def is_probe_overdue(self, worker: WorkerId, now_s: float) -> bool:
        """Return whether no probe was found for too long."""
        return now_s >= self.quarantined[worker].due_s + MAX_PROBE_WAIT_S

    def release(self, worker: WorkerId) -> None:
        """End the quarantine; one more failed job quarantines it again."""
        self.quarantined.pop(worker, None)
        failures = self.failures_by_worker.get(worker, {})
        for job in list(failures)[BAD_WORKER_JOBS - 1 :]:
            del failures[job]
