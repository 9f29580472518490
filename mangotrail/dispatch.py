"""Attempts that this gateway runs, one task for each."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from mangotrail._attempt import Attempt
from mangotrail._attempt_context import AttemptContext
from mangotrail._gang import stop_gang
from mangotrail._messages import (
    AttemptReport,
    AttemptStatus,
    DispatchOrder,
    GatewayMessage,
    ReleaseOrder,
    StopOrder,
    ThrottleOrder,
)
from mangotrail._reports import send_report
from mangotrail.endpoints import EndpointAttempt
from mangotrail.errors import EndpointError, PlatformError
from mangotrail.ids import JobId
from mangotrail.platform import lease_name

# At most 16 KiB of answer in each, so at most 8 MiB together.
MAX_CACHED_REPORTS = 512
THROTTLE_TRIES = 3

AttemptKey = tuple[JobId, int]


class Dispatcher:
    """Takes the orders of the leader that concern attempts.

    :param context: what every attempt uses.
    """

    def __init__(self, *, context: AttemptContext) -> None:
        self.context = context
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.reports: OrderedDict[AttemptKey, AttemptReport] = OrderedDict()
        self.orphan_stops: set[AttemptKey] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, order: GatewayMessage) -> None:
        """Act on an order; other messages are ignored."""
        match order:
            case DispatchOrder():
                self._dispatch(order)
            case StopOrder():
                self._stop(order)
            case ThrottleOrder():
                self._spawn(self._throttle(order))
            case ReleaseOrder():
                attempt = self.attempts.get((order.job, order.attempt))
                if attempt is not None:
                    attempt.release()

    def drain(self) -> None:
        """Begin nothing any longer; begun attempts go on until released."""
        self.context.draining = True

    async def close(self) -> None:
        """End all tasks of this gateway without stopping any gang."""
        self.context.lease_renewer.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _dispatch(self, order: DispatchOrder) -> None:
        key = (order.job, order.attempt)
        if key in self.attempts:
            return
        earlier = self.reports.get(key)
        if earlier is not None:
            # The order was sent again because the report was not heard.
            self._spawn(send_report(self.context.control, earlier))
            return
        attempt = Attempt(order=order, context=self.context)
        self.attempts[key] = attempt
        self.idle.clear()
        self._spawn(self._run_attempt(key, attempt.run))

    def _stop(self, order: StopOrder) -> None:
        key = (order.job, order.attempt)
        attempt = self.attempts.get(key)
        if attempt is not None:
            attempt.request_stop(order)
        elif key in self.reports:
            self._spawn(send_report(self.context.control, self.reports[key]))
        elif key not in self.orphan_stops:
            self.orphan_stops.add(key)
            self._spawn(self._stop_orphan(key, order))

    async def _run_attempt(
        self,
        key: AttemptKey,
        run: Callable[[], Coroutine[Any, Any, AttemptReport | None]],
    ) -> None:
        try:
            report = await run()
        finally:
            self.attempts.pop(key, None)
            if not self.attempts:
                self.idle.set()
        if report is not None:
            self.reports[key] = report
            while len(self.reports) > MAX_CACHED_REPORTS:
                self.reports.popitem(last=False)

    async def _stop_orphan(self, key: AttemptKey, order: StopOrder) -> None:
        """Stop an attempt whose dispatcher is lost."""
        placement = order.placement
        target = EndpointAttempt(
            url=placement.endpoint_url,
            job=order.job,
            attempt=order.attempt,
            max_answer_bytes=0,
        )
        try:
            await self.context.endpoints.cancel(target)
        except EndpointError as error:
            logger.warning('endpoint not told of the end: {}', error)
        await stop_gang(
            self.context.platform,
            placement.platform_url,
            lease_name(order.job, order.attempt),
            reason=order.reason,
            backoff=self.context.backoff,
        )
        report = AttemptReport(
            job=order.job,
            attempt=order.attempt,
            status=AttemptStatus.STOPPED,
            reason=order.reason,
        )
        await send_report(
            self.context.control, report, backoff=self.context.backoff
        )
        self.orphan_stops.discard(key)

    async def _throttle(self, order: ThrottleOrder) -> None:
        lease = lease_name(order.job, order.attempt)
        for _ in range(THROTTLE_TRIES):
            try:
                await self.context.platform.throttle(
                    order.placement.platform_url, lease, share=order.share
                )
            except PlatformError as error:
                logger.warning('throttle of {} failed: {}', lease, error)
                await asyncio.sleep(self.context.backoff.first_s)
            else:
                return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error('dispatch task failed')
