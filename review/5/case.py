"""A new leader starts tasks again that are done, if a worker has many ends."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from lab import Deployment, run_case  # noqa: E402

PREFIX = '/jobs/'
TASKS = 700
WORK_MS = 4000
# Together 28 of the 32 cores of a worker of tuylu-dal.
STEP = {'count': TASKS, 'cpu': 40, 'mem_mb': 100, 'estimated_ms': WORK_MS}


async def play(lab: Deployment) -> bool:
    """Kill the leader while the tasks of a wide step end on one worker."""
    lab.add_worker(0, 'z-a1')
    await lab.open(routes=[{'name': 'r-jobs', 'path_prefix': PREFIX}])
    job = await lab.submit(PREFIX, [STEP], WORK_MS)
    if job is None:
        raise RuntimeError('the job was not accepted')
    await lab.judge.wait_for_starts(TASKS, 30)
    first_s = lab.judge.starts[0][0]
    lab.record.write(f'{TASKS} tasks started, the first at {first_s:.3f}')
    await asyncio.sleep(
        max(0.0, first_s + WORK_MS / 1000 - 0.1 - lab.record.now_s())
    )
    leader = lab.leader()
    if lab.trouble:
        lab.record.write(f'{leader.name} is killed')
        leader.signal(signal.SIGKILL)
        await asyncio.sleep(1)
        lab.start(leader)
    phase = ''
    for _ in range(30):
        await asyncio.sleep(1)
        phase = await lab.phase(PREFIX, job)
        if phase == 'completed':
            break
    lab.record.write(f'state of {job}: {phase}')
    lab.record.write(f'{len(lab.judge.twice)} tasks were run twice')
    return not lab.judge.twice


run_case(CASE, play)
