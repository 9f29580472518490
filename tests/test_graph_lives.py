"""Guards against starts on lives of which it is unclear what they run."""

import msgspec
import pytest

from mangotrail._graphs import RegisterWorker, RunStart, StartRuns, TaskKey
from mangotrail.graphs.blocked_lives import blocked_lives
from mangotrail.ids import JobId, LifeId
from tests.graph_fakes import apply, filled_state, graph_spec, worker_spec


class TestUnclearLives:
    """Two lives of one worker."""

    @pytest.mark.parametrize(
        ('busy', 'moved', 'unclear'),
        [
            (False, False, {'w1@1'}),
            (True, False, {'w1@1', 'w1@2'}),
            # No order to the old address reaches the new one.
            (True, True, {'w1@1'}),
        ],
    )
    def test_follower(
        self, *, busy: bool, moved: bool, unclear: set[str]
    ) -> None:
        """The life that follows waits for the runs of the one before."""
        state = filled_state(graph_spec('job'))
        apply(state, RegisterWorker(worker=worker_spec(1)))
        apply(state, RegisterWorker(worker=worker_spec(2)))
        assert not blocked_lives(state)
        if busy:
            task = TaskKey(job=JobId('job'), occurrence=0, step=0, index=0)
            start = RunStart(task=task, run=1, life=LifeId('w1@1'))
            apply(state, StartRuns(starts=(start,)))
        later = worker_spec(1, born_ms=2)
        if moved:
            later = msgspec.structs.replace(later, address='10.0.0.9:80')
        apply(state, RegisterWorker(worker=later))
        assert blocked_lives(state) == unclear
