"""Link to a control process that is slow, absent or lost."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

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
        control = FakeControl()
        control.scripts[QueryCall] = lambda _: None
        async with connected(control.port) as link:
            call = asyncio.create_task(link.call(CALL, timeout_s=60))
            await control.wait_for(lambda: bool(control.calls))
            control.close()
            with pytest.raises(UndecidedError):
                await asyncio.wait_for(call, 20)
            with pytest.raises(UnavailableError):
                await link.call(CALL, timeout_s=60)
            again = FakeControl(port=control.port)
            await until(link.is_connected)
            assert await link.call(CALL, timeout_s=5) == Accepted()
            again.close()


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
