"""Log lines about runs, one per step instead of one per task.

On a service of some hundred workers, a line per task would exceed the rate
limit of the log, and lines about other jobs would be dropped.
"""

from collections.abc import Iterable, Mapping

from loguru import logger

from mangotrail._graphs import EndKind, RunEnd, RunStart, TaskKey
from mangotrail.graphs.units import UnitKey
from mangotrail.ids import LifeId, WorkerId

# Keeps a line below the maximum length of a log line. The lines about the ends
# of the runs name the remaining workers.
MAX_WORKERS_PER_LINE = 100


def unit_key_of(task: TaskKey) -> UnitKey:
    """Return the key of the unit to which a task belongs."""
    return task.job, task.occurrence, task.step


def log_ordered(
    starts: Iterable[RunStart], workers: Mapping[LifeId, WorkerId]
) -> None:
    """Log which tasks of each step were ordered on which workers."""
    groups: dict[tuple[UnitKey, int], list[RunStart]] = {}
    for start in starts:
        groups.setdefault((unit_key_of(start.task), start.run), []).append(
            start
        )
    for (unit, run), step_starts in groups.items():
        places: dict[WorkerId, list[int]] = {}
        for start in step_starts:
            worker = workers.get(start.life, WorkerId('unknown'))
            places.setdefault(worker, []).append(start.task.index)
        logger.info(
            'Ordered runs job={} step={}.{} run={} count={} tasks={}',
            *unit,
            run,
            len(step_starts),
            ' '.join(
                f'{worker}:{_join_indices(indices)}'
                for worker, indices in list(places.items())[
                    :MAX_WORKERS_PER_LINE
                ]
            ),
        )


def log_ended(ends: Iterable[RunEnd], worker: WorkerId) -> None:
    """Log which runs of each step ended on a worker, by kind of end."""
    groups: dict[tuple[UnitKey, int, EndKind], list[int]] = {}
    for end in ends:
        key = (unit_key_of(end.task), end.run, end.end)
        groups.setdefault(key, []).append(end.task.index)
    for (unit, run, kind), indices in groups.items():
        logger.info(
            'Ended runs job={} step={}.{} run={} end={} tasks={}:{}',
            *unit,
            run,
            kind.value,
            worker,
            _join_indices(indices),
        )


def _join_indices(indices: Iterable[int]) -> str:
    return ','.join(str(index) for index in indices)
