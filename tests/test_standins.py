"""Tests of the stand-ins beyond their use in other tests."""

import argparse
import asyncio

from examples.standins.endpoint import make_announcers
from mangotrail._messages import (
    AnnounceEndpoint,
    HeartbeatCall,
    LeaveEndpoint,
)
from tests.conftest import Site, free_port


class TestEndpointStandIn:
    async def test_each_endpoint_announces_and_leaves(self, site: Site) -> None:
        """Guards against announcements that the gateway does not accept."""
        options = argparse.Namespace(
            host='127.0.0.1',
            port=9000,
            service='box-planner',
            zone='ege-izmir',
            worker='w1',
            gateway=f'http://127.0.0.1:{free_port()},{site.url}',
            token='service-token',
            count=2,
            name='planner',
            generation=5,
        )
        announcers = make_announcers(options)
        tasks = [asyncio.create_task(row.run()) for row in announcers]
        await site.control.wait_for(
            lambda: HeartbeatCall in map(type, site.control.calls)
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(row.leave() for row in announcers))
        announced = {
            call.endpoint: (call.url, call.worker)
            for call in site.control.calls
            if isinstance(call, AnnounceEndpoint)
        }
        assert announced == {
            'planner-0': ('http://127.0.0.1:9000/0', 'w1'),
            'planner-1': ('http://127.0.0.1:9000/1', 'w1'),
        }
        left = [
            call.endpoint
            for call in site.control.calls
            if isinstance(call, LeaveEndpoint)
        ]
        assert sorted(left) == ['planner-0', 'planner-1']


class TestPlatformStandIn:
    def test_accelerators_are_held_once(self, site: Site) -> None:
        """Guards against assigning accelerators to two gangs at once."""
        body = {
            'lease': 'a.1',
            'gang': 'a',
            'ttl_s': 60,
            'members': [{'worker': 'w1', 'accelerators': [0, 1]}],
        }
        assert site.platform.prepare(body)[0]['ok']
        second = site.platform.prepare({**body, 'lease': 'b.1'})
        assert second[0]['reason'] == 'accelerators not free'
        site.platform.stop({'lease': 'a.1', 'reason': 'end'})
        assert site.platform.prepare({**body, 'lease': 'b.1'})[0]['ok']
        assert not site.platform.prepare(body)[0]['ok']
