"""Guards against broken guarantees, split gangs and wasted capacity."""

from collections import Counter

from mangotrail._graphs import (
    DrainWorker,
    RegisterWorker,
    RunStart,
    SetConfiguration,
    StartRuns,
    StepSpec,
    SubmitGraph,
    TaskKey,
)
from mangotrail.graphs.capacity import WorkerCapacity
from mangotrail.graphs.planning import Plan, Planner
from mangotrail.graphs.preemption import RunInfo
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.units import entitled_jobs
from mangotrail.ids import AccountId, JobId, LifeId
from tests.graph_fakes import (
    NORMAL,
    URGENT,
    apply,
    configuration,
    filled_state,
    graph_spec,
    step_spec,
    worker_spec,
)

WORKERS = 8


# A gang that is spread over racks takes this many times as long.
SPREAD_FACTOR = 3.0


class PlannerHarness:
    """Workers in two racks, and plans that take effect at once."""

    def __init__(self, *, guaranteed: int = 32) -> None:
        self.state: GraphState = filled_state()
        apply(
            self.state,
            SetConfiguration(
                configuration=configuration(2, guaranteed=guaranteed)
            ),
        )
        for number in range(WORKERS):
            apply(self.state, RegisterWorker(worker=worker_spec(number)))
        self.claims: dict = {}
        self.now_ms = 0
        self.runs: dict[TaskKey, RunInfo] = {}
        self.recently_failed: set[LifeId] = set()

    def submit(
        self,
        name: str,
        *steps: StepSpec,
        urgent: bool = False,
        account: str = 'acme',
    ) -> None:
        """Accept a job."""
        graph = graph_spec(
            name,
            *steps,
            queue=URGENT if urgent else NORMAL,
            account=AccountId(account),
        )
        apply(self.state, SubmitGraph(graph=graph), time_ms=self.now_ms)

    def plan(self) -> Plan:
        """Make a plan and let its starts take effect."""
        slots = {
            life: WorkerCapacity(
                held.spec,
                is_open=not held.draining,
                has_recent_failure=life in self.recently_failed,
            )
            for life, held in self.state.workers.items()
        }
        plan = Planner(
            state=self.state,
            workers=slots,
            runs=self.runs,
            claims=self.claims,
            now_ms=self.now_ms,
            spread_factor=SPREAD_FACTOR,
            approved={},
        ).plan()
        self.claims = dict(plan.claims)
        for task in plan.stops:
            self.runs[task] = RunInfo(stopping=True)
        accepted = apply(self.state, StartRuns(starts=plan.starts))
        assert len(accepted) == len(plan.starts)
        self.check_capacity()
        return plan

    def check_capacity(self) -> None:
        """Check that no worker holds more than it has."""
        used: Counter[str] = Counter()
        for task, start in self.state.runs.items():
            need = self.state.jobs[task.job].step(task).spec.need
            used[start.life] += need.accelerators
        assert max(used.values(), default=0) <= 8

    def starts(self, plan: Plan, name: str) -> list[RunStart]:
        """Return the starts of one job."""
        return [held for held in plan.starts if held.task.job == name]

    def racks(self, starts: list[RunStart]) -> set[str]:
        """Return the racks that starts are on."""
        return {self.state.workers[start.life].spec.rack for start in starts}


