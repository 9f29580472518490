"""Guards against leases that are taken for over too early, or forgotten."""

from mangotrail._graphs import RegisterWorker, ResumeLease, SuspendLease
from mangotrail.clock import ManualClock
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.suspended_leases import SuspendedLeases
from tests.graph_fakes import apply, filled_state, worker_spec

LIFE = worker_spec(0).life
SUSPENSION = SuspendLease(life=LIFE, left_ms=8_000)


class TestSuspendedLeases:
    """Ends of the leases of silent workers."""

    def test_over(self) -> None:
        """A lease is over after its time, counted from the command on."""
        clock = ManualClock(now_s=100)
        leases = SuspendedLeases(clock)
        assert not leases.are_over(LIFE)
        leases.observe(SUSPENSION)
        clock.advance(7.9)
        assert not leases.are_over(LIFE)
        clock.advance(0.2)
        assert leases.are_over(LIFE)

    def test_resumed(self) -> None:
        """Leases that are granted again are not over."""
        clock = ManualClock(now_s=100)
        leases = SuspendedLeases(clock)
        leases.observe(SUSPENSION)
        leases.observe(ResumeLease(life=LIFE))
        clock.advance(60)
        assert not leases.are_over(LIFE)

    def test_suspended_twice(self) -> None:
        """A later leader, which knows less, does not lengthen the doubt."""
        clock = ManualClock(now_s=100)
        leases = SuspendedLeases(clock)
        leases.observe(SUSPENSION)
        clock.advance(5)
        leases.observe(SuspendLease(life=LIFE, left_ms=11_000))
        clock.advance(3.1)
        assert leases.are_over(LIFE)

    def test_snapshot(self) -> None:
        """A member that restores a snapshot counts from then on."""
        state = filled_state()
        apply(state, RegisterWorker(worker=worker_spec(0)), SUSPENSION)
        restored = GraphState()
        restored.restore(state.snapshot())
        assert restored.snapshot() == state.snapshot()
        clock = ManualClock(now_s=100)
        leases = SuspendedLeases(clock)
        leases.restore(restored.workers)
        clock.advance(7.9)
        assert not leases.are_over(LIFE)
        clock.advance(0.2)
        assert leases.are_over(LIFE)
