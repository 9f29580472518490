"""Loading and validation of the settings and credentials of an instance."""

import socket
from collections.abc import Iterator
from pathlib import Path

from mangotrail._settings import (
    Address,
    Credentials,
    PeerSettings,
    Settings,
    TimingSettings,
)
from mangotrail.documents import (
    check_name,
    check_unique,
    decode_document,
    read_document,
)
from mangotrail.errors import SettingsError

MIN_DISK_ZONES = 3
MIN_TOKEN_LENGTH = 16
MAX_PATH_LENGTH = 4096
_MAPPED_PREFIX = bytes.fromhex('00000000000000000000ffff')


def load_settings(path: Path | str) -> Settings:
    """Load and check the settings of one instance.

    :param path: JSON file of schema/settings.json.
    :raises SettingsError: names the invalid field.
    """
    content = read_document(Path(path), error=SettingsError)
    settings = decode_document(content, Settings, error=SettingsError)
    check_settings(settings)
    return settings


def load_credentials(path: Path | str) -> Credentials:
    """Load and check the bearer tokens; errors never contain a token.

    :param path: JSON file with mode 0600.
    :raises SettingsError: names the invalid field.
    """
    content = read_document(Path(path), error=SettingsError, private=True)
    credentials = decode_document(
        content, Credentials, error=SettingsError, secret=True
    )
    check_credentials(credentials)
    return credentials


def check_credentials(credentials: Credentials) -> None:
    """Reject tokens that are short, repeated or not printable ASCII.

    :raises SettingsError: names the invalid field.
    """
    holders: dict[str, str] = {}
    for field, name, token in _tokens(credentials):
        check_name(name, field=field, error=SettingsError)
        if len(token) < MIN_TOKEN_LENGTH or not _is_header_safe(token):
            raise SettingsError(
                f'The token of {field} is too short or not printable ASCII.',
                field=field,
                value=f'(not shown, {len(token)} characters)',
                allowed=(
                    f'at least {MIN_TOKEN_LENGTH} characters of printable '
                    'ASCII without spaces'
                ),
                remedy='Generate a longer random token.',
            )
        first = holders.setdefault(token, field)
        if first != field:
            raise SettingsError(
                f'{field} has the same token as {first}.',
                field=field,
                value='(not shown)',
                allowed='each token once',
                remedy='Generate a token for each holder.',
            )


def check_settings(settings: Settings) -> None:
    """Check the constraints between the fields of the settings.

    :raises SettingsError: names the invalid field.
    """
    check_name(settings.deployment, field='deployment', error=SettingsError)
    _check_peers(settings)
    _check_addresses(settings)
    _check_folders(settings)
    _check_timing(settings.timing)


def own_peer(settings: Settings) -> PeerSettings:
    """Return the entry of this instance among the peers.

    :raises SettingsError: if no peer has the instance's id.
    """
    for peer in settings.peers:
        if peer.instance == settings.instance:
            return peer
    raise SettingsError(
        'The instance is not among its peers.',
        field='instance',
        value=settings.instance,
        allowed=', '.join(peer.instance for peer in settings.peers),
        remedy='Add the instance to peers or correct its id.',
    )


def _tokens(credentials: Credentials) -> Iterator[tuple[str, str, str]]:
    for role in ('operators', 'accounts', 'services'):
        for name, token in getattr(credentials, role).items():
            yield f'{role}.{name}', name, token


def _is_header_safe(token: str) -> bool:
    return token.isascii() and token.isprintable() and ' ' not in token


def _check_peers(settings: Settings) -> None:
    regions: dict[str, str] = {}
    for index, peer in enumerate(settings.peers):
        for name in ('instance', 'zone', 'region'):
            field = f'peers[{index}].{name}'
            check_name(getattr(peer, name), field=field, error=SettingsError)
        region = regions.setdefault(peer.zone, peer.region)
        if region != peer.region:
            raise SettingsError(
                f'Zone {peer.zone} is also in region {region}.',
                field=f'peers[{index}].region',
                value=peer.region,
                allowed=region,
                remedy='Give every instance of a zone the same region.',
            )
    check_unique(
        {
            f'peers[{index}].instance': peer.instance
            for index, peer in enumerate(settings.peers)
        },
        what='instance',
        error=SettingsError,
    )
    own_peer(settings)
    zones = {peer.zone for peer in settings.peers if peer.has_disk}
    if len(zones) < MIN_DISK_ZONES:
        raise SettingsError(
            'Too few availability zones have an instance with a disk, so the '
            'loss of one zone would stop all commits.',
            field='peers',
            value=f'{len(zones)} zones with disks',
            allowed=f'at least {MIN_DISK_ZONES} zones with disks',
            remedy='Set has_disk on an instance in a further zone.',
        )


