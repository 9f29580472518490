"""Rate limits of transfers, and counts of transferred bytes by purpose."""

import asyncio
from collections import Counter
from enum import StrEnum

from mangotrail._settings import Settings
from mangotrail.clock import Clock

LINK_BYTES_PER_S = 15_000_000 / 8
# The rest of the link is reserved for the agreement and other control traffic.
DATA_SHARE = 0.6
BURST_BYTES = 65536


class Purpose(StrEnum):
    """Purpose of a transfer."""

    ANSWER = 'answer'
    PAYLOAD = 'payload'
    PEER_ANSWER = 'peer_answer'
    PLATFORM = 'platform'
    OBSERVE = 'observe'


class ByteCounts:
    """Bytes sent and received since the start, by purpose."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()

    def as_document(self) -> dict[str, dict[str, int]]:
        """Return the counts of both directions as a JSON document."""
        return {'sent': dict(self.sent), 'received': dict(self.received)}


class Pacer:
    """Token bucket that limits the total rate of the transfers sharing it.

    :param rate_bytes_s: mean rate in bytes per second.
    :param clock: monotonic clock.
    :param burst_bytes: capacity of the bucket.
    """

    def __init__(
        self,
        *,
        rate_bytes_s: float,
        clock: Clock,
        burst_bytes: int = BURST_BYTES,
    ) -> None:
        self.rate_bytes_s = rate_bytes_s
        self.clock = clock
        self.burst_bytes = burst_bytes
        # Time at which the bucket will be full again.
        self.full_at_s = clock.monotonic_s()

    def reserve(self, size_bytes: int) -> float:
        """Take tokens and return the seconds to wait before using them."""
        now_s = self.clock.monotonic_s()
        start_s = max(self.full_at_s, now_s)
        self.full_at_s = start_s + size_bytes / self.rate_bytes_s
        return max(
            0.0,
            self.full_at_s - now_s - self.burst_bytes / self.rate_bytes_s,
        )

    async def acquire(self, size_bytes: int) -> None:
        """Take tokens and wait until they may be used."""
        delay_s = self.reserve(size_bytes)
        if delay_s > 0:
            await asyncio.sleep(delay_s)


def link_rate_bytes_s(settings: Settings) -> float:
    """Return the data rate allowed to this gateway on its region's link.

    The gateways of a region share the link equally.

    :raises ValueError: if the instance is missing from its own peers.
    """
    own_region = region_of_instance(settings, settings.instance)
    regional_peers = sum(peer.region == own_region for peer in settings.peers)
    if not regional_peers:
        raise ValueError(f'no peer entry for {settings.instance}')
    return LINK_BYTES_PER_S * DATA_SHARE / regional_peers


def region_of_instance(settings: Settings, instance: str) -> str | None:
    """Return the region of an instance, None if it is not a peer."""
    for peer in settings.peers:
        if peer.instance == instance:
            return peer.region
    return None
