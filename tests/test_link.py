"""Tests of the link with a slow, absent or lost control process."""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager, closing

import pytest

from mangotrail._messages import (
    Accepted,
    ExpireRecords,
    InForce,
    QueryCall,
    View,
)
from mangotrail._settings import Address
from mangotrail.errors import UnavailableError, UndecidedError
from mangotrail.link import ControlLink
from tests.conftest import free_port, make_bundle, until
from tests.fake_control import FakeControl

CALL = QueryCall(view=View.JOBS)
# Longer than a link event takes to arrive, shorter than the handshake timeout.
HANDSHAKE_WAIT_S = 0.5
# Number of links to open; under load one in ten failed on its first call.
LINKS = 20
# Polls without a pause, enough for several seconds.
POLLS = 1_000_000


@pytest.fixture
async def control() -> AsyncIterator[FakeControl]:
    """Return a fake control process."""
    fake = FakeControl()
    yield fake
    fake.close()


@asynccontextmanager
async def connected(
    port: int, orders: list[object] | None = None, *, wait: bool = True
) -> AsyncGenerator[ControlLink, None]:
    """Return a running link."""
    link = ControlLink(
        address=Address(host='127.0.0.1', port=port),
        on_order=[].append if orders is None else orders.append,
    )
    running = asyncio.create_task(link.run())
    if wait:
        await until(link.is_connected)
    try:
        yield link
    finally:
        running.cancel()
        await asyncio.wait((running,))


class TestCalls:
    async def test_reply_reaches_its_call(self, control: FakeControl) -> None:
        async with connected(control.port) as link:
            assert await link.call(CALL, timeout_s=5) == Accepted()

    async def test_absent_control_process_is_not_run(self) -> None:
        """Guards against a queued call that is sent after its failure."""
        async with connected(free_port(), wait=False) as link:
            with pytest.raises(UnavailableError) as caught:
                await link.call(CALL, timeout_s=5)
            assert caught.value.not_run

    async def test_silent_control_process_is_undecided(
        self, control: FakeControl
    ) -> None:
        """Guards against reporting a call that was sent as not run."""
        control.scripts[QueryCall] = lambda _: None
        async with connected(control.port) as link:
            with pytest.raises(UndecidedError) as caught:
                await link.call(CALL, timeout_s=0.05)
            assert not caught.value.not_run
            assert control.calls == [CALL]

    async def test_lost_control_process_ends_the_wait(self) -> None:
        """Guards against waiting for a reply that can no longer arrive."""
        with closing(FakeControl()) as control:
            control.scripts[QueryCall] = lambda _: None
            async with connected(control.port) as link:
                call = asyncio.create_task(link.call(CALL, timeout_s=60))
                await control.wait_for(lambda: bool(control.calls))
                control.close()
                with pytest.raises(UndecidedError):
                    await asyncio.wait_for(call, 20)
                with pytest.raises(UnavailableError):
                    await link.call(CALL, timeout_s=60)
                with closing(FakeControl(port=control.port)):
                    await until(link.is_connected)
                    assert await link.call(CALL, timeout_s=5) == Accepted()


class TestConnection:
    async def test_silent_listener_is_no_connection(self) -> None:
        """Guards against a link that counts as connected but fails every call.

        Nothing can be sent before the handshake has completed. A process that
        accepts the connection and then hangs keeps the link in that state.
        """
        accepted = asyncio.Event()

        def on_connection(_: StreamReader, writer: StreamWriter) -> None:
            accepted.set()
            opened.append(writer)

        opened: list[StreamWriter] = []
        server = await asyncio.start_server(on_connection, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with connected(port, wait=False) as link:
            async with asyncio.timeout(20):
                await accepted.wait()
            await asyncio.sleep(HANDSHAKE_WAIT_S)
            assert not link.is_connected()
        for writer in opened:
            writer.close()
        server.close()

    async def test_first_call_after_connecting(
        self, control: FakeControl
    ) -> None:
        """Guards against failing a call sent right after the connection."""
        for _ in range(LINKS):
            async with connected(control.port, wait=False) as link:
                for _ in range(POLLS):
                    if link.is_connected():
                        break
                    await asyncio.sleep(0)
                assert await link.call(CALL, timeout_s=5) == Accepted()


class TestOrders:
    async def test_frame_of_unknown_form_is_skipped(
        self, control: FakeControl
    ) -> None:
        """Guards against a link that fails on one malformed frame."""
        orders: list[object] = []
        async with connected(control.port, orders) as link:
            await link.call(CALL, timeout_s=5)
            await control.send(ExpireRecords())
            await control.send(InForce(version=3, bundle=make_bundle()))
            await until(lambda: bool(orders))
            assert [type(order) for order in orders] == [InForce]
