"""Measures the duration of scheduler decisions at the design size.

Run as ``python -m benchmarks.decision_time``. Events and seed are fixed; only
the measured times differ between runs.
"""

import time
from collections import defaultdict
from random import Random

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
    EndpointsChanged,
    EndpointStatus,
    Event,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobSubmitted,
    Place,
    Stop,
    Tick,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.guarantees import check_guarantees
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

TASKS = 9900
STEPS = 6000
STEP_S = 0.25
SERVICE = ServiceId('render')
# 580 workers with 1,100 accelerators: 100 with 8, 150 with 2, 330 without.
FLEET = ((100, 8), (150, 2), (330, 0))
ZONES = 8
# With 8 slots per worker, the fleet would hold only 4,640 of the 9,900 tasks
# of the design size.
SLOTS = 20


def _racks(zone: int) -> list[RackSpec]:
    racks = []
    for total, accelerators in FLEET:
        workers = [
            WorkerId(f'w-{accelerators}-{number}')
            for number in range(zone, total, ZONES)
        ]
        for start in range(0, len(workers), 8):
            racks.append(
                RackSpec(
                    rack=f'{zone}-{accelerators}-{start}',
                    workers=workers[start : start + 8],
                    accelerators=accelerators,
                )
            )
    return racks


def _guarantees(number: int) -> list[GuaranteedShape]:
    shapes: list[tuple[Level, int, int]] = []
    if number < 4:
        shapes = [(Level.RACK, 32, 1), (Level.WORKER, 8, 2)]
    elif number < 30:
        shapes = [(Level.WORKER, 4, 2), (Level.WORKER, 2, 2)]
    elif number < 60:
        shapes = [(Level.WORKER, 1, 3)]
    return [
        GuaranteedShape(level=level, accelerators=size, count=count)
        for level, size, count in shapes
    ]


def build_bundle() -> Bundle:
    """Return the bundle of the design size."""
    return Bundle(
        schema_version=1,
        services=[ServiceSpec(service=SERVICE)],
        zones=[
            ZoneSpec(
                zone=ZoneId(f'z{number}'),
                region=RegionId(f'r{number % 3}'),
                platform_url=f'http://z{number}',
                racks=_racks(number),
                slots=SLOTS,
            )
            for number in range(ZONES)
        ],
        accounts=[
            AccountSpec(
                account=AccountId(f'a{number}'),
                guarantees=_guarantees(number),
                max_queued=10000,
            )
            for number in range(92)
        ],
        limits=LimitSpec(),
    )


