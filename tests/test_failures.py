"""Tests of lost, isolated and frozen instances, with real processes."""

import json
import shutil
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from examples.deployment import LocalDeployment, wait_for
from mangotrail._messages import JobState, View, ZoneState
from mangotrail.errors import MangotrailError
from mangotrail.ids import OperationId, RequestId
from tests.relay import Relay

BUNDLE = Path('examples/bundles/mokoena.json')
TARGET_S = 4.0
ANSWER_S = 30.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[LocalDeployment]:
    """Start a deployment with endpoints for one test."""
    made = LocalDeployment(tmp_path / 'deployment', bundle_path=BUNDLE)
    try:
        yield made
    finally:
        made.close()


def start(deployment: LocalDeployment) -> None:
    """Start the processes, a bundle and endpoints."""
    deployment.start()
    version = deployment.put_bundle_in_force()
    deployment.wait_version(version, deployment.instances, 2 * TARGET_S)
    for zone in deployment.plan.platform_ports:
        deployment.start_endpoints(zone)
    deployment.wait_endpoints(6)


def insert_relays(deployment: LocalDeployment, instance: str) -> list[Relay]:
    """Route all traffic between an instance and its peers through relays."""
    documents = {
        name: json.loads(path.read_text())
        for name, path in deployment.plan.settings.items()
    }
    relays = []
    for name, document in documents.items():
        for peer in document['peers']:
            is_cut = instance in {name, peer['instance']}
            if is_cut and peer['instance'] != name:
                port = deployment.next_port
                deployment.next_port += 1
                relays.append(Relay(port=port, target=peer['control']['port']))
                peer['control']['port'] = port
        deployment.plan.settings[name].write_text(json.dumps(document))
    for relay in relays:
        relay.start()
    return relays


def others(deployment: LocalDeployment, instance: str) -> list[str]:
    """Return the other instances."""
    return [name for name in deployment.instances if name != instance]


def is_served(deployment: LocalDeployment, instance: str, request: str) -> bool:
    """Submit a request through an instance; return whether it has a job."""
    spec = deployment.spec(request)
    view = deployment.caller(spec.account, instance).submit_job(spec)
    return bool(view.job)


def wait_answer(deployment: LocalDeployment, request: str) -> None:
    """Wait until a request is finished."""
    spec = deployment.spec(request)
    view = deployment.caller(spec.account).wait_job(
        spec.account, RequestId(request), wait_s=ANSWER_S
    )
    assert view.state is JobState.FINISHED, view


def voters(deployment: LocalDeployment, instance: str) -> dict[str, str]:
    """Return the voters as an instance sees them, by instance."""
    rows = deployment.operator(instance).list_view(View.MEMBERS)
    return {row['instance']: row['member'] for row in rows if row['voter']}


class TestLostInstance:
    """Service after the loss of any one instance."""

    def test_lost_leader(self, deployment: LocalDeployment) -> None:
        """Requests must be accepted again within 4 s."""
        start(deployment)
        leader = deployment.leader()
        deployment.kill(f'control-{leader}')
        deployment.kill(f'gateway-{leader}')
        remaining = others(deployment, leader)
        wait_for(
            lambda: is_served(deployment, remaining[0], 'after-loss'),
            what='service after the loss of the leader',
            timeout_s=TARGET_S,
        )
        wait_answer(deployment, 'after-loss')

    def test_lost_disk_and_second_loss(
        self, deployment: LocalDeployment
    ) -> None:
        """A voter without its disk must come back under a new identity."""
        start(deployment)
        leader = deployment.leader()
        before = voters(deployment, leader)
        lost = next(name for name in before if name != leader)
        deployment.kill(f'control-{lost}')
        folder = deployment.settings(lost).data_folder
        shutil.rmtree(folder or '')
        deployment.start_control(lost)
        wait_for(
            lambda: (
                voters(deployment, leader).get(lost, before[lost])
                != before[lost]
            ),
            what='the repaired voter',
            timeout_s=ANSWER_S,
        )
        assert before[lost] not in voters(deployment, leader).values()
        second = next(name for name in before if name not in {lost, leader})
        deployment.kill(f'control-{second}')
        deployment.kill(f'gateway-{second}')
        wait_for(
            lambda: is_served(deployment, leader, 'second-loss'),
            what='service after a second loss',
            timeout_s=TARGET_S,
        )
        wait_answer(deployment, 'second-loss')


