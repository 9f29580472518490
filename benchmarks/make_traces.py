"""Generates the traces in benchmarks/traces from fixed seeds."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from random import Random

from benchmarks.trace import (
    CancelLine,
    Header,
    JobClass,
    JobFailure,
    SubmitLine,
    Trace,
    TraceLine,
    WorkerCondition,
    WorkerLine,
    ZoneLine,
    write_trace,
)
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
from mangotrail._messages import GangLevel, JobShape, ZoneState
from mangotrail.ids import (
    AccountId,
    JobId,
    RegionId,
    ServiceId,
    WorkerId,
    ZoneId,
)

TRACES = Path(__file__).parent / 'traces'
MINUTE_S = 60.0
HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
WEEK_S = 7 * DAY_S


def shape(
    members: int, accelerators: int, level: GangLevel = GangLevel.ZONE
) -> JobShape:
    """Return the shape of a gang of equal members."""
    return JobShape(members=members, accelerators=accelerators, level=level)


def guarantee(level: Level, accelerators: int, count: int) -> GuaranteedShape:
    """Return guaranteed cells of adjacent accelerators."""
    return GuaranteedShape(level=level, accelerators=accelerators, count=count)


def zone_spec(
    zone: str,
    region: str,
    *,
    racks: Iterable[Sequence[int]],
    cores: int = 32,
    memory_gb: int = 128,
    slots: int = 8,
) -> ZoneSpec:
    """Return a zone.

    :param racks: number of workers and accelerators per worker of each rack.
    """
    return ZoneSpec(
        zone=ZoneId(zone),
        region=RegionId(region),
        platform_url=f'http://platform.{zone}',
        slots=slots,
        racks=[
            RackSpec(
                rack=f'r{number}',
                workers=[
                    WorkerId(f'{zone}-{number}{index:02d}')
                    for index in range(count)
                ],
                accelerators=accelerators,
                cores=cores,
                memory_gb=memory_gb,
            )
            for number, (count, accelerators) in enumerate(racks)
        ],
    )


def bundle(
    services: Iterable[str],
    zones: Sequence[ZoneSpec],
    accounts: Mapping[str, Sequence[GuaranteedShape]],
) -> Bundle:
    """Return a bundle of accounts with equal weights."""
    return Bundle(
        schema_version=1,
        services=[ServiceSpec(service=ServiceId(name)) for name in services],
        zones=zones,
        accounts=[
            AccountSpec(
                account=AccountId(name),
                guarantees=shapes,
                max_queued=100000,
                max_running=100000,
            )
            for name, shapes in accounts.items()
        ],
        limits=LimitSpec(),
    )


class TraceBuilder:
    """Builds a trace line by line."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.lines: list[TraceLine] = []
        self.jobs = 0

    def submit(
        self,
        at_s: float,
        job_class: str,
        runtime_s: float,
        *,
        declared: float = 1,
        size: float = 1,
        fails: JobFailure = JobFailure.NONE,
    ) -> JobId:
        """Add a job.

        :param declared: declared run time as a multiple of the true one.
        """
        self.jobs += 1
        job = JobId(f'j{self.jobs}')
        self.lines.append(
            SubmitLine(
                at_s=round(at_s, 1),
                job=job,
                job_class=job_class,
                runtime_s=round(runtime_s),
                declared_s=round(runtime_s * declared),
                size=size,
                fails=fails,
            )
        )
        return job

    def cancel(self, at_s: float, job: JobId) -> None:
        """Cancel a job."""
        self.lines.append(CancelLine(at_s=round(at_s, 1), job=job))

    def change_zone(
        self, at_s: float, zone: str, state: ZoneState, deadline_s: float = 0
    ) -> None:
        """Change the state of a zone."""
        self.lines.append(
            ZoneLine(
                at_s=at_s,
                zone=ZoneId(zone),
                state=state,
                deadline_s=deadline_s,
            )
        )

    def change_worker(
        self, at_s: float, worker: str, condition: WorkerCondition
    ) -> None:
        """Change the condition of a worker."""
        self.lines.append(
            WorkerLine(at_s=at_s, worker=WorkerId(worker), condition=condition)
        )

    def add_arrivals(
        self,
        start_s: float,
        end_s: float,
        per_hour: float,
        mix: Mapping[str, tuple[float, float, float]],
        *,
        day_factor: float = 1,
        declared: Sequence[float] = (0.8, 1, 1.3),
        sizes: Sequence[float] = (1,),
    ) -> list[JobId]:
        """Add jobs with random arrival times.

        :param mix: weight, median run time and spread (sigma of the
            logarithm) of each class.
        :param day_factor: ratio of the load by day (07:00 to 19:00) to the
            load at night.
        :param declared: multiples of the true run time to choose from.
        :param sizes: multiples of the declared size to choose from.
        """
        names = list(mix)
        weights = [mix[name][0] for name in names]
        jobs: list[JobId] = []
        at_s = start_s
        while True:
            at_s += self.random.expovariate(per_hour / HOUR_S)
            if at_s >= end_s:
                return jobs
            hour = at_s % DAY_S / HOUR_S
            is_daytime = 7 <= hour < 19
            if not is_daytime and self.random.random() * day_factor > 1:
                continue
            name = self.random.choices(names, weights)[0]
            _, median_s, sigma = mix[name]
            factor = self.random.lognormvariate(0, sigma)
            jobs.append(
                self.submit(
                    at_s,
                    name,
                    min(max(median_s * factor, MINUTE_S), 12 * HOUR_S),
                    declared=self.random.choice(declared),
                    size=self.random.choice(sizes),
                )
            )

    def build(self, header: Header) -> Trace:
        """Return the trace with its lines in order of time."""
        return Trace(
            header=header, lines=sorted(self.lines, key=lambda it: it.at_s)
        )


