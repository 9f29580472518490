"""How attempts and jobs end, and which attempts are tried again."""

from mangotrail._core import Core, TimerKind
from mangotrail._jobs import Job, Phase
from mangotrail._messages import Outcome
from mangotrail._quarantine import record_failure, record_stop, record_success
from mangotrail.events import GangFailed, JobFinished
from mangotrail.ids import JobId

MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0


def find_current_attempt(
    core: Core, job: JobId, attempt: int, kind: str
) -> Job | None:
    """Return the job whose current attempt an event names.

    Any other event is counted as a contradiction.
    """
    found = core.jobs.get(job)
    if found is None or not found.active or found.attempt != attempt:
        core.counters[kind] += 1
        return None
    return found


def on_failed(core: Core, event: GangFailed) -> None:
    """End an attempt that gave no answer."""
    job = find_current_attempt(
        core, event.job, event.attempt, 'stale_gang_failed'
    )
    if job is None:
        return
    # A dispatcher may stop an attempt itself once its checkpoint is done.
    stopped = bool(job.stopping) or job.checkpointed
    if stopped:
        record_stop(core, job)
    else:
        record_failure(core, job, event.worker)
    core.release(job)
    if not event.nothing_ran:
        job.ran = True
    if job.cancelled:
        core.finish(job, Outcome.CANCELLED, 'cancelled')
    elif job.ran and not job.spec.idempotent:
        core.finish(job, Outcome.OUTCOME_UNKNOWN, event.reason)
    elif is_deadline_passed(core, job):
        finish_waiting(core, job, 'deadline passed')
    elif stopped:
        core.enqueue(job)
    else:
        _retry(core, job, event.reason)


def _retry(core: Core, job: Job, reason: str) -> None:
    assert core.bundle is not None
    job.failures += 1
    queue = core.queue_of(job)
    if job.failures >= core.bundle.limits.max_attempts:
        finish_waiting(core, job, f'no attempts left: {reason}')
    elif not queue.may_retry():
        finish_waiting(core, job, f'retry budget used: {reason}')
    else:
        queue.retries += 1
        job.phase = Phase.DELAYED
        delay = _retry_delay_s(core, job.failures)
        core.add_timer(
            core.now_s + delay, TimerKind.RETRY, job.job, job.attempt
        )


def _retry_delay_s(core: Core, failures: int) -> float:
    longest = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**failures)
    return core.random.uniform(MIN_RETRY_DELAY_S, longest)


def on_finished(core: Core, event: JobFinished) -> None:
    """End a job that its endpoint answered."""
    job = find_current_attempt(
        core, event.job, event.attempt, 'stale_job_finished'
    )
    if job is None:
        return
    if event.outcome is Outcome.ANSWERED:
        record_success(core, job)
        core.estimates.record_runtime(job.kind, event.runtime_s)
    elif event.outcome is Outcome.FAILED:
        record_failure(core, job, event.worker)
    else:
        record_stop(core, job)
    core.release(job)
    core.remove_job(job)


def on_cancelled(core: Core, job_id: JobId) -> None:
    """End a job whose caller no longer wants it."""
    job = core.jobs.get(job_id)
    if job is None or job.cancelled:
        core.counters['stale_job_cancelled'] += 1
        return
    job.cancelled = True
    if job.active:
        core.stop(job, 'cancelled')
        return
    core.unqueue(job)
    core.finish(job, Outcome.CANCELLED, 'cancelled')


def is_deadline_passed(core: Core, job: Job) -> bool:
    """Tell whether the caller no longer needs the answer."""
    limit = job.spec.deadline_s
    return limit is not None and core.now_s >= job.submitted_s + limit


def finish_waiting(core: Core, job: Job, reason: str) -> None:
    """End a job that waits and gets no further attempt."""
    outcome = Outcome.OUTCOME_UNKNOWN if job.ran else Outcome.NOT_RUN
    core.finish(job, outcome, reason)


def on_timer(core: Core, kind: TimerKind, job_id: JobId, attempt: int) -> None:
    """Do what was planned for a job unless it moved on."""
    job = core.jobs.get(job_id)
    if job is None:
        return
    if kind is TimerKind.DEADLINE:
        if not job.active:
            core.unqueue(job)
            finish_waiting(core, job, 'deadline passed')
    elif job.attempt != attempt:
        return
    elif kind is TimerKind.RETRY and job.phase is Phase.DELAYED:
        core.enqueue(job)
    elif kind is TimerKind.STOP and job.active:
        if job.stop_due_s <= core.now_s:
            core.stop(job, job.stop_reason)
