"""Renewal of leases against the platform stand-in."""

from mangotrail._http_client import HttpClient
from mangotrail.clock import ManualClock
from mangotrail.pacing import ByteCounts
from mangotrail.platform import PlatformClient
from mangotrail.renewal import LeaseRenewer
from tests.conftest import until


def make_renewals(clock: ManualClock) -> LeaseRenewer:
    """Return renewals whose platform cannot be reached."""
    return LeaseRenewer(
        platform=PlatformClient(http=HttpClient(counts=ByteCounts())),
        clock=clock,
        lease_s=15,
        renew_s=0.02,
    )


class TestUnreachablePlatform:
    async def test_lease_is_lost_only_after_its_life(self) -> None:
        """Guards against giving up early, and against never giving up."""
        clock = ManualClock(now_s=100)
        renewals = make_renewals(clock)
        held = renewals.hold('http://127.0.0.1:1', 'j.1', renewed_at_s=100)
        clock.advance(14.9)
        assert not await renewals.renew('http://127.0.0.1:1', (held,))
        assert not held.lost.is_set()
        clock.advance(0.1)
        await until(held.lost.is_set)
        assert held.reason == 'lease could not be renewed'
        renewals.close()

    async def test_released_zone_is_not_renewed(self) -> None:
        """Guards against calls to a zone in which nothing runs."""
        renewals = make_renewals(ManualClock())
        renewals.hold('http://127.0.0.1:1', 'j.1', renewed_at_s=0)
        renewals.release('http://127.0.0.1:1', 'j.1')
        assert not renewals.zone_tasks