WRONG_DECLARATIONS = (0.1, 0.1, 1, 10, 10)


def add_week_events(
    builder: TraceBuilder,
    *,
    classes: Mapping[str, JobClass],
    mix: Mapping[str, tuple[float, float, float]],
    sale_class: str,
    small_class: str,
    gang_class: str,
    evacuated_zone: str,
    failing_workers: Sequence[str],
    per_hour: float,
) -> None:
    """Add the events that the weeks of both deployments share.

    Day 1 is an ordinary day. On day 2 a sale doubles the load of one class for
    eight hours. A zone is taken out on day 3 at 14:00 and returns on day 5 at
    20:00. On day 4 callers cancel many jobs within minutes. On day 5 declared
    run times and sizes are wrong by a factor of 10. On day 6 some workers fail
    all tasks for eight hours. On day 7 small jobs fragment the cluster before
    large gangs arrive.
    """
    builder.add_arrivals(0, WEEK_S, per_hour, mix, day_factor=2.5)
    builder.add_arrivals(
        DAY_S + 9 * HOUR_S,
        DAY_S + 17 * HOUR_S,
        per_hour,
        {sale_class: mix[sale_class]},
    )
    builder.change_zone(
        2 * DAY_S + 14 * HOUR_S, evacuated_zone, ZoneState.OUT, 15 * MINUTE_S
    )
    builder.change_zone(4 * DAY_S + 20 * HOUR_S, evacuated_zone, ZoneState.IN)
    wave_start_s = 3 * DAY_S + 10 * HOUR_S
    wave = builder.add_arrivals(
        wave_start_s,
        wave_start_s + 30 * MINUTE_S,
        120,
        {small_class: mix[small_class]},
    )
    for number, job in enumerate(wave):
        if number % 6:
            builder.cancel(wave_start_s + HOUR_S + number, job)
    builder.add_arrivals(
        4 * DAY_S + 7 * HOUR_S,
        4 * DAY_S + 15 * HOUR_S,
        per_hour / 2,
        mix,
        declared=WRONG_DECLARATIONS,
        sizes=(0.1, 1, 1, 10),
    )
    for worker in failing_workers:
        failing_from_s = 5 * DAY_S + 8 * HOUR_S
        builder.change_worker(failing_from_s, worker, WorkerCondition.FAILS_ALL)
        builder.change_worker(
            failing_from_s + 8 * HOUR_S, worker, WorkerCondition.HEALTHY
        )
    for fails in (JobFailure.ANSWER, JobFailure.CRASH):
        for hour in range(9, 15):
            builder.submit(
                5 * DAY_S + hour * HOUR_S,
                small_class,
                5 * MINUTE_S,
                fails=fails,
            )
    builder.submit(5 * DAY_S + 9 * HOUR_S, 'impossible', HOUR_S)
    small_jobs_start_s = 6 * DAY_S + 8 * HOUR_S
    builder.add_arrivals(
        small_jobs_start_s,
        small_jobs_start_s + HOUR_S,
        90,
        {small_class: mix[small_class]},
    )
    for minute in (50, 55, 60):
        builder.submit(
            small_jobs_start_s + minute * MINUTE_S, gang_class, 3 * HOUR_S
        )


