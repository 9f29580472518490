"""Measures the resource use of each process as a deployment grows.

Real processes run with the stand-ins at fractions of the two-year size, the
size planned for two years ahead. Each fraction is measured without work, with
running tasks, and with running tasks and configuration changes. The last line
on stdout is one JSON object. Run with ``make capacity``.
"""

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from benchmarks.fitting import fit_line
from examples.deployment import LocalDeployment, wait_for
from mangotrail._bundle import (
    AccountSpec,
    Bundle,
    GuaranteedShape,
    Level,
    LimitSpec,
    RackSpec,
    ServiceSpec,
    ZoneSpec,
)
from mangotrail._messages import JobSpec
from mangotrail._struct import FrozenStruct
from mangotrail.ids import AccountId, RegionId, ServiceId, WorkerId, ZoneId

Document: TypeAlias = dict[str, Any]

BASE_PORT = 28000
PORTS_PER_SIZE = 100
# The two-year size, from docs/design.md.
WORKERS = 580
TWO_ACCELERATOR_SHARE = 520 / 580
TASKS = 9900
ACCOUNTS = 92
ENDPOINTS_PER_ZONE = 4
CHANGES_PER_S = 1400 / 86400
REGIONS = ('north', 'north', 'north', 'middle', 'middle', 'south', 'south')
ZONE_REGIONS = (*REGIONS, 'south')
# Two instances run in the first zone of each region.
INSTANCE_ZONES = (0, 3, 5)
GANG_MEMBERS = 30
# Gangs whose members each need an accelerator, at the two-year size.
ACCELERATOR_GANGS = 20
ACCELERATOR_MEMBERS = 8
# 9,900 tasks on 580 workers are 17.1 per worker, which 8 slots cannot hold.
SLOTS = 24
RACK_WORKERS = 16
GUARANTEED_CELLS = 4
CELL_ACCELERATORS = 2
# No task ends during a measurement.
ANSWER_DELAY_S = 100_000
CHANGE_PERIOD_S = 3.0
SETTLE_S = 4.0
PAYLOAD = 'x' * 1024
READY_TIMEOUT_S = 60.0
BUDGETS = {'core_share': 0.029, 'resident_mb': 32.0, 'bytes_s': 10_000.0}
ROLES = (
    'control_leader',
    'control_follower_disk',
    'control_follower_diskless',
    'gateway_dispatching',
    'gateway_not_dispatching',
)
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Reading(FrozenStruct, frozen=True, kw_only=True):
    """Resource counters of one process at one point in time.

    :param link_bytes: bytes by direction and purpose since process start.
    """

    cpu_s: float
    resident_mb: float
    peak_mb: float
    link_bytes: Mapping[str, int]


class Cost(FrozenStruct, frozen=True, kw_only=True):
    """Resource use of one process over an interval."""

    process: str
    role: str
    attempts: int
    core_share: float
    resident_mb: float
    peak_mb: float
    bytes_s: float
    bytes_s_by_purpose: Mapping[str, float]


class Interval(FrozenStruct, frozen=True, kw_only=True):
    """Resource use of all processes over one interval.

    :param kind: ``idle``, ``tasks`` or ``changes``.
    :param part: fraction of the two-year size.
    :param load: one-minute load average of the machine.
    """

    kind: str
    part: float
    seconds: float
    load: float
    running_tasks: int
    running_jobs: int
    changes: int
    entries: int
    log_entries: int
    bundles: int
    journal_bytes: int
    costs: Sequence[Cost]


def make_bundle(part: float) -> Bundle:
    """Return a bundle of a fraction of the two-year size in eight zones."""
    workers = max(round(WORKERS * part), len(ZONE_REGIONS))
    zones = []
    for number, region in enumerate(ZONE_REGIONS):
        count = workers // len(ZONE_REGIONS) + (
            number < workers % len(ZONE_REGIONS)
        )
        zones.append(
            ZoneSpec(
                zone=ZoneId(f'zone-{number}'),
                region=RegionId(region),
                platform_url=f'http://127.0.0.1:1/zones/zone-{number}',
                slots=SLOTS,
                racks=_make_racks(f'zone-{number}', count),
            )
        )
    return Bundle(
        schema_version=1,
        services=(ServiceSpec(service=ServiceId('planner')),),
        zones=zones,
        accounts=[
            AccountSpec(
                account=AccountId(f'account-{number}'),
                guarantees=(
                    GuaranteedShape(
                        level=Level.WORKER,
                        accelerators=CELL_ACCELERATORS,
                        count=GUARANTEED_CELLS,
                    ),
                ),
            )
            for number in range(max(round(ACCOUNTS * part), 1))
        ],
        limits=LimitSpec(),
    )


