"""Makes running jobs give way and keeps capacity for jobs that wait."""

from collections.abc import Iterable

from mangotrail._core import Core, PendingClaim, TimerKind
from mangotrail._jobs import Job, Phase
from mangotrail.events import Checkpoint
from mangotrail.ids import JobId
from mangotrail.placement import (
    CapacityScope,
    PlacementRequest,
    is_preemptible_for,
)
from mangotrail.topology import Allocation, Claim, Zone, count_uncovered

# The share of reclaim_s that is given to the checkpoint; the rest is for the
# stop itself.
CHECKPOINT_SHARE = 2 / 3
# Urgent work starts within 5 s, which must hold checkpoint, stop and begin.
URGENT_CHECKPOINT_S = 2.0


def victims_of(
    allocation: Allocation, request: PlacementRequest, scope: CapacityScope
) -> list[JobId]:
    """Return the jobs that hold what a gang needs on one worker."""
    worker = allocation.worker
    chosen = [
        job for job, hold in worker.holds.items() if hold.mask & allocation.mask
    ]
    missing_slots = len(allocation.masks) - worker.free_slots
    missing_slots -= sum(worker.holds[job].slots for job in chosen)
    # Holders inside their own guarantee give way last.
    candidates = [
        (bool(hold.mask) and not hold.uncovered_slots, -hold.slots, job)
        for job, hold in worker.holds.items()
        if job not in chosen and is_preemptible_for(hold, request, scope)
    ]
    for _, slots, job in sorted(candidates):
        if missing_slots <= 0:
            break
        chosen.append(job)
        missing_slots += slots
    return chosen


def preempt(core: Core, job: Job, grace_s: float, reason: str) -> None:
    """Order a checkpoint now and a stop after it."""
    if job.stopping:
        return
    if job.phase is Phase.PLACED or grace_s <= 0:
        core.stop(job, reason)
        return
    stop_at_s = core.now_s + grace_s
    if job.stop_due_s <= stop_at_s:
        return
    if not job.checkpointed:
        job.checkpointed = True
        core.decisions.append(
            Checkpoint(job=job.job, attempt=job.attempt, deadline_s=grace_s)
        )
    stop_at(core, job, stop_at_s, reason)


def stop_at(core: Core, job: Job, due_s: float, reason: str) -> None:
    """Plan the stop of an attempt, unless an earlier one is planned."""
    if due_s < job.stop_due_s:
        job.stop_due_s = due_s
        job.stop_reason = reason
        core.add_timer(due_s, TimerKind.STOP, job.job, job.attempt)


def preempt_holders(
    core: Core,
    job: Job,
    zone: Zone,
    allocations: list[Allocation],
    scope: CapacityScope,
) -> None:
    """Make the holders of the spots give way and keep the spots for a job."""
    assert core.bundle is not None
    request = core.placement_request(job)
    grace_s = core.bundle.limits.reclaim_s * CHECKPOINT_SHARE
    if job.spec.urgent:
        grace_s = min(grace_s, URGENT_CHECKPOINT_S)
    victims = [
        victim
        for allocation in allocations
        for victim in victims_of(allocation, request, scope)
    ]
    claim_capacity(core, job, zone, allocations, float('-inf'))
    for victim in dict.fromkeys(victims):
        preempt(core, core.jobs[victim], grace_s, 'preempted')
    core.set_wait_reason(job, 'waits for preempted jobs to stop')


def claim_capacity(
    core: Core,
    job: Job,
    zone: Zone,
    allocations: Iterable[Allocation],
    backfill_until_s: float,
) -> None:
    """Keep capacity for a queued job."""
    core.queue_of(job).suspend(job)
    job.phase = Phase.CLAIMING
    pending = PendingClaim(
        zone=zone,
        allocations=tuple(allocations),
        backfill_until_s=backfill_until_s,
    )
    if pending.is_reservation:
        pending = pending._replace(
            runtime_unknown=_has_unknown_runtime(core, pending.allocations)
        )
    core.claims[job.job] = pending
    for allocation in pending.allocations:
        allocation.worker.add_claim(
            job.job,
            Claim(
                mask=allocation.mask,
                slots=len(allocation.masks),
                backfill_until_s=backfill_until_s,
                urgent=job.spec.urgent,
            ),
        )


def update_estimate(core: Core, job: Job) -> None:
    """Bring a reservation forward that was dated by unknown run times.

    Its date only moves forward: work that backfills must not extend it.
    """
    pending = core.claims[job.job]
    holders = _holders(pending.allocations)
    ends_s = [core.expected_end_s(holder) for holder in holders]
    backfill_until_s = min(
        pending.backfill_until_s, max(ends_s, default=core.now_s)
    )
    core.claims[job.job] = pending._replace(
        backfill_until_s=backfill_until_s,
        runtime_unknown=_has_unknown_runtime(core, pending.allocations),
    )
    for allocation in pending.allocations:
        claims = allocation.worker.claims
        claims[job.job] = claims[job.job]._replace(
            backfill_until_s=backfill_until_s
        )


def _holders(allocations: Iterable[Allocation]) -> set[JobId]:
    return {
        holder
        for allocation in allocations
        for holder, hold in allocation.worker.holds.items()
        if hold.mask & allocation.mask
    }


def _has_unknown_runtime(core: Core, allocations: Iterable[Allocation]) -> bool:
    kinds = {core.jobs[holder].kind for holder in _holders(allocations)}
    return any(core.estimates.max_runtime_s(kind) is None for kind in kinds)


def is_unusable(job: Job, pending: PendingClaim) -> bool:
    """Tell whether a claim can no longer be served where it is."""
    return any(
        not allocation.worker.usable
        or (job.non_preemptible and _overlaps_guarantees(allocation, job))
        for allocation in pending.allocations
    )


def _overlaps_guarantees(allocation: Allocation, job: Job) -> bool:
    worker = allocation.worker
    guaranteed = worker.guaranteed_by_account.get(job.account, 0)
    if allocation.mask & worker.guaranteed_mask & ~guaranteed:
        return True
    uncovered = count_uncovered(allocation.masks, guaranteed)
    spare = worker.spare_slots
    if allocation.mask:
        spare = min(spare, worker.spare_connections)
    return uncovered > max(0, spare)


def is_ready(pending: PendingClaim) -> bool:
    """Tell whether everything that a claim keeps is free."""
    return all(
        allocation.mask & allocation.worker.free_mask == allocation.mask
        and allocation.worker.free_slots >= len(allocation.masks)
        and (
            not allocation.mask
            or allocation.worker.free_connections >= len(allocation.masks)
        )
        for allocation in pending.allocations
    )


def is_superseded(job: Job, pending: PendingClaim) -> bool:
    """Tell whether preemption made way for others on what a job reserves.

    The holders stopped for those others, who would otherwise wait for the
    job that had reserved the same accelerators.
    """
    return pending.is_reservation and any(
        not other.is_reservation and _conflicts(allocation, other)
        for allocation in pending.allocations
        for owner, other in allocation.worker.claims.items()
        if owner != job.job
    )


def _conflicts(allocation: Allocation, other: Claim) -> bool:
    if allocation.mask & other.mask:
        return True
    worker = allocation.worker
    needed = len(allocation.masks) + other.slots
    return needed > worker.free_slots
