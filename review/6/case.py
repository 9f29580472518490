"""All acknowledged data is gone after a replacement and two lost disks."""

import asyncio
import json
import shutil
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

from standins import (  # noqa: E402
    BOUNDS,
    Deployment,
    Program,
    call,
    run_case,
    six_workers,
)

CATCH_UP_S = BOUNDS['catch_up_s']
RECOVERY_S = BOUNDS['recovery_s']
# The successor of a machine comes this much later; the disks are lost this
# long after the successor has had its time.
SUCCESSOR_S = 1.0
MARGIN_S = 1.0
# How long the configuration and the job are asked for after the recovery time.
ASK_S = 30.0
STEP = {'count': 1, 'cpu': 1000, 'mem_mb': 1000, 'gpu': 1}


async def read_version(deployment: Deployment) -> int:
    """Return the version that the operator reads, -1 if there is no answer."""
    for node in deployment.controls:
        if node.process is None or node.process.poll() is not None:
            continue
        reply = await call(node.address, 'GET', '/api/config')
        deployment.record.write(
            f'operator: GET /api/config: {node.name} answers'
            f' {reply.status or "nothing in 1 s"}'
        )
        if reply.status == 200:
            return int(reply.json()['version'])
    return -1


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Replace a machine of the core, then lose the disks of two others."""
    record = deployment.record
    seeds = [program.ip for program in deployment.controls[:3]]
    # All machines of the core but the leader's, the seeds last.
    leader = deployment.leader()
    others = [node for node in deployment.controls if node is not leader]
    others.sort(key=lambda node: node.ip in seeds)
    gone, *wiped = others[:3]
    if trouble:
        gone.kill()
        record.write(f'platform: {gone.name} is gone for good')
        await asyncio.sleep(SUCCESSOR_S)
        successor = Program(deployment, 'control', 5, gone.zone)
        successor.write_settings(bootstrap=False)
        successor.start()
        deployment.controls.append(successor)
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    job = await deployment.submit('normal', [STEP], seconds=30.0)
    await deployment.put_config(until_s=10)
    record.write(f'operator: version {deployment.version} is acknowledged')
    for node in wiped:
        node.kill()
        shutil.rmtree(node.data)
        node.data.mkdir()
        record.write(f'platform: {node.name} lost its disk')
    await asyncio.sleep(1)
    for node in wiped:
        node.write_settings(bootstrap=False)
        node.start()
    end_s = record.now_s() + RECOVERY_S + ASK_S
    version, shown = -1, ''
    while record.now_s() < end_s and (version < 0 or not shown):
        await asyncio.sleep(1)
        version = await read_version(deployment)
        shown = await deployment.phase('normal', job)
    record.write(
        f'check: version {deployment.version} was acknowledged, {version} is'
        f' read; job {job} is shown as {shown!r}'
    )
    broken = []
    if version < deployment.version:
        broken.append(
            f'CONFIG: version {deployment.version} was acknowledged; for'
            f' {RECOVERY_S + ASK_S:.0f} s no configuration could be read'
            ' (-1 for none): ' + json.dumps(version)
        )
    if not shown:
        broken.append(f'LOST: the accepted job {job} gets no answer')
    return broken


if __name__ == '__main__':
    run_case(case, FOLDER, six_workers)
