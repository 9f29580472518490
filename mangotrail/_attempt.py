"""Life cycle of one attempt of a job, from prepare to its final report."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from mangotrail._attempt_context import AttemptContext
from mangotrail._endpoint_run import EndpointRun, RunResult
from mangotrail._gang import Gang, GangBrokenError, NotBegunError
from mangotrail._messages import (
    AttemptReport,
    AttemptStatus,
    DispatchOrder,
    StopOrder,
)
from mangotrail._reports import send_report
from mangotrail.answers import MAX_LOGGED_ANSWER_BYTES
from mangotrail.endpoints import EndpointCallError
from mangotrail.ids import WorkerId
from mangotrail.logs import log_context
from mangotrail.metrics import ATTEMPTS_ADOPTED, ATTEMPTS_STARTED
from mangotrail.renewal import HeldLease

MAX_REASON_LENGTH = 256


class Attempt:
    """Runs one attempt under one lease.

    :param order: order of the leader to dispatch the attempt.
    :param context: dependencies shared by all attempts.
    """

    def __init__(
        self, *, order: DispatchOrder, context: AttemptContext
    ) -> None:
        self.order = order
        self.context = context
        self.gang = Gang(order=order, context=context)
        self.endpoint_run = EndpointRun(order=order, context=context)
        self.began_at_s = context.clock.monotonic_s()
        self.stop_order: StopOrder | None = None
        self.released = False
        self._end_requested = asyncio.Event()
        self._began_report: asyncio.Task[None] | None = None

    def request_stop(self, order: StopOrder) -> None:
        """Request a stop; only the first order takes effect."""
        if self.stop_order is None:
            self.stop_order = order
            self._end_requested.set()

    def release(self) -> None:
        """Leave the attempt to the gateway that adopted it."""
        self.released = True
        self._end_requested.set()

    async def run(self) -> AttemptReport | None:
        """Run the attempt and return its final report, None if released."""
        spec = self.order.job_spec
        with log_context(
            request=spec.request,
            account=spec.account,
            endpoint=self.order.placement.endpoint,
        ):
            report = await self._run()
            ended = 'released' if report is None else report.status.value
            logger.info(
                'attempt {} of {} ended: {}',
                self.order.attempt,
                self.order.job,
                ended,
            )
            return report

    async def _run(self) -> AttemptReport | None:
        work = asyncio.create_task(self._execute())
        try:
            report = await self._supervise(work)
            if report is None:
                return None
            if self._began_report is not None:
                await self._began_report
            await self._send(report)
        finally:
            work.cancel()
            self.gang.release()
            if self._began_report is not None:
                self._began_report.cancel()
        return report

    async def _supervise(
        self, work: asyncio.Task[AttemptReport]
    ) -> AttemptReport | None:
        """Wait for the work to finish, or end it on a stop or release order."""
        end_requested = asyncio.create_task(self._end_requested.wait())
        try:
            await asyncio.wait(
                (work, end_requested), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            end_requested.cancel()
        if not work.done() and self.stop_order is not None:
            await self._checkpoint(work, self.stop_order.checkpoint_s)
        if work.done():
            return await self._result(work)
        work.cancel()
        await asyncio.wait((work,))
        if self.released:
            return None
        return await self._end_stopped()

    async def _result(self, work: asyncio.Task[AttemptReport]) -> AttemptReport:
        error = work.exception()
        if error is None:
            return work.result()
        logger.opt(exception=error).error('attempt {} failed', self.gang.lease)
        return await self._end_broken('fault of the gateway', None)

    async def _checkpoint(
        self, work: asyncio.Task[AttemptReport], timeout_s: float
    ) -> None:
        # Before its begin is reported a gang has no progress to save.
        if timeout_s and self._began_report is not None:
            await self.gang.checkpoint(timeout_s, work)

    async def _execute(self) -> AttemptReport:
        try:
            if self.order.adopt:
                await self._adopt()
                self.context.metrics.count(ATTEMPTS_ADOPTED)
            elif self.context.draining:
                raise NotBegunError('gateway is shutting down')
            else:
                await self.gang.begin()
                self.context.metrics.count(ATTEMPTS_STARTED)
        except NotBegunError as ended:
            await self.gang.stop_once(ended.reason)
            return self._report(
                AttemptStatus.NOTHING_RAN, ended.reason, ended.worker
            )
        except GangBrokenError as broken:
            answer = await self.endpoint_run.fetch_ready_answer()
            if answer is not None:
                return await self._end_answered(answer)
            return await self._end_broken(broken.reason, broken.worker)
        return await self._run_gang(self._on_begun())

    async def _adopt(self) -> None:
        began, state = await self.gang.adopt()
        # The payload is sent only after a begin, so without one it cannot have
        # been sent.
        self.endpoint_run.payload_sent = began
        if state != 'begun':
            # The previous dispatcher may still send its begin. The stop makes
            # the platform refuse it and returns whether any member began.
            raise GangBrokenError(f'lease is {state} at adoption')

    def _on_begun(self) -> HeldLease:
        self.began_at_s = self.context.clock.monotonic_s()
        report = self._report(AttemptStatus.BEGAN, '')
        self._began_report = asyncio.create_task(self._send(report))
        return self.gang.hold()

    async def _run_gang(self, held: HeldLease) -> AttemptReport:
        result = await _run_until_lost(self.endpoint_run.run(), held)
        if result is None:
            result = await self.endpoint_run.fetch_ready_answer()
        if result is None:
            return await self._end_broken(held.reason, held.worker)
        if result.status is AttemptStatus.UNKNOWN:
            return await self._end_broken(result.reason, None)
        return await self._end_answered(result)

    async def _end_answered(self, result: RunResult) -> AttemptReport:
        runtime_s = self.context.clock.monotonic_s() - self.began_at_s
        await self.gang.stop_once('finished')
        inline = len(result.body) <= MAX_LOGGED_ANSWER_BYTES
        if not inline and not self._store_answer(result):
            return self._report(
                AttemptStatus.FAILED, 'answer is over the bytes kept here'
            )
        return AttemptReport(
            job=self.order.job,
            attempt=self.order.attempt,
            status=result.status,
            reason=result.reason[:MAX_REASON_LENGTH],
            answer=result.body if inline else None,
            answer_sha256=result.sha256,
            answer_bytes=len(result.body),
            runtime_s=runtime_s,
        )

    def _store_answer(self, result: RunResult) -> bool:
        spec = self.order.job_spec
        return self.context.answers.put(
            (spec.account, spec.request), result.body, result.sha256
        )

    async def _end_broken(
        self, reason: str, worker: WorkerId | None
    ) -> AttemptReport:
        """Stop the gang and report whether it may have run."""
        if await self._end_gang(reason):
            return self._report(AttemptStatus.UNKNOWN, reason, worker)
        return self._report(AttemptStatus.NOTHING_RAN, reason, worker)

    async def _end_stopped(self) -> AttemptReport:
        reason = self.stop_order.reason if self.stop_order else ''
        if await self._end_gang(reason):
            return self._report(AttemptStatus.STOPPED, reason)
        return self._report(AttemptStatus.NOTHING_RAN, reason)

    async def _end_gang(self, reason: str) -> bool:
        """Return whether any part of the attempt may have run."""
        if self.endpoint_run.payload_sent:
            try:
                await self.endpoint_run.cancel()
            except EndpointCallError as error:
                logger.warning(
                    'could not cancel the attempt at its endpoint: {}', error
                )
        began = await self.gang.end(reason)
        return began or self.endpoint_run.payload_sent

    async def _send(self, report: AttemptReport) -> None:
        await send_report(
            self.context.control, report, backoff=self.context.backoff
        )

    def _report(
        self, status: AttemptStatus, reason: str, worker: WorkerId | None = None
    ) -> AttemptReport:
        return AttemptReport(
            job=self.order.job,
            attempt=self.order.attempt,
            status=status,
            reason=reason[:MAX_REASON_LENGTH],
            worker=worker,
            runtime_s=self.context.clock.monotonic_s() - self.began_at_s,
        )


async def _run_until_lost(
    run: Coroutine[Any, Any, RunResult], held: HeldLease
) -> RunResult | None:
    """Return the result of a run, None if the lease is lost first."""
    running = asyncio.create_task(run)
    lost = asyncio.create_task(held.lost.wait())
    try:
        await asyncio.wait((running, lost), return_when=asyncio.FIRST_COMPLETED)
        return running.result() if running.done() else None
    finally:
        running.cancel()
        lost.cancel()
