"""Updates of worker health, and quarantine of bad workers."""

from mangotrail._core import Core
from mangotrail._jobs import Job
from mangotrail.events import Quarantine, Release
from mangotrail.ids import WorkerId
from mangotrail.topology import Worker


def record_failure(core: Core, job: Job, worker: WorkerId | None) -> None:
    """Record that an attempt failed without being stopped.

    :param worker: worker that caused the failure, if known.
    """
    _end_probe(core, job, succeeded=False)
    if worker is None or core.topology is None:
        return
    found = core.topology.workers.get(worker)
    if found is None:
        return
    job.excluded_workers |= {worker}
    core.health.record_failure(worker, job.job, job.kind)
    if core.health.is_bad(worker) and _may_quarantine(core):
        core.health.quarantine(worker, core.now_s)
        reason = f'{core.health.failure_count(worker)} jobs failed'
        core.decisions.append(Quarantine(worker=worker, reason=reason))
        _set_quarantined(core, found, quarantined=True)


def record_success(core: Core, job: Job) -> None:
    """Record that a job ran to completion."""
    _end_probe(core, job, succeeded=True)
    for allocation in job.allocations:
        core.health.record_success(allocation.worker.worker, job.kind)


def record_stop(core: Core, job: Job) -> None:
    """Record that an attempt was stopped.

    A stop proves nothing about the worker, so another probe may follow.
    """
    for probation in core.health.quarantined.values():
        if probation.job == job.job:
            probation.job = None


def _may_quarantine(core: Core) -> bool:
    assert core.bundle is not None and core.topology is not None
    percent = core.bundle.limits.max_quarantine_percent
    limit = len(core.topology.workers) * percent // 100
    return len(core.health.quarantined) < limit


def _end_probe(core: Core, job: Job, *, succeeded: bool) -> None:
    for worker, probation in list(core.health.quarantined.items()):
        if probation.job != job.job:
            continue
        if not succeeded:
            core.health.record_failed_probe(worker, core.now_s)
            continue
        release_worker(core, worker)


def release_worker(core: Core, worker: WorkerId) -> None:
    """Release a worker from quarantine."""
    core.health.release(worker)
    core.decisions.append(Release(worker=worker))
    found = core.topology and core.topology.workers.get(worker)
    if found:
        _set_quarantined(core, found, quarantined=False)


def _set_quarantined(core: Core, worker: Worker, *, quarantined: bool) -> None:
    worker.quarantined = quarantined
    worker.zone.capacity_version += 1
    core.capacity_version += 1
    core.plan_guarantees()


def drop_missing_workers(core: Core) -> None:
    """End the quarantine of workers that left the bundle."""
    assert core.topology is not None
    for worker in list(core.health.quarantined):
        if worker not in core.topology.workers:
            core.health.release(worker)
