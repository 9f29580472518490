"""Tests that commands do not lose, duplicate or revive work."""

import msgspec
import pytest

from mangotrail._graphs import (
    CancelGraph,
    Configuration,
    DrainWorker,
    EndKind,
    EndRuns,
    JobPhase,
    OpenOccurrence,
    QueueSpec,
    RegisterWorker,
    RemoveWorker,
    RunEnd,
    RunStart,
    SetConfiguration,
    SetZone,
    StartRuns,
    SubmitGraph,
    TaskKey,
    Verdict,
)
from mangotrail.graphs.state import RETENTION_MS, GraphState
from mangotrail.ids import AccountId, JobId, QueueId, ServiceId, ZoneId
from tests.graph_fakes import (
    NORMAL,
    apply,
    configuration,
    filled_state,
    graph_spec,
    queue_spec,
    step_spec,
    worker_spec,
)

WORKER = worker_spec(0)
OTHER_SERVICE = ServiceId('other')


def key(index: int = 0, step: int = 0, occurrence: int = 0) -> TaskKey:
    """Return a task of the job under test."""
    return TaskKey(
        job=JobId('job'), occurrence=occurrence, step=step, index=index
    )


def start(task: TaskKey, run: int = 1) -> RunStart:
    """Return a start on the worker under test."""
    return RunStart(task=task, run=run, life=WORKER.life)


def end(task: TaskKey, kind: EndKind, run: int = 1, saved: str = '') -> EndRuns:
    """Return a command that ends one run."""
    return EndRuns(
        ends=(RunEnd(task=task, run=run, end=kind, checkpoint=saved),)
    )


def running_state(
    *steps: object, tasks: int = 1, **changes: object
) -> GraphState:
    """Return a state in which the first tasks of a job are running."""
    state = filled_state(graph_spec('job', *steps, **changes))
    apply(
        state,
        RegisterWorker(worker=WORKER),
        StartRuns(starts=tuple(start(key(index)) for index in range(tasks))),
        EndRuns(ends=(), begun=(JobId('job'),)),
    )
    return state


def with_queues(version: int, *queues: QueueSpec) -> Configuration:
    """Return a configuration with other queues."""
    return msgspec.structs.replace(configuration(version), queues=queues)


def job_of(state: GraphState) -> object:
    """Return the job under test."""
    return state.jobs[JobId('job')]


class TestConfigurations:
    """Versions of the configuration."""

    def test_highest_stays(self) -> None:
        """An older or equal version changes nothing and is acknowledged."""
        state = filled_state()
        apply(state, SetConfiguration(configuration=configuration(7)))
        for version in (7, 3):
            other = configuration(version, guaranteed=1)
            result = apply(state, SetConfiguration(configuration=other))
            assert result.verdict is Verdict.OK
            assert state.configuration == configuration(7)


class TestQueues:
    """Accepted jobs whose queue changes."""

    def test_moved(self) -> None:
        """A waiting job follows its queue to another service.

        It used to wait for workers of the service of its acceptance, for good
        once these had left.
        """
        state = filled_state(graph_spec('job'))
        moved = queue_spec(NORMAL, 0, service=OTHER_SERVICE, stretch=5.0)
        apply(state, SetConfiguration(configuration=with_queues(2, moved)))
        assert job_of(state).queue.service == OTHER_SERVICE
        assert job_of(state).queue.priority == 0
        restored = GraphState()
        restored.restore(state.snapshot())
        assert job_of(restored).queue == job_of(state).queue

    def test_attempts_stay(self) -> None:
        """A later bound on attempts does not fail a job accepted before."""
        state = running_state()
        fewer = queue_spec(NORMAL, 1, max_attempts=1)
        apply(
            state,
            SetConfiguration(configuration=with_queues(2, fewer)),
            end(key(), EndKind.FAILED),
        )
        assert job_of(state).is_live

    def test_renamed(self) -> None:
        """A queue keeps its jobs under a new name at the same address."""
        state = filled_state(graph_spec('job'))
        renamed = queue_spec(
            QueueId('renamed'),
            1,
            path_prefix=f'/{NORMAL}/',
            service=OTHER_SERVICE,
        )
        apply(state, SetConfiguration(configuration=with_queues(2, renamed)))
        assert job_of(state).queue.queue == QueueId('renamed')
        assert job_of(state).queue.service == OTHER_SERVICE

    def test_removed(self) -> None:
        """The jobs of a removed queue run as they were accepted."""
        state = filled_state(graph_spec('job'))
        accepted = job_of(state).queue
        apply(state, SetConfiguration(configuration=with_queues(2)))
        assert job_of(state).queue == accepted

    def test_older_snapshot(self) -> None:
        """A job from a snapshot with the queue of its acceptance follows too.

        Such snapshots were written before jobs followed their queues.
        """
        state = filled_state(graph_spec('job'))
        accepted = job_of(state).queue
        moved = queue_spec(NORMAL, 1, service=OTHER_SERVICE)
        apply(state, SetConfiguration(configuration=with_queues(2, moved)))
        job_of(state).queue = accepted
        restored = GraphState()
        restored.restore(state.snapshot())
        assert job_of(restored).queue.service == OTHER_SERVICE


