"""Guards the invariants of the decision core on random event sequences."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from mangotrail._messages import Outcome, WorkerStatus, ZoneState
from mangotrail.events import (
    Decision,
    Event,
    Finish,
    GangFailed,
    GangStarted,
    JobCancelled,
    JobFinished,
    JobRestored,
    JobSubmitted,
    Place,
    Quarantine,
    Refuse,
    Release,
    Stop,
    WorkersReported,
    ZoneChanged,
)
from mangotrail.ids import JobId, WorkerId, ZoneId
from tests.core_events import (
    Driver,
    account,
    cells,
    make_bundle,
    spec,
    zone_spec,
)

SLOTS = 6
CONNECTIONS = 5
BUNDLE = make_bundle(
    [
        zone_spec('z1', (2, 8), (2, 4), slots=SLOTS, connections=CONNECTIONS),
        zone_spec('z2', (2, 8), (2, 4), slots=SLOTS, connections=CONNECTIONS),
        zone_spec('z3', (1, 8), (1, 0), slots=SLOTS, connections=CONNECTIONS),
    ],
    [
        account('a', cells('rack', 16), cells('worker', 2, 2)),
        account('b', cells('worker', 4, 2), cells('worker', 1)),
        account('c', max_running=6, max_queued=20),
    ],
)


class Model:
    """Follows the decisions with its own books and reports events."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.driver = Driver(BUNDLE)
        self.specs: dict[str, object] = {}
        self.active: dict[str, Place] = {}
        self.began: set[str] = set()
        self.stopping: set[str] = set()
        self.may_have_run: set[str] = set()
        self.ended: set[str] = set()
        self.zones = {'z1': 'in', 'z2': 'in', 'z3': 'in'}
        self.stop_by: dict[str, float] = {}
        self.lost: set[str] = set()
        self.quarantined: set[str] = set()
        self.disturbed = False

    def apply_decisions(self, decisions: list[Decision]) -> None:
        """Check decisions and follow them."""
        for decision in decisions:
            if isinstance(decision, Place):
                self.check_place(decision)
                self.active[decision.job] = decision
            elif isinstance(decision, Stop):
                assert decision.attempt == self.active[decision.job].attempt
                self.stopping.add(decision.job)
            elif isinstance(decision, Quarantine):
                self.disturbed = True
                self.quarantined.add(decision.worker)
                assert len(self.quarantined) <= 2
            elif isinstance(decision, Release):
                self.quarantined.remove(decision.worker)
            elif isinstance(decision, (Finish, Refuse)):
                assert decision.job not in self.ended
                assert decision.job not in self.active
                self.ended.add(decision.job)
                if isinstance(decision, Finish):
                    assert decision.ran == (decision.job in self.may_have_run)
        self.check_resources()
        self.check_guarantees()

    def check_place(self, place: Place) -> None:
        """Check one placement against the request."""
        job_spec = self.specs[place.job]
        members = place.placement.members
        assert place.job not in self.ended | set(self.active)
        assert job_spec.idempotent or place.job not in self.may_have_run
        assert len(members) == job_spec.shape.members
        assert self.zones[place.placement.zone] == 'in'
        parts = {'worker': 3, 'rack': 2, 'zone': 1}[job_spec.shape.level.value]
        prefixes = {tuple(one.worker.split('-')[:parts]) for one in members}
        assert len(prefixes) == 1
        assert not self.lost & {one.worker for one in members}
        if self.quarantined & {one.worker for one in members}:
            assert len(members) == 1 and self.preemptible(place.job)
        for one in members:
            assert one.worker.startswith(place.placement.zone)
            assert len(set(one.accelerators)) == job_spec.shape.accelerators

    def check_resources(self) -> None:
        """Count everything that active attempts hold."""
        held: Counter[tuple[str, int]] = Counter()
        slots: Counter[str] = Counter()
        connections: Counter[str] = Counter()
        for place in self.active.values():
            for one in place.placement.members:
                held.update((one.worker, bit) for bit in one.accelerators)
                slots[one.worker] += 1
                connections[one.worker] += bool(one.accelerators)
        assert max(held.values(), default=0) <= 1
        assert max(slots.values(), default=0) <= SLOTS
        assert max(connections.values(), default=0) <= CONNECTIONS

    def check_guarantees(self) -> None:
        """Check that no home of a cell is held by work that must not stop."""
        core = self.driver.scheduler.core
        if not self.disturbed:
            assert not core.guarantees.unbound
        non_preemptible = {
            (one.worker, bit): self.specs[job].account
            for job, place in self.active.items()
            if not self.preemptible(job)
            for one in place.placement.members
            for bit in one.accelerators
        }
        seen: dict[tuple[str, int], str] = {}
        for cell, binding in core.guarantees.bindings:
            for worker, mask in binding:
                assert self.zones[worker.zone.zone] == 'in'
                for bit in range(8):
                    if mask >> bit & 1:
                        key = (worker.worker, bit)
                        assert (
                            non_preemptible.get(key, cell.account)
                            == cell.account
                        )
                        assert key not in seen
                        seen[key] = cell.account
        self.check_tasks(seen)

    def check_tasks(self, bindings: dict[tuple[str, int], str]) -> None:
        """Check that homes have slots and connections that can be taken."""
        slots = Counter(key[0] for key in bindings)
        slots = Counter({one: min(SLOTS, n) for one, n in slots.items()})
        connections = Counter({
            one: min(CONNECTIONS, n) for one, n in slots.items()
        })
        for job, place in self.active.items():
            owner = self.specs[job].account
            for one in place.placement.members:
                bits = [(one.worker, bit) for bit in one.accelerators]
                inside = bits and all(bindings.get(b) == owner for b in bits)
                if not inside and not self.preemptible(job):
                    slots[one.worker] += 1
                    connections[one.worker] += bool(bits)
        for worker in sorted(key[0] for key in bindings):
            assert slots[worker] <= SLOTS
            assert connections[worker] <= CONNECTIONS

    def preemptible(self, job: str) -> bool:
        """Tell whether a job can be preempted."""
        return self.specs[job].preemptible and self.specs[job].idempotent

    def submit(self) -> None:
        """Submit a random gang."""
        name = f'j{len(self.specs)}'
        pick = self.random.choice
        members = pick([1, 1, 2, 4])
        self.specs[name] = spec(
            pick('abc'),
            members=members,
            size=pick([0, 1, 2, 3, 4, 8]),
            level=pick(['worker', 'rack', 'zone']),
            urgent=self.random.random() < 0.1,
            idempotent=self.random.random() < 0.7,
            preemptible=self.random.random() < 0.7,
            deadline_s=pick([None, None, 400.0]),
        )
        self.apply_decisions(self.driver.submit(name, self.specs[name]))

    def progress(self) -> None:
        """Report what a random attempt does next."""
        if not self.active:
            return
        job = self.random.choice(sorted(self.active))
        chance = self.random.random()
        if job in self.stopping or chance < 0.15:
            self.fail(job)
        elif job not in self.began:
            self.began.add(job)
            self.may_have_run.add(job)
            self.apply_decisions(self.driver.start(job))
        elif chance < 0.7:
            del self.active[job]
            self.began.discard(job)
            self.ended.add(job)
            self.apply_decisions(self.driver.finish(job))

    def fail(self, job: str) -> None:
        """Report the end of an attempt without an answer."""
        nothing_ran = job not in self.began and self.random.random() < 0.7
        if not nothing_ran:
            self.may_have_run.add(job)
        worker = self.active.pop(job).placement.members[0].worker
        self.began.discard(job)
        self.stopping.discard(job)
        self.apply_decisions(
            self.driver.fail(job, nothing_ran=nothing_ran, worker=worker)
        )

    def cancel(self) -> None:
        """Cancel any job, also one that ended."""
        if self.specs:
            job = self.random.choice(sorted(self.specs))
            self.apply_decisions(self.driver.send(JobCancelled(job=JobId(job))))

    def send_stale_event(self) -> None:
        """Send events that contradict the state."""
        job = JobId(self.random.choice([*sorted(self.specs), 'unknown']))
        events: list[Event] = [
            GangStarted(job=job, attempt=9),
            GangFailed(job=job, attempt=9, nothing_ran=False),
            JobFinished(job=job, attempt=9, outcome=Outcome.ANSWERED),
            WorkersReported(
                workers=[WorkerStatus(worker=WorkerId('x'), healthy=False)]
            ),
            ZoneChanged(zone=ZoneId('x'), state=ZoneState.OUT),
        ]
        if job in self.driver.scheduler.core.jobs:
            events.append(JobSubmitted(job=job, job_spec=spec()))
            events.append(JobRestored(job=job, job_spec=spec(), attempt=1))
        counters = self.driver.scheduler.core.counters
        counted = counters.total()
        self.apply_decisions(self.driver.send(self.random.choice(events)))
        assert counters.total() == counted + 1

    def toggle_zone(self) -> None:
        """Take a random zone out or in."""
        self.disturbed = True
        zone = self.random.choice(sorted(self.zones))
        state = 'out' if self.zones[zone] == 'in' else 'in'
        self.zones[zone] = state
        deadline_s = self.random.choice([0, 8, 60])
        self.stop_by.pop(zone, None)
        if state == 'out':
            self.stop_by[zone] = self.driver.now_s + deadline_s
        self.apply_decisions(self.driver.zone(zone, state, deadline_s))

    def toggle_worker(self) -> None:
        """Lose a random worker or get it back."""
        self.disturbed = True
        worker = self.random.choice(['z1-0-0', 'z2-1-1', 'z3-0-0'])
        self.lost ^= {worker}
        self.apply_decisions(
            self.driver.worker(worker, healthy=worker not in self.lost)
        )

    def tick(self) -> None:
        """Let time pass and check the deadlines of zones."""
        self.apply_decisions(self.driver.tick(self.random.choice([0.5, 1, 3])))
        for job, place in self.active.items():
            due_s = self.stop_by.get(place.placement.zone, float('inf'))
            assert self.driver.now_s < due_s or job in self.stopping

    def settle(self) -> None:
        """Bring everything back and let all jobs end."""
        for zone in self.zones:
            self.zones[zone] = 'in'
            self.apply_decisions(self.driver.zone(zone, 'in'))
        for worker in sorted(self.lost):
            self.lost.discard(worker)
            self.apply_decisions(self.driver.worker(worker, healthy=True))
        self.stop_by.clear()
        for _ in range(4000):
            if len(self.ended) == len(self.specs):
                break
            self.progress()
            self.tick()
        assert self.ended == set(self.specs)


class TestInvariants:
    """Every rule holds after every event."""

    @settings(derandomize=True, max_examples=120, deadline=None)
    @given(seed=st.integers(0, 1_000_000), calm=st.booleans())
    def test_random_events(self, seed: int, calm: bool) -> None:
        """A single violation breaks an invariant of the design page."""
        model = Model(seed)
        steps = [model.submit] * 5 + [model.progress] * 8 + [model.tick] * 4
        steps += [model.cancel, model.send_stale_event]
        if not calm:
            steps += [model.toggle_zone, model.toggle_worker]
        for _ in range(150):
            model.random.choice(steps)()
        model.settle()
        core = model.driver.scheduler.core
        assert not core.jobs and not core.claims
        assert all(
            not worker.holds and not worker.claims
            for worker in core.topology.iter_workers()
        )
