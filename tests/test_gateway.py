"""Tests of the gateway with a fake control process and the stand-ins."""

import asyncio
import json
import os
import signal
from contextlib import suppress

import msgspec
import pytest

from mangotrail._messages import GatewayHello, ReleaseOrder
from mangotrail.errors import SettingsError
from mangotrail.gateway import Gateway, run_gateway
from tests.conftest import (
    CREDENTIALS,
    Site,
    free_port,
    make_document,
    make_settings,
    running_site,
    until,
)


class TestSubmit:
    async def test_accepted_job_is_reported_as_queued(self, site: Site) -> None:
        response = await site.http('POST', '/v1/jobs', make_document())
        assert response.status == 202, response.body
        assert json.loads(response.body)['state'] == 'queued'

    async def test_waiting_caller_gets_the_answer(self, site: Site) -> None:
        waiting = asyncio.create_task(
            site.http('POST', '/v1/jobs?wait_s=20', make_document())
        )
        await site.control.wait_for(lambda: 'r1' in site.control.views)
        site.control.finish('r1', answer=b'done')
        response = await waiting
        assert response.status == 200
        assert json.loads(response.body)['answer'] == 'ZG9uZQ=='


class TestShutdown:
    async def test_waiting_caller_is_served(self, site: Site) -> None:
        """Guards against a shutdown that aborts requests in progress."""
        waiting = asyncio.create_task(
            site.http('POST', '/v1/jobs?wait_s=20', make_document())
        )
        await site.control.wait_for(lambda: 'r1' in site.control.views)
        site.gateway.stop()
        await site.control.wait_for(
            lambda: any(
                isinstance(call, GatewayHello) and not call.ready
                for call in site.control.calls
            )
        )
        assert (await site.http('GET', '/readyz')).status == 503
        error = await site.error('POST', '/v1/jobs', make_document('r2'))
        assert (error['status'], error['not_run']) == (503, True)
        late = await site.http('GET', '/v1/jobs/acme/r1?wait_s=20')
        assert late.status == 202
        site.control.finish('r1', answer=b'done')
        assert (await waiting).status == 200
        await asyncio.wait_for(site.running, 20)

    async def test_running_gang_is_handed_over(self, site: Site) -> None:
        """Guards against a shutdown that stops or abandons a running gang."""
        site.endpoint.behaviour.answer_s = 3600
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'began')
        site.gateway.stop()
        await until(lambda: site.gateway.status.draining)
        await site.control.send(site.order('job-2'))
        await site.control.wait_status('job-2', 'nothing_ran')
        await until(lambda: len(site.gateway.dispatcher.attempts) == 1)
        calls_before = len(site.control.calls)
        # A gateway that had already exited would not send hellos.
        await site.control.wait_for(
            lambda: len(site.control.calls) >= calls_before + 2
        )
        await site.control.send(ReleaseOrder(job='job-1', attempt=1))
        await asyncio.wait_for(site.running, 20)
        assert not site.platform.ends

    async def test_handover_that_nobody_takes_is_bounded(self) -> None:
        """Guards against a shutdown that waits for a handover without limit."""
        async with running_site(
            timing={'lease_ms': 1000}, http={'drain_timeout_s': 1}
        ) as site:
            site.endpoint.behaviour.answer_s = 3600
            await site.control.send(site.order())
            await site.control.wait_status('job-1', 'began')
            waiting = asyncio.create_task(
                site.http('POST', '/v1/jobs?wait_s=60', make_document())
            )
            await site.control.wait_for(lambda: 'r1' in site.control.views)
            site.gateway.stop()
            assert (await waiting).status == 202
            await asyncio.wait_for(site.running, 20)
            await until(
                lambda: (
                    site.platform.leases['job-1.1'].reason == 'lease expired'
                )
            )


class TestProcess:
    async def test_sigterm_ends_the_process(self) -> None:
        """Guards against signals that reach only the server library."""
        settings = make_settings(free_port(), free_port())
        running = asyncio.create_task(run_gateway(settings, CREDENTIALS))
        address = settings.peers[0].gateway
        for _ in range(500):
            await asyncio.sleep(0.01)
            with suppress(OSError):
                _, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                writer.close()
                break
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(running, 20)

    async def test_settings_without_the_own_instance(self) -> None:
        """Guards against starting without an address to listen on."""
        settings = make_settings(1, 2)
        wrong = msgspec.structs.replace(settings, instance='i9')
        with pytest.raises(SettingsError):
            Gateway(settings=wrong, credentials=CREDENTIALS)
