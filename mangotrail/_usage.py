"""Throttling of attempts that use more than their declared size."""

from mangotrail._core import Core
from mangotrail._jobs import Job
from mangotrail._messages import TaskUsage
from mangotrail.estimates import THROTTLE_RATIO
from mangotrail.events import Throttle, UsageReported
from mangotrail.topology import Worker

# Usage measured this soon after a throttle may not reflect it, because usage is
# reported with a lag.
THROTTLE_SETTLE_S = 10.0
MIN_THROTTLE_SHARE = 0.05


def on_usage(core: Core, event: UsageReported) -> None:
    """Record usage, and throttle attempts that exceed their size."""
    for usage in event.usage:
        job = core.jobs.get(usage.job)
        if job is None or not job.began or job.attempt != usage.attempt:
            # Usage is reported with a lag, so rows of earlier attempts are
            # normal.
            core.counters['late_usage'] += 1
            continue
        ratios = _usage_ratios(job, usage)
        core.estimates.record_usage_ratio(job.kind, max(ratios))
        # Throttling does not reduce memory usage.
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
    """Return core, accelerator and memory usage as multiples of the size."""
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
    """Return the fraction of a worker that a member may use."""
    if mask:
        return mask.bit_count() / worker.accelerators
    return 1 / worker.slots