class TestSubmissions:
    """Submitted jobs."""

    def test_twice(self) -> None:
        """A job that is submitted twice is accepted once."""
        state = running_state()
        result = apply(state, SubmitGraph(graph=graph_spec('job')))
        assert result.verdict is Verdict.OK
        assert job_of(state).phase is JobPhase.RUNNING

    def test_other_account(self) -> None:
        """A job id of another account is refused."""
        state = running_state()
        graph = graph_spec('job', account=AccountId('other'))
        result = apply(state, SubmitGraph(graph=graph))
        assert result.verdict is Verdict.CONFLICT

    def test_forgotten_after_retention(self) -> None:
        """An ended job is kept during the retention period."""
        state = running_state()
        apply(state, end(key(), EndKind.DONE), time_ms=1)
        other = SubmitGraph(graph=graph_spec('other'))
        apply(state, other, time_ms=RETENTION_MS - 1)
        assert JobId('job') in state.jobs
        last = SubmitGraph(graph=graph_spec('last'))
        apply(state, last, time_ms=2 * RETENTION_MS)
        assert JobId('job') not in state.jobs


class TestStarts:
    """Starts of runs."""

    def test_one_run_of_a_task(self) -> None:
        """A second run is refused while the first has not ended."""
        state = running_state()
        assert not apply(state, StartRuns(starts=(start(key(), run=2),)))

    def test_numbers_rise(self) -> None:
        """A run number is never reused."""
        state = running_state()
        apply(state, end(key(), EndKind.STOPPED))
        assert not apply(state, StartRuns(starts=(start(key(), run=1),)))
        assert apply(state, StartRuns(starts=(start(key(), run=2),)))

    def test_order_of_steps(self) -> None:
        """A step waits for all tasks of the step it depends on."""
        steps = (step_spec(2), step_spec(1, after=(0,)))
        state = running_state(*steps, tasks=2)
        later = StartRuns(starts=(start(key(step=1)),))
        apply(state, end(key(0), EndKind.DONE))
        assert not apply(state, later)
        apply(state, end(key(1), EndKind.DONE))
        assert apply(state, later)

    def test_whole_gang(self) -> None:
        """A gang is accepted as a whole or not at all."""
        state = running_state(step_spec(2, gang=True), tasks=0)
        lost = RunStart(task=key(1), run=1, life=worker_spec(5).life)
        assert not apply(state, StartRuns(starts=(start(key(0)), lost)))
        assert not state.runs

    def test_closed_places(self) -> None:
        """Nothing starts in a closed zone or on a draining worker."""
        state = running_state(tasks=0)
        apply(state, SetZone(zone=WORKER.zone, open=False))
        assert not apply(state, StartRuns(starts=(start(key()),)))
        apply(state, SetZone(zone=WORKER.zone, open=True))
        apply(state, DrainWorker(life=WORKER.life))
        assert not apply(state, StartRuns(starts=(start(key()),)))

    def test_cancelled(self) -> None:
        """Nothing starts for a cancelled job."""
        state = running_state(tasks=0)
        apply(state, CancelGraph(job=JobId('job')))
        assert not apply(state, StartRuns(starts=(start(key()),)))


