"""Renewal of leases, one call for each zone and period."""

import asyncio
from dataclasses import dataclass, field

from loguru import logger

from mangotrail.clock import Clock
from mangotrail.errors import PlatformError
from mangotrail.ids import WorkerId
from mangotrail.metrics import RENEWALS_FAILED, Metrics, NullMetrics
from mangotrail.platform import LeaseResult, PlatformClient

# A failed renewal is repeated well before the lease ends.
RETRY_S = 1.0


@dataclass(kw_only=True)
class HeldLease:
    """A lease that is renewed until it is released or lost.

    :param renewed_at_s: age of the clock before the last successful renewal.
    """

    lease: str
    renewed_at_s: float
    lost: asyncio.Event = field(default_factory=asyncio.Event)
    reason: str = ''
    worker: WorkerId | None = None

    def mark_lost(self, reason: str, worker: WorkerId | None = None) -> None:
        """Record that the gang has stopped."""
        self.reason = reason
        self.worker = worker
        self.lost.set()


class LeaseRenewer:
    """Renews all held leases of a zone together.

    :param platform: client of the worker contract.
    :param clock: source of ages.
    :param lease_s: life of a lease after a renewal in seconds.
    :param renew_s: period of the renewals in seconds.
    :param metrics: counts leases that could not be renewed.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        clock: Clock,
        lease_s: float,
        renew_s: float,
        metrics: Metrics | None = None,
    ) -> None:
        self.metrics = metrics or NullMetrics()
        self.platform = platform
        self.clock = clock
        self.lease_s = lease_s
        self.renew_s = renew_s
        self.held: dict[str, dict[str, HeldLease]] = {}
        self.zone_tasks: dict[str, asyncio.Task[None]] = {}
        self.immediate_renewals: set[asyncio.Task[bool]] = set()

    def hold(
        self,
        url: str,
        lease: str,
        *,
        renewed_at_s: float,
        at_once: bool = False,
    ) -> HeldLease:
        """Renew a lease from now on.

        :param url: base URL of the platform of the zone.
        :param renewed_at_s: age of the clock before the lease was granted.
        :param at_once: whether to renew it before the next period, because
            its earlier holder may have renewed it long ago.
        """
        held = HeldLease(lease=lease, renewed_at_s=renewed_at_s)
        if at_once:
            self._renew_now(url, held)
        self.held.setdefault(url, {})[lease] = held
        if url not in self.zone_tasks:
            self.zone_tasks[url] = asyncio.create_task(self._renew_zone(url))
        return held

    def release(self, url: str, lease: str) -> None:
        """Renew a lease no longer."""
        leases = self.held.get(url, {})
        leases.pop(lease, None)
        if not leases and url in self.zone_tasks:
            self.zone_tasks.pop(url).cancel()

    def _renew_now(self, url: str, held: HeldLease) -> None:
        task = asyncio.create_task(self.renew(url, (held,)))
        self.immediate_renewals.add(task)
        task.add_done_callback(self.immediate_renewals.discard)

    def close(self) -> None:
        """Renew nothing any longer."""
        for task in (*self.zone_tasks.values(), *self.immediate_renewals):
            task.cancel()
        self.zone_tasks.clear()

    async def _renew_zone(self, url: str) -> None:
        while True:
            renewed = await self.renew(url, tuple(self.held[url].values()))
            period_s = self.renew_s if renewed else min(RETRY_S, self.renew_s)
            await asyncio.sleep(period_s)

    async def renew(self, url: str, leases: tuple[HeldLease, ...]) -> bool:
        """Renew leases of one zone and return whether the platform replied."""
        asked_at_s = self.clock.monotonic_s()
        try:
            reply = await self.platform.renew(
                url, [held.lease for held in leases], ttl_s=self.lease_s
            )
        except PlatformError as error:
            logger.warning('leases not renewed: {}', error)
            self._mark_expired_lost(leases)
            return False
        by_lease = {result.lease: result for result in reply.results}
        for held in leases:
            self._apply_result(held, by_lease.get(held.lease), asked_at_s)
        return True

    def _apply_result(
        self, held: HeldLease, result: LeaseResult | None, asked_at_s: float
    ) -> None:
        if result is None:
            self._mark_expired_lost((held,))
        elif result.ok:
            held.renewed_at_s = asked_at_s
        else:
            self.metrics.count(RENEWALS_FAILED)
            held.mark_lost(result.reason or 'lease ended', result.worker)

    def _mark_expired_lost(self, leases: tuple[HeldLease, ...]) -> None:
        now_s = self.clock.monotonic_s()
        for held in leases:
            if now_s - held.renewed_at_s >= self.lease_s:
                self.metrics.count(RENEWALS_FAILED)
                held.mark_lost('lease could not be renewed')
