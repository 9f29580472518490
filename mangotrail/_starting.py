"""Starts queued jobs."""

from collections.abc import Iterable

from mangotrail._blocks import bits_of
from mangotrail._core import Core
from mangotrail._jobs import Job, Phase
from mangotrail._messages import MemberPlacement, Placement
from mangotrail.events import EndpointStatus, Place
from mangotrail.placement import Reach, Want, place_in_zone, zones_that_hold
from mangotrail.topology import Spot, Zone

# Placement searches in one call of handle(); the rest waits for the next call,
# which bounds the decision time.
MAX_SEARCHES = 24


class Starter:
    """Places the heads of the queues while capacity lasts."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.searches = 0
        # Placement requests that failed since capacity was last freed.
        self.failed: set[tuple[object, ...]] = set()
        self.failed_at = -1

    def run(self) -> None:
        """Place every queued job that fits, best rank first."""
        self.searches = 0
        if self.core.topology is None:
            return
        for job in self.core.shares.in_order(self.core.now_s):
            if self.searches >= MAX_SEARCHES:
                return
            self.try_start(job)

    def try_start(self, job: Job) -> bool:
        """Place one job if it fits now."""
        core = self.core
        assert core.topology is not None
        queue = core.queue_of(job)
        zones = zones_that_hold(core.topology, job.spec.shape)
        usable = [zone for zone in zones if zone.open]
        if not usable:
            names = ', '.join(sorted(zone.zone for zone in zones))
            core.wait(job, f'zone out: {names}')
            return False
        serving = core.endpoints.serving(core.topology, job.spec.service)
        if not serving:
            core.wait(job, f'service {job.spec.service} has no endpoint')
            return False
        if queue.running >= queue.spec.max_running:
            core.wait(job, 'account runs max_running jobs')
            return False
        if self._place(job, self._by_distance(usable, serving)):
            return True
        core.wait(job, 'no free capacity')
        return False

    def _by_distance(
        self, zones: list[Zone], serving: list[EndpointStatus]
    ) -> list[Zone]:
        core = self.core
        assert core.topology is not None
        distance = core.endpoints.zone_distance
        topology = core.topology
        return sorted(
            zones,
            key=lambda zone: (distance(topology, serving, zone), zone.free),
        )

    def _place(self, job: Job, zones: list[Zone]) -> bool:
        if self.failed_at != self.core.freed:
            self.failed.clear()
            self.failed_at = self.core.freed
        memo = (job.account, job.key)
        if memo in self.failed:
            return False
        self.searches += 1
        want = Want(
            job=job.job,
            account=job.account,
            shape=job.spec.shape,
            pinned=job.pinned,
            urgent=job.spec.urgent,
        )
        found = _search(want, zones)
        if found is None:
            self.failed.add(memo)
            return False
        self.start(job, *found)
        return True

    def start(self, job: Job, zone: Zone, spots: Iterable[Spot]) -> None:
        """Give a queued job its placement."""
        core = self.core
        assert core.topology is not None
        core.queue_of(job).remove(job)
        core.hold(job, tuple(spots))
        job.attempt += 1
        job.phase = Phase.PLACED
        job.started_s = core.now_s
        workers = {spot.worker.worker for spot in job.spots}
        endpoint = core.endpoints.choose(
            core.topology, job.spec.service, zone, workers
        )
        assert endpoint is not None
        core.endpoints.busy[endpoint.endpoint] += 1
        job.placement = Placement(
            zone=zone.zone,
            members=[
                MemberPlacement(
                    worker=spot.worker.worker, accelerators=bits_of(mask)
                )
                for spot in job.spots
                for mask in spot.masks
            ],
            endpoint=endpoint.endpoint,
            endpoint_url=endpoint.url,
            platform_url=zone.platform_url,
        )
        core.out.append(
            Place(job=job.job, attempt=job.attempt, placement=job.placement)
        )


def _search(want: Want, zones: list[Zone]) -> tuple[Zone, list[Spot]] | None:
    reaches = [Reach.OWN, Reach.OPEN]
    if not want.pinned:
        reaches.append(Reach.BORROW)
    for reach in reaches:
        for zone in zones:
            spots = place_in_zone(zone, want, reach)
            if spots is not None:
                return zone, spots
    return None
