"""What the product asks of a worker, whatever protocol the worker speaks."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from mangotrail._graphs import EndKind, TaskKey, WorkerSpec
from mangotrail._struct import FrozenStruct


class StartAnswer(Enum):
    """What a worker said to the order to start a run."""

    STARTED = 'started'
    FENCED = 'fenced'
    OUTDATED_RUN = 'outdated_run'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    REFUSED = 'refused'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    # Nothing listens at the address, so that the order was never sent.
    UNREACHABLE = 'unreachable'
    UNANSWERED = 'unanswered'


class StartOrder(FrozenStruct, frozen=True, kw_only=True):
    """Order to start a run.

    :param deadline_ms: time on the worker's clock after which the order has
        no effect; the lease of the worker lasts at least as long.
    :param fencing_token: term of the leader that orders.
    :param ticket: approval of an adviser, empty if none is needed.
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

    :param usage: tail of response times in ms for a task that serves users,
        thousandths of a core in use for any other; None if it is not told.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    usage: int | None = None


class ListedEnd(FrozenStruct, frozen=True, kw_only=True):
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: TaskKey
    run: int
    end: EndKind
    checkpoint: str


class Listing(FrozenStruct, frozen=True, kw_only=True):
    """Answer of a worker to a lease renewal.

    :param clock_ms: reading of the worker's own steady clock.
    :param is_same_life: False if another life answered.
    :param is_same_worker: False if that life has another id, so that it
        refuses all orders to this one. Under the same id it takes them.
    :param is_fenced: True if a later leader has spoken to the worker.
    """

    clock_ms: int
    running: Sequence[ListedRun] = ()
    ends: Sequence[ListedEnd] = ()
    is_same_life: bool = True
    is_same_worker: bool = True
    is_fenced: bool = False


class RenewalFailure(Enum):
    """Why a worker did not list anything."""

    NO_ANSWER = 'no_answer'
    # Nothing listens at its address, so that its process has ended.
    NO_PROCESS = 'no_process'


class WorkerConnection(ABC):
    """Connection to one life of a worker."""

    @abstractmethod
    async def start(self, order: StartOrder) -> tuple[StartAnswer, int]:
        """Order a start.

        :return: the answer and the worker's clock in ms, 0 if it gave none.
        """

    @abstractmethod
    async def stop(self, task: TaskKey, run: int, fencing_token: int) -> bool:
        """Order a stop; True once the worker has answered."""

    @abstractmethod
    async def renew(
        self,
        *,
        fencing_token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Listing | RenewalFailure:
        """Renew the lease and list runs and ends.

        :param acknowledged: number of the last end that is durable here.
        :param deadline_ms: end of the lease on the worker's clock.
        :param wait_ms: how long the worker may wait for an end.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class WorkerConnector(ABC):
    """Opens ports to workers."""

    @abstractmethod
    def open(self, worker: WorkerSpec) -> WorkerConnection:
        """Return the port to a life of a worker."""
