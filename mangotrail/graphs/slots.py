"""Free capacity of workers while a plan is made."""

from collections.abc import Iterable, Mapping, Sequence

from mangotrail._graphs import Resources, StepSpec, WorkerSpec
from mangotrail.ids import LifeId


class Slot:
    """What is free on one worker.

    :param worker: the worker.
    :param is_open: whether runs may start there now.
    :param is_doubtful: whether something failed there since the last success;
        other workers are used first.
    """

    __slots__ = (
        'accelerators',
        'cpu_millis',
        'is_doubtful',
        'is_open',
        'memory_mb',
        'worker',
    )

    def __init__(
        self,
        worker: WorkerSpec,
        *,
        is_open: bool = True,
        is_doubtful: bool = False,
    ) -> None:
        self.worker = worker
        self.is_open = is_open
        self.cpu_millis = worker.capacity.cpu_millis
        self.memory_mb = worker.capacity.memory_mb
        self.accelerators = worker.capacity.accelerators
        self.is_doubtful = is_doubtful

    def take(self, step: StepSpec, count: int = 1) -> None:
        """Occupy what tasks of a step need; a negative count frees it."""
        if not step.fills:
            self.cpu_millis -= step.need.cpu_millis * count
        self.memory_mb -= step.need.memory_mb * count
        self.accelerators -= step.need.accelerators * count

    def room(self, step: StepSpec) -> int:
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

    def suits(self, step: StepSpec) -> bool:
        """Whether the worker has the label that a step asks for."""
        return not step.label or step.label in self.worker.labels

    def leftover(self) -> tuple[int, int, int]:
        """Return what is free, the scarcest resource first."""
        return (self.accelerators, self.memory_mb, self.cpu_millis)


def fits_empty(capacity: Resources, step: StepSpec) -> int:
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


def emptiest_slots(
    step: StepSpec, slots: Iterable[Slot], wanted: int
) -> Sequence[Slot]:
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
    chosen: list[Slot] = []
    for slot in ranked:
        count = fits_empty(slot.worker.capacity, step)
        if step.per_worker_limit:
            count = min(count, step.per_worker_limit)
        chosen.extend([slot] * min(count, wanted - len(chosen)))
        if len(chosen) == wanted:
            return chosen
    return ()


class Room:
    """How many tasks of one step fit on each of some workers.

    :param present: tasks of the same step and occurrence on each worker,
        which count against the limit for each worker.
    """

    def __init__(
        self,
        step: StepSpec,
        slots: Iterable[Slot],
        present: Mapping[LifeId, int],
    ) -> None:
        self.step = step
        self.counts: list[tuple[Slot, int]] = []
        for slot in slots:
            if not slot.is_open or not slot.suits(step):
                continue
            count = slot.room(step)
            if step.per_worker_limit:
                limit = step.per_worker_limit
                held = present.get(slot.worker.life, 0)
                count = min(count, max(0, limit - held))
            if count:
                self.counts.append((slot, count))

    @property
    def total(self) -> int:
        """Tasks that fit on all workers together."""
        return sum(count for _, count in self.counts)

    def choose(self, wanted: int) -> Sequence[Slot]:
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
                held[0].is_doubtful,
                held[0].accelerators - need * min(held[1], wanted),
                held[0].leftover(),
                held[0].worker.life,
            ),
        )
        chosen: list[Slot] = []
        for slot, count in ranked:
            chosen.extend([slot] * min(count, wanted - len(chosen)))
            if len(chosen) == wanted:
                break
        return chosen
