"""Jobs that nobody has begun are missing from the count of waiting jobs."""

import asyncio
import os
import random
import socket
import sys
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from standins import (  # noqa: E402
    BOUNDS,
    HOST,
    KEY,
    ZONES,
    CaseError,
    Deployment,
    Worker,
    call,
    run_case,
)

# From this long after its acknowledgement a job that hasn't begun is counted.
COUNTED_S = BOUNDS['visible_ms'] / 1000 + 2
WATCH_S = 25.0
# From the loss until the jobs come.
AFTER_S = 1.0
# Connections that fill the queue of the lost worker.
FILLING: list[socket.socket] = []
LARGE = {'count': 1, 'gpu': 8, 'cpu': 1000, 'mem_mb': 1000, 'requires': 'r9'}
SMALL = {'count': 1, 'gpu': 2, 'cpu': 1000, 'mem_mb': 1000, 'requires': 'r9'}


def workers(deployment: Deployment) -> list[Worker]:
    """Return six workers in rack r0 and two in rack r9."""
    return [
        Worker(
            deployment, number, ZONES[number % 3], 'r9' if number > 5 else 'r0'
        )
        for number in range(8)
    ]


async def pending(deployment: Deployment) -> int | None:
    """Return the count of waiting jobs that a machine gives."""
    reply = await call(
        random.choice(deployment.entries).address,
        'GET',
        '/normal/',
        b'',
        {'Host': HOST, 'Api-Key': KEY, 'Mangotrail-Deadline-Ms': '3000'},
        3.0,
    )
    return reply.json()['pending'] if reply.status == 200 else None


async def lose(worker: Worker) -> None:
    """Let a worker do and answer nothing any more.

    Like a machine without power it also takes no new connections: its queue of
    them is full, so that the opening packets are dropped.
    """
    worker.is_silent = True
    for task in worker.tasks:
        task.cancel()
    assert worker.server is not None
    listening = worker.server.sockets[0]
    asyncio.get_running_loop().remove_reader(listening.fileno())
    with socket.socket(fileno=os.dup(listening.fileno())) as same:
        same.listen(0)
    for _ in range(3):
        filling = socket.socket()
        filling.setblocking(False)
        with suppress(BlockingIOError):
            filling.connect((worker.ip, worker.port))
        FILLING.append(filling)
    await asyncio.sleep(0.01)


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Lose a worker for good and hand in jobs that are placed on it."""
    record = deployment.record
    held = await deployment.submit('low', [LARGE], seconds=200)
    await asyncio.sleep(3)
    places = deployment.running.get(f'{held}.0.0.0', [])
    if not places:
        raise CaseError('the first job has not begun')
    lost = next(
        worker
        for worker in deployment.workers
        if worker.rack == 'r9' and worker is not places[0][0]
    )
    if trouble:
        await lose(lost)
        record.write(f'worker {lost.id}: lost for good')
    await asyncio.sleep(AFTER_S)
    jobs = [
        await deployment.submit('normal', [SMALL], seconds=60) for _ in range(4)
    ]
    end_s = record.now_s() + WATCH_S
    broken: list[str] = []
    while record.now_s() < end_s:
        await asyncio.sleep(0.5)
        asked_s = record.now_s()
        count = await pending(deployment)
        waiting = [
            job
            for job in jobs
            if not deployment.started(job)
            and asked_s - deployment.accepted_s[job] > COUNTED_S
        ]
        record.write(
            f'client: GET /normal/: pending {count}; {len(waiting)} jobs'
            f' accepted over {COUNTED_S} s before have not begun'
        )
        if count is not None and count < len(waiting) / 2:
            broken.append(
                f'MIXED: pending is {count}, {len(waiting)} jobs were accepted'
                f' over {COUNTED_S} s before and have not begun'
            )
    if broken:
        record.write(f'check: {len(broken)} counts too low')
    return broken[:1]


if __name__ == '__main__':
    run_case(case, FOLDER, workers)