def _make_racks(zone: str, workers: int) -> Sequence[RackSpec]:
    two_accelerator_workers = round(workers * TWO_ACCELERATOR_SHARE)
    racks: list[RackSpec] = []
    for first, last, accelerators in (
        (0, two_accelerator_workers, 2),
        (two_accelerator_workers, workers, 1),
    ):
        for start in range(first, last, RACK_WORKERS):
            stop = min(start + RACK_WORKERS, last)
            racks.append(
                RackSpec(
                    rack=f'{zone}-rack-{len(racks)}',
                    workers=[
                        WorkerId(f'{zone}-{number:03}')
                        for number in range(start, stop)
                    ],
                    accelerators=accelerators,
                )
            )
    return racks


class SizeMeasurement:
    """Measurements of a deployment of one size.

    :param part: fraction of the two-year size.
    :param seconds: length of an interval without changes.
    :param change_seconds: length of the interval with changes.
    :param change_period_s: time between two configuration changes.
    """

    def __init__(
        self,
        folder: Path,
        *,
        part: float,
        base_port: int,
        seconds: float,
        change_seconds: float,
        change_period_s: float,
    ) -> None:
        self.part = part
        self.seconds = seconds
        self.change_seconds = change_seconds
        self.change_period_s = change_period_s
        self.bundle = make_bundle(part)
        self.deployment = self._make_deployment(folder, base_port)
        self.specs = self._make_specs()
        self.version = 0
        self.in_force_delays_s: list[float] = []

    def run(self) -> Sequence[Interval]:
        """Start the deployment, measure it in three states and kill it."""
        deployment = self.deployment
        try:
            deployment.start()
            self.version = deployment.put_bundle_in_force()
            deployment.wait_version(
                self.version, deployment.instances, READY_TIMEOUT_S
            )
            for zone in self.bundle.zones:
                deployment.start_endpoints(
                    zone.zone, count=ENDPOINTS_PER_ZONE, answer_s=ANSWER_DELAY_S
                )
            deployment.wait_endpoints(ENDPOINTS_PER_ZONE * len(ZONE_REGIONS))
            idle = self._measure('idle')
            self._submit()
            tasks = self._measure('tasks')
            changes = self._measure('changes')
        finally:
            # A graceful shutdown would wait for the running tasks.
            for name in tuple(deployment.processes):
                deployment.kill(name)
        return idle, tasks, changes

    def _make_deployment(self, folder: Path, base_port: int) -> LocalDeployment:
        """Write a deployment of six instances for a bundle of eight zones.

        Zones without an instance use the platform process of another zone.
        """
        folder.mkdir(parents=True)
        reduced_bundle = msgspec.structs.replace(
            self.bundle,
            zones=[self.bundle.zones[index] for index in INSTANCE_ZONES],
            accounts=[
                msgspec.structs.replace(account, guarantees=())
                for account in self.bundle.accounts
            ],
        )
        path = folder / 'reduced.json'
        path.write_bytes(msgspec.json.encode(reduced_bundle))
        deployment = LocalDeployment(
            folder / 'run', bundle_path=path, base_port=base_port
        )
        ports = tuple(deployment.plan.platform_ports.values())
        zones = [
            msgspec.structs.replace(
                zone,
                platform_url=f'http://127.0.0.1:{ports[index % len(ports)]}'
                f'/zones/{zone.zone}',
            )
            for index, zone in enumerate(self.bundle.zones)
        ]
        self.bundle = msgspec.structs.replace(self.bundle, zones=zones)
        deployment.plan.bundle.write_bytes(msgspec.json.encode(self.bundle))
        deployment.bundle = self.bundle
        return deployment

    def _make_specs(self) -> Sequence[JobSpec]:
        """Return the gangs; most of their tasks need a slot only."""
        gangs = round(ACCELERATOR_GANGS * self.part)
        slot_tasks = TASKS * self.part - gangs * ACCELERATOR_MEMBERS
        shapes = [
            *[(ACCELERATOR_MEMBERS, 1)] * gangs,
            *[(GANG_MEMBERS, 0)] * round(slot_tasks / GANG_MEMBERS),
        ]
        accounts = self.bundle.accounts
        return [
            msgspec.structs.replace(
                self.deployment.spec(
                    f'job-{number}',
                    account=accounts[number % len(accounts)].account,
                    members=members,
                    accelerators=accelerators,
                ),
                payload=PAYLOAD,
            )
            for number, (members, accelerators) in enumerate(shapes)
        ]

    def _submit(self) -> None:
        # All jobs are submitted through one gateway, which then dispatches
        # the attempts in its region.
        first = self.deployment.instances[0]

        def submit(spec: JobSpec) -> None:
            self.deployment.caller(spec.account, first).submit_job(spec)

        with ThreadPoolExecutor(max_workers=8) as pool:
            submitted = [pool.submit(submit, spec) for spec in self.specs]
            for submission in submitted:
                submission.result()
        members = sum(spec.shape.members for spec in self.specs)
        wait_for(
            lambda: self._count_running() == (len(self.specs), members),
            what=f'{members} running tasks',
            timeout_s=READY_TIMEOUT_S,
        )

    def _count_running(self) -> tuple[int, int]:
        """Return the numbers of gangs and tasks that the workers run."""
        gangs = 0
        tasks = 0
        for zone in self.deployment.plan.platform_ports:
            for lease in self.deployment.platform_records(zone)['leases']:
                running = sum(task['running'] for task in lease['tasks'])
                gangs += running > 0
                tasks += running
        return gangs, tasks

    def _measure(self, kind: str) -> Interval:
        """Measure all processes over an interval."""
        time.sleep(SETTLE_S)
        leader = self.deployment.leader()
        dumps = self._read_dumps()
        before = self._read_counters(dumps)
        first_index = _last_index(dumps, leader)
        journal_bytes = self._journal_bytes(leader)
        started_s = time.monotonic()
        changes = self._run_interval(started_s, kind)
        dumps = self._read_dumps()
        after = self._read_counters(dumps)
        seconds = time.monotonic() - started_s
        jobs, tasks = self._count_running()
        return Interval(
            kind=kind,
            part=self.part,
            seconds=round(seconds, 2),
            load=round(os.getloadavg()[0], 1),
            running_tasks=tasks,
            running_jobs=jobs,
            changes=changes,
            entries=_last_index(dumps, leader) - first_index,
            log_entries=_last_index(dumps, leader)
            - int(dumps[f'control-{leader}']['agreement']['snapshot_index']),
            bundles=int(dumps[f'control-{leader}']['state']['bundles']),
            journal_bytes=self._journal_bytes(leader) - journal_bytes,
            costs=[
                _cost(
                    name,
                    self._role(name, leader, dumps),
                    dumps,
                    (before[name], after[name]),
                    seconds,
                )
                for name in before
            ],
        )

    def _run_interval(self, started_s: float, kind: str) -> int:
        if kind != 'changes':
            time.sleep(self.seconds)
            return 0
        changes = 0
        while time.monotonic() - started_s < self.change_seconds:
            next_s = started_s + (changes + 1) * self.change_period_s
            self.version = self.deployment.put_bundle_in_force(
                _with_changed_weight(self.bundle, changes)
            )
            self.in_force_delays_s.append(
                self.deployment.wait_version(
                    self.version, self.deployment.instances, READY_TIMEOUT_S
                )
            )
            changes += 1
            time.sleep(max(next_s - time.monotonic(), 0))
        return changes

    def _read_dumps(self) -> Mapping[str, Document]:
        dumps = {}
        for instance in self.deployment.instances:
            client = self.deployment.operator(instance)
            for process in ('control', 'gateway'):
                dumps[f'{process}-{instance}'] = client.dump(process)
        return dumps

    def _read_counters(
        self, dumps: Mapping[str, Document]
    ) -> Mapping[str, Reading]:
        return {
            name: _read_process(self.deployment.processes[name].pid, dump)
            for name, dump in dumps.items()
        }

    def _role(
        self, name: str, leader: str, dumps: Mapping[str, Document]
    ) -> str:
        process, instance = name.split('-', 1)
        if process == 'gateway':
            dispatches = bool(dumps[name]['attempts'])
            return (
                'gateway_dispatching'
                if dispatches
                else 'gateway_not_dispatching'
            )
        if instance == leader:
            return 'control_leader'
        has_disk = self.deployment.settings(instance).data_folder is not None
        return (
            'control_follower_disk'
            if has_disk
            else ('control_follower_diskless')
        )

    def _journal_bytes(self, leader: str) -> int:
        folder = self.deployment.settings(leader).data_folder
        return sum(
            path.stat().st_size
            for path in Path(folder or '').rglob('*')
            if path.is_file()
        )


