"""HTTP/1.1 client without retries, with limits on size and time."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import h11

from mangotrail.pacing import ByteCounts, Pacer, Purpose

CONNECT_TIMEOUT_S = 3.0
CHUNK_BYTES = 16384
# With a small receive window the sender is slowed to the paced read rate.
PACED_WINDOW_BYTES = 65536
MAX_SMALL_BODY_BYTES = 4 * 1024 * 1024


class HttpFailure(Exception):
    """A request got no complete response.

    :param sent: False only if no byte of the request left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class BodyTooLargeFailure(HttpFailure):
    """A response body exceeds its limit."""


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(kw_only=True)
class _Incoming:
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A request and the limits of its exchange.

    :param reply_purpose: purpose of the response, by default `purpose`.
    :param timeout_s: limit of the whole exchange in seconds.
    :param head_timeout_s: limit in seconds until the response head arrives,
        by default `timeout_s`; detects an unresponsive peer early although a
        transfer may be slow.
    :param max_bytes: largest accepted response body.
    :param pacer: limits the rate at which body bytes are sent and read.
    """

    method: str
    url: str
    purpose: Purpose
    timeout_s: float
    head_timeout_s: float | None = None
    reply_purpose: Purpose | None = None
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    max_bytes: int = MAX_SMALL_BODY_BYTES
    pacer: Pacer | None = None


class HttpClient:
    """Sends each request on a new connection.

    A peer may close a reused connection at any moment, which leaves open
    whether the request was received. With a new one it is always certain
    whether any part of the request was sent.

    :param counts: counts header and body bytes by purpose.
    """

    def __init__(self, *, counts: ByteCounts) -> None:
        self.counts = counts

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Send a request once and return its complete response.

        :raises HttpFailure: if no complete response arrives in time.
        """
        started = asyncio.get_running_loop().time()
        reader, writer = await self._connect(request)
        try:
            async with asyncio.timeout_at(
                started + (request.head_timeout_s or request.timeout_s)
            ) as bound:
                return await self._exchange(
                    request,
                    reader,
                    writer,
                    on_head=lambda: bound.reschedule(
                        started + request.timeout_s
                    ),
                )
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            raise HttpFailure(
                f'{request.method} {request.url}: {_describe(error)}', sent=True
            ) from error
        finally:
            writer.close()

    async def _connect(
        self, request: HttpRequest
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        parts = urlsplit(request.url)
        try:
            async with asyncio.timeout(
                min(CONNECT_TIMEOUT_S, request.timeout_s)
            ):
                return await asyncio.open_connection(
                    sock=await _open_socket(
                        parts.hostname or '',
                        parts.port or 80,
                        paced=request.pacer is not None,
                    ),
                    limit=CHUNK_BYTES,
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise HttpFailure(
                f'{request.method} {request.url}: {_describe(error)}',
                sent=False,
            ) from error

    async def _exchange(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        on_head: Callable[[], None],
    ) -> HttpResponse:
        connection = h11.Connection(h11.CLIENT)
        purpose = request.reply_purpose or request.purpose
        await self._send_request(request, connection, writer)
        incoming = _Incoming()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                received = await reader.read(CHUNK_BYTES)
                self.counts.received[purpose] += len(received)
                if request.pacer is not None:
                    await request.pacer.acquire(len(received))
                connection.receive_data(received)
            elif isinstance(event, h11.Response):
                on_head()
                incoming.status = event.status_code
                incoming.headers = _read_headers(event)
            elif isinstance(event, h11.Data):
                incoming.body += event.data
                if len(incoming.body) > request.max_bytes:
                    raise BodyTooLargeFailure(
                        f'body is over {request.max_bytes} bytes', sent=True
                    )
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(
                    status=incoming.status,
                    headers=incoming.headers,
                    body=bytes(incoming.body),
                )
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError('connection closed before the response')

    async def _send_request(
        self,
        request: HttpRequest,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        parts = urlsplit(request.url)
        target = f'{parts.path or "/"}{"?" if parts.query else ""}{parts.query}'
        head = connection.send(
            h11.Request(
                method=request.method,
                target=target,
                headers=[
                    ('host', parts.netloc),
                    ('connection', 'close'),
                    ('content-length', str(len(request.body))),
                    *request.headers.items(),
                ],
            )
        )
        self.counts.sent[request.purpose] += len(head) + len(request.body)
        writer.write(head)
        for start in range(0, len(request.body), CHUNK_BYTES):
            chunk = request.body[start : start + CHUNK_BYTES]
            if request.pacer is not None:
                await request.pacer.acquire(len(chunk))
            writer.write(connection.send(h11.Data(data=chunk)))
            await writer.drain()
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()


async def _open_socket(host: str, port: int, *, paced: bool) -> socket.socket:
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    client = socket.socket(family, socket.SOCK_STREAM)
    try:
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if paced:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, PACED_WINDOW_BYTES
            )
        await asyncio.get_running_loop().sock_connect(client, (host, port))
    except BaseException:
        client.close()
        raise
    return client


def _read_headers(event: h11.Response) -> dict[str, str]:
    return {
        name.decode('ascii'): value.decode('latin-1')
        for name, value in event.headers
    }


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
