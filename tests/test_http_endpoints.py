"""Tests of endpoint announcements, heartbeats and departures."""

import pytest

from mangotrail._messages import (
    AnnounceEndpoint,
    Failure,
    HeartbeatCall,
    LeaveEndpoint,
)
from tests.conftest import Site

ANNOUNCEMENT = {
    'endpoint': 'e1',
    'generation': 3,
    'service': 'box-planner',
    'zone': 'ege-izmir',
    'url': 'http://10.0.0.1:80/0',
}
PATH = '/v1/endpoints'


async def announce(site: Site, **changes: object) -> int:
    """Announce an endpoint and return the status."""
    response = await site.http(
        'POST', PATH, {**ANNOUNCEMENT, **changes}, token='service-token'
    )
    return response.status


def calls_of(site: Site, kind: type) -> list[object]:
    """Return the calls of one type."""
    return [call for call in site.control.calls if isinstance(call, kind)]


class TestAnnounce:
    async def test_heartbeats_are_batched(self, site: Site) -> None:
        """Guards against a log entry per heartbeat."""
        for _ in range(3):
            assert await announce(site) == 200
        assert await announce(site, endpoint='e2') == 200
        assert len(calls_of(site, AnnounceEndpoint)) == 2
        await site.control.wait_for(
            lambda: (
                {'e1': 3, 'e2': 3}
                == {
                    name: generation
                    for call in calls_of(site, HeartbeatCall)
                    for name, generation in call.endpoints.items()
                }
            )
        )
        assert len(calls_of(site, HeartbeatCall)) <= 2

    async def test_new_generation_is_passed_on(self, site: Site) -> None:
        """Guards against treating a restarted endpoint as a heartbeat."""
        await announce(site)
        await announce(site, generation=4)
        assert len(calls_of(site, AnnounceEndpoint)) == 2

    async def test_left_generation_stays_away(self, site: Site) -> None:
        """Guards against a late heartbeat that re-registers an endpoint."""
        await announce(site)
        site.gateway.context.heartbeats.take_pending()
        response = await site.http(
            'DELETE', f'{PATH}/e1?generation=3', token='service-token'
        )
        assert response.status == 200
        assert calls_of(site, LeaveEndpoint) == [
            LeaveEndpoint(endpoint='e1', generation=3)
        ]
        site.control.scripts[AnnounceEndpoint] = lambda _: Failure(
            code='stale_generation', message='left', status=409
        )
        assert await announce(site) == 409
        assert not site.gateway.context.heartbeats.take_pending()

    async def test_lost_control_process_is_told(self, site: Site) -> None:
        """Guards against accepting heartbeats that cannot be forwarded."""
        await announce(site)
        site.gateway.status.hello_at_s = None
        site.control.close()
        assert await announce(site) == 503


class TestChecks:
    @pytest.mark.parametrize(
        'url',
        [
            'https://10.0.0.1:80',
            'http://planner.example:80',
            'http://10.0.0.1',
            'http://user@10.0.0.1:80',
            'http://10.0.0.1:80?x=1',
            'http://10.0.0.1:99999',
            'http://0.0.0.0:80',
            'ftp',
        ],
    )
    async def test_bad_url_is_refused(self, site: Site, url: str) -> None:
        """Guards against sending requests to an invalid address."""
        error = await site.error(
            'POST', PATH, {**ANNOUNCEMENT, 'url': url}, token='service-token'
        )
        assert (error['status'], error['field']) == (400, 'url')
        assert not calls_of(site, AnnounceEndpoint)

    async def test_other_service_is_refused(self, site: Site) -> None:
        """Guards against a service that changes the endpoint of another."""
        assert await announce(site, service='cart-desk') == 403
        assert await announce(site) == 200
        error = await site.error(
            'DELETE', f'{PATH}/e1?generation=3', token='cart-token'
        )
        assert error['code'] == 'forbidden'
        assert not calls_of(site, LeaveEndpoint)

    @pytest.mark.parametrize('query', ['', '?generation=x', '?generation=0'])
    async def test_leave_names_its_generation(
        self, site: Site, query: str
    ) -> None:
        """Guards against a departure that withdraws a newer generation."""
        error = await site.error(
            'DELETE', f'{PATH}/e1{query}', token='service-token'
        )
        assert (error['status'], error['field']) == (400, 'generation')
