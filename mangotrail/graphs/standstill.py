"""Detection of units that stand still while there is room for them.

While jobs keep coming in, a job may wait for a better place: it would take
several times as long elsewhere, and others may want that capacity at once. When
none come in, nobody else wants it, and the job should not stand still.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from mangotrail._graphs import TaskKey
from mangotrail.graphs.capacity import TaskPacker, WorkerCapacity
from mangotrail.graphs.units import SchedulingUnit, UnitKey
from mangotrail.ids import LifeId

# Accepted jobs may have nothing running for 3 s if there is room for them; this
# leaves a second for the plan, the commit and the order.
MAX_STANDSTILL_MS = 2_000
# Jobs no longer come in if none has been accepted for this long.
QUIET_S = 3.0
# There is ample room for a unit if its tasks fit this many times over.
ROOM_FACTOR = 2
# A job may wait while at least this share of the capacity is in use.
USED_SHARE = 0.5


class StandstillDetector:
    """Finds the units that stand still in one plan.

    Workers must be reduced by the current runs only, because what is claimed
    or reserved for other units is free to those that stand still.

    :param running: tasks that have a run.
    :param is_quiet: whether no job has come in for a while.
    :param since: when each unit of the previous plan began to stand still, in
        Unix milliseconds.
    """

    def __init__(
        self,
        *,
        running: Iterable[TaskKey],
        is_quiet: bool,
        since: Mapping[UnitKey, int],
        now_ms: int,
    ) -> None:
        self.is_quiet = is_quiet
        self.active_jobs = {task.job for task in running}
        self.since = since
        self.now_ms = now_ms
        self.standing: dict[UnitKey, int] = {}

    def observe(
        self,
        unit: SchedulingUnit,
        *,
        is_idle: bool,
        workers: Sequence[WorkerCapacity],
        tasks_by_worker: Mapping[LifeId, int],
    ) -> None:
        """Record a waiting unit if it stands still.

        Tasks that last count by themselves, also on workers in full use.

        :param is_idle: whether less than USED_SHARE of the capacity of its
            service is in use.
        :param workers: open workers that may run its tasks.
        :param tasks_by_worker: number of running tasks of the unit on each
            worker.
        """
        spec = unit.step.spec
        is_active = unit.job.graph.job in self.active_jobs
        may_stand = self.is_quiet and is_idle and not is_active
        if not may_stand and not spec.lasting:
            return
        room = TaskPacker(spec, workers, tasks_by_worker).total
        if room >= ROOM_FACTOR * len(unit.indices):
            self.standing[unit.key] = self.since.get(unit.key, self.now_ms)

    def is_overdue(self, unit: SchedulingUnit) -> bool:
        """Whether a unit has stood still for too long to wait on."""
        began_ms = self.standing.get(unit.key, self.now_ms)
        return self.now_ms - began_ms >= MAX_STANDSTILL_MS


def is_idle(workers: Iterable[WorkerCapacity]) -> bool:
    """Whether less than USED_SHARE of the capacity of workers is in use.

    Jobs use processors and accelerators unevenly; one kind of them suffices.
    """
    free: Counter[str] = Counter()
    whole: Counter[str] = Counter()
    for capacity in workers:
        free['processors'] += max(capacity.cpu_millis, 0)
        free['accelerators'] += max(capacity.accelerators, 0)
        whole['processors'] += capacity.worker.capacity.cpu_millis
        whole['accelerators'] += capacity.worker.capacity.accelerators
    return any(
        total - free[kind] < USED_SHARE * total for kind, total in whole.items()
    )
