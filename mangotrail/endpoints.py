"""Client for the endpoint contract (docs/endpoint.md), and announcements."""

import ipaddress
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256
from urllib.parse import quote, urlsplit

import msgspec

from mangotrail._http_client import (
    BodyTooLargeFailure,
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
)
from mangotrail._messages import AnnounceEndpoint
from mangotrail.clock import Clock
from mangotrail.errors import EndpointError, InvalidInputError
from mangotrail.ids import EndpointId, JobId
from mangotrail.pacing import Pacer, Purpose

CALL_TIMEOUT_S = 5.0
# Beyond the requested wait; an endpoint replies to a PUT without a wait.
HEAD_TIMEOUT_S = 10.0
# Minimum rate assumed for the timeout of a paced transfer.
MIN_TRANSFER_BYTES_PER_S = 50_000
MAX_KNOWN_ENDPOINTS = 10_000


class EndpointState(StrEnum):
    """State of an attempt as its endpoint reports it."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    RUNNING = 'running'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class EndpointRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the PUT that submits a request to an endpoint."""

    payload: str
    account: str
    request: str
    idempotent: bool
    deadline_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class EndpointReply:
    """State of an attempt, with the complete answer once available."""

    state: EndpointState
    body: bytes = b''
    sha256: str = ''


class EndpointCallError(EndpointError):
    """A call to an endpoint got no usable reply.

    :param sent: False only if no byte of the call left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class AnswerTooLargeError(EndpointError):
    """An answer exceeds the limit of the bundle in force."""


class InvalidAnswerError(EndpointError):
    """An answer is damaged or belongs to another job or attempt."""


@dataclass(frozen=True, kw_only=True)
class EndpointAttempt:
    """Address of an attempt at its endpoint, and the limits of its answer."""

    url: str
    job: JobId
    attempt: int
    max_answer_bytes: int
    pacer: Pacer | None = None

    def request_url(self) -> str:
        """Return the URL of the attempt at its endpoint."""
        job = quote(self.job, safe='')
        return f'{self.url.rstrip("/")}/v1/requests/{job}/{self.attempt}'

    def transfer_timeout_s(self) -> float:
        """Return the timeout for a call with the largest allowed answer."""
        return CALL_TIMEOUT_S + self.max_answer_bytes / MIN_TRANSFER_BYTES_PER_S


class EndpointClient:
    """Client for the endpoints of services."""

    def __init__(self, *, http: HttpClient) -> None:
        self.http = http

    async def put(
        self, attempt: EndpointAttempt, request: EndpointRequest
    ) -> EndpointReply:
        """Submit the request.

        :raises EndpointCallError: if there is no usable reply.
        :raises InvalidAnswerError: if the answer fails its checks.
        :raises AnswerTooLargeError: if the answer exceeds its limit.
        """
        return await self._call(
            attempt,
            'PUT',
            attempt.request_url(),
            wait_s=0,
            body=msgspec.json.encode(request),
        )

    async def get(
        self, attempt: EndpointAttempt, *, wait_s: float
    ) -> EndpointReply:
        """Fetch the answer; the endpoint waits up to `wait_s` for it.

        :raises EndpointCallError: if there is no usable reply.
        :raises InvalidAnswerError: if the answer fails its checks.
        :raises AnswerTooLargeError: if the answer exceeds its limit.
        """
        return await self._call(
            attempt,
            'GET',
            f'{attempt.request_url()}?wait_s={wait_s}',
            wait_s=wait_s,
        )

    async def cancel(self, attempt: EndpointAttempt) -> None:
        """Cancel the attempt; the endpoint refuses it from then on.

        :raises EndpointCallError: if there is no usable reply.
        """
        request = HttpRequest(
            method='DELETE',
            url=attempt.request_url(),
            purpose=Purpose.ANSWER,
            timeout_s=CALL_TIMEOUT_S,
        )
        response = await self._send(request)
        if response.status not in {200, 404}:
            raise EndpointCallError(
                f'DELETE {attempt.request_url()}: status {response.status}',
                sent=True,
            )

    async def _call(
        self,
        attempt: EndpointAttempt,
        method: str,
        url: str,
        *,
        wait_s: float,
        body: bytes = b'',
    ) -> EndpointReply:
        request = HttpRequest(
            method=method,
            url=url,
            purpose=Purpose.PAYLOAD if body else Purpose.ANSWER,
            reply_purpose=Purpose.ANSWER,
            timeout_s=wait_s + attempt.transfer_timeout_s(),
            head_timeout_s=wait_s + HEAD_TIMEOUT_S,
            body=body,
            headers={'content-type': 'application/json'} if body else {},
            max_bytes=attempt.max_answer_bytes,
            pacer=attempt.pacer,
        )
        return parse_reply(attempt, await self._send(request))

    async def _send(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self.http.send(request)
        except BodyTooLargeFailure as failure:
            raise AnswerTooLargeError(
                f'the answer is over {request.max_bytes} bytes'
            ) from failure
        except HttpFailure as failure:
            raise EndpointCallError(
                str(failure), sent=failure.sent
            ) from failure


def parse_reply(
    attempt: EndpointAttempt, response: HttpResponse
) -> EndpointReply:
    """Validate a response and return the state of the attempt.

    :raises EndpointCallError: if the contract has no such status.
    :raises InvalidAnswerError: if the answer fails its checks.
    """
    match response.status:
        case 200:
            return _parse_answer(attempt, response)
        case 202:
            return EndpointReply(state=EndpointState.RUNNING)
        case 404:
            return EndpointReply(state=EndpointState.UNKNOWN)
        case 409 | 410 | 503:
            return EndpointReply(
                state=EndpointState.REFUSED, body=response.body
            )
    raise EndpointCallError(
        f'{attempt.request_url()}: status {response.status}', sent=True
    )


def _parse_answer(
    attempt: EndpointAttempt, response: HttpResponse
) -> EndpointReply:
    owner = (
        response.headers.get('mangotrail-job'),
        response.headers.get('mangotrail-attempt'),
    )
    if owner != (quote(attempt.job, safe=''), str(attempt.attempt)):
        raise InvalidAnswerError(
            f'{attempt.request_url()}: the answer belongs to job {owner[0]}'
            f' attempt {owner[1]}'
        )
    digest = sha256(response.body).hexdigest()
    if response.headers.get('mangotrail-sha256') != digest:
        raise InvalidAnswerError(
            f'{attempt.request_url()}: the answer does not have its digest'
        )
    failed = response.headers.get('mangotrail-outcome') == 'failed'
    return EndpointReply(
        state=EndpointState.FAILED if failed else EndpointState.ANSWERED,
        body=response.body,
        sha256=digest,
    )


def check_announcement(announcement: AnnounceEndpoint) -> None:
    """Check the constraints that the schema cannot express.

    :raises InvalidInputError: if the URL is not plain HTTP to an IP address.
    """
    problem = _url_problem(announcement.url)
    if problem:
        raise InvalidInputError(
            f'The url of the endpoint {problem}.',
            field='url',
            value=announcement.url,
            allowed='http://IP:PORT, optionally with a path',
            remedy='Announce the IP address and port the endpoint listens on.',
        )


def _url_problem(url: str) -> str:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError:
        return 'cannot be parsed'
    if parts.scheme != 'http':
        return 'does not use http'
    if parts.username or parts.query or parts.fragment or port is None:
        return 'is not of the allowed form'
    try:
        address = ipaddress.ip_address(parts.hostname or '')
    except ValueError:
        return 'does not name an IP address'
    if address.is_unspecified or address.is_multicast:
        return 'does not name the address of one machine'
    return ''


class HeartbeatRegistry:
    """Endpoints announced at this gateway, and their pending heartbeats.

    The first announcement of an endpoint is forwarded to the control process;
    repeated ones count as heartbeats and are forwarded in batches.

    :param clock: monotonic clock.
    :param max_age_s: seconds without a heartbeat after which an endpoint is
        removed, so that its next announcement is forwarded again.
    """

    def __init__(self, *, clock: Clock, max_age_s: float) -> None:
        self.clock = clock
        self.max_age_s = max_age_s
        self.announcements: dict[EndpointId, AnnounceEndpoint] = {}
        self.last_heartbeat_at_s: dict[EndpointId, float] = {}
        self.pending: dict[str, int] = {}

    def record_heartbeat(self, announcement: AnnounceEndpoint) -> bool:
        """Record a heartbeat; return False if it must be forwarded first."""
        if self.announcements.get(announcement.endpoint) != announcement:
            return False
        self.pending[announcement.endpoint] = announcement.generation
        self.last_heartbeat_at_s[announcement.endpoint] = (
            self.clock.monotonic_s()
        )
        return True

    def register(self, announcement: AnnounceEndpoint) -> None:
        """Register an announcement that the control process accepted."""
        self._remove_expired()
        self.announcements[announcement.endpoint] = announcement
        self.record_heartbeat(announcement)

    def leave(self, endpoint: EndpointId, generation: int) -> None:
        """Remove an endpoint unless it has a newer generation."""
        known = self.announcements.get(endpoint)
        if known is not None and known.generation <= generation:
            self.remove(endpoint)

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint, so that it is forwarded again."""
        self.announcements.pop(endpoint, None)
        self.pending.pop(endpoint, None)
        self.last_heartbeat_at_s.pop(endpoint, None)

    def take_pending(self) -> dict[str, int]:
        """Return and clear the pending heartbeats: generation by endpoint."""
        pending = self.pending
        self.pending = {}
        return pending

    def _remove_expired(self) -> None:
        oldest_s = self.clock.monotonic_s() - self.max_age_s
        for endpoint, heard_at_s in tuple(self.last_heartbeat_at_s.items()):
            if heard_at_s < oldest_s:
                self.remove(endpoint)
        while len(self.announcements) >= MAX_KNOWN_ENDPOINTS:
            self.remove(next(iter(self.announcements)))
