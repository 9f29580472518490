"""Work of the leading control process: decisions, orders and reports."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeAlias, cast

from loguru import logger

from mangotrail._fleet import Fleet
from mangotrail._job_metrics import JobMetrics
from mangotrail._messages import (
    Accepted,
    AttemptReport,
    CallBody,
    Command,
    CommandBody,
    ConfirmCall,
    ConfirmReply,
    ExpireRecords,
    FinishJob,
    GatewayHello,
    GrantJob,
    HeartbeatCall,
    JobRecord,
    JobReply,
    JobState,
    Outcome,
    ReplyBody,
    RollOutBundle,
    SetZone,
    SubmitCall,
    SubmitJob,
    UsageCall,
    WorkersCall,
    WriteBundle,
    ZoneState,
)
from mangotrail._orders import Orders, SendOrder, without_payload
from mangotrail._replica import Replica
from mangotrail._report_commands import command_for_report
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
from mangotrail.logs import log_context
from mangotrail.metrics import DECISION_TIME, WORKERS_QUARANTINED, Metrics
from mangotrail.scheduler import Scheduler

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
        self.clock = clock
        self.metrics = metrics
        self.job_metrics = JobMetrics(metrics=metrics)
        self.wait_reasons: dict[JobId, str] = {}
        self.faulty_workers: dict[JobId, WorkerId] = {}
        self.orders = Orders(
            fleet=fleet, send=send_order, propose=self._propose, clock=clock
        )
        self.quarantined: dict[WorkerId, str] = {}
        self.proposals: set[asyncio.Task[None]] = set()
        self.last_expiry_s = clock.monotonic_s()

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
                self.policy.record_runtime(
                    spec.account, spec.job_kind, record.runtime_s
                )

    def feed(self, event: Event) -> None:
        """Give the policy one event and act on its decisions."""
        if isinstance(event, BundleApplied):
            self.fleet.zones = {spec.zone: spec for spec in event.bundle.zones}
        started_s = self.clock.monotonic_s()
        decisions = self.policy.handle(event, started_s)
        self.metrics.time(DECISION_TIME, self.clock.monotonic_s() - started_s)
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

    def on_applied(
        self, command: Command, result: ReplyBody, before: JobRecord | None
    ) -> None:
        """Follow a log entry that was applied while this member leads.

        :param before: the job of the command before the entry.
        """
        body = command.body
        if isinstance(result, JobReply):
            self._on_job_change(
                self.replica.state.jobs[result.view.job], before
            )
        elif isinstance(result, Accepted):
            self._on_configuration_change(body)
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
        now_s = self.clock.monotonic_s()
        for instance, order in self.fleet.observe_orders(now_s):
            self.orders.send(instance, order)
        if self.fleet.endpoints_changed(self.replica.state, now_s):
            self._feed_endpoints()
        dispatched = tuple(
            record
            for record in self.replica.state.unfinished_jobs()
            if record.state is not JobState.QUEUED
        )
        self.orders.supervise(dispatched)
        self.job_metrics.report_gauges(
            self.replica.state.unfinished_jobs(),
            self.fleet.last_available,
            now_s,
        )
        if now_s - self.last_expiry_s > EXPIRE_PERIOD_S:
            self.last_expiry_s = now_s
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
        proposal = asyncio.create_task(self._propose_or_log(body))
        self.proposals.add(proposal)
        proposal.add_done_callback(self.proposals.discard)

    async def _propose_or_log(self, body: CommandBody) -> None:
        try:
            await self.replica.propose(body)
        except MangotrailError as error:
            # The next leader decides again from the replicated state.
            logger.warning('A proposal was not committed: {}', error)

    def _feed_endpoints(self) -> None:
        endpoints = self.fleet.available_endpoints(
            self.replica.state, self.clock.monotonic_s()
        )
        self.feed(EndpointsChanged(endpoints=endpoints))

    def _on_configuration_change(self, body: CommandBody) -> None:
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
        elif self.fleet.endpoints_changed(state, self.clock.monotonic_s()):
            self._feed_endpoints()

    def _on_job_change(
        self, record: JobRecord, before: JobRecord | None
    ) -> None:
        self.job_metrics.record_change(record, before)
        if before is None or record.state is not before.state:
            spec = record.job_spec
            with log_context(request=spec.request, account=spec.account):
                logger.info('job {} is {}', record.job, record.state.value)
        if before is None:
            self.feed(
                JobSubmitted(job=record.job, job_spec=without_payload(record))
            )
            return
        if record.state is JobState.FINISHED:
            self._on_job_end(record, before)
        elif record.state is JobState.QUEUED:
            self._on_job_requeue(record, before)
        elif record.dispatcher != before.dispatcher:
            if before.state is JobState.QUEUED:
                self.orders.dispatch(record)
            else:
                self.orders.reassign(record, before)
        elif record.state is not before.state:
            self.feed(GangStarted(job=record.job, attempt=record.attempt))
        if record.cancel_requested and not before.cancel_requested:
            self.feed(JobCancelled(job=record.job))

    def _on_job_end(self, record: JobRecord, before: JobRecord) -> None:
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

    def _on_job_requeue(self, record: JobRecord, before: JobRecord) -> None:
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

    def _forget(self, job: JobId) -> None:
        self.wait_reasons.pop(job, None)
        self.orders.forget(job)

    def _place(self, decision: Place) -> None:
        self.wait_reasons.pop(decision.job, None)
        record = self.replica.state.jobs[decision.job]
        dispatcher = self.fleet.dispatcher_for(
            decision.placement.zone, record.origin, self.clock.monotonic_s()
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
        record = self._current(decision.job, decision.attempt)
        if record is not None:
            self.job_metrics.count_preempted(record)
            self.orders.stop(
                record, 'checkpoint', checkpoint_s=decision.deadline_s
            )

    def _stop(self, decision: Stop) -> None:
        record = self._current(decision.job, decision.attempt)
        if record is not None:
            self.orders.stop(record, decision.reason)

    def _throttle(self, decision: Throttle) -> None:
        record = self._current(decision.job, decision.attempt)
        if record is not None:
            self.orders.throttle(record, decision.share)

    def _current(self, job: JobId, attempt: int) -> JobRecord | None:
        record = self.replica.state.jobs.get(job)
        if record is None or record.attempt != attempt:
            return None
        return record

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
                self.job_metrics.count_refused(refusal.code)
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
        reason = self._confirm_refusal(instance, body)
        # Authority is checked last: nothing may happen between it and the reply.
        if not reason and not self.replica.has_authority():
            reason = 'this member may no longer lead'
        return ConfirmReply(granted=not reason, reason=reason)

    def _confirm_refusal(self, instance: InstanceId, body: ConfirmCall) -> str:
        record = self.replica.state.jobs.get(body.job)
        if record is None or record.attempt != body.attempt:
            return 'the attempt is not the current one'
        if record.state is not JobState.GRANTED or record.placement is None:
            return 'the attempt is not granted'
        if record.dispatcher != instance:
            return 'another gateway dispatches the attempt'
        if record.cancel_requested or self.orders.is_stopping(body.job):
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
        await self.replica.propose(command_for_report(record, instance, body))
        return Accepted()

    async def _heartbeats(
        self, instance: InstanceId, body: HeartbeatCall
    ) -> ReplyBody:
        self.fleet.record_heartbeats(body.endpoints, self.clock.monotonic_s())
        return Accepted()

    async def _hello(
        self, instance: InstanceId, body: GatewayHello
    ) -> ReplyBody:
        restarted = self.fleet.record_hello(
            instance, body, self.clock.monotonic_s()
        )
        if restarted:
            self.orders.invalidate_sent([
                record
                for record in self.replica.state.unfinished_jobs()
                if record.dispatcher == instance
            ])
        return Accepted()

    async def _workers(
        self, instance: InstanceId, body: WorkersCall
    ) -> ReplyBody:
        self.feed(WorkersReported(workers=body.workers))
        return Accepted()

    async def _usage(self, instance: InstanceId, body: UsageCall) -> ReplyBody:
        self.feed(UsageReported(usage=body.usage))
        return Accepted()


def _restored(record: JobRecord, now_s: float) -> JobRestored:
    running = record.state is JobState.RUNNING
    return JobRestored(
        job=record.job,
        job_spec=without_payload(record),
        attempt=record.attempt,
        placement=record.placement,
        age_s=max(now_s - record.accepted_s, 0),
        running_s=max(now_s - record.started_s, 0) if running else 0,
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
