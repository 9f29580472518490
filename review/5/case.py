"""Tasks that last keep a client account from the capacity that it was guaranteed."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from lab import BOUNDS, Deployment, run_case  # noqa: E402

URGENT = '/urgent/'
OTHER = '/other/'
WORKERS = 4
# The tenant of the lab is guaranteed 16 accelerators; this job needs 8.
URGENT_STEP = {
    'count': 8,
    'cpu': 500,
    'mem_mb': 100,
    'gpu': 1,
    'estimated_ms': 1000,
    'gang': True,
}


async def play(lab: Deployment) -> bool:
    """Fill all accelerators, then hand in a job that is guaranteed its room."""
    for number in range(WORKERS):
        lab.add_worker(number, ('z-a1', 'z-a2', 'z-b1')[number % 3])
    await lab.open(
        routes=[
            {'name': 'r-urgent', 'path_prefix': URGENT, 'priority': 0},
            {'name': 'r-other', 'path_prefix': OTHER, 'priority': 1},
        ]
    )
    filler = {
        'count': WORKERS * 8,
        'cpu': 500,
        'mem_mb': 100,
        'gpu': 1,
        'estimated_ms': 60_000,
        # Without the trouble, the same tasks are of the kind that ends.
        'continuous': lab.trouble,
    }
    if await lab.submit(OTHER, [filler], 60_000) is None:
        raise RuntimeError('the job that borrows was not accepted')
    await lab.judge.wait_for_starts(WORKERS * 8, 10)
    await asyncio.sleep(5)
    job = await lab.submit(URGENT, [URGENT_STEP], 1000)
    if job is None:
        raise RuntimeError('the urgent job was not accepted')
    accepted_s = lab.record.now_s()
    await asyncio.sleep(25)
    begun = {
        task: at_s
        for at_s, _, task, _ in lab.judge.starts
        if task.startswith(job)
    }
    late_s = accepted_s + BOUNDS['reclaim_ms'] / 1000
    in_time = [task for task, at_s in begun.items() if at_s <= late_s]
    lab.record.write(
        f'{job} was accepted at {accepted_s:.3f}; of its 8 tasks'
        f' {len(in_time)} had begun after {BOUNDS["reclaim_ms"]} ms and'
        f' {len(begun)} after 25 s; its state: {await lab.phase(URGENT, job)}'
    )
    return len(in_time) == 8


run_case(CASE, play)
