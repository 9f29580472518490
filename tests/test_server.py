"""Tests of the limits of the HTTP server."""

import asyncio
import json

from tests.conftest import Site, make_document, running_site

HEAD = b'POST /v1/jobs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer acme-token'


async def connect(
    site: Site, first: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and send some bytes."""
    address = site.gateway.own.gateway
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(first)
    return reader, writer


async def read_all(reader: asyncio.StreamReader) -> bytes:
    """Read until the server closes the connection."""
    async with asyncio.timeout(20):
        return await reader.read()


class TestSlowSenders:
    async def test_silent_and_slow_heads_are_closed(self) -> None:
        """Guards against connections that stay open without a request."""
        async with running_site(http={'body_timeout_s': 1}) as site:
            for first in (b'', HEAD):
                reader, writer = await connect(site, first)
                assert await read_all(reader) == b''
                writer.close()

    async def test_slow_head_after_a_request_is_closed(self) -> None:
        """Guards against slow senders on a keep-alive connection."""
        async with running_site(http={'body_timeout_s': 1}) as site:
            request = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
            reader, writer = await connect(site, request)
            await reader.readuntil(b'alive')
            writer.write(b'GET /heal')
            assert b'HTTP/1.1' not in await read_all(reader)
            writer.close()

    async def test_slow_body_is_refused(self) -> None:
        """Guards against waiting for a body without limit."""
        async with running_site(http={'body_timeout_s': 1}) as site:
            head = b'%s\r\ncontent-length: 100\r\n\r\n{' % HEAD
            reader, writer = await connect(site, head)
            response = await read_all(reader)
            error = json.loads(response.partition(b'\r\n\r\n')[2])['error']
            assert (error['field'], error['not_run']) == ('body', True)
            writer.close()

    async def test_waiting_caller_is_not_slow(self) -> None:
        """Guards against closing a connection while its request is handled."""
        async with running_site(http={'body_timeout_s': 1}) as site:
            response = await site.http(
                'POST', '/v1/jobs?wait_s=2.5', make_document()
            )
            assert response.status == 202


class TestConnections:
    async def test_too_many_connections_are_refused(self) -> None:
        """Guards against running out of file descriptors."""
        async with running_site(http={'max_connections': 8}) as site:
            open_connections = [await connect(site, b'') for _ in range(8)]
            reader, writer = await connect(site, b'')
            response = await read_all(reader)
            assert response.startswith(b'HTTP/1.1 503')
            assert b'"not_run":true' in response
            writer.close()
            for _, open_writer in open_connections:
                open_writer.close()

    async def test_callers_leave_room_for_operators(self) -> None:
        """Guards against waiting callers that block operators."""
        async with running_site(http={'max_connections': 8}) as site:
            waiting = [
                asyncio.create_task(
                    site.http(
                        'POST',
                        '/v1/jobs?wait_s=60',
                        make_document(f'r{number}'),
                    )
                )
                for number in range(7)
            ]
            await site.control.wait_for(lambda: len(site.control.views) == 7)
            error = await site.error('POST', '/v1/jobs', make_document('r8'))
            assert (error['status'], error['not_run']) == (503, True)
            assert (await site.http('GET', '/readyz')).status == 200
            site.gateway.status.closing.set()
            await asyncio.gather(*waiting)

    async def test_bytes_that_are_no_http(self, site: Site) -> None:
        """Guards against an error response without a JSON document."""
        reader, writer = await connect(site, b'\x00\x01 nonsense\r\n\r\n')
        response = await read_all(reader)
        assert b'"code":"invalid_input"' in response
        writer.close()
