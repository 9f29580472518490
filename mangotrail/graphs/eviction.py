"""What it costs to stop runs so that others can start."""

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

from mangotrail._graphs import TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.slots import Slot
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.units import cores_of
from mangotrail.ids import LifeId

# What a stopped run loses that saves its progress when it is stopped: the
# stop itself (up to 0.4 s) and the time to resume (up to 0.6 s).
SAVED_LOSS_S = 0.8


class RunInfo(FrozenStruct, frozen=True, kw_only=True):
    """What the leader knows of a run that occupies a worker.

    :param started_ms: Unix milliseconds of the start; 0 if not known.
    :param stopping: whether it has been told to stop.
    """

    started_ms: int = 0
    stopping: bool = False


class Victim:
    """Runs that are stopped together: one task, or a whole gang.

    :param lives: workers where freed capacity is of use.
    """

    def __init__(
        self,
        state: GraphState,
        runs: Mapping[TaskKey, RunInfo],
        tasks: Sequence[TaskKey],
        lives: AbstractSet[LifeId],
        now_ms: int,
    ) -> None:
        self.tasks = tasks
        job = state.jobs[tasks[0].job]
        step = job.step(tasks[0])
        assert step is not None
        self.spec = step.spec
        self.homes = [state.runs[task].life for task in tasks]
        started = [runs.get(task, RunInfo()).started_ms for task in tasks]
        oldest_ms = min((at for at in started if at), default=now_ms)
        elapsed_s = max(now_ms - oldest_ms, 100) / 1000
        if self.spec.checkpoints:
            elapsed_s = min(elapsed_s, SAVED_LOSS_S)
        need = self.spec.need
        self.cost = elapsed_s * cores_of(self.spec) * len(tasks)
        useful = sum(home in lives for home in self.homes)
        freed = max(need.accelerators, need.memory_mb / 16_384, 1)
        self.rate = self.cost / (useful * freed)

    def free(self, slots: Mapping[LifeId, Slot]) -> None:
        """Give the capacity back, for a trial."""
        for home in self.homes:
            if home in slots:
                slots[home].take(self.spec, -1)

    def occupy(self, slots: Mapping[LifeId, Slot]) -> None:
        """Take the capacity again."""
        for home in self.homes:
            if home in slots:
                slots[home].take(self.spec)
