"""HTTP server of the gateway, with limits on connections and time."""

import asyncio
import time
from collections.abc import Generator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any

import h11
import msgspec
from blacksheep import Application
from uvicorn import Config, Server
from uvicorn.protocols.http.h11_impl import H11Protocol

from mangotrail._http_common import failure_document
from mangotrail._messages import Failure
from mangotrail._settings import Address, HttpSettings
from mangotrail.errors import InvalidInputError, UnavailableError
from mangotrail.metrics import (
    REQUEST_ERRORS,
    REQUEST_TIME,
    REQUESTS,
    Metrics,
    NullMetrics,
)

KEEP_ALIVE_S = 30
# One eighth of the connections is reserved for operators, endpoints and health
# checks, so that many waiting callers cannot lock them out.
RESERVED_DIVISOR = 8
CALLER_PREFIX = '/v1/jobs'


class BoundedProtocol(H11Protocol):
    """Limits the number of connections and the time for a request head."""

    head_timeout_s = 10.0
    max_connections = 512

    head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Accept a connection, or close it if there are too many."""
        super().connection_made(transport)
        if len(self.connections) > self.max_connections:
            transport.write(_too_many_connections_response())
            transport.close()
            return
        self._start_head_timer()

    def data_received(self, data: bytes) -> None:
        """Parse received data; time the head while it is incomplete."""
        super().data_received(data)
        if self._is_head_incomplete():
            self._start_head_timer()
        else:
            self._cancel_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the head timer of a closed connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        """Reject data that is not a valid HTTP request."""
        failure = InvalidInputError(
            msg, field='request', allowed='HTTP/1.1', remedy='Correct it.'
        ).to_failure()
        self.transport.write(_raw_response(failure, 'Bad Request'))
        self.transport.close()

    def _is_head_incomplete(self) -> bool:
        return (
            self.conn.their_state is h11.IDLE
            and self.conn.trailing_data[0] != b''
        )

    def _start_head_timer(self) -> None:
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(
                self.head_timeout_s, self._on_head_timeout
            )

    def _cancel_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        if self.conn.their_state is h11.IDLE:
            self.transport.close()


def _too_many_connections_response() -> bytes:
    failure = UnavailableError(
        'This instance has too many connections.',
        remedy='Send the request to another instance.',
    ).to_failure()
    return _raw_response(failure, 'Service Unavailable')


def _raw_response(failure: Failure, phrase: str) -> bytes:
    body = msgspec.json.encode(failure_document(failure))
    head = (
        f'HTTP/1.1 {failure.status} {phrase}\r\n'
        f'content-type: application/json\r\n'
        f'content-length: {len(body)}\r\nconnection: close\r\n\r\n'
    )
    return head.encode() + body


class BoundedApp:
    """ASGI application that limits and counts the requests of callers.

    :param app: application that serves the accepted requests.
    :param max_requests: limit on the requests of all clients together; those
        of callers are limited to seven eighths of it.
    :param metrics: records the requests of callers.
    """

    def __init__(
        self,
        *,
        app: Application,
        max_requests: int,
        metrics: Metrics | None = None,
    ) -> None:
        self.app = app
        self.metrics = metrics or NullMetrics()
        self.max_callers = max_requests - max_requests // RESERVED_DIVISOR
        self.callers = 0
        self.no_callers = asyncio.Event()
        self.no_callers.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        is_caller = scope['type'] == 'http' and scope['path'].startswith(
            CALLER_PREFIX
        )
        if not is_caller:
            await self.app(scope, receive, send)
        elif self.callers >= self.max_callers:
            await _send_refusal(send)
        else:
            await self._serve_caller(scope, receive, send)

    async def _serve_caller(self, scope: Any, receive: Any, send: Any) -> None:
        self.callers += 1
        self.no_callers.clear()
        started_s = time.monotonic()

        async def observe(message: Any) -> None:
            if message['type'] == 'http.response.start':
                self._record_metrics(message['status'], started_s)
            await send(message)

        try:
            await self.app(scope, receive, observe)
        finally:
            self.callers -= 1
            if not self.callers:
                self.no_callers.set()

    def _record_metrics(self, status: int, started_s: float) -> None:
        self.metrics.count(REQUESTS)
        self.metrics.time(REQUEST_TIME, time.monotonic() - started_s)
        if status >= HTTPStatus.BAD_REQUEST:
            self.metrics.count(REQUEST_ERRORS, label=str(status))


async def _send_refusal(send: Any) -> None:
    failure = UnavailableError(
        'This instance serves too many callers.',
        remedy='Send the request to another instance.',
    ).to_failure()
    body = msgspec.json.encode(failure_document(failure))
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send({
        'type': 'http.response.start',
        'status': failure.status,
        'headers': headers,
    })
    await send({'type': 'http.response.body', 'body': body})


class GatewayServer(Server):
    """Server that leaves signal handling to its owner."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers; the owner drains before it stops."""
        yield


def make_server(
    app: BoundedApp, *, address: Address, bounds: HttpSettings
) -> GatewayServer:
    """Return a server for the application without starting it."""

    class Protocol(BoundedProtocol):
        head_timeout_s = bounds.body_timeout_s
        max_connections = bounds.max_connections

    config = Config(
        app,
        host=address.host,
        port=address.port,
        loop='asyncio',
        http=Protocol,
        ws='none',
        lifespan='on',
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=bounds.drain_timeout_s,
    )
    return GatewayServer(config)
