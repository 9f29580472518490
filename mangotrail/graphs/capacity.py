"""Free capacity of workers during planning, and packing of tasks on them."""

from collections.abc import Iterable, Mapping, Sequence

from mangotrail._graphs import Resources, StepSpec, WorkerSpec
from mangotrail.ids import LifeId

NO_RESOURCES = Resources()


class WorkerCapacity:
    """Free resources of one worker.

    :param is_open: whether runs may start on the worker now.
    :param has_recent_failure: whether a run has failed on the worker recently,
        with no success since; such workers are used last.
    """

    __slots__ = (
        'accelerators',
        'cpu_millis',
        'has_recent_failure',
        'is_open',
        'lasting',
        'memory_mb',
        'worker',
    )

    def __init__(
        self,
        worker: WorkerSpec,
        *,
        is_open: bool = True,
        has_recent_failure: bool = False,
    ) -> None:
        self.worker = worker
        self.is_open = is_open
        self.cpu_millis = worker.capacity.cpu_millis
        self.memory_mb = worker.capacity.memory_mb
        self.accelerators = worker.capacity.accelerators
        self.has_recent_failure = has_recent_failure
        # Resources of lasting tasks, which never end by themselves.
        self.lasting = NO_RESOURCES

    def allocate(self, step: StepSpec, count: int = 1) -> None:
        """Allocate resources for tasks; a negative count releases them."""
        if not step.fills:
            self.cpu_millis -= step.need.cpu_millis * count
        self.memory_mb -= step.need.memory_mb * count
        self.accelerators -= step.need.accelerators * count
        if step.lasting:
            cpu_millis = 0 if step.fills else step.need.cpu_millis
            self.lasting = Resources(
                cpu_millis=self.lasting.cpu_millis + cpu_millis * count,
                memory_mb=self.lasting.memory_mb + step.need.memory_mb * count,
                accelerators=self.lasting.accelerators
                + step.need.accelerators * count,
            )

    def fitting_tasks(self, step: StepSpec) -> int:
        """Return how many tasks of a step fit into the free resources."""
        return count_fitting(
            step,
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )

    def vacated_tasks(self, step: StepSpec) -> int:
        """Return how many tasks of a step fit once other runs have ended."""
        whole, kept = self.worker.capacity, self.lasting
        return count_fitting(
            step,
            cpu_millis=whole.cpu_millis - kept.cpu_millis,
            memory_mb=whole.memory_mb - kept.memory_mb,
            accelerators=whole.accelerators - kept.accelerators,
        )

    def has_label(self, step: StepSpec) -> bool:
        """Whether the worker has the label that a step requires, if any."""
        return not step.label or step.label in self.worker.labels

    def free_resources(self) -> tuple[int, int, int]:
        """Return the free resources, the scarcest kind first."""
        return (self.accelerators, self.memory_mb, self.cpu_millis)


def count_fitting(
    step: StepSpec, *, cpu_millis: int, memory_mb: int, accelerators: int
) -> int:
    """Return how many tasks of a step fit into some resources."""
    need = step.need
    counts = [
        free // wanted
        for free, wanted in (
            (cpu_millis, 0 if step.fills else need.cpu_millis),
            (memory_mb, need.memory_mb),
            (accelerators, need.accelerators),
        )
        if wanted
    ]
    return max(0, min(counts, default=step.count))


def emptiest_workers(
    step: StepSpec, capacities: Iterable[WorkerCapacity], wanted: int
) -> Sequence[WorkerCapacity]:
    """Return the workers that will probably have room for a step soonest.

    :return: a worker for each task, the emptiest workers first; empty if the
        tasks would not fit even once all runs that can end have ended.
    """
    ranked = sorted(
        capacities,
        key=lambda capacity: (
            -capacity.accelerators,
            -capacity.memory_mb,
            capacity.worker.life,
        ),
    )
    chosen: list[WorkerCapacity] = []
    for capacity in ranked:
        count = capacity.vacated_tasks(step)
        if step.per_worker_limit:
            count = min(count, step.per_worker_limit)
        chosen.extend([capacity] * min(count, wanted - len(chosen)))
        if len(chosen) == wanted:
            return chosen
    return ()


class TaskPacker:
    """Packs tasks of one step on workers.

    :param tasks_by_worker: number of running tasks of the same step and
        occurrence on each worker, which count towards ``per_worker_limit``.
    """

    def __init__(
        self,
        step: StepSpec,
        capacities: Iterable[WorkerCapacity],
        tasks_by_worker: Mapping[LifeId, int],
    ) -> None:
        self.step = step
        self.counts: list[tuple[WorkerCapacity, int]] = []
        for capacity in capacities:
            if not capacity.is_open or not capacity.has_label(step):
                continue
            count = capacity.fitting_tasks(step)
            if step.per_worker_limit:
                limit = step.per_worker_limit
                placed = tasks_by_worker.get(capacity.worker.life, 0)
                count = min(count, max(0, limit - placed))
            if count:
                self.counts.append((capacity, count))

    @property
    def total(self) -> int:
        """Number of tasks that fit on all workers together."""
        return sum(count for _, count in self.counts)

    def pack(self, wanted: int) -> Sequence[WorkerCapacity]:
        """Return a worker for each task, filling the fullest workers first.

        This best-fit order keeps whole workers free for large tasks.

        :return: as many workers as ``wanted``; empty if the tasks do not all
            fit.
        """
        if self.total < wanted:
            return ()
        need = max(self.step.need.accelerators, 1)
        ranked = sorted(
            self.counts,
            key=lambda fit: (
                fit[0].has_recent_failure,
                fit[0].accelerators - need * min(fit[1], wanted),
                fit[0].free_resources(),
                fit[0].worker.life,
            ),
        )
        chosen: list[WorkerCapacity] = []
        for capacity, count in ranked:
            chosen.extend([capacity] * min(count, wanted - len(chosen)))
            if len(chosen) == wanted:
                break
        return chosen
