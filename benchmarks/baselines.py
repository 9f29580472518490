"""Baseline policies that the scheduler core is compared with."""

from bisect import insort
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from mangotrail._bundle import Bundle
from mangotrail._messages import (
    GangLevel,
    JobShape,
    JobSpec,
    MemberPlacement,
    Outcome,
    Placement,
    WorkerStatus,
    ZoneState,
)
from mangotrail.events import (
    BundleApplied,
    Checkpoint,
    Decision,
    EndpointsChanged,
    EndpointStatus,
    Event,
    Finish,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    Place,
    Refuse,
    Stop,
    Tick,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.ids import AccountId, JobId, WorkerId, ZoneId
from mangotrail.policy import Policy

# Gangs of an evacuated zone are stopped this long before its deadline.
STOP_MARGIN_S = 5.0


@dataclass(slots=True, eq=False)
class Worker:
    """Free resources of a worker."""

    worker: WorkerId
    zone: ZoneId
    rack: str
    accelerators: int
    free: list[int]
    free_slots: int
    free_connections: int
    healthy: bool = True

    def member_capacity(self, shape: JobShape) -> int:
        """Return how many members of a gang fit now."""
        if not self.healthy:
            return 0
        tasks = min(self.free_slots, self.free_connections)
        if shape.accelerators:
            tasks = min(tasks, len(self.free) // shape.accelerators)
        return tasks


@dataclass(slots=True, eq=False)
class JobEntry:
    """A job that waits or runs."""

    number: int
    job: JobId
    job_spec: JobSpec
    attempt: int = 0
    failures: int = 0
    placement: Placement | None = None
    began: bool = False
    ever_began: bool = False
    cancelled: bool = False
    stopping: bool = False
    stop_at_s: float | None = None
    excluded_workers: set[WorkerId] = field(default_factory=set)

    @property
    def need(self) -> int:
        """Number of accelerators of the whole gang."""
        return self.job_spec.shape.members * self.job_spec.shape.accelerators


class FirstComePolicy(Policy):
    """First come first served with first fit and backfilling.

    Each pass goes through the waiting jobs in order of arrival and starts
    every job that fits, on the first workers with enough free resources. A job
    that failed on a worker is not placed there again. There are no
    reservations, no priorities and no preemption; jobs of an evacuated zone
    are checkpointed and stopped.
    """

    allows_backfill = True

    def __init__(self) -> None:
        self.bundle: Bundle | None = None
        self.workers: dict[WorkerId, Worker] = {}
        self.zones: dict[ZoneId, ZoneState] = {}
        self.platforms: dict[ZoneId, str] = {}
        self.endpoints: tuple[EndpointStatus, ...] = ()
        self.entries: dict[JobId, JobEntry] = {}
        self.queue: list[tuple[int, JobId]] = []
        self.held: Counter[AccountId] = Counter()
        self.running: Counter[AccountId] = Counter()
        self.arrivals = 0

    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Apply one event and return the resulting decisions."""
        decisions = list(self.apply_event(event, now_s))
        decisions.extend(self.stop_due(now_s))
        if not isinstance(event, (Tick, GangStarted)):
            decisions.extend(self.place_waiting())
        return tuple(decisions)

    def apply_event(self, event: Event, now_s: float) -> Iterable[Decision]:
        """Update the state from one event."""
        match event:
            case BundleApplied():
                self.apply_bundle(event.bundle)
            case WorkersReported():
                self.report_workers(event.workers)
            case EndpointsChanged():
                self.endpoints = tuple(event.endpoints)
            case ZoneChanged():
                return self.change_zone(event, now_s)
            case JobSubmitted():
                return self.submit(event)
            case JobCancelled():
                return self.cancel(event.job)
            case GangStarted():
                self.start(event)
            case GangFailed():
                return self.fail(event)
            case JobFinished():
                self.finish(event)
            case _:
                return ()
        return ()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Load the inventory of the bundle, which is applied only once."""
        self.bundle = bundle
        for zone in bundle.zones:
            self.zones[zone.zone] = ZoneState.IN
            self.platforms[zone.zone] = zone.platform_url
            for rack in zone.racks:
                for worker in rack.workers:
                    self.workers[worker] = Worker(
                        worker=worker,
                        zone=zone.zone,
                        rack=rack.rack,
                        accelerators=rack.accelerators,
                        free=list(range(rack.accelerators)),
                        free_slots=zone.slots,
                        free_connections=zone.connections,
                    )

    def report_workers(self, workers: Iterable[WorkerStatus]) -> None:
        """Record which workers are healthy."""
        for status in workers:
            self.workers[status.worker].healthy = status.healthy

    def change_zone(
        self, event: ZoneChanged, now_s: float
    ) -> Iterator[Decision]:
        """Checkpoint the gangs of a zone taken out and schedule their stops."""
        self.zones[event.zone] = event.state
        if event.state == ZoneState.IN:
            return
        for entry in self.entries.values():
            placement = entry.placement
            if placement is None or placement.zone != event.zone:
                continue
            stop_delay_s = max(0.0, event.deadline_s - STOP_MARGIN_S)
            if entry.job_spec.idempotent:
                stop_delay_s = min(stop_delay_s, self.reclaim_delay_s())
                yield Checkpoint(
                    job=entry.job,
                    attempt=entry.attempt,
                    deadline_s=stop_delay_s,
                )
            entry.stop_at_s = now_s + stop_delay_s

    def reclaim_delay_s(self) -> float:
        """Return the seconds between a checkpoint and the stop."""
        return self.bundle.limits.reclaim_s if self.bundle else 0

    def stop_due(self, now_s: float) -> Iterator[Decision]:
        """Stop the gangs whose stop time has passed."""
        for entry in self.entries.values():
            due = entry.stop_at_s is not None and entry.stop_at_s <= now_s
            if due and not entry.stopping:
                entry.stopping = True
                yield Stop(
                    job=entry.job, attempt=entry.attempt, reason='zone out'
                )

    def submit(self, event: JobSubmitted) -> Iterator[Decision]:
        """Queue a job or refuse it."""
        if not self.fits_inventory(event.job_spec.shape):
            yield Refuse(job=event.job, reason='no inventory holds it')
            return
        self.arrivals += 1
        self.entries[event.job] = JobEntry(
            number=self.arrivals, job=event.job, job_spec=event.job_spec
        )
        self.queue.append((self.arrivals, event.job))

    def fits_inventory(self, shape: JobShape) -> bool:
        """Return whether a part of the topology could hold a gang if empty."""
        member_capacity: Counter[tuple[str, ...]] = Counter()
        for worker in self.workers.values():
            tasks = self.slots_of(worker.zone)
            if shape.accelerators:
                tasks = min(tasks, worker.accelerators // shape.accelerators)
            member_capacity[self.domain(worker, shape.level)] += tasks
        return max(member_capacity.values(), default=0) >= shape.members

    def slots_of(self, zone: ZoneId) -> int:
        """Return the slots of each worker of a zone."""
        zones = self.bundle.zones if self.bundle else ()
        return next((spec.slots for spec in zones if spec.zone == zone), 0)

    def domain(self, worker: Worker, level: GangLevel) -> tuple[str, ...]:
        """Return the part of the topology around a worker at a level."""
        if level == GangLevel.WORKER:
            return (worker.zone, worker.rack, worker.worker)
        if level == GangLevel.RACK:
            return (worker.zone, worker.rack)
        return (worker.zone,)

    def cancel(self, job: JobId) -> Iterator[Decision]:
        """Drop a waiting job or stop a running one."""
        entry = self.entries.get(job)
        if entry is None:
            return
        entry.cancelled = True
        if entry.placement is None:
            self.queue.remove((entry.number, job))
            self.entries.pop(job)
            yield Finish(
                job=job,
                outcome=Outcome.CANCELLED,
                ran=entry.ever_began,
                reason='cancelled',
            )
        elif not entry.stopping:
            entry.stopping = True
            yield Stop(job=job, attempt=entry.attempt, reason='cancelled')

    def start(self, event: GangStarted) -> None:
        """Record that a gang began."""
        entry = self.entries.get(event.job)
        if entry is not None and entry.attempt == event.attempt:
            entry.began = True
            entry.ever_began = True

    def fail(self, event: GangFailed) -> Iterator[Decision]:
        """Requeue or end the job of a failed gang."""
        entry = self.entries.get(event.job)
        if entry is None or entry.attempt != event.attempt:
            return
        stopped = entry.stopping
        self.release(entry)
        if event.worker is not None:
            entry.excluded_workers.add(event.worker)
        entry.failures += not stopped and not event.nothing_ran
        unknown = not (entry.job_spec.idempotent or event.nothing_ran)
        attempts = self.bundle.limits.max_attempts if self.bundle else 1
        if entry.cancelled:
            outcome = Outcome.CANCELLED
        elif unknown:
            outcome = Outcome.OUTCOME_UNKNOWN
        elif entry.failures >= attempts:
            outcome = Outcome.FAILED
        else:
            insort(self.queue, (entry.number, entry.job))
            return
        self.entries.pop(entry.job)
        yield Finish(
            job=entry.job,
            outcome=outcome,
            ran=entry.ever_began,
            reason=event.reason,
        )

    def finish(self, event: JobFinished) -> None:
        """Release and remove a job that ended."""
        entry = self.entries.get(event.job)
        if entry is not None and entry.attempt == event.attempt:
            self.release(entry)
            self.entries.pop(event.job)

    def release(self, entry: JobEntry) -> None:
        """Release the resources of an attempt."""
        if entry.placement is None:
            return
        for member in entry.placement.members:
            worker = self.workers[member.worker]
            worker.free.extend(member.accelerators)
            worker.free.sort()
            worker.free_slots += 1
            worker.free_connections += 1
        account = entry.job_spec.account
        self.held[account] -= entry.need
        self.running[account] -= 1
        entry.placement = None
        entry.began = False
        entry.stopping = False
        entry.stop_at_s = None

    def admits(self, entry: JobEntry) -> bool:
        """Return whether the limits of its account allow a job to start."""
        return self.running[entry.job_spec.account] < self.max_running(entry)

    def max_running(self, entry: JobEntry) -> int:
        """Return how many jobs the account of a job may run at once."""
        accounts = self.bundle.accounts if self.bundle else ()
        return next(
            (
                spec.max_running
                for spec in accounts
                if spec.account == entry.job_spec.account
            ),
            0,
        )

    def place_waiting(self) -> Iterator[Decision]:
        """Start the waiting jobs that fit, in order of arrival."""
        unplaceable: set[tuple[object, ...]] = set()
        placed: set[tuple[int, JobId]] = set()
        for item in self.queue:
            entry = self.entries[item[1]]
            shape = entry.job_spec.shape
            key = (
                entry.job_spec.service,
                shape.members,
                shape.accelerators,
                shape.level,
                *sorted(entry.excluded_workers),
            )
            if key in unplaceable or not self.admits(entry):
                continue
            placement = self.first_fit(entry)
            if placement is None:
                if not self.allows_backfill:
                    break
                unplaceable.add(key)
                continue
            self.allocate(entry, placement)
            placed.add(item)
            yield Place(
                job=entry.job, attempt=entry.attempt, placement=placement
            )
        if placed:
            self.queue = [item for item in self.queue if item not in placed]

    def first_fit(self, entry: JobEntry) -> Placement | None:
        """Return a placement on the first workers that hold the whole gang."""
        shape = entry.job_spec.shape
        domains: dict[tuple[str, ...], list[Worker]] = {}
        for worker in self.workers.values():
            if self.zones[worker.zone] != ZoneState.IN:
                continue
            if (
                worker.worker in entry.excluded_workers
                or not worker.member_capacity(shape)
            ):
                continue
            key = self.domain(worker, shape.level)
            domains.setdefault(key, []).append(worker)
        for workers in domains.values():
            if (
                sum(worker.member_capacity(shape) for worker in workers)
                < shape.members
            ):
                continue
            endpoint = self.endpoint_for(entry.job_spec, workers[0].zone)
            if endpoint is None:
                continue
            zone = workers[0].zone
            return Placement(
                zone=zone,
                members=self.members_on(workers, shape),
                endpoint=endpoint.endpoint,
                endpoint_url=endpoint.url,
                platform_url=self.platforms[zone],
            )
        return None

    def members_on(
        self, workers: Iterable[Worker], shape: JobShape
    ) -> list[MemberPlacement]:
        """Fill workers in order until all members are placed."""
        members: list[MemberPlacement] = []
        for worker in workers:
            for task in range(worker.member_capacity(shape)):
                if len(members) == shape.members:
                    return members
                first = task * shape.accelerators
                members.append(
                    MemberPlacement(
                        worker=worker.worker,
                        accelerators=worker.free[
                            first : first + shape.accelerators
                        ],
                    )
                )
        return members

    def endpoint_for(
        self, job_spec: JobSpec, zone: ZoneId
    ) -> EndpointStatus | None:
        """Return an endpoint of the service, preferably in the zone."""
        candidates = [
            endpoint
            for endpoint in self.endpoints
            if endpoint.service == job_spec.service
        ]
        in_zone = (endpoint for endpoint in candidates if endpoint.zone == zone)
        return next(in_zone, candidates[0] if candidates else None)

    def allocate(self, entry: JobEntry, placement: Placement) -> None:
        """Allocate the resources of a new attempt."""
        entry.attempt += 1
        entry.placement = placement
        for member in placement.members:
            worker = self.workers[member.worker]
            for index in member.accelerators:
                worker.free.remove(index)
            worker.free_slots -= 1
            worker.free_connections -= 1
        self.held[entry.job_spec.account] += entry.need
        self.running[entry.job_spec.account] += 1


class InOrderPolicy(FirstComePolicy):
    """First come first served without backfilling: no job overtakes another.

    It is replayed for comparison only; the targets are set against policies
    with backfilling, which are harder to beat.
    """

    allows_backfill = False


class StrictQuotaPolicy(FirstComePolicy):
    """Strict quotas without borrowing.

    The quota of an account is its guaranteed accelerators plus its share, by
    weight, of the accelerators that no account is guaranteed. A job larger
    than the quota runs only while its account holds nothing else.
    """

    def __init__(self) -> None:
        super().__init__()
        self.quotas: dict[AccountId, int] = {}

    def apply_bundle(self, bundle: Bundle) -> None:
        """Load the inventory and the quotas of the bundle."""
        super().apply_bundle(bundle)
        guaranteed = {
            account.account: sum(
                shape.accelerators * shape.count for shape in account.guarantees
            )
            for account in bundle.accounts
        }
        total = sum(worker.accelerators for worker in self.workers.values())
        unguaranteed = max(0, total - sum(guaranteed.values()))
        weights = sum(account.weight for account in bundle.accounts)
        for account in bundle.accounts:
            share = unguaranteed * account.weight // weights
            self.quotas[account.account] = guaranteed[account.account] + share

    def admits(self, entry: JobEntry) -> bool:
        """Return whether a job fits within the quota of its account."""
        if not super().admits(entry):
            return False
        held = self.held[entry.job_spec.account]
        quota = self.quotas[entry.job_spec.account]
        return held + entry.need <= quota or not (held and entry.need)
