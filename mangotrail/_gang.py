"""The tasks of one attempt at the platform, under one lease."""

import asyncio
from typing import Any

from loguru import logger

from mangotrail._attempt_context import AttemptContext
from mangotrail._messages import ConfirmCall, ConfirmReply, DispatchOrder
from mangotrail._reports import DEFAULT_BACKOFF, Backoff
from mangotrail.errors import MangotrailError, PlatformError
from mangotrail.ids import WorkerId
from mangotrail.platform import GangReply, PlatformClient, lease_name
from mangotrail.renewal import HeldLease

CONFIRM_TRIES = 3
CONFIRM_PAUSE_S = 0.1
# The stop after an answer is waited for this long before the answer goes out.
FINISH_STOP_S = 2.0
CHECKPOINT_POLL_S = 0.25
# An order that a predecessor of this process received is sent again within
# this time, so a later order is new.
RESTART_WINDOW_S = 60.0


class GangError(Exception):
    """The gang cannot run.

    :param reason: what happened.
    :param worker: worker at fault, if there is one.
    """

    def __init__(self, reason: str, worker: WorkerId | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.worker = worker


class NotBegunError(GangError):
    """The attempt ends before this process sent any begin."""


class GangBrokenError(GangError):
    """A begin may have been sent, and the gang must not run any longer."""


class Gang:
    """Prepares, begins and ends the members of one attempt.

    :param order: the order of the leader.
    :param context: what all attempts share.
    """

    def __init__(
        self, *, order: DispatchOrder, context: AttemptContext
    ) -> None:
        self.order = order
        self.context = context
        self.lease = lease_name(order.job, order.attempt)
        self.url = order.placement.platform_url
        self.held_from_s = context.clock.monotonic_s()

    async def prepare(self) -> GangReply:
        """Hold the resources of all members.

        :raises NotBegunError: if the resources are not held.
        :raises GangBrokenError: if a predecessor of this process may have
            begun the gang.
        """
        self.held_from_s = self.context.clock.monotonic_s()
        try:
            reply = await self.context.platform.prepare(
                self.lease,
                job=self.order.job,
                placement=self.order.placement,
                ttl_s=self.context.lease_s,
            )
        except PlatformError as error:
            age_s = self.context.clock.monotonic_s() - self.context.started_at_s
            if age_s < RESTART_WINDOW_S:
                raise GangBrokenError(f'prepare failed: {error}') from error
            raise NotBegunError(f'prepare failed: {error}') from error
        refused = _first_refusal(reply, self.order)
        if refused is not None:
            # The stop that follows shows whether the lease had begun before.
            raise GangBrokenError(f'prepare refused: {refused[1]}', refused[0])
        return reply

    async def begin(self) -> None:
        """Prepare, confirm and begin all members.

        :raises NotBegunError: if no begin was sent.
        :raises GangBrokenError: if not every member began.
        """
        prepared = await self.prepare()
        begin_by_s = await self._confirm(
            prepared, prepared_at_s=self.context.clock.monotonic_s()
        )
        try:
            reply = await self.context.platform.begin(
                self.url, self.lease, begin_by_s=begin_by_s
            )
        except PlatformError as error:
            await self._verify_begun(str(error))
            return
        refused = _first_refusal(reply, self.order)
        if refused is not None:
            raise GangBrokenError(f'begin refused: {refused[1]}', refused[0])

    async def adopt(self) -> tuple[bool, str]:
        """Return whether any member began, and the state of the lease."""
        for pause_s in self.context.backoff:
            try:
                state = await self.context.platform.lease(self.url, self.lease)
            except PlatformError as error:
                logger.warning('lease {} not read: {}', self.lease, error)
                await asyncio.sleep(pause_s)
            else:
                break
        return any(member.began for member in state.members), state.state

    def hold(self) -> HeldLease:
        """Renew the lease from now on."""
        return self.context.lease_renewer.hold(
            self.url,
            self.lease,
            renewed_at_s=self.held_from_s,
            at_once=self.order.adopt,
        )

    def release(self) -> None:
        """Renew the lease no longer."""
        self.context.lease_renewer.release(self.url, self.lease)

    async def end(self, reason: str) -> bool:
        """Stop all members and return whether any has begun at any time."""
        self.release()
        return await stop_gang(
            self.context.platform,
            self.url,
            self.lease,
            reason=reason,
            backoff=self.context.backoff,
        )

    async def stop_once(self, reason: str) -> None:
        """Stop all members with one try.

        Where no proof is needed, an unrenewed lease ends by itself.
        """
        self.release()
        try:
            await self.context.platform.stop(
                self.url, self.lease, reason=reason, timeout_s=FINISH_STOP_S
            )
        except PlatformError as error:
            logger.warning('lease {} left to expire: {}', self.lease, error)

    async def checkpoint(
        self, timeout_s: float, ended: asyncio.Future[Any]
    ) -> None:
        """Let all members save their progress.

        :param timeout_s: bound in seconds.
        :param ended: ends the wait earlier.
        """
        deadline_s = self.context.clock.monotonic_s() + timeout_s
        try:
            await self.context.platform.checkpoint(
                self.url, self.lease, deadline_s=timeout_s
            )
        except PlatformError as error:
            logger.warning('checkpoint of {} failed: {}', self.lease, error)
        while (
            self.context.clock.monotonic_s() < deadline_s and not ended.done()
        ):
            if await self._is_checkpointed():
                return
            await asyncio.wait((ended,), timeout=CHECKPOINT_POLL_S)

    async def _confirm(
        self, prepared: GangReply, *, prepared_at_s: float
    ) -> float:
        """Return the latest begin on the platform's clock.

        :raises NotBegunError: if there is no fresh confirmation.
        """
        reason = ''
        for _ in range(CONFIRM_TRIES):
            if self.context.draining:
                raise NotBegunError('gateway is shutting down')
            asked_at_s = self.context.clock.monotonic_s()
            reason = await self._ask_leader()
            age_s = self.context.clock.monotonic_s() - asked_at_s
            if reason:
                await asyncio.sleep(CONFIRM_PAUSE_S)
            elif age_s < self.context.confirm_s:
                # The platform's clock had passed its reading when the reply
                # to prepare arrived, so this bound is never later than the
                # question plus its validity.
                return (
                    prepared.time_s
                    + (asked_at_s - prepared_at_s)
                    + self.context.confirm_s
                )
            else:
                reason = f'confirmation is {age_s:.1f} s old'
        raise NotBegunError(f'not confirmed: {reason}')

    async def _ask_leader(self) -> str:
        """Return why there is no confirmation, empty if there is one.

        :raises NotBegunError: if the leader refuses.
        """
        try:
            reply = await self.context.control.call(
                ConfirmCall(job=self.order.job, attempt=self.order.attempt),
                timeout_s=self.context.confirm_s,
            )
        except MangotrailError as error:
            return error.message
        if not isinstance(reply, ConfirmReply):
            return getattr(reply, 'message', '') or 'unexpected reply'
        if not reply.granted:
            raise NotBegunError(f'not confirmed: {reply.reason}')
        return ''

    async def _verify_begun(self, problem: str) -> None:
        """Find out whether the gang began although the reply was lost.

        :raises GangBrokenError: if not every member runs.
        """
        try:
            state = await self.context.platform.lease(self.url, self.lease)
        except PlatformError as error:
            raise GangBrokenError(f'begin failed: {problem}') from error
        running = {member.worker for member in state.members if member.running}
        expected = {member.worker for member in self.order.placement.members}
        if state.state != 'begun' or running != expected:
            raise GangBrokenError(f'begin failed: {problem}')

    async def _is_checkpointed(self) -> bool:
        try:
            state = await self.context.platform.lease(self.url, self.lease)
        except PlatformError:
            return False
        return all(
            member.checkpointed or not member.running
            for member in state.members
        )


async def stop_gang(
    platform: PlatformClient,
    url: str,
    lease: str,
    *,
    reason: str,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> bool:
    """Stop a gang until the platform confirms that its lease is gone.

    :return: whether any member has begun at any time.
    """
    began = False
    for pause_s in backoff:
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
) -> tuple[WorkerId | None, str] | None:
    """Return the first worker that refused, with its reason."""
    for result in reply.results:
        if not result.ok:
            return result.worker, result.reason or 'no reason given'
    expected = sorted(member.worker for member in order.placement.members)
    if sorted(result.worker for result in reply.results) != expected:
        return None, 'the reply does not name every member'
    return None
