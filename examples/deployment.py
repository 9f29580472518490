"""A local deployment for the demo, tests and benchmarks.

It starts the processes of the system and the stand-ins, waits until they are
ready, injects failures and stops only the processes that it started.
"""

import json
import os
import shutil
import signal
import socket
import subprocess  # noqa: S404 - only starts this project's own programs
import sys
import time
import urllib.request
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from mangotrail._bundle import Bundle
from mangotrail._messages import JobShape, JobSpec, View, ZoneState
from mangotrail._settings import Credentials, Settings
from mangotrail.client import Client
from mangotrail.errors import MangotrailError
from mangotrail.ids import (
    AccountId,
    InstanceId,
    OperationId,
    RequestId,
    ServiceId,
    ZoneId,
)
from tools.make_deployment import make_deployment

Document: TypeAlias = dict[str, Any]
Process: TypeAlias = subprocess.Popen[bytes]

POLL_S = 0.1
HOST = '127.0.0.1'
FIRST_PORT = 20000
LAST_PORT = 28000
PORT_BLOCK = 100
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
# A terminating gateway waits until its attempts are adopted; when the whole
# deployment closes, no other gateway adopts them.
CLOSE_TIMEOUT_S = 3.0
ROOT = Path(__file__).resolve().parent.parent


class ConditionTimeoutError(Exception):
    """A condition did not hold in time."""


def wait_for(
    condition: Callable[[], bool], *, what: str, timeout_s: float
) -> float:
    """Poll a condition until it holds.

    Errors of the system or of a connection count as a false condition.

    :return: seconds until it held.
    :raises ConditionTimeoutError: if it did not hold in time.
    """
    started_s = time.monotonic()
    last_error = 'the condition is false'
    while time.monotonic() - started_s < timeout_s:
        try:
            if condition():
                return time.monotonic() - started_s
        except (MangotrailError, OSError) as error:
            last_error = repr(error)
        time.sleep(POLL_S)
    raise ConditionTimeoutError(
        f'timed out after {timeout_s} s waiting for {what}: {last_error}'
    )


def get_json(url: str) -> Document:
    """Fetch a JSON document."""
    with urllib.request.urlopen(url, timeout=5) as response:
        document: Document = json.load(response)
        return document


def post_json(url: str, body: Mapping[str, Any]) -> None:
    """Post a JSON document; stand-ins take their faults this way."""
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={'Content-Type': 'application/json'},
    )
    urllib.request.urlopen(request, timeout=5).close()


def find_ports() -> int:
    """Return the first port of a block of free ports.

    Concurrent deployments must not share ports, so the search starts at a
    block chosen by process id. All blocks lie below the ephemeral ports of
    outgoing connections.

    :raises ConditionTimeoutError: if no block is free.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, PORT_BLOCK))
    offset = os.getpid() % len(blocks)
    for first in (*blocks[offset:], *blocks[:offset]):
        ports = range(first, first + PORT_BLOCK)
        if not any(is_listened_on(port) for port in ports):
            return first
    raise ConditionTimeoutError('no block of ports is free')


def is_listened_on(port: int) -> bool:
    """Return whether a process listens on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0


