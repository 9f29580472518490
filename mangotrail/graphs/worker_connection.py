"""Protocol-independent interface to a worker."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from mangotrail._graphs import EndKind, RunEnd, TaskKey, WorkerSpec
from mangotrail._struct import FrozenStruct


class StartAnswer(Enum):
    """Answer of a worker to a start order."""

    STARTED = 'started'
    FENCED = 'fenced'
    OUTDATED_RUN = 'outdated_run'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    REFUSED = 'refused'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    # The connection was refused, so the order was not sent.
    UNREACHABLE = 'unreachable'
    UNANSWERED = 'unanswered'


class StartOrder(FrozenStruct, frozen=True, kw_only=True):
    """Order to start a run.

    :param deadline_ms: reading of the worker's clock after which the order has
        no effect; the lease of the worker lasts at least until then.
    :param fencing_token: term of the leader that sends the order.
    :param ticket: ticket of the adviser, empty if none is required.
    """

    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    deadline_ms: int
    fencing_token: int
    ticket: str = ''


class ListedRun(FrozenStruct, frozen=True, kw_only=True):
    """A run that a worker lists as present.

    :param usage: tail of response times in milliseconds for a task that serves
        users, used CPU in thousandths of a core for any other; None if it is
        not reported.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    usage: int | None = None


class ListedEnd(FrozenStruct, frozen=True, kw_only=True):
    """End of a run, listed by a worker until it is acknowledged."""

    number: int
    task: TaskKey
    run: int
    end: EndKind
    checkpoint: str

    def to_run_end(self) -> RunEnd:
        """Return the end as it is committed."""
        return RunEnd(
            task=self.task,
            run=self.run,
            end=self.end,
            checkpoint=self.checkpoint,
        )


class Listing(FrozenStruct, frozen=True, kw_only=True):
    """Answer of a worker to a lease renewal.

    :param clock_ms: reading of the worker's monotonic clock.
    :param has_more_ends: whether the worker has ends that it has not listed; it
        lists them once those listed are acknowledged.
    :param is_same_life: False if another life answered.
    :param is_same_worker: False if that life has another worker id. It then
        refuses all orders to this worker; under the same id it accepts them.
    :param is_fenced: True if a later leader has contacted the worker.
    """

    clock_ms: int
    running: Sequence[ListedRun] = ()
    ends: Sequence[ListedEnd] = ()
    has_more_ends: bool = False
    is_same_life: bool = True
    is_same_worker: bool = True
    is_fenced: bool = False


class RenewalFailure(Enum):
    """Why a lease renewal gave no listing."""

    NO_ANSWER = 'no_answer'
    # The connection was refused: the process of the worker has ended, or a
    # partition resets connections.
    REFUSED = 'refused'


class WorkerConnection(ABC):
    """Connection to one life of a worker."""

    @abstractmethod
    async def start(self, order: StartOrder) -> tuple[StartAnswer, int]:
        """Send a start order.

        :return: the answer and the reading of the worker's clock in
            milliseconds, 0 if it gave none.
        """

    @abstractmethod
    async def stop(self, task: TaskKey, run: int, fencing_token: int) -> bool:
        """Send a stop order; True if the worker has accepted it."""

    @abstractmethod
    async def renew(
        self,
        *,
        fencing_token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Listing | RenewalFailure:
        """Renew the lease and return the runs and ends that the worker lists.

        :param acknowledged: number of the last end that is committed.
        :param deadline_ms: end of the lease on the worker's clock; None leaves
            the lease as it is.
        :param wait_ms: how long the worker may delay its answer until a run
            ends.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class WorkerConnector(ABC):
    """Opens connections to workers."""

    @abstractmethod
    def open(self, worker: WorkerSpec) -> WorkerConnection:
        """Return a connection to a life of a worker."""
