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
    Program,
    call_on,
    run_case,
    six_workers,
)

ZONE = 'south'
PATH = f'/api/evacuate/{ZONE}'
EVAC_S = BOUNDS['evac_ms'] / 1000
CONTACT_S = BOUNDS['contact_ms'] / 1000
# Machines that stand still at a time, and for how long; the site plays 7.4 s.
FROZEN = 2
FREEZE_S = 6.0
# How long starts are watched after all machines are in touch again.
WATCH_S = 4.0
# Rounds until the rule breaks; a machine that wakes drops the order if it looks
# for a new leader first.
ROUNDS = 5
STEP = {'count': 3, 'cpu': 1000, 'mem_mb': 1000, 'gpu': 4}


async def keep_submitting(deployment: Deployment) -> None:
    """Hand in short jobs, more than the workers of two zones can run."""
    while True:
        await deployment.submit('normal', [STEP], seconds=2.0)
        await asyncio.sleep(0.6)


async def withdraw(
    deployment: Deployment, frozen: dict[Program, Connection]
) -> None:
    """Withdraw the evacuation: at the frozen machines first, then others."""
    record = deployment.record
    for node, connection in frozen.items():
        record.write(f'operator: DELETE {PATH} to {node.name}')
        reply = await call_on(connection, 'DELETE', PATH)
        record.write(
            f'operator: DELETE {PATH}: {node.name} answers'
            f' {reply.status or "nothing in 1 s"}'
        )
        if reply.status // 100 == 2:
            return
        await asyncio.sleep(0.1)
    others = [node for node in deployment.controls if node not in frozen]
    await deployment.order('DELETE', PATH, nodes=others)


async def play_round(deployment: Deployment, trouble: bool) -> list[str]:
    """Withdraw the evacuation of the zone and evacuate it again."""
    record = deployment.record
    leader = deployment.leader()
    if leader is None:
        raise CaseError('no worker knows the leader')
    record.write(f'check: workers report to {leader.name}')
    followers = [node for node in deployment.controls if node is not leader]
    # The operator reads the configuration, as it does during the day, and
    # sends its next request to that machine on the same connection.
    frozen: dict[Program, Connection] = {}
    for node in followers[:FROZEN]:
        frozen[node] = await Connection.open(node.address)
        reply = await frozen[node].request('GET', '/api/config')
        record.write(
            f'operator: GET /api/config: {node.name} answers {reply.status}'
        )
    begun_s = record.now_s()
    if trouble:
        for node in frozen:
            node.send_signal(signal.SIGSTOP)
    await withdraw(deployment, frozen)
    await asyncio.sleep(1)
    acked_s = await deployment.order('POST', PATH, nodes=followers[FROZEN:])
    await asyncio.sleep(begun_s + FREEZE_S - record.now_s())
    if trouble:
        for node in frozen:
            node.send_signal(signal.SIGCONT)
    # From then on all machines are in touch and the evacuation is in force.
    from_s = max(record.now_s() + CONTACT_S, acked_s + EVAC_S)
    await asyncio.sleep(from_s + WATCH_S - record.now_s())
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


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Evacuate a zone, withdraw that, and evacuate the zone again."""
    load = asyncio.create_task(keep_submitting(deployment))
    await asyncio.sleep(2)
    await deployment.order('POST', PATH)
    await asyncio.sleep(3)
    broken: list[str] = []
    for _ in range(ROUNDS):
        broken = broken or await play_round(deployment, trouble)
    load.cancel()
    return broken


if __name__ == '__main__':
    run_case(case, FOLDER, six_workers)