class LocalDeployment:
    """Six instances with stand-ins on loopback.

    :param folder: folder for all files; an existing one is replaced.
    :param bundle_path: sample bundle.
    :param base_port: first of 100 ports; 0 selects a block of free ports.
    :param disks: number of instances with disks.
    :param timing: overrides of the timing settings, in milliseconds.
    """

    def __init__(
        self,
        folder: Path,
        *,
        bundle_path: Path,
        base_port: int = 0,
        disks: int = 3,
        timing: Mapping[str, int] | None = None,
    ) -> None:
        shutil.rmtree(folder, ignore_errors=True)
        self.folder = folder
        self.plan = make_deployment(
            folder,
            bundle_path=bundle_path,
            base_port=base_port or find_ports(),
            disks=disks,
        )
        self.processes: dict[str, Process] = {}
        self.bundle = msgspec.json.decode(
            self.plan.bundle.read_bytes(), type=Bundle
        )
        self.credentials = msgspec.json.decode(
            self.plan.credentials.read_bytes(), type=Credentials
        )
        self.next_port = self.plan.next_port
        self.endpoint_urls: dict[str, str] = {}
        self.operations = 0
        for path in self.plan.settings.values():
            if timing:
                _change_timing(path, timing)

    @property
    def instances(self) -> Sequence[str]:
        """Names of the instances, sorted by zone."""
        return tuple(self.plan.settings)

    def settings(self, instance: str) -> Settings:
        """Return the settings of an instance."""
        return msgspec.json.decode(
            self.plan.settings[instance].read_bytes(), type=Settings
        )

    def start(self) -> None:
        """Start all processes and wait until every gateway is ready."""
        self.start_platforms()
        self.format()
        for instance in self.instances:
            self.start_instance(instance)
        self.wait_ready(self.instances)

    def format(self) -> None:
        """Format the data folders of the founding instances."""
        for instance in self.instances:
            if self.settings(instance).data_folder is not None:
                subprocess.run(
                    self._command('format', instance, '--founding'),
                    check=True,
                    cwd=ROOT,
                    stdout=subprocess.DEVNULL,
                )

    def start_platforms(self) -> None:
        """Start the worker interface of each zone."""
        for zone, port in self.plan.platform_ports.items():
            self._start(
                f'platform-{zone}',
                (
                    sys.executable,
                    '-m',
                    'examples.standins.platform',
                    f'--port={port}',
                    f'--bundle={self.plan.bundle}',
                ),
            )
        for zone in self.plan.platform_ports:
            wait_for(
                partial(self._is_platform_up, zone),
                what=f'platform of {zone}',
                timeout_s=START_TIMEOUT_S,
            )

    def start_instance(self, instance: str) -> None:
        """Start both processes of an instance."""
        self.start_control(instance)
        self.start_gateway(instance)

    def start_control(self, instance: str) -> None:
        """Start the control process of an instance."""
        self._start(f'control-{instance}', self._command('control', instance))

    def start_gateway(self, instance: str) -> None:
        """Start the gateway process of an instance."""
        self._start(f'gateway-{instance}', self._command('gateway', instance))

    def wait_ready(self, instances: Sequence[str]) -> None:
        """Wait until the gateways of instances accept requests."""
        for instance in instances:
            wait_for(
                partial(self._is_ready, instance),
                what=f'readiness of {instance}',
                timeout_s=START_TIMEOUT_S,
            )

    def start_endpoints(
        self,
        zone: str,
        *,
        count: int = 2,
        answer_s: float = 0.2,
        answer_bytes: int = 64,
        name: str = '',
        generation: int = 1,
    ) -> str:
        """Start a process with endpoints in a zone and return its URL."""
        service = self.bundle.services[0].service
        port = self.next_port
        self.next_port += 1
        name = name or f'endpoint-{zone}'
        gateways = ','.join(self.plan.gateway_urls.values())
        self._start(
            name,
            (
                sys.executable,
                '-m',
                'examples.standins.endpoint',
                f'--port={port}',
                f'--service={service}',
                f'--zone={zone}',
                f'--gateway={gateways}',
                f'--token={self.credentials.services[service]}',
                f'--count={count}',
                f'--name={name}',
                f'--generation={generation}',
                f'--answer-s={answer_s}',
                f'--answer-bytes={answer_bytes}',
            ),
        )
        url = f'http://127.0.0.1:{port}'
        self.endpoint_urls[name] = url
        return url

    def wait_endpoints(self, count: int) -> None:
        """Wait until a number of endpoints is available."""
        wait_for(
            lambda: (
                sum(
                    row['available']
                    for row in self.operator().list_view(View.ENDPOINTS)
                )
                >= count
            ),
            what=f'{count} endpoints',
            timeout_s=START_TIMEOUT_S,
        )

    def put_bundle_in_force(self, bundle: Bundle | None = None) -> int:
        """Write, sign and roll out a bundle; return its version."""
        operator = self.operator()
        known = operator.list_view(View.BUNDLES)
        parent = max(known, key=lambda row: row['version'], default=None)
        record = operator.write_bundle(
            bundle or self.bundle,
            operation=self.next_operation(),
            parent_version=parent['version'] if parent else 0,
            parent_digest=parent['digest'] if parent else '',
        )
        for step in (operator.sign_bundle, operator.roll_out_bundle):
            step(
                record.version,
                digest=record.digest,
                operation=self.next_operation(),
            )
        return record.version

    def wait_version(
        self, version: int, instances: Sequence[str], timeout_s: float
    ) -> float:
        """Wait until instances report a bundle version as in force.

        :return: seconds until they did.
        :raises ConditionTimeoutError: if they did not in time.
        """

        def in_force() -> bool:
            rows = {
                row['instance']: row['version']
                for row in self.operator().list_view(View.VERSIONS)
            }
            return all(
                rows.get(instance, 0) >= version for instance in instances
            )

        return wait_for(
            in_force, what=f'version {version}', timeout_s=timeout_s
        )

    def set_zone(
        self, zone: str, state: ZoneState, *, deadline_s: float = 5
    ) -> None:
        """Take a zone out of service or back in."""
        self.operator().set_zone(
            ZoneId(zone),
            state,
            operation=self.next_operation(),
            deadline_s=deadline_s,
        )

    def operator(self, instance: str = '', *, second: bool = False) -> Client:
        """Return a client with an operator's credential."""
        tokens = list(self.credentials.operators.values())
        return Client(self._urls(instance), token=tokens[int(second)])

    def caller(self, account: str, instance: str = '') -> Client:
        """Return a client with the credential of an account."""
        token = self.credentials.accounts[account]
        return Client(self._urls(instance), token=token)

    def next_operation(self) -> OperationId:
        """Return an operation id that was not used before."""
        self.operations += 1
        return OperationId(f'operation-{self.operations}')

    def spec(
        self,
        request: str,
        *,
        account: str = '',
        members: int = 1,
        accelerators: int = 1,
        **options: Any,
    ) -> JobSpec:
        """Return a request for the service of the bundle."""
        return JobSpec(
            account=AccountId(account or self.bundle.accounts[0].account),
            request=RequestId(request),
            service=ServiceId(self.bundle.services[0].service),
            shape=JobShape(members=members, accelerators=accelerators),
            created_at_s=time.time(),
            payload=f'payload of {request}',
            **options,
        )

    def platform_records(self, zone: str) -> Document:
        """Return what the platform of a zone recorded."""
        port = self.plan.platform_ports[zone]
        return get_json(f'http://127.0.0.1:{port}/records')

    def endpoint_runs(self) -> dict[str, int]:
        """Return how often each request ran according to the endpoints."""
        runs: dict[str, int] = {}
        for url in self.endpoint_urls.values():
            for request, count in get_json(f'{url}/records')['runs'].items():
                runs[request] = runs.get(request, 0) + count
        return runs

    def leader(self) -> str:
        """Return the leading instance, or an empty string without a leader."""
        for row in self.operator().list_view(View.MEMBERS):
            if row['leader']:
                return InstanceId(row['instance'])
        return ''

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this object started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def terminate(self, name: str) -> int:
        """Terminate a process gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Stop every process that this object started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(CLOSE_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f'{name}.log').read_text()

    def _is_platform_up(self, zone: str) -> bool:
        return bool(self.platform_records(zone))

    def _is_ready(self, instance: str) -> bool:
        return bool(get_json(f'{self.plan.gateway_urls[instance]}/readyz'))

    def _urls(self, instance: str) -> Sequence[str]:
        urls = self.plan.gateway_urls
        return (urls[instance],) if instance else tuple(urls.values())

    def _command(
        self, subcommand: str, instance: str, *flags: str
    ) -> Sequence[str]:
        return (
            sys.executable,
            '-m',
            'mangotrail',
            subcommand,
            f'--settings={self.plan.settings[instance]}',
            *flags,
        )

    def _start(self, name: str, command: Sequence[str]) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
            )


def _change_timing(path: Path, timing: Mapping[str, int]) -> None:
    document = json.loads(path.read_text())
    document['timing'].update(timing)
    path.write_text(json.dumps(document))
