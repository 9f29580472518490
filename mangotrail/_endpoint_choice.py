"""Which endpoint serves a placement."""

from collections import Counter
from collections.abc import Sequence

from mangotrail.events import EndpointStatus
from mangotrail.ids import EndpointId, ServiceId, WorkerId
from mangotrail.topology import Topology, Zone


class EndpointTable:
    """Endpoints that take new work, by service."""

    def __init__(self) -> None:
        self.by_service: dict[ServiceId, list[EndpointStatus]] = {}
        # Attempts in progress at each endpoint; ties go to the least busy.
        self.busy: Counter[EndpointId] = Counter()

    def replace(self, endpoints: Sequence[EndpointStatus]) -> None:
        """Take over the list of all endpoints."""
        self.by_service = {}
        for status in sorted(endpoints, key=lambda one: one.endpoint):
            self.by_service.setdefault(status.service, []).append(status)

    def serving(
        self, topology: Topology, service: ServiceId
    ) -> list[EndpointStatus]:
        """Return the endpoints of a service in zones that take work."""
        return [
            status
            for status in self.by_service.get(service, ())
            if status.zone in topology.zones
            and topology.zones[status.zone].open
        ]

    def choose(
        self,
        topology: Topology,
        service: ServiceId,
        zone: Zone,
        workers: set[WorkerId],
    ) -> EndpointStatus | None:
        """Return the closest endpoint: worker, zone, region, elsewhere."""
        serving = self.serving(topology, service)
        if not serving:
            return None
        return min(
            serving,
            key=lambda status: (
                _distance(topology, status, zone, workers),
                self.busy[status.endpoint],
                status.endpoint,
            ),
        )

    def zone_distance(
        self, topology: Topology, serving: list[EndpointStatus], zone: Zone
    ) -> int:
        """Return the distance of the closest endpoint to a zone."""
        return min(
            _distance(topology, status, zone, set()) for status in serving
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