def _with_changed_weight(bundle: Bundle, number: int) -> Bundle:
    """Return the bundle with the weight of one account changed."""
    first, *others = bundle.accounts
    changed = msgspec.structs.replace(first, weight=number % 100 + 2)
    return msgspec.structs.replace(bundle, accounts=[changed, *others])


def _last_index(dumps: Mapping[str, Document], leader: str) -> int:
    return int(dumps[f'control-{leader}']['agreement']['last_index'])


def _read_process(pid: int, dump: Document) -> Reading:
    # The fields follow the program name, which may contain spaces.
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    status = dict(
        line.split(':', 1)
        for line in Path(f'/proc/{pid}/status').read_text().splitlines()
    )
    return Reading(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_mb=_megabytes(status['VmRSS']),
        peak_mb=_megabytes(status['VmHWM']),
        link_bytes=_link_bytes(dump),
    )


def _megabytes(field: str) -> float:
    return int(field.split()[0]) / 1024


def _link_bytes(dump: Document) -> Mapping[str, int]:
    """Return the bytes of a process by direction and purpose."""
    if dump.get('process') == 'control':
        link = dump['link']
        by_purpose = link.get('sent_by_purpose', {'': link['sent_bytes']})
        return {
            **{f'sent {name}': size for name, size in by_purpose.items()},
            'received': link['received_bytes'],
        }
    gateway = dump.get('gateway', dump)
    return {
        f'{direction} {purpose}': size
        for direction, counts in gateway['bytes'].items()
        for purpose, size in counts.items()
    }


