"""Guards against voter changes that lose the log or stop the group."""

from collections.abc import Iterable

import pytest

from mangotrail._messages import ZoneState
from mangotrail._peer import GroupConfig, GroupMember
from mangotrail.errors import SettingsError
from mangotrail.ids import InstanceId, MemberId, ZoneId
from mangotrail.membership import (
    GroupView,
    InstanceLocation,
    check_zone_redundancy,
    next_config,
    transfer_target,
)


def locations(*zones: str, diskless: int = 0) -> list[InstanceLocation]:
    """Return instances i0, i1, ..; the first ones have no disk."""
    return [
        InstanceLocation(
            instance=InstanceId(f'i{number}'),
            zone=ZoneId(zone),
            has_disk=number >= diskless,
        )
        for number, zone in enumerate(zones)
    ]


def named(names: str) -> tuple[GroupMember, ...]:
    """Return members from names like ``0 1 2x``; digits are instances."""
    return tuple(
        GroupMember(member=MemberId(name), instance=InstanceId(f'i{name[0]}'))
        for name in names.split()
    )


def view(
    voters: str,
    learners: str = '',
    *,
    zones: str = 'a b c a b',
    out: Iterable[str] = (),
    silent: str = '',
    joining: str = '',
    diskless: int = 0,
) -> GroupView:
    """Return what the leader 0 sees; all members answer but the silent."""
    answering = set(f'{voters} {learners}'.split()) - set(silent.split())
    return GroupView(
        config=GroupConfig(voters=named(voters), learners=named(learners)),
        leader=MemberId('0'),
        joining={member.instance: member.member for member in named(joining)},
        caught_up={MemberId(name) for name in answering},
        locations={
            place.instance: place
            for place in locations(*zones.split(), diskless=diskless)
        },
        zones={ZoneId(zone): ZoneState.DRAINING for zone in out},
    )


def steps(seen: GroupView) -> list[str]:
    """Return the configurations that follow each other, up to the last."""
    found: list[str] = []
    while config := next_config(seen):
        parts = (config.voters, config.learners)
        found.append(
            ' / '.join(
                ' '.join(member.member for member in part) for part in parts
            ).strip()
        )
        assert len(found) < 9, f'no end: {found}'
        seen = GroupView(
            config=config,
            leader=seen.leader,
            joining=seen.joining,
            caught_up=seen.caught_up,
            locations=seen.locations,
            zones=seen.zones,
        )
    return found


class TestCheckPlaces:
    """The check of the settings at start."""

    def test_few_zones(self) -> None:
        """Disks in two zones cannot survive the loss of either."""
        check_zone_redundancy(locations('a', 'b', 'c'))
        with pytest.raises(SettingsError):
            check_zone_redundancy(locations('a', 'b', 'b'))
        with pytest.raises(SettingsError):
            check_zone_redundancy(locations('c', 'a', 'b', diskless=1))


class TestNextConfig:
    """Sequences of changes."""

    @pytest.mark.parametrize(
        ('seen', 'expected'),
        [
            # Nothing to do; an old identity that asks late is a learner.
            (view('0 1 2'), []),
            (view('0 1 2', joining='1'), []),
            # A learner that came back replaces its earlier identity.
            (view('0 1 2', '3x', joining='3y'), ['0 1 2 / 3y']),
            # An instance that the settings do not name stays outside.
            (view('0 1 2', joining='9'), []),
            # A lost identity goes first, then the fresh one becomes voter.
            (view('0 1 2', '2x', silent='2'), ['0 1 / 2x', '0 1 2x /']),
            (view('0 1 2', '2x'), ['0 1 / 2x', '0 1 2x /']),
            # The fresh one has not caught up, or the others do not answer.
            (view('0 1 2', '2x', silent='2 2x'), []),
            (view('0 1 2', '2x', silent='1 2'), []),
            # Two voters are never reduced to one.
            (view('0 1', '1x', silent='1'), []),
            # A zone leaves, three disks: its voter stays as a learner.
            (view('0 1 2', zones='a b c', out='c'), ['0 1 / 2']),
            # Spares in other zones are promoted before a voter leaves.
            (
                view('0 1 2', '3', out='c'),
                ['0 1 2 3 /', '0 1 3 / 2'],
            ),
            # Voters that do not answer leave first.
            (
                view('0 1 2 3 4', zones='a b c a b', out='b', silent='4'),
                ['0 1 2 3 / 4', '0 2 3 / 4 1'],
            ),
            # Two zones leave: two voters stay.
            (view('0 1 2', zones='a b c', out='bc'), ['0 2 / 1']),
            # The rest could not commit the removal.
            (view('0 1 2', zones='a b c', out='c', silent='1'), []),
            # A voter that just lost its disk does not count.
            (
                view('0 1 2', joining='1x', zones='a b c', out='c'),
                ['0 1 2 / 1x'],
            ),
            # The leader hands over before it leaves.
            (view('0 1 2', zones='a b c', out='a'), []),
            # The zone returns: its learner becomes a voter again.
            (view('0 1', '2', zones='a b c'), ['0 1 2 /']),
            (view('0 1', '2', zones='a b c', silent='2'), []),
            # A learner without a disk never becomes a voter.
            (view('1 2 3', '0', diskless=1), []),
            # A learner in a zone that is out does not become a voter.
            (view('0 1', '2', zones='a b c', out='c'), []),
        ],
    )
    def test_steps(self, seen: GroupView, expected: list[str]) -> None:
        """A wrong order loses the majority or the log."""
        assert steps(seen) == expected


class TestTransferTarget:
    """The choice of a new leader."""

    def test_zone(self) -> None:
        """A leader in a zone that leaves would take the group with it."""
        assert transfer_target(view('0 1 2')) is None
        assert transfer_target(view('0 1 2', out='a', silent='1')) == '2'
        assert transfer_target(view('0 1 2', out='ab')) == '2'
        assert transfer_target(view('0 1 2', out='a', silent='1 2')) is None
