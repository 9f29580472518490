"""Guards against late orders that are forgotten or kept for good."""

from mangotrail._graphs import TaskKey
from mangotrail.clock import ManualClock
from mangotrail.graphs.late_orders import LateOrders
from mangotrail.ids import JobId, WorkerId

WORKER = WorkerId('w1')
TASK = TaskKey(job=JobId('job'), occurrence=0, step=0, index=0)


class TestLateOrders:
    """Start orders that got no answer."""

    def test_pending(self) -> None:
        """An order is known for its worker until it can have no effect."""
        clock = ManualClock(now_s=100)
        orders = LateOrders(clock)
        orders.add(WORKER, TASK, 1, 105)
        orders.add(WORKER, TASK, 2, 110)
        assert orders.pending(WORKER) == [(TASK, 1), (TASK, 2)]
        assert not orders.pending(WorkerId('w2'))
        clock.advance(6)
        assert orders.pending(WORKER) == [(TASK, 2)]
        clock.advance(6)
        assert not orders.pending(WORKER)
        assert not orders.expiries_s

    def test_carried_out(self) -> None:
        """An order that was carried out is not stopped on a later life."""
        orders = LateOrders(ManualClock(now_s=100))
        orders.add(WORKER, TASK, 1, 105)
        orders.discard(WORKER, TASK, 1)
        orders.discard(WorkerId('w2'), TASK, 1)
        assert not orders.pending(WORKER)
