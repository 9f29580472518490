"""Attempts against the stand-ins and a fake control process."""

import msgspec
import pytest

from mangotrail._messages import (
    Accepted,
    AttemptReport,
    CallBody,
    ConfirmCall,
    ConfirmReply,
    Failure,
    ReleaseOrder,
    ReplyBody,
    StopOrder,
    ThrottleOrder,
)
from mangotrail._reports import Backoff
from mangotrail.clock import ManualClock
from mangotrail.platform import lease_name
from tests.conftest import Site, running_site, until

LEASE = lease_name('job-1', 1)


def stop_order(site: Site, *, checkpoint_s: float = 0) -> StopOrder:
    """Return an order to stop the attempt of the usual order."""
    return StopOrder(
        job='job-1',
        attempt=1,
        reason='reclaimed',
        placement=site.order().placement,
        checkpoint_s=checkpoint_s,
    )


async def start_long(site: Site) -> None:
    """Start a gang whose endpoint does not answer by itself."""
    site.endpoint.behaviour.answer_s = 3600
    await site.control.send(site.order())
    await site.control.wait_status('job-1', 'began')
    await until(lambda: site.endpoint.puts == 1)


class TestBegin:
    async def test_gang_begins_once_and_answers(self, site: Site) -> None:
        """Guards against a second start by an order that is sent twice."""
        await site.control.send(site.order())
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'answered')
        assert site.control.statuses('job-1') == ['began', 'answered']
        assert report.answer_bytes == 64
        assert len(site.platform.begins) == 2
        assert site.endpoint.runs_by_request == {'acme/job-1': 1}
        await until(lambda: not site.gateway.dispatcher.attempts)
        await site.control.send(site.order())
        await site.control.wait_for(
            lambda: len(site.control.reported['job-1']) == 3
        )
        assert site.control.reported['job-1'][2] == report
        assert len(site.platform.begins) == 2

    async def test_refused_prepare_names_the_worker(self, site: Site) -> None:
        """Guards against a gang that begins without one of its members."""
        site.platform.set_fault({'worker': 'w2', 'refuses': True})
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'nothing_ran')
        assert report.worker == 'w2'
        assert not site.platform.begins

    async def test_partial_begin_stops_the_rest(self, site: Site) -> None:
        """Guards against a part of a gang that runs without the others."""
        site.platform.set_fault({'worker': 'w2', 'fails': True})
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'unknown')
        assert report.worker == 'w2'
        assert site.platform.leases[LEASE].state == 'ended'
        assert [row['worker'] for row in site.platform.ends] == ['w1']
        assert site.endpoint.puts == 0

    async def test_begin_refused_by_all_is_nothing_ran(
        self, site: Site
    ) -> None:
        """Guards against an unknown outcome where the platform proves none."""
        site.platform.set_fault({'fails': True})
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'nothing_ran')
        assert site.endpoint.puts == 0

    async def test_lost_begin_reply_is_looked_up(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a running gang that nobody reports."""
        begin = site.platform.begin

        def begin_and_fail(body: dict[str, object]) -> list[dict[str, object]]:
            begin(body)
            raise ConnectionError('reply lost')

        monkeypatch.setattr(site.platform, 'begin', begin_and_fail)
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'answered')

    async def test_lease_begun_by_an_earlier_process(self, site: Site) -> None:
        """Guards against a false "not run" after a restart of the gateway."""
        members = msgspec.to_builtins(site.order().placement.members)
        body = {'lease': LEASE, 'gang': 'job-1', 'members': members}
        site.platform.prepare({**body, 'ttl_s': 60})
        site.platform.begin({**body, 'begin_by': site.platform.now() + 60})
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'unknown')
        assert site.platform.leases[LEASE].state == 'ended'


class TestConfirm:
    async def test_refused_confirm_begins_nothing(self, site: Site) -> None:
        """Guards against a start in a zone that was taken out meanwhile."""
        site.control.scripts[ConfirmCall] = lambda _: ConfirmReply(
            granted=False, reason='zone is out'
        )
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'nothing_ran')
        assert 'zone is out' in report.reason
        assert not site.platform.begins
        await until(lambda: site.platform.leases[LEASE].state == 'ended')

    async def test_late_confirm_is_asked_again(self) -> None:
        """Guards against a begin on a confirmation that is too old."""
        clock = ManualClock(now_s=100)
        ages = [3.0, 0.5]

        def confirm(_: CallBody) -> ReplyBody:
            clock.advance(ages.pop(0))
            return ConfirmReply(granted=True)

        async with running_site(clock=clock) as site:
            site.control.scripts[ConfirmCall] = confirm
            await site.control.send(site.order())
            await site.control.wait_status('job-1', 'answered')
            assert not ages

    async def test_confirms_that_are_all_late_begin_nothing(self) -> None:
        """Guards against a begin after the last of several late replies."""
        clock = ManualClock(now_s=100)

        def confirm(_: CallBody) -> ReplyBody:
            clock.advance(2.0)
            return ConfirmReply(granted=True)

        async with running_site(clock=clock) as site:
            site.control.scripts[ConfirmCall] = confirm
            await site.control.send(site.order())
            await site.control.wait_status('job-1', 'nothing_ran')
            assert not site.platform.begins

    async def test_freeze_before_the_begin_starts_nothing(self) -> None:
        """Guards against a gateway frozen between its check and the begin."""
        clock = ManualClock(now_s=100)
        timing = {'lease_ms': 60_000}
        async with running_site(clock=clock, timing=timing) as site:
            tools = site.gateway.dispatcher.context
            begin = tools.platform.begin

            async def begin_later(*args, **options):
                # The platform's clock runs on while the gateway is frozen.
                now = site.platform.now
                site.platform.now = lambda: now() + 3
                return await begin(*args, **options)

            tools.platform.begin = begin_later
            await site.control.send(site.order())
            report = await site.control.wait_status('job-1', 'nothing_ran')
            assert 'too late' in report.reason
            assert not site.platform.begins


class TestAnswer:
    @pytest.mark.parametrize('fault', ['cut', 'short', 'crossed'])
    async def test_wrong_answer_is_fetched_again(
        self, site: Site, fault: str
    ) -> None:
        """Guards against a caller that gets a part or another's answer."""
        site.endpoint.behaviour.fault = fault
        site.endpoint.behaviour.faults_left = 2
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'answered')
        assert (report.answer or b'').startswith(b'acme/job-1/render;')
        assert report.answer_bytes == 64
        assert site.endpoint.puts == 1
        assert site.endpoint.runs_by_request == {'acme/job-1': 1}

    async def test_endless_wrong_answers_are_unknown(self, site: Site) -> None:
        """Guards against an attempt that polls a broken endpoint for ever."""
        site.gateway.dispatcher.context.backoff = Backoff(first_s=0.01)
        site.endpoint.behaviour.fault = 'crossed'
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'unknown')

    async def test_error_answer_is_failed(self, site: Site) -> None:
        """Guards against an endpoint's error that passes for an answer."""
        site.endpoint.behaviour.fault = 'failed'
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'failed')
        assert report.answer

    async def test_large_answer_stays_here(self, site: Site) -> None:
        """Guards against answers that fill the log."""
        site.endpoint.behaviour.answer_bytes = 20_000
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'answered')
        assert report.answer is None
        assert report.answer_bytes == 20_000
        kept = site.gateway.context.answers.get(('acme', 'job-1'))
        assert kept is not None
        assert kept.sha256 == report.answer_sha256

    async def test_answer_over_the_limit_fails_once(self, site: Site) -> None:
        """Guards against fetching an answer that can never be kept."""
        site.gateway.dispatcher.context.max_answer_bytes = lambda: 1000
        site.endpoint.behaviour.answer_bytes = 5000
        await site.control.send(site.order())
        report = await site.control.wait_status('job-1', 'failed')
        assert 'over 1000 bytes' in report.reason

    async def test_forgotten_attempt_is_not_sent_again(
        self, site: Site
    ) -> None:
        """Guards against a second run at an endpoint that restarted."""
        await start_long(site)
        run = site.endpoint.runs.popitem()[1]
        run.done.set()
        await site.control.wait_status('job-1', 'unknown')
        assert site.endpoint.puts == 1


