"""Tests of the operator handlers."""

import json

import pytest

from mangotrail._messages import (
    Accepted,
    DocumentReply,
    Failure,
    QueryCall,
    RollOutBundle,
    SetZone,
    SignBundle,
    View,
    WriteBundle,
)
from tests.conftest import BUNDLE, Site

ADMIN = '/admin/v1'
COMMAND = {'operation': 'op-1', 'digest': 'd'}
WRITE = {
    'operation': 'op-1',
    'parent_version': 0,
    'parent_digest': '',
    'bundle': BUNDLE,
}


class TestCommands:
    @pytest.mark.parametrize(
        ('path', 'body', 'kind'),
        [
            ('/bundles', WRITE, WriteBundle),
            ('/bundles/7/sign', COMMAND, SignBundle),
            ('/bundles/7/rollout', COMMAND, RollOutBundle),
            (
                '/zones/ege-izmir',
                {'operation': 'op-1', 'state': 'out', 'deadline_s': 5},
                SetZone,
            ),
        ],
    )
    async def test_command_carries_its_operator(
        self, site: Site, path: str, body: object, kind: type
    ) -> None:
        """Guards against commands without the name of their operator."""
        site.control.scripts[kind] = lambda _: Accepted(version=7, digest='d')
        response = await site.http(
            'POST', f'{ADMIN}{path}', body, token='operator-token'
        )
        assert json.loads(response.body) == {'version': 7, 'digest': 'd'}
        sent = [call for call in site.control.calls if isinstance(call, kind)]
        assert sent[0].operator == 'olga'
        assert getattr(sent[0], 'version', 7) == 7

    async def test_conflict_is_passed_on(self, site: Site) -> None:
        """Guards against hiding a conflict from the operator who lost."""
        site.control.scripts[WriteBundle] = lambda _: Failure(
            code='bundle_conflict', message='v2 won', value='2', status=409
        )
        error = await site.error(
            'POST', f'{ADMIN}/bundles', WRITE, token='operator-token'
        )
        assert (error['status'], error['value']) == (409, '2')

    @pytest.mark.parametrize(
        ('path', 'body', 'field'),
        [
            ('/bundles/x/sign', COMMAND, 'version'),
            ('/bundles/0/sign', COMMAND, 'version'),
            ('/bundles/1/sign', {**COMMAND, 'operator': 'eve'}, 'operator'),
            ('/zones/z', {'operation': 'o', 'state': 'up'}, 'state'),
            ('/zones/z', {'state': 'in'}, 'operation'),
            (
                '/bundles',
                {**WRITE, 'bundle': {**BUNDLE, 'zones': []}},
                'bundle.zones',
            ),
        ],
    )
    async def test_bad_command_names_the_field(
        self, site: Site, path: str, body: object, field: str
    ) -> None:
        """Guards against accepting a command with invalid fields."""
        error = await site.error(
            'POST', f'{ADMIN}{path}', body, token='operator-token'
        )
        assert (error['status'], error['field']) == (400, field)


class TestViews:
    async def test_every_view_is_passed_on(self, site: Site) -> None:
        site.control.scripts[QueryCall] = lambda call: DocumentReply(
            body=json.dumps({'view': call.view}).encode()
        )
        for view in View:
            path = f'{ADMIN}/{view}?process=control'
            response = await site.http('GET', path, token='operator-token')
            assert json.loads(response.body) == {'view': view}

    async def test_dump_of_the_gateway(self, site: Site) -> None:
        path = f'{ADMIN}/dump?process=gateway'
        response = await site.http('GET', path, token='operator-token')
        dump = json.loads(response.body)
        assert (dump['instance'], dump['bundle_version']) == ('i1', 1)
        path = f'{ADMIN}/dump?process=other'
        error = await site.error('GET', path, token='operator-token')
        assert error['field'] == 'process'

    async def test_caller_is_no_operator(self, site: Site) -> None:
        """Guards against access of callers to the configuration."""
        for path in ('/jobs', '/dump', '/bundles'):
            assert (await site.error('GET', f'{ADMIN}{path}'))['status'] == 403
        for path in ('/zones/z', '/bundles/1/sign', '/bundles'):
            error = await site.error('POST', f'{ADMIN}{path}', COMMAND)
            assert error['status'] == 403
