"""A pause of half a second ends the work of a leader that goes on to lead."""

import asyncio
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from lab import Deployment, run_case  # noqa: E402

PREFIX = '/jobs/'
PAUSE_S = 0.5
PAUSES = 4
SPACING_S = 3.2
STEP = {'count': 16, 'cpu': 250, 'mem_mb': 100, 'estimated_ms': 300}
# The workers are in one region, most control nodes in the other one, with the
# 8 ms one way of the site between them.
REGION_LATENCY_S = 0.016
# Bounds of the rule LOST: jobs are asked for finish_s after the traffic ends.
FINISH_S = 14
SILENCE_S = 9


async def traffic(lab: Deployment, accepted: list[str]) -> None:
    """Hand in small jobs, about 16 in a second."""

    async def one() -> None:
        job = await lab.submit(PREFIX, [STEP], 300)
        if job is not None:
            accepted.append(job)

    while True:
        lab.spawn(one())
        await asyncio.sleep(random.uniform(0.04, 0.08))


async def play(lab: Deployment) -> bool:
    """Pause the leader for a moment, one time after the other, under load."""
    for number in range(6):
        lab.add_worker(number, 'z-b1', latency_s=REGION_LATENCY_S)
    await lab.open(routes=[{'name': 'r-jobs', 'path_prefix': PREFIX}])
    accepted: list[str] = []
    load = lab.spawn(traffic(lab, accepted))
    await asyncio.sleep(3)
    if not accepted or not lab.judge.starts:
        raise RuntimeError('the deployment does not serve')
    for _ in range(PAUSES):
        leader = lab.leader()
        if lab.trouble:
            lab.record.write(f'{leader.name} pauses for {PAUSE_S} s')
            leader.signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            leader.signal(signal.SIGCONT)
            lab.record.write(f'{leader.name} goes on')
        await asyncio.sleep(SPACING_S)
        last_s = lab.judge.starts[-1][0]
        if lab.record.now_s() - last_s > 3:
            lab.record.write(f'no task has started since {last_s:.3f}')
            break
    await asyncio.sleep(SILENCE_S)
    load.cancel()
    lab.record.write('the traffic ends')
    await asyncio.sleep(FINISH_S)
    lost = 0
    for job in accepted[-20:]:
        phase = await lab.phase(PREFIX, job)
        if phase != 'completed':
            lost += 1
            lab.record.write(f'LOST: {job} was accepted; its state: {phase}')
            if lost >= 3:
                break
    return not lost


run_case(CASE, play)
