"""Guards against starts on lives whose present runs are not known for certain."""

import msgspec
import pytest

from mangotrail._graphs import RegisterWorker, RunStart, StartRuns, TaskKey
from mangotrail.graphs.blocked_lives import blocked_lives
from mangotrail.ids import JobId, LifeId
from tests.graph_fakes import apply, filled_state, graph_spec, worker_spec


class TestBlockedLives:
    """A worker with two registered lives."""

    @pytest.mark.parametrize(
        ('busy', 'moved', 'blocked'),
        [
            (False, False, {'w1@1'}),
            (True, False, {'w1@1', 'w1@2'}),
            # Orders to the old address do not reach the new one.
            (True, True, {'w1@1'}),
        ],
    )
    def test_follower(
        self, *, busy: bool, moved: bool, blocked: set[str]
    ) -> None:
        """A successor is blocked until its predecessor has no runs."""
        state = filled_state(graph_spec('job'))
        apply(state, RegisterWorker(worker=worker_spec(1)))
        apply(state, RegisterWorker(worker=worker_spec(2)))
        assert not blocked_lives(state)
        if busy:
            task = TaskKey(job=JobId('job'), occurrence=0, step=0, index=0)
            start = RunStart(task=task, run=1, life=LifeId('w1@1'))
            apply(state, StartRuns(starts=(start,)))
        successor = worker_spec(1, born_ms=2)
        if moved:
            successor = msgspec.structs.replace(
                successor, address='10.0.0.9:80'
            )
        apply(state, RegisterWorker(worker=successor))
        assert blocked_lives(state) == blocked
