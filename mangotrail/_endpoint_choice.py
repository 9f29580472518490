"""Which endpoint serves a placement."""

from collections import Counter
from collections.abc import Sequence

from mangotrail.events import EndpointStatus
from mangotrail.ids import EndpointId, ServiceId, WorkerId, ZoneId
from mangotrail.topology import Topology, Zone


class EndpointTable:
    """Endpoints that take new work, by service."""

    def __init__(self) -> None:
        self.by_service: dict[ServiceId, list[EndpointStatus]] = {}
        # Attempts in progress at each endpoint; ties go to the least busy.
        self.busy: Counter[EndpointId] = Counter()
        # Derived from endpoints and open zones, see invalidate().
        self.available_by_service: dict[ServiceId, list[EndpointStatus]] = {}
        self.distances_by_service: dict[ServiceId, dict[ZoneId, int]] = {}

    def replace(self, endpoints: Sequence[EndpointStatus]) -> None:
        """Take over the list of all endpoints."""
        self.by_service = {}
        for status in sorted(endpoints, key=lambda one: one.endpoint):
            self.by_service.setdefault(status.service, []).append(status)
        self.invalidate()

    def invalidate(self) -> None:
        """Forget what was derived, after a zone changed."""
        self.available_by_service.clear()
        self.distances_by_service.clear()

    def release(self, endpoint: EndpointId) -> None:
        """Count one attempt less at an endpoint."""
        self.busy[endpoint] -= 1
        if not self.busy[endpoint]:
            del self.busy[endpoint]

    def available(
        self, topology: Topology, service: ServiceId
    ) -> list[EndpointStatus]:
        """Return the endpoints of a service in zones that take work."""
        if service not in self.available_by_service:
            self.available_by_service[service] = [
                status
                for status in self.by_service.get(service, ())
                if status.zone in topology.zones
                and topology.zones[status.zone].open
            ]
        return self.available_by_service[service]

    def distances(
        self, topology: Topology, service: ServiceId
    ) -> dict[ZoneId, int]:
        """Return how far each zone is from the closest endpoint."""
        if service not in self.distances_by_service:
            available = self.available(topology, service)
            self.distances_by_service[service] = {
                zone.zone: min(
                    _distance(topology, status, zone, set())
                    for status in available
                )
                for zone in topology.zones.values()
            }
        return self.distances_by_service[service]

    def choose(
        self,
        topology: Topology,
        service: ServiceId,
        zone: Zone,
        workers: set[WorkerId],
    ) -> EndpointStatus | None:
        """Return the closest endpoint: worker, zone, region, elsewhere."""
        available = self.available(topology, service)
        if not available:
            return None
        return min(
            available,
            key=lambda status: (
                _distance(topology, status, zone, workers),
                self.busy[status.endpoint],
                status.endpoint,
            ),
        )


def _distance(
    topology: Topology,
    status: EndpointStatus,
    zone: Zone,
    workers: set[WorkerId],
) -> int:
    if status.zone == zone.zone:
        return 0 if status.worker in workers else 1
    region = topology.zones[status.zone].region
    return 2 if region == zone.region else 3
