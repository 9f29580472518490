"""Guards against voter changes that lose the log or stop the group."""

import pytest

from mangotrail.errors import SettingsError
from mangotrail.ids import InstanceId, ZoneId
from mangotrail.membership import InstancePlace, check_places


def places(*zones: str, diskless: int = 0) -> list[InstancePlace]:
    return [
        InstancePlace(
            instance=InstanceId(f'i{number}'),
            zone=ZoneId(zone),
            has_disk=number >= diskless,
        )
        for number, zone in enumerate(zones)
    ]


class TestCheckPlaces:
    """The check of the settings at start."""

    def test_few_zones(self) -> None:
        """Disks in two zones cannot survive the loss of either."""
        check_places(places('a', 'b', 'c'))
        with pytest.raises(SettingsError):
            check_places(places('a', 'b', 'b'))
        with pytest.raises(SettingsError):
            check_places(places('c', 'a', 'b', diskless=1))
