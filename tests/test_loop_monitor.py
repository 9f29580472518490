"""Guards against old requests that are taken for new ones after a pause."""

import asyncio
import time

from mangotrail.clock import SystemClock
from mangotrail.loop_monitor import PERIOD_S, SETTLE_S, LoopMonitor


class TestLoopMonitor:
    """Bounds on the arrival of data."""

    async def test_running(self) -> None:
        """While the loop turns, the bound is about one period old."""
        clock = SystemClock()
        monitor = LoopMonitor(clock)
        monitor.start()
        await asyncio.sleep(3 * PERIOD_S)
        age_s = clock.monotonic_s() - monitor.earliest_arrival_s()
        monitor.stop()
        assert 0 <= age_s < 2 * PERIOD_S

    async def test_stall(self) -> None:
        """After a pause the bound lies before it until the loop has settled."""
        clock = SystemClock()
        monitor = LoopMonitor(clock)
        monitor.start()
        await asyncio.sleep(PERIOD_S)
        stalled_s = clock.monotonic_s()
        time.sleep(0.8)  # noqa: ASYNC251
        assert monitor.earliest_arrival_s() <= stalled_s
        await asyncio.sleep(SETTLE_S / 2)
        assert monitor.earliest_arrival_s() <= stalled_s
        await asyncio.sleep(SETTLE_S + PERIOD_S)
        assert monitor.earliest_arrival_s() > stalled_s + 0.8
        monitor.stop()
