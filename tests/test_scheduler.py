"""Guards the life of jobs inside the decision core."""

from mangotrail._messages import Outcome
from mangotrail.events import Finish, JobCancelled, Place, Refuse, Wait
from mangotrail.ids import JobId
from tests.core_events import (
    Driver,
    account,
    make_bundle,
    places,
    spec,
    stops,
    used_zone,
    zone_spec,
)


def two_zones(**limits: int) -> Driver:
    """Build two zones of two workers with 8 accelerators each."""
    zones = [zone_spec('z1', (2, 8)), zone_spec('z2', (2, 8))]
    return Driver(make_bundle(zones, [account('a', **limits), account('b')]))


class TestPlacing:
    """Jobs reach free capacity, or are told why not."""

    def test_gang_is_placed_whole(self) -> None:
        """A gang spread over zones could not talk to itself."""
        driver = two_zones()
        driver.submit('j', spec(members=2, size=8))
        placement = driver.placed['j'].placement
        workers = {member.worker for member in placement.members}
        assert len(workers) == 2
        assert {worker[:2] for worker in workers} == {placement.zone}
        assert placement.endpoint == f'e-{placement.zone}'
        assert placement.platform_url == f'http://{placement.zone}'

    def test_impossible_job_is_refused(self) -> None:
        """A job that no inventory holds would wait for ever."""
        decisions = two_zones().submit('j', spec(members=3, size=8))
        assert [type(one) for one in decisions] == [Refuse]

    def test_zone_out_waits_with_reason(self) -> None:
        """A refusal would lose a job that can run after the return."""
        driver = two_zones()
        driver.zone('z1', 'out')
        driver.zone('z2', 'out')
        (wait,) = driver.submit('j', spec())
        assert isinstance(wait, Wait) and 'z1' in wait.reason
        assert places(driver.zone('z2', 'in')) == {'j'}

    def test_queue_limit(self) -> None:
        """An account without limit would fill the memory of the leader."""
        driver = two_zones(max_queued=1, max_running=1)
        driver.submit('j1', spec())
        driver.submit('j2', spec())
        assert driver.scheduler.refusal(spec()).code == 'queue_full'
        assert isinstance(driver.submit('j3', spec())[0], Refuse)


class TestEnding:
    """Attempts that end lead to a truthful outcome or a further attempt."""

    def test_idempotent_job_is_retried(self) -> None:
        """A lost worker would otherwise end a job that can run again."""
        driver = two_zones()
        driver.run('j', spec())
        for attempt in (2, 3):
            driver.fail('j')
            assert driver.wait_for(Place, 'j').attempt == attempt
        (finish,) = driver.fail('j')
        assert isinstance(finish, Finish)
        assert finish.outcome is Outcome.OUTCOME_UNKNOWN and finish.ran

    def test_non_idempotent_job_runs_once(self) -> None:
        """A reorder batch that ran twice cost a client money."""
        driver = two_zones()
        driver.run('j', spec(idempotent=False))
        (finish,) = driver.fail('j')
        assert isinstance(finish, Finish)
        assert finish.outcome is Outcome.OUTCOME_UNKNOWN and finish.ran

    def test_non_idempotent_job_that_did_not_run(self) -> None:
        """A proof that nothing ran permits a further attempt."""
        driver = two_zones()
        driver.submit('j', spec(idempotent=False))
        driver.fail('j', nothing_ran=True)
        assert driver.wait_for(Place, 'j').attempt == 2

    def test_cancel_running_job(self) -> None:
        """Resources are held until the gang is known to have stopped."""
        driver = two_zones()
        driver.run('j', spec())
        assert stops(driver.send(JobCancelled(job=JobId('j')))) == {'j'}
        (finish,) = driver.fail('j')
        assert isinstance(finish, Finish)
        assert finish.outcome is Outcome.CANCELLED and finish.ran

    def test_deadline_in_queue(self) -> None:
        """A caller that no longer waits must learn that nothing ran."""
        driver = two_zones()
        driver.zone('z1', 'out')
        driver.zone('z2', 'out')
        driver.submit('j', spec(deadline_s=5))
        finish = driver.wait_for(Finish, 'j')
        assert finish.outcome is Outcome.NOT_RUN and not finish.ran

    def test_contradictions_are_counted(self) -> None:
        """A late report must not free the resources of another attempt."""
        driver = two_zones()
        driver.run('j', spec())
        driver.finish('j')
        driver.finish('j')
        driver.send(JobCancelled(job=JobId('j')))
        assert driver.scheduler.counters == {
            'stale_job_finished': 1,
            'stale_job_cancelled': 1,
        }


class TestZones:
    """Zones leave."""

    def test_gang_moves_whole(self) -> None:
        """A part of a gang left behind would break the whole."""
        driver = two_zones()
        driver.run('j', spec(members=2, size=8))
        left = used_zone(driver.placed['j'])
        driver.zone(left, 'out')
        driver.fail('j')
        assert driver.placed['j'].attempt == 2
        assert used_zone(driver.placed['j']) != left
