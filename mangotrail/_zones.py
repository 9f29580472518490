"""Evacuation and return of availability zones."""

from mangotrail._core import Core
from mangotrail._jobs import Job, Phase
from mangotrail._preemption import preempt, stop_at
from mangotrail.events import ZoneChanged
from mangotrail.topology import Zone

# Fraction of the time until the deadline that is given to checkpoints.
CHECKPOINT_SHARE = 0.5
# Stops are ordered this fraction of the remaining time before the deadline, but
# at most MAX_STOP_MARGIN_S before it, so that they take effect in time.
STOP_MARGIN_SHARE = 0.25
MAX_STOP_MARGIN_S = 10.0
# For this long after its return, a zone starts at most RAMP_RATE jobs per
# second.
RAMP_S = 120.0
RAMP_RATE = 2.0
RAMP_BURST = 4.0


def change_zone(core: Core, event: ZoneChanged) -> None:
    """Apply a change of the state of a zone."""
    zone = core.topology and core.topology.zones.get(event.zone)
    if not zone:
        core.counters['unknown_zone'] += 1
        return
    was_open = zone.open
    zone.state = event.state
    zone.capacity_version += 1
    if zone.open:
        if not was_open:
            _reopen(core, zone)
    else:
        _close(core, zone, event.deadline_s)
    core.capacity_version += 1
    core.endpoints.invalidate()
    core.plan_guarantees()


def _jobs_in(core: Core, zone: Zone) -> list[Job]:
    found = {job_id for worker in zone.workers for job_id in worker.holds}
    return [core.jobs[job_id] for job_id in sorted(found)]


def _reopen(core: Core, zone: Zone) -> None:
    zone.ramp_tokens = RAMP_BURST
    zone.ramp_ends_s = core.now_s + RAMP_S
    for job in _jobs_in(core, zone):
        if not job.checkpointed:
            job.stop_due_s = float('inf')


def _close(core: Core, zone: Zone, deadline_s: float) -> None:
    zone.evacuation_deadline_s = core.now_s + deadline_s
    for job in _jobs_in(core, zone):
        evacuate(core, job, zone)


def evacuate(core: Core, job: Job, zone: Zone) -> None:
    """Stop an attempt in time for the evacuation deadline of its zone."""
    reason = f'zone {zone.zone} {zone.state.value}'
    left_s = max(0, zone.evacuation_deadline_s - core.now_s)
    usable_s = left_s - min(MAX_STOP_MARGIN_S, left_s * STOP_MARGIN_SHARE)
    if job.phase is Phase.PLACED and job.spec.idempotent:
        core.stop(job, reason)
    elif not job.spec.idempotent or _ends_within(core, job, usable_s):
        # The attempt may still finish. Stopping a non-idempotent job makes its
        # outcome unknown. An attempt that has not begun gets no confirmation in
        # this zone any more, so it ends without having run.
        _stop_after(core, job, usable_s, reason)
    else:
        assert core.bundle is not None
        within_s = left_s * CHECKPOINT_SHARE
        within_s = min(within_s, core.bundle.limits.reclaim_s)
        preempt(core, job, within_s, reason)


def _ends_within(core: Core, job: Job, within_s: float) -> bool:
    running_s = core.now_s - job.started_s
    return core.estimates.remaining_s(job.kind, running_s) < within_s


def _stop_after(core: Core, job: Job, within_s: float, reason: str) -> None:
    if within_s <= 0:
        core.stop(job, reason)
    else:
        stop_at(core, job, core.now_s + within_s, reason)


def refill_ramps(core: Core, elapsed_s: float) -> None:
    """Refill the ramps of zones that returned."""
    if core.topology is None:
        return
    for zone in core.topology.zones.values():
        if zone.ramp_tokens is None:
            continue
        if core.now_s >= zone.ramp_ends_s:
            zone.ramp_tokens = None
            core.capacity_version += 1
        elif elapsed_s > 0:
            spent = zone.ramp_tokens < 1
            left = zone.ramp_tokens + elapsed_s * RAMP_RATE
            zone.ramp_tokens = min(RAMP_BURST, left)
            if spent and zone.ramp_tokens >= 1:
                core.capacity_version += 1
