"""Orders that lapse when their caller may have stopped waiting.

An order to close or reopen a zone, and the notice that a worker leaves, carry
neither a version nor a time. A caller without an answer sends the order
elsewhere and may then send the opposite one, so that a copy that is carried out
late undoes a newer order. The ticket bounds the age of an order on the clock of
the leader alone, however long the order was held up on its way there.
"""

from math import ceil

import msgspec

from mangotrail._graphs import OrderTicket
from mangotrail.clock import Clock
from mangotrail.lean_http import RequestOrigin

# Callers wait for an answer for 1 s. The difference covers the way of the order
# to the instance that received it.
MAX_ORDER_AGE_MS = 800
# A partition that held up an order delivers the end of its connection up to a
# round trip between regions (18 ms) after it.
CLOSE_DELAY_S = 0.05


class OrderTickets:
    """Issues and checks the tickets of orders on the leader."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def now_ms(self) -> int:
        """Return the reading of the monotonic clock."""
        return round(self.clock.monotonic_s() * 1000)

    def issue(self, term: int) -> OrderTicket:
        """Return a ticket for an order that is sent from now on."""
        return OrderTicket(term=term, issued_ms=self.now_ms())

    def with_age(
        self, ticket: OrderTicket, origin: RequestOrigin, requested_s: float
    ) -> OrderTicket:
        """Return a ticket with the age that its order had at the request.

        :param requested_s: reading of the clock when the ticket was requested.
        """
        age_ms = ceil(max(0, requested_s - origin.arrived_s) * 1000)
        return msgspec.structs.replace(ticket, age_ms=age_ms)

    def is_valid(self, ticket: OrderTicket | None, term: int) -> bool:
        """Whether the caller of an order certainly still waits for it."""
        if ticket is None or ticket.term != term:
            return False
        age_ms = ticket.age_ms + self.now_ms() - ticket.issued_ms
        return age_ms <= MAX_ORDER_AGE_MS
