"""Guards against invalid settings that would only fail after the start."""

from pathlib import Path
from typing import Any

import pytest

from mangotrail.errors import SettingsError
from mangotrail.settings import load_credentials, load_settings, own_peer
from tests.deployments import change, deploy

INSTANCE = 'pretoria-store-1'
OTHER = {'host': '127.0.0.1', 'port': 18000}
NAMED = {'host': 'host.example', 'port': 9}
ANY = {'host': '0.0.0.0', 'port': 9}
GROUP = {'host': 'ff02::1', 'port': 9}
MAPPED = {'host': '::ffff:127.0.0.1', 'port': 18000}
BAD_SETTINGS = {
    'schema_version': (2, 'a newer file would be read by older rules'),
    'deployment': ('a b', 'unusable in file and metric names'),
    'instance': ('absent', 'the instance would not know its own zone'),
    'peers[1].instance': ('soweto-yard-1', 'two instances with one identity'),
    'peers[5].zone': ('soweto-yard', 'two regions for one zone'),
    'peers[0].has_disk': (False, 'losing one zone would stop all commits'),
    'peers[3].control.port': (70000, 'not a TCP port'),
    'peers[3].gateway': (OTHER, 'two listeners on one address'),
    'peers[4].gateway': (MAPPED, 'one address in two spellings'),
    'peers[4].control': (NAMED, 'there is no name service'),
    'peers[5].control': (ANY, 'others cannot connect to a wildcard'),
    'statsd': (GROUP, 'metrics would go to a group of machines'),
    'gateway_link': ({'host': '10.0.0.9', 'port': 9}, 'open to the network'),
    'data_folder': (None, 'a voter would lose its log at each restart'),
    'credentials_file': ('c.json', 'depends on the working directory'),
    'timing.authority_ms': (1200, 'two leaders with authority'),
    'timing.election_max_ms': (1200, 'elections without random timeouts'),
    'timing.heartbeat_ms': (500, 'one lost heartbeat ends authority'),
    'timing.renew_ms': (7500, 'one lost renewal ends a lease'),
    'timing.lease_ms': (1500, 'a lease ends before its gang begins'),
    'log.level': ('LOUD', 'an unknown level would log nothing'),
    'http.max_body': (1, 'a misspelt bound would be ignored'),
}
# Errors that name another field than the changed one.
REPORTED_FIELDS = {
    'peers[0].has_disk': 'peers',
    'peers[5].zone': 'peers[5].region',
    'timing.authority_ms': 'timing.election_min_ms',
    'timing.heartbeat_ms': 'timing.authority_ms',
    'timing.renew_ms': 'timing.lease_ms',
}


class TestSettings:
    """Settings of one instance."""

    @pytest.mark.parametrize('disks', [3, 5])
    def test_accepts_deployment(self, tmp_path: Path, disks: int) -> None:
        """A check that rejects usual deployments would block every start."""
        deployment = deploy(tmp_path, disks=disks)
        loaded = [load_settings(path) for path in deployment.settings.values()]
        with_disks = [own_peer(one).has_disk for one in loaded]
        assert with_disks.count(True) == disks

    @pytest.mark.parametrize('field', BAD_SETTINGS)
    def test_refuses(self, tmp_path: Path, field: str) -> None:
        """Invalid values are rejected; BAD_SETTINGS names their effects."""
        value, _failure = BAD_SETTINGS[field]
        path = deploy(tmp_path).settings[INSTANCE]
        with pytest.raises(SettingsError) as caught:
            load_settings(change(path, field, value))
        error = caught.value
        named = REPORTED_FIELDS.get(field, field)
        assert error.field.startswith(named)
        assert all((error.value, error.allowed, error.remedy))


class TestCredentials:
    """The file of bearer tokens."""

    def test_refuses_mode(self, tmp_path: Path) -> None:
        """With another mode, other users of the machine could read tokens."""
        path = deploy(tmp_path).credentials
        assert load_credentials(path).operators
        path.chmod(0o640)
        with pytest.raises(SettingsError) as caught:
            load_credentials(path)
        assert (caught.value.field, caught.value.allowed) == ('mode', '0600')

    @pytest.mark.parametrize(
        ('field', 'token'),
        [
            ('operators.operator-1', 'fifteen-letters'),
            ('operators.operator-1', 'sixteen letters and spaces'),
            ('accounts.bad/name', 'sixteen-letters-x'),
            ('services.cart-desk', 7_000_000_000_000_000),
        ],
    )
    def test_refuses_token(
        self, tmp_path: Path, field: str, token: Any
    ) -> None:
        """Weak or malformed tokens are rejected; errors never contain them."""
        path = change(deploy(tmp_path).credentials, field, token)
        with pytest.raises(SettingsError) as caught:
            load_credentials(path)
        assert field.split('.')[0] in caught.value.field
        assert str(token) not in f'{caught.value}{caught.value.value}'

    def test_refuses_shared_token(self, tmp_path: Path) -> None:
        """One token for two holders would give one the rights of both."""
        path = deploy(tmp_path).credentials
        token = load_credentials(path).operators['operator-1']
        with pytest.raises(SettingsError, match='same token'):
            load_credentials(change(path, 'accounts.school-fetes', token))
