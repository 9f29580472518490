"""Runs of a worker that is cut off with resets are started again elsewhere."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from lab import ZONES, Deployment, Proxy, run_case  # noqa: E402

PREFIX = '/jobs/'
WORK_MS = 12_000
WORKERS = 4
CUT_S = 3.0
STEP = {
    'count': 12,
    'cpu': 1000,
    'mem_mb': 100,
    'gpu': 2,
    'estimated_ms': WORK_MS,
}


async def play(lab: Deployment) -> bool:
    """Cut one of four workers off for a moment; it goes on to work."""
    proxies = {}
    for number in range(WORKERS):
        worker = lab.add_worker(
            number,
            list(ZONES)[number % 3],
            advertised=(f'{lab.net}.{number + 160}', lab.port + 4),
        )
        proxies[worker.name] = Proxy(worker.advertised, worker.address)
        await proxies[worker.name].open()
    await lab.open(routes=[{'name': 'r-jobs', 'path_prefix': PREFIX}])
    job = await lab.submit(PREFIX, [STEP], WORK_MS)
    if job is None:
        raise RuntimeError('the job was not accepted')
    await lab.judge.wait_for_starts(STEP['count'], 10)
    await asyncio.sleep(2)
    # The first worker with tasks; the others keep some room.
    cut = next(worker for worker in lab.workers if worker.runs)
    if lab.trouble:
        lab.record.write(f'{cut.name} is cut off, {len(cut.runs)} tasks run')
        proxies[cut.name].cut()
        await asyncio.sleep(CUT_S)
        await proxies[cut.name].open()
        lab.record.write(f'{cut.name} is reached again')
    await asyncio.sleep(20)
    lab.record.write(f'state of {job}: {await lab.phase(PREFIX, job)}')
    for proxy in proxies.values():
        proxy.cut()
    return not lab.judge.twice


run_case(CASE, play)
