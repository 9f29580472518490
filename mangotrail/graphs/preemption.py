"""Preemption: which runs to stop so that others can start, and the cost."""

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

# Time that preemption costs a run that saves a checkpoint when it is stopped:
# the stop itself (up to 0.4 s) and resuming (up to 0.6 s).
CHECKPOINTED_LOSS_S = 0.8
# Shortest time until a preempted urgent run works again on another worker.
RESTART_MS = 1_000
# Amount of memory that is weighted like one accelerator: about an eighth of a
# worker.
MEMORY_PER_ACCELERATOR_MB = 16_384


class RunInfo(FrozenStruct, frozen=True, kw_only=True):
    """State of a current run, as known to the leader.

    :param started_ms: start in Unix milliseconds, 0 if unknown.
    :param stopping: whether a stop has been requested.
    """

    started_ms: int = 0
    stopping: bool = False


class Victim:
    """Runs that can only be preempted together: one task, or a whole gang.

    The cost of an urgent run includes a penalty if the preemption makes it miss
    its objective. Otherwise an urgent gang that has just started, and so has
    the least work to lose, would always be preempted first for the next one.
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
            # The caller loses the benefit of the whole run, so its estimated
            # duration is added to the lost time.
            lost_s += self.spec.estimated_ms / 1000
        self.cost = lost_s * core_equivalents(self.spec) * len(tasks)

    def would_miss_objective(
        self, elapsed_ms: int, age_ms: int, span_ms: float
    ) -> bool:
        """Whether preemption would make a run miss an objective it now meets.

        :param elapsed_ms: age of the run.
        :param age_ms: age of the job.
        :param span_ms: latency objective of the job.
        """
        whole_ms = self.spec.estimated_ms
        left_ms = max(0, whole_ms - elapsed_ms)
        rerun_ms = left_ms if self.spec.checkpoints else whole_ms
        return age_ms + left_ms <= span_ms < age_ms + RESTART_MS + rerun_ms

    def relative_cost(self, life: LifeId) -> float:
        """Return the cost per unit of resources released on a worker."""
        need = self.spec.need
        freed = max(
            need.accelerators, need.memory_mb / MEMORY_PER_ACCELERATOR_MB, 1
        )
        return self.cost / (freed * self.lives.count(life))

    def deallocate(self, workers: Mapping[LifeId, WorkerCapacity]) -> None:
        """Release the resources, to try a placement without these runs."""
        for life in self.lives:
            if life in workers:
                workers[life].allocate(self.spec, -1)

    def allocate(self, workers: Mapping[LifeId, WorkerCapacity]) -> None:
        """Allocate the resources again."""
        for life in self.lives:
            if life in workers:
                workers[life].allocate(self.spec)


class VictimSelector:
    """Selects the cheapest runs to preempt for tasks of a step.

    Places one task at a time, each on the worker where the next task costs
    least. This greedy choice works well because workers differ far more in
    the cost of their runs than in their capacity.

    :param step: step whose tasks need capacity.
    :param workers: capacity of all workers; unchanged after each call.
    :param tasks_by_worker: number of running tasks of the same step and
        occurrence on each worker.
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
            for life in dict.fromkeys(victim.lives):
                self.victims_by_worker[life].append(victim)
        self.stopped: list[Victim] = []

    def select(
        self, capacities: Iterable[WorkerCapacity], wanted: int
    ) -> tuple[float, Sequence[Victim], Sequence[WorkerCapacity]] | None:
        """Return the victims to preempt so that tasks fit on some workers.

        :param wanted: number of tasks to place.
        :return: cost in core-seconds, victims and a worker for each task; None
            if the tasks would not fit even without all possible victims.
        """
        self.stopped = []
        chosen: list[WorkerCapacity] = []
        options = {
            capacity.worker.life: self.placement_option(capacity, ())
            for capacity in capacities
        }
        while len(chosen) < wanted:
            possible = {
                life: option for life, option in options.items() if option
            }
            if not possible:
                break
            life = min(possible, key=lambda candidate: possible[candidate].rank)
            changed = {life}
            for victim in possible[life].victims:
                victim.deallocate(self.workers)
                self.stopped.append(victim)
                changed.update(victim.lives)
            capacity = self.workers[life]
            capacity.allocate(self.step)
            chosen.append(capacity)
            for changed_life in changed & options.keys():
                options[changed_life] = self.placement_option(
                    self.workers[changed_life], chosen
                )
        for capacity in chosen:
            capacity.allocate(self.step, -1)
        for victim in self.stopped:
            victim.allocate(self.workers)
        if len(chosen) < wanted:
            return None
        return sum(victim.cost for victim in self.stopped), self.stopped, chosen

    def placement_option(
        self, capacity: WorkerCapacity, chosen: Sequence[WorkerCapacity]
    ) -> 'PlacementOption | None':
        """Return the cost of one more task on a worker, None if none fits."""
        life = capacity.worker.life
        limit = self.step.per_worker_limit
        placed = self.tasks_by_worker.get(life, 0) + chosen.count(capacity)
        if not capacity.is_open or (limit and placed >= limit):
            return None
        victims: list[Victim] = []
        if not capacity.fitting_tasks(self.step):
            victims = self.local_victims(capacity)
            if not victims:
                return None
        cost = sum(victim.cost for victim in victims)
        return PlacementOption(
            victims=victims,
            rank=(
                cost,
                capacity.has_recent_failure,
                capacity.free_resources(),
                life,
            ),
        )

    def local_victims(self, capacity: WorkerCapacity) -> list[Victim]:
        """Return victims on a worker that free the resources for one task.

        Adds victims by relative cost until a task fits, then drops those that
        turn out not to be needed, the most expensive first.
        """
        life = capacity.worker.life
        candidates = [
            victim
            for victim in self.victims_by_worker.get(life, ())
            if victim not in self.stopped
        ]
        candidates.sort(key=lambda victim: victim.relative_cost(life))
        found: list[Victim] = []
        for victim in candidates:
            capacity.allocate(victim.spec, -victim.lives.count(life))
            found.append(victim)
            if capacity.fitting_tasks(self.step):
                break
        enough = bool(capacity.fitting_tasks(self.step))
        for victim in sorted(found, key=lambda victim: -victim.cost):
            count = victim.lives.count(life)
            capacity.allocate(victim.spec, count)
            if enough and capacity.fitting_tasks(self.step):
                found.remove(victim)
            else:
                capacity.allocate(victim.spec, -count)
        for victim in found:
            capacity.allocate(victim.spec, victim.lives.count(life))
        return found if enough else []


class PlacementOption(FrozenStruct, frozen=True, kw_only=True):
    """Cost of placing one more task on a worker.

    :param rank: sort key: cost in core-seconds, then recent failures, free
        resources and life of the worker.
    """

    victims: Sequence[Victim]
    rank: tuple[float, bool, tuple[int, int, int], LifeId]
