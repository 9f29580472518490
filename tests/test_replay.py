"""Tests the statistics, events and rule checks of the replay driver."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

import pytest

from benchmarks.baselines import (
    FirstComePolicy,
    InOrderPolicy,
    StrictQuotaPolicy,
)
from benchmarks.make_traces import (
    SMALL,
    TRACES,
    WEEKS,
    bundle,
    guarantee,
    shape,
    zone_spec,
)
from benchmarks.replay import Replay, Rule, percentile
from benchmarks.trace import (
    CancelLine,
    Header,
    JobClass,
    SubmitLine,
    Trace,
    TraceLine,
    WorkerCondition,
    WorkerLine,
    ZoneLine,
    read_trace,
)
from mangotrail._bundle import GuaranteedShape, Level
from mangotrail._messages import (
    MemberPlacement,
    Outcome,
    Placement,
    ZoneState,
)
from mangotrail.events import (
    Checkpoint,
    Decision,
    Event,
    Finish,
    GangFailed,
    GangStarted,
    JobSubmitted,
    Place,
    Refuse,
    Stop,
    Throttle,
)
from mangotrail.ids import (
    AccountId,
    EndpointId,
    JobId,
    ServiceId,
    WorkerId,
    ZoneId,
)
from mangotrail.policy import Policy
from mangotrail.scheduler import Scheduler

ONE = AccountId('one')
TWO = AccountId('two')
SERVICE = ServiceId('planner')
FIRST = JobId('a')
SECOND = JobId('b')
THIRD = JobId('c')
W0 = WorkerId('z0-000')
W1 = WorkerId('z0-001')


def submit(
    at_s: float, job: JobId, job_class: str, runtime_s: float
) -> SubmitLine:
    """Return a submission whose declared run time is correct."""
    return SubmitLine(
        at_s=at_s,
        job=job,
        job_class=job_class,
        runtime_s=runtime_s,
        declared_s=runtime_s,
    )


def make_trace(
    lines: Sequence[TraceLine],
    *,
    guarantees: Mapping[str, Sequence[GuaranteedShape]] | None = None,
    end_s: float = 1000,
) -> Trace:
    """Return a trace on two zones of two workers with four accelerators."""
    zones = [zone_spec(name, 'r', racks=[(2, 4)]) for name in ('z0', 'z1')]
    return Trace(
        header=Header(
            name='test',
            seed=0,
            end_s=end_s,
            bundle=bundle(
                ['planner'], zones, guarantees or {'one': [], 'two': []}
            ),
            classes={
                'zone': JobClass(
                    account=ONE, service=SERVICE, shape=shape(2, 4)
                ),
                'half': JobClass(
                    account=TWO, service=SERVICE, shape=shape(1, 4)
                ),
                'quarter': JobClass(
                    account=TWO, service=SERVICE, shape=shape(1, 1)
                ),
                'once': JobClass(
                    account=ONE,
                    service=SERVICE,
                    shape=shape(1, 4),
                    idempotent=False,
                ),
            },
        ),
        lines=lines,
    )


HAND = (
    submit(0, FIRST, 'zone', 100),
    submit(10, SECOND, 'zone', 200),
    submit(20, THIRD, 'half', 50),
)


class ScriptedPolicy(Policy):
    """Returns prepared decisions when a job is submitted, starts or fails."""

    def __init__(
        self,
        on_submit: Mapping[JobId, Sequence[Decision]],
        on_start: Mapping[JobId, Sequence[Decision]] | None = None,
        on_fail: Mapping[JobId, Sequence[Decision]] | None = None,
    ) -> None:
        self.on_submit = on_submit
        self.on_start = on_start or {}
        self.on_fail = dict(on_fail or {})
        self.events: list[Event] = []

    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Return the decisions prepared for the event."""
        self.events.append(event)
        match event:
            case JobSubmitted():
                return tuple(self.on_submit.get(event.job, ()))
            case GangStarted():
                return tuple(self.on_start.get(event.job, ()))
            case GangFailed():
                return tuple(self.on_fail.pop(event.job, ()))
            case _:
                return ()


