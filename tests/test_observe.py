"""Observation of a zone, against the platform stand-in."""

from collections.abc import AsyncIterator

import pytest

from mangotrail._http_client import HttpClient
from mangotrail._messages import (
    Accepted,
    CallBody,
    Failure,
    ReplyBody,
    UsageCall,
    WorkersCall,
    ZonePlatform,
)
from mangotrail.link import ControlClient
from mangotrail.observe import ZoneObserver
from mangotrail.pacing import ByteCounts
from mangotrail.platform import PlatformClient
from tests.conftest import Site, running_site


class RecordingControl(ControlClient):
    """Acknowledges calls, or refuses them."""

    def __init__(self) -> None:
        self.calls: list[CallBody] = []
        self.reply: ReplyBody = Accepted()

    async def call(self, body: CallBody, *, timeout_s: float) -> ReplyBody:
        """Record a call."""
        self.calls.append(body)
        return self.reply


@pytest.fixture
async def observed() -> AsyncIterator[tuple[Site, ZoneObserver]]:
    """Return a site and an observer of its zone that polls on demand."""
    async with running_site() as site:
        zone = ZonePlatform(
            zone='ege-izmir', url=f'{site.platform_url}/zones/ege-izmir'
        )
        observer = ZoneObserver(
            zone=zone,
            platform=PlatformClient(http=HttpClient(counts=ByteCounts())),
            control=RecordingControl(),
        )
        yield site, observer


class TestWorkers:
    async def test_only_changes_are_sent(
        self, observed: tuple[Site, ZoneObserver]
    ) -> None:
        """Guards against traffic that grows with the fleet."""
        site, observer = observed
        await observer.poll()
        await observer.poll()
        site.platform.set_fault({'worker': 'w2', 'lost': True})
        await observer.poll()
        del site.platform.workers['w3']
        await observer.poll()
        sent = [
            (call.full, [(row.worker, row.healthy) for row in call.workers])
            for call in observer.control.calls
            if isinstance(call, WorkersCall)
        ]
        assert sent == [
            (True, [('w1', True), ('w2', True), ('w3', True)]),
            (False, [('w2', False)]),
            (False, [('w3', False)]),
        ]

    async def test_unacknowledged_list_is_sent_again(
        self, observed: tuple[Site, ZoneObserver]
    ) -> None:
        """Guards against a leader that never hears of a worker."""
        _, observer = observed
        observer.control.reply = Failure(code='not_leader', message='')
        await observer.poll()
        observer.control.reply = Accepted()
        await observer.poll()
        assert [call.full for call in observer.control.calls] == [True, True]

    async def test_silent_platform_changes_nothing(
        self, observed: tuple[Site, ZoneObserver]
    ) -> None:
        """Guards against a fleet that counts as lost with its interface."""
        _, observer = observed
        await observer.poll()
        observer.zone = ZonePlatform(zone='ege-izmir', url='http://127.0.0.1:1')
        await observer.poll()
        assert len(observer.control.calls) == 1


class TestUsage:
    async def test_usage_names_job_and_attempt(
        self, observed: tuple[Site, ZoneObserver]
    ) -> None:
        """Guards against usage that is booked on the wrong attempt."""
        site, observer = observed
        site.endpoint.behaviour.answer_s = 3600
        await site.control.send(site.order('job.with.dots'))
        await site.control.wait_status('job.with.dots', 'began')
        now = site.platform.now
        site.platform.now = lambda: now() + 3
        for lease in site.platform.leases.values():
            lease.expires_s += 100
        await observer.poll()
        usage = [
            row
            for call in observer.control.calls
            if isinstance(call, UsageCall)
            for row in call.usage
        ]
        assert [(row.job, row.attempt) for row in usage] == [
            ('job.with.dots', 1)
        ]
