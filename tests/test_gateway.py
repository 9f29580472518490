"""The whole gateway against a fake control process and the stand-ins."""

import asyncio
import json

from tests.conftest import Site, make_document


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


class TestDispatch:
    async def test_gang_runs_and_answers(self, site: Site) -> None:
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'answered')
        assert report.answer is not None
        assert site.control.statuses('job-1') == ['began', 'answered']
        assert len(site.platform.begins) == 2
