"""Tells bad workers from bad jobs, and quarantines bad workers.

A failure counts once for each pair of worker and job. Failures of a job, or
of a kind of jobs, that fails on several workers say nothing about a worker.
"""

from mangotrail.estimates import JobKind
from mangotrail.ids import JobId, WorkerId

# One job may fail for its own reasons and two by coincidence.
BAD_WORKER_JOBS = 3
BAD_JOB_WORKERS = 2
BAD_KIND_WORKERS = 3
# Bounds of memory; kinds are named by callers.
MAX_FAILURES = 16
MAX_KINDS = 10000
PROBE_FIRST_S = 300.0
PROBE_LAST_S = 3600.0
# Without a job that fits as a probe, a worker is released on parole this long
# after the probe was due; otherwise a gang that needs it might wait for ever.
PAROLE_S = 300.0


class Probation:
    """A worker in quarantine.

    :param due_s: time of the next probe.
    """

    def __init__(self, due_s: float) -> None:
        self.due_s = due_s
        self.job: JobId | None = None


class Health:
    """Failures since the last success, and workers in quarantine."""

    def __init__(self) -> None:
        self.by_worker: dict[WorkerId, dict[JobId, JobKind]] = {}
        self.by_job: dict[JobId, set[WorkerId]] = {}
        self.by_kind: dict[JobKind, set[WorkerId]] = {}
        self.quarantined: dict[WorkerId, Probation] = {}
        # Time until the next probe, for workers without success since.
        self.delays_s: dict[WorkerId, float] = {}

    def fail(self, worker: WorkerId, job: JobId, kind: JobKind) -> None:
        """Take in that a job failed on a worker."""
        failures = self.by_worker.setdefault(worker, {})
        failures[job] = kind
        if len(failures) > MAX_FAILURES:
            del failures[next(iter(failures))]
        while len(self.by_kind) >= MAX_KINDS:
            del self.by_kind[next(iter(self.by_kind))]
        self.by_job.setdefault(job, set()).add(worker)
        self.by_kind.setdefault(kind, set()).add(worker)

    def succeed(self, worker: WorkerId, kind: JobKind) -> None:
        """Take in that a job ran to its end on a worker."""
        self.by_worker.pop(worker, None)
        self.delays_s.pop(worker, None)
        self.by_kind.pop(kind, None)

    def forget_job(self, job: JobId) -> None:
        """Drop what is only needed while a job lives."""
        self.by_job.pop(job, None)

    def evidence(self, worker: WorkerId) -> int:
        """Return how many jobs that are not bad themselves failed here."""
        return sum(
            len(self.by_job.get(job, ())) < BAD_JOB_WORKERS
            and len(self.by_kind.get(kind, ())) < BAD_KIND_WORKERS
            for job, kind in self.by_worker.get(worker, {}).items()
        )

    def is_bad(self, worker: WorkerId) -> bool:
        """Tell whether a worker is to be quarantined."""
        known = worker in self.quarantined
        return not known and self.evidence(worker) >= BAD_WORKER_JOBS

    def quarantine(self, worker: WorkerId, now_s: float) -> None:
        """Give a worker no work until a probe succeeds."""
        self.quarantined[worker] = Probation(self._next_s(worker, now_s))

    def _next_s(self, worker: WorkerId, now_s: float) -> float:
        delay_s = self.delays_s.get(worker, PROBE_FIRST_S)
        self.delays_s[worker] = min(PROBE_LAST_S, 2 * delay_s)
        return now_s + delay_s

    def due_probes(self, now_s: float) -> list[WorkerId]:
        """Return the workers that a probe may be placed on."""
        return [
            worker
            for worker, probation in self.quarantined.items()
            if probation.job is None and probation.due_s <= now_s
        ]

    def fail_probe(self, worker: WorkerId, now_s: float) -> None:
        """Wait longer for the next probe."""
        probation = self.quarantined[worker]
        probation.job = None
        probation.due_s = self._next_s(worker, now_s)

    def may_parole(self, worker: WorkerId, now_s: float) -> bool:
        """Tell whether no probe was found for too long."""
        return now_s >= self.quarantined[worker].due_s + PAROLE_S

    def release(self, worker: WorkerId) -> None:
        """End the quarantine of a worker; the next failure renews it."""
        self.quarantined.pop(worker, None)
        failures = self.by_worker.get(worker, {})
        for job in list(failures)[BAD_WORKER_JOBS - 1 :]:
            del failures[job]
