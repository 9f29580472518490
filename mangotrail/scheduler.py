"""The decision core: events in, decisions out."""

from mangotrail._completion import (
    on_cancelled,
    on_failed,
    on_finished,
    on_timer,
)
from mangotrail._core import Core, TimerKind
from mangotrail._inventory import (
    allocate_placement,
    apply_bundle,
    update_workers,
)
from mangotrail._jobs import Job, Phase
from mangotrail._messages import JobSpec
from mangotrail._starting import JobStarter
from mangotrail._usage import on_usage, throttle_at_start
from mangotrail._zones import change_zone, evacuate, refill_ramps
from mangotrail.errors import (
    ImpossibleJobError,
    MangotrailError,
    QueueFullError,
    UnknownObjectError,
)
from mangotrail.estimates import JobKind
from mangotrail.events import (
    BundleApplied,
    Decision,
    EndpointsChanged,
    Event,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobRestored,
    JobSubmitted,
    Refuse,
    Tick,
    UsageReported,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.guarantees import KeptBindings
from mangotrail.ids import AccountId
from mangotrail.placement import feasible_zones
from mangotrail.policy import Policy


class Scheduler(Policy):
    """Decides where and when jobs run.

    :param seed: seed of the retry delays; equal seeds and events give equal
        decisions.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.core = Core(seed)
        self.job_starter = JobStarter(self.core)
        # Restored jobs may hold cells that were planned for others.
        self.replan_needed = False

    @property
    def counters(self) -> dict[str, int]:
        """Return how many events contradicted the state, by kind."""
        return dict(self.core.counters)

    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Take in one event and return what follows from it."""
        core = self.core
        elapsed_s = max(0, now_s - core.now_s)
        core.now_s += elapsed_s
        core.decisions = []
        for kind, job, attempt in core.pop_due_timers():
            on_timer(core, kind, job, attempt)
        self._apply_event(event)
        if not isinstance(event, JobRestored):
            self._replan_guarantees(event)
            refill_ramps(core, elapsed_s)
            self.job_starter.run()
        return tuple(core.decisions)

    def _replan_guarantees(self, event: Event) -> None:
        """Look for homes of guaranteed cells that have none."""
        core = self.core
        if self.replan_needed:
            self.replan_needed = False
            core.plan_guarantees()
            if core.guarantees.unbound:
                core.plan_guarantees(keep=KeptBindings.USED)
        elif (
            isinstance(event, Tick | GangFailed | JobFinished)
            and core.guarantees.unbound
            and core.planned_version != core.capacity_version
        ):
            core.plan_guarantees(backtrack=False)

    def refusal(self, spec: JobSpec) -> MangotrailError | None:
        """Return why a submit of this job would be refused, if it would."""
        core = self.core
        queue = core.shares.accounts.get(spec.account)
        if core.topology is None or queue is None:
            return UnknownObjectError(
                f'account {spec.account} is in no bundle in force',
                field='account',
                value=spec.account,
            )
        if not feasible_zones(core.topology, spec.shape):
            return ImpossibleJobError(
                'no inventory of the bundle can hold the gang',
                field='shape',
                value=spec.shape,
                remedy='ask for fewer or smaller members',
            )
        if queue.queued >= queue.spec.max_queued:
            return QueueFullError(
                f'account {spec.account} has {queue.queued} queued jobs',
                field='account',
                value=spec.account,
                allowed=f'at most {queue.spec.max_queued} queued jobs',
                remedy='submit again when jobs have started',
            )
        return None

    def _apply_event(self, event: Event) -> None:
        match event:
            case BundleApplied():
                apply_bundle(self.core, event)
            case ZoneChanged():
                change_zone(self.core, event)
            case WorkersReported():
                update_workers(self.core, event)
            case EndpointsChanged():
                self.core.endpoints.replace(event.endpoints)
                self.core.capacity_version += 1
            case JobSubmitted():
                self._submit(event)
            case JobRestored():
                self._restore(event)
            case JobCancelled():
                on_cancelled(self.core, event.job)
            case GangStarted():
                self._mark_started(event)
            case GangFailed():
                on_failed(self.core, event)
            case JobFinished():
                on_finished(self.core, event)
            case UsageReported():
                on_usage(self.core, event)
            case Tick():
                self.job_starter.probe()

    def _submit(self, event: JobSubmitted) -> None:
        core = self.core
        if event.job in core.jobs:
            core.counters['duplicate_job'] += 1
            return
        refusal = self.refusal(event.job_spec)
        if refusal is not None:
            core.decisions.append(Refuse(job=event.job, reason=refusal.message))
            return
        job = Job(job=event.job, spec=event.job_spec, submitted_s=core.now_s)
        core.queue_of(job).requests += 1
        self._register_job(job)
        core.enqueue(job)

    def _register_job(self, job: Job) -> None:
        core = self.core
        core.jobs[job.job] = job
        if job.spec.deadline_s is not None:
            core.add_timer(
                job.submitted_s + job.spec.deadline_s,
                TimerKind.DEADLINE,
                job.job,
                0,
            )

    def _restore(self, event: JobRestored) -> None:
        core = self.core
        if event.job in core.jobs or core.topology is None:
            core.counters['bad_restore'] += 1
            return
        core.shares.ensure_account(event.job_spec.account)
        job = Job(
            job=event.job,
            spec=event.job_spec,
            submitted_s=core.now_s - event.age_s,
        )
        job.attempt = event.attempt
        core.queue_of(job).requests += 1
        self._register_job(job)
        if event.placement is None:
            # Without a placement the earlier attempts ended; a job that is
            # not idempotent waits again only if nothing of it ran.
            job.ran = event.attempt > 0 and job.spec.idempotent
            job.failures = max(0, event.attempt - 1)
            core.enqueue(job)
            return
        job.failures = max(0, event.attempt - 1)
        job.placement = event.placement
        job.started_s = core.now_s - event.running_s
        job.phase = Phase.RUNNING if event.running_s else Phase.PLACED
        core.endpoints.busy[event.placement.endpoint] += 1
        if allocate_placement(core, job, core.topology):
            core.counters['restored_overlap'] += 1
        self.replan_needed = True
        zone = core.topology.zones.get(event.placement.zone)
        if zone is not None and not zone.open:
            evacuate(core, job, zone)

    def _mark_started(self, event: GangStarted) -> None:
        core = self.core
        job = core.jobs.get(event.job)
        if (
            job is None
            or job.phase is not Phase.PLACED
            or job.attempt != event.attempt
        ):
            core.counters['stale_gang_started'] += 1
            return
        job.phase = Phase.RUNNING
        job.started_s = core.now_s
        throttle_at_start(core, job)

    def record_runtime(
        self, account: AccountId, job_kind: str, runtime_s: float
    ) -> None:
        """Take in the run time of a job that ended before this leader."""
        kind = JobKind(account, job_kind)
        self.core.estimates.record_runtime(kind, runtime_s)
