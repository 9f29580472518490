"""Cleanup of runs that may have reached the successor of a worker life.

A successor under the same worker id accepts orders that were meant for its
predecessor. A run that the predecessor never listed may therefore be on the
successor, and must not start elsewhere until that is ruled out.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from math import inf

from mangotrail._graphs import EndKind, RunEnd, TaskKey
from mangotrail.graphs.session_owner import (
    MAX_ORDER_DELAY_S,
    RETRY_PAUSE_S,
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
    """Stops runs of a predecessor on its successor.

    :param connection: connection to the address that both lives share.
    :param runs: runs that were ordered but never listed.
    :param commit_ends: commits ends of runs; False if that failed.
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
        self.runs = {run.start.task: run for run in runs}
        self.commit_ends = commit_ends
        self.stopped: set[TaskKey] = set()
        self.unresponsive_since_s = inf

    async def run(self) -> None:
        """Stop the runs; return once none can exist or authority is lost."""
        while self.runs and self.owner.may_order():
            self._drop_settled()
            await self._stop()
            sent_s = self.owner.clock.monotonic_s()
            listing = await self.connection.renew(
                fencing_token=self.owner.term,
                # The ends of the successor are acknowledged by its own session.
                acknowledged=0,
                deadline_ms=None,
                wait_ms=0,
            )
            if isinstance(listing, RenewalFailure):
                self.unresponsive_since_s = min(
                    self.unresponsive_since_s, sent_s
                )
                self._drop_expired()
            elif not listing.is_same_worker:
                # A worker with another id refuses all these orders.
                self.runs.clear()
            else:
                self.unresponsive_since_s = inf
                self._drop_settled()
                await self._commit_listed(listing)
            if self.runs:
                await asyncio.sleep(RETRY_PAUSE_S)

    def _drop_settled(self) -> None:
        """Drop runs whose end the session of the successor has committed."""
        for task, tracked in list(self.runs.items()):
            if not self.owner.is_current(task, tracked.start.run):
                del self.runs[task]

    async def _stop(self) -> None:
        """Make the successor refuse delayed start orders and end their runs."""
        for task, tracked in self.runs.items():
            if task not in self.stopped and await self.connection.stop(
                task, tracked.start.run, self.owner.term
            ):
                self.stopped.add(task)

    def _drop_expired(self) -> None:
        """Drop runs that cannot be on the unresponsive successor either."""
        now_s = self.owner.clock.monotonic_s()
        unresponsive_s = now_s - self.unresponsive_since_s
        lease_s = (self.owner.timing.lease_ms + PREVIOUS_LEASE_MARGIN_MS) / 1000
        lease_expiry_s = lease_s / (1 - MAX_CLOCK_DRIFT)
        for task, tracked in list(self.runs.items()):
            order_expiry_s = min(
                tracked.order_expiry_s, tracked.since_s + MAX_ORDER_DELAY_S
            )
            if order_expiry_s <= now_s and unresponsive_s > lease_expiry_s:
                del self.runs[task]

    async def _commit_listed(self, listing: Listing) -> None:
        """Commit the ends of runs that the successor has listed or stopped."""
        running = {(listed.task, listed.run) for listed in listing.running}
        ended = {(listed.task, listed.run): listed for listed in listing.ends}
        ends = []
        for task, tracked in self.runs.items():
            key = (task, tracked.start.run)
            if key in ended:
                ends.append(tracked.reported_end(ended[key]))
            elif (
                task in self.stopped
                and key not in running
                and not listing.has_more_ends
            ):
                ends.append(tracked.inferred_end(EndKind.LOST))
        if ends and await self.commit_ends(ends):
            for end in ends:
                del self.runs[end.task]
