"""State transitions of a job record, and checks of new requests."""

from hashlib import sha256

import msgspec
from msgspec.structs import replace

from mangotrail._bundle import Bundle
from mangotrail._messages import (
    AdoptJob,
    FinishJob,
    GrantJob,
    JobRecord,
    JobSpec,
    JobState,
    JobView,
    Outcome,
    RequeueJob,
    StartJob,
    ZoneState,
)
from mangotrail.errors import (
    ForbiddenError,
    PayloadTooLargeError,
    RequestTooOldError,
    UnavailableError,
    UnknownObjectError,
)

# The clocks of callers may be ahead by this much.
MAX_CLOCK_LEAD_S = 300.0


def view_of(record: JobRecord) -> JobView:
    """Return the part of a job record that its caller may see."""
    return JobView(
        job=record.job,
        account=record.job_spec.account,
        request=record.job_spec.request,
        state=record.state,
        outcome=record.outcome,
        ran=record.ran,
        reason=record.reason,
        attempt=record.attempt,
        zone=record.zone,
        answer=record.answer,
        answer_sha256=record.answer_sha256,
        answer_bytes=record.answer_bytes,
        holder=record.holder,
    )


def request_digest(spec: JobSpec) -> bytes:
    """Return the SHA-256 of the fields that a retry must repeat.

    A retry may have a later creation time and a shorter deadline.
    """
    repeated = replace(spec, created_at_s=0, deadline_s=None)
    return sha256(msgspec.msgpack.encode(repeated)).digest()


def check_submission(bundle: Bundle, spec: JobSpec, time_s: float) -> None:
    """Check a new request against the bundle in force.

    :param time_s: wall time of acceptance.
    :raises MangotrailError: if the request is invalid; names the field.
    """
    if spec.account not in {account.account for account in bundle.accounts}:
        raise ForbiddenError(
            'the bundle in force has no such account',
            field='account',
            value=spec.account,
            remedy='ask the operators to add the account',
        )
    if spec.service not in {service.service for service in bundle.services}:
        raise UnknownObjectError(
            'the bundle in force has no such service',
            field='service',
            value=spec.service,
            allowed=', '.join(item.service for item in bundle.services),
            remedy='use a service of the bundle',
        )
    limit = bundle.limits.max_payload_bytes
    if len(spec.payload.encode()) > limit:
        raise PayloadTooLargeError(
            'the payload is too large',
            field='payload',
            value=f'{len(spec.payload)} characters',
            allowed=f'at most {limit} bytes',
            remedy='send a reference to the data',
        )
    retention_s = bundle.limits.retention_s
    if spec.created_at_s < time_s - retention_s:
        raise RequestTooOldError(
            'the request is older than the retention of request ids',
            field='created_at_s',
            value=spec.created_at_s,
            allowed=f'at most {retention_s} s old',
            remedy='find out what the first try did, then use a new id',
        )
    if spec.created_at_s > time_s + MAX_CLOCK_LEAD_S:
        raise RequestTooOldError(
            'the creation time of the request is in the future',
            field='created_at_s',
            value=spec.created_at_s,
            allowed=f'at most {MAX_CLOCK_LEAD_S} s ahead',
            remedy='set the clock of the caller',
        )


def grant(
    record: JobRecord,
    body: GrantJob,
    time_s: float,
    zone_state: ZoneState,
    *,
    endpoint_left: bool,
) -> JobRecord:
    """Record that a new attempt of a queued job may run.

    :raises UnavailableError: if the attempt must not run; nothing was sent.
    """
    if record.state is not JobState.QUEUED or record.cancel_requested:
        raise UnavailableError('the job does not wait', field='job')
    if body.attempt <= record.attempt:
        raise UnavailableError('the attempt is not a new one', field='attempt')
    if record.ran and not record.job_spec.idempotent:
        raise UnavailableError('the job may have run before', field='job')
    if zone_state is not ZoneState.IN:
        raise UnavailableError('the zone takes no work', field='zone')
    if endpoint_left:
        raise UnavailableError('the endpoint has left', field='endpoint')
    return replace(
        record,
        state=JobState.GRANTED,
        attempt=body.attempt,
        placement=body.placement,
        zone=body.placement.zone,
        dispatcher=body.dispatcher,
        granted_s=time_s,
        started_s=0,
        reason='',
    )


def start(record: JobRecord, body: StartJob, time_s: float) -> JobRecord:
    """Record that the whole gang began."""
    if body.attempt != record.attempt or record.state is not JobState.GRANTED:
        return record
    return replace(record, state=JobState.RUNNING, ran=True, started_s=time_s)


def adopt(record: JobRecord, body: AdoptJob) -> JobRecord:
    """Move an attempt to another dispatcher."""
    if body.attempt != record.attempt or not _holds_resources(record):
        return record
    return replace(record, dispatcher=body.dispatcher)


def requeue(record: JobRecord, body: RequeueJob, time_s: float) -> JobRecord:
    """End an attempt, and queue the job again if it may run again."""
    if body.attempt != record.attempt or not _holds_resources(record):
        return record
    ran = record.ran or body.ran
    if record.cancel_requested:
        return _ended(
            replace(record, ran=ran), Outcome.CANCELLED, time_s, body.reason
        )
    if ran and not record.job_spec.idempotent:
        return _ended(record, Outcome.OUTCOME_UNKNOWN, time_s, body.reason)
    return replace(
        record,
        state=JobState.QUEUED,
        ran=ran,
        placement=None,
        dispatcher=None,
        reason=body.reason,
    )


def finish(record: JobRecord, body: FinishJob, time_s: float) -> JobRecord:
    """Finish a job; a job that has finished already stays as it is."""
    if record.state is JobState.FINISHED:
        return record
    if body.attempt and body.attempt != record.attempt:
        return record
    ran = record.ran or body.ran
    outcome = body.outcome
    if outcome is Outcome.NOT_RUN and ran:
        # An earlier attempt may have run, so "not run" could be false.
        outcome = Outcome.OUTCOME_UNKNOWN
    ended = _ended(replace(record, ran=ran), outcome, time_s, body.reason)
    return replace(
        ended,
        ran=ran,
        answer=body.answer,
        answer_sha256=body.answer_sha256,
        answer_bytes=body.answer_bytes,
        holder=body.holder,
        runtime_s=body.runtime_s,
    )


def cancel(record: JobRecord, time_s: float) -> JobRecord:
    """Cancel a job; if it holds resources, it ends when it is stopped."""
    if record.state is JobState.QUEUED:
        return _ended(record, Outcome.CANCELLED, time_s, 'cancelled by caller')
    if record.state is JobState.FINISHED:
        return record
    return replace(record, cancel_requested=True)


def _ended(
    record: JobRecord, outcome: Outcome, time_s: float, reason: str
) -> JobRecord:
    unknown = outcome is Outcome.OUTCOME_UNKNOWN
    return replace(
        record,
        job_spec=replace(record.job_spec, payload=''),
        state=JobState.FINISHED,
        outcome=outcome,
        finished_s=time_s,
        ran=record.ran or unknown,
        reason=reason,
        placement=None,
        dispatcher=None,
    )


def _holds_resources(record: JobRecord) -> bool:
    return record.state in {JobState.GRANTED, JobState.RUNNING}
