"""Tests of the caller handlers: input, credentials, waits and errors."""

import asyncio
import json

import pytest

from mangotrail._messages import (
    Accepted,
    CancelJob,
    Failure,
    JobState,
    SubmitCall,
    WaitCall,
)
from tests.conftest import Site, make_document

JOB = '/v1/jobs/acme/r1'


class TestInput:
    @pytest.mark.parametrize(
        ('changes', 'field', 'allowed'),
        [
            ({'shape': {'members': 65}}, 'shape.members', 'int <= 64'),
            ({'shape': {'members': 'x'}}, 'shape.members', 'int'),
            ({'shape': {'level': 'row'}}, 'shape.level', 'worker'),
            ({'colour': 'red'}, 'colour', 'no such field'),
            ({'shape': {'size': 1}}, 'shape.size', 'no such field'),
            ({'request': ''}, 'request', 'length >= 1'),
            ({'request': 'r' * 129}, 'request', 'length <= 128'),
            ({'created_at_s': -1}, 'created_at_s', '>= 0'),
            ({'declared_runtime_s': 4e7}, 'declared_runtime_s', '<='),
            ({'deadline_s': 10**30}, 'deadline_s', '<='),
            ({'payload': None}, 'payload', 'str'),
            ({'urgent': 1}, 'urgent', 'bool'),
        ],
    )
    async def test_bad_field_is_named(
        self,
        site: Site,
        changes: dict[str, object],
        field: str,
        allowed: str,
    ) -> None:
        """Guards against an error that does not say what to change."""
        error = await site.error('POST', '/v1/jobs', make_document(**changes))
        assert error['status'] == 400, error
        assert (error['code'], error['field']) == ('invalid_input', field)
        assert allowed in error['allowed'], error
        assert error['remedy']
        assert error['not_run'] is True
        assert SubmitCall not in map(type, site.control.calls)

    async def test_missing_field_is_named(self, site: Site) -> None:
        """Guards against an error that does not say what to add."""
        document = make_document()
        del document['service']
        error = await site.error('POST', '/v1/jobs', document)
        assert (error['field'], error['allowed']) == ('service', 'a value')

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{',
            b'[]',
            b'\xff\xfe',
            b'[' * 100_000,
            rb'{"request": "\ud800"}',
            b'{"created_at_s": NaN}',
            b'{"request": "r1", "request": "r2"}',
            b'{"created_at_s": %s}' % (b'9' * 5000),
        ],
    )
    async def test_no_json_object_is_refused(
        self, site: Site, body: bytes
    ) -> None:
        """Guards against an internal error on a malformed body."""
        error = await site.error('POST', '/v1/jobs', body)
        assert (error['status'], error['code']) == (400, 'invalid_input')

    async def test_payload_over_the_bundle_limit(self, site: Site) -> None:
        """Guards against large payloads in the replicated log."""
        document = make_document(payload='ü' * 501)
        error = await site.error('POST', '/v1/jobs', document)
        assert (error['status'], error['field']) == (413, 'payload')
        assert '1000 bytes' in error['allowed']

    async def test_body_over_the_limit(self, site: Site) -> None:
        """Guards against a body that exhausts the memory."""
        body = b' ' * (site.gateway.settings.http.max_body_bytes + 1)
        error = await site.error('POST', '/v1/jobs', body)
        assert (error['status'], error['code']) == (413, 'too_large')

    @pytest.mark.parametrize('wait', ['x', '-1', 'nan', '3601'])
    async def test_bad_wait_is_refused(self, site: Site, wait: str) -> None:
        """Guards against a wait without limit."""
        error = await site.error('GET', f'{JOB}?wait_s={wait}')
        assert (error['status'], error['field']) == (400, 'wait_s')

    async def test_unknown_path_is_typed(self, site: Site) -> None:
        """Guards against an error without a JSON document."""
        error = await site.error('GET', '/v2/jobs')
        assert (error['status'], error['code']) == (404, 'unknown_object')

    async def test_ids_may_hold_any_character(self, site: Site) -> None:
        """Guards against a job id that cannot be used in a path."""
        await site.http('POST', '/v1/jobs', make_document('a/b ?ü'))
        response = await site.http('GET', '/v1/jobs/acme/a%2Fb%20%3F%C3%BC')
        assert json.loads(response.body)['request'] == 'a/b ?ü'