class TestLeases:
    async def test_leases_of_a_zone_are_renewed_together(
        self, site: Site
    ) -> None:
        """Guards against one call for each gang, and against their expiry."""
        site.endpoint.behaviour.answer_s = 2.5
        await site.control.send(site.order('job-1', workers=1))
        other = site.order('job-2', workers=1)
        member = msgspec.structs.replace(
            other.placement.members[0], worker='w3'
        )
        placement = msgspec.structs.replace(other.placement, members=[member])
        await site.control.send(
            msgspec.structs.replace(other, placement=placement)
        )
        await site.control.wait_status('job-1', 'answered')
        await site.control.wait_status('job-2', 'answered')
        assert site.platform.calls['renew'] <= 2.6 / 0.2 + 2

    async def test_lost_worker_ends_the_whole_gang(self, site: Site) -> None:
        """Guards against members that run on after one of them is lost."""
        await start_long(site)
        site.platform.set_fault({'worker': 'w2', 'lost': True})
        report = await site.control.wait_status('job-1', 'unknown')
        assert report.worker == 'w2'
        assert {row['worker'] for row in site.platform.ends} == {'w1', 'w2'}
        assert site.endpoint.cancelled

    async def test_throttle_reaches_the_lease(self, site: Site) -> None:
        """Guards against an order that is lost on its way."""
        await start_long(site)
        placement = site.order().placement
        await site.control.send(
            ThrottleOrder(
                job='job-1', attempt=1, share=0.5, placement=placement
            )
        )
        await until(lambda: site.platform.leases[LEASE].share == 0.5)


