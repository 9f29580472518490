"""Compares reported usage with the size of jobs."""

from mangotrail._core import Core
from mangotrail._jobs import Job
from mangotrail._messages import TaskUsage
from mangotrail.estimates import THROTTLE_RATIO
from mangotrail.events import Throttle, UsageReported
from mangotrail.topology import Worker

# Usage is reported with a lag; what was measured this soon after a throttle
# may not show its effect.
THROTTLE_SETTLE_S = 10.0
MIN_THROTTLE_SHARE = 0.05


def on_usage(core: Core, event: UsageReported) -> None:
    """Learn sizes, and throttle attempts that use more than their size."""
    for usage in event.usage:
        job = core.jobs.get(usage.job)
        if job is None or not job.began or job.attempt != usage.attempt:
            # The lag makes reports of earlier attempts normal.
            core.counters['late_usage'] += 1
            continue
        ratios = _usage_ratios(job, usage)
        core.estimates.record_usage_ratio(job.kind, max(ratios))
        # A throttle does not lower the use of memory.
        compute = max(ratios[:2])
        if (
            compute > THROTTLE_RATIO
            and usage.measured_s >= job.throttle_settled_s
        ):
            _throttle(core, job, job.share / compute if job.share else 1)


def throttle_at_start(core: Core, job: Job) -> None:
    """Throttle an attempt whose kind is known to exceed its size."""
    ratio = core.estimates.max_usage_ratio(job.kind)
    if ratio is not None and ratio > THROTTLE_RATIO:
        _throttle(core, job, 1)


def _throttle(core: Core, job: Job, share: float) -> None:
    job.share = max(MIN_THROTTLE_SHARE, min(1, share))
    job.throttle_settled_s = core.now_s - job.started_s + THROTTLE_SETTLE_S
    core.decisions.append(
        Throttle(job=job.job, attempt=job.attempt, share=job.share)
    )


def _usage_ratios(job: Job, usage: TaskUsage) -> tuple[float, float, float]:
    """Return used cores, accelerators and memory as multiples of the size."""
    cores = 0.0
    memory_gb = 0.0
    for allocation in job.allocations:
        for mask in allocation.masks:
            fraction = _worker_fraction(allocation.worker, mask)
            cores += fraction * allocation.worker.cores
            memory_gb += fraction * allocation.worker.memory_gb
    return (
        usage.cores / cores if cores else 0,
        usage.accelerator_share,
        usage.memory_gb / memory_gb if memory_gb else 0,
    )


def _worker_fraction(worker: Worker, mask: int) -> float:
    """Return the part of a worker that belongs to a member."""
    if mask:
        return mask.bit_count() / worker.accelerators
    return 1 / worker.slots
