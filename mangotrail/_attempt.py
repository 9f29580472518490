"""One attempt of a job, from prepare to its last report."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from loguru import logger

from mangotrail._endpoint_run import EndpointRun, RunResult
from mangotrail._messages import (
    AttemptReport,
    AttemptStatus,
    ConfirmCall,
    ConfirmReply,
    DispatchOrder,
    StopOrder,
)
from mangotrail._reports import DEFAULT_PAUSES, Pauses, send_report
from mangotrail.answers import MAX_LOGGED_ANSWER_BYTES, AnswerStore
from mangotrail.clock import Clock
from mangotrail.endpoints import EndpointCallError, EndpointClient
from mangotrail.errors import MangotrailError, PlatformError
from mangotrail.ids import ZoneId
from mangotrail.link import ControlCalls
from mangotrail.pacing import Pacer
from mangotrail.platform import GangReply, PlatformClient, lease_name
from mangotrail.renewal import HeldLease, Renewals

CONFIRM_TRIES = 3
CONFIRM_PAUSE_S = 0.1
# The stop after an answer is waited for this long before the answer goes out.
FINISH_STOP_S = 2.0
CHECKPOINT_POLL_S = 0.25

ValueT = TypeVar('ValueT')


@dataclass(kw_only=True)
class AttemptTools:
    """What the attempts of one gateway share.

    :param confirm_s: age in seconds at which a confirmation is void.
    :param lease_s: life of a lease in seconds.
    :param endpoint_lost_s: seconds without any reply of an endpoint after
        which its attempt is given up.
    :param max_answer_bytes: reads the limit of the bundle in force.
    :param pacer_for: reads the pacer of transfers from a zone, None within
        the region.
    :param draining: whether the gateway is shutting down.
    """

    clock: Clock
    control: ControlCalls
    platform: PlatformClient
    endpoints: EndpointClient
    answers: AnswerStore
    renewals: Renewals
    confirm_s: float
    lease_s: float
    endpoint_lost_s: float
    max_answer_bytes: Callable[[], int]
    pacer_for: Callable[[ZoneId], Pacer | None]
    pauses: Pauses = field(default_factory=Pauses)
    draining: bool = False


class NothingRanError(Exception):
    """The attempt ended before any begin was sent."""

    def __init__(self, reason: str, worker: str | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.worker = worker


class GangBrokenError(Exception):
    """A begin was sent, and the gang must not run any longer."""

    def __init__(self, reason: str, worker: str | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.worker = worker


class Attempt:
    """Runs one attempt under one lease.

    :param order: the order of the leader.
    :param tools: what all attempts share.
    """

    def __init__(self, *, order: DispatchOrder, tools: AttemptTools) -> None:
        self.order = order
        self.tools = tools
        self.lease = lease_name(order.job, order.attempt)
        self.url = order.placement.platform_url
        self.begin_sent = order.adopt
        self.began_at_s = tools.clock.age_s()
        self.stop_order: StopOrder | None = None
        self._ended = asyncio.Event()
        self._released = False
        self._began_report: asyncio.Task[None] | None = None
        self._endpoint_run = EndpointRun(order=order, tools=tools)

    def request_stop(self, order: StopOrder) -> None:
        """Stop the attempt; the first order decides."""
        if self.stop_order is None:
            self.stop_order = order
            self._ended.set()

    def release(self) -> None:
        """Leave the attempt to the gateway that adopted it."""
        self._released = True
        self._ended.set()

    async def run(self) -> AttemptReport | None:
        """Run the attempt and return its last report, None if released."""
        work = asyncio.create_task(self._work())
        try:
            report = await self._supervise(work)
        finally:
            work.cancel()
            self.tools.renewals.release(self.url, self.lease)
            if self._began_report is not None and self._released:
                self._began_report.cancel()
        if report is None:
            return None
        if self._began_report is not None:
            await self._began_report
        await send_report(self.tools.control, report, pauses=self.tools.pauses)
        return report

    async def _supervise(
        self, work: asyncio.Task[AttemptReport]
    ) -> AttemptReport | None:
        ended = asyncio.create_task(self._ended.wait())
        try:
            await asyncio.wait(
                (work, ended), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            if self._released:
                return None
            await self._checkpoint(work)
            if work.done():
                return work.result()
        finally:
            ended.cancel()
        work.cancel()
        await asyncio.wait((work,))
        return await self._end_stopped()

    async def _work(self) -> AttemptReport:
        try:
            if self.order.adopt:
                held = await self._adopt()
            else:
                await self._prepare()
                held = await self._begin()
        except NothingRanError as ended:
            await self._stop_once()
            return self._report(
                AttemptStatus.NOTHING_RAN, ended.reason, ended.worker
            )
        except GangBrokenError as broken:
            answer = await self._endpoint_run.last_answer()
            if answer is not None:
                return await self._end_answered(answer)
            return await self._end_broken(broken.reason, broken.worker)
        return await self._run_gang(held)

    async def _prepare(self) -> None:
        if self.tools.draining:
            raise NothingRanError('gateway is shutting down')
        try:
            self.prepared = await self.tools.platform.prepare(
                self.lease,
                job=self.order.job,
                placement=self.order.placement,
                ttl_s=self.tools.lease_s,
            )
        except PlatformError as error:
            raise NothingRanError(f'prepare failed: {error}') from error
        self.prepared_at_s = self.tools.clock.age_s()
        refused = _first_refusal(self.prepared, self.order)
        if refused is not None:
            raise NothingRanError(f'prepare refused: {refused[1]}', refused[0])

    async def _begin(self) -> HeldLease:
        begin_by_s = await self._confirm()
        self.begin_sent = True
        try:
            reply = await self.tools.platform.begin(
                self.url, self.lease, begin_by_s=begin_by_s
            )
        except PlatformError as error:
            await self._check_begun(str(error))
        else:
            refused = _first_refusal(reply, self.order)
            if refused is not None:
                raise GangBrokenError(
                    f'begin refused: {refused[1]}', refused[0]
                )
        return self._hold()

    async def _confirm(self) -> float:
        """Return the latest begin on the platform's clock.

        :raises NothingRanError: if there is no fresh confirmation.
        """
        reason = ''
        for _ in range(CONFIRM_TRIES):
            if self.tools.draining:
                raise NothingRanError('gateway is shutting down')
            asked_at_s = self.tools.clock.age_s()
            try:
                reply = await self.tools.control.call(
                    ConfirmCall(job=self.order.job, attempt=self.order.attempt),
                    timeout_s=self.tools.confirm_s,
                )
            except MangotrailError as error:
                reason = str(error)
                await asyncio.sleep(CONFIRM_PAUSE_S)
                continue
            if not isinstance(reply, ConfirmReply):
                reason = getattr(reply, 'message', 'unexpected reply')
                await asyncio.sleep(CONFIRM_PAUSE_S)
                continue
            if not reply.granted:
                raise NothingRanError(f'not confirmed: {reply.reason}')
            # The platform's clock had passed its reading when the reply to
            # prepare arrived, so this bound is never later than the question
            # plus its validity.
            begin_by_s = (
                self.prepared.time_s
                + (asked_at_s - self.prepared_at_s)
                + self.tools.confirm_s
            )
            if self.tools.clock.age_s() - asked_at_s < self.tools.confirm_s:
                return begin_by_s
            reason = 'confirmation came too late'
        raise NothingRanError(f'not confirmed: {reason}')

    async def _check_begun(self, problem: str) -> None:
        """Find out whether the gang began although the reply was lost."""
        try:
            state = await self.tools.platform.lease(self.url, self.lease)
        except PlatformError as error:
            raise GangBrokenError(f'begin failed: {problem}') from error
        running = {member.worker for member in state.members if member.running}
        expected = {member.worker for member in self.order.placement.members}
        if state.state != 'begun' or running != expected:
            raise GangBrokenError(f'begin failed: {problem}')

    async def _adopt(self) -> HeldLease:
        for pause_s in self.tools.pauses:
            try:
                state = await self.tools.platform.lease(self.url, self.lease)
            except PlatformError as error:
                logger.warning('lease of {} not read: {}', self.lease, error)
                await asyncio.sleep(pause_s)
            else:
                break
        if state.state != 'begun':
            self._endpoint_run.payload_sent = any(
                member.began for member in state.members
            )
            # The earlier dispatcher may still send its begin: the stop makes
            # the platform refuse it, and shows whether a member began.
            raise GangBrokenError(f'lease is {state.state} at adoption')
        self._endpoint_run.payload_sent = True
        return self._hold()

    def _hold(self) -> HeldLease:
        self.began_at_s = self.tools.clock.age_s()
        began = send_report(
            self.tools.control,
            self._report(AttemptStatus.BEGAN, ''),
            pauses=self.tools.pauses,
        )
        self._began_report = asyncio.create_task(began)
        return self.tools.renewals.hold(self.url, self.lease)

    async def _run_gang(self, held: HeldLease) -> AttemptReport:
        result = await _first(self._endpoint_run.run(), held.lost.wait())
        if not isinstance(result, RunResult):
            result = await self._endpoint_run.last_answer()
            if result is None:
                return await self._end_broken(held.reason, held.worker)
        if result.status is AttemptStatus.UNKNOWN:
            return await self._end_broken(result.reason, None)
        return await self._end_answered(result)

    async def _end_answered(self, result: RunResult) -> AttemptReport:
        runtime_s = self.tools.clock.age_s() - self.began_at_s
        await self._stop_once()
        return self._answer_report(result, runtime_s)

    async def _end_broken(
        self, reason: str, worker: str | None
    ) -> AttemptReport:
        """Stop what is left of the gang and report what is proved."""
        began = await self._end_all(reason)
        if began or self._endpoint_run.payload_sent:
            return self._report(AttemptStatus.UNKNOWN, reason, worker)
        return self._report(AttemptStatus.NOTHING_RAN, reason, worker)

    async def _end_stopped(self) -> AttemptReport:
        reason = self.stop_order.reason if self.stop_order else ''
        began = await self._end_all(reason)
        if not self.begin_sent or not (
            began or self._endpoint_run.payload_sent
        ):
            return self._report(AttemptStatus.NOTHING_RAN, reason)
        return self._report(AttemptStatus.STOPPED, reason)

    async def _end_all(self, reason: str) -> bool:
        self.tools.renewals.release(self.url, self.lease)
        if self._endpoint_run.payload_sent:
            try:
                await self._endpoint_run.cancel()
            except EndpointCallError as error:
                logger.warning('endpoint not told of the end: {}', error)
        return await end_gang(
            self.tools.platform,
            self.url,
            self.lease,
            reason=reason,
            pauses=self.tools.pauses,
        )

    async def _stop_once(self) -> None:
        # An unrenewed lease ends by itself, so one try is enough here.
        self.tools.renewals.release(self.url, self.lease)
        try:
            await self.tools.platform.stop(
                self.url,
                self.lease,
                reason='finished',
                timeout_s=FINISH_STOP_S,
            )
        except PlatformError as error:
            logger.warning('lease {} left to expire: {}', self.lease, error)

    async def _checkpoint(self, work: asyncio.Task[AttemptReport]) -> None:
        """Wait for checkpoints, at most for the time the order gives."""
        given_s = self.stop_order.checkpoint_s if self.stop_order else 0
        if not given_s or not self.begin_sent:
            return
        deadline_s = self.tools.clock.age_s() + given_s
        try:
            await self.tools.platform.checkpoint(
                self.url, self.lease, deadline_s=given_s
            )
        except PlatformError as error:
            logger.warning('checkpoint of {} failed: {}', self.lease, error)
        while self.tools.clock.age_s() < deadline_s and not work.done():
            if await self._is_checkpointed():
                return
            await asyncio.wait((work,), timeout=CHECKPOINT_POLL_S)

    async def _is_checkpointed(self) -> bool:
        try:
            state = await self.tools.platform.lease(self.url, self.lease)
        except PlatformError:
            return False
        return all(
            member.checkpointed or not member.running
            for member in state.members
        )

    def _report(
        self, status: AttemptStatus, reason: str, worker: str | None = None
    ) -> AttemptReport:
        return AttemptReport(
            job=self.order.job,
            attempt=self.order.attempt,
            status=status,
            reason=reason[:256],
            worker=worker,
            runtime_s=self.tools.clock.age_s() - self.began_at_s,
        )

    def _answer_report(
        self, result: RunResult, runtime_s: float
    ) -> AttemptReport:
        inline = len(result.body) <= MAX_LOGGED_ANSWER_BYTES
        if not inline:
            spec = self.order.job_spec
            self.tools.answers.put(
                (spec.account, spec.request), result.body, result.sha256
            )
        return AttemptReport(
            job=self.order.job,
            attempt=self.order.attempt,
            status=result.status,
            reason=result.reason[:256],
            answer=result.body if inline else None,
            answer_sha256=result.sha256,
            answer_bytes=len(result.body),
            runtime_s=runtime_s,
        )


async def end_gang(
    platform: PlatformClient,
    url: str,
    lease: str,
    *,
    reason: str,
    pauses: Pauses = DEFAULT_PAUSES,
) -> bool:
    """Stop a gang until the platform confirms that its lease is gone.

    :return: whether any member has begun at any time.
    """
    began = False
    for pause_s in pauses:
        try:
            reply = await platform.stop(url, lease, reason=reason)
        except PlatformError as error:
            logger.warning('stop of {} repeated: {}', lease, error)
        else:
            began = began or any(result.began for result in reply.results)
            if all(result.ok for result in reply.results):
                break
        await asyncio.sleep(pause_s)
    return began


def _first_refusal(
    reply: GangReply, order: DispatchOrder
) -> tuple[str | None, str] | None:
    """Return the first worker that refused, with its reason."""
    for result in reply.results:
        if not result.ok:
            return result.worker, result.reason or 'no reason given'
    expected = sorted(member.worker for member in order.placement.members)
    if sorted(result.worker for result in reply.results) != expected:
        return None, 'the reply does not name every member'
    return None


async def _first(
    *works: Coroutine[Any, Any, ValueT],
) -> ValueT:
    """Return the result of the first work that ends and cancel the rest."""
    tasks = [asyncio.create_task(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
    for task in tasks:
        if task in done:
            return task.result()
    raise AssertionError('no task ended')
