"""Jobs that wait while their queue moves to another service never run."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from lab import BOUNDS, SERVICE, ZONES, Deployment, run_case  # noqa: E402

PREFIX = '/jobs/'
NEW_SERVICE = 'svc-2'
OLD_WORKERS = 1
NEW_WORKERS = 14
JOBS = 3
WORK_MS = 6000
# One of these jobs fills the worker of the old service.
STEP = {
    'count': 8,
    'cpu': 500,
    'mem_mb': 100,
    'gpu': 1,
    'estimated_ms': WORK_MS,
}
ROUTE = {'name': 'r-jobs', 'path_prefix': PREFIX}
# Longer than the work, so that nothing is lost with a worker.
DRAIN_S = 8.0


async def play(lab: Deployment) -> bool:
    """Move a queue with waiting jobs to other workers; the old one leaves."""
    for number in range(OLD_WORKERS + NEW_WORKERS):
        service = SERVICE if number < OLD_WORKERS else NEW_SERVICE
        lab.add_worker(number, list(ZONES)[number % 3], service=service)
    old = lab.workers[:OLD_WORKERS]
    services = (SERVICE, NEW_SERVICE)
    await lab.open(routes=[ROUTE], services=services)
    jobs = []
    for _ in range(JOBS):
        job = await lab.submit(PREFIX, [STEP], WORK_MS)
        if job is None:
            raise RuntimeError('a job was not accepted')
        jobs.append(job)
    if lab.trouble:
        moved = lab.configuration(
            2, [{**ROUTE, 'service': NEW_SERVICE}], services
        )
        if await lab.order('PUT', '/api/config', moved) is None:
            raise RuntimeError('the configuration was not acknowledged')
        await asyncio.sleep(BOUNDS['config_apply_ms'] / 1000)
        await asyncio.gather(*(lab.leave(w, DRAIN_S) for w in old))
    # Long after both services could have done all jobs, and finish_s
    # after the end of the traffic.
    await asyncio.sleep(30)
    if lab.trouble:
        # The queue itself works: a new job runs on the new service.
        later = await lab.submit(PREFIX, [STEP], WORK_MS)
        await asyncio.sleep(WORK_MS / 1000 + 2)
        shown = await lab.phase(PREFIX, later) if later else 'not accepted'
        lab.record.write(f'a job handed in later: {shown}')
    lost = 0
    for job in jobs:
        phase = await lab.phase(PREFIX, job)
        if phase != 'completed':
            lost += 1
            lab.record.write(f'LOST: {job} was accepted; its state: {phase}')
    return not lost


run_case(CASE, play)
