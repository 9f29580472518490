"""Guards against workers that fail or stall every run they get."""

from mangotrail._graphs import Resources, RunStart, TaskKey
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
    """Quarantine after failed runs."""

    def test_two_jobs(self) -> None:
        """Failures of two jobs quarantine a worker; those of one do not."""
        tracker = QuarantineTracker()
        assert not tracker.record_failure(BAD, JobId('a'), 1)
        assert not tracker.record_failure(BAD, JobId('a'), 2)
        assert tracker.record_failure(BAD, JobId('b'), 3)
        assert tracker.quarantined([BAD, *OTHERS], 3) == {BAD}
        assert not tracker.quarantined([BAD, *OTHERS], 3 + QUARANTINE_S)

    def test_doubt(self) -> None:
        """A failure counts as recent within the window, until a success."""
        tracker = QuarantineTracker()
        tracker.record_failure(BAD, JobId('a'), 1)
        assert tracker.has_recent_failure(BAD, 2)
        assert not tracker.has_recent_failure(OTHERS[0], 2)
        assert not tracker.has_recent_failure(BAD, 1 + FAILURE_WINDOW_S)
        tracker.record_success(BAD)
        assert not tracker.has_recent_failure(BAD, 2)

    def test_success_between(self) -> None:
        """A success in between prevents the quarantine."""
        tracker = QuarantineTracker()
        tracker.record_failure(BAD, JobId('a'), 1)
        tracker.record_success(BAD)
        assert not tracker.record_failure(BAD, JobId('b'), 2)

    def test_far_apart(self) -> None:
        """Failures outside the window do not add up."""
        tracker = QuarantineTracker()
        tracker.record_failure(BAD, JobId('a'), 1)
        assert not tracker.record_failure(BAD, JobId('b'), 1 + FAILURE_WINDOW_S)

    def test_most_workers_go_on(self) -> None:
        """Jobs that fail everywhere do not quarantine most workers."""
        tracker = QuarantineTracker()
        for life in OTHERS:
            tracker.quarantine(life, 1)
        assert len(tracker.quarantined([BAD, *OTHERS], 1)) == 3


class TestStalls:
    """Detection of stalled tasks."""

    def test_single_task(self) -> None:
        """A task is stalled once it has been idle for the time-out."""
        groups = [[task(0)], [task(1)]]
        working = usage('b', None)
        usages = {task(0): usage('a', STALL_TIMEOUT_S / 2), task(1): working}
        assert not stalled_runs(groups, usages)
        usages = {task(0): usage('a', STALL_TIMEOUT_S), task(1): working}
        assert stalled_runs(groups, usages) == [task(0)]

    def test_one_listing_proves_nothing(self) -> None:
        """A run that resumes is idle at first, which does not count."""
        start = RunStart(task=task(0), run=1, life=BAD)
        tracked = TrackedRun(start, RunPhase.PRESENT, 0)
        tracked.record_usage(0, 1.0)
        assert tracked.idle_s is None
        tracked.record_usage(0, 1.5)
        assert tracked.idle_s == 0
        tracked.record_usage(0, 3.0)
        assert tracked.idle_s >= STALL_TIMEOUT_S
        tracked.record_usage(9, 3.5)
        assert tracked.idle_s is None

    def test_gang_waits_for_one(self) -> None:
        """A gang with a working member is not stalled."""
        usages = {task(0): usage('a', 9.0), task(1): usage('b', None)}
        assert not stalled_runs([[task(0), task(1)]], usages)

    def test_whole_gang(self) -> None:
        """A gang without a working member is stalled as a whole."""
        usages = {
            task(0): usage('a', 9.0),
            task(1): usage('b', STALL_TIMEOUT_S),
        }
        gang = [task(0), task(1)]
        assert stalled_runs([gang], usages) == gang

    def test_ending_gang(self) -> None:
        """Idle members of a gang that is ending are not stalled."""
        gang = step_spec(3, gang=True)
        state = filled_state(graph_spec('job', gang))
        members = [task(index) for index in range(3)]
        assert stall_groups(state, members) == [members]
        assert not stall_groups(state, members[:2])
        state.jobs[JobId('job')].occurrences[0][0].mark_done(0)
        assert not any(stall_groups(state, members))

    def test_without_processor(self) -> None:
        """A task that asks for no processor may use none.

        It was taken for stalled, stopped every few seconds and never done.
        """
        need = Resources(cpu_millis=0, memory_mb=100, accelerators=1)
        state = filled_state(graph_spec('job', step_spec(1, need=need)))
        assert not stall_groups(state, [task(0)])

    def test_only_idle_workers(self) -> None:
        """A worker with a working run is not reported."""
        usages = {
            task(0): usage('a', 1.0),
            task(1): usage('b', 1.0),
            task(2): usage('b', None),
        }
        assert stalled_workers([task(0), task(1)], usages) == {LifeId('a')}
