"""Start orders without an answer, which may still be carried out.

The life of a worker that has answered a stop refuses such an order. A later
life under the same id knows nothing of that stop, and its clock starts anew, so
that it carries out the order although its deadline has passed. It therefore
has to be told of the stop as soon as it is reached.
"""

from mangotrail._graphs import TaskKey
from mangotrail.clock import Clock
from mangotrail.ids import WorkerId

OrderKey = tuple[TaskKey, int]


class LateOrders:
    """Orders of one leader that may still be carried out, by worker."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # Reading of the clock until which each order may be carried out.
        self.expiries_s: dict[WorkerId, dict[OrderKey, float]] = {}

    def add(
        self, worker: WorkerId, task: TaskKey, run: int, expiry_s: float
    ) -> None:
        """Remember an order that got no answer.

        :param expiry_s: reading of the clock after which it has no effect.
        """
        self.expiries_s.setdefault(worker, {})[task, run] = expiry_s

    def discard(self, worker: WorkerId, task: TaskKey, run: int) -> None:
        """Forget an order that has been carried out."""
        known = self.expiries_s.get(worker)
        if known is not None:
            known.pop((task, run), None)

    def pending(self, worker: WorkerId) -> list[OrderKey]:
        """Return the orders to a worker that may still be carried out."""
        now_s = self.clock.monotonic_s()
        known = self.expiries_s.pop(worker, {})
        left = {
            order: expiry_s
            for order, expiry_s in known.items()
            if expiry_s > now_s
        }
        if left:
            self.expiries_s[worker] = left
        return list(left)
