"""Guards against generated deployments that cannot survive a zone's loss."""

from collections import Counter
from pathlib import Path

import pytest

from mangotrail.bundle import load_bundle
from mangotrail.errors import SettingsError
from mangotrail.settings import load_settings, own_peer
from tests.deployments import change, deploy


class TestMakeDeployment:
    """Files of a deployment."""

    def test_spreads_disks(self, tmp_path: Path) -> None:
        """Two of three disks in one zone would leave no quorum without it."""
        deployment = deploy(tmp_path, disks=5)
        peers = [
            own_peer(load_settings(path))
            for path in deployment.settings.values()
        ]
        zones = Counter(peer.zone for peer in peers if peer.has_disk)
        assert list(zones.values()) == [2, 2, 1]

    def test_adjusts_bundle(self, tmp_path: Path) -> None:
        """Two deployments with one platform port would share workers."""
        deployment = deploy(tmp_path)
        bundle = load_bundle(deployment.bundle)
        urls = [zone.platform_url for zone in bundle.zones]
        ports = deployment.platform_ports
        assert urls == [
            f'http://127.0.0.1:{port}/zones/{zone}'
            for zone, port in ports.items()
        ]
        assert max(ports.values()) < deployment.next_port

    def test_renews_credentials(self, tmp_path: Path) -> None:
        """A readable old file must keep neither its mode nor its tokens."""
        first = deploy(tmp_path).credentials.read_bytes()
        tmp_path.joinpath('credentials.json').chmod(0o644)
        path = deploy(tmp_path).credentials
        assert path.stat().st_mode & 0o777 == 0o600
        assert path.read_bytes() != first

    def test_refuses_relative_folder(self, tmp_path: Path) -> None:
        """With a relative path, a start elsewhere would find no journal."""
        path = deploy(tmp_path).settings['soweto-yard-1']
        with pytest.raises(SettingsError, match='absolute'):
            load_settings(change(path, 'data_folder', 'data'))
