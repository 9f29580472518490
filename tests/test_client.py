"""Guards against a client that misreports the outcome of a request."""

from typing import Any

import pytest

from mangotrail import errors
from mangotrail._messages import JobShape, JobSpec, View, ZoneState
from mangotrail.client import Client
from mangotrail.clock import ManualClock
from mangotrail.ids import AccountId, OperationId, RequestId, ServiceId, ZoneId
from tests.gateways import NO_REPLY, closed_url, error, serving

RUNNING = {'job': 'a/r', 'account': 'a', 'request': 'r', 'state': 'running'}
FINISHED = {**RUNNING, 'state': 'finished', 'outcome': 'answered'}
ZONES = (200, {'zones': []})
BUSY = (503, error('unavailable', not_run=True))
TOKEN = 't' * 16


def client_of(*servers: str) -> Client:
    """Return a client with a short timeout."""
    return Client(servers, token=TOKEN, timeout_s=5)


def take_out(client: Client) -> None:
    """Send a request that changes something."""
    client.set_zone(ZoneId('z'), ZoneState.OUT, operation=OperationId('o'))


class TestFailover:
    """Which requests go to a second server."""

    def test_refused_connection(self) -> None:
        """One stopped gateway must not block operators."""
        with serving((200, {'kind': 'accepted'})) as gateway:
            take_out(client_of(closed_url(), gateway.url))
        assert len(gateway.requests) == 1

    def test_no_server(self) -> None:
        """The error says "not run" only because nothing was sent."""
        with pytest.raises(errors.UnavailableError) as caught:
            take_out(client_of(closed_url(), closed_url()))
        assert caught.value.not_run

    def test_busy_server(self) -> None:
        """A "not run" refusal proves that nothing ran; the next is tried."""
        with serving(BUSY) as first, serving(ZONES) as second:
            client = client_of(first.url, second.url)
            assert client.list_view(View.ZONES) == []

    @pytest.mark.parametrize(
        'reply',
        [
            NO_REPLY,
            (200, b'{"kind": "acc'),
            (200, b''),
            (302, b'{}'),
            (502, b'<html>'),
            (503, error('unavailable')),
            (504, error('undecided', not_run=False)),
        ],
        ids=str,
    )
    def test_undecided(self, reply: Any) -> None:
        """A change with unknown outcome is sent again with the same id."""
        accepted = (200, {'version': 1})
        with serving(reply) as first, serving(accepted) as second:
            with pytest.raises(errors.UndecidedError) as caught:
                take_out(client_of(first.url, closed_url()))
            take_out(client_of(first.url, second.url))
        assert not caught.value.not_run
        assert second.requests == first.requests[1:]

    def test_refused_again(self) -> None:
        """A refusal by the second server says nothing about the first."""
        full = (429, error('queue_full', not_run=True))
        spec = JobSpec(
            account=AccountId('a'),
            request=RequestId('r'),
            service=ServiceId('s'),
            shape=JobShape(),
            created_at_s=1,
        )
        with serving(NO_REPLY) as first, serving(full) as second:
            with pytest.raises(errors.QueueFullError) as caught:
                client_of(first.url, second.url).submit_job(spec)
            with pytest.raises(errors.QueueFullError) as only:
                client_of(second.url).submit_job(spec)
        assert not caught.value.not_run
        assert only.value.not_run
        paths = [path for _method, path, _body in second.requests]
        assert paths == ['/v1/jobs?retry=true', '/v1/jobs']


class TestReplies:
    """Typed replies and errors."""

    def test_error_type(self) -> None:
        """The operator who loses a race must learn the winning version."""
        reply = error('bundle_conflict', value='4', allowed='5', not_run=True)
        with serving((409, reply)) as gateway:
            with pytest.raises(errors.BundleConflictError) as caught:
                take_out(client_of(gateway.url))
        assert (caught.value.value, caught.value.allowed) == ('4', '5')

    @pytest.mark.parametrize('code', ['invalid_input', 'from_a_newer_server'])
    def test_unproven_not_run(self, code: str) -> None:
        """An error is "not run" only if the server says so."""
        with serving((400, error(code))) as gateway:
            with pytest.raises(errors.MangotrailError) as caught:
                take_out(client_of(gateway.url))
        assert not caught.value.not_run

    def test_answer(self) -> None:
        """An answer must arrive unchanged, and new fields must not break it."""
        reply = {**FINISHED, 'answer': 'AAH/', 'later_field': 1}
        with serving((200, reply)) as gateway:
            client = client_of(gateway.url)
            view = client.read_job(AccountId('a'), RequestId('r/?#'))
        assert view.answer == b'\x00\x01\xff'
        assert gateway.requests[0][1] == '/v1/jobs/a/r%2F%3F%23?wait_s=0'

    @pytest.mark.parametrize(
        'url', ['', 'https://h:1', 'http://h', 'http://[:1']
    )
    def test_bad_server(self, url: str) -> None:
        """A token must not be sent to a misinterpreted address."""
        with pytest.raises(errors.SettingsError, match='server'):
            client_of(url)


class TestWait:
    """Waiting for the end of a job."""

    def test_survives_restart(self) -> None:
        """A gateway restart must not end a long wait."""
        clock = ManualClock()
        replies = [(200, RUNNING), BUSY, (200, FINISHED)]
        with serving(*replies) as gateway:
            view = client_of(gateway.url).wait_job(
                AccountId('a'),
                RequestId('r'),
                wait_s=60,
                now=clock.monotonic_s,
                pause=clock.advance,
            )
        assert view.state == 'finished'
        assert clock.monotonic_s() == pytest.approx(1)

    def test_ends(self) -> None:
        """A wait without a limit would hide a stuck job."""
        clock = ManualClock()
        with serving((200, RUNNING)) as gateway:
            view = client_of(gateway.url).wait_job(
                AccountId('a'),
                RequestId('r'),
                wait_s=1.2,
                now=clock.monotonic_s,
                pause=clock.advance,
            )
        assert view.state == 'running'
        assert clock.monotonic_s() == pytest.approx(1.2)
