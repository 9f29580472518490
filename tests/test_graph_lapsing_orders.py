"""Guards against orders that are carried out after newer ones."""

import asyncio

import msgspec
import pytest

from mangotrail._graphs import (
    CallBody,
    CallReply,
    ChangeZone,
    Leave,
    RequestTicket,
    Verdict,
)
from mangotrail.clock import ManualClock
from mangotrail.graphs.control import GraphControl
from mangotrail.graphs.lapsing_orders import MAX_ORDER_AGE_MS, OrderTickets
from mangotrail.ids import InstanceId, WorkerId, ZoneId
from mangotrail.lean_http import RequestOrigin
from tests.test_graph_control import control

__all__ = ('control',)

ZONE = ZoneId('a')
LIMIT_S = MAX_ORDER_AGE_MS / 1000
ORDERS = [
    ChangeZone(zone=ZONE, open=True),
    ChangeZone(zone=ZONE, open=False),
    Leave(worker=WorkerId('w0')),
]


class TestTickets:
    """Tickets, which bound the age of an order."""

    @pytest.mark.parametrize(
        ('waited_s', 'travelled_s', 'valid'),
        [
            (0.0, 0.0, True),
            (0.3, LIMIT_S - 0.31, True),
            (0.3, LIMIT_S - 0.29, False),
            (0.0, 5.0, False),
            (5.0, 0.0, False),
        ],
    )
    def test_age(
        self, *, waited_s: float, travelled_s: float, valid: bool
    ) -> None:
        """The waits before and after the request of a ticket add up."""
        clock = ManualClock(now_s=100)
        tickets = OrderTickets(clock)
        ticket = tickets.with_age(
            tickets.issue(3), RequestOrigin(100 - waited_s), 100
        )
        clock.advance(travelled_s)
        assert tickets.is_valid(ticket, 3) is valid

    def test_other_term(self) -> None:
        """A ticket says nothing on the clock of another leader."""
        tickets = OrderTickets(ManualClock(now_s=100))
        assert not tickets.is_valid(tickets.issue(3), 4)
        assert not tickets.is_valid(None, 3)


class TestTakeOrder:
    """Orders at an instance that leads, or passes them to the leader."""

    @pytest.fixture
    def applied(self, control: GraphControl) -> list[object]:
        """Return the commands that are proposed from now on."""
        commands: list[object] = []
        propose = control.replica.propose

        async def record(body: object, now_ms: int) -> object:
            commands.append(body)
            return await propose(body, now_ms)

        async def leave(worker: WorkerId) -> bool:
            commands.append(worker)
            return True

        control.replica.propose = record
        control.leader.on_leave = leave
        return commands

    @pytest.mark.parametrize('order', ORDERS)
    async def test_in_time(
        self,
        control: GraphControl,
        applied: list[object],
        order: ChangeZone | Leave,
    ) -> None:
        """An order takes effect while its caller waits."""
        reply = await control.take_order(order, RequestOrigin(100))
        assert reply.verdict is Verdict.OK
        assert len(applied) == 1

    @pytest.mark.parametrize('order', ORDERS)
    @pytest.mark.parametrize('how', ['waited', 'unknown', 'closed'])
    async def test_late(
        self,
        control: GraphControl,
        applied: list[object],
        order: ChangeZone | Leave,
        how: str,
    ) -> None:
        """An order of a caller that may be gone has no effect."""
        origin = RequestOrigin({'waited': 93.0, 'closed': 100.0}.get(how, -1e9))
        taking = asyncio.create_task(control.take_order(order, origin))
        await asyncio.sleep(0)
        origin.is_abandoned = how == 'closed'
        assert (await taking).verdict is Verdict.UNDECIDED
        assert not applied

    @pytest.mark.parametrize('order', ORDERS)
    @pytest.mark.parametrize('delay_s', [0.1, 3.0])
    async def test_passed_on(
        self,
        control: GraphControl,
        applied: list[object],
        order: ChangeZone | Leave,
        delay_s: float,
    ) -> None:
        """An order that is held up on its way to the leader has no effect."""
        leader, control.leader = control.leader, None
        clock = control.clock

        async def pass_on(
            target: InstanceId,
            body: CallBody,
            timeout_s: float,
            *,
            forwarded: bool,
        ) -> CallReply:
            if not isinstance(body, RequestTicket):
                clock.advance(delay_s)
            control.leader = leader
            try:
                return await control.handle(body, forwarded=forwarded)
            finally:
                control.leader = None

        control.replica.leader_instance = lambda: InstanceId('10.0.0.9:1')
        control.channels.call = pass_on
        reply = await control.take_order(order, RequestOrigin(100))
        in_time = delay_s < LIMIT_S
        assert (reply.verdict is Verdict.OK) is in_time
        assert len(applied) == in_time

    @pytest.mark.parametrize('order', ORDERS)
    async def test_without_ticket(
        self,
        control: GraphControl,
        applied: list[object],
        order: ChangeZone | Leave,
    ) -> None:
        """An order that an earlier version passed on is asked for again."""
        reply = await control.handle(order, forwarded=True)
        assert reply.verdict is Verdict.UNDECIDED
        assert not applied
        taken = msgspec.structs.replace(
            order, ticket=control.tickets.issue(control.replica.term())
        )
        assert (await control.handle(taken)).verdict is Verdict.OK
