"""Tests that the examples run."""

from pathlib import Path

from examples.check_bundle import describe
from examples.evacuate_zone import evacuate
from examples.report_metrics import report
from examples.submit_job import submit
from mangotrail.client import Client
from mangotrail.ids import ZoneId
from tests.deployments import BUNDLE, deploy
from tests.gateways import NO_REPLY, serving

JOB = {'job': 'j', 'account': 'a', 'request': 'r', 'state': 'finished'}


class TestExamples:
    """Programs in examples/."""

    def test_check_bundle(self) -> None:
        """The sample's guarantees must fit the zones that remain."""
        assert 'zone soweto-yard: 64 accelerators' in describe(str(BUNDLE))

    def test_report_metrics(self) -> None:
        """The packet must be what a statsd server reads."""
        prefix = 'mangotrail.control.soweto-yard-1'
        assert report().startswith(f'{prefix}.jobs_accepted.school-fetes:1|c')

    def test_submit_job(self, tmp_path: Path) -> None:
        """A second submission must carry the same request id."""
        credentials = str(deploy(tmp_path).credentials)
        with serving(NO_REPLY, (200, JOB)) as gateway:
            submit(credentials, 'school-fetes', 'cart-desk', [gateway.url])
        first, second, _wait = gateway.requests
        assert first[2] == second[2]

    def test_evacuate_zone(self) -> None:
        """The wait must not end while a job is left in the zone."""
        left = {'jobs': [{'zone': 'z', 'state': 'running'}]}
        replies = [(200, {'version': 0}), (200, left), (200, {'jobs': []})]
        with serving(*replies) as gateway:
            client = Client([gateway.url], token='t' * 16)
            assert evacuate(client, ZoneId('z'), pause=lambda _: None) == 2
