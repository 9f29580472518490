"""Guards against blaming workers for jobs and jobs for workers."""

from mangotrail.estimates import JobKind
from mangotrail.events import Place, Quarantine, Release
from mangotrail.health import PROBE_INITIAL_DELAY_S, Health
from mangotrail.ids import AccountId, JobId, WorkerId
from tests.core_events import Driver, account, make_bundle, spec, zone_spec

KIND = JobKind(AccountId('a'), 'k')
OTHER = JobKind(AccountId('b'), 'k')


def failures(*pairs: tuple[str, str, JobKind]) -> Health:
    """Take in failures of jobs on workers."""
    health = Health()
    for worker, job, kind in pairs:
        health.record_failure(WorkerId(worker), JobId(job), kind)
    return health


class TestEvidence:
    """Failures of distinct pairs of worker and job."""

    def test_bad_worker(self) -> None:
        """A worker that fails every task would use up all attempts."""
        health = failures(
            ('w', 'j1', KIND), ('w', 'j2', KIND), ('w', 'j3', OTHER)
        )
        assert health.is_bad(WorkerId('w'))

    def test_one_job_failing_often(self) -> None:
        """One bad job must not take a worker out."""
        assert not failures(*[('w', 'j1', KIND)] * 9).is_bad(WorkerId('w'))

    def test_bad_kind(self) -> None:
        """A kind that fails everywhere must not empty the fleet."""
        pairs = [
            (worker, f'{worker}{number}', KIND)
            for worker in ('w1', 'w2', 'w3')
            for number in range(5)
        ]
        health = failures(*pairs)
        assert not any(health.is_bad(WorkerId(w)) for w in ('w1', 'w2', 'w3'))

    def test_bad_job(self) -> None:
        """A job that fails on several workers says nothing about them."""
        pairs = [('w', f'j{number}', KIND) for number in range(3)]
        health = failures(*pairs, ('other', 'j0', KIND))
        assert not health.is_bad(WorkerId('w'))

    def test_success_clears(self) -> None:
        """Rare failures over weeks must not add up."""
        health = failures(('w', 'j1', KIND), ('w', 'j2', OTHER))
        health.record_success(WorkerId('w'), KIND)
        health.record_failure(WorkerId('w'), JobId('j3'), KIND)
        assert not health.is_bad(WorkerId('w'))


def fail_on_one_worker(driver: Driver, jobs: int) -> list:
    """Let the platform blame one worker for the failure of several jobs."""
    decisions = []
    for number in range(jobs):
        name = f'j{number}'
        driver.run(name, spec('a', job_kind=f'k{number}'))
        decisions += driver.fail(name, worker='z-0-0')
    return [one for one in decisions if isinstance(one, Quarantine)]


class TestQuarantine:
    """Workers in quarantine."""

    def build(self, percent: int = 20) -> Driver:
        """Build six workers."""
        zones = [zone_spec('z', (6, 1), slots=1)]
        return Driver(
            make_bundle(zones, [account('a')], max_quarantine_percent=percent)
        )

    def test_slow_probe_and_release(self) -> None:
        """A worker that works again must come back, but not at once."""
        driver = self.build()
        (bad,) = fail_on_one_worker(driver, 3)
        driver.tick(30)
        for name in ('p0', 'p1', 'p2', 'p3', 'p4', 'p5'):
            driver.submit(name, spec('a'))
        used = {
            one.worker
            for place in driver.placed.values()
            if place.job[0] == 'p'
            for one in place.placement.members
        }
        assert bad.worker not in used
        (place,) = [
            one
            for one in driver.tick(PROBE_INITIAL_DELAY_S)
            if isinstance(one, Place)
        ]
        assert place.placement.members[0].worker == bad.worker
        driver.start(place.job)
        released = driver.finish(place.job)
        assert Release(worker=bad.worker) in released

    def test_retry_on_another_worker(self) -> None:
        """A bad worker would otherwise use up all attempts of a job."""
        driver = Driver(
            make_bundle([zone_spec('z', (1, 1), (1, 2))], [account('a')])
        )
        driver.run('j', spec('a'))
        (member,) = driver.placed['j'].placement.members
        driver.fail('j', worker=member.worker)
        (retried,) = driver.wait_for(Place, 'j').placement.members
        assert retried.worker != member.worker

    def test_cap(self) -> None:
        """Quarantining too many workers would stop the fleet."""
        assert not fail_on_one_worker(self.build(percent=16), 3)