def place(
    job: JobId,
    members: Sequence[tuple[WorkerId, Sequence[int]]],
    *,
    attempt: int = 1,
    zone: str = 'z0',
    service: str = 'planner',
) -> Place:
    """Return a placement on the given workers."""
    endpoint = EndpointId(f'{service}.{zone}')
    return Place(
        job=job,
        attempt=attempt,
        placement=Placement(
            zone=ZoneId(zone),
            members=[
                MemberPlacement(worker=worker, accelerators=indexes)
                for worker, indexes in members
            ],
            endpoint=endpoint,
            endpoint_url='',
            platform_url='',
        ),
    )


ALL = (0, 1, 2, 3)
WHOLE = ((W0, ALL), (W1, ALL))


def broken(
    lines: Sequence[TraceLine],
    on_submit: Mapping[JobId, Sequence[Decision]],
    **scripts: Mapping[JobId, Sequence[Decision]],
) -> dict[Rule, int]:
    """Return the rules that a scripted policy breaks, with their counts."""
    policy = ScriptedPolicy(on_submit, **scripts)
    return dict(Replay(trace=make_trace(lines), policy=policy).run().violations)


class TestTallies:
    """Statistics of a trace with results computed by hand."""

    def test_first_come(self) -> None:
        """Both gangs run at once; the third job waits for the first."""
        driver = Replay(trace=make_trace(HAND), policy=FirstComePolicy())
        tallies = driver.run()
        times = [driver.completion_s(run) for run in driver.runs.values()]
        # Each start takes 1 s; the third job starts when the first ends.
        assert times == [101, 201, 101 - 20 + 51]
        assert [driver.bound_s(run) for run in driver.runs.values()] == [
            101,
            201,
            51,
        ]
        # Both zones are full while the third job waits.
        assert tallies.fragmented == 0
        # 16 accelerators until 101 s, when no job waits any more.
        assert tallies.capacity == 16 * 101
        assert tallies.useful_work == 8 * 100 + 8 * 200 + 4 * 50
        assert tallies.violations == {}

    def test_strict_quota(self) -> None:
        """A quota of 8 delays the second gang and lets the third job run."""
        driver = Replay(trace=make_trace(HAND), policy=StrictQuotaPolicy())
        tallies = driver.run()
        times = [driver.completion_s(run) for run in driver.runs.values()]
        assert times == [101, 101 - 10 + 201, 51]
        # While the second gang waits, eight accelerators are free from 10 s to
        # 20 s and from 71 s to 101 s, but only four from 20 s to 71 s.
        assert tallies.fragmented == 8 * 10 + 8 * 30
        assert tallies.violations == {}

    def test_in_order(self) -> None:
        """No job passes the gang at the head of the queue."""
        lines = (*HAND[:2], submit(15, JobId('d'), 'zone', 10), HAND[2])
        driver = Replay(trace=make_trace(lines), policy=InOrderPolicy())
        driver.run()
        last = driver.runs[THIRD]
        # The gang submitted at 15 s starts at 101 s and ends at 112 s.
        assert driver.completion_s(last) == 112 - 20 + 51

    def test_reclaim_wait(self) -> None:
        """A job inside a guarantee waits until the borrower ends."""
        trace = make_trace(
            [*HAND[:2], submit(30, THIRD, 'half', 50)],
            guarantees={'one': [], 'two': [guarantee(Level.WORKER, 4, 1)]},
        )
        tallies = Replay(trace=trace, policy=FirstComePolicy()).run()
        assert tallies.reclaim_waits == [(71, 30, THIRD)]

    def test_move(self) -> None:
        """Work during a move is compared with the capacity that remains."""
        lines = (
            submit(0, FIRST, 'half', 400),
            ZoneLine(
                at_s=101,
                zone=ZoneId('z0'),
                state=ZoneState.OUT,
                deadline_s=60,
            ),
            ZoneLine(at_s=301, zone=ZoneId('z0'), state=ZoneState.IN),
        )
        driver = Replay(trace=make_trace(lines), policy=FirstComePolicy())
        tallies = driver.run()
        # The checkpoint at 101 s saves 100 s. The stop at 131 s and the new
        # start take 1 s each, so the job runs in the other zone from 133 s.
        assert tallies.lost_work == 4 * 31
        assert tallies.move_possible == 4 * 200
        assert tallies.move_work == 4 * (301 - 133) - 4 * 31
        assert driver.runs[FIRST].ended_s == 133 + 300

    def test_throttle(self) -> None:
        """A throttled job of ten times its size runs at a tenth."""
        line = SubmitLine(
            at_s=0,
            job=FIRST,
            job_class='half',
            runtime_s=50,
            declared_s=50,
            size=10,
        )
        policy = ScriptedPolicy(
            {FIRST: [place(FIRST, [(W0, ALL)])]},
            {FIRST: [Throttle(job=FIRST, attempt=1, share=1)]},
        )
        driver = Replay(trace=make_trace([line]), policy=policy)
        driver.run()
        assert driver.runs[FIRST].ended_s == pytest.approx(501)

    def test_excess(self) -> None:
        """Usage above the size of a job slows other jobs on the worker."""
        large = SubmitLine(
            at_s=0,
            job=FIRST,
            job_class='quarter',
            runtime_s=50,
            declared_s=50,
            size=5,
        )
        lines = [large, submit(0, SECOND, 'quarter', 50)]
        driver = Replay(trace=make_trace(lines), policy=FirstComePolicy())
        driver.run()
        # The first job exceeds its quarter of the worker by four times that
        # size, so both run at half speed from 1 s on and end together.
        assert driver.runs[FIRST].ended_s == 101
        assert driver.runs[SECOND].ended_s == 101

    def test_percentile(self) -> None:
        """Percentiles use the nearest rank without interpolation."""
        assert percentile([4, 1, 3, 2], 0.5) == 2
        assert percentile(range(1, 101), 0.95) == 95
        assert percentile([], 0.5) == 0


