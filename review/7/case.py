"""A withdrawal that was sent once more undoes a later evacuation."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from standins import (  # noqa: E402
    BOUNDS,
    CaseError,
    Connection,
    Deployment,
    run_case,
    six_workers,
)

ZONE = 'south'
PATH = f'/api/evacuate/{ZONE}'
EVAC_S = BOUNDS['evac_ms'] / 1000
CONTACT_S = BOUNDS['contact_ms'] / 1000
# Time for which the machine stands still; the site plays up to 6.9 s.
FREEZE_S = 6.0
# How long starts are watched after all machines are in touch again.
WATCH_S = 12.0
STEP = {'count': 3, 'cpu': 1000, 'mem_mb': 1000, 'gpu': 4}


async def keep_submitting(deployment: Deployment) -> None:
    """Hand in short jobs, more than the workers of two zones can run."""
    while True:
        await deployment.submit('normal', [STEP], seconds=2.0)
        await asyncio.sleep(0.6)


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Evacuate a zone, withdraw that, and evacuate the zone again."""
    record = deployment.record
    load = asyncio.create_task(keep_submitting(deployment))
    await asyncio.sleep(2)
    await deployment.order('POST', PATH)
    await asyncio.sleep(3)
    leader = deployment.leader()
    if leader is None:
        raise CaseError('no worker knows the leader')
    others = [node for node in deployment.controls if node is not leader]
    frozen = others[0]
    record.write(f'check: workers report to {leader.name}')
    # The operator reads the configuration, as it does during the day, and
    # sends its next request to that machine on the same connection.
    connection = await Connection.open(frozen.address)
    reply = await connection.request('GET', '/api/config')
    record.write(
        f'operator: GET /api/config: {frozen.name} answers {reply.status}'
    )
    begun_s = record.now_s()
    if trouble:
        frozen.send_signal(signal.SIGSTOP)
    # The operator calls the machine that stands still, then the next ones.
    await deployment.order(
        'DELETE', PATH, nodes=[frozen, *others[1:]], connection=connection
    )
    await asyncio.sleep(1)
    acked_s = await deployment.order('POST', PATH, nodes=others[1:])
    await asyncio.sleep(begun_s + FREEZE_S - record.now_s())
    if trouble:
        frozen.send_signal(signal.SIGCONT)
    # From then on all machines are in touch and the evacuation is in force.
    from_s = max(record.now_s() + CONTACT_S, acked_s + EVAC_S)
    await asyncio.sleep(from_s + WATCH_S - record.now_s())
    load.cancel()
    late = [
        (at_s, worker, task)
        for at_s, worker, task, _ in deployment.starts
        if worker.zone == ZONE and at_s > from_s
    ]
    total = sum(at_s > from_s for at_s, _, _, _ in deployment.starts)
    record.write(
        f'check: the evacuation was acknowledged at {acked_s:.3f}; of {total}'
        f' starts after {from_s:.3f}, {len(late)} are in {ZONE}'
    )
    if not total:
        raise CaseError('nothing was started at the end')
    if not late:
        return []
    at_s, worker, task = late[0]
    return [
        f'EVAC: {len(late)} tasks started in {ZONE} later than {EVAC_S} s after'
        f' its evacuation was acknowledged, which nobody withdrew; the first,'
        f' {task}, on {worker.id} {at_s - acked_s:.1f} s after it'
    ]


if __name__ == '__main__':
    run_case(case, FOLDER, six_workers)