class TestFrozenInstance:
    """A process that is stopped for longer than every timeout."""

    def test_frozen_leader(self, deployment: LocalDeployment) -> None:
        """A resumed leader must not undo what its successor accepted."""
        start(deployment)
        leader = deployment.leader()
        frozen_s = time.monotonic()
        deployment.signal(f'control-{leader}', signal.SIGSTOP)
        remaining = others(deployment, leader)
        wait_for(
            lambda: is_served(deployment, remaining[0], 'frozen'),
            what='service while the leader is frozen',
            timeout_s=TARGET_S,
        )
        deployment.plan.gateway_urls[leader], kept = (
            deployment.plan.gateway_urls[remaining[0]],
            deployment.plan.gateway_urls[leader],
        )
        version = deployment.put_bundle_in_force()
        wait_for(
            lambda: time.monotonic() - frozen_s > 2 * TARGET_S,
            what='freeze longer than every timeout',
            timeout_s=3 * TARGET_S,
        )
        deployment.signal(f'control-{leader}', signal.SIGCONT)
        deployment.plan.gateway_urls[leader] = kept
        deployment.wait_version(version, deployment.instances, TARGET_S)
        wait_answer(deployment, 'frozen')


class TestPartition:
    """A partition that leaves connections open."""

    def test_cut_off_leader(self, deployment: LocalDeployment) -> None:
        """A cut-off leader must start nothing and never revert a version."""
        first = deployment.instances[0]
        relays = insert_relays(deployment, first)
        start(deployment)
        wait_for(
            lambda: self.move_leader(deployment, first),
            what=f'leadership of {first}',
            timeout_s=ANSWER_S,
        )
        for relay in relays:
            relay.pause()
        remaining = others(deployment, first)
        operator = deployment.operator(remaining[-1])
        zone = deployment.settings(first).peers[0].zone
        wait_for(
            lambda: bool(
                operator.set_zone(
                    zone, ZoneState.OUT, operation=OperationId('cut-out')
                )
            ),
            what='zone out while the leader is cut off',
            timeout_s=3 * TARGET_S,
        )
        accepted_s = time.time()
        refused = 0
        while time.time() < accepted_s + TARGET_S:
            try:
                is_served(deployment, first, f'cut-{refused}')
            except MangotrailError:
                refused += 1
        assert refused
        for relay in relays:
            relay.resume()
        rows = operator.list_view(View.ZONES)
        states = {row['zone']: row['state'] for row in rows}
        assert states[zone] == 'out'
        wait_for(
            lambda: is_served(deployment, first, 'after-cut'),
            what='service at the instance that was cut off',
            timeout_s=2 * TARGET_S,
        )
        begins = deployment.platform_records(zone)['begins']
        late = [row for row in begins if row['wall_s'] > accepted_s + TARGET_S]
        assert not late
        for relay in relays:
            relay.close()

    def move_leader(self, deployment: LocalDeployment, wanted: str) -> bool:
        """Restart the control process of the leader unless it is `wanted`."""
        leader = deployment.leader()
        if leader == wanted:
            return True
        if leader:
            deployment.terminate(f'control-{leader}')
            deployment.start_control(leader)
        return False


class TestResentCommand:
    """Operators resend commands after lost answers."""

    def test_resent_through_other_instance(
        self, deployment: LocalDeployment
    ) -> None:
        """A command that is resent after a lost answer takes effect once."""
        start(deployment)
        results = set()
        parent = deployment.operator().list_view(View.BUNDLES)[-1]
        for instance in deployment.instances[:3]:
            written = deployment.operator(instance).write_bundle(
                deployment.bundle,
                operation=OperationId('resent'),
                parent_version=parent['version'],
                parent_digest=parent['digest'],
            )
            results.add(written.version)
        assert results == {parent['version'] + 1}
        rows = deployment.operator().list_view(View.BUNDLES)
        assert len(rows) == parent['version'] + 1
