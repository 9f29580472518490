"""Measures the reward on the test load of multi-step jobs, by arrival rate.

Run as ``make load``. Each line is one JSON object, in which ``worth`` is the
mean reward; the load and the weights of the reward are those of
``tests/test_graph_load.py``.
"""

import json
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from absl import app, flags

from tests.graph_load import LoadSimulation, draw_jobs, heavy_classes
from tests.test_graph_load import GUARANTEED, SECONDS, WORKERS, reward_of

SEEDS = flags.DEFINE_integer('seeds', 16, 'Days for each rate.', lower_bound=1)
PARALLEL = flags.DEFINE_integer('parallel', 4, 'Days simulated at a time.')
# Factors on the arrival rates; at 1.0 the offered load is about the capacity.
RATES = (0.6, 1.0, 1.4, 1.7, 2.0)


def run_day(rate: float, seed: int) -> float:
    """Return the reward of one simulated day."""
    jobs = draw_jobs(heavy_classes(scale=rate), seconds=SECONDS, seed=seed)
    return reward_of(
        LoadSimulation(jobs, workers=WORKERS, guaranteed=GUARANTEED)
    )


def main(_: Sequence[str]) -> None:
    """Print the mean and the lowest reward for each rate."""
    seeds = range(SEEDS.value)
    with ProcessPoolExecutor(PARALLEL.value) as pool:
        for rate in RATES:
            rewards = list(pool.map(run_day, [rate] * len(seeds), seeds))
            line = {
                'rate': rate,
                'seeds': len(seeds),
                'worth': round(mean(rewards), 3),
                'least': round(min(rewards), 3),
            }
            print(json.dumps(line), flush=True)


if __name__ == '__main__':
    app.run(main)
