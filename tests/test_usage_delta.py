"""Guards what the leader learns of the usage of running attempts."""

from mangotrail._messages import TaskUsage
from mangotrail._usage_delta import REFRESH_S, UsageDelta
from mangotrail.ids import JobId


def make_usage(cores: float) -> TaskUsage:
    """Return a row of one attempt."""
    return TaskUsage(job=JobId('j1'), attempt=1, measured_s=5, cores=cores)


class TestUsageDelta:
    """Rows that a control process passes on."""

    def test_same_usage(self) -> None:
        """Equal rows each poll took twice the byte budget of a leader."""
        delta = UsageDelta()
        delta.mark_reported(delta.select([make_usage(4)], term=1, now_s=0), 0)
        assert not delta.select([make_usage(4.1)], term=1, now_s=2)
        assert delta.select([make_usage(4)], term=1, now_s=REFRESH_S)

    def test_changed_usage(self) -> None:
        """A change that is not passed on would hide an overload."""
        delta = UsageDelta()
        delta.mark_reported([make_usage(4)], 0)
        delta.select([], term=0, now_s=0)
        assert delta.select([make_usage(5)], term=0, now_s=2)

    def test_new_leader(self) -> None:
        """A new leader knows nothing that the last one was told."""
        delta = UsageDelta()
        delta.mark_reported(delta.select([make_usage(4)], term=1, now_s=0), 0)
        assert delta.select([make_usage(4)], term=2, now_s=2)

    def test_refused(self) -> None:
        """Rows that the leader did not accept must be passed on again."""
        delta = UsageDelta()
        delta.select([make_usage(4)], term=1, now_s=0)
        assert delta.select([make_usage(4)], term=1, now_s=2)
