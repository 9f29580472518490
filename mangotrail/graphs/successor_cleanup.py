"""What a later life of a worker may run of the one before.

A life under the same id takes the orders that were meant for the one before.
What was not seen listed on the worker may therefore run on the later life, and
starts nowhere else before that is ruled out.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from math import inf

from mangotrail._graphs import EndKind, RunEnd, TaskKey
from mangotrail.graphs.session_owner import (
    MAX_ORDER_DELAY_S,
    RETRY_PAUSE_S,
    UNREACHABLE_TIMEOUT_S,
    SessionOwner,
)
from mangotrail.graphs.tracked_run import TrackedRun
from mangotrail.graphs.worker_clock import (
    MAX_CLOCK_DRIFT,
    PREVIOUS_LEASE_MARGIN_MS,
)
from mangotrail.graphs.worker_connection import (
    Listing,
    RenewalFailure,
    WorkerConnection,
)

CommitEnds = Callable[[Sequence[RunEnd]], Awaitable[bool]]


class SuccessorCleanup:
    """Clears a later life of the runs of the one before.

    :param connection: connection to the address that both share.
    :param runs: runs that were ordered, but not seen listed.
    :param commit_ends: makes ends durable; False if that failed.
    """

    def __init__(
        self,
        *,
        connection: WorkerConnection,
        owner: SessionOwner,
        runs: Iterable[TrackedRun],
        commit_ends: CommitEnds,
    ) -> None:
        self.connection = connection
        self.owner = owner
        self.runs = {held.start.task: held for held in runs}
        self.commit_ends = commit_ends
        self.stopped: set[TaskKey] = set()
        self.unresponsive_since_s = inf

    async def run(self) -> None:
        """Stop the runs; return once none can run, or authority is lost."""
        while self.runs and self.owner.may_order():
            await self._stop()
            sent_s = self.owner.clock.monotonic_s()
            listing = await self.connection.renew(
                fencing_token=self.owner.term,
                # Its ends are for its own session to acknowledge.
                acknowledged=0,
                deadline_ms=None,
                wait_ms=0,
            )
            if isinstance(listing, RenewalFailure):
                self.unresponsive_since_s = min(
                    self.unresponsive_since_s, sent_s
                )
                self._drop_expired(listing)
            elif not listing.is_same_worker:
                # A worker of another id refuses all these orders.
                self.runs.clear()
            else:
                self.unresponsive_since_s = inf
                await self._commit_listed(listing)
            if self.runs:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _stop(self) -> None:
        """Have the later life refuse the orders and end what it started."""
        for task, held in self.runs.items():
            if task not in self.stopped and await self.connection.stop(
                task, held.start.run, self.owner.term
            ):
                self.stopped.add(task)

    def _drop_expired(self, silence: RenewalFailure) -> None:
        """Forget what cannot run on a later life that is silent as well."""
        now_s = self.owner.clock.monotonic_s()
        silent_s = now_s - self.unresponsive_since_s
        lease_s = (self.owner.timing.lease_ms + PREVIOUS_LEASE_MARGIN_MS) / 1000
        over_s = lease_s / (1 - MAX_CLOCK_DRIFT)
        gone = (
            silence is RenewalFailure.NO_PROCESS
            and silent_s >= UNREACHABLE_TIMEOUT_S
        )
        for task, held in list(self.runs.items()):
            late_s = min(held.order_expiry_s, held.since_s + MAX_ORDER_DELAY_S)
            if late_s <= now_s and (gone or silent_s > over_s):
                del self.runs[task]

    async def _commit_listed(self, listing: Listing) -> None:
        """Settle the runs whose stop the later life has answered."""
        running = {(held.task, held.run) for held in listing.running}
        ended = {(held.task, held.run): held for held in listing.ends}
        ends = []
        for task, held in self.runs.items():
            key = (task, held.start.run)
            if key in ended:
                ends.append(held.reported_end(ended[key]))
            elif task in self.stopped and key not in running:
                ends.append(held.inferred_end(EndKind.LOST))
        if ends and await self.commit_ends(ends):
            for end in ends:
                del self.runs[end.task]
