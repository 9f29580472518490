"""Guards against decisions on declared run times and unthrottled usage."""

from mangotrail._messages import TaskUsage
from mangotrail.estimates import (
    MIN_SAMPLES,
    UNKNOWN_RUNTIME_S,
    Estimates,
    JobKind,
)
from mangotrail.events import Throttle, UsageReported
from mangotrail.ids import AccountId, JobId
from tests.core_events import Driver, account, make_bundle, spec, zone_spec

KIND = JobKind(AccountId('a'), 'k')


def learned(*runtimes_s: float) -> Estimates:
    """Return estimates with run times of one kind."""
    estimates = Estimates()
    for runtime_s in runtimes_s:
        estimates.record_runtime(KIND, runtime_s)
    return estimates


class TestRunTimes:
    """Learned run times."""

    def test_few_samples_say_nothing(self) -> None:
        """A few short samples must not let long jobs delay a reservation."""
        estimates = learned(*[1] * (MIN_SAMPLES - 1))
        assert estimates.max_runtime_s(KIND) is None
        assert estimates.remaining_s(KIND, 0) == UNKNOWN_RUNTIME_S

    def test_longest_counts(self) -> None:
        """The maximum counts, because half of the jobs exceed the mean."""
        assert learned(1, 2, 3, 4, 50).max_runtime_s(KIND) == 50

    def test_overdue_job(self) -> None:
        """A job that outlives all samples must not be expected to end now."""
        assert learned(*[10] * MIN_SAMPLES).remaining_s(KIND, 40) == 20


class TestThrottle:
    """Throttling of usage above the size of a job."""

    def build(self) -> Driver:
        """Run one job on half of a worker with 32 cores."""
        driver = Driver(make_bundle([zone_spec('z', (1, 8))], [account('a')]))
        driver.run('j', spec('a', size=4))
        return driver

    def report(self, driver: Driver, cores: float, measured_s: float) -> list:
        """Report the usage of the job."""
        usage = TaskUsage(
            job=JobId('j'), attempt=1, measured_s=measured_s, cores=cores
        )
        return driver.send(UsageReported(usage=[usage]))

    def test_excess_is_throttled_once_for_each_effect(self) -> None:
        """Delayed reports must not throttle a job repeatedly."""
        driver = self.build()
        assert not self.report(driver, 16, 5)
        driver.tick(20)
        throttle = Throttle(job=JobId('j'), attempt=1, share=1)
        assert self.report(driver, 32, 20) == [throttle]
        assert not self.report(driver, 32, 20)
        (again,) = self.report(driver, 32, 60)
        assert again.share == 0.5

    def test_known_kind_is_throttled_at_start(self) -> None:
        """Known excess must be throttled before it slows other jobs."""
        driver = self.build()
        for measured_s in range(MIN_SAMPLES):
            self.report(driver, 32, measured_s)
        driver.submit('j2', spec('a', size=4))
        assert Throttle(job=JobId('j2'), attempt=1, share=1) in driver.start(
            'j2'
        )

    def test_late_report_is_counted(self) -> None:
        """Usage of an attempt that ended must be ignored and counted."""
        driver = self.build()
        driver.finish('j')
        assert not self.report(driver, 32, 20)
        assert driver.scheduler.counters == {'late_usage': 1}
