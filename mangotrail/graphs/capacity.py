"""Free capacity of workers while a plan is made."""

from collections.abc import Iterable, Mapping, Sequence

from mangotrail._graphs import Resources, StepSpec, WorkerSpec
from mangotrail.ids import LifeId


class WorkerCapacity:
    """What is free on one worker.

    :param worker: the worker.
    :param is_open: whether runs may start there now.
    :param has_recent_failure: whether something failed there since the last success;
        other workers are used first.
    """

    __slots__ = (
        'accelerators',
        'cpu_millis',
        'has_recent_failure',
        'is_open',
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

    def allocate(self, step: StepSpec, count: int = 1) -> None:
        """Occupy what tasks of a step need; a negative count frees it."""
        if not step.fills:
            self.cpu_millis -= step.need.cpu_millis * count
        self.memory_mb -= step.need.memory_mb * count
        self.accelerators -= step.need.accelerators * count

    def fitting_tasks(self, step: StepSpec) -> int:
        """Return how many tasks of a step fit into what is free."""
        need = step.need
        counts = [
            free // wanted
            for free, wanted in (
                (self.cpu_millis, 0 if step.fills else need.cpu_millis),
                (self.memory_mb, need.memory_mb),
                (self.accelerators, need.accelerators),
            )
            if wanted
        ]
        return max(0, min(counts, default=step.count))

    def has_label(self, step: StepSpec) -> bool:
        """Whether the worker has the label that a step asks for."""
        return not step.label or step.label in self.worker.labels

    def free_resources(self) -> tuple[int, int, int]:
        """Return what is free, the scarcest resource first."""
        return (self.accelerators, self.memory_mb, self.cpu_millis)


def tasks_per_empty_worker(capacity: Resources, step: StepSpec) -> int:
    """Return how many tasks of a step an empty worker holds."""
    need = step.need
    counts = [
        whole // wanted
        for whole, wanted in (
            (capacity.cpu_millis, 0 if step.fills else need.cpu_millis),
            (capacity.memory_mb, need.memory_mb),
            (capacity.accelerators, need.accelerators),
        )
        if wanted
    ]
    return min(counts, default=step.count)


def emptiest_workers(
    step: StepSpec, slots: Iterable[WorkerCapacity], wanted: int
) -> Sequence[WorkerCapacity]:
    """Return the workers whose runs will leave room for a step first.

    :return: a slot for each task, the emptiest workers first; empty if the
        workers hold too few tasks even without their runs.
    """
    ranked = sorted(
        slots,
        key=lambda slot: (
            -slot.accelerators,
            -slot.memory_mb,
            slot.worker.life,
        ),
    )
    chosen: list[WorkerCapacity] = []
    for slot in ranked:
        count = tasks_per_empty_worker(slot.worker.capacity, step)
        if step.per_worker_limit:
            count = min(count, step.per_worker_limit)
        chosen.extend([slot] * min(count, wanted - len(chosen)))
        if len(chosen) == wanted:
            return chosen
    return ()


class TaskPacker:
    """How many tasks of one step fit on each of some workers.

    :param tasks_by_worker: tasks of the same step and occurrence on each worker,
        which count against the limit for each worker.
    """

    def __init__(
        self,
        step: StepSpec,
        slots: Iterable[WorkerCapacity],
        tasks_by_worker: Mapping[LifeId, int],
    ) -> None:
        self.step = step
        self.counts: list[tuple[WorkerCapacity, int]] = []
        for slot in slots:
            if not slot.is_open or not slot.has_label(step):
                continue
            count = slot.fitting_tasks(step)
            if step.per_worker_limit:
                limit = step.per_worker_limit
                held = tasks_by_worker.get(slot.worker.life, 0)
                count = min(count, max(0, limit - held))
            if count:
                self.counts.append((slot, count))

    @property
    def total(self) -> int:
        """Tasks that fit on all workers together."""
        return sum(count for _, count in self.counts)

    def pack(self, wanted: int) -> Sequence[WorkerCapacity]:
        """Return a slot for each task, filling the fullest workers first.

        Workers that are left with little serve small tasks, so that whole
        workers stay free for large ones.

        :return: as many slots as tasks are wanted; empty if they do not fit.
        """
        if self.total < wanted:
            return ()
        need = max(self.step.need.accelerators, 1)
        ranked = sorted(
            self.counts,
            key=lambda held: (
                held[0].has_recent_failure,
                held[0].accelerators - need * min(held[1], wanted),
                held[0].free_resources(),
                held[0].worker.life,
            ),
        )
        chosen: list[WorkerCapacity] = []
        for slot, count in ranked:
            chosen.extend([slot] * min(count, wanted - len(chosen)))
            if len(chosen) == wanted:
                break
        return chosen