def tuylu_week() -> Trace:
    """Return a week of Tuylu Dal with load peaks and faults."""
    service = ServiceId('box-planner')
    renders = AccountId('renders')
    papagan = AccountId('papagan-evi')
    fits = AccountId('fit-checks')
    reorders = AccountId('reorders')
    rack = GangLevel.RACK
    worker = GangLevel.WORKER
    classes = {
        'render': JobClass(account=renders, service=service, shape=shape(1, 8)),
        'render-gang': JobClass(
            account=renders,
            service=service,
            shape=shape(4, 8, rack),
            checkpoint_s=10,
        ),
        'papagan-render': JobClass(
            account=papagan, service=service, shape=shape(4, 4, rack)
        ),
        'papagan-gang': JobClass(
            account=papagan,
            service=service,
            shape=shape(6, 8),
            checkpoint_s=15,
        ),
        'fit-check': JobClass(
            account=fits, service=service, shape=shape(1, 2, worker)
        ),
        'fit-check-urgent': JobClass(
            account=fits,
            service=service,
            shape=shape(1, 2, worker),
            urgent=True,
        ),
        'reorder': JobClass(
            account=reorders,
            service=service,
            shape=shape(1, 1, worker),
            idempotent=False,
        ),
        'reorder-plan': JobClass(
            account=reorders,
            service=service,
            shape=shape(2, 4, rack),
            preemptible=False,
        ),
        'impossible': JobClass(
            account=renders, service=service, shape=shape(64, 8)
        ),
    }
    mix = {
        'render': (0.2, 2 * HOUR_S, 0.6),
        'render-gang': (0.06, 3 * HOUR_S, 0.5),
        'papagan-render': (0.1, 2.5 * HOUR_S, 0.6),
        'papagan-gang': (0.02, 3 * HOUR_S, 0.4),
        'fit-check': (0.32, 40 * MINUTE_S, 0.8),
        'fit-check-urgent': (0.05, 15 * MINUTE_S, 0.5),
        'reorder': (0.18, 30 * MINUTE_S, 0.6),
        'reorder-plan': (0.07, 1.5 * HOUR_S, 0.5),
    }
    zones = [
        zone_spec('ege-izmir', 'ege', racks=[(8, 8)]),
        zone_spec('ege-manisa', 'ege', racks=[(8, 8)]),
        zone_spec('marmara-bursa', 'marmara', racks=[(8, 8)]),
    ]
    accounts = {
        'renders': [guarantee(Level.RACK, 32, 1)],
        'papagan-evi': [guarantee(Level.RACK, 32, 1)],
        'fit-checks': [guarantee(Level.WORKER, 4, 6)],
        'reorders': [guarantee(Level.WORKER, 4, 2)],
    }
    builder = TraceBuilder(seed=11)
    add_week_events(
        builder,
        classes=classes,
        mix=mix,
        sale_class='render',
        small_class='fit-check',
        gang_class='papagan-gang',
        evacuated_zone='ege-izmir',
        failing_workers=['ege-izmir-001', 'marmara-bursa-004'],
        per_hour=8.5,
    )
    return builder.build(
        Header(
            name='tuylu-week',
            seed=11,
            end_s=WEEK_S + DAY_S,
            bundle=bundle(['box-planner'], zones, accounts),
            classes=classes,
        )
    )


