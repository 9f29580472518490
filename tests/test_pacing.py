"""Tests of the rate limits of transfers."""

import pytest

from mangotrail.clock import ManualClock
from mangotrail.pacing import Pacer, link_rate_bytes_s
from tests.conftest import make_settings


class TestPacer:
    def test_transfers_share_one_rate(self) -> None:
        """Guards against a separate rate for each transfer."""
        pacer = Pacer(rate_bytes_s=100, clock=ManualClock(), burst_bytes=50)
        delays = [pacer.reserve(50) for _ in range(4)]
        assert delays == [0, 0.5, 1, 1.5]

    def test_pause_earns_one_burst_only(self) -> None:
        """Guards against an unlimited burst after a long pause."""
        clock = ManualClock()
        pacer = Pacer(rate_bytes_s=100, clock=clock, burst_bytes=50)
        pacer.reserve(50)
        clock.advance(1000)
        assert [pacer.reserve(50) for _ in range(2)] == [0, 0.5]


class TestLinkShare:
    def test_answers_leave_room_for_control(self) -> None:
        """Guards against answers that use the whole link."""
        settings = make_settings(1, 2, 3)
        assert link_rate_bytes_s(settings) == pytest.approx(1_125_000)
