"""Bundles: one version of the configuration, loaded, checked and digested."""

import hashlib
import socket
from pathlib import Path
from urllib.parse import urlsplit

import msgspec

from mangotrail._bundle import Bundle, ZoneSpec
from mangotrail.documents import (
    check_name,
    check_unique,
    decode_document,
    read_document,
)
from mangotrail.errors import InvalidBundleError

MAX_WORKER_LENGTH = 128


def load_bundle(path: Path | str) -> Bundle:
    """Load and check a bundle.

    :param path: JSON file of schema/bundle.json.
    :raises InvalidBundleError: naming the field at fault.
    """
    return decode_bundle(read_document(Path(path), error=InvalidBundleError))


def decode_bundle(content: bytes) -> Bundle:
    """Decode and check a bundle.

    :param content: JSON text of schema/bundle.json.
    :raises InvalidBundleError: naming the field at fault.
    """
    bundle = decode_document(content, Bundle, error=InvalidBundleError)
    check_bundle(bundle)
    return bundle


def encode_bundle(bundle: Bundle) -> bytes:
    """Return the canonical JSON: every field written, keys sorted, no spaces."""
    return msgspec.json.encode(bundle, order='sorted')


def bundle_digest(bundle: Bundle) -> str:
    """Return the SHA-256 of the canonical encoding, in hexadecimal.

    The order of lists counts: it is part of what an operator signs.
    """
    return hashlib.sha256(encode_bundle(bundle)).hexdigest()


def check_bundle(bundle: Bundle) -> None:
    """Refuse a bundle that contradicts itself.

    :raises InvalidBundleError: naming the field at fault.
    """
    names = {
        'zone': _names_by_field(bundle, 'zones', 'zone'),
        'account': _names_by_field(bundle, 'accounts', 'account'),
        'service': _names_by_field(bundle, 'services', 'service'),
    }
    for what, places in names.items():
        for field, name in places.items():
            check_name(name, field=field, error=InvalidBundleError)
        check_unique(places, what=what, error=InvalidBundleError)
    _check_workers(bundle)
    for index, zone in enumerate(bundle.zones):
        field = f'zones[{index}]'
        check_name(
            zone.region, field=f'{field}.region', error=InvalidBundleError
        )
        _check_racks(zone, field)
        _check_url(zone.platform_url, f'{field}.platform_url')
    check_unique(
        {
            f'zones[{index}].platform_url': zone.platform_url.rstrip('/')
            for index, zone in enumerate(bundle.zones)
        },
        what='platform_url',
        error=InvalidBundleError,
    )


def _names_by_field(bundle: Bundle, part: str, name: str) -> dict[str, str]:
    return {
        f'{part}[{index}].{name}': getattr(entry, name)
        for index, entry in enumerate(getattr(bundle, part))
    }


def _check_workers(bundle: Bundle) -> None:
    places: dict[str, str] = {
        f'zones[{zone_index}].racks[{rack_index}].workers[{index}]': worker
        for zone_index, zone in enumerate(bundle.zones)
        for rack_index, rack in enumerate(zone.racks)
        for index, worker in enumerate(rack.workers)
    }
    for field, worker in places.items():
        check_name(worker, field=field, error=InvalidBundleError)
        if len(worker) > MAX_WORKER_LENGTH:
            raise InvalidBundleError(
                f'{field} is too long.',
                field=field,
                value=worker,
                allowed=f'1 to {MAX_WORKER_LENGTH} characters',
                remedy='Shorten the name.',
            )
    # Leases name a worker without its zone.
    check_unique(places, what='worker', error=InvalidBundleError)


def _check_racks(zone: ZoneSpec, field: str) -> None:
    places = {
        f'{field}.racks[{index}].rack': rack.rack
        for index, rack in enumerate(zone.racks)
    }
    for place, rack in places.items():
        check_name(rack, field=place, error=InvalidBundleError)
    check_unique(places, what='rack', error=InvalidBundleError)


def _check_url(url: str, field: str) -> None:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as failure:
        raise _url_error(url, field) from failure
    extra = parts.query or parts.fragment or parts.username
    if parts.scheme != 'http' or not port or extra or '@' in url:
        raise _url_error(url, field)
    host = parts.hostname or ''
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError) as failure:
        raise _url_error(url, field) from failure


def _url_error(url: str, field: str) -> InvalidBundleError:
    return InvalidBundleError(
        f'{field} is not the URL of a worker interface.',
        field=field,
        value=url,
        allowed='http://IP-NUMBER:PORT with an optional path',
        remedy='Write the URL with an IP number and a port.',
    )