class TestCredentials:
    @pytest.mark.parametrize(
        ('token', 'code'),
        [
            ('wrong', 'unauthorized'),
            ('operator-token', 'forbidden'),
            ('service-token', 'forbidden'),
            ('other-token', 'forbidden'),
        ],
    )
    async def test_only_the_own_account(
        self, site: Site, token: str, code: str
    ) -> None:
        """Guards against access to the requests of another account."""
        for method in ('GET', 'DELETE'):
            error = await site.error(method, JOB, token=token)
            assert error['code'] == code
        document = make_document(account='acme')
        error = await site.error('POST', '/v1/jobs', document, token=token)
        assert error['code'] == code
        assert not {SubmitCall, WaitCall, CancelJob} & set(
            map(type, site.control.calls)
        )

    async def test_account_comes_from_the_credential(self, site: Site) -> None:
        """Guards against a job without an account."""
        response = await site.http(
            'POST', '/v1/jobs', make_document(), token='other-token'
        )
        assert json.loads(response.body)['account'] == 'other'


class TestWait:
    async def test_failed_wait_is_no_refusal(self, site: Site) -> None:
        """Guards against reporting an accepted job as not run."""
        site.control.scripts[WaitCall] = lambda _: Failure(
            code='unavailable', message='no leader', not_run=True, status=503
        )
        response = await site.http(
            'POST', '/v1/jobs?wait_s=0.3', make_document()
        )
        assert response.status == 202
        assert json.loads(response.body)['state'] == JobState.QUEUED

    async def test_wait_ends_in_time(self, site: Site) -> None:
        """Guards against a wait longer than requested."""
        await site.http('POST', '/v1/jobs', make_document())
        response = await site.http('GET', f'{JOB}?wait_s=0.2')
        assert response.status == 202

    async def test_refusal_of_the_leader_is_passed_on(self, site: Site) -> None:
        """Guards against losing the details of a failure of the leader."""
        failure = Failure(
            code='queue_full', message='full', not_run=True, status=429
        )
        site.control.scripts[SubmitCall] = lambda _: failure
        error = await site.error('POST', '/v1/jobs', make_document())
        assert (error['status'], error['not_run']) == (429, True)
        error = await site.error('POST', '/v1/jobs?retry=1', make_document())
        assert error['not_run'] is False

    async def test_read_never_claims_not_run(self, site: Site) -> None:
        """Guards against "not run" for a job submitted by an earlier call."""
        failure = Failure(
            code='unavailable', message='no leader', not_run=True, status=503
        )
        site.control.scripts[WaitCall] = lambda _: failure
        assert (await site.error('GET', JOB))['not_run'] is False

    async def test_cancel_returns_the_job(self, site: Site) -> None:
        """Guards against a cancel response without the state of the job."""
        await site.http('POST', '/v1/jobs', make_document())
        site.control.scripts[CancelJob] = lambda _: Accepted()
        response = await site.http('DELETE', JOB)
        assert json.loads(response.body)['request'] == 'r1'


class TestLostControl:
    async def test_call_that_was_not_handed_over_is_not_run(
        self, site: Site
    ) -> None:
        """Guards against keeping callers waiting for a dead control process."""
        site.control.close()
        error = await site.error('POST', '/v1/jobs', make_document())
        while error['code'] == 'undecided':
            error = await site.error('POST', '/v1/jobs', make_document())
        assert (error['status'], error['not_run']) == (503, True)
        response = await site.http('GET', '/readyz')
        assert response.status == 503
        assert (await site.http('GET', '/healthz')).status == 200

    async def test_call_without_reply_is_undecided(self, site: Site) -> None:
        """Guards against "not run" for a job that may have been accepted."""
        site.control.scripts[SubmitCall] = lambda _: None
        submit = asyncio.create_task(
            site.error('POST', '/v1/jobs', make_document())
        )
        await site.control.wait_for(
            lambda: SubmitCall in map(type, site.control.calls)
        )
        site.control.close()
        error = await submit
        assert (error['status'], error['not_run']) == (504, False)