def mokoena_week() -> Trace:
    """Return a week of Mokoena and Daughters with load peaks and faults."""
    service = ServiceId('cart-desk')
    pricing = AccountId('pricing')
    rosters = AccountId('rosters')
    batches = AccountId('batch-plans')
    routes = AccountId('route-plans')
    rack = GangLevel.RACK
    worker = GangLevel.WORKER
    classes = {
        'price': JobClass(
            account=pricing, service=service, shape=shape(1, 4, worker)
        ),
        'price-urgent': JobClass(
            account=pricing,
            service=service,
            shape=shape(1, 4, worker),
            urgent=True,
        ),
        'price-gang': JobClass(
            account=pricing,
            service=service,
            shape=shape(4, 8, rack),
            checkpoint_s=10,
        ),
        'roster': JobClass(
            account=rosters, service=service, shape=shape(1, 2, worker)
        ),
        'batch-plan': JobClass(
            account=batches,
            service=service,
            shape=shape(2, 8, rack),
            idempotent=False,
        ),
        'route': JobClass(
            account=routes, service=service, shape=shape(2, 4, rack)
        ),
        'route-gang': JobClass(
            account=routes,
            service=service,
            shape=shape(12, 4),
            checkpoint_s=15,
        ),
        'impossible': JobClass(
            account=routes, service=service, shape=shape(9, 8, rack)
        ),
    }
    mix = {
        'price': (0.3, 1.5 * HOUR_S, 0.7),
        'price-urgent': (0.05, 20 * MINUTE_S, 0.5),
        'price-gang': (0.06, 3 * HOUR_S, 0.5),
        'roster': (0.28, 50 * MINUTE_S, 0.7),
        'batch-plan': (0.08, 2 * HOUR_S, 0.5),
        'route': (0.2, 2 * HOUR_S, 0.7),
        'route-gang': (0.03, 4 * HOUR_S, 0.4),
    }
    zones = [
        zone_spec(name, region, racks=[(8, 8)], cores=64, memory_gb=256)
        for name, region in (
            ('soweto-yard', 'gauteng'),
            ('pretoria-store', 'gauteng'),
            ('umhlanga-shed', 'kzn-coast'),
        )
    ]
    accounts = {
        'pricing': [guarantee(Level.RACK, 32, 1)],
        'rosters': [guarantee(Level.WORKER, 4, 4)],
        'batch-plans': [guarantee(Level.RACK, 32, 1)],
        'route-plans': [guarantee(Level.RACK, 16, 1)],
    }
    builder = TraceBuilder(seed=12)
    add_week_events(
        builder,
        classes=classes,
        mix=mix,
        sale_class='price',
        small_class='roster',
        gang_class='route-gang',
        evacuated_zone='umhlanga-shed',
        failing_workers=['soweto-yard-000', 'umhlanga-shed-005'],
        per_hour=9,
    )
    # The same zone is evacuated a second time, a day after its return.
    builder.change_zone(
        5 * DAY_S + 22 * HOUR_S,
        'umhlanga-shed',
        ZoneState.OUT,
        10 * MINUTE_S,
    )
    builder.change_zone(6 * DAY_S + 6 * HOUR_S, 'umhlanga-shed', ZoneState.IN)
    return builder.build(
        Header(
            name='mokoena-week',
            seed=12,
            end_s=WEEK_S + DAY_S,
            bundle=bundle(['cart-desk'], zones, accounts),
            classes=classes,
        )
    )


