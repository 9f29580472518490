"""What it costs to stop runs so that others can start."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mangotrail._graphs import StepSpec, TaskKey
from mangotrail._struct import FrozenStruct
from mangotrail.graphs.capacity import WorkerCapacity
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.units import (
    URGENT_PRIORITY,
    core_equivalents,
    objective_duration_ms,
)
from mangotrail.ids import LifeId

# What a stopped run loses that saves its progress when it is stopped: the
# stop itself (up to 0.4 s) and the time to resume (up to 0.6 s).
CHECKPOINTED_LOSS_S = 0.8
# Time until a stopped urgent run can be at work again elsewhere, at best.
RESTART_MS = 1_000
# Memory that weighs as much as an accelerator: about an eighth of a worker.
MEMORY_PER_ACCELERATOR_MB = 16_384


class RunInfo(FrozenStruct, frozen=True, kw_only=True):
    """What the leader knows of a run that occupies a worker.

    :param started_ms: Unix milliseconds of the start; 0 if not known.
    :param stopping: whether it has been told to stop.
    """

    started_ms: int = 0
    stopping: bool = False


class Victim:
    """Runs that are stopped together: one task, or a whole gang.

    The cost of an urgent run counts its caller's objective too. An urgent gang
    that has just begun has done the least work of all, and would be stopped
    first for the sake of the next one.
    """

    def __init__(
        self,
        state: GraphState,
        runs: Mapping[TaskKey, RunInfo],
        tasks: Sequence[TaskKey],
        now_ms: int,
    ) -> None:
        self.tasks = tasks
        job = state.jobs[tasks[0].job]
        step = job.step(tasks[0])
        assert step is not None
        self.spec = step.spec
        self.lives = [state.runs[task].life for task in tasks]
        started = [runs.get(task, RunInfo()).started_ms for task in tasks]
        oldest_ms = min((at for at in started if at), default=now_ms)
        elapsed_ms = max(now_ms - oldest_ms, 100)
        lost_s = elapsed_ms / 1000
        if self.spec.checkpoints:
            lost_s = min(lost_s, CHECKPOINTED_LOSS_S)
        if job.queue.priority == URGENT_PRIORITY and self.would_miss_objective(
            elapsed_ms,
            now_ms - job.objective_start_ms(tasks[0].occurrence),
            objective_duration_ms(job),
        ):
            # The caller loses what the whole run was for.
            lost_s += self.spec.estimated_ms / 1000
        self.cost = lost_s * core_equivalents(self.spec) * len(tasks)

    def would_miss_objective(
        self, elapsed_ms: int, age_ms: int, span_ms: float
    ) -> bool:
        """Whether a run in time would be late if it were stopped.

        :param elapsed_ms: age of the run.
        :param age_ms: age of the job.
        :param span_ms: how long the job should take.
        """
        whole_ms = self.spec.estimated_ms
        left_ms = max(0, whole_ms - elapsed_ms)
        again_ms = left_ms if self.spec.checkpoints else whole_ms
        return age_ms + left_ms <= span_ms < age_ms + RESTART_MS + again_ms

    def relative_cost(self, life: LifeId) -> float:
        """Return the cost for what is freed on one worker."""
        need = self.spec.need
        freed = max(
            need.accelerators, need.memory_mb / MEMORY_PER_ACCELERATOR_MB, 1
        )
        return self.cost / (freed * self.lives.count(life))

    def deallocate(self, slots: Mapping[LifeId, WorkerCapacity]) -> None:
        """Give the capacity back, for a trial."""
        for home in self.lives:
            if home in slots:
                slots[home].allocate(self.spec, -1)

    def allocate(self, slots: Mapping[LifeId, WorkerCapacity]) -> None:
        """Take the capacity again."""
        for home in self.lives:
            if home in slots:
                slots[home].allocate(self.spec)


class VictimSelector:
    """Finds the runs whose loss costs least and that make room for tasks.

    Takes one place after the other, each on the worker where the next task
    costs least, because workers differ far more in what runs on them than in
    what they hold.

    :param step: the tasks that need room.
    :param workers: all workers; they are as before after each call.
    :param tasks_by_worker: tasks of the same step and occurrence on each worker.
    """

    def __init__(
        self,
        *,
        step: StepSpec,
        workers: Mapping[LifeId, WorkerCapacity],
        victims: Iterable[Victim],
        tasks_by_worker: Mapping[LifeId, int],
    ) -> None:
        self.step = step
        self.workers = workers
        self.tasks_by_worker = tasks_by_worker
        self.victims_by_worker: dict[LifeId, list[Victim]] = defaultdict(list)
        for victim in victims:
            for home in dict.fromkeys(victim.lives):
                self.victims_by_worker[home].append(victim)
        self.stopped: list[Victim] = []

    def select(
        self, slots: Iterable[WorkerCapacity], wanted: int
    ) -> tuple[float, Sequence[Victim], Sequence[WorkerCapacity]] | None:
        """Return how to make room for tasks on some workers.

        :return: cost in core-seconds, victims and a slot for each task; None
            if even stopping all of them leaves too little room.
        """
        self.stopped = []
        chosen: list[WorkerCapacity] = []
        offers = {
            slot.worker.life: self.placement_option(slot, ()) for slot in slots
        }
        while len(chosen) < wanted:
            offered = {life: offer for life, offer in offers.items() if offer}
            if not offered:
                break
            life = min(offered, key=lambda held: offered[held].rank)
            changed = {life}
            for victim in offered[life].victims:
                victim.deallocate(self.workers)
                self.stopped.append(victim)
                changed.update(victim.lives)
            slot = self.workers[life]
            slot.allocate(self.step)
            chosen.append(slot)
            for again in changed & offers.keys():
                offers[again] = self.placement_option(
                    self.workers[again], chosen
                )
        for slot in chosen:
            slot.allocate(self.step, -1)
        for victim in self.stopped:
            victim.allocate(self.workers)
        if len(chosen) < wanted:
            return None
        return sum(victim.cost for victim in self.stopped), self.stopped, chosen

    def placement_option(
        self, slot: WorkerCapacity, chosen: Sequence[WorkerCapacity]
    ) -> 'PlacementOption | None':
        """Return what one more task costs on a worker, None if too much."""
        life = slot.worker.life
        limit = self.step.per_worker_limit
        held = self.tasks_by_worker.get(life, 0) + chosen.count(slot)
        if not slot.is_open or (limit and held >= limit):
            return None
        victims: list[Victim] = []
        if not slot.fitting_tasks(self.step):
            victims = self.local_victims(slot)
            if not victims:
                return None
        cost = sum(victim.cost for victim in victims)
        return PlacementOption(
            victims=victims,
            rank=(cost, slot.has_recent_failure, slot.free_resources(), life),
        )

    def local_victims(self, slot: WorkerCapacity) -> list[Victim]:
        """Return the runs on a worker that leave room for one more task."""
        life = slot.worker.life
        candidates = [
            victim
            for victim in self.victims_by_worker.get(life, ())
            if victim not in self.stopped
        ]
        candidates.sort(key=lambda victim: victim.relative_cost(life))
        found: list[Victim] = []
        for victim in candidates:
            slot.allocate(victim.spec, -victim.lives.count(life))
            found.append(victim)
            if slot.fitting_tasks(self.step):
                break
        enough = bool(slot.fitting_tasks(self.step))
        for victim in sorted(found, key=lambda held: -held.cost):
            count = victim.lives.count(life)
            slot.allocate(victim.spec, count)
            if enough and slot.fitting_tasks(self.step):
                found.remove(victim)
            else:
                slot.allocate(victim.spec, -count)
        for victim in found:
            slot.allocate(victim.spec, victim.lives.count(life))
        return found if enough else []


class PlacementOption(FrozenStruct, frozen=True, kw_only=True):
    """What one more task costs on a worker.

    :param rank: cost in core-seconds, then how well the worker fits.
    """

    victims: Sequence[Victim]
    rank: tuple[float, bool, tuple[int, int, int], LifeId]
