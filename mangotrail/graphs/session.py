"""One leader's dealings with one life of a worker.

A session renews the lease, learns which runs are present and which have
ended, and carries orders. A run counts as gone only when the worker listed
its end, answered a stop of it and does not list it, answered under another
life, or when every lease that it was granted has surely ended.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from math import inf
from typing import Any

from loguru import logger

from mangotrail._graphs import EndKind, RunEnd, RunStart, TaskKey, WorkerSpec
from mangotrail.errors import SessionFaultError
from mangotrail.graphs.session_owner import (
    MAX_ORDER_DELAY_S,
    RETRY_PAUSE_S,
    UNREACHABLE_TIMEOUT_S,
    SessionOwner,
)
from mangotrail.graphs.successor_cleanup import SuccessorCleanup
from mangotrail.graphs.tracked_run import RunPhase, TrackedRun
from mangotrail.graphs.worker_clock import WorkerClock
from mangotrail.graphs.worker_connection import (
    Listing,
    RenewalFailure,
    StartAnswer,
    StartOrder,
    WorkerConnection,
)

# Longest wait of a worker for an end before it answers a renewal.
RENEWAL_WAIT_MS = 1_000
# A worker that has not answered for this long gets no new runs: one renewal
# with its wait, and half a second for a slow network.
MAX_REPLY_AGE_S = 1.7
# A start that the worker has not begun by then is refused by the worker. Two
# round trips between regions and the queueing of a gang's members fit in.
START_TIMEOUT_MS = 1_500
# Calls to one worker at a time, so that a wide step does not open many
# connections.
MAX_PARALLEL_ORDERS = 4
# A worker that refused an order for being unhealthy rests this long.
UNHEALTHY_BACKOFF_S = 2.0
# One that refused for any other reason would be chosen again at once, in the
# next plan.
REFUSAL_BACKOFF_S = 0.5

NEVER_STARTED_ANSWERS = frozenset((
    StartAnswer.OUTDATED_RUN,
    StartAnswer.TOO_LATE,
    StartAnswer.NO_ROOM,
    StartAnswer.NO_TICKET,
    StartAnswer.REFUSED,
    StartAnswer.UNHEALTHY,
    StartAnswer.UNREACHABLE,
))


class Session:
    """Orders to one life of a worker and what it lists.

    :param worker: the worker.
    :param connection: connection to it.
    :param owner: the leader.
    """

    def __init__(
        self,
        *,
        worker: WorkerSpec,
        connection: WorkerConnection,
        owner: SessionOwner,
    ) -> None:
        self.worker = worker
        self.connection = connection
        self.owner = owner
        self.clock = WorkerClock(
            lease_ms=owner.timing.lease_ms,
            term_start_s=owner.clock.monotonic_s(),
        )
        self.runs: dict[TaskKey, TrackedRun] = {}
        self.is_synchronized = False
        self.is_unresponsive = False
        self.unreachable_since_s = inf
        self.last_reply_s = 0.0
        self.backoff_until_s = 0.0
        self.acknowledged = 0
        self.is_ended = False
        # Another life has answered, and what it may run is being settled.
        self.is_ending = False
        self.order_limit = asyncio.Semaphore(MAX_PARALLEL_ORDERS)
        self.tasks: set[asyncio.Task[None]] = set()
        self.fault: BaseException | None = None

    def is_usable(self, now_s: float) -> bool:
        """Whether runs may be started on the worker."""
        return (
            self.is_synchronized
            and not self.is_ended
            and not self.is_ending
            and self.unreachable_since_s == inf
            and now_s - self.last_reply_s < MAX_REPLY_AGE_S
            and now_s >= self.backoff_until_s
        )

    def adopt(self, starts: Sequence[RunStart], phase: RunPhase) -> None:
        """Take over the runs that were numbered before this session.

        :param phase: ``ADOPTED`` if an earlier leader ordered them, whose
            orders the worker now refuses; ``UNSURE`` if a session of the same
            term did, whose orders may still be carried out.
        """
        now_s = self.owner.clock.monotonic_s()
        for start in starts:
            held = TrackedRun(start, phase, now_s)
            age_s = (self.owner.wall_ms() - start.numbered_ms) / 1000
            held.order_expiry_s = now_s + max(0.0, MAX_ORDER_DELAY_S - age_s)
            self.runs[start.task] = held

    def order(
        self,
        start: RunStart,
        *,
        payload: str,
        checkpoint: str,
        ticket: str = '',
    ) -> None:
        """Order a run that is numbered durably."""
        now_s = self.owner.clock.monotonic_s()
        held = TrackedRun(start, RunPhase.ORDERED, now_s)
        self.runs[start.task] = held
        if self.is_ending:
            # The life ended while the run was numbered. The order would reach
            # the life that followed; the run is lost with this one instead.
            return
        order = StartOrder(
            task=start.task,
            run=start.run,
            payload=payload,
            checkpoint=checkpoint,
            deadline_ms=self.clock.grant_lease(now_s, START_TIMEOUT_MS),
            fencing_token=self.owner.term,
            ticket=ticket,
        )
        self._spawn(self._send_order(held, order))

    def stop(self, task: TaskKey) -> None:
        """Stop a run; its end is listed later."""
        held = self.runs.get(task)
        if held is None or held.phase in {RunPhase.STOPPING, RunPhase.STOPPED}:
            return
        held.phase = RunPhase.STOPPING
        self._spawn(self._send_stop(held.start.task, held.start.run, held))

    async def run(self) -> None:
        """Renew the lease until the life of the worker is over.

        :raises SessionFaultError: if an order failed by a fault of its own.
        """
        try:
            while not self.is_ended:
                if self.fault is not None:
                    raise SessionFaultError(
                        f'an order to {self.worker.worker} failed'
                    ) from self.fault
                if not self.owner.may_order():
                    await asyncio.sleep(RETRY_PAUSE_S / 4)
                    continue
                await self._renew()
        finally:
            for task in self.tasks:
                task.cancel()
            self.connection.close()

    # Renewals.

    async def _renew(self) -> None:
        now_s = self.owner.clock.monotonic_s()
        deadline_ms = None
        # A renewal without an answer may be carried out later, so a silent
        # worker is only asked what it runs until it answers again.
        if self.clock.is_known and not self.is_unresponsive:
            deadline_ms = self.clock.grant_lease(
                now_s, self.owner.timing.lease_ms
            )
        wait_ms = RENEWAL_WAIT_MS if self.is_synchronized else 0
        if deadline_ms is None:
            wait_ms = 0
        listing = await self.connection.renew(
            fencing_token=self.owner.term,
            # A later life counts its ends anew and would forget them.
            acknowledged=0 if self.is_unresponsive else self.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=wait_ms,
        )
        received_s = self.owner.clock.monotonic_s()
        if isinstance(listing, RenewalFailure):
            await self._handle_renewal_failure(listing, received_s)
        elif listing.is_fenced:
            self.owner.step_down()
            await asyncio.sleep(RETRY_PAUSE_S)
        elif not listing.is_same_life:
            await self._end_session(listing)
        else:
            self.is_unresponsive = False
            self.unreachable_since_s = inf
            self.clock.record_reading(listing.clock_ms, now_s, received_s)
            self.last_reply_s = received_s
            await self._reconcile(listing, now_s)

    async def _handle_renewal_failure(
        self, silence: RenewalFailure, now_s: float
    ) -> None:
        self.is_unresponsive = True
        if silence is RenewalFailure.NO_ANSWER:
            self.unreachable_since_s = inf
        else:
            self.unreachable_since_s = min(self.unreachable_since_s, now_s)
        absent = now_s - self.unreachable_since_s >= UNREACHABLE_TIMEOUT_S
        over = absent or self.clock.leases_expired(now_s)
        lost = [
            held
            for held in self.runs.values()
            if over and held.order_expiry_s <= now_s
        ]
        if lost and self.owner.may_order():
            logger.warning(
                'Worker {} is silent, process_ended={} lease_over={}: {} runs'
                ' lost',
                self.worker.worker,
                absent,
                self.clock.leases_expired(now_s),
                len(lost),
            )
            await self._commit_ends([
                held.inferred_end(EndKind.LOST) for held in lost
            ])
            self.is_synchronized = False
        await asyncio.sleep(RETRY_PAUSE_S)

    async def _end_session(self, listing: Listing) -> None:
        """End, once nothing of this life can run on the one that followed."""
        logger.info(
            'The life {} of a worker is over, same_id={}',
            self.worker.life,
            listing.is_same_worker,
        )
        self.is_ending = True
        unseen = [held for held in self.runs.values() if not held.is_listed]
        for held in unseen:
            # Keeps orders that are not yet sent from leaving.
            held.phase = RunPhase.STOPPING
        if listing.is_same_worker:
            later = SuccessorCleanup(
                connection=self.connection,
                owner=self.owner,
                runs=unseen,
                commit_ends=self._commit_ends,
            )
            await later.run()
        if self.owner.may_order():
            self.is_ended = True
            await self.owner.remove_life(self)

    async def _reconcile(self, listing: Listing, sent_s: float) -> None:
        """Compare what the worker lists with what is expected."""
        ends: list[RunEnd] = []
        newest = self.acknowledged
        for listed_end in listing.ends:
            newest = max(newest, listed_end.number)
            held = self.runs.get(listed_end.task)
            if held is not None and held.start.run == listed_end.run:
                ends.append(held.reported_end(listed_end))
        ended = {end.task for end in ends}
        present = set()
        for listed in listing.running:
            present.add((listed.task, listed.run))
            held = self.runs.get(listed.task)
            if held is None or held.start.run != listed.run:
                self._stop_unexpected(listed.task, listed.run)
                continue
            held.is_listed = True
            held.order_expiry_s = -inf
            held.checkpoint = listed.checkpoint or held.checkpoint
            held.record_usage(listed.usage, self.owner.clock.monotonic_s())
            if held.phase in {RunPhase.ADOPTED, RunPhase.UNSURE}:
                held.phase = RunPhase.PRESENT
        for task, held in list(self.runs.items()):
            if held.phase is RunPhase.UNSURE and task not in ended:
                self.stop(task)
        ends.extend(
            held.inferred_end(EndKind.NEVER_STARTED)
            for task, held in self.runs.items()
            if task not in ended
            and (task, held.start.run) not in present
            and self._is_gone(held, sent_s)
        )
        first = not self.is_synchronized
        if ends and not await self._commit_ends(ends):
            return
        self.acknowledged = newest
        self.is_synchronized = True
        if first:
            self.owner.replan()

    def _is_gone(self, held: TrackedRun, sent_s: float) -> bool:
        """Whether a run that is not listed can never appear."""
        if held.phase is RunPhase.ADOPTED:
            # The worker now refuses the orders of earlier leaders.
            return True
        if held.phase is RunPhase.PRESENT:
            return held.since_s < sent_s
        if held.phase is RunPhase.STOPPED:
            return held.stop_answered_s < sent_s
        return False

    async def _commit_ends(self, ends: Sequence[RunEnd]) -> bool:
        """Make ends durable and forget the runs."""
        if not await self.owner.end_runs(self, ends):
            await asyncio.sleep(RETRY_PAUSE_S)
            return False
        for end in ends:
            held = self.runs.get(end.task)
            if held is not None and held.start.run == end.run:
                del self.runs[end.task]
        return True

    # Orders.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            self.fault = task.exception() or self.fault

    async def _send_order(self, held: TrackedRun, order: StartOrder) -> None:
        async with self.order_limit:
            if held.phase is not RunPhase.ORDERED:
                return
            if not self.owner.may_order():
                # Nothing was sent, but the next leader settles the run.
                self.owner.step_down()
                return
            held.order_expiry_s = (
                self.owner.clock.monotonic_s() + MAX_ORDER_DELAY_S
            )
            answer, clock_ms = await self.connection.start(order)
        self.owner.count_answer(answer)
        now_s = self.owner.clock.monotonic_s()
        if answer is not StartAnswer.UNANSWERED:
            held.order_expiry_s = -inf
        if answer is StartAnswer.STARTED:
            held.since_s = now_s
            held.started_ms = self.owner.wall_ms()
            if held.phase is RunPhase.ORDERED:
                held.phase = RunPhase.PRESENT
        elif answer is StartAnswer.FENCED:
            self.owner.step_down()
        elif answer in NEVER_STARTED_ANSWERS:
            await self._handle_refusal(held, answer, now_s)
        elif answer is StartAnswer.UNANSWERED and self._is_current(held):
            logger.warning(
                'Start of {} run {} on {} got no answer',
                order.task,
                order.run,
                self.worker.worker,
            )
            if held.phase is RunPhase.ORDERED:
                held.phase = RunPhase.UNSURE
            self.stop(order.task)

    def _is_current(self, held: TrackedRun) -> bool:
        return self.runs.get(held.start.task) is held

    async def _handle_refusal(
        self, held: TrackedRun, answer: StartAnswer, now_s: float
    ) -> None:
        logger.warning(
            'Worker {} refused {} run {}: {}',
            self.worker.worker,
            held.start.task,
            held.start.run,
            answer.value,
        )
        rest_s = REFUSAL_BACKOFF_S
        if answer is StartAnswer.UNHEALTHY:
            rest_s = UNHEALTHY_BACKOFF_S
        if answer is StartAnswer.NO_TICKET:
            # That says nothing of the worker's health.
            rest_s = 0.0
            self.owner.invalidate_ticket(held.start)
        self.backoff_until_s = max(self.backoff_until_s, now_s + rest_s)
        while self._is_current(held):
            ends = [held.inferred_end(EndKind.NEVER_STARTED)]
            if await self._commit_ends(ends):
                return

    async def _send_stop(
        self, task: TaskKey, run: int, held: TrackedRun | None
    ) -> None:
        while not self.is_ended and (held is None or self._is_current(held)):
            if self.owner.may_order():
                async with self.order_limit:
                    answered = await self.connection.stop(
                        task, run, self.owner.term
                    )
                if answered:
                    break
            await asyncio.sleep(RETRY_PAUSE_S)
        if held is not None:
            held.phase = RunPhase.STOPPED
            held.stop_answered_s = self.owner.clock.monotonic_s()

    def _stop_unexpected(self, task: TaskKey, run: int) -> None:
        logger.warning(
            'Worker {} runs {} run {}, which is not wanted',
            self.worker.worker,
            task,
            run,
        )
        self._spawn(self._send_stop(task, run, None))
