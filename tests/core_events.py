"""Bundles, events and a driver for the scheduler tests."""

from collections.abc import Sequence
from typing import Any

from mangotrail._bundle import (
    AccountSpec,
    Bundle,
    GuaranteedShape,
    Level,
    LimitSpec,
    RackSpec,
    ServiceSpec,
    ZoneSpec,
)
from mangotrail._messages import (
    GangLevel,
    JobShape,
    JobSpec,
    Outcome,
    WorkerStatus,
    ZoneState,
)
from mangotrail.events import (
    BundleApplied,
    Decision,
    EndpointsChanged,
    EndpointStatus,
    Event,
    GangFailed,
    GangStarted,
    JobFinished,
    JobSubmitted,
    Place,
    Stop,
    Tick,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.ids import (
    AccountId,
    EndpointId,
    JobId,
    RegionId,
    RequestId,
    ServiceId,
    WorkerId,
    ZoneId,
)
from mangotrail.scheduler import Scheduler

SERVICE = ServiceId('render')


def zone_spec(
    name: str,
    *racks: tuple[int, int],
    region: str = 'r',
    slots: int = 8,
    connections: int = 64,
) -> ZoneSpec:
    """Build a zone; each rack is (number of workers, accelerators)."""
    return ZoneSpec(
        zone=ZoneId(name),
        region=RegionId(region),
        platform_url=f'http://{name}',
        slots=slots,
        connections=connections,
        racks=[
            RackSpec(
                rack=f'{name}-{number}',
                workers=[
                    WorkerId(f'{name}-{number}-{one}') for one in range(count)
                ],
                accelerators=accelerators,
            )
            for number, (count, accelerators) in enumerate(racks)
        ],
    )


def cells(level: str, accelerators: int, count: int = 1) -> GuaranteedShape:
    """Build a guaranteed shape."""
    return GuaranteedShape(
        level=Level(level), accelerators=accelerators, count=count
    )


def account(name: str, *shapes: GuaranteedShape, **limits: int) -> AccountSpec:
    """Build an account."""
    return AccountSpec(account=AccountId(name), guarantees=shapes, **limits)


def make_bundle(
    zones: Sequence[ZoneSpec], accounts: Sequence[AccountSpec], **limits: int
) -> Bundle:
    """Build a bundle with one service."""
    return Bundle(
        schema_version=1,
        services=[ServiceSpec(service=SERVICE)],
        zones=zones,
        accounts=accounts,
        limits=LimitSpec(**limits),
    )


def spec(name: str = 'a', members: int = 1, size: int = 1, **more: Any) -> Any:
    """Build the job spec of a gang; `level` is the level of its shape."""
    level = GangLevel(more.pop('level', 'zone'))
    return JobSpec(
        account=AccountId(name),
        request=RequestId('r'),
        service=SERVICE,
        shape=JobShape(members=members, accelerators=size, level=level),
        created_at_s=0,
        **more,
    )


def endpoint(
    zone: str, name: str = '', worker: str | None = None
) -> EndpointStatus:
    """Build an endpoint of the service."""
    return EndpointStatus(
        endpoint=EndpointId(name or f'e-{zone}'),
        service=SERVICE,
        zone=ZoneId(zone),
        url=f'http://e-{zone}',
        worker=worker and WorkerId(worker),
    )


class Driver:
    """Sends events to a scheduler and records its decisions."""

    def __init__(self, bundle: Bundle, *, seed: int = 1) -> None:
        self.scheduler = Scheduler(seed=seed)
        self.now_s = 0.0
        self.log: list[Decision] = []
        self.placed: dict[str, Place] = {}
        self.send(BundleApplied(bundle=bundle))
        zones = [zone.zone for zone in bundle.zones]
        self.send(EndpointsChanged(endpoints=[endpoint(z) for z in zones]))

    def send(self, event: Event, after_s: float = 0) -> list[Decision]:
        """Send one event and return the decisions."""
        self.now_s += after_s
        decisions = list(self.scheduler.handle(event, self.now_s))
        self.log += decisions
        for decision in decisions:
            if isinstance(decision, Place):
                self.placed[decision.job] = decision
        return decisions

    def submit(self, job: str, job_spec: JobSpec) -> list[Decision]:
        """Submit a job."""
        return self.send(JobSubmitted(job=JobId(job), job_spec=job_spec))

    def start(self, job: str) -> list[Decision]:
        """Report that the current attempt began."""
        attempt = self.placed[job].attempt
        return self.send(GangStarted(job=JobId(job), attempt=attempt))

    def run(self, job: str, job_spec: JobSpec) -> None:
        """Submit a job and start it."""
        self.submit(job, job_spec)
        self.start(job)

    def fail(
        self, job: str, *, nothing_ran: bool = False, worker: str | None = None
    ) -> list[Decision]:
        """Report that the current attempt failed."""
        return self.send(
            GangFailed(
                job=JobId(job),
                attempt=self.placed[job].attempt,
                nothing_ran=nothing_ran,
                reason='failure',
                worker=worker and WorkerId(worker),
            )
        )

    def finish(self, job: str, runtime_s: float = 1) -> list[Decision]:
        """Report that the current attempt was answered."""
        return self.send(
            JobFinished(
                job=JobId(job),
                attempt=self.placed[job].attempt,
                outcome=Outcome.ANSWERED,
                runtime_s=runtime_s,
            )
        )

    def zone(
        self, zone: str, state: str, deadline_s: float = 0
    ) -> list[Decision]:
        """Change the state of a zone."""
        return self.send(
            ZoneChanged(
                zone=ZoneId(zone),
                state=ZoneState(state),
                deadline_s=deadline_s,
            )
        )

    def worker(self, worker: str, *, healthy: bool) -> list[Decision]:
        """Report the health of a worker."""
        status = WorkerStatus(worker=WorkerId(worker), healthy=healthy)
        return self.send(WorkersReported(workers=[status]))

    def tick(self, after_s: float = 1) -> list[Decision]:
        """Advance the time and send a tick."""
        return self.send(Tick(), after_s)

    def wait_for(self, kind: type, job: str, limit_s: float = 60) -> Any:
        """Tick until a decision of the given type names the job."""
        for _ in range(int(limit_s)):
            for decision in self.tick():
                if isinstance(decision, kind) and decision.job == job:
                    return decision
        raise AssertionError(f'no {kind.__name__} of {job}')


def stops(decisions: Sequence[Decision]) -> set[str]:
    """Return the jobs that are ordered to stop."""
    return {one.job for one in decisions if isinstance(one, Stop)}


def places(decisions: Sequence[Decision]) -> set[str]:
    """Return the jobs that are placed."""
    return {one.job for one in decisions if isinstance(one, Place)}


def used_zone(place: Place) -> str:
    """Return the zone of a placement."""
    return place.placement.zone
