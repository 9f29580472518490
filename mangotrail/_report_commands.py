"""Log entries that follow from the reports of dispatchers."""

from mangotrail._messages import (
    AttemptReport,
    AttemptStatus,
    CommandBody,
    FinishJob,
    JobRecord,
    Outcome,
    RequeueJob,
    StartJob,
)
from mangotrail.ids import InstanceId


def command_for_report(
    record: JobRecord, instance: InstanceId, body: AttemptReport
) -> CommandBody:
    """Return the log entry that follows from a dispatcher's report.

    :param instance: instance of the dispatcher; it keeps an answer that is
        too large for the log.
    """
    if body.status is AttemptStatus.BEGAN:
        return StartJob(job=body.job, attempt=body.attempt)
    if body.status is AttemptStatus.ANSWERED:
        return _finish(body, Outcome.ANSWERED, instance)
    if not record.job_spec.idempotent:
        if body.status is AttemptStatus.FAILED:
            return _finish(body, Outcome.FAILED, instance)
    return RequeueJob(
        job=body.job,
        attempt=body.attempt,
        reason=(body.reason or body.status.value)[:256],
        ran=body.status is not AttemptStatus.NOTHING_RAN,
    )


def _finish(
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
