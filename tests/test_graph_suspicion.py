"""Guards against workers that fail or hold up whatever they are given."""

from mangotrail._graphs import RunStart, TaskKey
from mangotrail.graphs.quarantine import (
    FAILURE_WINDOW_S,
    QUARANTINE_S,
    STALL_TIMEOUT_S,
    QuarantineTracker,
    Usage,
    stall_groups,
    stalled_runs,
    stalled_workers,
)
from mangotrail.graphs.tracked_run import RunPhase, TrackedRun
from mangotrail.ids import JobId, LifeId
from tests.graph_fakes import filled_state, graph_spec, step_spec

BAD = LifeId('bad')
OTHERS = [LifeId(f'w{number}') for number in range(9)]


def task(index: int) -> TaskKey:
    """Return a task."""
    return TaskKey(job=JobId('job'), occurrence=0, step=0, index=index)


def usage(life: str, idle_s: float | None) -> Usage:
    """Return the usage of a run."""
    return Usage(life=LifeId(life), idle_s=idle_s)


class TestFailures:
    """Workers that fail what they start."""

    def test_two_jobs(self) -> None:
        """Failures of two jobs make a worker rest, those of one do not."""
        held = QuarantineTracker()
        assert not held.record_failure(BAD, JobId('a'), 1)
        assert not held.record_failure(BAD, JobId('a'), 2)
        assert held.record_failure(BAD, JobId('b'), 3)
        assert held.quarantined([BAD, *OTHERS], 3) == {BAD}
        assert not held.quarantined([BAD, *OTHERS], 3 + QUARANTINE_S)

    def test_doubt(self) -> None:
        """One failure makes a worker doubtful until it succeeds again."""
        held = QuarantineTracker()
        held.record_failure(BAD, JobId('a'), 1)
        assert held.has_recent_failure(BAD, 2)
        assert not held.has_recent_failure(OTHERS[0], 2)
        assert not held.has_recent_failure(BAD, 1 + FAILURE_WINDOW_S)
        held.record_success(BAD)
        assert not held.has_recent_failure(BAD, 2)

    def test_success_between(self) -> None:
        """A worker that also succeeds is not the cause."""
        held = QuarantineTracker()
        held.record_failure(BAD, JobId('a'), 1)
        held.record_success(BAD)
        assert not held.record_failure(BAD, JobId('b'), 2)

    def test_far_apart(self) -> None:
        """Failures that are far apart are those of the jobs."""
        held = QuarantineTracker()
        held.record_failure(BAD, JobId('a'), 1)
        assert not held.record_failure(BAD, JobId('b'), 1 + FAILURE_WINDOW_S)

    def test_most_workers_go_on(self) -> None:
        """Poisoned jobs that fail everywhere do not empty the service."""
        held = QuarantineTracker()
        for life in OTHERS:
            held.quarantine(life, 1)
        assert len(held.quarantined([BAD, *OTHERS], 1)) == 3


class TestStalls:
    """Tasks that stand still."""

    def test_single_task(self) -> None:
        """A task that is idle for long stands still, a working one doesn't."""
        groups = [[task(0)], [task(1)]]
        working = usage('b', None)
        held = {task(0): usage('a', STALL_TIMEOUT_S / 2), task(1): working}
        assert not stalled_runs(groups, held)
        held = {task(0): usage('a', STALL_TIMEOUT_S), task(1): working}
        assert stalled_runs(groups, held) == [task(0)]

    def test_one_listing_proves_nothing(self) -> None:
        """A run that resumes is idle at first; only a later listing counts."""
        start = RunStart(task=task(0), run=1, life=BAD)
        held = TrackedRun(start, RunPhase.PRESENT, 0)
        held.record_usage(0, 1.0)
        assert held.idle_s is None
        held.record_usage(0, 1.5)
        assert held.idle_s == 0
        held.record_usage(0, 3.0)
        assert held.idle_s >= STALL_TIMEOUT_S
        held.record_usage(9, 3.5)
        assert held.idle_s is None

    def test_gang_waits_for_one(self) -> None:
        """Members that have finished wait for one that still works."""
        held = {task(0): usage('a', 9.0), task(1): usage('b', None)}
        assert not stalled_runs([[task(0), task(1)]], held)

    def test_whole_gang(self) -> None:
        """A gang with no working member has one that stands still."""
        held = {task(0): usage('a', 9.0), task(1): usage('b', STALL_TIMEOUT_S)}
        gang = [task(0), task(1)]
        assert stalled_runs([gang], held) == gang

    def test_ending_gang(self) -> None:
        """Members of a gang that ends are idle, and no worker is to blame."""
        gang = step_spec(3, gang=True)
        state = filled_state(graph_spec('job', gang))
        members = [task(index) for index in range(3)]
        assert stall_groups(state, members) == [members]
        assert not stall_groups(state, members[:2])
        state.jobs[JobId('job')].occurrences[0][0].mark_done(0)
        assert not any(stall_groups(state, members))

    def test_only_idle_workers(self) -> None:
        """A worker on which something works is not the cause."""
        held = {
            task(0): usage('a', 1.0),
            task(1): usage('b', 1.0),
            task(2): usage('b', None),
        }
        assert stalled_workers([task(0), task(1)], held) == {LifeId('a')}