class TestLifecycle:
    """Events that the driver sends to a policy."""

    def test_stop_before_checkpoint(self) -> None:
        """A stop before a checkpoint completes loses all progress."""
        stop = Stop(job=FIRST, attempt=1, reason='test')
        again = {FIRST: [place(FIRST, WHOLE, attempt=2)]}
        ends = []
        for decisions in (
            [stop],
            [Checkpoint(job=FIRST, attempt=1, deadline_s=30), stop],
        ):
            driver = Replay(
                trace=make_trace(HAND[:1]),
                policy=ScriptedPolicy(
                    {FIRST: [place(FIRST, WHOLE)]}, {FIRST: decisions}, again
                ),
            )
            driver.run()
            ends.append(driver.runs[FIRST].ended_s)
        # The stop takes 1 s and the checkpoint 3 s.
        assert ends == [103, 103]

    def test_lost_worker(self) -> None:
        """The whole gang fails, and the event names the lost worker."""
        lines = [
            HAND[0],
            WorkerLine(at_s=50, worker=W1, condition=WorkerCondition.LOST),
        ]
        policy = ScriptedPolicy({FIRST: [place(FIRST, WHOLE)]})
        Replay(trace=make_trace(lines), policy=policy).run()
        failures = [it for it in policy.events if isinstance(it, GangFailed)]
        assert failures == [
            GangFailed(
                job=FIRST,
                attempt=1,
                nothing_ran=False,
                reason='worker lost',
                worker=W1,
            )
        ]

    def test_worker_that_fails_everything(self) -> None:
        """Baselines retry the job on another worker."""
        lines = [
            WorkerLine(at_s=0, worker=W0, condition=WorkerCondition.FAILS_ALL),
            submit(1, FIRST, 'half', 50),
        ]
        driver = Replay(trace=make_trace(lines), policy=FirstComePolicy())
        tallies = driver.run()
        assert tallies.worker_faults == 1
        # The attempt fails 20 s after its start at 2 s; then the job runs
        # completely on another worker.
        assert driver.runs[FIRST].ended_s == 22 + 1 + 50

    @pytest.mark.parametrize('at_s', [50, 120])
    def test_cancellation(self, at_s: float) -> None:
        """A cancelled job ends as cancelled, waiting or running."""
        lines = (*HAND, CancelLine(at_s=at_s, job=THIRD))
        driver = Replay(trace=make_trace(lines), policy=FirstComePolicy())
        driver.run()
        assert driver.runs[THIRD].outcome == Outcome.CANCELLED


