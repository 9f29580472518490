"""Orders of the leader to the gateways that dispatch attempts."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import TypeAlias

from loguru import logger
from msgspec.structs import replace

from mangotrail._fleet import Fleet
from mangotrail._messages import (
    AdoptJob,
    CommandBody,
    DispatchOrder,
    GatewayMessage,
    JobRecord,
    JobSpec,
    JobState,
    ReleaseOrder,
    StopOrder,
    ThrottleOrder,
)
from mangotrail.clock import Clock
from mangotrail.ids import InstanceId, JobId

SendOrder: TypeAlias = Callable[[InstanceId, GatewayMessage], None]
Propose: TypeAlias = Callable[[CommandBody], None]

# Orders may be lost, so orders without a reply are repeated after this time.
ORDER_REPEAT_S = 1.0
# A gateway that lost track of a running gang is ordered to adopt it within
# this time, well before the leases expire.
ADOPT_REPEAT_S = 5.0
# A hello reflects the begin or end of an attempt only after up to a second.
COUNT_SETTLE_S = 3.0
# Running attempts are adopted again at this interval even if the counts match,
# because a lost attempt and a stale one cancel out. Repeating every order each
# 5 s took 100 KB/s at 9,900 tasks.
ADOPT_AUDIT_S = 300.0


class Orders:
    """Sends and repeats orders, and replaces dispatchers that are lost.

    :param send: sends an order to the gateway of an instance.
    :param propose: proposes a command without waiting for it.
    """

    def __init__(
        self, *, fleet: Fleet, send: SendOrder, propose: Propose, clock: Clock
    ) -> None:
        self.fleet = fleet
        self.send = send
        self.propose = propose
        self.clock = clock
        self.stops: dict[JobId, tuple[StopOrder, float]] = {}
        self.sent_s: dict[JobId, float] = {}
        self.mismatch_since_s: dict[InstanceId, float] = {}
        self.adopted: set[JobId] = set()

    def dispatch(self, record: JobRecord) -> None:
        """Send the order to run the current attempt of a job."""
        if record.placement is None or record.dispatcher is None:
            return
        self.sent_s[record.job] = self.clock.monotonic_s()
        adopt = record.job in self.adopted or record.state is JobState.RUNNING
        self.send(
            record.dispatcher,
            DispatchOrder(
                job=record.job,
                attempt=record.attempt,
                # Adopted attempts are not sent to the endpoint again, so the
                # payload is not needed.
                job_spec=without_payload(record) if adopt else record.job_spec,
                placement=record.placement,
                adopt=adopt,
            ),
        )

    def reassign(self, record: JobRecord, before: JobRecord) -> None:
        """Order the new dispatcher of an attempt to adopt it."""
        self.adopted.add(record.job)
        if before.dispatcher is not None:
            release = ReleaseOrder(job=before.job, attempt=before.attempt)
            self.send(before.dispatcher, release)
        self.dispatch(record)

    def stop(
        self, record: JobRecord, reason: str, *, checkpoint_s: float = 0
    ) -> None:
        """Order the stop of an attempt.

        :param checkpoint_s: time for a checkpoint before the stop.
        """
        if record.placement is not None:
            order = StopOrder(
                job=record.job,
                attempt=record.attempt,
                reason=reason,
                placement=record.placement,
                checkpoint_s=checkpoint_s,
            )
            self._send_stop(record, order)

    def throttle(self, record: JobRecord, share: float) -> None:
        """Order the dispatcher to limit an attempt to a share of its size."""
        if record.placement is not None and record.dispatcher is not None:
            order = ThrottleOrder(
                job=record.job,
                attempt=record.attempt,
                share=share,
                placement=record.placement,
            )
            self.send(record.dispatcher, order)

    def is_stopping(self, job: JobId) -> bool:
        """Return whether the stop of the current attempt was ordered."""
        return job in self.stops

    def forget(self, job: JobId) -> None:
        """Drop the orders of an attempt that ended."""
        self.stops.pop(job, None)
        self.sent_s.pop(job, None)
        self.adopted.discard(job)

    def invalidate_sent(self, jobs: Sequence[JobRecord]) -> None:
        """Mark orders as unsent, because the gateway restarted."""
        for record in jobs:
            self.sent_s.pop(record.job, None)

    def supervise(self, dispatched: Sequence[JobRecord]) -> None:
        """Repeat orders, and replace dispatchers that are not alive.

        :param dispatched: all jobs with a current attempt.
        """
        now_s = self.clock.monotonic_s()
        self._compare_counts(dispatched, now_s)
        for record in dispatched:
            self._supervise_one(record, now_s)

    def _supervise_one(self, record: JobRecord, now_s: float) -> None:
        if record.dispatcher is None or record.placement is None:
            return
        if not self.fleet.is_alive(record.dispatcher, now_s):
            self._replace_dispatcher(record, now_s)
            return
        stop = self.stops.get(record.job)
        if stop is not None:
            if now_s - stop[1] >= ORDER_REPEAT_S:
                self._send_stop(record, stop[0])
            return
        sent_s = self.sent_s.get(record.job)
        if sent_s is None:
            # The attempt may have begun under an earlier leader or gateway
            # process.
            self.adopted.add(record.job)
            self.dispatch(record)
        elif now_s - sent_s >= self._repeat_period_s(record, now_s):
            self.dispatch(record)

    def _replace_dispatcher(self, record: JobRecord, now_s: float) -> None:
        sent_s = self.sent_s.get(record.job, 0)
        if now_s - sent_s < ORDER_REPEAT_S or record.placement is None:
            return
        successor = self.fleet.dispatcher_for(
            record.placement.zone, record.origin, now_s
        )
        if successor is None or successor == record.dispatcher:
            return
        self.sent_s[record.job] = now_s
        logger.info('Job {} moves to dispatcher {}', record.job, successor)
        self.propose(
            AdoptJob(
                job=record.job, attempt=record.attempt, dispatcher=successor
            )
        )

    def _send_stop(self, record: JobRecord, order: StopOrder) -> None:
        self.stops[record.job] = (order, self.clock.monotonic_s())
        if record.dispatcher is not None:
            self.send(record.dispatcher, order)

    def _compare_counts(
        self, dispatched: Sequence[JobRecord], now_s: float
    ) -> None:
        """Track since when a gateway reports an unexpected attempt count."""
        wanted = Counter(record.dispatcher for record in dispatched)
        for instance in self.fleet.gateways:
            if self.fleet.attempts(instance) == wanted[instance]:
                self.mismatch_since_s.pop(instance, None)
            else:
                self.mismatch_since_s.setdefault(instance, now_s)

    def _repeat_period_s(self, record: JobRecord, now_s: float) -> float:
        if record.state is not JobState.RUNNING or record.dispatcher is None:
            return ORDER_REPEAT_S
        mismatch_since_s = self.mismatch_since_s.get(record.dispatcher, now_s)
        if now_s - mismatch_since_s >= COUNT_SETTLE_S:
            return ADOPT_REPEAT_S
        return ADOPT_AUDIT_S


def without_payload(record: JobRecord) -> JobSpec:
    """Return the request of a job without its payload of up to 64 KiB."""
    return replace(record.job_spec, payload='')
