"""Application of bundles and worker reports to the scheduler state."""

from mangotrail._completion import finish_waiting
from mangotrail._core import Core
from mangotrail._jobs import Job
from mangotrail._quarantine import drop_missing_workers
from mangotrail.events import BundleApplied, WorkersReported
from mangotrail.placement import feasible_zones
from mangotrail.topology import Allocation, Topology, Worker, allocations_of


def apply_bundle(core: Core, event: BundleApplied) -> None:
    """Put a bundle in force, keeping jobs and queues.

    If the zones changed, claims are dropped and their jobs queued again.
    """
    old = core.topology
    core.bundle = event.bundle
    core.endpoints.invalidate()
    if old is None or core.zone_specs != event.bundle.zones:
        for job_id in tuple(core.claims):
            core.requeue_claimed(core.jobs[job_id])
        core.zone_specs = event.bundle.zones
        core.topology = Topology(event.bundle)
        if old is not None:
            _transfer_state(core, old, core.topology)
        drop_missing_workers(core)
    assert core.topology is not None
    core.shares.update_accounts(
        list(event.bundle.accounts),
        sum(worker.accelerators for worker in core.topology.iter_workers()),
    )
    core.plan_guarantees()
    core.capacity_version += 1
    for job in list(core.jobs.values()):
        if not job.active and not feasible_zones(core.topology, job.spec.shape):
            core.unqueue(job)
            finish_waiting(core, job, 'no inventory of the bundle can hold it')


def _transfer_state(core: Core, old: Topology, new: Topology) -> None:
    for zone_id, zone in old.zones.items():
        if zone_id in new.zones:
            new.zones[zone_id].state = zone.state
            new.zones[
                zone_id
            ].evacuation_deadline_s = zone.evacuation_deadline_s
            new.zones[zone_id].ramp_tokens = zone.ramp_tokens
            new.zones[zone_id].ramp_ends_s = zone.ramp_ends_s
    for worker_id, worker in old.workers.items():
        if worker_id in new.workers:
            new.workers[worker_id].healthy = worker.healthy
            new.workers[worker_id].quarantined = worker.quarantined
    for job in core.jobs.values():
        if job.active:
            _reallocate(core, job, new)


def _reallocate(core: Core, job: Job, topology: Topology) -> None:
    core.deallocate(job)
    if allocate_placement(core, job, topology):
        core.stop(job, 'worker left the bundle')


def allocate_placement(core: Core, job: Job, topology: Topology) -> bool:
    """Allocate the resources of a job's placement as far as possible.

    :returns: whether any of them were taken or are not in the topology.
    """
    assert job.placement is not None
    members = job.placement.members
    named = allocations_of(
        topology, [(member.worker, member.accelerators) for member in members]
    )
    allocations = [_without_conflicts(allocation) for allocation in named]
    core.allocate(
        job, tuple(allocation for allocation in allocations if allocation.masks)
    )
    return named != allocations or sum(
        len(allocation.masks) for allocation in named
    ) < len(members)


def _without_conflicts(allocation: Allocation) -> Allocation:
    """Return the allocation without members whose resources are taken."""
    worker = allocation.worker
    slots = worker.free_slots
    if any(allocation.masks):
        # Only members with accelerators take connections.
        slots = min(slots, worker.free_connections)
    masks: list[int] = []
    taken = ~worker.free_mask
    for mask in allocation.masks:
        if not mask & taken and len(masks) < slots:
            masks.append(mask)
            taken |= mask
    return Allocation(worker=worker, masks=tuple(masks))


def update_workers(core: Core, event: WorkersReported) -> None:
    """Update the health of workers."""
    changed = False
    for status in event.workers:
        worker = core.topology and core.topology.workers.get(status.worker)
        if not worker:
            core.counters['unknown_worker'] += 1
        elif worker.healthy != status.healthy:
            changed = True
            worker.healthy = status.healthy
            worker.zone.capacity_version += 1
            if not status.healthy:
                _stop_jobs_on(core, worker)
    if changed:
        core.capacity_version += 1
        core.plan_guarantees()


def _stop_jobs_on(core: Core, worker: Worker) -> None:
    for job_id in list(worker.holds):
        core.stop(core.jobs[job_id], f'worker {worker.worker} lost')
