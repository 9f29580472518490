"""Selection of queued jobs and their start."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple, TypeVar

from mangotrail._blocks import bit_indexes
from mangotrail._core import Core
from mangotrail._jobs import Job, Phase
from mangotrail._messages import MemberPlacement, Placement
from mangotrail._preemption import (
    claim_capacity,
    is_ready,
    is_superseded,
    is_unusable,
    preempt_holders,
    update_estimate,
)
from mangotrail._quarantine import release_worker
from mangotrail._reservation import Reservation, find_reservations
from mangotrail.events import Place
from mangotrail.guarantees import KeptBindings
from mangotrail.ids import JobId
from mangotrail.placement import (
    CapacityScope,
    PlacementRequest,
    allocate_on,
    feasible_zones,
    fit_on,
    place_in_zone,
    placements_in_zone,
)
from mangotrail.topology import Allocation, Worker, Zone

# Limits the jobs considered and zones searched in one call of handle(), which
# bounds the decision time; the next call continues.
MAX_SEARCH_STEPS = 64
# Failed searches kept in the cache.
MAX_FAILED_SEARCHES = 10000
# Queue heads considered for one probe.
MAX_PROBE_CANDIDATES = 50
# A queue head reserves capacity after waiting this long. Reserving immediately
# would hold capacity back for jobs that start soon anyway.
RESERVE_AFTER_S = 60.0
# Each reservation keeps capacity idle until all of it is free.
MAX_RESERVATIONS = 2
# Rebinding cells takes several milliseconds at the design size.
REBIND_INTERVAL_S = 1.0
# A pass over the queues starts at least this often, even without a capacity
# change, because jobs become old enough to reserve capacity.
QUEUE_PASS_INTERVAL_S = 10.0


class _Match(NamedTuple):
    zone: Zone
    allocations: list[Allocation]


_Candidate = TypeVar('_Candidate', _Match, Reservation)


class JobStarter:
    """Places the heads of the queues while capacity is available."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.search_steps = 0
        # Failed searches with the capacity version of the zone at that time.
        self.failed_searches: dict[tuple[object, ...], int] = {}
        self.pass_version = -1
        # Earliest time of the next rebinding of cells.
        self.next_rebind_s = float('-inf')
        # Rest of the current pass over the queues, None between passes.
        self.queue_pass: Iterator[Job] | None = None
        self.pass_started_s = float('-inf')
        # Time of the last update of reservation estimates.
        self.estimates_updated_s = float('-inf')

    def run(self) -> None:
        """Place queued jobs that fit, in order of priority."""
        core = self.core
        self.search_steps = 0
        if core.topology is None:
            return
        self._start_claimed()
        new_jobs, core.new_jobs = core.new_jobs, []
        for job in new_jobs:
            self._try_new(job)
        pass_due = core.now_s >= self.pass_started_s + QUEUE_PASS_INTERVAL_S
        if self.queue_pass is None and (
            pass_due or self.pass_version != core.capacity_version
        ):
            self.pass_started_s = core.now_s
            self.pass_version = core.capacity_version
            self.queue_pass = core.shares.iter_by_priority(core.now_s)
            if len(self.failed_searches) > MAX_FAILED_SEARCHES:
                self.failed_searches.clear()
        if self.queue_pass is not None:
            self._continue_pass(self.queue_pass)

    def _try_new(self, job: Job) -> None:
        if job.phase is not Phase.QUEUED:
            return
        if self.queue_pass is None or job.spec.urgent:
            self.try_start(job)
        else:
            # The current pass may be past the priority of this job already.
            self.pass_version = -1

    def _continue_pass(self, queue_pass: Iterator[Job]) -> None:
        while self.search_steps < MAX_SEARCH_STEPS:
            job = next(queue_pass, None)
            if job is None:
                self.queue_pass = None
                return
            self.try_start(job)

    def probe(self) -> None:
        """Place a single-member job on each quarantined worker that is due.

        A worker for which no job was found for too long is released.
        """
        core = self.core
        for worker_id in core.health.due_probes(core.now_s):
            assert core.topology is not None
            worker = core.topology.workers[worker_id]
            if worker.healthy and worker.zone.open:
                job = self._probe_job(worker)
                if job is not None:
                    core.health.quarantined[worker_id].job = job
                elif core.health.is_probe_overdue(worker_id, core.now_s):
                    release_worker(core, worker_id)

    def _probe_job(self, worker: Worker) -> JobId | None:
        core = self.core
        heads = core.shares.iter_by_priority(core.now_s)
        for job in islice(heads, MAX_PROBE_CANDIDATES):
            small = job.spec.shape.members == 1 and not job.spec.urgent
            if job.non_preemptible or not small or self._blocking_reason(job):
                continue
            request = core.placement_request(job)
            fit = fit_on(worker, request, CapacityScope.BORROW)
            if (
                fit is not None
                and worker.worker not in request.excluded_workers
            ):
                size = job.spec.shape.accelerators
                allocation = allocate_on(worker, fit.mask, 1, size)
                self.start(job, worker.zone, [allocation])
                return job.job
        return None

    def _start_claimed(self) -> None:
        core = self.core
        due = core.now_s >= self.estimates_updated_s + QUEUE_PASS_INTERVAL_S
        if due:
            self.estimates_updated_s = core.now_s
        for job_id, pending in list(core.claims.items()):
            job = core.jobs[job_id]
            if due and pending.runtime_unknown:
                update_estimate(core, job)
            if is_unusable(job, pending):
                core.requeue_claimed(job)
            elif (
                is_ready(pending)
                and not is_superseded(job, pending)
                and not self._blocking_reason(job)
            ):
                self.start(job, pending.zone, pending.allocations)
            elif pending.is_reservation and not self._blocking_reason(job):
                self._start_elsewhere(job)

    def _start_elsewhere(self, job: Job) -> None:
        """Start a job elsewhere while its reservation is not free yet."""
        request = self.core.placement_request(job)
        found = self._search(
            request, self._candidate_zones(job), _scopes_for(request)
        )
        if found is not None:
            self.start(job, found.zone, found.allocations)

    def _blocking_reason(self, job: Job) -> str:
        """Return why a job cannot start regardless of free capacity.

        :returns: empty if nothing blocks the job.
        """
        core = self.core
        assert core.topology is not None
        zones = feasible_zones(core.topology, job.spec.shape)
        if not any(zone.open for zone in zones):
            names = ', '.join(sorted(zone.zone for zone in zones))
            return f'zone out: {names}' if names else 'no zone can hold it'
        if not core.endpoints.available(core.topology, job.spec.service):
            return f'service {job.spec.service} has no endpoint'
        queue = core.queue_of(job)
        if queue.running >= queue.spec.max_running:
            return 'account runs max_running jobs'
        return ''

    def try_start(self, job: Job) -> None:
        """Place a job if it fits, otherwise preempt, rebind or reserve."""
        core = self.core
        self.search_steps += 1
        reason = self._blocking_reason(job)
        if reason:
            core.set_wait_reason(job, reason)
            return
        request = core.placement_request(job)
        zones = self._candidate_zones(job)
        found = self._search(request, zones, _scopes_for(request))
        if found is not None:
            self.start(job, found.zone, found.allocations)
        elif not self._preempt(job, request, zones):
            if not (
                job.non_preemptible
                and self._rebind_and_start(job, request, zones)
            ):
                self._reserve(job, request, zones)

    def _candidate_zones(self, job: Job) -> list[Zone]:
        """Return the zones that accept the job, closest endpoint first."""
        core = self.core
        assert core.topology is not None
        distances = core.endpoints.distances(core.topology, job.spec.service)
        zones = [
            zone
            for zone in feasible_zones(core.topology, job.spec.shape)
            if zone.open and (job.spec.urgent or not zone.ramping)
        ]
        return sorted(zones, key=lambda zone: (distances[zone.zone], zone.free))

    def _search(
        self,
        request: PlacementRequest,
        zones: list[Zone],
        scopes: Iterable[CapacityScope],
    ) -> _Match | None:
        for scope in scopes:
            search_key = self._search_key(request, scope)
            for zone in zones:
                if (
                    self.failed_searches.get((zone.zone, *search_key))
                    == zone.capacity_version
                ):
                    continue
                self.search_steps += 1
                allocations = place_in_zone(zone, request, scope)
                if allocations is not None:
                    return _Match(zone, allocations)
                self.failed_searches[zone.zone, *search_key] = (
                    zone.capacity_version
                )
        return None

    def _search_key(
        self, request: PlacementRequest, scope: CapacityScope
    ) -> tuple[object, ...]:
        """Return the values on which the result of a search depends."""
        spec = self.core.shares.accounts[request.account].spec
        owner = request.account if spec.guarantees else ''
        runtime_s = request.expected_end_s - self.core.now_s
        if self.core.latest_backfill_s() < request.expected_end_s:
            runtime_s = float('inf')
        return (
            scope.value,
            owner,
            request.shape.members,
            request.shape.accelerators,
            request.shape.level.value,
            request.non_preemptible,
            request.urgent,
            runtime_s,
            request.excluded_workers,
        )

    def _preempt(
        self, job: Job, request: PlacementRequest, zones: list[Zone]
    ) -> bool:
        scopes = []
        if self.core.queue_of(job).spec.guarantees:
            scopes.append(CapacityScope.RECLAIM)
        if request.urgent:
            scopes.append(CapacityScope.DISPLACE)
        for scope in scopes:
            found = self._search(request, zones, [scope])
            if found is not None:
                preempt_holders(
                    self.core, job, found.zone, found.allocations, scope
                )
                return True
        return False

    def _rebind_and_start(
        self, job: Job, request: PlacementRequest, zones: list[Zone]
    ) -> bool:
        """Start a non-preemptible job where unused cells can be rebound."""
        if self.core.now_s < self.next_rebind_s:
            return False
        search_key = ('move', *self._search_key(request, CapacityScope.BORROW))
        version = sum(zone.capacity_version for zone in zones)
        if self.failed_searches.get(search_key) == version:
            return False
        self.search_steps += len(zones)
        any_capacity = request._replace(non_preemptible=False)
        candidates = [
            _Match(zone, allocations)
            for zone in zones
            for allocations in placements_in_zone(
                zone, any_capacity, CapacityScope.BORROW
            )
        ]
        found = self._first_rebound(job, candidates)
        if found is not None:
            self.start(job, found.zone, found.allocations)
        elif (
            job.rebind_tries % (len(KeptBindings) * max(1, len(candidates)))
            == 0
        ):
            self.failed_searches[search_key] = version
        return found is not None

    def _first_rebound(
        self, job: Job, candidates: Sequence[_Candidate]
    ) -> _Candidate | None:
        """Return a candidate from which cells of others were rebound.

        Each call tries one candidate; later calls try the others.
        """
        if not candidates or self.core.now_s < self.next_rebind_s:
            return None
        self.next_rebind_s = self.core.now_s + REBIND_INTERVAL_S
        keep = tuple(KeptBindings)[job.rebind_tries % len(KeptBindings)]
        candidate = candidates[
            job.rebind_tries // len(KeptBindings) % len(candidates)
        ]
        job.rebind_tries += 1
        return (
            candidate
            if self.core.rebind_away(job, candidate.allocations, keep)
            else None
        )

    def _reserve(
        self, job: Job, request: PlacementRequest, zones: list[Zone]
    ) -> None:
        core = self.core
        core.set_wait_reason(job, 'no free capacity')
        if core.now_s - job.submitted_s < RESERVE_AFTER_S or not zones:
            return
        reserved = [
            pending
            for pending in core.claims.values()
            if pending.is_reservation
        ]
        accounts = {
            core.jobs[job_id].account
            for job_id, pending in core.claims.items()
            if pending.is_reservation
        }
        if len(reserved) >= MAX_RESERVATIONS or job.account in accounts:
            return
        self.search_steps += 1
        found = self._reservation(job, request, zones)
        if found is not None:
            claim_capacity(
                core, job, found.zone, found.allocations, found.ready_s
            )
            core.set_wait_reason(
                job, 'capacity is reserved until enough is free'
            )

    def _reservation(
        self, job: Job, request: PlacementRequest, zones: list[Zone]
    ) -> Reservation | None:
        core = self.core
        candidates = find_reservations(
            zones, request, core.now_s, core.expected_end_s
        )
        if candidates or not job.non_preemptible:
            return candidates[0] if candidates else None
        any_capacity = request._replace(non_preemptible=False)
        candidates = find_reservations(
            zones, any_capacity, core.now_s, core.expected_end_s
        )
        return self._first_rebound(job, candidates)

    def start(
        self, job: Job, zone: Zone, allocations: Iterable[Allocation]
    ) -> None:
        """Allocate resources to a queued job and emit its placement."""
        core = self.core
        assert core.topology is not None
        core.unqueue(job)
        core.allocate(job, tuple(allocations))
        job.attempt += 1
        job.phase = Phase.PLACED
        job.started_s = core.now_s
        if zone.ramp_tokens is not None:
            zone.ramp_tokens -= 1
        workers = {allocation.worker.worker for allocation in job.allocations}
        endpoint = core.endpoints.choose(
            core.topology, job.spec.service, zone, workers
        )
        assert endpoint is not None
        core.endpoints.busy[endpoint.endpoint] += 1
        job.placement = Placement(
            zone=zone.zone,
            members=_members(job.allocations),
            endpoint=endpoint.endpoint,
            endpoint_url=endpoint.url,
            platform_url=zone.platform_url,
        )
        core.decisions.append(
            Place(job=job.job, attempt=job.attempt, placement=job.placement)
        )


def _members(allocations: Iterable[Allocation]) -> list[MemberPlacement]:
    return [
        MemberPlacement(
            worker=allocation.worker.worker, accelerators=bit_indexes(mask)
        )
        for allocation in allocations
        for mask in allocation.masks
    ]


def _scopes_for(request: PlacementRequest) -> list[CapacityScope]:
    if request.non_preemptible:
        return [CapacityScope.OWN, CapacityScope.OPEN]
    # Preemptible jobs use free guaranteed cells of other accounts first, which
    # leaves unguaranteed capacity to non-preemptible jobs.
    return [
        CapacityScope.OWN,
        CapacityScope.LEND,
        CapacityScope.OPEN,
        CapacityScope.BORROW,
    ]
