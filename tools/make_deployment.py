"""Writes the files of a deployment of six instances on this machine.

Run as ``python -m tools.make_deployment --bundle
examples/bundles/mokoena.json --folder FOLDER --base_port 18000`` from the root
of the repository.
"""

import json
import os
import secrets
from pathlib import Path
from typing import Any

import msgspec
from absl import app, flags

from mangotrail._bundle import Bundle
from mangotrail.bundle import load_bundle
from mangotrail.documents import PRIVATE_MODE
from mangotrail.settings import load_credentials, load_settings

HOST = '127.0.0.1'
INSTANCES_PER_ZONE = 2
PORTS_PER_INSTANCE = 3
OPERATORS = ('operator-1', 'operator-2')
TOKEN_BYTES = 24

BUNDLE = flags.DEFINE_string('bundle', None, 'Bundle file to start from.')
FOLDER = flags.DEFINE_string('folder', None, 'Folder to write into.')
BASE_PORT = flags.DEFINE_integer('base_port', 18000, 'First port.', 1024, 65000)
DISKS = flags.DEFINE_integer('disks', 3, 'Instances with disks.', 3, 6)


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Files, ports and URLs of a deployment.

    :param settings: settings file of each instance.
    :param credentials: file with all tokens, mode 0600.
    :param bundle: bundle file with the platform ports of this deployment.
    :param platform_ports: port of the worker interface of each zone.
    :param gateway_urls: base URL of the gateway of each instance.
    :param next_port: first port after those of the deployment.
    """

    settings: dict[str, Path]
    credentials: Path
    bundle: Path
    platform_ports: dict[str, int]
    gateway_urls: dict[str, str]
    next_port: int


def make_deployment(
    folder: Path, *, bundle_path: Path, base_port: int, disks: int = 3
) -> Deployment:
    """Write settings, credentials and bundle.

    Every zone gets two instances. Disks go to the first instance of each
    zone, then to the second ones in the order of the bundle.

    :param folder: created if absent; files of the same names are replaced.
    :param bundle_path: bundle of at least three zones.
    :param base_port: first port; the deployment uses 3 ports per instance
        and 1 per zone.
    :param disks: number of instances with disks, at least 3.
    :raises InvalidBundleError: if the bundle cannot be used.
    :raises SettingsError: if the bundle has fewer than three zones.
    """
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    bundle = load_bundle(bundle_path)
    peers = _peers(bundle, base_port, disks)
    platform_port = base_port + len(peers) * PORTS_PER_INSTANCE
    credentials = folder / 'credentials.json'
    _write_private(credentials, _tokens(bundle))
    settings = {
        peer['instance']: _write_settings(
            folder, peer, peers, base_port + PORTS_PER_INSTANCE * index + 2
        )
        for index, peer in enumerate(peers)
    }
    ports: dict[str, int] = {
        zone.zone: platform_port + index
        for index, zone in enumerate(bundle.zones)
    }
    deployment = Deployment(
        settings=settings,
        credentials=credentials,
        bundle=_write_bundle(folder, bundle, ports),
        platform_ports=ports,
        gateway_urls={
            peer['instance']: f'http://{HOST}:{peer["gateway"]["port"]}'
            for peer in peers
        },
        next_port=platform_port + len(ports),
    )
    for path in settings.values():
        load_settings(path)
    load_credentials(credentials)
    load_bundle(deployment.bundle)
    return deployment


def _peers(bundle: Bundle, base_port: int, disks: int) -> list[dict[str, Any]]:
    zones = bundle.zones
    peers = []
    for position in range(INSTANCES_PER_ZONE):
        for index, zone in enumerate(zones):
            number = index * INSTANCES_PER_ZONE + position
            port = base_port + number * PORTS_PER_INSTANCE
            peers.append({
                'instance': f'{zone.zone}-{position + 1}',
                'zone': zone.zone,
                'region': zone.region,
                'control': {'host': HOST, 'port': port},
                'gateway': {'host': HOST, 'port': port + 1},
                'has_disk': position * len(zones) + index < disks,
            })
    return sorted(peers, key=lambda peer: peer['control']['port'])


def _write_settings(
    folder: Path,
    peer: dict[str, Any],
    peers: list[dict[str, Any]],
    link_port: int,
) -> Path:
    instance = peer['instance']
    data_folder = str(folder / 'data' / instance) if peer['has_disk'] else None
    if data_folder is not None:
        Path(data_folder).mkdir(parents=True, exist_ok=True)
    path = folder / f'{instance}.json'
    path.write_text(
        _json({
            'schema_version': 1,
            'deployment': folder.name,
            'instance': instance,
            'peers': peers,
            'gateway_link': {'host': HOST, 'port': link_port},
            'data_folder': data_folder,
            'credentials_file': str(folder / 'credentials.json'),
            'statsd': None,
            'log': {},
            'http': {},
            'timing': {},
        })
    )
    return path


def _write_bundle(folder: Path, bundle: Bundle, ports: dict[str, int]) -> Path:
    document = msgspec.to_builtins(bundle)
    for zone in document['zones']:
        zone['platform_url'] = (
            f'http://{HOST}:{ports[zone["zone"]]}/zones/{zone["zone"]}'
        )
    path = folder / 'bundle.json'
    path.write_text(_json(document))
    return path


def _tokens(bundle: Bundle) -> dict[str, dict[str, str]]:
    names_by_role: dict[str, list[str]] = {
        'operators': list(OPERATORS),
        'accounts': [account.account for account in bundle.accounts],
        'services': [service.service for service in bundle.services],
    }
    return {
        role: {name: secrets.token_urlsafe(TOKEN_BYTES) for name in names}
        for role, names in names_by_role.items()
    }


def _write_private(path: Path, document: dict[str, Any]) -> None:
    path.unlink(missing_ok=True)
    mode = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with os.fdopen(os.open(path, mode, PRIVATE_MODE), 'w') as target:
        target.write(_json(document))


def _json(document: dict[str, Any]) -> str:
    return f'{json.dumps(document, indent=2)}\n'


def main(_arguments: list[str]) -> None:
    """Write the deployment of the flags and print its files and ports."""
    deployment = make_deployment(
        Path(FOLDER.value or ''),
        bundle_path=Path(BUNDLE.value or ''),
        base_port=BASE_PORT.value,
        disks=DISKS.value,
    )
    print(msgspec.json.encode(deployment, enc_hook=str).decode())


if __name__ == '__main__':
    flags.mark_flags_as_required(  # type: ignore[no-untyped-call]
        ['bundle', 'folder']
    )
    app.run(main)