class TestEnds:
    """Ends of runs."""

    def test_completed(self) -> None:
        """A job completes with its last task, not before."""
        state = running_state(step_spec(2), tasks=2)
        apply(state, end(key(0), EndKind.DONE))
        assert job_of(state).phase is JobPhase.RUNNING
        apply(state, end(key(1), EndKind.DONE))
        assert job_of(state).phase is JobPhase.COMPLETED

    def test_one_member_stands_for_its_gang(self) -> None:
        """One member that is done makes its whole gang done."""
        state = running_state(step_spec(3, gang=True), tasks=3)
        apply(state, end(key(1), EndKind.DONE))
        assert job_of(state).phase is JobPhase.COMPLETED
        assert len(state.runs) == 2

    def test_attempts(self) -> None:
        """Only failures count as attempts, and the last one fails the job."""
        state = running_state()
        kinds = (
            EndKind.FAILED,
            EndKind.STOPPED,
            EndKind.LOST,
            EndKind.FAILED,
            EndKind.FAILED,
        )
        for run, kind in enumerate(kinds, start=1):
            assert job_of(state).phase is JobPhase.RUNNING
            apply(state, end(key(), kind, run=run))
            apply(state, StartRuns(starts=(start(key(), run=run + 1),)))
        assert job_of(state).phase is JobPhase.FAILED
        assert not state.runs

    def test_gang_counts_a_run_once(self) -> None:
        """Failures of several members in one run count as one attempt."""
        state = running_state(step_spec(2, gang=True), tasks=2)
        apply(state, end(key(0), EndKind.FAILED), end(key(1), EndKind.FAILED))
        assert job_of(state).occurrences[0][0].failures[0] == 1

    def test_outdated_end(self) -> None:
        """The end of an earlier run does not end the current one."""
        state = running_state()
        apply(state, end(key(), EndKind.STOPPED))
        apply(state, StartRuns(starts=(start(key(), run=2),)))
        apply(state, end(key(), EndKind.DONE, run=1))
        assert key() in state.runs

    def test_saved_progress(self) -> None:
        """A checkpoint of any member applies to the whole gang."""
        state = running_state(
            step_spec(2, gang=True, checkpoints=True), tasks=2
        )
        apply(
            state,
            end(key(1), EndKind.STOPPED, saved='half'),
            end(key(0), EndKind.BROKEN),
        )
        step = job_of(state).occurrences[0][0]
        assert [step.checkpoint(0), step.checkpoint(1)] == ['half', 'half']
        assert step.next_run(0) == 2

    def test_lost_with_its_worker(self) -> None:
        """Tasks of a removed life may start again."""
        state = running_state()
        apply(state, RemoveWorker(life=WORKER.life))
        assert not state.runs
        assert job_of(state).is_live

    def test_lasting(self) -> None:
        """A lasting task restarts after any end."""
        state = running_state(step_spec(1, lasting=True))
        for run, kind in enumerate((EndKind.DONE, *[EndKind.FAILED] * 5), 1):
            apply(state, end(key(), kind, run=run))
            again = StartRuns(starts=(start(key(), run=run + 1),))
            assert apply(state, again)


class TestPending:
    """Jobs that wait for their first task to start."""

    def ordered_state(self) -> GraphState:
        """Return a state with a committed start that no worker confirmed."""
        state = filled_state(graph_spec('job'))
        apply(
            state,
            RegisterWorker(worker=WORKER),
            StartRuns(starts=(start(key()),)),
        )
        return state

    def test_ordered(self) -> None:
        """A job whose start is only committed still waits."""
        job = job_of(self.ordered_state())
        assert job.is_pending
        assert job.phase is JobPhase.QUEUED

    @pytest.mark.parametrize('kind', [EndKind.NEVER_STARTED, EndKind.LOST])
    def test_without_a_run(self, kind: EndKind) -> None:
        """A job waits on after an end that no worker has listed."""
        state = self.ordered_state()
        apply(state, end(key(), kind))
        assert job_of(state).is_pending
        assert job_of(state).phase is JobPhase.QUEUED

    @pytest.mark.parametrize(
        'kind',
        [
            EndKind.FAILED,
            EndKind.STOPPED,
            EndKind.LAPSED,
            EndKind.BROKEN,
            EndKind.ALONE,
        ],
    )
    def test_listed_end(self, kind: EndKind) -> None:
        """An end that a worker has listed shows that the job has begun."""
        state = self.ordered_state()
        apply(state, end(key(), kind))
        assert not job_of(state).is_pending
        assert job_of(state).phase is JobPhase.RUNNING

    def test_confirmed(self) -> None:
        """A job that has begun stays begun, also when its run is lost."""
        state = running_state()
        apply(state, end(key(), EndKind.LOST))
        copy = GraphState()
        copy.restore(state.snapshot())
        for replica in (state, copy):
            assert not job_of(replica).is_pending
            assert job_of(replica).phase is JobPhase.RUNNING


class TestOccurrences:
    """Jobs with scheduled occurrences."""

    def test_in_turn(self) -> None:
        """Occurrences open in order, and the last one completes the job."""
        state = running_state(tasks=0, occurrences=2, first_due_ms=5)
        job = job_of(state)
        apply(state, OpenOccurrence(job=JobId('job'), occurrence=1))
        assert not job.occurrences
        for number in range(2):
            assert job.is_live
            apply(state, OpenOccurrence(job=JobId('job'), occurrence=number))
            task = key(occurrence=number)
            apply(state, StartRuns(starts=(start(task),)))
            apply(state, end(task, EndKind.DONE))
        assert job.phase is JobPhase.COMPLETED


class TestSnapshots:
    """Snapshots of the state."""

    def test_round_trip(self) -> None:
        """A restored state is equal and applies commands in the same way."""
        state = running_state(step_spec(3), step_spec(1, after=(0,)), tasks=2)
        apply(
            state,
            SetZone(zone=ZoneId('b'), open=False),
            end(key(0), EndKind.DONE),
            end(key(1), EndKind.FAILED, saved='x'),
        )
        copy = GraphState()
        copy.restore(state.snapshot())
        assert copy.snapshot() == state.snapshot()
        for replica in (state, copy):
            apply(replica, StartRuns(starts=(start(key(1), run=2),)))
        assert copy.snapshot() == state.snapshot()
