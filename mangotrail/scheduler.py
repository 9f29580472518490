"""The decision core: events in, decisions out."""

from mangotrail._core import Core, TimerKind
from mangotrail._ending import on_cancelled, on_failed, on_finished, on_timer
from mangotrail._jobs import Job, Phase
from mangotrail._messages import JobSpec, ZoneState
from mangotrail._starting import Starter
from mangotrail.errors import (
    ImpossibleJobError,
    MangotrailError,
    QueueFullError,
    UnknownObjectError,
)
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
from mangotrail.placement import zones_that_hold
from mangotrail.policy import Policy
from mangotrail.topology import Spot, Topology, spots_of


class Scheduler(Policy):
    """Decides where and when jobs run.

    :param seed: seed of the retry delays; equal seeds and events give equal
        decisions.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.core = Core(seed)
        self.starter = Starter(self.core)

    @property
    def counters(self) -> dict[str, int]:
        """Return how many events contradicted the state, by kind."""
        return dict(self.core.counters)

    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Take in one event and return what follows from it."""
        core = self.core
        core.now_s = max(core.now_s, now_s)
        core.out = []
        for kind, job, attempt in core.due_timers():
            on_timer(core, kind, job, attempt)
        self._take_in(event)
        if not isinstance(event, JobRestored):
            self.starter.run()
        return tuple(core.out)

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
        if not zones_that_hold(core.topology, spec.shape):
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

    def _take_in(self, event: Event) -> None:
        match event:
            case BundleApplied():
                self._apply_bundle(event)
            case ZoneChanged():
                self._change_zone(event)
            case WorkersReported():
                self._report_workers(event)
            case EndpointsChanged():
                self.core.endpoints.replace(event.endpoints)
                self.core.freed += 1
            case JobSubmitted():
                self._submit(event)
            case JobRestored():
                self._restore(event)
            case JobCancelled():
                on_cancelled(self.core, event.job)
            case GangStarted():
                self._begin(event)
            case GangFailed():
                on_failed(self.core, event)
            case JobFinished():
                on_finished(self.core, event)
            case UsageReported() | Tick():
                pass

    def _apply_bundle(self, event: BundleApplied) -> None:
        core = self.core
        old = core.topology
        core.bundle = event.bundle
        core.topology = Topology(event.bundle)
        for zone_id, zone in core.topology.zones.items():
            if old is not None and zone_id in old.zones:
                zone.state = old.zones[zone_id].state
        for worker_id, worker in core.topology.workers.items():
            if old is not None and worker_id in old.workers:
                worker.healthy = old.workers[worker_id].healthy
        core.shares.apply(
            list(event.bundle.accounts),
            sum(worker.accelerators for worker in core.topology.walk()),
        )
        core.freed += 1
        for job in core.jobs.values():
            if job.active:
                self._hold_again(job)

    def _hold_again(self, job: Job) -> None:
        core = self.core
        assert core.topology is not None and job.placement is not None
        queue = core.queue_of(job)
        queue.running -= 1
        queue.charged -= job.charged
        queue.held -= sum(spot.mask.bit_count() for spot in job.spots)
        members = [
            (member.worker, member.accelerators)
            for member in job.placement.members
        ]
        spots = spots_of(core.topology, members)
        core.hold(job, tuple(spots))
        if sum(len(spot.masks) for spot in spots) < len(members):
            core.stop(job, 'worker left the bundle')

    def _change_zone(self, event: ZoneChanged) -> None:
        core = self.core
        zone = core.topology and core.topology.zones.get(event.zone)
        if not zone:
            core.counters['unknown_zone'] += 1
            return
        zone.state = event.state
        core.freed += 1
        if event.state is ZoneState.IN:
            return
        for job in core.jobs.values():
            if job.placement and job.placement.zone == event.zone:
                core.stop(job, f'zone {event.zone} {event.state.value}')

    def _report_workers(self, event: WorkersReported) -> None:
        core = self.core
        for status in event.workers:
            worker = core.topology and core.topology.workers.get(status.worker)
            if not worker:
                core.counters['unknown_worker'] += 1
                continue
            worker.healthy = status.healthy
            core.freed += 1
            if not status.healthy:
                for job in list(worker.holds):
                    core.stop(core.jobs[job], f'worker {status.worker} lost')

    def _submit(self, event: JobSubmitted) -> None:
        core = self.core
        if event.job in core.jobs:
            core.counters['duplicate_job'] += 1
            return
        refusal = self.refusal(event.job_spec)
        if refusal is not None:
            core.out.append(Refuse(job=event.job, reason=refusal.message))
            return
        job = Job(job=event.job, spec=event.job_spec, submitted_s=core.now_s)
        core.queue_of(job).requests += 1
        self._add(job)
        core.enqueue(job)

    def _add(self, job: Job) -> None:
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
        known = event.job_spec.account in core.shares.accounts
        if event.job in core.jobs or core.topology is None or not known:
            core.counters['bad_restore'] += 1
            return
        job = Job(
            job=event.job,
            spec=event.job_spec,
            submitted_s=core.now_s - event.age_s,
        )
        job.attempt = event.attempt
        core.queue_of(job).requests += 1
        self._add(job)
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
        self._hold_restored(job)

    def _hold_restored(self, job: Job) -> None:
        core = self.core
        assert core.topology is not None and job.placement is not None
        spots = []
        for spot in spots_of(
            core.topology,
            [(one.worker, one.accelerators) for one in job.placement.members],
        ):
            masks = tuple(mask & spot.worker.free for mask in spot.masks)
            if masks != spot.masks:
                core.counters['restored_overlap'] += 1
            spots.append(Spot(worker=spot.worker, masks=masks))
        core.hold(job, tuple(spots))

    def _begin(self, event: GangStarted) -> None:
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