class TestGangs:
    """Tasks that only work together."""

    def test_whole_or_not(self) -> None:
        """A gang that doesn't fit whole doesn't start at all."""
        site = PlannerHarness()
        site.submit('small', step_spec(5, 8))
        site.plan()
        site.submit('large', step_spec(4, 8, gang=True))
        assert not site.plan().starts

    def test_same_rack(self) -> None:
        """A gang that must be near itself starts in one rack."""
        site = PlannerHarness()
        site.submit('spread', step_spec(2, 8, gang=True))
        site.submit('near', step_spec(4, 8, gang=True, same_rack=True))
        plan = site.plan()
        assert len(site.racks(site.starts(plan, 'near'))) == 1

    def test_wait_for_rack(self) -> None:
        """A gang waits for a rack while it would miss its objective apart.

        Spread over racks it takes three times as long: 30 s against an
        objective of 20.5 s. After 20 s of waiting nothing is lost by it.
        """
        site = PlannerHarness()
        site.submit('a', step_spec(1, 8, label='rack-0', gang=True))
        site.submit('b', step_spec(1, 8, label='rack-1', gang=True))
        site.plan()
        step = step_spec(4, 8, gang=True, same_rack=True, estimated_ms=10_000)
        site.submit('near', step)
        site.now_ms += 5_000
        assert not site.starts(site.plan(), 'near')
        site.now_ms += 15_000
        assert len(site.racks(site.starts(site.plan(), 'near'))) == 2

    def test_wider_than_a_rack(self) -> None:
        """A gang that no rack can hold runs on several at once."""
        site = PlannerHarness()
        site.submit('wide', step_spec(6, 8, gang=True, same_rack=True))
        assert len(site.plan().starts) == 6

    def test_small_tasks_leave_whole_workers(self) -> None:
        """Small tasks are packed, so that large ones find whole workers."""
        site = PlannerHarness()
        site.submit('small', step_spec(8, 1))
        site.plan()
        assert len({start.life for start in site.state.runs.values()}) == 1


class TestPlaces:
    """Where tasks may run."""

    def test_label(self) -> None:
        """A task runs only where its label is."""
        site = PlannerHarness()
        site.submit('picky', step_spec(1, 1, label='rack-1'))
        assert site.racks(site.plan().starts) == {'rack-1'}

    def test_limit_for_each_worker(self) -> None:
        """Tasks that avoid each other spread, also over several plans."""
        site = PlannerHarness()
        site.submit('apart', step_spec(20, 1, per_worker_limit=2))
        for _ in range(2):
            site.plan()
        homes = Counter(start.life for start in site.state.runs.values())
        assert set(homes.values()) == {2}

    def test_data_rack(self) -> None:
        """Tasks run near their data, or far from it rather than not at all."""
        site = PlannerHarness()
        site.submit('near', step_spec(33, 1, data_rack='rack-1'))
        assert site.racks(site.plan().starts) == {'rack-1'}
        assert not site.plan().starts
        site.now_ms += 2_500
        assert site.racks(site.plan().starts) == {'rack-0'}

    def test_draining(self) -> None:
        """Nothing starts on a worker that is leaving."""
        site = PlannerHarness()
        for number in range(7):
            apply(site.state, DrainWorker(life=worker_spec(number).life))
        site.submit('job', step_spec(3, 4))
        assert {start.life for start in site.plan().starts} == {'w7@1'}


class TestDoubtfulWorkers:
    """Workers on which something has just failed."""

    def test_doubtful_worker_is_used_last(self) -> None:
        """A worker that has just failed a run attracts no new ones."""
        site = PlannerHarness()
        *doubtful, spared = sorted(site.state.workers)
        site.recently_failed.update(doubtful)
        site.submit('job', step_spec(1, 1))
        assert [one.life for one in site.plan().starts] == [spared]


