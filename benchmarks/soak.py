"""Runs the agreement protocol under random faults for longer than CI.

Run as ``make soak SEEDS=1000 SECONDS=300 FIRST=0``. Each seed gives one random
sequence of faults. Safety is checked at every step and progress after the
faults, as in tests/test_agreement.py. The last line is one JSON object.
"""

import json
import sys
import time
from random import Random

from absl import app, flags

from tests.simulation import Simulation
from tests.test_agreement import FAULTS, PAUSES, inject_fault

SEEDS = flags.DEFINE_integer('seeds', 1000, 'Seeds to run.', 1)
SECONDS = flags.DEFINE_integer('seconds', 300, 'Longest run in seconds.', 1)
FIRST = flags.DEFINE_integer('first', 0, 'First seed.', 0)
MAX_STEPS = 40
MEMBERS = 5


def run_seed(seed: int) -> None:
    """Run one random sequence of faults.

    :raises AssertionError: if the logs diverge, an entry is lost or the group
        makes no progress after the faults.
    """
    random = Random(seed)
    disks = random.randint(3, MEMBERS)
    group = Simulation(seed, disks=disks, diskless=min(1, MEMBERS - disks))
    group.run(2)
    for _ in range(random.randint(1, MAX_STEPS)):
        inject_fault(group, random.choice(FAULTS), random.randrange(MEMBERS))
        group.propose_burst(1)
        group.run(random.choice(PAUSES))
    group.recover()


def main(_arguments: list[str]) -> None:
    """Run seeds until their number or the time limit is reached."""
    started_s = time.monotonic()
    failed = []
    done = 0
    for seed in range(FIRST.value, FIRST.value + SEEDS.value):
        if time.monotonic() - started_s > SECONDS.value:
            break
        done += 1
        try:
            run_seed(seed)
        except AssertionError as error:
            failed.append(seed)
            print(f'seed {seed}: {error}', flush=True)
    print(json.dumps({'seeds': done, 'failed': failed}))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app.run(main)
