"""Starts queued jobs."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple, TypeVar

from mangotrail._blocks import bits_of
from mangotrail._core import Core
from mangotrail._jobs import Job, Phase
from mangotrail._messages import MemberPlacement, Placement
from mangotrail._preemption import (
    claim,
    date_again,
    is_broken,
    is_overtaken,
    is_ready,
    reclaim,
)
from mangotrail._quarantine import release
from mangotrail._reservation import Reservation, reservations
from mangotrail.events import Place
from mangotrail.guarantees import Keep
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
from mangotrail.topology import Spot, Worker, Zone

# Jobs looked at and zones searched in one call of handle(); the rest waits for
# the next call, which bounds the decision time.
MAX_TRIES = 64
# Failed searches that are remembered.
MAX_FAILED = 10000
# Heads of queues that are considered for one probe.
MAX_PROBE_JOBS = 50
# A head of the queue that waited this long reserves capacity. Reserving at
# once would hold capacity back for jobs that start soon anyway.
RESERVE_AFTER_S = 60.0
# Each reservation keeps capacity idle until it is complete.
MAX_RESERVATIONS = 2
# Moving homes takes several milliseconds at the design size.
MOVE_INTERVAL_S = 1.0
# The queues are gone through again this often even if nothing changed,
# because jobs become old enough to reserve capacity.
REVIEW_S = 10.0


class _Found(NamedTuple):
    zone: Zone
    spots: list[Spot]


_Movable = TypeVar('_Movable', _Found, Reservation)


class Starter:
    """Places the heads of the queues while capacity lasts."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.tries = 0
        # Searches that failed, and the state of the zone at that time.
        self.failed: dict[tuple[object, ...], int] = {}
        self.reviewed_at = -1
        # Time from which homes may be moved again.
        self.move_s = float('-inf')
        # Jobs still to be looked at, None if all were.
        self.review: Iterator[Job] | None = None
        self.reviewed_s = float('-inf')
        # Time at which reservations were last dated.
        self.dated_s = float('-inf')

    def run(self) -> None:
        """Place queued jobs that fit, best rank first."""
        core = self.core
        self.tries = 0
        if core.topology is None:
            return
        self._serve_claims()
        fresh, core.fresh = core.fresh, []
        for job in fresh:
            self._try_fresh(job)
        due = core.now_s >= self.reviewed_s + REVIEW_S
        if self.review is None and (due or self.reviewed_at != core.freed):
            self.reviewed_s = core.now_s
            self.reviewed_at = core.freed
            self.review = core.shares.in_order(core.now_s)
            if len(self.failed) > MAX_FAILED:
                self.failed.clear()
        if self.review is not None:
            self._continue(self.review)

    def _try_fresh(self, job: Job) -> None:
        if job.phase is not Phase.QUEUED:
            return
        if self.review is None or job.spec.urgent:
            self.try_start(job)
        else:
            # The review in progress may have passed its rank already.
            self.reviewed_at = -1

    def _continue(self, review: Iterator[Job]) -> None:
        while self.tries < MAX_TRIES:
            job = next(review, None)
            if job is None:
                self.review = None
                return
            self.try_start(job)

    def probe(self) -> None:
        """Try workers in quarantine with one small job each."""
        core = self.core
        for worker_id in core.health.due_probes(core.now_s):
            assert core.topology is not None
            worker = core.topology.workers[worker_id]
            if worker.healthy and worker.zone.open:
                job = self._probe_job(worker)
                if job is not None:
                    core.health.quarantined[worker_id].job = job
                elif core.health.may_parole(worker_id, core.now_s):
                    release(core, worker_id)

    def _probe_job(self, worker: Worker) -> JobId | None:
        core = self.core
        heads = core.shares.in_order(core.now_s)
        for job in islice(heads, MAX_PROBE_JOBS):
            small = job.spec.shape.members == 1 and not job.spec.urgent
            if job.pinned or not small or self._obstacle(job):
                continue
            want = core.want(job)
            fit = fit_on(worker, want, CapacityScope.BORROW)
            if fit is not None and worker.worker not in want.excluded_workers:
                size = job.spec.shape.accelerators
                spot = allocate_on(worker, fit.mask, 1, size)
                self.start(job, worker.zone, [spot])
                return job.job
        return None

    def _serve_claims(self) -> None:
        core = self.core
        due = core.now_s >= self.dated_s + REVIEW_S
        if due:
            self.dated_s = core.now_s
        for job_id, pending in list(core.claims.items()):
            job = core.jobs[job_id]
            if due and pending.guessed:
                date_again(core, job)
            if is_broken(job, pending):
                core.return_claim(job)
            elif (
                is_ready(pending)
                and not is_overtaken(job, pending)
                and not self._obstacle(job)
            ):
                self.start(job, pending.zone, pending.spots)
            elif pending.is_reservation and not self._obstacle(job):
                self._start_elsewhere(job)

    def _start_elsewhere(self, job: Job) -> None:
        """Start a job whose reservation is not complete yet."""
        want = self.core.want(job)
        found = self._search(want, self._zones(job), _reaches(want))
        if found is not None:
            self.start(job, found.zone, found.spots)

    def _obstacle(self, job: Job) -> str:
        """Return why a job cannot start whatever is free, if so."""
        core = self.core
        assert core.topology is not None
        zones = feasible_zones(core.topology, job.spec.shape)
        if not any(zone.open for zone in zones):
            names = ', '.join(sorted(zone.zone for zone in zones))
            return f'zone out: {names}' if names else 'no zone can hold it'
        if not core.endpoints.serving(core.topology, job.spec.service):
            return f'service {job.spec.service} has no endpoint'
        queue = core.queue_of(job)
        if queue.running >= queue.spec.max_running:
            return 'account runs max_running jobs'
        return ''

    def try_start(self, job: Job) -> None:
        """Place one job if it fits now, or find out what it waits for."""
        core = self.core
        self.tries += 1
        obstacle = self._obstacle(job)
        if obstacle:
            core.wait(job, obstacle)
            return
        want = core.want(job)
        zones = self._zones(job)
        found = self._search(want, zones, _reaches(want))
        if found is not None:
            self.start(job, found.zone, found.spots)
        elif not self._reclaim(job, want, zones):
            if not (job.pinned and self._move_homes(job, want, zones)):
                self._reserve(job, want, zones)

    def _zones(self, job: Job) -> list[Zone]:
        """Return the zones that may take the job, closest endpoint first."""
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
        want: PlacementRequest,
        zones: list[Zone],
        reaches: Iterable[CapacityScope],
    ) -> _Found | None:
        for reach in reaches:
            memo = self._memo(want, reach)
            for zone in zones:
                if self.failed.get((zone.zone, *memo)) == zone.freed:
                    continue
                self.tries += 1
                spots = place_in_zone(zone, want, reach)
                if spots is not None:
                    return _Found(zone, spots)
                self.failed[zone.zone, *memo] = zone.freed
        return None

    def _memo(
        self, want: PlacementRequest, reach: CapacityScope
    ) -> tuple[object, ...]:
        """Return what decides whether a search in a zone finds anything."""
        spec = self.core.shares.accounts[want.account].spec
        owner = want.account if spec.guarantees else ''
        length_s = want.expected_end_s - self.core.now_s
        if self.core.last_reservation_s() < want.expected_end_s:
            length_s = float('inf')
        return (
            reach.value,
            owner,
            want.shape.members,
            want.shape.accelerators,
            want.shape.level.value,
            want.non_preemptible,
            want.urgent,
            length_s,
            want.excluded_workers,
        )

    def _reclaim(
        self, job: Job, want: PlacementRequest, zones: list[Zone]
    ) -> bool:
        reaches = []
        if self.core.queue_of(job).spec.guarantees:
            reaches.append(CapacityScope.RECLAIM)
        if want.urgent:
            reaches.append(CapacityScope.DISPLACE)
        for reach in reaches:
            found = self._search(want, zones, [reach])
            if found is not None:
                reclaim(self.core, job, found.zone, found.spots, reach)
                return True
        return False

    def _move_homes(
        self, job: Job, want: PlacementRequest, zones: list[Zone]
    ) -> bool:
        """Start work that must not stop where idle homes can move away."""
        if self.core.now_s < self.move_s:
            return False
        memo = ('move', *self._memo(want, CapacityScope.BORROW))
        state = sum(zone.freed for zone in zones)
        if self.failed.get(memo) == state:
            return False
        self.tries += len(zones)
        loose = want._replace(non_preemptible=False)
        choices = [
            _Found(zone, spots)
            for zone in zones
            for spots in placements_in_zone(zone, loose, CapacityScope.BORROW)
        ]
        found = self._movable(job, choices)
        if found is not None:
            self.start(job, found.zone, found.spots)
        elif job.moves % (len(Keep) * max(1, len(choices))) == 0:
            self.failed[memo] = state
        return found is not None

    def _movable(
        self, job: Job, choices: Sequence[_Movable]
    ) -> _Movable | None:
        """Return a choice from which the homes of other accounts moved.

        One choice is tried in one call of handle(), the next one later.
        """
        if not choices or self.core.now_s < self.move_s:
            return None
        self.move_s = self.core.now_s + MOVE_INTERVAL_S
        keep = tuple(Keep)[job.moves % len(Keep)]
        choice = choices[job.moves // len(Keep) % len(choices)]
        job.moves += 1
        return choice if self.core.make_room(job, choice.spots, keep) else None

    def _reserve(
        self, job: Job, want: PlacementRequest, zones: list[Zone]
    ) -> None:
        core = self.core
        core.wait(job, 'no free capacity')
        if core.now_s - job.submitted_s < RESERVE_AFTER_S or not zones:
            return
        reserved = [one for one in core.claims.values() if one.is_reservation]
        accounts = {
            core.jobs[job_id].account
            for job_id, one in core.claims.items()
            if one.is_reservation
        }
        if len(reserved) >= MAX_RESERVATIONS or job.account in accounts:
            return
        self.tries += 1
        found = self._reservation(job, want, zones)
        if found is not None:
            claim(core, job, found.zone, found.spots, found.ready_s)
            core.wait(job, 'capacity is reserved until enough is free')

    def _reservation(
        self, job: Job, want: PlacementRequest, zones: list[Zone]
    ) -> Reservation | None:
        core = self.core
        choices = reservations(zones, want, core.now_s, core.expected_end_s)
        if choices or not job.pinned:
            return choices[0] if choices else None
        loose = want._replace(non_preemptible=False)
        choices = reservations(zones, loose, core.now_s, core.expected_end_s)
        return self._movable(job, choices)

    def start(self, job: Job, zone: Zone, spots: Iterable[Spot]) -> None:
        """Give a queued job its placement."""
        core = self.core
        assert core.topology is not None
        core.unqueue(job)
        core.hold(job, tuple(spots))
        job.attempt += 1
        job.phase = Phase.PLACED
        job.started_s = core.now_s
        if zone.ramp_left is not None:
            zone.ramp_left -= 1
        workers = {spot.worker.worker for spot in job.spots}
        endpoint = core.endpoints.choose(
            core.topology, job.spec.service, zone, workers
        )
        assert endpoint is not None
        core.endpoints.busy[endpoint.endpoint] += 1
        job.placement = Placement(
            zone=zone.zone,
            members=_members(job.spots),
            endpoint=endpoint.endpoint,
            endpoint_url=endpoint.url,
            platform_url=zone.platform_url,
        )
        core.out.append(
            Place(job=job.job, attempt=job.attempt, placement=job.placement)
        )


def _members(spots: Iterable[Spot]) -> list[MemberPlacement]:
    return [
        MemberPlacement(worker=spot.worker.worker, accelerators=bits_of(mask))
        for spot in spots
        for mask in spot.masks
    ]


def _reaches(want: PlacementRequest) -> list[CapacityScope]:
    if want.non_preemptible:
        return [CapacityScope.OWN, CapacityScope.OPEN]
    # Work that can be preempted borrows first, which leaves the capacity that
    # nobody is guaranteed to work that cannot.
    return [
        CapacityScope.OWN,
        CapacityScope.LEND,
        CapacityScope.OPEN,
        CapacityScope.BORROW,
    ]