def _cost(
    name: str,
    role: str,
    dumps: Mapping[str, Document],
    readings: tuple[Reading, Reading],
    seconds: float,
) -> Cost:
    before, after = readings
    rates = {
        purpose: round((size - before.link_bytes.get(purpose, 0)) / seconds, 1)
        for purpose, size in after.link_bytes.items()
    }
    sent = [rate for key, rate in rates.items() if key.startswith('sent')]
    received = [
        rate for key, rate in rates.items() if key.startswith('received')
    ]
    return Cost(
        process=name,
        role=role,
        attempts=len(dumps[name].get('attempts', ())),
        core_share=round((after.cpu_s - before.cpu_s) / seconds, 5),
        resident_mb=round(after.resident_mb, 2),
        peak_mb=round(after.peak_mb, 2),
        # Each direction of a link has its own bandwidth; the larger counts.
        bytes_s=max(sum(sent), sum(received)),
        bytes_s_by_purpose=rates,
    )


def summarise(intervals: Sequence[Interval]) -> Document:
    """Fit a line to each resource of each role over the deployment size."""
    return {
        kind: {
            role: {
                resource: _fit(intervals, kind, role, resource)
                for resource in BUDGETS
            }
            for role in ROLES
        }
        for kind in ('idle', 'tasks', 'changes')
    }


def _fit(
    intervals: Sequence[Interval], kind: str, role: str, resource: str
) -> Document:
    points = _points(intervals, kind, role, resource)
    if len({part for part, _ in points}) < 2:
        return {'points': points}
    line = fit_line(points)
    budget = BUDGETS[resource] if role.startswith('control') else None
    full_size = [value for part, value in points if part == 1]
    return {
        'slope': round(line.slope, 5),
        'intercept': round(line.intercept, 5),
        'fit_error': round(line.error, 5),
        'at_two_year_size': round(line.at(1), 5),
        'measured_at_two_year_size': round(statistics.mean(full_size), 5)
        if full_size
        else None,
        'budget': budget,
        'ratio': round(line.at(1) / budget, 3) if budget else None,
        'points': len(points),
    }


