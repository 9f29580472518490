"""Runs a local deployment and checks what callers and stand-ins observed.

The last line on stdout is one JSON object; the exit code is 0 only if every
count in it has its expected value. Run with ``make demo``.
"""

import json
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from hashlib import sha256
from pathlib import Path

import msgspec

from examples.deployment import LocalDeployment, wait_for
from mangotrail._messages import (
    JobSpec,
    JobView,
    Outcome,
    ZoneState,
)

BUNDLE = Path('examples/bundles/tuylu_dal.json')
JOBS = 36
ANSWER_TIMEOUT_S = 40.0
EVACUATION_TIMEOUT_S = 15.0


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of a demo run.

    :param ran_twice: non-idempotent requests that endpoints ran repeatedly.
    :param partial_gangs: gangs of which only some members began.
    """

    processes: int
    requests: int
    answered_whole: int
    wrong_answers: int
    ran_twice: int
    partial_gangs: int
    bundle_version_in_force: int

    def passed(self) -> bool:
        """Return whether every count has its expected value."""
        return (
            self.answered_whole == self.requests
            and not self.wrong_answers
            and not self.ran_twice
            and not self.partial_gangs
            and self.bundle_version_in_force > 0
        )


def make_specs(deployment: LocalDeployment) -> Sequence[JobSpec]:
    """Return small jobs, gangs, and urgent and non-idempotent jobs."""
    accounts = [account.account for account in deployment.bundle.accounts]
    return [
        deployment.spec(
            f'demo-{number}',
            account=accounts[number % len(accounts)],
            members=(1, 1, 2, 4, 8)[number % 5],
            accelerators=(1, 2, 4, 8)[number % 4],
            idempotent=bool(number % 3),
            urgent=number % 7 == 0,
        )
        for number in range(JOBS)
    ]


def run_job(deployment: LocalDeployment, number: int, spec: JobSpec) -> JobView:
    """Submit a job through one gateway and wait through another."""
    instances = deployment.instances
    submit = deployment.caller(spec.account, instances[number % 6])
    submit.submit_job(spec)
    wait = deployment.caller(spec.account, instances[(number + 1) % 6])
    return wait.wait_job(spec.account, spec.request, wait_s=ANSWER_TIMEOUT_S)


def is_valid_answer(spec: JobSpec, view: JobView) -> bool:
    """Return whether an answer is complete and belongs to the request."""
    if view.answer is None:
        return False
    intact = sha256(view.answer).hexdigest() == view.answer_sha256
    return intact and spec.request.encode() in view.answer


def running_tasks(deployment: LocalDeployment, zone: str) -> int:
    """Count the tasks that the workers of a zone are running."""
    leases = deployment.platform_records(zone)['leases']
    return sum(task['running'] for lease in leases for task in lease['tasks'])


def count_partial_gangs(deployment: LocalDeployment) -> int:
    """Count the leases of which only some members began."""
    partial = 0
    for zone in deployment.plan.platform_ports:
        for lease in deployment.platform_records(zone)['leases']:
            begun = [task['began'] for task in lease['tasks']]
            partial += any(begun) and not all(begun)
    return partial


def run_demo(deployment: LocalDeployment) -> Summary:
    """Run the demo and count what callers and stand-ins observed."""
    deployment.start()
    zones = [zone.zone for zone in deployment.bundle.zones]
    version = deployment.put_bundle_in_force()
    in_force_s = deployment.wait_version(version, deployment.instances, 10)
    print(f'bundle {version} is in force everywhere after {in_force_s:.1f} s')
    for zone in zones:
        deployment.start_endpoints(zone)
    deployment.wait_endpoints(6)
    specs = make_specs(deployment)
    with ThreadPoolExecutor(max_workers=12) as pool:
        jobs = [
            pool.submit(run_job, deployment, number, spec)
            for number, spec in enumerate(specs)
        ]
        deployment.set_zone(zones[2], ZoneState.OUT, deadline_s=2)
        print(f'zone {zones[2]} is out')
        wait_for(
            lambda: not running_tasks(deployment, zones[2]),
            what='evacuation',
            timeout_s=EVACUATION_TIMEOUT_S,
        )
        deployment.set_zone(zones[2], ZoneState.IN)
        print(f'zone {zones[2]} was evacuated and is back')
        views = [job.result() for job in jobs]
    runs = deployment.endpoint_runs()
    answered = [
        (spec, view)
        for spec, view in zip(specs, views, strict=True)
        if view.outcome is Outcome.ANSWERED
    ]
    for spec, view in zip(specs, views, strict=True):
        if view.outcome is not Outcome.ANSWERED:
            print(f'{spec.request}: {view}')
    valid_answers = sum(is_valid_answer(spec, view) for spec, view in answered)
    return Summary(
        processes=len(deployment.processes),
        requests=len(specs),
        answered_whole=valid_answers,
        wrong_answers=len(answered) - valid_answers,
        ran_twice=sum(
            runs.get(f'{spec.account}/{spec.request}', 0) > 1
            for spec in specs
            if not spec.idempotent
        ),
        partial_gangs=count_partial_gangs(deployment),
        bundle_version_in_force=version,
    )


def main() -> int:
    """Run the demo and stop every process that it started."""
    with tempfile.TemporaryDirectory(prefix='mangotrail-demo-') as folder:
        deployment = LocalDeployment(Path(folder) / 'demo', bundle_path=BUNDLE)
        try:
            summary = run_demo(deployment)
        finally:
            deployment.close()
    print(json.dumps(msgspec.to_builtins(summary)))
    return 0 if summary.passed() else 1


if __name__ == '__main__':
    sys.exit(main())
