"""Polls the platform of each observed zone and passes on what changed."""

import asyncio

from loguru import logger

from mangotrail._messages import (
    Failure,
    ObserveOrder,
    TaskUsage,
    UsageCall,
    WorkersCall,
    WorkerStatus,
    ZonePlatform,
)
from mangotrail.errors import MangotrailError, PlatformError
from mangotrail.ids import WorkerId
from mangotrail.link import ControlClient
from mangotrail.platform import PlatformClient, WorkersReply, parse_lease

POLL_S = 2.0
CALL_TIMEOUT_S = 5.0


class ZoneObserver:
    """Observes one zone.

    :param zone: the zone and the base URL of its platform.
    :param platform: client of the worker contract.
    :param control: receives the changes.
    """

    def __init__(
        self,
        *,
        zone: ZonePlatform,
        platform: PlatformClient,
        control: ControlClient,
    ) -> None:
        self.zone = zone
        self.platform = platform
        self.control = control
        # None until the control process has acknowledged a full list.
        self.acknowledged: dict[WorkerId, WorkerStatus] | None = None
        self.usage_since_s = 0.0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_S)

    async def poll(self) -> None:
        """Read workers and usage once and pass on what changed."""
        try:
            await self._poll_workers()
            await self._poll_usage()
        except PlatformError as error:
            logger.warning('zone {} not observed: {}', self.zone.zone, error)

    async def _poll_workers(self) -> None:
        reply = await self.platform.workers(self.zone.url)
        listed = _read_workers(reply, self.zone.zone)
        known = self.acknowledged or {}
        changed = [
            status
            for worker, status in listed.items()
            if known.get(worker) != status
        ]
        # A worker that the platform no longer lists is as good as lost.
        changed += [
            WorkerStatus(worker=worker, healthy=False)
            for worker in known.keys() - listed.keys()
            if known[worker].healthy
        ]
        full = self.acknowledged is None
        if not changed and not full:
            return
        call = WorkersCall(zone=self.zone.zone, workers=changed, full=full)
        if await self._forward(call):
            self.acknowledged = {
                **known,
                **{status.worker: status for status in changed},
            }

    async def _poll_usage(self) -> None:
        reply = await self.platform.usage(
            self.zone.url, since_s=self.usage_since_s
        )
        usage = []
        for row in reply.usage:
            parsed = parse_lease(row.lease)
            if parsed is not None:
                usage.append(
                    TaskUsage(
                        job=parsed[0],
                        attempt=parsed[1],
                        measured_s=row.measured_s,
                        cores=row.cores,
                        memory_gb=row.memory_gb,
                        accelerator_share=row.accelerator_share,
                    )
                )
        call = UsageCall(zone=self.zone.zone, usage=usage)
        if not usage or await self._forward(call):
            self.usage_since_s = reply.time_s

    async def _forward(self, call: WorkersCall | UsageCall) -> bool:
        try:
            reply = await self.control.call(call, timeout_s=CALL_TIMEOUT_S)
        except MangotrailError as error:
            logger.debug('zone {} not passed on: {}', self.zone.zone, error)
            return False
        return not isinstance(reply, Failure)


def _read_workers(
    reply: WorkersReply, zone: str
) -> dict[WorkerId, WorkerStatus]:
    return {
        WorkerId(worker.id): WorkerStatus(
            worker=WorkerId(worker.id),
            healthy=worker.healthy,
            used_slots=worker.used_slots,
            used_connections=worker.used_connections,
        )
        for worker in reply.workers
        if worker.zone == zone
    }


class Observers:
    """Observes the zones that the newest order names.

    :param platform: client of the worker contract.
    :param control: receives the changes.
    """

    def __init__(
        self, *, platform: PlatformClient, control: ControlClient
    ) -> None:
        self.platform = platform
        self.control = control
        self.order: ObserveOrder | None = None
        self.tasks: list[asyncio.Task[None]] = []

    def handle(self, order: ObserveOrder) -> None:
        """Observe these zones only, from a full list on.

        A new leader sends another epoch, because it needs the full lists; a
        repeated order changes nothing.
        """
        if order == self.order:
            return
        self.order = order
        self.close()
        for zone in order.zones:
            observer = ZoneObserver(
                zone=zone, platform=self.platform, control=self.control
            )
            self.tasks.append(asyncio.create_task(observer.run()))

    def close(self) -> None:
        """Observe no zone any longer."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