class TestHardRules:
    """Policies that break one rule each."""

    def test_accelerator_twice(self) -> None:
        """An accelerator held by another job must not be placed again."""
        decisions = {
            FIRST: [place(FIRST, WHOLE)],
            THIRD: [place(THIRD, [(W0, ALL)])],
        }
        assert broken([HAND[0], HAND[2]], decisions) == {
            Rule.ACCELERATOR_TWICE: 1
        }

    def test_accelerator_twice_in_gang(self) -> None:
        """Two members of a gang must not share an accelerator."""
        decisions = {FIRST: [place(FIRST, [(W0, ALL), (W0, ALL)])]}
        assert broken(HAND[:1], decisions) == {Rule.ACCELERATOR_TWICE: 1}

    def test_slot_twice(self) -> None:
        """A placement must not exceed the slots of a worker."""
        trace = make_trace([HAND[2]])
        classes = {
            'half': JobClass(account=TWO, service=SERVICE, shape=shape(9, 0))
        }
        header = Header(
            name='slots',
            seed=0,
            end_s=100,
            bundle=trace.header.bundle,
            classes=classes,
        )
        policy = ScriptedPolicy({THIRD: [place(THIRD, [(W0, ())] * 9)]})
        driver = Replay(
            trace=Trace(header=header, lines=trace.lines), policy=policy
        )
        assert driver.run().violations == {Rule.SLOT_TWICE: 1}

    def test_gang_not_whole(self) -> None:
        """A gang with a missing member must not start."""
        decisions = {FIRST: [place(FIRST, [(W0, ALL)])]}
        assert broken(HAND[:1], decisions) == {Rule.GANG_NOT_WHOLE: 1}

    def test_zone_out(self) -> None:
        """A gang must not be placed in a zone that is out."""
        out = ZoneLine(at_s=0, zone=ZoneId('z0'), state=ZoneState.OUT)
        decisions = {FIRST: [place(FIRST, WHOLE)]}
        assert broken([out, HAND[0]], decisions) == {Rule.ZONE_OUT: 1}

    def test_worker_of_other_zone(self) -> None:
        """A gang must not span several zones."""
        other = WorkerId('z1-000')
        decisions = {FIRST: [place(FIRST, [(W0, ALL), (other, ALL)])]}
        assert broken(HAND[:1], decisions) == {Rule.ZONE_OUT: 1}

    def test_worker_lost(self) -> None:
        """A gang must not be placed on a worker that was reported lost."""
        lost = WorkerLine(at_s=0, worker=W0, condition=WorkerCondition.LOST)
        decisions = {THIRD: [place(THIRD, [(W0, ALL)])]}
        assert broken([lost, HAND[2]], decisions) == {Rule.WORKER_LOST: 1}

    def test_second_run(self) -> None:
        """A non-idempotent job must not run twice."""
        once = submit(0, FIRST, 'once', 100)
        bad = WorkerLine(at_s=0, worker=W0, condition=WorkerCondition.FAILS_ALL)
        assert broken(
            [bad, once],
            {FIRST: [place(FIRST, [(W0, ALL)])]},
            on_fail={FIRST: [place(FIRST, [(W1, ALL)], attempt=2)]},
        ) == {Rule.SECOND_RUN: 1}

    def test_preempted(self) -> None:
        """A non-idempotent job must not be preempted."""
        once = submit(0, FIRST, 'once', 100)
        assert broken(
            [once],
            {FIRST: [place(FIRST, [(W0, ALL)])]},
            on_start={FIRST: [Stop(job=FIRST, attempt=1, reason='reclaim')]},
        ) == {Rule.PREEMPTED: 1}

    def test_unknown_job(self) -> None:
        """A job that already holds resources must not be placed again."""
        decisions = {
            FIRST: [
                place(FIRST, WHOLE),
                place(FIRST, [(WorkerId('z1-000'), ALL)], zone='z1'),
            ]
        }
        assert broken(HAND[:1], decisions) == {Rule.UNKNOWN_JOB: 1}

    def test_endpoint(self) -> None:
        """A placement must name an endpoint of the service of the job."""
        decisions = {FIRST: [place(FIRST, WHOLE, service='other')]}
        assert broken(HAND[:1], decisions) == {Rule.ENDPOINT: 1}

    @pytest.mark.parametrize(
        'decision',
        [
            Refuse(job=FIRST, reason='test'),
            Finish(
                job=FIRST, outcome=Outcome.NOT_RUN, ran=False, reason='test'
            ),
        ],
    )
    def test_not_run_false(self, decision: Decision) -> None:
        """A job that ran must not be reported as not run."""
        bad = WorkerLine(at_s=0, worker=W0, condition=WorkerCondition.FAILS_ALL)
        assert broken(
            [bad, HAND[0]],
            {FIRST: [place(FIRST, WHOLE)]},
            on_fail={FIRST: [decision]},
        ) == {Rule.NOT_RUN_FALSE: 1}


