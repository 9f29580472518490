"""Link to a control process that is slow, absent or lost."""

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
# Longer than an event of the link takes to arrive, shorter than the link waits
# for a handshake.
HANDSHAKE_WAIT_S = 0.5
# Links opened one after the other; one in ten failed under load.
LINKS = 20
# Looks at a link without a pause, several seconds of them.
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
        """Guards against a call that waits in a queue and runs later."""
        async with connected(free_port(), wait=False) as link:
            with pytest.raises(UnavailableError) as caught:
                await link.call(CALL, timeout_s=5)
            assert caught.value.not_run

    async def test_silent_control_process_is_undecided(
        self, control: FakeControl
    ) -> None:
        """Guards against a "not run" for a call that was handed over."""
        control.scripts[QueryCall] = lambda _: None
        async with connected(control.port) as link:
            with pytest.raises(UndecidedError) as caught:
                await link.call(CALL, timeout_s=0.05)
            assert not caught.value.not_run
            assert control.calls == [CALL]

    async def test_lost_control_process_ends_the_wait(self) -> None:
        """Guards against callers that wait for a reply that cannot come."""
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
        """Guards against a link that counts as up and refuses every call.

        Between the connection and the handshake of both sides nothing can be
        sent; a process that stands still may keep a link there.
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
        """Guards against a refusal of the call that is sent at once."""
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
        """Guards against a link that ends on one bad frame."""
        orders: list[object] = []
        async with connected(control.port, orders) as link:
            await link.call(CALL, timeout_s=5)
            await control.send(ExpireRecords())
            await control.send(InForce(version=3, bundle=make_bundle()))
            await until(lambda: bool(orders))
            assert [type(order) for order in orders] == [InForce]
