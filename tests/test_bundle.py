"""Guards against inconsistent bundles and unnoticed changes of bundles."""

import json
from pathlib import Path
from typing import Any

import pytest

from mangotrail.bundle import bundle_digest, decode_bundle, load_bundle
from mangotrail.errors import InvalidBundleError
from tests.deployments import BUNDLE, change

SAMPLES = sorted(Path('examples/bundles').glob('*.json'))
RACK = {'rack': 'umhlanga-shed-rack', 'workers': ['new-01']}
BAD_BUNDLES: dict[str, tuple[Any, str]] = {
    'schema_version': (2, 'a newer bundle would be read by older rules'),
    'zones[1].zone': ('soweto-yard', 'one zone taken out, two meant'),
    'zones[0].racks[0].workers[1]': ('soweto-yard-01', 'capacity twice'),
    'zones[0].racks[0].workers[2]': ('umhlanga-shed-01', 'a lease in 2 zones'),
    'zones[0].racks[0].workers[3]': ('', 'an id that cannot be sent'),
    'zones[0].racks[0].workers[4]': ('w' * 129, 'too long for a message'),
    'zones[2].racks[1]': (RACK, 'gangs adjacent in two racks'),
    'zones[2].region': ('kzn coast', 'unusable as a metric name'),
    'accounts[1].account': ('mokoena-daughters', 'two sets of guarantees'),
    'accounts[2].account': ('a/b', 'ends a URL path segment'),
    'services[1]': ({'service': 'cart-desk'}, 'one service twice'),
    'zones[0].platform_url': ('http://example:9', 'there is no name service'),
    'zones[0].slots': (0, 'a worker that can run nothing'),
    'zones[1].platform_url': ('http://127.0.0.1:18101/', 'two zones in one'),
    'accounts[0].guarantees[0].level': ('row', 'unknown adjacency'),
    'limits.retention': (9, 'a misspelt limit would be ignored'),
}

# Of two equal names, the error reports the second one.
REPORTED_FIELDS = {
    'zones[0].racks[0].workers[2]': 'zones[2].racks[0].workers[0]',
    'zones[2].racks[1]': 'zones[2].racks[1].rack',
}


class TestBundle:
    """Bundle files."""

    @pytest.mark.parametrize('path', SAMPLES, ids=str)
    def test_accepts_samples(self, path: Path) -> None:
        """An invalid sample bundle would break the demo."""
        bundle = load_bundle(path)
        workers = [
            len(rack.workers) for zone in bundle.zones for rack in zone.racks
        ]
        assert workers == [8, 8, 8]
        assert len(bundle.accounts) == 4

    @pytest.mark.parametrize('field', BAD_BUNDLES)
    def test_refuses(self, tmp_path: Path, field: str) -> None:
        """Invalid values are rejected; BAD_BUNDLES names their effects."""
        value, _failure = BAD_BUNDLES[field]
        path = tmp_path / 'bundle.json'
        path.write_bytes(BUNDLE.read_bytes())
        with pytest.raises(InvalidBundleError) as caught:
            load_bundle(change(path, field, value))
        error = caught.value
        assert error.allowed
        assert error.remedy
        assert error.field.startswith(REPORTED_FIELDS.get(field, field))

    @pytest.mark.parametrize(
        'url',
        [
            'ftp://127.0.0.1:9',
            'http://127.0.0.1',
            'http://127.0.0.1:0',
            'http://127.0.0.1:99999',
            'http://a@127.0.0.1:9',
            'http://127.0.0.1:9/?a=b',
            'http://[::1:9',
        ],
    )
    def test_refuses_url(self, tmp_path: Path, url: str) -> None:
        """URLs that a platform client cannot call are rejected."""
        path = tmp_path / 'bundle.json'
        path.write_bytes(BUNDLE.read_bytes())
        with pytest.raises(InvalidBundleError, match='platform_url'):
            load_bundle(change(path, 'zones[0].platform_url', url))


class TestDigest:
    """Digests that operators sign."""

    def test_ignores_spelling(self) -> None:
        """A copy with another key order or spacing must keep its signature."""
        document = json.loads(BUNDLE.read_text())
        reordered = dict(reversed(document.items()))
        del reordered['limits']['retention_s']
        digest = bundle_digest(load_bundle(BUNDLE))
        again = decode_bundle(json.dumps(reordered, indent=7).encode())
        assert bundle_digest(again) == digest

    def test_differs_by_value(self, tmp_path: Path) -> None:
        """A change under an old signature would go unreviewed."""
        path = tmp_path / 'bundle.json'
        path.write_bytes(BUNDLE.read_bytes())
        changed = load_bundle(change(path, 'accounts[0].weight', 5))
        assert bundle_digest(changed) != bundle_digest(load_bundle(BUNDLE))