class LoadGenerator:
    """Sends random events to a scheduler and measures each decision."""

    def __init__(self) -> None:
        self.random = Random(3)
        self.scheduler = Scheduler(seed=1)
        self.times_s: dict[str, list[float]] = defaultdict(list)
        self.active: dict[JobId, Place] = {}
        self.stopping: list[JobId] = []
        self.jobs = 0
        self.now_s = 0.0

    def send(self, *events: Event) -> None:
        """Send events, and the events that the resulting decisions cause."""
        pending = list(events)
        while pending:
            event = pending.pop()
            start_s = time.perf_counter()
            decisions = self.scheduler.handle(event, self.now_s)
            spent_s = time.perf_counter() - start_s
            self.times_s[type(event).__name__].append(spent_s)
            for decision in decisions:
                if isinstance(decision, Place):
                    job, attempt = decision.job, decision.attempt
                    self.active[job] = decision
                    pending.append(GangStarted(job=job, attempt=attempt))
                elif isinstance(decision, Stop):
                    self.stopping.append(decision.job)

    def submit(self) -> None:
        """Submit a random gang."""
        self.jobs += 1
        choice = self.random.choice
        size = choice([0, 0, 0, 0, 0, 0, 1, 1, 2, 4, 8])
        members = choice([1, 4, 16, 32, 64] if not size else [1, 1, 1, 2, 8])
        level = choice(list(GangLevel)) if members <= 2 else GangLevel.ZONE
        job_spec = JobSpec(
            account=AccountId(f'a{self.random.randrange(92)}'),
            request=RequestId('r'),
            service=SERVICE,
            shape=JobShape(members=members, accelerators=size, level=level),
            created_at_s=0,
            job_kind=choice(['k1', 'k2', 'k3']),
            idempotent=self.random.random() < 0.9,
            preemptible=self.random.random() < 0.7,
            urgent=self.random.random() < 0.03,
        )
        job = JobId(f'j{self.jobs}')
        self.send(JobSubmitted(job=job, job_spec=job_spec))

    def end_attempt(self, job: JobId, *, failed: bool) -> None:
        """Report the end of an attempt."""
        place = self.active.pop(job)
        worker = place.placement.members[0].worker
        if failed:
            self.send(
                GangFailed(
                    job=job,
                    attempt=place.attempt,
                    nothing_ran=False,
                    worker=worker,
                )
            )
        else:
            self.send(
                JobFinished(
                    job=job,
                    attempt=place.attempt,
                    outcome=Outcome.ANSWERED,
                    runtime_s=self.random.uniform(100, 4000),
                )
            )

    def count_tasks(self) -> int:
        """Return the number of tasks that hold resources."""
        return sum(
            len(place.placement.members) for place in self.active.values()
        )

    def step(self, number: int) -> None:
        """Advance the time by one step and send random events."""
        self.now_s += STEP_S
        if number % 4 == 0:
            self.send(Tick())
        stopped, self.stopping = self.stopping[:3], self.stopping[3:]
        for job in stopped:
            if job in self.active:
                self.end_attempt(job, failed=True)
        draw = self.random.random()
        if draw < 0.3:
            self.submit()
        elif draw < 0.6:
            job = self.random.choice(sorted(self.active))
            self.end_attempt(job, failed=self.random.random() < 0.1)
        elif draw < 0.62:
            job = JobId(f'j{self.random.randrange(self.jobs)}')
            self.send(JobCancelled(job=job))
        elif draw < 0.63:
            worker = WorkerId(f'w-8-{self.random.randrange(100)}')
            healthy = self.random.random() < 0.5
            status = WorkerStatus(worker=worker, healthy=healthy)
            self.send(WorkersReported(workers=[status]))

    def report(self) -> None:
        """Print the durations by type of event, in milliseconds."""
        all_times_s = [
            time_s for times_s in self.times_s.values() for time_s in times_s
        ]
        self.times_s['all'] = all_times_s
        for kind, times_s in self.times_s.items():
            ordered = sorted(times_s)
            p99_s = ordered[int(len(ordered) * 0.99)]
            print(
                f'{kind}: n={len(ordered)}'
                f' median={ordered[len(ordered) // 2] * 1000:.2f}'
                f' p99={p99_s * 1000:.2f} max={ordered[-1] * 1000:.2f} ms'
            )


def main() -> None:
    """Fill the fleet, then measure random events on it."""
    generator = LoadGenerator()
    bundle = build_bundle()
    check_guarantees(bundle)
    endpoints = [
        EndpointStatus(
            endpoint=EndpointId(f'e-{zone.zone}'),
            service=SERVICE,
            zone=zone.zone,
            url=f'http://e-{zone.zone}',
        )
        for zone in bundle.zones
    ]
    generator.send(EndpointsChanged(endpoints=endpoints))
    generator.send(BundleApplied(bundle=bundle))
    while generator.count_tasks() < TASKS and generator.jobs < 4000:
        generator.submit()
    print(
        f'{generator.count_tasks()} tasks of {len(generator.active)} jobs run'
    )
    generator.times_s.clear()
    zone_changes = {
        2000: ZoneState.OUT,
        3000: ZoneState.IN,
        4000: ZoneState.OUT,
    }
    for number in range(STEPS):
        if number in zone_changes:
            state = zone_changes[number]
            zone = ZoneId('z1')
            generator.send(ZoneChanged(zone=zone, state=state, deadline_s=60))
        generator.step(number)
    generator.report()


if __name__ == '__main__':
    main()
