"""Session of the leader with one life of a worker.

A session renews the lease of the worker, learns which runs are present and
which have ended, and sends orders. A run counts as ended only if the worker
lists its end, lists neither it nor its end after answering a stop of it,
answers under another life, or if every lease that the worker was granted has
expired.
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

# Long-poll time: how long a worker may hold back its answer to a renewal while
# no run ends.
RENEWAL_WAIT_MS = 1_000
# A worker whose last answer is older gets no new runs. This covers one renewal
# with its long poll, and 0.5 s for a slow network.
MAX_REPLY_AGE_S = 1.7
# A worker refuses a start order that reaches it later than this. The time
# covers two round trips between regions and the queueing of a gang's orders.
START_TIMEOUT_MS = 1_500
# Concurrent orders to one worker. The limit keeps a wide step from opening many
# connections.
MAX_PARALLEL_ORDERS = 4
# The leases of a worker that is silent for longer are suspended, so that the
# next leader knows when they end. It covers a lost answer and its retry.
SUSPENSION_DELAY_S = 1.0
# Time without new runs after a worker has refused an order as unhealthy.
UNHEALTHY_BACKOFF_S = 2.0
# A worker that answers a renewal sent this long after the notice that it leaves
# has not left: the notice came from an earlier life. Workers end as soon as the
# notice is acknowledged.
LEAVE_CONFIRMATION_S = 1.0
# The notice that a worker leaves is acknowledged within this time, or it is
# sent again. Workers wait for a second.
LEAVE_TIMEOUT_S = 0.6
# An answer that the worker gave before the notice arrives at most this much
# later, on another connection.
LEAVE_MARGIN_S = 0.15
LEAVE_POLL_S = 0.02
# The same after any other refusal. Without it, the next plan would choose the
# worker again at once.
REFUSAL_BACKOFF_S = 0.5

NEVER_STARTED_ANSWERS = frozenset((
    StartAnswer.FENCED,
    StartAnswer.OUTDATED_RUN,
    StartAnswer.TOO_LATE,
    StartAnswer.NO_ROOM,
    StartAnswer.NO_TICKET,
    StartAnswer.REFUSED,
    StartAnswer.UNHEALTHY,
    StartAnswer.UNREACHABLE,
))


class Session:
    """Session with one life of a worker: its lease, its runs and its orders.

    :param owner: the leader that holds the session.
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
        self.is_fenced = False
        # When the first renewal without an answer since the last answer failed.
        self.silent_since_s = inf
        # Whether the worker listed runs that are not in the replicated state.
        # They take up room until they have been stopped.
        self.has_unexpected_runs = False
        # Whether the address refused the last connection.
        self.is_unreachable = False
        self.last_reply_s = 0.0
        self.backoff_until_s = 0.0
        self.acknowledged = 0
        self.is_ended = False
        # When a notice came that the worker leaves, while it is not settled,
        # and when it was acknowledged. The notice names no life.
        self.leave_requested_s = inf
        self.leave_reported_s = inf
        # When the renewal in progress was sent, the last one of which all
        # listed ends are committed, and the last one that failed.
        self.renewal_sent_s = inf
        self.listed_s = -inf
        self.failed_s = -inf
        # A successor of this life has answered, and the runs that may have
        # reached it are being cleaned up.
        self.is_ending = False
        self.order_limit = asyncio.Semaphore(MAX_PARALLEL_ORDERS)
        self.tasks: set[asyncio.Task[None]] = set()
        self.fault: BaseException | None = None

    def is_usable(self, now_s: float) -> bool:
        """Whether runs may be started on the worker."""
        return not self.closed_reason(now_s)

    def closed_reason(self, now_s: float) -> str:
        """Return why no runs may be started on the worker, '' if they may."""
        if self.is_ended or self.is_ending:
            return 'ended'
        if not self.is_synchronized:
            return 'unsynchronized'
        if self.is_unreachable:
            return 'unreachable'
        if self.is_suspended:
            return 'suspended'
        if self.has_unexpected_runs:
            return 'unwanted_runs'
        if now_s - self.last_reply_s >= MAX_REPLY_AGE_S:
            return 'silent'
        return 'backoff' if now_s < self.backoff_until_s else ''

    @property
    def is_suspended(self) -> bool:
        """Whether no lease may be granted to the worker."""
        return self.owner.is_suspended(self.worker.life)

    def adopt(self, starts: Sequence[RunStart], phase: RunPhase) -> None:
        """Take over runs that were committed before this session.

        :param phase: ``ADOPTED`` if an earlier leader ordered the runs, whose
            orders the worker now refuses; ``UNSURE`` if a session of the same
            term did, whose orders may still take effect.
        """
        now_s = self.owner.clock.monotonic_s()
        for start in starts:
            tracked = TrackedRun(start, phase, now_s)
            # The clocks of two leaders may differ by seconds.
            age_s = max(0.0, (self.owner.wall_ms() - start.numbered_ms) / 1000)
            tracked.order_expiry_s = now_s + max(0.0, MAX_ORDER_DELAY_S - age_s)
            self.runs[start.task] = tracked

    def order(
        self,
        start: RunStart,
        *,
        payload: str,
        checkpoint: str,
        ticket: str = '',
    ) -> None:
        """Send the start order of a committed run."""
        now_s = self.owner.clock.monotonic_s()
        tracked = TrackedRun(start, RunPhase.ORDERED, now_s)
        self.runs[start.task] = tracked
        if self.is_ending:
            # The life ended while the run was being committed. The order would
            # reach the successor, so it is not sent and the run is lost with
            # this life.
            return
        if self.is_suspended:
            # The order would extend the lease. Without it the run ends with
            # the suspended leases, or when the worker answers a stop.
            tracked.phase = RunPhase.UNSURE
            tracked.order_expiry_s = -inf
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
        self._spawn(self._send_order(tracked, order))

    def stop(self, task: TaskKey) -> None:
        """Send a stop order for a run; the worker lists the end later."""
        tracked = self.runs.get(task)
        if tracked is None or tracked.phase in {
            RunPhase.STOPPING,
            RunPhase.STOPPED,
        }:
            return
        tracked.phase = RunPhase.STOPPING
        self._spawn(
            self._send_stop(tracked.start.task, tracked.start.run, tracked)
        )

    async def settle_leave(self) -> bool:
        """Note that the worker, or an earlier life of it, has announced its end.

        Until the notice is acknowledged, the worker goes on, and can list the
        ends that it has not listed so far. Afterwards its runs are over once
        it no longer answers.

        :return: whether to acknowledge the notice.
        """
        requested_s = self.owner.clock.monotonic_s()
        self.leave_requested_s = requested_s
        is_settled = False
        while not is_settled:
            await asyncio.sleep(LEAVE_POLL_S)
            waited_s = self.owner.clock.monotonic_s() - requested_s
            is_settled = self._is_leave_settled(requested_s, waited_s)
            if waited_s >= LEAVE_TIMEOUT_S:
                break
        self.leave_requested_s = inf
        if is_settled:
            self.leave_reported_s = self.owner.clock.monotonic_s()
        return is_settled

    def _is_leave_settled(self, requested_s: float, waited_s: float) -> bool:
        """Whether the worker has no more to list, or cannot be asked."""
        # The worker would have answered a renewal in progress with any end.
        is_silent = (
            self.renewal_sent_s <= requested_s and waited_s >= LEAVE_MARGIN_S
        )
        return (
            self.is_ended
            or is_silent
            or max(self.listed_s, self.failed_s) > requested_s
        )

    def forget(self, task: TaskKey, run: int) -> None:
        """Stop tracking a run whose end is committed."""
        tracked = self.runs.get(task)
        if tracked is not None and tracked.start.run == run:
            del self.runs[task]

    async def run(self) -> None:
        """Renew the lease until the life of the worker has ended.

        :raises SessionFaultError: if sending an order raised an exception.
        """
        self._stop_late_orders()
        try:
            while not self.is_ended:
                if self.fault is not None:
                    raise SessionFaultError(
                        f'an order to worker {self.worker.worker} failed'
                    ) from self.fault
                await self._wait_for_authority()
                await self._renew()
        finally:
            for task in self.tasks:
                task.cancel()
            self.connection.close()

    # Renewals.

    async def _renew(self) -> None:
        now_s = self.owner.clock.monotonic_s()
        deadline_ms = None
        # A renewal without an answer may still take effect later, so the lease
        # of an unresponsive worker is not extended until it answers again.
        if (
            self.clock.is_known
            and not self.is_unresponsive
            and not self.is_suspended
        ):
            deadline_ms = self.clock.grant_lease(
                now_s, self.owner.timing.lease_ms
            )
        wait_ms = RENEWAL_WAIT_MS if self.is_synchronized else 0
        is_leaving = self.leave_requested_s < inf
        if deadline_ms is None or is_leaving:
            wait_ms = 0
        self.renewal_sent_s = now_s
        listing = await self.connection.renew(
            fencing_token=self.owner.term,
            # A successor numbers its ends anew and would discard uncommitted
            # ends of its own if it received an acknowledgement of this life.
            acknowledged=0 if self.is_unresponsive else self.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=wait_ms,
        )
        self.renewal_sent_s = inf
        received_s = self.owner.clock.monotonic_s()
        if isinstance(listing, RenewalFailure):
            self.failed_s = now_s
            if now_s > self.leave_reported_s and self.owner.may_order():
                await self._remove_life()
            else:
                await self._handle_renewal_failure(listing, received_s)
        elif listing.is_fenced:
            self._handle_fence()
            await self._handle_renewal_failure(
                RenewalFailure.NO_ANSWER, received_s
            )
        elif not listing.is_same_life:
            await self._end_session(listing)
        else:
            self.is_unresponsive = False
            self.silent_since_s = inf
            self.is_fenced = False
            self.is_unreachable = False
            self.clock.record_reading(listing.clock_ms, now_s, received_s)
            self.last_reply_s = received_s
            if now_s - self.leave_reported_s > LEAVE_CONFIRMATION_S:
                logger.warning(
                    'Worker {} works on after the notice that it leaves',
                    self.worker.worker,
                )
                self.leave_reported_s = inf
            await self._reconcile(listing, now_s)
            await self._resume_leases()

    async def _handle_renewal_failure(
        self, failure: RenewalFailure, now_s: float
    ) -> None:
        self.is_unresponsive = True
        self.is_unreachable = failure is RenewalFailure.REFUSED
        self.silent_since_s = min(self.silent_since_s, now_s)
        expired = self.clock.leases_expired(
            now_s
        ) or self.owner.are_leases_over(self.worker.life)
        if not expired:
            await self._suspend_leases(now_s)
        # A partition may refuse connections too, while the worker runs on.
        lost = [
            tracked
            for tracked in self.runs.values()
            if expired and tracked.order_expiry_s <= now_s
        ]
        if lost and self.owner.may_order():
            logger.warning(
                'Worker {} is silent and its lease is over, refuses_connections'
                '={}: {} runs lost',
                self.worker.worker,
                self.is_unreachable,
                len(lost),
            )
            await self._commit_ends([
                tracked.inferred_end(EndKind.LOST) for tracked in lost
            ])
            self.is_synchronized = False
        await asyncio.sleep(RETRY_PAUSE_S)

    async def _suspend_leases(self, now_s: float) -> None:
        """Suspend the leases of a worker that has been silent for a while."""
        if (
            self.runs
            and not self.is_suspended
            and now_s - self.silent_since_s >= SUSPENSION_DELAY_S
            and self.owner.may_order()
        ):
            await self.owner.suspend_leases(
                self.worker.life, self.clock.leases_left_s(now_s)
            )

    async def _resume_leases(self) -> None:
        """Resume the leases of a worker that answers again."""
        if self.is_suspended and not await self.owner.resume_leases(
            self.worker.life
        ):
            await asyncio.sleep(RETRY_PAUSE_S)

    def _handle_fence(self) -> None:
        """Handle the answer that the worker knows a later leader.

        If a majority confirms the term after the first such answer, the token
        came from elsewhere. Only this worker is of no use then.
        """
        if not self.is_fenced:
            self.is_fenced = True
            self.owner.require_confirmation(self.worker.worker)

    async def _wait_for_authority(self) -> None:
        """Wait until orders may be sent; cancelled if the term ends."""
        while True:
            if self.owner.may_order():
                return
            await asyncio.sleep(RETRY_PAUSE_S / 4)

    async def _end_session(self, listing: Listing) -> None:
        """End the session once no run of this life can be on its successor."""
        logger.info(
            'The life {} of a worker is over, same_id={}',
            self.worker.life,
            listing.is_same_worker,
        )
        self.is_ending = True
        unlisted = [
            tracked for tracked in self.runs.values() if not tracked.is_listed
        ]
        for tracked in unlisted:
            # Prevents queued start orders from being sent.
            tracked.phase = RunPhase.STOPPING
        if listing.is_same_worker:
            # Late orders that were settled on this life; a run that is still
            # tracked is stopped by the cleanup.
            self._stop_late_orders()
            cleanup = SuccessorCleanup(
                connection=self.connection,
                owner=self.owner,
                runs=unlisted,
                commit_ends=self._commit_ends,
            )
            await cleanup.run()
        if self.owner.may_order():
            await self._remove_life()

    async def _remove_life(self) -> None:
        """Remove the life of the worker; its runs are lost."""
        self.is_ended = True
        await self.owner.remove_life(self)

    async def _reconcile(self, listing: Listing, sent_s: float) -> None:
        """Reconcile the runs that the worker lists with the expected ones."""
        ends: list[RunEnd] = []
        newest = self.acknowledged
        late_orders = self.owner.late_orders
        for listed_end in listing.ends:
            newest = max(newest, listed_end.number)
            late_orders.discard(
                self.worker.worker, listed_end.task, listed_end.run
            )
            tracked = self.runs.get(listed_end.task)
            if tracked is not None and tracked.start.run == listed_end.run:
                ends.append(tracked.reported_end(listed_end))
            elif self.owner.is_current(listed_end.task, listed_end.run):
                # The order was meant for an earlier life of the worker. Once
                # acknowledged, the end would not be listed again.
                ends.append(listed_end.to_run_end())
        ended = {end.task for end in ends}
        listed_keys = set()
        self.has_unexpected_runs = False
        for listed in listing.running:
            listed_keys.add((listed.task, listed.run))
            late_orders.discard(self.worker.worker, listed.task, listed.run)
            tracked = self.runs.get(listed.task)
            if tracked is None or tracked.start.run != listed.run:
                self.has_unexpected_runs = True
                self._stop_unexpected(listed.task, listed.run)
                continue
            if not tracked.is_listed:
                self.owner.record_begun(listed.task)
            tracked.is_listed = True
            tracked.order_expiry_s = -inf
            tracked.checkpoint = listed.checkpoint or tracked.checkpoint
            tracked.record_usage(listed.usage, self.owner.clock.monotonic_s())
            if tracked.phase in {RunPhase.ADOPTED, RunPhase.UNSURE}:
                tracked.phase = RunPhase.PRESENT
        for task, tracked in list(self.runs.items()):
            if tracked.phase is RunPhase.UNSURE and task not in ended:
                self.stop(task)
        ends.extend(
            tracked.inferred_end(EndKind.NEVER_STARTED)
            for task, tracked in self.runs.items()
            if task not in ended
            and (task, tracked.start.run) not in listed_keys
            # Its end may be among those that are not listed yet.
            and not listing.has_more_ends
            and self._is_gone(tracked, sent_s)
        )
        if ends and not await self._commit_ends(ends):
            return
        self.acknowledged = newest
        if not listing.has_more_ends:
            self.listed_s = sent_s
        if not self.is_synchronized and not listing.has_more_ends:
            self.is_synchronized = True
            self.owner.replan()

    def _is_gone(self, tracked: TrackedRun, sent_s: float) -> bool:
        """Whether a run that is not listed can no longer appear."""
        if tracked.phase is RunPhase.ADOPTED:
            # The worker has seen this term and refuses orders of earlier ones.
            return True
        if tracked.phase is RunPhase.PRESENT:
            return tracked.since_s < sent_s
        if tracked.phase is RunPhase.STOPPED:
            return tracked.stop_answered_s < sent_s
        return False

    async def _commit_ends(self, ends: Sequence[RunEnd]) -> bool:
        """Commit ends and stop tracking their runs; False if that failed."""
        if not await self.owner.end_runs(self, ends):
            await asyncio.sleep(RETRY_PAUSE_S)
            return False
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

    async def _send_order(self, tracked: TrackedRun, order: StartOrder) -> None:
        async with self.order_limit:
            await self._wait_for_authority()
            if tracked.phase is not RunPhase.ORDERED:
                return
            tracked.order_expiry_s = (
                self.owner.clock.monotonic_s() + MAX_ORDER_DELAY_S
            )
            answer, _ = await self.connection.start(order)
        self.owner.count_answer(answer)
        now_s = self.owner.clock.monotonic_s()
        if answer is not StartAnswer.UNANSWERED:
            tracked.order_expiry_s = -inf
        if answer is StartAnswer.STARTED:
            self.owner.record_begun(order.task)
            tracked.since_s = now_s
            tracked.started_ms = self.owner.wall_ms()
            if tracked.phase is RunPhase.ORDERED:
                tracked.phase = RunPhase.PRESENT
        elif answer in NEVER_STARTED_ANSWERS:
            if answer is StartAnswer.FENCED:
                self._handle_fence()
            await self._handle_refusal(tracked, answer, now_s)
        elif answer is StartAnswer.UNANSWERED:
            self._handle_lost_answer(tracked, order)

    def _handle_lost_answer(
        self, tracked: TrackedRun, order: StartOrder
    ) -> None:
        """Stop a run that may or may not have been started."""
        self.owner.late_orders.add(
            self.worker.worker, order.task, order.run, tracked.order_expiry_s
        )
        if not self._is_current(tracked):
            return
        logger.warning(
            'Start of {} run {} on {} got no answer',
            order.task,
            order.run,
            self.worker.worker,
        )
        if tracked.phase is RunPhase.ORDERED:
            tracked.phase = RunPhase.UNSURE
        self.stop(order.task)

    def _is_current(self, tracked: TrackedRun) -> bool:
        return self.runs.get(tracked.start.task) is tracked

    async def _handle_refusal(
        self, tracked: TrackedRun, answer: StartAnswer, now_s: float
    ) -> None:
        logger.warning(
            'Worker {} refused {} run {}: {}',
            self.worker.worker,
            tracked.start.task,
            tracked.start.run,
            answer.value,
        )
        backoff_s = REFUSAL_BACKOFF_S
        if answer in {StartAnswer.UNHEALTHY, StartAnswer.FENCED}:
            backoff_s = UNHEALTHY_BACKOFF_S
        if answer is StartAnswer.NO_TICKET:
            # Refusing a ticket says nothing about the health of the worker.
            backoff_s = 0.0
            self.owner.invalidate_ticket(tracked.start)
        self.backoff_until_s = max(self.backoff_until_s, now_s + backoff_s)
        while self._is_current(tracked):
            await self._wait_for_authority()
            ends = [tracked.inferred_end(EndKind.NEVER_STARTED)]
            if await self._commit_ends(ends):
                return

    async def _send_stop(
        self, task: TaskKey, run: int, tracked: TrackedRun | None
    ) -> None:
        while not self.is_ended and (
            tracked is None or self._is_current(tracked)
        ):
            if self.owner.may_order():
                async with self.order_limit:
                    answered = await self.connection.stop(
                        task, run, self.owner.term
                    )
                if answered:
                    break
            await asyncio.sleep(RETRY_PAUSE_S)
        if tracked is not None:
            tracked.phase = RunPhase.STOPPED
            tracked.stop_answered_s = self.owner.clock.monotonic_s()

    def _stop_late_orders(self) -> None:
        """Stop late orders for an earlier life, so that this one refuses them.

        Each life needs to be told, because it knows no stop of another one.
        """
        for task, run in self.owner.late_orders.pending(self.worker.worker):
            self._spawn(self._send_stop(task, run, None))

    def _stop_unexpected(self, task: TaskKey, run: int) -> None:
        logger.warning(
            'Worker {} runs {} run {}, which is not wanted',
            self.worker.worker,
            task,
            run,
        )
        self._spawn(self._send_stop(task, run, None))