def _points(
    intervals: Sequence[Interval], kind: str, role: str, resource: str
) -> Sequence[tuple[float, float]]:
    return [
        (interval.part, getattr(cost, resource))
        for interval in intervals
        for cost in interval.costs
        if interval.kind == kind and cost.role == role
    ]


def cost_with_changes(intervals: Sequence[Interval]) -> Document:
    """Return the cost at the two-year size and rate of changes.

    The cost of a change is the difference between the intervals with and
    without changes, divided by the measured rate of changes.
    """
    rates = [
        interval.changes / interval.seconds
        for interval in intervals
        if interval.changes
    ]
    rate_ratio = CHANGES_PER_S / statistics.mean(rates)
    costs: Document = {}
    for role in ROLES:
        for resource in ('core_share', 'bytes_s'):
            points = [
                _points(intervals, kind, role, resource)
                for kind in ('tasks', 'changes')
            ]
            if any(len({part for part, _ in kind}) < 2 for kind in points):
                continue
            baseline, with_changes = (fit_line(kind).at(1) for kind in points)
            total = baseline + rate_ratio * (with_changes - baseline)
            budget = BUDGETS[resource] if role.startswith('control') else None
            costs.setdefault(role, {})[resource] = {
                'at_two_year_size': round(total, 5),
                # Core seconds or bytes.
                'one_change': round(
                    (with_changes - baseline) / statistics.mean(rates), 5
                ),
                'budget': budget,
                'ratio': round(total / budget, 3) if budget else None,
            }
    return costs


def print_interval(interval: Interval) -> None:
    """Print one interval in readable form."""
    print(
        f'part {interval.part:.2f} {interval.kind}: {interval.running_jobs}'
        f' gangs, {interval.running_tasks} tasks, {interval.changes} changes,'
        f' {interval.entries} entries, {interval.journal_bytes} journal bytes,'
        f' log of {interval.log_entries} entries, {interval.bundles} bundles'
        f' in {interval.seconds:.1f} s, machine load {interval.load}'
    )
    for cost in interval.costs:
        print(
            f'  {cost.role:26} {cost.core_share:8.2%}'
            f' {cost.resident_mb:7.1f} MB (peak {cost.peak_mb:.1f})'
            f' {cost.bytes_s:9.0f} B/s, {cost.attempts} attempts,'
            f' {dict(cost.bytes_s_by_purpose)}',
            flush=True,
        )


def main() -> int:
    """Measure all sizes and print the fits as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--parts', default='0.1,0.5,1')
    parser.add_argument('--seconds', type=float, default=15)
    parser.add_argument('--change_seconds', type=float)
    parser.add_argument(
        '--change_period_s', type=float, default=CHANGE_PERIOD_S
    )
    options = parser.parse_args()
    intervals: list[Interval] = []
    delays_s: dict[str, list[float]] = {}
    started_s = time.monotonic()
    for number, part_text in enumerate(options.parts.split(',')):
        with tempfile.TemporaryDirectory(prefix='mangotrail-') as folder:
            size = SizeMeasurement(
                Path(folder) / 'size',
                part=float(part_text),
                base_port=BASE_PORT + number * PORTS_PER_SIZE,
                seconds=options.seconds,
                change_seconds=options.change_seconds or options.seconds,
                change_period_s=options.change_period_s,
            )
            measured = size.run()
        intervals += measured
        delays_s[part_text] = [
            round(delay_s, 2) for delay_s in size.in_force_delays_s
        ]
        for interval in measured:
            print_interval(interval)
    document = {
        'fits': summarise(intervals),
        'with_changes': cost_with_changes(intervals),
        'change_in_force_s': delays_s,
        'changes_per_s_at_two_year_size': round(CHANGES_PER_S, 5),
        'processors': os.cpu_count(),
        'seconds': round(time.monotonic() - started_s),
        'intervals': [
            {
                name: value
                for name, value in msgspec.to_builtins(interval).items()
                if name != 'costs'
            }
            for interval in intervals
        ],
    }
    print(json.dumps(document))
    return 0


if __name__ == '__main__':
    sys.exit(main())
