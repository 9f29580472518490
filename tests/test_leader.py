"""Guards when the leader repeats the orders of running gangs."""

from types import SimpleNamespace
from typing import Any, cast

from mangotrail._fleet import Fleet
from mangotrail._leader import Leader
from mangotrail._messages import (
    DispatchOrder,
    GatewayHello,
    GatewayMessage,
    StartJob,
)
from mangotrail._orders import ADOPT_AUDIT_S, ADOPT_REPEAT_S
from mangotrail.clock import ManualClock
from mangotrail.ids import InstanceId
from mangotrail.metrics import NullMetrics
from mangotrail.scheduler import Scheduler
from tests.factories import INSTANCE, make_spec, ready_driver

LEASE_S = 15.0


class RunningGang:
    """A leader of one running gang whose gateway says hello."""

    def __init__(self) -> None:
        driver = ready_driver()
        job = driver.submit(make_spec()).job
        driver.grant(job)
        driver.job(StartJob(job=job, attempt=1))
        self.clock = ManualClock()
        self.orders: list[DispatchOrder] = []
        self.fleet = Fleet(peers=(), endpoint_ttl_s=15, started_s=0, epoch=1)
        self.leader = Leader(
            replica=cast('Any', SimpleNamespace(state=driver.state)),
            policy=Scheduler(),
            fleet=self.fleet,
            send_order=self.record_order,
            clock=self.clock,
            metrics=NullMetrics(),
        )

    def record_order(self, instance: InstanceId, order: GatewayMessage) -> None:
        """Keep the orders of attempts."""
        if isinstance(order, DispatchOrder):
            self.orders.append(order)

    def run(self, seconds: float, *, attempts: int) -> None:
        """Let time pass while the gateway says how many attempts it has."""
        end_s = self.clock.monotonic_s() + seconds
        while self.clock.monotonic_s() < end_s:
            hello = GatewayHello(
                instance=INSTANCE, ready=True, boot='b', attempts=attempts
            )
            self.fleet.record_hello(INSTANCE, hello, self.clock.monotonic_s())
            self.leader.tick()
            self.clock.advance(1)


class TestRepeatedOrders:
    """Orders of gangs that already run."""

    def test_attempt_known(self) -> None:
        """Repeats to a gateway that has the attempt cost bytes for nothing."""
        gang = RunningGang()
        gang.run(1, attempts=0)
        gang.run(ADOPT_AUDIT_S - 2, attempts=1)
        assert len(gang.orders) == 1
        gang.run(4, attempts=1)
        assert len(gang.orders) == 2

    def test_attempt_lost(self) -> None:
        """A lost order must be repeated before the leases of the gang end."""
        gang = RunningGang()
        gang.run(1, attempts=0)
        gang.run(20, attempts=1)
        gang.orders.clear()
        gang.run(LEASE_S / 2, attempts=0)
        assert gang.orders
        gang.run(2 * ADOPT_REPEAT_S, attempts=0)
        assert len(gang.orders) >= 2

    def test_payload(self) -> None:
        """A payload in an order to adopt is never used and may be 64 KiB."""
        gang = RunningGang()
        gang.run(1, attempts=0)
        assert [order.adopt for order in gang.orders] == [True]
        assert not gang.orders[0].job_spec.payload
