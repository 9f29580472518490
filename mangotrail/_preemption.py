"""Makes running jobs give way and keeps capacity for jobs that wait."""

from collections.abc import Iterable

from mangotrail._core import Core, Pending, TimerKind
from mangotrail._jobs import Job, Phase
from mangotrail.events import Checkpoint
from mangotrail.ids import JobId
from mangotrail.placement import (
    CapacityScope,
    PlacementRequest,
    is_preemptible_for,
)
from mangotrail.topology import Claim, Spot, Zone, members_outside

# The share of reclaim_s that is given to the checkpoint; the rest is for the
# stop itself.
CHECKPOINT_SHARE = 2 / 3
# Urgent work starts within 5 s, which must hold checkpoint, stop and begin.
URGENT_CHECKPOINT_S = 2.0


def victims_of(
    spot: Spot, want: PlacementRequest, reach: CapacityScope
) -> list[JobId]:
    """Return the jobs that hold what a gang needs on one worker."""
    worker = spot.worker
    chosen = [
        job for job, hold in worker.holds.items() if hold.mask & spot.mask
    ]
    short = len(spot.masks) - worker.free_slots
    short -= sum(worker.holds[job].slots for job in chosen)
    # Holders inside their own guarantee give way last.
    others = [
        (bool(hold.mask) and not hold.outside, -hold.slots, job)
        for job, hold in worker.holds.items()
        if job not in chosen and is_preemptible_for(hold, want, reach)
    ]
    for _, slots, job in sorted(others):
        if short <= 0:
            break
        chosen.append(job)
        short += slots
    return chosen


def preempt(core: Core, job: Job, within_s: float, reason: str) -> None:
    """Order a checkpoint now and a stop after it."""
    if job.stopping:
        return
    if job.phase is Phase.PLACED or within_s <= 0:
        core.stop(job, reason)
        return
    due_s = core.now_s + within_s
    if job.stop_due_s <= due_s:
        return
    if not job.checkpointed:
        job.checkpointed = True
        core.out.append(
            Checkpoint(job=job.job, attempt=job.attempt, deadline_s=within_s)
        )
    stop_at(core, job, due_s, reason)


def stop_at(core: Core, job: Job, due_s: float, reason: str) -> None:
    """Plan the stop of an attempt, unless an earlier one is planned."""
    if due_s < job.stop_due_s:
        job.stop_due_s = due_s
        job.stop_reason = reason
        core.add_timer(due_s, TimerKind.STOP, job.job, job.attempt)


def reclaim(
    core: Core, job: Job, zone: Zone, spots: list[Spot], reach: CapacityScope
) -> None:
    """Make the holders of the spots give way and keep the spots for a job."""
    assert core.bundle is not None
    want = core.want(job)
    within_s = core.bundle.limits.reclaim_s * CHECKPOINT_SHARE
    if job.spec.urgent:
        within_s = min(within_s, URGENT_CHECKPOINT_S)
    victims = [
        victim for spot in spots for victim in victims_of(spot, want, reach)
    ]
    claim(core, job, zone, spots, float('-inf'))
    for victim in dict.fromkeys(victims):
        preempt(core, core.jobs[victim], within_s, 'preempted')
    core.wait(job, 'waits for preempted jobs to stop')


def claim(
    core: Core, job: Job, zone: Zone, spots: Iterable[Spot], before_s: float
) -> None:
    """Keep capacity for a queued job."""
    core.queue_of(job).set_aside(job)
    job.phase = Phase.CLAIMING
    pending = Pending(zone=zone, spots=tuple(spots), before_s=before_s)
    if pending.is_reservation:
        pending = pending._replace(guessed=_is_guess(core, pending.spots))
    core.claims[job.job] = pending
    for spot in pending.spots:
        spot.worker.add_claim(
            job.job,
            Claim(
                mask=spot.mask,
                slots=len(spot.masks),
                before_s=before_s,
                urgent=job.spec.urgent,
            ),
        )


def date_again(core: Core, job: Job) -> None:
    """Bring a reservation forward that was dated by unknown run times.

    Its date only moves forward: work that backfills must not extend it.
    """
    pending = core.claims[job.job]
    holders = _holders(pending.spots)
    ends_s = [core.expected_end_s(holder) for holder in holders]
    before_s = min(pending.before_s, max(ends_s, default=core.now_s))
    core.claims[job.job] = pending._replace(
        before_s=before_s, guessed=_is_guess(core, pending.spots)
    )
    for spot in pending.spots:
        claims = spot.worker.claims
        claims[job.job] = claims[job.job]._replace(before_s=before_s)


def _holders(spots: Iterable[Spot]) -> set[JobId]:
    return {
        holder
        for spot in spots
        for holder, hold in spot.worker.holds.items()
        if hold.mask & spot.mask
    }


def _is_guess(core: Core, spots: Iterable[Spot]) -> bool:
    kinds = {core.jobs[holder].kind for holder in _holders(spots)}
    return any(core.estimates.longest_s(kind) is None for kind in kinds)


def is_broken(job: Job, pending: Pending) -> bool:
    """Tell whether a claim can no longer be served where it is."""
    return any(
        not spot.worker.usable or (job.pinned and _is_reserved(spot, job))
        for spot in pending.spots
    )


def _is_reserved(spot: Spot, job: Job) -> bool:
    worker = spot.worker
    own = worker.own.get(job.account, 0)
    if spot.mask & worker.reserved & ~own:
        return True
    outside = members_outside(spot.masks, own)
    spare = worker.spare_slots
    if spot.mask:
        spare = min(spare, worker.spare_connections)
    return outside > max(0, spare)


def is_ready(pending: Pending) -> bool:
    """Tell whether everything that a claim keeps is free."""
    return all(
        spot.mask & spot.worker.free == spot.mask
        and spot.worker.free_slots >= len(spot.masks)
        and (not spot.mask or spot.worker.free_connections >= len(spot.masks))
        for spot in pending.spots
    )


def is_overtaken(job: Job, pending: Pending) -> bool:
    """Tell whether preemption made way for others on what a job reserves.

    The holders stopped for those others, who would otherwise wait for the
    job that had reserved the same accelerators.
    """
    return pending.is_reservation and any(
        not other.is_reservation and _compete(spot, other)
        for spot in pending.spots
        for owner, other in spot.worker.claims.items()
        if owner != job.job
    )


def _compete(spot: Spot, other: Claim) -> bool:
    if spot.mask & other.mask:
        return True
    worker = spot.worker
    needed = len(spot.masks) + other.slots
    return needed > worker.free_slots