class TestGuarantees:
    """Accelerators that an account can always have for urgent jobs."""

    def test_reclaimed(self) -> None:
        """Borrowed capacity is stopped and kept for the urgent job."""
        site = PlannerHarness()
        site.submit('borrower', step_spec(8, 8))
        site.plan()
        site.submit('urgent', step_spec(4, 8, gang=True), urgent=True)
        plan = site.plan()
        assert len(plan.stops) == 4
        site.submit('thief', step_spec(8, 8))
        for task in plan.stops:
            del site.state.runs[task]
        plan = site.plan()
        assert len(site.starts(plan, 'urgent')) == 4
        assert not site.starts(plan, 'thief')

    def test_order_of_acceptance(self) -> None:
        """The guarantee covers the jobs that came first."""
        site = PlannerHarness(guaranteed=16)
        for number in range(3):
            site.now_ms += 1
            name = f'urgent-{number}'
            site.submit(name, step_spec(1, 8, gang=True), urgent=True)
        assert entitled_jobs(site.state) == {
            JobId('urgent-0'),
            JobId('urgent-1'),
        }

    def test_beyond_the_guarantee_gives_way(self) -> None:
        """An urgent job beyond its account's guarantee makes room."""
        site = PlannerHarness()
        site.submit(
            'over', step_spec(8, 8, gang=True), urgent=True, account='x'
        )
        assert len(site.plan().starts) == 8
        site.submit('urgent', step_spec(1, 8, gang=True), urgent=True)
        assert len(site.plan().stops) == 8

    def test_guaranteed_work_stays(self) -> None:
        """What runs inside a guarantee is not stopped for others."""
        site = PlannerHarness(guaranteed=64)
        site.submit('held', step_spec(8, 8, gang=True), urgent=True)
        site.plan()
        site.submit('late', step_spec(1, 8, gang=True), urgent=True)
        assert not site.plan().stops

    def test_cheapest_worker_is_cleared(self) -> None:
        """One worker is cleared, the one whose runs together cost least.

        Taking the cheapest run first, wherever it ran, ended on the worker
        without an expensive run, though its runs cost more together.
        """
        site = PlannerHarness(guaranteed=64)
        site.submit('held', step_spec(6, 8, gang=True), urgent=True)
        site.submit('small', step_spec(16, 1))
        site.plan()
        site.now_ms = 30_000
        small = [task for task in site.state.runs if task.job == 'small']
        even, uneven = sorted({site.state.runs[task].life for task in small})
        ages_s = {even: [5] * 8, uneven: [1] * 7 + [20]}
        for task in small:
            age_s = ages_s[site.state.runs[task].life].pop()
            site.runs[task] = RunInfo(started_ms=site.now_ms - age_s * 1_000)
        site.submit('urgent', step_spec(1, 8, gang=True), urgent=True)
        stops = site.plan().stops
        assert {site.state.runs[task].life for task in stops} == {uneven}

    def test_cost_beyond_the_guarantee(self) -> None:
        """Beyond its guarantee an urgent job waits rather than waste more."""
        site = PlannerHarness()
        site.submit('old', step_spec(8, 8))
        site.plan()
        for task in site.state.runs:
            site.runs[task] = RunInfo(started_ms=1)
        site.now_ms = 1_000
        gang = step_spec(2, 8, gang=True)
        site.submit('over', gang, urgent=True, account='x')
        assert len(site.plan().stops) == 2
        site.now_ms = 9_000
        site.submit('later', gang, urgent=True, account='y')
        assert not site.plan().stops
        site.submit('entitled', gang, urgent=True)
        assert len(site.plan().stops) == 2

    def test_urgent_victim_counts_its_objective(self) -> None:
        """An urgent run that has just begun is not stopped for the next one.

        It had done the least work of all, so it was chosen each time, and its
        caller was late.
        """
        site = PlannerHarness()
        site.submit('old', step_spec(4, 8))
        site.plan()
        for task in site.state.runs:
            site.runs[task] = RunInfo(started_ms=1)
        site.now_ms = 600
        step = step_spec(4, 8)
        site.submit('over', step, urgent=True, account='x')
        for start in site.plan().starts:
            site.runs[start.task] = RunInfo(started_ms=site.now_ms)
        site.now_ms += 900
        site.submit('entitled', step, urgent=True)
        assert {task.job for task in site.plan().stops} == {'old'}

    def test_cheapest_victims(self) -> None:
        """What has run shortest or saves its progress is stopped first."""
        site = PlannerHarness()
        site.submit('old', step_spec(4, 8))
        site.submit('saving', step_spec(4, 8, checkpoints=True))
        site.plan()
        for task in site.state.runs:
            site.runs[task] = RunInfo(started_ms=1)
        site.now_ms = 10_000
        site.submit('urgent', step_spec(2, 8, gang=True), urgent=True)
        plan = site.plan()
        assert {task.job for task in plan.stops} == {'saving'}
        assert len(plan.stops) == 2
