"""Interface of the leader for its worker sessions, and shared time limits."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from mangotrail._graph_settings import GraphTiming
from mangotrail._graphs import RunEnd, RunStart, TaskKey
from mangotrail.clock import Clock
from mangotrail.graphs.late_orders import LateOrders
from mangotrail.graphs.worker_connection import StartAnswer
from mangotrail.ids import LifeId, WorkerId

if TYPE_CHECKING:
    from mangotrail.graphs.session import Session

# Pause before a call to a worker is retried.
RETRY_PAUSE_S = 0.1
# Longest time from the commit of a run until its start order takes effect. The
# platform may execute an order without an answer up to 12 s later; one more
# second covers the sending.
MAX_ORDER_DELAY_S = 13.0


class SessionOwner(ABC):
    """Interface of the leader for its worker sessions."""

    clock: Clock
    timing: GraphTiming
    term: int
    late_orders: LateOrders

    @abstractmethod
    def may_order(self) -> bool:
        """Whether this leader has the authority to send orders now."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return the estimated wall-clock time in Unix milliseconds."""

    @abstractmethod
    async def end_runs(
        self, session: 'Session', ends: Sequence[RunEnd]
    ) -> bool:
        """Commit ends of runs; False if that failed."""

    @abstractmethod
    def is_current(self, task: TaskKey, run: int) -> bool:
        """Whether the committed state counts a run as present on any life."""

    @abstractmethod
    async def suspend_leases(self, life: LifeId, left_s: float) -> None:
        """Commit that no lease is granted to a silent worker.

        :param left_s: longest time for which leases granted before may go on.
        """

    @abstractmethod
    async def resume_leases(self, life: LifeId) -> bool:
        """Commit that leases may be granted again; False if that failed."""

    @abstractmethod
    def is_suspended(self, life: LifeId) -> bool:
        """Whether no lease may be granted to a worker."""

    @abstractmethod
    def are_leases_over(self, life: LifeId) -> bool:
        """Whether the suspended leases of a worker have expired."""

    @abstractmethod
    def record_begun(self, task: TaskKey) -> None:
        """Record that a worker has confirmed a run of a task."""

    @abstractmethod
    async def remove_life(self, session: 'Session') -> None:
        """Commit that the life of the worker has ended."""

    @abstractmethod
    def require_confirmation(self, worker: WorkerId) -> None:
        """Send no orders until a majority confirms that this member leads.

        :param worker: worker that answered that it knows a later leader.
        """

    @abstractmethod
    def count_answer(self, answer: StartAnswer) -> None:
        """Count the answer to a start order."""

    @abstractmethod
    def invalidate_ticket(self, start: RunStart) -> None:
        """Discard a ticket that a worker has refused."""

    @abstractmethod
    def replan(self) -> None:
        """Request a new plan."""