class TestScheduler:
    """Outcomes of the small traces listed in benchmarks/traces/README.md."""

    def replay(self, name: str) -> Replay:
        """Replay a small trace with the scheduler."""
        trace = read_trace(TRACES / f'{name}.jsonl')
        driver = Replay(trace=trace, policy=Scheduler())
        tallies = driver.run()
        assert tallies.violations == {}, tallies.messages
        return driver

    def outcomes(self, driver: Replay) -> dict[Outcome | None, int]:
        """Return the number of jobs by outcome."""
        return dict(Counter(run.outcome for run in driver.runs.values()))

    def test_reclaim(self) -> None:
        """Borrowed capacity must be reclaimed in time."""
        driver = self.replay('small-reclaim')
        assert self.outcomes(driver) == {Outcome.ANSWERED: 5}
        owned = driver.runs[JobId('j5')]
        assert owned.started_s is not None
        assert owned.started_s - owned.line.at_s <= 32

    def test_gang(self) -> None:
        """A stream of small jobs must not starve a gang."""
        driver = self.replay('small-gang')
        assert self.outcomes(driver) == {Outcome.ANSWERED: 61}
        gang = driver.runs[JobId('j61')]
        assert gang.started_s is not None
        assert gang.started_s - gang.line.at_s <= 2400

    def test_evacuation(self) -> None:
        """Jobs of an evacuated zone must continue in the other zone."""
        driver = self.replay('small-evacuation')
        assert self.outcomes(driver) == {Outcome.ANSWERED: 3}
        assert driver.stats.killed_by_zone == 0
        evacuated = driver.runs[JobId('j1')]
        assert evacuated.ended_s is not None
        assert evacuated.saved_s >= 590
        assert evacuated.ended_s < 4 * 3600

    def test_bad_worker(self) -> None:
        """A worker that fails every job must not make sound jobs fail."""
        driver = self.replay('small-bad-worker')
        sound = driver.counted_runs()
        assert {run.outcome for run in sound} == {Outcome.ANSWERED}
        assert len(sound) == 12
        crashing = driver.runs[JobId('j13')]
        assert crashing.last_attempt <= 3
        assert crashing.outcome not in {Outcome.ANSWERED, None}

    def test_cancellations(self) -> None:
        """Cancelled jobs end as cancelled, impossible ones as not run."""
        driver = self.replay('small-cancellations')
        assert self.outcomes(driver) == {
            Outcome.ANSWERED: 5,
            Outcome.CANCELLED: 5,
            Outcome.NOT_RUN: 1,
        }

    def test_wrong_times(self) -> None:
        """Wrong declared run times must not make a job fail."""
        driver = self.replay('small-wrong-times')
        assert self.outcomes(driver) == {Outcome.ANSWERED: 15}


class TestTraces:
    """Committed traces."""

    @pytest.mark.parametrize('make', [*SMALL, *WEEKS])
    def test_generated(self, make: Callable[[], Trace]) -> None:
        """A committed trace must equal the output of its generator."""
        trace = make()
        path = TRACES / f'{trace.header.name}.jsonl'
        assert read_trace(path) == trace
