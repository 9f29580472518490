"""Metrics of jobs, sent by the leader."""

from collections import Counter
from collections.abc import Iterable

from mangotrail._messages import JobRecord, JobState
from mangotrail.events import EndpointStatus
from mangotrail.ids import AccountId, ServiceId
from mangotrail.metrics import (
    ENDPOINTS,
    JOBS_ACCEPTED,
    JOBS_FINISHED,
    JOBS_QUEUED,
    JOBS_REFUSED,
    JOBS_RUNNING,
    RECLAIMS,
    WAIT_TIME,
    Metrics,
)

# The counts walk over all unfinished jobs.
GAUGE_PERIOD_S = 5.0


class JobMetrics:
    """Counts what happens to jobs.

    :param metrics: client that reports.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self.metrics = metrics
        self.reported_s = float('-inf')
        self.accounts: set[AccountId] = set()
        self.services: set[ServiceId] = set()

    def record_change(
        self, record: JobRecord, before: JobRecord | None
    ) -> None:
        """Count a change of one job."""
        if before is None:
            self.metrics.count(JOBS_ACCEPTED, label=record.job_spec.account)
        elif record.state is before.state:
            return
        elif record.state is JobState.FINISHED and record.outcome is not None:
            self.metrics.count(JOBS_FINISHED, label=record.outcome.value)
        elif record.state is JobState.GRANTED and record.attempt == 1:
            waited_s = record.granted_s - record.accepted_s
            self.metrics.time(WAIT_TIME, max(waited_s, 0))

    def count_refused(self, code: str) -> None:
        """Count a submission that was refused as not run."""
        self.metrics.count(JOBS_REFUSED, label=code)

    def count_preempted(self, record: JobRecord) -> None:
        """Count a job that gives capacity back."""
        self.metrics.count(RECLAIMS, label=record.job_spec.account)

    def report_gauges(
        self,
        jobs: Iterable[JobRecord],
        endpoints: Iterable[EndpointStatus],
        now_s: float,
    ) -> None:
        """Report the current numbers, at most once a period."""
        if now_s - self.reported_s < GAUGE_PERIOD_S:
            return
        self.reported_s = now_s
        queued: Counter[AccountId] = Counter()
        running: Counter[AccountId] = Counter()
        for record in jobs:
            counts = queued if record.state is JobState.QUEUED else running
            counts[record.job_spec.account] += 1
        # A number that fell to zero is reported too.
        self.accounts |= queued.keys() | running.keys()
        for account in self.accounts:
            self.metrics.put(JOBS_QUEUED, queued[account], label=account)
            self.metrics.put(JOBS_RUNNING, running[account], label=account)
        services = Counter(status.service for status in endpoints)
        self.services |= services.keys()
        for service in self.services:
            self.metrics.put(ENDPOINTS, services[service], label=service)
