"""HTTP paths of callers."""

import asyncio

import msgspec
from blacksheep import Request, Response

from mangotrail._gateway_context import GatewayContext
from mangotrail._http_common import (
    Principal,
    Role,
    convert,
    decode_object,
    json_response,
    make_too_large_error,
    raw_response,
    read_body,
    read_path_parameter,
    read_query_number,
)
from mangotrail._messages import (
    CancelJob,
    JobReply,
    JobSpec,
    JobState,
    JobView,
    ReplyBody,
    SubmitCall,
    WaitCall,
)
from mangotrail._peer_answers import ANSWER_MEDIA_TYPE, PeerAnswers
from mangotrail.errors import (
    ForbiddenError,
    MangotrailError,
    ProtocolError,
    UnavailableError,
)
from mangotrail.ids import AccountId, RequestId
from mangotrail.pacing import Purpose

MAX_WAIT_S = 3600.0
# A short wait for each call finds callers that have gone away meanwhile.
WAIT_SLICE_S = 10.0
CALL_MARGIN_S = 5.0
WAIT_PAUSE_S = 0.25


class CallerHandlers:
    """Serves submit, wait and cancel.

    :param context: parts of the gateway.
    :param peer_answers: finds large answers.
    """

    def __init__(
        self, *, context: GatewayContext, peer_answers: PeerAnswers
    ) -> None:
        self.context = context
        self.peer_answers = peer_answers

    async def submit(self, request: Request) -> Response:
        """Submit a job and wait for it."""
        principal = self.context.authenticator.require(request, Role.ACCOUNT)
        wait_s = read_query_number(
            request, 'wait_s', default=0, maximum=MAX_WAIT_S
        )
        body = await read_body(request, self.context.settings.http)
        job_spec = self._read_spec(body, principal)
        if self.context.status.draining:
            raise UnavailableError(
                'This instance is shutting down.',
                remedy='Send the request to another instance.',
            )
        reply = await self.context.call_control(SubmitCall(job_spec=job_spec))
        view = await self._wait(request, read_view(reply), wait_s)
        return await self._respond(request, view)

    async def read(self, request: Request) -> Response:
        """Return the state of a job, after a wait for its end."""
        account, request_id = self._authorize_job(request)
        wait_s = read_query_number(
            request, 'wait_s', default=0, maximum=MAX_WAIT_S
        )
        if self.context.status.draining:
            # Another instance can wait; the callers here are served first.
            wait_s = 0
        kept = self.context.answers.get((account, request_id))
        if kept is not None and _wants_raw_answer(request):
            return self._answer_response(account, request_id, kept.body)
        reply = await self.context.call_control(
            WaitCall(account=account, request=request_id)
        )
        view = await self._wait(request, read_view(reply), wait_s)
        return await self._respond(request, view)

    async def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        account, request_id = self._authorize_job(request)
        wait_s = read_query_number(
            request, 'wait_s', default=0, maximum=MAX_WAIT_S
        )
        reply = await self.context.call_control(
            CancelJob(account=account, request=request_id)
        )
        if not isinstance(reply, JobReply):
            reply = await self.context.call_control(
                WaitCall(account=account, request=request_id)
            )
        view = await self._wait(request, read_view(reply), wait_s)
        return await self._respond(request, view)

    def _authorize_job(self, request: Request) -> tuple[AccountId, RequestId]:
        principal = self.context.authenticator.require(request, Role.ACCOUNT)
        account = AccountId(read_path_parameter(request, 'account'))
        _require_own_account(principal, account)
        return account, RequestId(read_path_parameter(request, 'request_id'))

    def _read_spec(self, body: bytes, principal: Principal) -> JobSpec:
        document = decode_object(body)
        document.setdefault('account', principal.name)
        job_spec = convert(document, JobSpec)
        _require_own_account(principal, job_spec.account)
        size = len(job_spec.payload.encode())
        limit = self.context.status.max_payload_bytes()
        if size > limit:
            raise make_too_large_error(str(size), limit, field='payload')
        return job_spec

    async def _wait(
        self, request: Request, view: JobView, wait_s: float
    ) -> JobView:
        """Return the newest known view once the job ended or time is up.

        The job is accepted, so a call that fails here is no refusal: the
        caller gets the last known state.
        """
        ends_at_s = self.context.clock.monotonic_s() + wait_s
        closing = self.context.status.closing
        while view.state is not JobState.FINISHED and not closing.is_set():
            left_s = ends_at_s - self.context.clock.monotonic_s()
            if left_s <= 0 or await request.is_disconnected():
                break
            view = await self._wait_slice(view, min(left_s, WAIT_SLICE_S))
        return view

    async def _wait_slice(self, view: JobView, wait_s: float) -> JobView:
        call = WaitCall(
            account=view.account, request=view.request, wait_s=wait_s
        )
        waiting = asyncio.create_task(
            self.context.call_control(call, timeout_s=wait_s + CALL_MARGIN_S)
        )
        closing = asyncio.create_task(self.context.status.closing.wait())
        try:
            await asyncio.wait(
                (waiting, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                return read_view(waiting.result())
        except MangotrailError:
            await asyncio.sleep(min(wait_s, WAIT_PAUSE_S))
        finally:
            waiting.cancel()
            closing.cancel()
        return view

    async def _respond(self, request: Request, view: JobView) -> Response:
        if view.state is not JobState.FINISHED:
            return json_response(view, 202)
        if view.answer is None and view.answer_bytes:
            authorization = request.get_first_header(b'authorization') or b''
            answer = await self.peer_answers.find(view, authorization.decode())
            view = msgspec.structs.replace(view, answer=answer)
        if view.answer is not None and _wants_raw_answer(request):
            return self._answer_response(
                view.account, view.request, view.answer
            )
        self.context.answers.mark_delivered((view.account, view.request))
        return json_response(view)

    def _answer_response(
        self, account: AccountId, request_id: RequestId, answer: bytes
    ) -> Response:
        self.context.answers.mark_delivered((account, request_id))
        self.context.counts.sent[Purpose.PEER_ANSWER] += len(answer)
        return raw_response(answer, content_type=ANSWER_MEDIA_TYPE.encode())


def read_view(reply: ReplyBody) -> JobView:
    """Return the view of a reply.

    :raises ProtocolError: if the reply is of another kind.
    """
    if not isinstance(reply, JobReply):
        raise ProtocolError(f'unexpected reply {type(reply).__name__}')
    return reply.view


def _wants_raw_answer(request: Request) -> bool:
    accept = request.get_first_header(b'accept') or b''
    return accept.decode('latin-1') == ANSWER_MEDIA_TYPE


def _require_own_account(principal: Principal, account: AccountId) -> None:
    if principal.name != account:
        raise ForbiddenError(
            'The credential belongs to another client account.',
            field='account',
            value=account,
            allowed=principal.name,
            remedy='Act on requests of the own account only.',
        )


def is_first_submission(request: Request) -> bool:
    """Return whether a refusal may state that the request did not run.

    An earlier submission of the same id may have run, so a refused retry
    and a refused read or cancel prove nothing.
    """
    retry = request.query.get('retry', ['false'])[0]
    return (
        request.method == 'POST'
        and request.path == '/v1/jobs'
        and retry == 'false'
    )
