"""Work of the leading control process: decisions, orders and reports."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, TypeAlias, cast

import msgspec
from loguru import logger

from mangotrail._fleet import Fleet
from mangotrail._messages import (
    Accepted,
    AdoptJob,
    AttemptReport,
    AttemptStatus,
    CallBody,
    Command,
    CommandBody,
    ConfirmCall,
    ConfirmReply,
    DispatchOrder,
    ExpireRecords,
    FinishJob,
    GatewayHello,
    GatewayMessage,
    GrantJob,
    HeartbeatCall,
    JobRecord,
    JobReply,
    JobState,
    Outcome,
    ReleaseOrder,
    ReplyBody,
    RequeueJob,
    RollOutBundle,
    SetZone,
    StartJob,
    StopOrder,
    SubmitCall,
    SubmitJob,
    ThrottleOrder,
    UsageCall,
    WorkersCall,
    WriteBundle,
    ZoneState,
)
from mangotrail._replica import Replica
from mangotrail.bundle import check_bundle
from mangotrail.clock import Clock
from mangotrail.errors import MangotrailError
from mangotrail.events import (
    BundleApplied,
    Checkpoint,
    Decision,
    EndpointsChanged,
    Event,
    Finish,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobRestored,
    JobSubmitted,
    Place,
    Quarantine,
    Refuse,
    Release,
    Stop,
    Throttle,
    Tick,
    UsageReported,
    Wait,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.guarantees import check_guarantees
from mangotrail.ids import InstanceId, JobId, WorkerId
from mangotrail.metrics import DECISION_TIME, WORKERS_QUARANTINED, Metrics
from mangotrail.scheduler import Scheduler

SendOrder: TypeAlias = Callable[[InstanceId, GatewayMessage], None]

# Orders may be lost on the way, so unanswered ones are sent again.
ORDER_REPEAT_S = 1.0
# A gateway that lost an order of a running gang adopts it within this time,
# well before the leases end.
ADOPT_REPEAT_S = 5.0
# A hello takes up to a second to show an attempt that began or ended.
COUNT_SETTLE_S = 3.0
# Finds an attempt that was lost while another one lingered, so that the count
# was right. Repeating every order each 5 s took 100 KB/s at 9,900 tasks.
ADOPT_AUDIT_S = 300.0
EXPIRE_PERIOD_S = 600.0


class Leader:
    """Turns log entries and reports into events, and decisions into commands.

    An instance lives from the election of this member until it stops leading.

    :param policy: the scheduling policy; it starts without any state.
    :param send_order: sends an order to the gateway of an instance.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        policy: Scheduler,
        fleet: Fleet,
        send_order: SendOrder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.replica = replica
        self.policy = policy
        self.fleet = fleet
        self.send_order = send_order
        self.clock = clock
        self.metrics = metrics
        self.wait_reasons: dict[JobId, str] = {}
        self.faulty_workers: dict[JobId, WorkerId] = {}
        self.stops: dict[JobId, tuple[StopOrder, float]] = {}
        self.order_sent_s: dict[JobId, float] = {}
        self.count_differs_s: dict[InstanceId, float] = {}
        self.adopted: set[JobId] = set()
        self.quarantined: dict[WorkerId, str] = {}
        self.proposals: set[asyncio.Task[None]] = set()
        self.expired_s = clock.age_s()

    def restore(self) -> None:
        """Load the policy from the replicated state."""
        state = self.replica.state
        if state.bundle is None:
            return
        self.feed(BundleApplied(bundle=state.bundle))
        for zone in state.zones.values():
            self.feed(
                ZoneChanged(
                    zone=zone.zone,
                    state=zone.state,
                    deadline_s=zone.deadline_s,
                )
            )
        self._feed_endpoints()
        now_s = self.clock.wall_s()
        self._restore_estimates()
        unfinished = tuple(state.unfinished_jobs())
        for record in unfinished:
            self.feed(_restored(record, now_s))
        # Only once all resources are held again may an event place work.
        for record in unfinished:
            if record.cancel_requested:
                self.feed(JobCancelled(job=record.job))

    def _restore_estimates(self) -> None:
        for record in self.replica.state.jobs.values():
            if record.outcome is Outcome.ANSWERED and record.runtime_s:
                spec = record.job_spec
                self.policy.learn_runtime(
                    spec.account, spec.job_kind, record.runtime_s
                )

    def feed(self, event: Event) -> None:
        """Give the policy one event and act on its decisions."""
        if isinstance(event, BundleApplied):
            self.fleet.zones = {spec.zone: spec for spec in event.bundle.zones}
        started_s = self.clock.age_s()
        decisions = self.policy.handle(event, started_s)
        self.metrics.time(DECISION_TIME, self.clock.age_s() - started_s)
        for decision in decisions:
            _DECISIONS[type(decision)](self, decision)

    async def call(self, instance: InstanceId, body: CallBody) -> ReplyBody:
        """Answer one call of a gateway.

        :param instance: instance whose gateway made the call.
        :raises MangotrailError: a subclass that tells why it failed.
        """
        handler = _CALLS.get(type(body))
        if handler is not None:
            return await handler(self, instance, body)
        return await self.replica.propose(cast('CommandBody', body))

    def applied(
        self, command: Command, result: ReplyBody, before: JobRecord | None
    ) -> None:
        """Follow a log entry that was applied while this member leads.

        :param before: the job of the command before the entry.
        """
        body = command.body
        if isinstance(result, JobReply):
            self._follow_job(self.replica.state.jobs[result.view.job], before)
        elif isinstance(result, Accepted):
            self._follow_configuration(body)
        elif isinstance(body, GrantJob):
            reason = getattr(result, 'message', '')
            self.feed(
                GangFailed(
                    job=body.job,
                    attempt=body.attempt,
                    nothing_ran=True,
                    reason=reason,
                )
            )

    def tick(self) -> None:
        """Repeat unanswered orders, replace lost dispatchers, let time pass."""
        now_s = self.clock.age_s()
        for instance, order in self.fleet.observe_orders(now_s):
            self.send_order(instance, order)
        if self.fleet.endpoints_changed(self.replica.state, now_s):
            self._feed_endpoints()
        dispatched = tuple(
            record
            for record in self.replica.state.unfinished_jobs()
            if record.state is not JobState.QUEUED
        )
        self._compare_counts(dispatched, now_s)
        for record in dispatched:
            self._supervise(record, now_s)
        if now_s - self.expired_s > EXPIRE_PERIOD_S:
            self.expired_s = now_s
            self._propose(ExpireRecords())
        self.feed(Tick())

    def wait_reason(self, record: JobRecord) -> str:
        """Return why a job waits, as the policy last said."""
        if record.state is JobState.QUEUED:
            return self.wait_reasons.get(record.job, record.reason)
        return record.reason

    def close(self) -> None:
        """Drop proposals that no longer matter."""
        for proposal in self.proposals:
            proposal.cancel()

    def _propose(self, body: CommandBody) -> None:
        proposal = asyncio.create_task(self._propose_quietly(body))
        self.proposals.add(proposal)
        proposal.add_done_callback(self.proposals.discard)

    async def _propose_quietly(self, body: CommandBody) -> None:
        try:
            await self.replica.propose(body)
        except MangotrailError as error:
            # The next leader decides again from the replicated state.
            logger.warning('A proposal was not committed: {}', error)

    def _feed_endpoints(self) -> None:
        endpoints = self.fleet.available_endpoints(
            self.replica.state, self.clock.age_s()
        )
        self.feed(EndpointsChanged(endpoints=endpoints))

    def _follow_configuration(self, body: CommandBody) -> None:
        state = self.replica.state
        if isinstance(body, RollOutBundle) and state.bundle is not None:
            self.feed(BundleApplied(bundle=state.bundle))
        elif isinstance(body, SetZone):
            self.feed(
                ZoneChanged(
                    zone=body.zone,
                    state=body.state,
                    deadline_s=body.deadline_s,
                )
            )
        elif self.fleet.endpoints_changed(state, self.clock.age_s()):
            self._feed_endpoints()

    def _follow_job(self, record: JobRecord, before: JobRecord | None) -> None:
        if before is None:
            self.feed(JobSubmitted(job=record.job, job_spec=_light(record)))
            return
        if record.state is JobState.FINISHED:
            self._follow_end(record, before)
        elif record.state is JobState.QUEUED:
            self._follow_requeue(record, before)
        elif record.dispatcher != before.dispatcher:
            if before.state is not JobState.QUEUED:
                self.adopted.add(record.job)
                self._release_dispatcher(before)
            self._dispatch(record)
        elif record.state is not before.state:
            self.feed(GangStarted(job=record.job, attempt=record.attempt))
        if record.cancel_requested and not before.cancel_requested:
            self.feed(JobCancelled(job=record.job))

    def _follow_end(self, record: JobRecord, before: JobRecord) -> None:
        if before.state is JobState.FINISHED:
            return
        self._forget(record.job)
        if before.state is JobState.QUEUED and (
            record.outcome is Outcome.CANCELLED
        ):
            self.feed(JobCancelled(job=record.job))
            return
        self.feed(
            JobFinished(
                job=record.job,
                attempt=record.attempt,
                outcome=record.outcome or Outcome.OUTCOME_UNKNOWN,
                runtime_s=record.runtime_s,
                worker=self.faulty_workers.pop(record.job, None),
            )
        )

    def _follow_requeue(self, record: JobRecord, before: JobRecord) -> None:
        if before.state is JobState.QUEUED:
            return
        self._forget(record.job)
        self.feed(
            GangFailed(
                job=record.job,
                attempt=record.attempt,
                nothing_ran=not record.ran,
                reason=record.reason,
                worker=self.faulty_workers.pop(record.job, None),
            )
        )

    def _release_dispatcher(self, before: JobRecord) -> None:
        """End the part of a dispatcher that lost its attempt to another."""
        if before.dispatcher is not None:
            order = ReleaseOrder(job=before.job, attempt=before.attempt)
            self.send_order(before.dispatcher, order)

    def _forget(self, job: JobId) -> None:
        self.wait_reasons.pop(job, None)
        self.stops.pop(job, None)
        self.order_sent_s.pop(job, None)
        self.adopted.discard(job)

    def _compare_counts(
        self, dispatched: Sequence[JobRecord], now_s: float
    ) -> None:
        """Note since when a gateway has not the attempts it should have."""
        wanted = Counter(record.dispatcher for record in dispatched)
        for instance in self.fleet.gateways:
            if self.fleet.attempts(instance) == wanted[instance]:
                self.count_differs_s.pop(instance, None)
            else:
                self.count_differs_s.setdefault(instance, now_s)

    def _repeat_period_s(self, record: JobRecord, now_s: float) -> float:
        if record.state is not JobState.RUNNING or record.dispatcher is None:
            return ORDER_REPEAT_S
        differs_s = self.count_differs_s.get(record.dispatcher, now_s)
        if now_s - differs_s >= COUNT_SETTLE_S:
            return ADOPT_REPEAT_S
        return ADOPT_AUDIT_S

    def _supervise(self, record: JobRecord, now_s: float) -> None:
        """Repeat orders of one attempt, or give it another dispatcher."""
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
        sent_s = self.order_sent_s.get(record.job)
        if sent_s is None:
            # An earlier leader or gateway process may have begun the attempt.
            self.adopted.add(record.job)
            self._dispatch(record)
            return
        if now_s - sent_s >= self._repeat_period_s(record, now_s):
            self._dispatch(record)

    def _replace_dispatcher(self, record: JobRecord, now_s: float) -> None:
        sent_s = self.order_sent_s.get(record.job, 0)
        if now_s - sent_s < ORDER_REPEAT_S or record.placement is None:
            return
        heir = self.fleet.dispatcher_for(
            record.placement.zone, record.origin, now_s
        )
        if heir is None or heir == record.dispatcher:
            return
        self.order_sent_s[record.job] = now_s
        logger.info('Job {} moves to dispatcher {}', record.job, heir)
        self._propose(
            AdoptJob(job=record.job, attempt=record.attempt, dispatcher=heir)
        )

    def _dispatch(self, record: JobRecord) -> None:
        if record.placement is None or record.dispatcher is None:
            return
        self.order_sent_s[record.job] = self.clock.age_s()
        adopt = record.job in self.adopted or record.state is JobState.RUNNING
        self.send_order(
            record.dispatcher,
            DispatchOrder(
                job=record.job,
                attempt=record.attempt,
                # An adopted attempt is never sent to the endpoint again.
                job_spec=_light(record) if adopt else record.job_spec,
                placement=record.placement,
                adopt=adopt,
            ),
        )

    def _send_stop(self, record: JobRecord, order: StopOrder) -> None:
        self.stops[record.job] = (order, self.clock.age_s())
        if record.dispatcher is not None:
            self.send_order(record.dispatcher, order)

    def _place(self, decision: Place) -> None:
        self.wait_reasons.pop(decision.job, None)
        record = self.replica.state.jobs[decision.job]
        dispatcher = self.fleet.dispatcher_for(
            decision.placement.zone, record.origin, self.clock.age_s()
        )
        if dispatcher is None:
            self.feed(
                GangFailed(
                    job=decision.job,
                    attempt=decision.attempt,
                    nothing_ran=True,
                    reason='no gateway can dispatch',
                )
            )
            return
        self._propose(
            GrantJob(
                job=decision.job,
                attempt=decision.attempt,
                placement=decision.placement,
                dispatcher=dispatcher,
            )
        )

    def _refuse(self, decision: Refuse) -> None:
        self._propose(
            FinishJob(
                job=decision.job,
                attempt=0,
                outcome=Outcome.NOT_RUN,
                ran=False,
                reason=decision.reason[:256],
            )
        )

    def _finish(self, decision: Finish) -> None:
        self._propose(
            FinishJob(
                job=decision.job,
                attempt=0,
                outcome=decision.outcome,
                ran=decision.ran,
                reason=decision.reason[:256],
            )
        )

    def _wait(self, decision: Wait) -> None:
        self.wait_reasons[decision.job] = decision.reason

    def _checkpoint(self, decision: Checkpoint) -> None:
        self._stop_attempt(
            decision.job, decision.attempt, 'checkpoint', decision.deadline_s
        )

    def _stop(self, decision: Stop) -> None:
        self._stop_attempt(decision.job, decision.attempt, decision.reason, 0)

    def _stop_attempt(
        self, job: JobId, attempt: int, reason: str, checkpoint_s: float
    ) -> None:
        record = self.replica.state.jobs.get(job)
        if record is None or record.placement is None:
            return
        if record.attempt == attempt:
            order = StopOrder(
                job=job,
                attempt=attempt,
                reason=reason,
                placement=record.placement,
                checkpoint_s=checkpoint_s,
            )
            self._send_stop(record, order)

    def _throttle(self, decision: Throttle) -> None:
        record = self.replica.state.jobs.get(decision.job)
        if record is None or record.placement is None:
            return
        if record.dispatcher is not None:
            self.send_order(
                record.dispatcher,
                ThrottleOrder(
                    job=decision.job,
                    attempt=decision.attempt,
                    share=decision.share,
                    placement=record.placement,
                ),
            )

    def _quarantine(self, decision: Quarantine) -> None:
        self.quarantined[decision.worker] = decision.reason
        self.metrics.put(WORKERS_QUARANTINED, len(self.quarantined))
        logger.warning('Quarantined worker {}', decision.worker)

    def _release(self, decision: Release) -> None:
        self.quarantined.pop(decision.worker, None)
        self.metrics.put(WORKERS_QUARANTINED, len(self.quarantined))

    async def _submit(
        self, instance: InstanceId, body: SubmitCall
    ) -> ReplyBody:
        spec = body.job_spec
        key = (spec.account, spec.request)
        if key not in self.replica.state.job_keys:
            refusal = self.policy.refusal(spec)
            if refusal is not None:
                raise refusal
        return await self.replica.propose(
            SubmitJob(job_spec=spec, origin=instance)
        )

    async def _write_bundle(
        self, instance: InstanceId, body: WriteBundle
    ) -> ReplyBody:
        if body.operation not in self.replica.state.operations:
            check_bundle(body.bundle)
            check_guarantees(body.bundle)
        return await self.replica.propose(body)

    async def _confirm(
        self, instance: InstanceId, body: ConfirmCall
    ) -> ReplyBody:
        reason = self._confirm_obstacle(instance, body)
        # Authority is checked last: nothing may happen between it and the reply.
        if not reason and not self.replica.has_authority():
            reason = 'this member may no longer lead'
        return ConfirmReply(granted=not reason, reason=reason)

    def _confirm_obstacle(self, instance: InstanceId, body: ConfirmCall) -> str:
        record = self.replica.state.jobs.get(body.job)
        if record is None or record.attempt != body.attempt:
            return 'the attempt is not the current one'
        if record.state is not JobState.GRANTED or record.placement is None:
            return 'the attempt is not granted'
        if record.dispatcher != instance:
            return 'another gateway dispatches the attempt'
        if record.cancel_requested or body.job in self.stops:
            return 'the attempt is being stopped'
        zone = record.placement.zone
        if self.replica.state.zone_state(zone) is not ZoneState.IN:
            return 'the zone takes no work'
        endpoint = self.replica.state.endpoints.get(record.placement.endpoint)
        if endpoint is None or endpoint.left:
            return 'the endpoint has left'
        return ''

    async def _report(
        self, instance: InstanceId, body: AttemptReport
    ) -> ReplyBody:
        record = self.replica.state.jobs.get(body.job)
        if record is None or record.attempt != body.attempt:
            return Accepted()
        if record.state is JobState.FINISHED:
            return Accepted()
        if body.worker is not None:
            self.faulty_workers[body.job] = body.worker
        await self.replica.propose(_report_command(record, instance, body))
        return Accepted()

    async def _heartbeats(
        self, instance: InstanceId, body: HeartbeatCall
    ) -> ReplyBody:
        self.fleet.heard(body.endpoints, self.clock.age_s())
        return Accepted()

    async def _hello(
        self, instance: InstanceId, body: GatewayHello
    ) -> ReplyBody:
        restarted = self.fleet.hello(instance, body, self.clock.age_s())
        if restarted:
            for record in self.replica.state.unfinished_jobs():
                if record.dispatcher == instance:
                    self.order_sent_s.pop(record.job, None)
        return Accepted()

    async def _workers(
        self, instance: InstanceId, body: WorkersCall
    ) -> ReplyBody:
        self.feed(WorkersReported(workers=body.workers))
        return Accepted()

    async def _usage(self, instance: InstanceId, body: UsageCall) -> ReplyBody:
        self.feed(UsageReported(usage=body.usage))
        return Accepted()


