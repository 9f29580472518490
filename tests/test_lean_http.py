"""Guards against mixed-up responses, stuck connections, unbounded input."""

import asyncio

import pytest

from mangotrail.lean_http import (
    HttpRequest,
    HttpResponse,
    LeanClient,
    LeanServer,
    RequestFailure,
    ServerLimits,
)

HOST = '127.0.0.1'


async def echo(request: HttpRequest) -> HttpResponse | None:
    """Return the body; some paths delay, omit or fail the response."""
    if request.path == '/slow':
        await asyncio.sleep(0.3)
    if request.path == '/none':
        return None
    if request.path == '/fault':
        raise RuntimeError('a fault of the handler')
    return HttpResponse(status=200, body=request.body)


class Harness:
    """A server and a client."""

    def __init__(self) -> None:
        self.server = LeanServer(
            echo, ServerLimits(body_bytes=1000, header_bytes=500, idle_s=0.2)
        )

    async def open(self) -> LeanClient:
        """Start the server and return a client for it."""
        await self.server.open(HOST, 0)
        port = self.server.server.sockets[0].getsockname()[1]
        return LeanClient(host=HOST, port=port, headers={})

    async def raw(self, port: int, sent: bytes) -> bytes:
        """Send bytes and return what is received until the end."""
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(sent)
        async with asyncio.timeout(2):
            received = await reader.read()
        writer.close()
        return received


@pytest.fixture
def harness() -> Harness:
    """Return a harness whose server is not started."""
    return Harness()


class TestClient:
    """Requests of the client."""

    async def test_connection_is_kept(self, harness: Harness) -> None:
        """Guards against a new connection for each request."""
        client = await harness.open()
        for number in range(3):
            answer = await client.request('POST', '/', b'%d' % number, 1)
            assert answer.body == b'%d' % number
        assert len(harness.server.connections) == 1

    async def test_late_answer_is_not_taken_for_the_next(
        self, harness: Harness
    ) -> None:
        """Guards against reusing a connection with an outstanding response."""
        client = await harness.open()
        slow = await client.request('POST', '/slow', b'first', 0.05)
        assert slow is RequestFailure.NO_RESPONSE
        answer = await client.request('POST', '/', b'second', 1)
        assert answer.body == b'second'

    async def test_nothing_listens(self, harness: Harness) -> None:
        """Guards against reporting a refused connection as no response."""
        client = await harness.open()
        harness.server.close()
        await harness.server.server.wait_closed()
        answer = await client.request('POST', '/', b'', 1)
        assert answer is RequestFailure.REFUSED

    @pytest.mark.parametrize('path', ['/none', '/fault'])
    async def test_broken_off(self, harness: Harness, path: str) -> None:
        """Guards against a client that waits for an aborted connection."""
        client = await harness.open()
        answer = await client.request('POST', path, b'', 1)
        assert answer is RequestFailure.NO_RESPONSE
        assert (await client.request('POST', '/', b'x', 1)).body == b'x'


class TestServer:
    """Input from clients."""

    async def test_pipelined(self, harness: Harness) -> None:
        """Guards against responses to pipelined requests out of order."""
        client = await harness.open()
        head = b'POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%s'
        sent = head % (b'slow', b'a') + head % (b'', b'b')
        received = await harness.raw(client.port, sent)
        assert received.index(b'\r\n\r\na') < received.index(b'\r\n\r\nb')

    @pytest.mark.parametrize(
        'sent',
        [
            b'nonsense\r\n\r\n',
            b'GET / HTTP/1.1\r\nx: %s\r\n\r\n' % (b'y' * 600),
            b'POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n%s'
            % (b'z' * 2000),
        ],
    )
    async def test_refused(self, harness: Harness, sent: bytes) -> None:
        """Guards against accepting malformed or too large requests."""
        client = await harness.open()
        received = await harness.raw(client.port, sent)
        assert received.startswith(b'HTTP/1.1 400 ')

    async def test_idle(self, harness: Harness) -> None:
        """Guards against idle connections that stay open."""
        client = await harness.open()
        assert await harness.raw(client.port, b'') == b''

    async def test_closed_while_busy(self, harness: Harness) -> None:
        """A request in progress is answered, then its connection closes.

        The connection used to stay with the handler of the closed server, and
        all later requests on it with that handler, although another server
        listened at the address by then.
        """
        harness.server.limits = ServerLimits(idle_s=30)
        client = await harness.open()
        call = asyncio.create_task(client.request('GET', '/slow', b'x', 2))
        await asyncio.sleep(0.1)
        harness.server.close()
        assert (await call).body == b'x'
        for _ in range(20):
            if not harness.server.connections:
                break
            await asyncio.sleep(0.01)
        assert not harness.server.connections
        assert await client.request('GET', '/', b'', 2) is (
            RequestFailure.REFUSED
        )

    async def test_draining(self, harness: Harness) -> None:
        """Guards against a drain that drops requests or keeps connections."""
        client = await harness.open()
        harness.server.drain()
        sent = b'GET /slow HTTP/1.1\r\nHost: x\r\n\r\n'
        received = await harness.raw(client.port, sent)
        assert received.startswith(b'HTTP/1.1 200 ')
        assert b'Connection: close' in received
