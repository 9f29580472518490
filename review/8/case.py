"""A late deregistration of an earlier life removes the present one."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from standins import (  # noqa: E402
    CaseError,
    Deployment,
    HoldingLink,
    call,
    run_case,
    six_workers,
)

# Time for which the worker has lost the path to one machine.
CUT_S = 5.0
STEP = {'count': 1, 'cpu': 1000, 'mem_mb': 1000, 'gpu': 8}


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Replace a worker, and drain the new life while a call is held up."""
    record = deployment.record
    worker = deployment.workers[0]
    leader = deployment.leader()
    if leader is None:
        raise CaseError('no worker knows the leader')
    first, second, *_ = [
        node for node in deployment.controls if node is not leader
    ]
    link = HoldingLink(first.address, worker.ip)
    await link.start()
    worker.phase = 'draining'
    if not await worker.beat():
        raise CaseError('the notice was not acknowledged')
    record.write(f'worker {worker.id}: drains, acknowledged')
    await asyncio.sleep(3)
    begun_s = record.now_s()
    if not trouble:
        link.is_whole.set()
    # It calls the machine that it has lost the path to, then the next one.
    for name, address in (
        (first.name, link.address),
        (second.name, second.address),
    ):
        reply = await call(address, 'DELETE', worker.own_path())
        record.write(
            f'worker {worker.id}: DELETE {worker.own_path()} to {name}:'
            f' {reply.status or "nothing in 1 s"}'
        )
        if reply.status // 100 == 2:
            break
    await worker.end_life()
    await asyncio.sleep(0.3)
    await worker.start()
    await asyncio.sleep(1)
    for _ in deployment.workers:
        await deployment.submit('normal', [STEP], seconds=30.0)
    await asyncio.sleep(0.7)
    if not worker.runs:
        raise CaseError('nothing was started on the new life')
    # Another worker finishes its task, so that there is room for one.
    other = deployment.workers[1]
    for run in list(other.runs.values()):
        other.end_run(run, 'done')
    worker.phase = 'draining'
    if not await worker.beat():
        raise CaseError('the notice was not acknowledged')
    record.write(f'worker {worker.id}: drains, acknowledged')
    await asyncio.sleep(max(0, begun_s + CUT_S - record.now_s()))
    link.is_whole.set()
    record.write(f'platform: {worker.id} reaches {first.name} again')
    # The new life serves on for longer than this.
    await asyncio.sleep(2)
    record.write(
        f'check: {worker.id} has sent no DELETE in its new life and runs'
        f' {list(worker.runs)}; at the same time elsewhere: {deployment.doubles}'
    )
    return [f'TWICE: {text}' for text in deployment.doubles]


if __name__ == '__main__':
    run_case(case, FOLDER, six_workers)