def _light(record: JobRecord) -> Any:
    # The policy never reads the payload; a copy of it would double its memory.
    return msgspec.structs.replace(record.job_spec, payload='')


def _restored(record: JobRecord, now_s: float) -> JobRestored:
    running = record.state is JobState.RUNNING
    return JobRestored(
        job=record.job,
        job_spec=_light(record),
        attempt=record.attempt,
        placement=record.placement,
        age_s=max(now_s - record.accepted_s, 0),
        running_s=max(now_s - record.started_s, 0) if running else 0,
    )


def _report_command(
    record: JobRecord, instance: InstanceId, body: AttemptReport
) -> CommandBody:
    """Return the log entry that follows from a dispatcher's report."""
    if body.status is AttemptStatus.BEGAN:
        return StartJob(job=body.job, attempt=body.attempt)
    if body.status is AttemptStatus.ANSWERED:
        return _end(body, Outcome.ANSWERED, instance)
    if not record.job_spec.idempotent:
        if body.status is AttemptStatus.FAILED:
            return _end(body, Outcome.FAILED, instance)
    return RequeueJob(
        job=body.job,
        attempt=body.attempt,
        reason=(body.reason or body.status.value)[:256],
        ran=body.status is not AttemptStatus.NOTHING_RAN,
    )


