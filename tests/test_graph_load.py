"""Guards against a planner that serves callers badly under overload."""

from statistics import mean

from tests.graph_load import LoadSimulation, draw_jobs, heavy_classes

WORKERS = 24
ACCELERATORS = 8 * WORKERS
# 60 % of the accelerators are guaranteed, in equal parts to four accounts.
GUARANTEED = round(ACCELERATORS * 0.6 / 4)
# The users' target for an average day of their more loaded deployment.
TARGET_REWARD = 0.73
# Reward deducted per core-second of lost work.
WASTE_COST = 0.0025
SECONDS = 34.0
SEEDS = range(16)


def reward_of(simulation: LoadSimulation) -> float:
    """Return the reward of a simulation, weighted as by the users.

    The users weight the whole day by 0.6 and the worst queue by 0.15. Their
    weights for accounts and time windows, which the simulation does not
    distinguish, are added to that of the whole day.
    """
    results_by_queue = simulation.run()
    possible = sum(
        queue_result.possible_reward
        for queue_result in results_by_queue.values()
    )
    whole = (
        sum(
            queue_result.earned_reward
            for queue_result in results_by_queue.values()
        )
        / possible
    )
    worst = min(
        queue_result.share for queue_result in results_by_queue.values()
    )
    waste = simulation.wasted_core_s * WASTE_COST / possible
    return 1.05 * whole + 0.15 * worst - waste


class TestHeavyDay:
    """Urgent gangs, large gangs and wide steps that exceed the capacity."""

    def test_target(self) -> None:
        """A load of 1.5 times the capacity still reaches the users' target.

        The target was missed when runs were preempted for urgent jobs that
        were late anyway, and when large gangs starved because their capacity
        never became free at once.
        """
        classes = heavy_classes(scale=1.7)
        assert TARGET_REWARD <= mean(
            reward_of(
                LoadSimulation(
                    draw_jobs(classes, seconds=SECONDS, seed=seed),
                    workers=WORKERS,
                    guaranteed=GUARANTEED,
                )
            )
            for seed in SEEDS
        )
