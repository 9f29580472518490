"""Guards against replies that are not true and calls that go in circles."""

from pathlib import Path

import msgspec
import pytest

from mangotrail._graphs import (
    AdviceSpec,
    Cancel,
    ChangeZone,
    CountPending,
    Inspect,
    JobPhase,
    PutConfiguration,
    ReadConfiguration,
    Submit,
    Verdict,
    Watch,
)
from mangotrail.clock import ManualClock
from mangotrail.graphs.control import GraphControl
from mangotrail.ids import AccountId, JobId, ZoneId
from tests.graph_fakes import (
    ACCOUNT,
    NORMAL,
    SETTINGS,
    FakeConnector,
    apply,
    configuration,
    graph_spec,
    queue_spec,
)

ADVICE = AdviceSpec(decision_ms=1, period_ms=1, validity_ms=1000)


class FakeLeader:
    """Leader with or without authority."""

    def __init__(self) -> None:
        self.has_authority = True

    def may_order(self) -> bool:
        """Whether the authority holds."""
        return self.has_authority

    def replan(self) -> None:
        """Make no plan."""


@pytest.fixture
async def control(tmp_path: Path) -> GraphControl:
    """Return a control instance that leads and commits at once."""
    clock = ManualClock(now_s=100)
    held = GraphControl(
        settings=msgspec.structs.replace(SETTINGS, data_folder=str(tmp_path)),
        connector=FakeConnector(clock=clock),
        clock=clock,
    )
    held.leader = FakeLeader()

    async def propose(body: object, now_ms: int) -> object:
        result = apply(held.replica.state, body, time_ms=now_ms)
        held.on_applied(body, result)
        return result

    held.replica.propose = propose
    yield held
    await held.channels.close()
    held.replica.close()


def put(version: int, **changes: object) -> PutConfiguration:
    """Return a call that puts a configuration in force."""
    held = msgspec.structs.replace(configuration(version), **changes)
    return PutConfiguration(configuration=held)


class TestJobs:
    """Calls about jobs."""

    async def test_course(self, control: GraphControl) -> None:
        """A job is accepted once, shown, counted, and cancelled."""
        await control.handle(put(1))
        submit = Submit(graph=graph_spec('job'))
        for _ in range(2):
            assert (await control.handle(submit)).verdict is Verdict.OK
        inspect = Inspect(job=JobId('job'), account=ACCOUNT)
        assert (await control.handle(inspect)).phase is JobPhase.QUEUED
        assert (await control.handle(CountPending(queue=NORMAL))).count == 1
        await control.handle(Cancel(job=JobId('job'), account=ACCOUNT))
        assert (await control.handle(inspect)).phase is JobPhase.CANCELLED
        assert (await control.handle(CountPending(queue=NORMAL))).count == 0

    async def test_other_account(self, control: GraphControl) -> None:
        """A job of another account is not known."""
        await control.handle(put(1))
        await control.handle(Submit(graph=graph_spec('job')))
        for kind in (Inspect, Cancel):
            call = kind(job=JobId('job'), account=AccountId('other'))
            reply = await control.handle(call)
            assert reply.verdict is Verdict.UNKNOWN_OBJECT

    async def test_advised(self, control: GraphControl) -> None:
        """A job that cannot be served is refused at once and never runs."""
        queues = (queue_spec(NORMAL, 1, advice=ADVICE),)
        await control.handle(put(1, queues=queues))
        reply = await control.handle(Submit(graph=graph_spec('job')))
        assert reply.verdict is Verdict.REFUSED
        assert not control.replica.state.jobs


class TestCertainty:
    """Replies of a member that may not lead any more."""

    async def test_without_authority(self, control: GraphControl) -> None:
        """A leader whose authority has run out says nothing for sure."""
        await control.handle(put(1))
        control.leader.has_authority = False
        for call in (
            Submit(graph=graph_spec('job')),
            ReadConfiguration(),
            ChangeZone(zone=ZoneId('a'), open=False),
        ):
            reply = await control.handle(call)
            assert reply.verdict is Verdict.NOT_LEADER
        assert not control.replica.state.jobs

    async def test_passed_on_once(self, control: GraphControl) -> None:
        """A call that was passed on is not passed on again."""
        control.leader = None
        reply = await control.handle(ReadConfiguration(), forwarded=True)
        assert reply.verdict is Verdict.NOT_LEADER


class TestConfigurations:
    """Versions on their way to entry instances."""

    async def test_watch(self, control: GraphControl) -> None:
        """A newer version is handed out, an older one never replaces it."""
        await control.handle(put(3))
        assert (await control.handle(put(2))).verdict is Verdict.OK
        reply = await control.handle(Watch(held_version=-1, wait_ms=0))
        assert reply.configuration.version == 3
        reply = await control.handle(Watch(held_version=3, wait_ms=10))
        assert reply.configuration is None
        assert reply.instances == SETTINGS.seeds
