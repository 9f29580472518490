"""Bound on how long received data may have waited in a socket.

A process that stands still reads, when it goes on, what was sent to it long
before. Its own clock shows that it stood still.
"""

import asyncio
from math import inf

from loguru import logger

from mangotrail.clock import Clock

# Interval between two readings of the clock. The age of a request is
# overestimated by that much.
PERIOD_S = 0.2
# A turn of the loop that is late by less is put down to load.
STALL_S = 0.5
# Time for the loop to accept and read, after it stood still, what had arrived
# meanwhile.
SETTLE_S = 0.3


class LoopMonitor:
    """Notes when the event loop of the process last turned.

    :param clock: clock that goes on while the process stands still.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.turned_s = clock.monotonic_s()
        self.stalled_from_s = -inf
        self.settled_s = -inf
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch the running event loop until ``stop``."""
        self.turned_s = self.clock.monotonic_s()
        self._schedule()

    def stop(self) -> None:
        """Stop watching."""
        if self.timer is not None:
            self.timer.cancel()

    def earliest_arrival_s(self) -> float:
        """Return a time before which data read now can't have arrived.

        :return: reading of the clock.
        """
        now_s = self.clock.monotonic_s()
        if now_s - self.turned_s <= STALL_S and now_s < self.settled_s:
            return self.stalled_from_s
        return self.turned_s

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(PERIOD_S, self._turn)

    def _turn(self) -> None:
        now_s = self.clock.monotonic_s()
        stood_s = now_s - self.turned_s
        if stood_s > STALL_S:
            logger.warning('The process stood still for {:.1f} s', stood_s)
            if now_s >= self.settled_s:
                self.stalled_from_s = self.turned_s
            self.settled_s = now_s + SETTLE_S
        self.turned_s = now_s
        self._schedule()
