"""Exchange between an attempt and its endpoint."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from mangotrail._attempt_context import AttemptContext
from mangotrail._messages import AttemptStatus, DispatchOrder
from mangotrail.endpoints import (
    AnswerTooLargeError,
    EndpointAttempt,
    EndpointCallError,
    EndpointReply,
    EndpointRequest,
    EndpointState,
    InvalidAnswerError,
)
from mangotrail.errors import EndpointError

POLL_WAIT_S = 20.0
# Limits the poll rate when an endpoint replies without waiting.
POLL_PAUSE_S = 0.05
MAX_INVALID_ANSWERS = 5


@dataclass(frozen=True, kw_only=True)
class RunResult:
    """Result of a request at its endpoint."""

    status: AttemptStatus
    reason: str = ''
    body: bytes = b''
    sha256: str = ''


class EndpointRun:
    """Submits the payload to the endpoint and waits for the answer.

    :param order: order of the leader to dispatch the attempt.
    :param context: dependencies shared by all attempts.
    """

    def __init__(
        self, *, order: DispatchOrder, context: AttemptContext
    ) -> None:
        self.order = order
        self.context = context
        # Whether the endpoint may have received any part of the payload.
        self.payload_sent = False
        self.invalid_answers = 0

    async def run(self) -> RunResult:
        """Submit the request and return its result.

        Waits without limit as long as the endpoint reports it as running.
        """
        last_reply_at_s = self.context.clock.monotonic_s()
        pauses = iter(self.context.backoff)
        while True:
            try:
                reply = await self._send_or_poll()
            except InvalidAnswerError as error:
                self.invalid_answers += 1
                logger.warning('rejected an answer: {}', error)
                if self.invalid_answers >= MAX_INVALID_ANSWERS:
                    return RunResult(
                        status=AttemptStatus.UNKNOWN, reason=error.message
                    )
                await asyncio.sleep(next(pauses))
                continue
            except AnswerTooLargeError as error:
                return RunResult(
                    status=AttemptStatus.FAILED, reason=error.message
                )
            except EndpointCallError as error:
                silent_s = self.context.clock.monotonic_s() - last_reply_at_s
                if silent_s >= self.context.endpoint_timeout_s:
                    return RunResult(
                        status=AttemptStatus.UNKNOWN,
                        reason=f'endpoint lost: {error}',
                    )
                await asyncio.sleep(next(pauses))
                continue
            last_reply_at_s = self.context.clock.monotonic_s()
            pauses = iter(self.context.backoff)
            if reply.state is not EndpointState.RUNNING:
                return _read_result(reply)
            await asyncio.sleep(POLL_PAUSE_S)

    async def fetch_ready_answer(self) -> RunResult | None:
        """Return the answer if the endpoint has it, without waiting."""
        if not self.payload_sent:
            return None
        try:
            reply = await self.context.endpoints.get(
                self._endpoint_attempt(), wait_s=0
            )
        except EndpointError:
            return None
        if reply.state in {EndpointState.ANSWERED, EndpointState.FAILED}:
            return _read_result(reply)
        return None

    async def cancel(self) -> None:
        """Tell the endpoint that the attempt is over.

        :raises EndpointCallError: if the endpoint gave no usable reply.
        """
        await self.context.endpoints.cancel(self._endpoint_attempt())

    async def _send_or_poll(self) -> EndpointReply:
        if self.payload_sent:
            return await self.context.endpoints.get(
                self._endpoint_attempt(), wait_s=POLL_WAIT_S
            )
        self.payload_sent = True
        try:
            return await self.context.endpoints.put(
                self._endpoint_attempt(), self._make_request()
            )
        except EndpointCallError as error:
            self.payload_sent = error.sent
            raise

    def _endpoint_attempt(self) -> EndpointAttempt:
        placement = self.order.placement
        return EndpointAttempt(
            url=placement.endpoint_url,
            job=self.order.job,
            attempt=self.order.attempt,
            max_answer_bytes=self.context.max_answer_bytes(),
            pacer=self.context.pacer_for(placement.zone),
        )

    def _make_request(self) -> EndpointRequest:
        spec = self.order.job_spec
        return EndpointRequest(
            payload=spec.payload,
            account=spec.account,
            request=spec.request,
            idempotent=spec.idempotent,
            deadline_s=spec.deadline_s,
        )


def _read_result(reply: EndpointReply) -> RunResult:
    match reply.state:
        case EndpointState.ANSWERED:
            status, reason = AttemptStatus.ANSWERED, ''
        case EndpointState.FAILED:
            status, reason = AttemptStatus.FAILED, 'endpoint answered an error'
        case EndpointState.UNKNOWN:
            status, reason = (
                AttemptStatus.UNKNOWN,
                'endpoint does not know the attempt',
            )
        case _:
            status, reason = AttemptStatus.UNKNOWN, 'endpoint refused it'
    answered = status in {AttemptStatus.ANSWERED, AttemptStatus.FAILED}
    return RunResult(
        status=status,
        reason=reason,
        body=reply.body if answered else b'',
        sha256=reply.sha256,
    )
