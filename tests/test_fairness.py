"""Guards the limits and the order in which accounts are served."""

from mangotrail._jobs import Job
from mangotrail.fairness import AGEING_S, LONGEST_AGEING_S, AccountQueue
from mangotrail.ids import JobId
from tests.core_events import (
    Driver,
    account,
    cells,
    make_bundle,
    places,
    spec,
    zone_spec,
)


def one_worker(*accounts: object, accelerators: int = 4) -> Driver:
    """Build a single worker."""
    zones = [zone_spec('z', (1, accelerators))]
    return Driver(make_bundle(zones, accounts))


def active(driver: Driver) -> list[str]:
    """Return the jobs that hold resources, oldest placement first."""
    jobs = driver.scheduler.core.jobs
    return [name for name in driver.placed if name in jobs]


class TestOrder:
    """Which waiting job gets freed capacity."""

    def test_account_with_less_usage_first(self) -> None:
        """One busy account would otherwise keep all capacity."""
        driver = one_worker(account('a'), account('b'))
        for name in ('a1', 'a2', 'a3', 'a4', 'a5'):
            driver.submit(name, spec('a'))
        driver.submit('b1', spec('b'))
        driver.start('a1')
        assert places(driver.finish('a1')) == {'b1'}

    def test_weight(self) -> None:
        """The share of an account follows its weight."""
        driver = one_worker(account('a'), account('b', weight=3))
        for number in range(12):
            driver.submit(f'a{number}', spec('a'))
            driver.submit(f'b{number}', spec('b'))
        for _ in range(8):
            driver.finish(active(driver)[0])
        assert [name[0] for name in active(driver)].count('b') == 3

    def test_ageing(self) -> None:
        """A job of a busy account must not wait for ever."""
        shares = one_worker(account('a'), account('b')).scheduler.core.shares
        old, young = (
            Job(job=JobId('j'), spec=spec(), submitted_s=submitted_s)
            for submitted_s in (0, 4 * AGEING_S)
        )
        shares.accounts['a'].charged_accelerators = 4
        busy, idle = shares.accounts['a'], shares.accounts['b']
        now_s = 4 * AGEING_S
        assert shares.priority(busy, old, now_s) < shares.priority(
            idle, young, now_s
        )
        assert shares.priority(busy, young, now_s) > shares.priority(
            idle, young, now_s
        )

    def test_short_work_ages_faster(self) -> None:
        """Short jobs behind long ones would wait many times their length."""
        shares = one_worker(account('a')).scheduler.core.shares
        long, short = (
            Job(job=JobId('j'), spec=spec(), submitted_s=submitted_s)
            for submitted_s in (0, 100)
        )
        long.runtime_class, short.runtime_class = 13, 6
        queue = shares.accounts['a']
        assert shares.priority(queue, short, 200) < shares.priority(
            queue, long, 200
        )
        assert shares.priority(queue, short, 200) > shares.priority(
            queue, long, LONGEST_AGEING_S * 2
        )

    def test_urgent_first(self) -> None:
        """Urgent work must not queue behind other work."""
        driver = one_worker(account('a'), account('b'), accelerators=1)
        driver.run('a1', spec('a', preemptible=False))
        driver.submit('b1', spec('b'))
        driver.submit('a2', spec('a', urgent=True))
        assert places(driver.finish('a1')) == {'a2'}

    def test_guarantee_before_share(self) -> None:
        """An account gets its guarantee however much others are owed."""
        shares = one_worker(
            account('a', cells('worker', 2)), account('b')
        ).scheduler.core.shares
        old, young = (
            Job(job=JobId('j'), spec=spec(size=2), submitted_s=submitted_s)
            for submitted_s in (0, AGEING_S)
        )
        owner, other = shares.accounts['a'], shares.accounts['b']
        before = shares.priority(other, old, AGEING_S)
        assert shares.priority(owner, young, AGEING_S) < before
        owner.held_accelerators = 1
        assert shares.priority(owner, young, AGEING_S) > before


class TestLimits:
    """Limits of an account."""

    def test_max_running(self) -> None:
        """One account must not exceed the jobs it may run."""
        driver = one_worker(account('a', max_running=1))
        driver.submit('a1', spec('a'))
        driver.submit('a2', spec('a'))
        assert 'a2' not in driver.placed
        assert places(driver.finish('a1')) == {'a2'}

    def test_retry_budget(self) -> None:
        """Retries of many failing jobs would crowd out first attempts."""
        queue = AccountQueue(account('a'))
        queue.retries = 10
        assert not queue.may_retry()
        queue.requests = 101
        assert queue.may_retry()
