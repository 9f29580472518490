"""Guards against groups that found twice, shrink or cannot vote any more."""

from pathlib import Path

import msgspec

from mangotrail._peer import GroupConfig, GroupMember
from mangotrail.graphs.group import (
    GroupHealth,
    load_founders,
    next_group_config,
)
from mangotrail.ids import InstanceId, MemberId
from tests.graph_fakes import SETTINGS

SIZE = 5


def member(name: str, *, life: int = 0) -> GroupMember:
    """Return an identity of an instance."""
    return GroupMember(
        member=MemberId(f'{name}-{life}'), instance=InstanceId(name)
    )


def health(
    voters: str,
    learners: tuple[GroupMember, ...] = (),
    *,
    away: str = '',
    joining: tuple[GroupMember, ...] = (),
    silent: str = '',
) -> GroupHealth:
    """Return a group led by the first voter; ``away`` do not answer."""
    members = tuple(member(name) for name in voters)
    return GroupHealth(
        config=GroupConfig(voters=members, learners=learners),
        leader=members[0].member,
        joining={held.instance: held.member for held in joining},
        caught_up={
            held.member
            for held in (*members, *learners)
            if held.instance not in away
            or held.member != member(held.instance).member
        },
        silent={member(name).member for name in silent},
        size=SIZE,
    )


def settled(start: GroupHealth) -> GroupConfig:
    """Apply one change after the other until none is due."""
    held = start
    for _ in range(20):
        config = next_group_config(held)
        if config is None:
            return held.config
        known = {named.member for named in config.learners}
        held = msgspec.structs.replace(
            held, config=config, caught_up=held.caught_up | known
        )
    raise AssertionError('the group never settles')


class TestGrowth:
    """Voters of the group."""

    def test_founders_grow(self) -> None:
        """Three founders take in two more, and no sixth voter."""
        joining = tuple(member(name) for name in 'def')
        config = settled(health('abc', joining=joining))
        assert {voter.instance for voter in config.voters} == set('abcde')
        assert [learner.instance for learner in config.learners] == ['f']

    def test_lost_disk(self) -> None:
        """A fresh identity takes the place of its instance's old one."""
        fresh = member('c', life=1)
        config = settled(health('abcde', away='c', joining=(fresh,)))
        assert len(config.voters) == SIZE
        assert fresh in config.voters
        assert not config.learners

    def test_two_lost_disks(self) -> None:
        """One is replaced whole before the next one is touched."""
        fresh = (member('d', life=1), member('e', life=1))
        held = health('abcde', away='de', joining=fresh)
        sizes = []
        for _ in range(10):
            config = next_group_config(held)
            if config is None:
                break
            sizes.append(len(config.voters))
            known = {named.member for named in config.learners}
            held = msgspec.structs.replace(
                held, config=config, caught_up=held.caught_up | known
            )
        assert min(sizes) == SIZE - 1
        assert set(fresh) <= set(held.config.voters)

    def test_replaced_instance(self) -> None:
        """A spare takes over from a voter that is gone for good."""
        config = settled(
            health('abcde', joining=(member('f'),), away='e', silent='e')
        )
        assert {voter.instance for voter in config.voters} == set('abcdf')

    def test_silent_without_a_spare(self) -> None:
        """A silent voter stays while nobody can take its place."""
        assert next_group_config(health('abcde', away='e', silent='e')) is None

    def test_unsafe_removal(self) -> None:
        """A voter stays if the rest could not commit its removal."""
        fresh = member('e', life=1)
        held = health('abcde', (fresh,), away='cde')
        assert next_group_config(held) is None


class TestFounding:
    """The first start."""

    def test_founders_are_kept(self, tmp_path: Path) -> None:
        """Seeds that change later do not change who founded the group."""
        founding = msgspec.structs.replace(SETTINGS, founding=True)
        assert load_founders(tmp_path, founding) == founding.seeds
        later = msgspec.structs.replace(
            founding, seeds=(InstanceId('10.0.0.9:1'),)
        )
        assert load_founders(tmp_path, later) == founding.seeds

    def test_lost_disk_does_not_found(self, tmp_path: Path) -> None:
        """A founder that comes back empty founds no second group."""
        again = msgspec.structs.replace(SETTINGS, founding=False)
        assert load_founders(tmp_path, again) == ()

    def test_others_do_not_found(self, tmp_path: Path) -> None:
        """An instance that is no seed founds nothing."""
        other = msgspec.structs.replace(
            SETTINGS, founding=True, address=InstanceId('10.0.0.9:1')
        )
        assert load_founders(tmp_path, other) == ()
