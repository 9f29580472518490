"""Tests that a lease is not taken as expired while it may still last."""

from mangotrail.graphs.worker_clock import PREVIOUS_LEASE_MARGIN_MS, WorkerClock

LEASE_MS = 10_000


def clock_at(sent_s: float, received_s: float, reading_ms: int) -> WorkerClock:
    """Return a clock with one recorded reading."""
    clock = WorkerClock(lease_ms=LEASE_MS, term_start_s=0)
    clock.record_reading(reading_ms, sent_s, received_s)
    return clock


class TestWorkerClock:
    """Bounds of a worker's clock, and lease expiry."""

    def test_bounds_hold_the_true_reading(self) -> None:
        """The reading of an exact or 2 % slow clock is within the bounds."""
        clock = clock_at(10.0, 10.5, 50_000)
        for read_s in (10.0, 10.5):
            for rate in (0.98, 1.0):
                true_ms = 50_000 + (20.0 - read_s) * 1000 * rate
                assert clock.min_reading_ms(20.0) <= true_ms + 1e-6
                assert clock.max_reading_ms(20.0) >= true_ms - 1

    def test_silent_from_the_start(self) -> None:
        """A worker that never answered may have an earlier leader's lease."""
        clock = WorkerClock(lease_ms=LEASE_MS, term_start_s=100)
        assert not clock.leases_expired(100 + LEASE_MS / 1000)
        assert clock.leases_expired(
            100 + (LEASE_MS + PREVIOUS_LEASE_MARGIN_MS) / 980
        )

    def test_granted_lease(self) -> None:
        """Leases expire only after the latest end that was granted."""
        clock = clock_at(0.0, 0.0, 0)
        clock.grant_lease(20.0, LEASE_MS)
        assert not clock.leases_expired(30.0)
        assert not clock.leases_expired(30.6)
        assert clock.leases_expired(30.7)

    def test_shorter_grant_does_not_shorten(self) -> None:
        """A later grant with an earlier end does not shorten the lease."""
        clock = clock_at(0.0, 0.0, 0)
        clock.grant_lease(20.0, LEASE_MS)
        clock.grant_lease(20.0, 500)
        assert not clock.leases_expired(30.0)
