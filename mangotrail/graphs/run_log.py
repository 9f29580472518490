"""Log lines on runs: one for each step, however many tasks it has.

A line for each task would exceed the bound on log lines on a service of some
hundred workers, and the job that somebody asks for would be left out.
"""

from collections.abc import Iterable, Mapping

from loguru import logger

from mangotrail._graphs import EndKind, RunEnd, RunStart, TaskKey
from mangotrail.graphs.units import UnitKey
from mangotrail.ids import LifeId, WorkerId

# Workers named in a line, so that it stays under the length of a log line. The
# ends of the runs name the others.
MAX_WORKERS_PER_LINE = 100


def unit_key_of(task: TaskKey) -> UnitKey:
    """Return the step that a task belongs to."""
    return task.job, task.occurrence, task.step


def log_ordered(
    starts: Iterable[RunStart], workers: Mapping[LifeId, WorkerId]
) -> None:
    """Log which tasks of each step were ordered from which workers."""
    groups: dict[tuple[UnitKey, int], list[RunStart]] = {}
    for start in starts:
        groups.setdefault((unit_key_of(start.task), start.run), []).append(
            start
        )
    for (unit, run), held in groups.items():
        places: dict[WorkerId, list[int]] = {}
        for start in held:
            worker = workers.get(start.life, WorkerId('unknown'))
            places.setdefault(worker, []).append(start.task.index)
        logger.info(
            'Ordered runs job={} step={}.{} run={} count={} tasks={}',
            *unit,
            run,
            len(held),
            ' '.join(
                f'{worker}:{_join_indices(indices)}'
                for worker, indices in list(places.items())[
                    :MAX_WORKERS_PER_LINE
                ]
            ),
        )


def log_ended(ends: Iterable[RunEnd], worker: WorkerId) -> None:
    """Log which runs of each step ended on a worker, and how."""
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
