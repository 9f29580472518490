"""Tests of lease renewal with an unreachable platform."""

from mangotrail._http_client import HttpClient
from mangotrail.clock import ManualClock
from mangotrail.pacing import ByteCounts
from mangotrail.platform import PlatformClient
from mangotrail.renewal import LeaseRenewer
from tests.conftest import until


def make_renewer(clock: ManualClock) -> LeaseRenewer:
    """Return a lease renewer whose platform is unreachable."""
    return LeaseRenewer(
        platform=PlatformClient(http=HttpClient(counts=ByteCounts())),
        clock=clock,
        lease_s=15,
        renew_s=0.02,
    )


class TestUnreachablePlatform:
    async def test_lease_is_lost_only_after_its_life(self) -> None:
        """Guards against losing a lease too early or never."""
        clock = ManualClock(now_s=100)
        renewer = make_renewer(clock)
        held = renewer.hold('http://127.0.0.1:1', 'j.1', renewed_at_s=100)
        clock.advance(14.9)
        assert not await renewer.renew('http://127.0.0.1:1', (held,))
        assert not held.lost.is_set()
        clock.advance(0.1)
        await until(held.lost.is_set)
        assert held.reason == 'lease could not be renewed'
        renewer.close()

    async def test_released_zone_is_not_renewed(self) -> None:
        """Guards against renewal calls to a zone without leases."""
        renewer = make_renewer(ManualClock())
        renewer.hold('http://127.0.0.1:1', 'j.1', renewed_at_s=0)
        renewer.release('http://127.0.0.1:1', 'j.1')
        assert not renewer.zone_tasks
