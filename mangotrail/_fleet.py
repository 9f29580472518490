"""What the leader hears of gateways and endpoints; lost with the leader."""

from collections.abc import Iterator, Mapping, Sequence

from mangotrail._bundle import ZoneSpec
from mangotrail._messages import (
    EndpointRecord,
    GatewayHello,
    ObserveOrder,
    ZonePlatform,
)
from mangotrail._settings import PeerSettings
from mangotrail._struct import FrozenStruct
from mangotrail.events import EndpointStatus
from mangotrail.ids import EndpointId, InstanceId, RegionId, ZoneId
from mangotrail.state import State

# A gateway says hello each second.
GATEWAY_TIMEOUT_S = 3.0
OBSERVE_REPEAT_S = 5.0


class LastHello(FrozenStruct, frozen=True, kw_only=True):
    """Last hello of a gateway."""

    hello: GatewayHello
    heard_s: float


class Fleet:
    """Which gateways and endpoints are alive.

    :param peers: all instances of the deployment.
    :param endpoint_ttl_s: seconds after which a silent endpoint gets no work.
    :param started_s: age at the start of leadership; endpoints that were
        announced before get one ttl to be heard again.
    :param epoch: number that changes with each leadership.
    """

    def __init__(
        self,
        *,
        peers: Sequence[PeerSettings],
        endpoint_ttl_s: float,
        started_s: float,
        epoch: int,
    ) -> None:
        self.peers = {peer.instance: peer for peer in peers}
        self.endpoint_ttl_s = endpoint_ttl_s
        self.started_s = started_s
        self.epoch = epoch
        self.gateways: dict[InstanceId, LastHello] = {}
        self.heard_s: dict[tuple[EndpointId, int], float] = {}
        self.zones: Mapping[ZoneId, ZoneSpec] = {}
        self.observers: dict[InstanceId, ObserveOrder] = {}
        self.observe_sent_s = 0.0
        self.last_available: tuple[EndpointStatus, ...] = ()

    def record_hello(
        self, instance: InstanceId, hello: GatewayHello, now_s: float
    ) -> bool:
        """Note a hello; return whether the gateway process is a new one."""
        known = self.gateways.get(instance)
        self.gateways[instance] = LastHello(hello=hello, heard_s=now_s)
        return known is not None and known.hello.boot != hello.boot

    def record_heartbeats(
        self, endpoints: Mapping[str, int], now_s: float
    ) -> None:
        """Note heartbeats, given as endpoint to generation."""
        for endpoint, generation in endpoints.items():
            self.heard_s[EndpointId(endpoint), generation] = now_s

    def is_alive(self, instance: InstanceId, now_s: float) -> bool:
        """Tell whether a gateway takes work and was heard recently."""
        seen = self.gateways.get(instance)
        if seen is None:
            return now_s - self.started_s < GATEWAY_TIMEOUT_S
        return seen.hello.ready and now_s - seen.heard_s < GATEWAY_TIMEOUT_S

    def attempts(self, instance: InstanceId) -> int:
        """Return the attempts that a gateway has, as its last hello said."""
        seen = self.gateways.get(instance)
        return 0 if seen is None else seen.hello.attempts

    def dispatcher_for(
        self, zone: ZoneId, origin: InstanceId, now_s: float
    ) -> InstanceId | None:
        """Choose a gateway for work in a zone.

        The caller's own gateway goes first if it is in the region, then one in
        the zone, then one in the region, then any.

        :return: an instance, or None while no gateway is alive.
        """
        region = self._region_of(zone)
        alive = [
            peer
            for peer in self.peers.values()
            if peer.instance in self.gateways
            and self.is_alive(peer.instance, now_s)
        ]

        def preference(peer: PeerSettings) -> tuple[bool, bool, bool, int]:
            attempts = self.gateways[peer.instance].hello.attempts
            return (
                peer.region != region,
                peer.instance != origin,
                peer.zone != zone,
                attempts,
            )

        chosen = min(alive, key=preference, default=None)
        return None if chosen is None else chosen.instance

    def available_endpoints(
        self, state: State, now_s: float
    ) -> tuple[EndpointStatus, ...]:
        """Return the endpoints that take new work."""
        self.last_available = tuple(
            EndpointStatus(
                endpoint=record.endpoint,
                service=record.service,
                zone=record.zone,
                url=record.url,
                worker=record.worker,
            )
            for record in state.endpoints.values()
            if self._takes_work(record, now_s)
        )
        return self.last_available

    def endpoints_changed(self, state: State, now_s: float) -> bool:
        """Tell whether the available endpoints differ from the last ones."""
        last = self.last_available
        changed = self.available_endpoints(state, now_s) != last
        self.last_available = last
        return changed

    def observe_orders(
        self, now_s: float
    ) -> Iterator[tuple[InstanceId, ObserveOrder]]:
        """Yield which gateway polls the workers of which zones."""
        wanted: dict[InstanceId, list[ZonePlatform]] = {}
        for spec in self.zones.values():
            observer = self.dispatcher_for(spec.zone, InstanceId(''), now_s)
            if observer is not None:
                platform = ZonePlatform(zone=spec.zone, url=spec.platform_url)
                wanted.setdefault(observer, []).append(platform)
        repeat = now_s - self.observe_sent_s > OBSERVE_REPEAT_S
        if repeat:
            self.observe_sent_s = now_s
        for instance in self.gateways:
            zones = tuple(wanted.get(instance, ()))
            order = ObserveOrder(epoch=self.epoch, zones=zones)
            if repeat or self.observers.get(instance) != order:
                self.observers[instance] = order
                yield instance, order

    def _takes_work(self, record: EndpointRecord, now_s: float) -> bool:
        if record.left:
            return False
        key = (record.endpoint, record.generation)
        heard_s = self.heard_s.setdefault(key, now_s)
        return now_s - heard_s < self.endpoint_ttl_s

    def _region_of(self, zone: ZoneId) -> RegionId | None:
        spec = self.zones.get(zone)
        return None if spec is None else spec.region