class TestStop:
    async def test_stop_follows_the_checkpoint(self, site: Site) -> None:
        """Guards against lost progress, and a report before the end."""
        await start_long(site)
        await site.control.send(stop_order(site, checkpoint_s=10))
        await site.control.wait_status('job-1', 'stopped')
        task = site.platform.leases[LEASE].tasks[0]
        ended_s = site.platform.ends[0]['time_s']
        assert task.checkpointed_at_s is not None
        assert task.checkpointed_at_s <= ended_s

    async def test_stop_is_reported_only_once_confirmed(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against capacity that is given away while still in use."""
        await start_long(site)
        stop = site.platform.stop
        answers = ['error', 'not ok', 'ok']

        def stop_late(body: dict[str, object]) -> list[dict[str, object]]:
            answer = answers.pop(0)
            assert 'stopped' not in site.control.statuses('job-1')
            if answer == 'error':
                raise ConnectionError('platform fails')
            if answer == 'not ok':
                return [{'worker': 'w1', 'ok': False}]
            return stop(body)

        monkeypatch.setattr(site.platform, 'stop', stop_late)
        await site.control.send(stop_order(site))
        await site.control.wait_status('job-1', 'stopped')
        assert not answers

    async def test_stop_before_the_begin_is_nothing_ran(
        self, site: Site
    ) -> None:
        """Guards against an unknown outcome where no begin was sent."""
        site.control.scripts[ConfirmCall] = lambda _: None
        await site.control.send(site.order())
        await site.control.wait_for(
            lambda: any(isinstance(c, ConfirmCall) for c in site.control.calls)
        )
        await site.control.send(stop_order(site, checkpoint_s=10))
        await site.control.wait_status('job-1', 'nothing_ran')

    async def test_attempt_of_a_lost_gateway_is_stopped(
        self, site: Site
    ) -> None:
        """Guards against a gang whose dispatcher is gone."""
        await site.control.send(stop_order(site))
        await site.control.wait_status('job-1', 'stopped')
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'nothing_ran')
        assert not site.platform.begins


class TestAdopt:
    async def test_running_gang_is_adopted(self, site: Site) -> None:
        """Guards against a second run of an attempt that goes on."""
        await start_long(site)
        await site.control.send(ReleaseOrder(job='job-1', attempt=1))
        await until(lambda: not site.gateway.dispatcher.attempts)
        assert site.platform.leases[LEASE].state == 'begun'
        await site.control.send(site.order(adopt=True))
        await until(lambda: bool(site.gateway.dispatcher.attempts))
        run = next(iter(site.endpoint.runs.values()))
        run.answer = b'late'
        run.done.set()
        report = await site.control.wait_status('job-1', 'answered')
        assert report.answer == b'late'
        assert site.endpoint.puts == 1

    async def test_gang_that_never_began_is_nothing_ran(
        self, site: Site
    ) -> None:
        """Guards against a late begin by the earlier dispatcher."""
        await site.control.send(site.order(adopt=True))
        await site.control.wait_status('job-1', 'nothing_ran')
        assert site.platform.leases[LEASE].state == 'ended'

    async def test_answer_after_the_end_of_the_lease_counts(
        self, site: Site
    ) -> None:
        """Guards against an unknown outcome although the answer is there."""
        await start_long(site)
        await site.control.send(ReleaseOrder(job='job-1', attempt=1))
        await until(lambda: site.platform.leases[LEASE].state == 'ended')
        run = next(iter(site.endpoint.runs.values()))
        run.answer = b'ready'
        run.done.set()
        await site.control.send(site.order(adopt=True))
        report = await site.control.wait_status('job-1', 'answered')
        assert report.answer == b'ready'


class TestReports:
    async def test_report_is_repeated_until_acknowledged(
        self, site: Site
    ) -> None:
        """Guards against an outcome that a lost leader never hears."""
        replies: list[ReplyBody] = [
            Failure(code='not_leader', message='no leader', status=503),
            Failure(code='unavailable', message='no leader', status=503),
        ]

        def acknowledge(body: CallBody) -> ReplyBody:
            assert isinstance(body, AttemptReport)
            if replies:
                return replies.pop()
            site.control.reported[body.job].append(body)
            return Accepted()

        site.control.scripts[AttemptReport] = acknowledge
        await site.control.send(site.order())
        await site.control.wait_status('job-1', 'answered')
        assert site.control.statuses('job-1') == ['began', 'answered']
