"""Minimal HTTP/1.1 server and client on asyncio, for small instances.

An HTTP framework would cost each process 12 MB of memory and 0.2 s of start
time, which is too much for the small instances of a deployment. Parsing is
left to httptools, the parser of uvicorn; this module connects it to asyncio.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from http import HTTPStatus
from math import inf

import httptools
from loguru import logger
from msgspec import field

from mangotrail._struct import FrozenStruct
from mangotrail.loop_monitor import LoopMonitor

CONNECT_TIMEOUT_S = 0.5
# A connection idle for longer may have been lost without notice.
MAX_IDLE_S = 5.0
JSON_TYPE = 'application/json'


class RequestOrigin:
    """What is known of the caller of a request.

    :param arrived_s: reading of the process's clock before which the request
        can't have arrived; -inf if it isn't known.
    """

    def __init__(self, arrived_s: float = -inf) -> None:
        self.arrived_s = arrived_s
        # Whether the caller has closed the connection.
        self.is_abandoned = False


class HttpRequest(FrozenStruct, frozen=True, kw_only=True):
    """An HTTP request.

    :param headers: values by lower-case name.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    origin: RequestOrigin = field(default_factory=RequestOrigin)


class HttpResponse(FrozenStruct, frozen=True, kw_only=True):
    """An HTTP response.

    :param retry_after_s: value of the Retry-After header, 0 to omit it.
    :param content_type: type of the body, if there is one.
    """

    status: int
    body: bytes = b''
    retry_after_s: int = 0
    content_type: str = JSON_TYPE


class RequestFailure(Enum):
    """Why a request has no response."""

    # The request may have been processed.
    NO_RESPONSE = 'no_response'
    # The connection was refused, so that the request was not sent.
    REFUSED = 'refused'


# None aborts the connection: the outcome of the request is unknown.
Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


class ServerLimits(FrozenStruct, frozen=True, kw_only=True):
    """Limits on requests and idle connections.

    :param header_s: time without data after which a connection with an
        incomplete request closes.
    :param idle_s: time without a request after which a connection closes.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 30.0


class LeanServer:
    """HTTP server for one address.

    :param handler: handles requests, one at a time on each connection.
    :param limits: limits for new requests; may be replaced while serving.
    :param monitor: tells how old requests may be; None if nobody asks.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        monitor: LoopMonitor | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.monitor = monitor
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None
        self.is_draining = False

    async def open(self, host: str, port: int) -> None:
        """Start listening.

        :raises OSError: if the address is in use.
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=512
        )

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until the requests in progress have been answered."""
        tasks = [
            connection.task
            for connection in self.connections
            if connection.task
        ]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close(self) -> None:
        """Stop listening; close each connection once it is idle."""
        self.drain()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.close_if_idle()