def two_years() -> Trace:
    """Return 1.5 days of arrivals at the size planned for two years ahead."""
    service = ServiceId('planner')
    teams = [AccountId(f'team-{number:02d}') for number in range(92)]
    # 100 workers with 8 accelerators, 75 with 4 and 405 without. Each zone has
    # two racks with accelerators and three without, of 9 to 18 workers each.
    racks = (
        ((13, 8), (10, 4), (17, 0), (17, 0), (16, 0)),
        ((13, 8), (10, 4), (17, 0), (17, 0), (16, 0)),
        ((13, 8), (9, 4), (17, 0), (17, 0), (16, 0)),
        ((13, 8), (9, 4), (17, 0), (17, 0), (16, 0)),
        ((12, 8), (9, 4), (17, 0), (17, 0), (17, 0)),
        ((12, 8), (9, 4), (17, 0), (17, 0), (17, 0)),
        ((12, 8), (9, 4), (17, 0), (17, 0), (17, 0)),
        ((12, 8), (10, 4), (17, 0), (17, 0), (18, 0)),
    )
    zones = [
        zone_spec(
            f'zone-{number}',
            f'region-{number % 3}',
            racks=layout,
            slots=20,
        )
        for number, layout in enumerate(racks)
    ]
    accounts: dict[str, Sequence[GuaranteedShape]] = {}
    classes: dict[str, JobClass] = {}
    mix: dict[str, tuple[float, float, float]] = {}
    rack = GangLevel.RACK
    worker = GangLevel.WORKER
    for number, team in enumerate(teams):
        # Workers of both sizes get gangs and single jobs that fill them.
        large = number % 8 == 0
        accounts[team] = (
            [guarantee(Level.RACK, 32, 1)]
            if large
            else [guarantee(Level.WORKER, 2, 1)]
        )
        kinds = {
            'small': (shape(1, 2, worker), 3.0, 2.0),
            'node': (
                (shape(1, 4, worker), 2.0, 5.0)
                if number % 2
                else (shape(1, 8, worker), 1.2, 5.0)
            ),
            'tasks': (shape(48, 0), 4.2, 8.7),
            'urgent': (shape(1, 1, worker), 0.4, 0.5),
        }
        if large:
            kinds['gang'] = (
                (shape(8, 4, rack), 2.8, 5.0)
                if number % 16
                else (shape(4, 8, rack), 2.8, 5.0)
            )
            kinds['wide'] = (shape(64, 1), 1.0, 4.0)
        for kind, (gang, weight, hours) in kinds.items():
            name = f'{team}-{kind}'
            classes[name] = JobClass(
                account=team,
                service=service,
                shape=gang,
                urgent=kind == 'urgent',
                idempotent=not (kind == 'small' and number % 5 == 0),
                preemptible=not (kind == 'node' and number % 7 == 0),
            )
            mix[name] = (weight, hours * HOUR_S, 0.5)
    builder = TraceBuilder(seed=13)
    # Jobs that are already running at the start.
    builder.add_arrivals(0, HOUR_S, 300, mix)
    builder.add_arrivals(
        HOUR_S, 1.5 * DAY_S, 1100 / 24, mix, declared=WRONG_DECLARATIONS
    )
    builder.change_zone(14 * HOUR_S, 'zone-3', ZoneState.OUT, 10 * MINUTE_S)
    builder.change_zone(22 * HOUR_S, 'zone-3', ZoneState.IN)
    for index in range(6):
        failing = f'zone-{index}-0{index:02d}'
        builder.change_worker(8 * HOUR_S, failing, WorkerCondition.FAILS_ALL)
        builder.change_worker(12 * HOUR_S, failing, WorkerCondition.HEALTHY)
        lost = f'zone-{index}-1{index:02d}'
        builder.change_worker((9 + index) * HOUR_S, lost, WorkerCondition.LOST)
        builder.change_worker(
            (10 + index) * HOUR_S, lost, WorkerCondition.HEALTHY
        )
    wave = builder.add_arrivals(
        20 * HOUR_S, 20.2 * HOUR_S, 900, {f'{teams[1]}-small': (1, HOUR_S, 0.5)}
    )
    for number, job in enumerate(wave):
        builder.cancel(20.3 * HOUR_S + number * 0.2, job)
    return builder.build(
        Header(
            name='two-years',
            seed=13,
            end_s=2.5 * DAY_S,
            bundle=bundle(['planner'], zones, accounts),
            classes=classes,
        )
    )


def small_header(
    name: str,
    classes: Mapping[str, JobClass],
    accounts: Mapping[str, Sequence[GuaranteedShape]],
    *,
    zones: int = 2,
    workers: int = 2,
    end_s: float = 2 * HOUR_S,
) -> Header:
    """Return the header of a small trace; workers have four accelerators."""
    return Header(
        name=name,
        seed=0,
        end_s=end_s,
        bundle=bundle(
            ['planner'],
            [
                zone_spec(f'z{index}', 'r', racks=[(workers, 4)])
                for index in range(zones)
            ],
            accounts,
        ),
        classes=classes,
    )


PLANNER = ServiceId('planner')
ONE = AccountId('one')
TWO = AccountId('two')


def small_reclaim() -> Trace:
    """Return a trace in which an account reclaims capacity from a borrower."""
    classes = {
        'batch': JobClass(account=ONE, service=PLANNER, shape=shape(1, 4)),
        'owned': JobClass(account=TWO, service=PLANNER, shape=shape(1, 4)),
    }
    builder = TraceBuilder(0)
    for _ in range(4):
        builder.submit(0, 'batch', HOUR_S)
    builder.submit(600, 'owned', 600)
    return builder.build(
        small_header(
            'small-reclaim',
            classes,
            {'one': [], 'two': [guarantee(Level.WORKER, 4, 1)]},
        )
    )


