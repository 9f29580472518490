"""Clocks, replaceable in tests."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of ages and of wall time."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds that only grow and that run on during a freeze."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return CLOCK_BOOTTIME, which also counts time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when told to.

    :param now_s: first reading of both clocks.
    """

    def __init__(self, *, now_s: float = 0) -> None:
        self.now_s = now_s

    def monotonic_s(self) -> float:
        """Return the current reading."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the current reading."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.now_s += seconds