class ServerConnection(asyncio.Protocol):
    """Server side of one connection."""

    def __init__(self, server: LeanServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque[HttpRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        # Origins of the requests that have no response yet.
        self.origins: list[RequestOrigin] = []
        self.origin = RequestOrigin()
        self.reset_request()

    def reset_request(self) -> None:
        """Clear the state of the request being parsed."""
        self.url = b''
        self.headers: dict[str, str] = {}
        self.header_size = 0
        self.body = bytearray()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being handled."""
        return self.task is not None

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being handled."""
        if not self.is_busy and self.transport is not None:
            self.transport.close()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections.add(self)
        self.start_timer(self.server.limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and discard queued requests."""
        for origin in self.origins:
            origin.is_abandoned = True
        self.server.connections.discard(self)
        self.cancel_timer()
        self.requests.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self.cancel_timer()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            logger.warning('Malformed request: {}', error)
            self.reject(HTTPStatus.BAD_REQUEST)
        else:
            if not self.is_busy:
                self.start_timer(self.server.limits.header_s)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note when the request can have arrived at the earliest."""
        monitor = self.server.monitor
        self.origin = (
            RequestOrigin(monitor.earliest_arrival_s())
            if monitor
            else RequestOrigin()
        )
        self.origins.append(self.origin)

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.header_size += len(name) + len(value)
        if self.header_size > self.server.limits.header_bytes:
            raise httptools.HttpParserError('headers are too large')
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        if len(self.body) + len(body) > self.server.limits.body_bytes:
            raise httptools.HttpParserError('the body is too large')
        self.body += body

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        request = HttpRequest(
            method=self.parser.get_method().decode('latin-1'),
            path=self.url.decode('latin-1'),
            headers=self.headers,
            body=bytes(self.body),
            origin=self.origin,
        )
        keep_alive = self.parser.should_keep_alive()
        self.reset_request()
        self.requests.append(request)
        if self.task is None:
            self.task = asyncio.create_task(
                self.serve_queued(keep_alive=keep_alive)
            )

    # Responses.

    async def serve_queued(self, *, keep_alive: bool) -> None:
        """Handle the queued requests in order."""
        try:
            while self.requests and self.transport is not None:
                request = self.requests.popleft()
                response = await self.call_handler(request)
                self.origins.remove(request.origin)
                if response is None or self.transport.is_closing():
                    self.transport.abort()
                    return
                keeps_open = keep_alive and not self.server.is_draining
                self.transport.write(
                    encode_response(response, keep_alive=keeps_open)
                )
                if not keeps_open:
                    self.transport.close()
                    return
        finally:
            self.task = None
        self.start_timer(self.server.limits.idle_s)

    async def call_handler(self, request: HttpRequest) -> HttpResponse | None:
        """Call the handler; log an exception and return None for it."""
        try:
            return await self.server.handler(request)
        except Exception:  # A single request must not end the process.
            logger.exception(
                'Unhandled exception in {} {}', request.method, request.path
            )
            return None

    def reject(self, status: HTTPStatus) -> None:
        """Respond to a malformed request and close the connection."""
        if self.transport is not None and not self.is_busy:
            response = HttpResponse(status=status)
            self.transport.write(encode_response(response, keep_alive=False))
            self.transport.close()

    def start_timer(self, seconds: float) -> None:
        """Close the connection after a time in seconds if it is idle then."""
        self.cancel_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.close_if_idle)

    def cancel_timer(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def encode_response(response: HttpResponse, *, keep_alive: bool) -> bytes:
    """Encode a response."""
    status = HTTPStatus(response.status)
    lines = [f'HTTP/1.1 {status.value} {status.phrase}']
    lines.append(f'Content-Length: {len(response.body)}')
    if response.body:
        lines.append(f'Content-Type: {response.content_type}')
    if response.retry_after_s:
        lines.append(f'Retry-After: {response.retry_after_s}')
    lines.append(f'Connection: {"keep-alive" if keep_alive else "close"}')
    head = '\r\n'.join([*lines, '', '']).encode('latin-1')
    return head + response.body


class LeanClient:
    """HTTP client with a pool of connections to one address.

    :param host: IP address.
    :param headers: headers to send with each request.
    """

    def __init__(
        self, *, host: str, port: int, headers: Mapping[str, str]
    ) -> None:
        self.host = host
        self.port = port
        lines = [f'Host: {host}:{port}']
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        self.common_headers = '\r\n'.join(lines)
        self.idle_connections: list[ClientConnection] = []
        self.is_closed = False

    async def request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse | RequestFailure:
        """Send a request and return the response, or why there is none.

        After NO_RESPONSE the request may have been processed, and its
        connection is not reused.
        """
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._acquire_connection()
                return await connection.exchange(
                    self._encode(method, path, body)
                )
        except (TimeoutError, OSError) as error:
            logger.debug(
                'No response from {}:{} to {}: {!r}',
                self.host,
                self.port,
                path,
                error,
            )
            if connection is None and isinstance(error, ConnectionRefusedError):
                return RequestFailure.REFUSED
            return RequestFailure.NO_RESPONSE
        finally:
            if connection is not None:
                self._release_connection(connection)

    def close(self) -> None:
        """Close all connections."""
        self.is_closed = True
        while self.idle_connections:
            self.idle_connections.pop().close()

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        head = (
            f'{method} {path} HTTP/1.1\r\n{self.common_headers}\r\n'
            f'Content-Type: {JSON_TYPE}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        return head.encode('latin-1') + body

    async def _acquire_connection(self) -> 'ClientConnection':
        now_s = asyncio.get_running_loop().time()
        while self.idle_connections:
            pooled = self.idle_connections.pop()
            if pooled.is_usable and now_s - pooled.last_used_s < MAX_IDLE_S:
                return pooled
            pooled.close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                ClientConnection, self.host, self.port
            )
        return connection

    def _release_connection(self, connection: 'ClientConnection') -> None:
        if self.is_closed or not connection.is_usable:
            connection.close()
            return
        connection.last_used_s = asyncio.get_running_loop().time()
        self.idle_connections.append(connection)


class ClientConnection(asyncio.Protocol):
    """Client side of one connection, with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.body = bytearray()
        self.pending: asyncio.Future[HttpResponse] | None = None
        self.keep_alive = True
        self.last_used_s = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether the connection can take another request."""
        return (
            self.keep_alive
            and self.pending is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def exchange(self, encoded: bytes) -> HttpResponse:
        """Send a request and wait for the response.

        :raises OSError: if the connection closes before the response ends.
        """
        assert self.transport is not None
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.pending = asyncio.get_running_loop().create_future()
        self.transport.write(encoded)
        # A timeout leaves it set, so that the connection is not reused.
        response = await self.pending
        self.pending = None
        return response

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        if self.pending is not None and not self.pending.done():
            self.pending.set_exception(
                exc if isinstance(exc, OSError) else ConnectionResetError()
            )

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.parser is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            logger.warning('Malformed response: {}', error)
            self.close()

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the pending request with its response."""
        parser = self.parser
        if parser is None or self.pending is None or self.pending.done():
            return
        self.keep_alive = bool(parser.should_keep_alive())
        self.parser = None
        self.pending.set_result(
            HttpResponse(status=parser.get_status_code(), body=bytes(self.body))
        )
