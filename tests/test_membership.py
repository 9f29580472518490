"""Tests of membership changes: none may lose the log or stop the group."""

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


def group_members(names: str) -> tuple[GroupMember, ...]:
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
    """Return the view of leader 0; all but the silent members answer."""
    answering = set(f'{voters} {learners}'.split()) - set(silent.split())
    return GroupView(
        config=GroupConfig(
            voters=group_members(voters), learners=group_members(learners)
        ),
        leader=MemberId('0'),
        joining={
            member.instance: member.member for member in group_members(joining)
        },
        caught_up={MemberId(name) for name in answering},
        locations={
            place.instance: place
            for place in locations(*zones.split(), diskless=diskless)
        },
        zones={ZoneId(zone): ZoneState.DRAINING for zone in out},
    )


def steps(group_view: GroupView) -> list[str]:
    """Return the sequence of proposed configurations."""
    found: list[str] = []
    while config := next_config(group_view):
        parts = (config.voters, config.learners)
        found.append(
            ' / '.join(
                ' '.join(member.member for member in part) for part in parts
            ).strip()
        )
        assert len(found) < 9, f'no end: {found}'
        group_view = GroupView(
            config=config,
            leader=group_view.leader,
            joining=group_view.joining,
            caught_up=group_view.caught_up,
            locations=group_view.locations,
            zones=group_view.zones,
        )
    return found


class TestCheckZoneRedundancy:
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
        ('group_view', 'expected'),
        [
            # Nothing to do; an existing member that asks to join is ignored.
            (view('0 1 2'), []),
            (view('0 1 2', joining='1'), []),
            # A learner that came back replaces its earlier identity.
            (view('0 1 2', '3x', joining='3y'), ['0 1 2 / 3y']),
            # An instance that is not in the settings is not admitted.
            (view('0 1 2', joining='9'), []),
            # The lost identity is removed, then the new one is promoted.
            (view('0 1 2', '2x', silent='2'), ['0 1 / 2x', '0 1 2x /']),
            (view('0 1 2', '2x'), ['0 1 / 2x', '0 1 2x /']),
            # The new one has not caught up, or the others do not answer.
            (view('0 1 2', '2x', silent='2 2x'), []),
            (view('0 1 2', '2x', silent='1 2'), []),
            # Two voters are never reduced to one.
            (view('0 1', '1x', silent='1'), []),
            # A zone is drained, three disks: its voter stays as a learner.
            (view('0 1 2', zones='a b c', out='c'), ['0 1 / 2']),
            # Learners in other zones are promoted before a voter is demoted.
            (
                view('0 1 2', '3', out='c'),
                ['0 1 2 3 /', '0 1 3 / 2'],
            ),
            # Voters that do not answer are demoted first.
            (
                view('0 1 2 3 4', zones='a b c a b', out='b', silent='4'),
                ['0 1 2 3 / 4', '0 2 3 / 4 1'],
            ),
            # Two zones are drained: two voters stay.
            (view('0 1 2', zones='a b c', out='bc'), ['0 2 / 1']),
            # The remaining voters could not commit the removal.
            (view('0 1 2', zones='a b c', out='c', silent='1'), []),
            # A voter that just lost its disk does not count.
            (
                view('0 1 2', joining='1x', zones='a b c', out='c'),
                ['0 1 2 / 1x'],
            ),
            # The leader is not demoted; it transfers its leadership first.
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
    def test_steps(self, group_view: GroupView, expected: list[str]) -> None:
        """The order of the changes must preserve a majority and the log."""
        assert steps(group_view) == expected


class TestTransferTarget:
    """The choice of a new leader."""

    def test_zone(self) -> None:
        """Leadership must move out of a zone that is drained."""
        assert transfer_target(view('0 1 2')) is None
        assert transfer_target(view('0 1 2', out='a', silent='1')) == '2'
        assert transfer_target(view('0 1 2', out='ab')) == '2'
        assert transfer_target(view('0 1 2', out='a', silent='1 2')) is None