def small_gang() -> Trace:
    """Return a trace of many small jobs and a gang that needs a whole zone."""
    classes = {
        'small': JobClass(
            account=ONE, service=PLANNER, shape=shape(1, 1, GangLevel.WORKER)
        ),
        'gang': JobClass(account=TWO, service=PLANNER, shape=shape(2, 4)),
    }
    builder = TraceBuilder(0)
    for number in range(60):
        builder.submit(number * 60, 'small', 1200)
    builder.submit(900, 'gang', 600)
    return builder.build(
        small_header('small-gang', classes, {'one': [], 'two': []})
    )


def small_evacuation() -> Trace:
    """Return a trace of a zone that runs a gang, is taken out and returns."""
    classes = {
        'gang': JobClass(account=ONE, service=PLANNER, shape=shape(2, 4)),
        'once': JobClass(
            account=TWO,
            service=PLANNER,
            shape=shape(1, 4),
            idempotent=False,
        ),
    }
    builder = TraceBuilder(0)
    builder.submit(0, 'gang', HOUR_S)
    builder.submit(10, 'once', 1100)
    builder.change_zone(600, 'z0', ZoneState.OUT, 120)
    builder.submit(660, 'gang', 600)
    builder.change_zone(3600, 'z0', ZoneState.IN)
    return builder.build(
        small_header(
            'small-evacuation',
            classes,
            {'one': [], 'two': []},
            end_s=4 * HOUR_S,
        )
    )


def small_bad_worker() -> Trace:
    """Return a trace with a worker that fails all tasks and failing jobs."""
    classes = {
        'task': JobClass(
            account=ONE, service=PLANNER, shape=shape(1, 4, GangLevel.WORKER)
        )
    }
    builder = TraceBuilder(0)
    builder.change_worker(1, 'z0-000', WorkerCondition.FAILS_ALL)
    for number in range(12):
        builder.submit(10 + number * 300, 'task', 700)
    builder.submit(1000, 'task', 60, fails=JobFailure.CRASH)
    builder.submit(1100, 'task', 60, fails=JobFailure.ANSWER)
    return builder.build(
        # With six workers one may be in quarantine: the limit is 20%.
        small_header('small-bad-worker', classes, {'one': []}, workers=3)
    )


def small_cancellations() -> Trace:
    """Return a trace in which waiting and running jobs are cancelled."""
    classes = {
        'task': JobClass(account=ONE, service=PLANNER, shape=shape(1, 4)),
        'never': JobClass(account=ONE, service=PLANNER, shape=shape(3, 4)),
    }
    builder = TraceBuilder(0)
    jobs = [builder.submit(number, 'task', 1800) for number in range(10)]
    builder.submit(20, 'never', 60)
    for number, job in enumerate(jobs):
        if number % 2:
            builder.cancel(300 + number, job)
    return builder.build(
        small_header('small-cancellations', classes, {'one': []})
    )


def small_wrong_times() -> Trace:
    """Return a trace of run times declared 10 times too short or long."""
    classes = {
        'long': JobClass(account=ONE, service=PLANNER, shape=shape(1, 4)),
        'short': JobClass(account=ONE, service=PLANNER, shape=shape(1, 2)),
        'gang': JobClass(account=TWO, service=PLANNER, shape=shape(2, 4)),
    }
    builder = TraceBuilder(0)
    for number in range(6):
        builder.submit(number * 10, 'long', 1200, declared=0.1)
    builder.submit(100, 'gang', 600)
    for number in range(8):
        builder.submit(120 + number * 60, 'short', 300, declared=10)
    return builder.build(
        small_header('small-wrong-times', classes, {'one': [], 'two': []})
    )


SMALL: tuple[Callable[[], Trace], ...] = (
    small_reclaim,
    small_gang,
    small_evacuation,
    small_bad_worker,
    small_cancellations,
    small_wrong_times,
)
WEEKS: tuple[Callable[[], Trace], ...] = (tuylu_week, mokoena_week)


def main() -> None:
    """Write all traces except the large one, which each replay generates."""
    TRACES.mkdir(exist_ok=True)
    for make in (*SMALL, *WEEKS):
        trace = make()
        write_trace(TRACES / f'{trace.header.name}.jsonl', trace)


if __name__ == '__main__':
    main()
