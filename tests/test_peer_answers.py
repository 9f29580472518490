"""Large answers that this or another instance keeps."""

import asyncio
import base64
import json
from hashlib import sha256

from blacksheep import Application, Content, Request, Response, Router

from tests.conftest import Site, free_port, make_document, running_site, serving

ANSWER = b'x' * 300_000
DIGEST = sha256(ANSWER).hexdigest()
FIELDS = {'answer_sha256': DIGEST, 'answer_bytes': len(ANSWER)}
JOB = '/v1/jobs/acme/r1'


class Holder:
    """A gateway of another instance that keeps an answer."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.requests: list[str] = []
        self.app = Application(router=Router())

        async def serve(request: Request) -> Response:
            await asyncio.sleep(0.05)
            token = request.get_first_header(b'authorization') or b''
            self.requests.append(token.decode())
            content = Content(b'application/octet-stream', self.body)
            return Response(200, None, content)

        self.app.router.add_get(JOB, serve)


async def finish(site: Site, holder: str) -> None:
    """Let a job end with an answer that an instance keeps."""
    await site.http('POST', '/v1/jobs', make_document())
    site.control.finish('r1', holder=holder, **FIELDS)


class TestOwnAnswer:
    async def test_kept_answer_is_whole(self, site: Site) -> None:
        """Guards against an answer that is lost between log and memory."""
        site.gateway.context.answers.put(('acme', 'r1'), ANSWER, DIGEST)
        await finish(site, 'i1')
        document = json.loads((await site.http('GET', JOB)).body)
        assert base64.b64decode(document['answer']) == ANSWER
        raw = await site.http('GET', JOB, accept='application/octet-stream')
        assert raw.body == ANSWER

    async def test_dropped_answer_is_an_error(self, site: Site) -> None:
        """Guards against an empty answer that passes for a whole one."""
        await finish(site, 'i1')
        error = await site.error('GET', JOB)
        assert (error['status'], error['code']) == (502, 'answer_unavailable')
        assert error['not_run'] is False

    async def test_answer_of_another_run_is_not_used(self, site: Site) -> None:
        """Guards against an old answer kept under the same request id."""
        site.gateway.context.answers.put(('acme', 'r1'), b'old', 'digest')
        await finish(site, 'i1')
        assert (await site.http('GET', JOB)).status == 502


class TestPeerAnswer:
    async def test_concurrent_callers_share_one_transfer(self) -> None:
        """Guards against paying for the same bytes more than once."""
        holder = Holder(ANSWER)
        async with serving(holder.app) as (url,):
            port = int(url.rpartition(':')[2])
            async with running_site(port) as site:
                await finish(site, 'i2')
                responses = await asyncio.gather(
                    *(site.http('GET', JOB) for _ in range(3))
                )
                for response in (*responses, await site.http('GET', JOB)):
                    answer = json.loads(response.body)['answer']
                    assert base64.b64decode(answer) == ANSWER
                assert holder.requests == ['Bearer acme-token']
                received = site.gateway.counts.received['peer_answer']
                assert received >= len(ANSWER)

    async def test_wrong_answer_of_a_peer_is_refused(self) -> None:
        """Guards against a cut or crossed answer from another instance."""
        holder = Holder(ANSWER[:-1])
        async with serving(holder.app) as (url,):
            port = int(url.rpartition(':')[2])
            async with running_site(port) as site:
                await finish(site, 'i2')
                error = await site.error('GET', JOB)
                assert error['code'] == 'answer_unavailable'

    async def test_lost_peer_is_an_error(self) -> None:
        """Guards against a claim that the job did not run."""
        async with running_site(free_port()) as site:
            for instance in ('i2', 'i9'):
                await finish(site, instance)
                error = await site.error('GET', JOB)
                assert error['code'] == 'answer_unavailable'
                assert error['not_run'] is False
