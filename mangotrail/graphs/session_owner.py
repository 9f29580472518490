"""What a session with a worker needs of the leader, and limits they share."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from mangotrail._graph_settings import GraphTiming
from mangotrail._graphs import RunEnd, RunStart
from mangotrail.clock import Clock
from mangotrail.graphs.worker_connection import StartAnswer

if TYPE_CHECKING:
    from mangotrail.graphs.session import Session

# Pause before a call to a worker is repeated.
RETRY_PAUSE_S = 0.1
# A worker at whose address nothing listens for this long has ended, and with
# it all its runs. A restart that takes its address answers as another life.
UNREACHABLE_TIMEOUT_S = 0.6
# An order without an answer may be carried out up to 12 s later, so the
# platform says; one more second for the sending of a numbered order.
MAX_ORDER_DELAY_S = 13.0


class SessionOwner(ABC):
    """What a session needs of the leader."""

    clock: Clock
    timing: GraphTiming
    term: int

    @abstractmethod
    def may_order(self) -> bool:
        """Whether this leader still has authority."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return estimated Unix milliseconds."""

    @abstractmethod
    async def end_runs(
        self, session: 'Session', ends: Sequence[RunEnd]
    ) -> bool:
        """Make ends durable; False if that failed."""

    @abstractmethod
    async def remove_life(self, session: 'Session') -> None:
        """Note that the worker's life is over."""

    @abstractmethod
    def step_down(self) -> None:
        """Give up leading, because a later leader was seen."""

    @abstractmethod
    def count_answer(self, answer: StartAnswer) -> None:
        """Count the answer to an order."""

    @abstractmethod
    def invalidate_ticket(self, start: RunStart) -> None:
        """Ask again for a ticket that a worker did not take."""

    @abstractmethod
    def replan(self) -> None:
        """Look for runs to start soon."""