def _end(
    body: AttemptReport, outcome: Outcome, instance: InstanceId
) -> FinishJob:
    return FinishJob(
        job=body.job,
        attempt=body.attempt,
        outcome=outcome,
        ran=True,
        reason=body.reason[:256],
        answer=body.answer,
        answer_sha256=body.answer_sha256,
        answer_bytes=body.answer_bytes,
        holder=None if body.answer is not None else instance,
        runtime_s=body.runtime_s,
    )


_CallHandler: TypeAlias = Callable[
    [Leader, InstanceId, Any], Awaitable[ReplyBody]
]

_CALLS: Mapping[type, _CallHandler] = {
    SubmitCall: Leader._submit,
    WriteBundle: Leader._write_bundle,
    ConfirmCall: Leader._confirm,
    AttemptReport: Leader._report,
    HeartbeatCall: Leader._heartbeats,
    GatewayHello: Leader._hello,
    WorkersCall: Leader._workers,
    UsageCall: Leader._usage,
}

_DECISIONS: Mapping[type[Decision], Callable[[Leader, Any], None]] = {
    Place: Leader._place,
    Refuse: Leader._refuse,
    Finish: Leader._finish,
    Wait: Leader._wait,
    Checkpoint: Leader._checkpoint,
    Stop: Leader._stop,
    Throttle: Leader._throttle,
    Quarantine: Leader._quarantine,
    Release: Leader._release,
}