def _check_addresses(settings: Settings) -> None:
    places = {'gateway_link': settings.gateway_link}
    for index, peer in enumerate(settings.peers):
        places[f'peers[{index}].control'] = peer.control
        places[f'peers[{index}].gateway'] = peer.gateway
    endpoints = {
        f'{field}.port': f'{_parse_ip(address, field).hex()}:{address.port}'
        for field, address in places.items()
    }
    check_unique(endpoints, what='address', error=SettingsError)
    if settings.statsd is not None:
        _parse_ip(settings.statsd, 'statsd')
    own = own_peer(settings)
    link = settings.gateway_link.host
    # The link is not authenticated, so it must not be open to other machines.
    if not _is_loopback(link) and link not in {
        own.control.host,
        own.gateway.host,
    }:
        raise SettingsError(
            'The gateway link is not on this instance.',
            field='gateway_link.host',
            value=link,
            allowed='a loopback address or a host of this instance',
            remedy='Use 127.0.0.1.',
        )


def _parse_ip(address: Address, field: str) -> bytes:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    try:
        packed = socket.inet_pton(family, address.host)
    except (OSError, ValueError) as failure:
        raise _host_error(address, field, 'not an IP address') from failure
    packed = packed.removeprefix(_MAPPED_PREFIX)
    first = packed[0]
    multicast = first == 255 or (len(packed) == 4 and first >= 224)
    if multicast or not any(packed):
        raise _host_error(address, field, 'not the address of one machine')
    return packed


def _host_error(address: Address, field: str, fault: str) -> SettingsError:
    return SettingsError(
        f'{field}.host is {fault}.',
        field=f'{field}.host',
        value=address.host,
        allowed='the IPv4 or IPv6 address of one machine',
        remedy='Use a unicast IP address, not a name, multicast or wildcard.',
    )


def _is_loopback(host: str) -> bool:
    return host == '::1' or host.startswith('127.')


def _check_folders(settings: Settings) -> None:
    own = own_peer(settings)
    folder = settings.data_folder
    if own.has_disk != (folder is not None):
        raise SettingsError(
            'data_folder must be set exactly on instances with a disk.',
            field='data_folder',
            value=folder,
            allowed='a folder' if own.has_disk else 'null',
            remedy='Correct data_folder or has_disk of this instance.',
        )
    _check_path(settings.credentials_file, 'credentials_file')
    if folder is not None:
        _check_path(folder, 'data_folder')


def _check_path(path: str, field: str) -> None:
    # A relative path depends on the working directory, so that a restart from
    # another one would begin with an empty journal.
    if not path.startswith('/') or len(path) > MAX_PATH_LENGTH or '\0' in path:
        raise SettingsError(
            f'{field} is not an absolute path.',
            field=field,
            value=path,
            allowed=f'an absolute path of at most {MAX_PATH_LENGTH} characters',
            remedy='Write the path from the root of the file system.',
        )


def _check_timing(timing: TimingSettings) -> None:
    # A leader's authority must end before a successor can be elected.
    _check_greater(timing, 'election_min_ms', 'authority_ms')
    _check_greater(timing, 'election_max_ms', 'election_min_ms')
    # One lost heartbeat must not end the leader's authority.
    _check_greater(timing, 'authority_ms', 'heartbeat_ms', factor=2)
    # One lost renewal must not end a lease.
    _check_greater(timing, 'lease_ms', 'renew_ms', factor=2)
    # A prepared lease must outlast the confirmation and the begin of the gang.
    _check_greater(timing, 'lease_ms', 'confirm_ms')


def _check_greater(
    timing: TimingSettings, field: str, other: str, *, factor: int = 1
) -> None:
    value: int = getattr(timing, field)
    bound: int = getattr(timing, other) * factor
    if value <= bound:
        multiple = f'{factor} * ' if factor > 1 else ''
        raise SettingsError(
            f'timing.{field} must be greater than {multiple}timing.{other}.',
            field=f'timing.{field}',
            value=value,
            allowed=f'more than {bound}',
            remedy=f'Raise timing.{field} or lower timing.{other}.',
        )
