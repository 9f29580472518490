"""Inventory: capacity and usage of zones, racks and workers."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from mangotrail._blocks import full_mask
from mangotrail._bundle import Bundle, RackSpec, ZoneSpec
from mangotrail._messages import JobShape, ZoneState
from mangotrail.ids import AccountId, JobId, RegionId, WorkerId, ZoneId


class Allocation(NamedTuple):
    """Accelerators of the members of a gang on one worker.

    :param masks: accelerator mask of each member.
    """

    worker: 'Worker'
    masks: tuple[int, ...]

    @property
    def mask(self) -> int:
        """Return the mask of the accelerators of all members."""
        union = 0
        for mask in self.masks:
            union |= mask
        return union


def count_uncovered(masks: Iterable[int], guaranteed: int) -> int:
    """Return how many members are not within the guaranteed accelerators."""
    return sum(not mask or bool(mask & ~guaranteed) for mask in masks)


class Hold(NamedTuple):
    """Resources that a job holds on one worker.

    :param non_preemptible: whether the job must not be preempted.
    :param uncovered_slots: slots of members outside the guaranteed cells of
        the account.
    :param uncovered_connections: connections of such members.
    """

    account: AccountId
    masks: tuple[int, ...]
    mask: int
    slots: int
    connections: int
    non_preemptible: bool
    urgent: bool
    uncovered_slots: int
    uncovered_connections: int

    def uncovered_by(self, guaranteed: int) -> int:
        """Return how many members are not within the given accelerators."""
        return count_uncovered(self.masks, guaranteed)


class Claim(NamedTuple):
    """Capacity of a worker claimed by a queued job.

    :param backfill_until_s: jobs that end before this time may use the capacity
        in the meantime.
    :param urgent: whether the job is urgent; a reservation of a job that is not
        does not keep the capacity from urgent jobs.
    """

    mask: int
    slots: int
    backfill_until_s: float
    urgent: bool

    def blocks(self, expected_end_s: float, urgent: bool) -> bool:
        """Return whether a job with this expected end must not use it."""
        if urgent and not self.urgent and self.is_reservation:
            return False
        return expected_end_s > self.backfill_until_s

    @property
    def is_reservation(self) -> bool:
        """Return whether the job waits for the holders to end by themselves."""
        return self.backfill_until_s > float('-inf')


class Worker:
    """A platform machine with its accelerators, slots and connections."""

    __slots__ = (
        'worker',
        'zone',
        'rack',
        'accelerators',
        'slots',
        'connections',
        'cores',
        'memory_gb',
        'free_mask',
        'free_slots',
        'free_connections',
        'preemptible_mask',
        'non_preemptible_mask',
        'uncovered_slots',
        'uncovered_connections',
        'guaranteed_mask',
        'guaranteed_by_account',
        'claimed_mask',
        'claimed_slots',
        'claims',
        'holds',
        'healthy',
        'quarantined',
    )

    def __init__(
        self, *, worker: WorkerId, zone: 'Zone', rack: 'Rack', spec: RackSpec
    ) -> None:
        self.worker = worker
        self.zone = zone
        self.rack = rack
        self.accelerators = spec.accelerators
        self.cores = spec.cores
        self.memory_gb = spec.memory_gb
        self.slots = zone.slots
        self.connections = zone.connections
        self.free_mask = full_mask(spec.accelerators)
        self.free_slots = zone.slots
        self.free_connections = zone.connections
        # Accelerators held by preemptible and by non-preemptible jobs.
        self.preemptible_mask = 0
        self.non_preemptible_mask = 0
        self.uncovered_slots = 0
        self.uncovered_connections = 0
        # Accelerators kept for guaranteed cells, and those bound to the cells
        # of each account.
        self.guaranteed_mask = 0
        self.guaranteed_by_account: dict[AccountId, int] = {}
        self.claimed_mask = 0
        self.claimed_slots = 0
        self.claims: dict[JobId, Claim] = {}
        self.holds: dict[JobId, Hold] = {}
        self.healthy = True
        self.quarantined = False

    @property
    def usable(self) -> bool:
        """Return whether new jobs may start here."""
        return self.healthy and not self.quarantined and self.zone.open

    @property
    def spare_slots(self) -> int:
        """Slots needed by no guaranteed cell or non-preemptible job."""
        needed = min(self.slots, self.guaranteed_mask.bit_count())
        return self.slots - needed - self.uncovered_slots

    @property
    def spare_connections(self) -> int:
        """Connections needed by no guaranteed cell or non-preemptible job."""
        needed = min(self.connections, self.guaranteed_mask.bit_count())
        return self.connections - needed - self.uncovered_connections

    def add_hold(self, job: JobId, hold: Hold) -> None:
        """Allocate resources to a job.

        The caller has checked that they are free.
        """
        self.holds[job] = hold
        self._set_free(self.free_mask & ~hold.mask)
        self.free_slots -= hold.slots
        self.free_connections -= hold.connections
        self.zone.free_slots -= hold.slots
        if hold.non_preemptible:
            self.non_preemptible_mask |= hold.mask
            self.uncovered_slots += hold.uncovered_slots
            self.uncovered_connections += hold.uncovered_connections
        else:
            self.preemptible_mask |= hold.mask

    def remove_hold(self, job: JobId) -> None:
        """Release the resources of a job."""
        hold = self.holds.pop(job)
        self._set_free(self.free_mask | hold.mask)
        self.zone.capacity_version += 1
        self.free_slots += hold.slots
        self.free_connections += hold.connections
        self.zone.free_slots += hold.slots
        if hold.non_preemptible:
            self.non_preemptible_mask &= ~hold.mask
            self.uncovered_slots -= hold.uncovered_slots
            self.uncovered_connections -= hold.uncovered_connections
        else:
            self.preemptible_mask &= ~hold.mask

    def _set_free(self, mask: int) -> None:
        before, after = self.free_mask.bit_count(), mask.bit_count()
        self.free_mask = mask
        if before != after:
            self.rack.free += after - before
            self.zone.free += after - before
            del self.zone.workers_by_free[before][self]
            self.zone.workers_by_free[after][self] = None

    def add_claim(self, job: JobId, claim: Claim) -> None:
        """Claim capacity for a queued job."""
        self.claims[job] = claim
        self.claimed_mask |= claim.mask
        self.claimed_slots += claim.slots

    def remove_claim(self, job: JobId) -> None:
        """Drop the claim of a job."""
        claim = self.claims.pop(job)
        self.zone.capacity_version += 1
        self.claimed_mask &= ~claim.mask
        self.claimed_slots -= claim.slots

    def add_guaranteed(self, account: AccountId, mask: int) -> None:
        """Bind accelerators to a guaranteed cell of an account."""
        self.guaranteed_mask |= mask
        self.guaranteed_by_account[account] = (
            self.guaranteed_by_account.get(account, 0) | mask
        )


class Rack:
    """A rack of identical workers."""

    __slots__ = ('rack', 'zone', 'accelerators', 'workers', 'free')

    def __init__(self, *, zone: 'Zone', spec: RackSpec) -> None:
        self.rack = spec.rack
        self.zone = zone
        self.accelerators = spec.accelerators
        self.workers = tuple(
            Worker(worker=worker, zone=zone, rack=self, spec=spec)
            for worker in spec.workers
        )
        self.free = spec.accelerators * len(self.workers)


class Zone:
    """An availability zone with its racks."""

    def __init__(self, *, spec: ZoneSpec) -> None:
        self.zone = spec.zone
        self.region: RegionId = spec.region
        self.platform_url = spec.platform_url
        self.slots = spec.slots
        self.connections = spec.connections
        self.state = ZoneState.IN
        # Incremented by each change that may allow a waiting job to start here.
        self.capacity_version = 0
        # Starts left in the ramp after the zone returned, None without a ramp.
        self.ramp_tokens: float | None = None
        self.ramp_ends_s = 0.0
        # Deadline for running jobs while the zone is not open.
        self.evacuation_deadline_s = 0.0
        self.free = 0
        self.free_slots = 0
        self.racks = tuple(Rack(zone=self, spec=rack) for rack in spec.racks)
        self.workers = tuple(
            worker for rack in self.racks for worker in rack.workers
        )
        largest = max(rack.accelerators for rack in self.racks)
        # Workers by their number of free accelerators.
        self.workers_by_free: list[dict[Worker, None]] = [
            {} for _ in range(largest + 1)
        ]
        for worker in self.workers:
            self.workers_by_free[worker.accelerators][worker] = None
        self.accelerator_workers = tuple(
            worker for worker in self.workers if worker.accelerators
        )
        # Workers with guaranteed cells of each account.
        self.cell_workers: dict[AccountId, list[Worker]] = {}
        self.free = sum(rack.free for rack in self.racks)
        self.free_slots = spec.slots * len(self.workers)

    @property
    def open(self) -> bool:
        """Return whether the zone takes new work."""
        return self.state is ZoneState.IN

    @property
    def ramping(self) -> bool:
        """Return whether the ramp allows no start at present."""
        return self.ramp_tokens is not None and self.ramp_tokens < 1


class Topology:
    """All zones of a bundle."""

    def __init__(self, bundle: Bundle) -> None:
        self.zones: dict[ZoneId, Zone] = {
            spec.zone: Zone(spec=spec) for spec in bundle.zones
        }
        self.workers: dict[WorkerId, Worker] = {
            worker.worker: worker for worker in self.iter_workers()
        }
        # Cache of placement.feasible_zones().
        self.feasible_zones: dict[JobShape, list[Zone]] = {}

    def iter_workers(self) -> Iterator[Worker]:
        """Yield every worker of every zone."""
        for zone in self.zones.values():
            yield from zone.workers


def allocations_of(
    topology: Topology, members: Iterable[tuple[WorkerId, Sequence[int]]]
) -> list[Allocation]:
    """Group the members of a placement by worker.

    Members on workers outside the topology are left out.
    """
    masks: dict[WorkerId, list[int]] = {}
    for worker, indexes in members:
        mask = sum(1 << index for index in set(indexes))
        masks.setdefault(worker, []).append(mask)
    return [
        Allocation(worker=topology.workers[worker], masks=tuple(found))
        for worker, found in masks.items()
        if worker in topology.workers
    ]
