"""Guards against groups that are founded twice, shrink or lose their quorum."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from mangotrail._peer import GroupConfig, GroupMember
from mangotrail.graphs.group import (
    GraphReplica,
    GroupHealth,
    load_founders,
    next_group_config,
)
from mangotrail.ids import InstanceId, MemberId
from tests.graph_fakes import SETTINGS
from tests.test_log_replica import Group, Member
from tests.virtual_time import run_virtual

SIZE = 5
# The least time after which the successor of a lost instance has to count.
CATCH_UP_S = 4.0
# Time after which the group serves again.
RECOVERY_S = 12.0


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
    """Return a group led by its first voter.

    :param away: names of members that do not answer.
    """
    members = tuple(member(name) for name in voters)
    return GroupHealth(
        config=GroupConfig(voters=members, learners=learners),
        leader=members[0].member,
        joining={
            group_member.instance: group_member.member
            for group_member in joining
        },
        caught_up={
            group_member.member
            for group_member in (*members, *learners)
            if group_member.instance not in away
            or group_member.member != member(group_member.instance).member
        },
        silent={member(name).member for name in silent},
        size=SIZE,
    )


def settled(start: GroupHealth) -> GroupConfig:
    """Apply membership changes until none is due."""
    current = start
    for _ in range(20):
        config = next_group_config(current)
        if config is None:
            return current.config
        known = {learner.member for learner in config.learners}
        current = msgspec.structs.replace(
            current, config=config, caught_up=current.caught_up | known
        )
    raise AssertionError('no stable configuration after 20 changes')


class TestGrowth:
    """Voters of the group."""

    def test_founders_grow(self) -> None:
        """Three founders admit two more voters, and no sixth."""
        joining = tuple(member(name) for name in 'def')
        config = settled(health('abc', joining=joining))
        assert {voter.instance for voter in config.voters} == set('abcde')
        assert [learner.instance for learner in config.learners] == ['f']

    def test_lost_disk(self) -> None:
        """An instance's new identity replaces its old one."""
        fresh = member('c', life=1)
        config = settled(health('abcde', away='c', joining=(fresh,)))
        assert len(config.voters) == SIZE
        assert fresh in config.voters
        assert not config.learners

    def test_two_lost_disks(self) -> None:
        """Members are replaced one at a time."""
        fresh = (member('d', life=1), member('e', life=1))
        current = health('abcde', away='de', joining=fresh)
        sizes = []
        for _ in range(10):
            config = next_group_config(current)
            if config is None:
                break
            sizes.append(len(config.voters))
            known = {learner.member for learner in config.learners}
            current = msgspec.structs.replace(
                current, config=config, caught_up=current.caught_up | known
            )
        assert min(sizes) == SIZE - 1
        assert set(fresh) <= set(current.config.voters)

    def test_replaced_instance(self) -> None:
        """A spare replaces a voter that is permanently lost."""
        config = settled(
            health('abcde', joining=(member('f'),), away='e', silent='e')
        )
        assert {voter.instance for voter in config.voters} == set('abcdf')

    def test_silent_without_a_spare(self) -> None:
        """A silent voter stays while there is no spare."""
        assert next_group_config(health('abcde', away='e', silent='e')) is None

    def test_unsafe_removal(self) -> None:
        """A voter stays if the others could not commit its removal."""
        fresh = member('e', life=1)
        group_health = health('abcde', (fresh,), away='cde')
        assert next_group_config(group_health) is None


class GrowingMember(Member):
    """Member of a group that replaces its voters."""

    settings = msgspec.structs.replace(SETTINGS, voters=SIZE)

    def change_membership(self, now_s: float) -> None:
        """Propose the next change, as control instances do."""
        GraphReplica.change_membership(self, now_s)


class TestReplacedInstances:
    """Instances that are gone for good, with successors elsewhere."""

    @pytest.mark.parametrize('seed', range(6))
    @pytest.mark.parametrize('gone', [1, 2])
    @pytest.mark.parametrize('how', ['at once', 'planned'])
    def test_then_lost_disks(self, seed: int, gone: int, how: str) -> None:
        """The group bears two lost disks once the successors count.

        An instance that was replaced kept its vote for 8 s, so that two more
        losses left no majority, and nothing was ever served again.
        """
        group = Group(
            seed, members=SIZE, min_copies=3, member_type=GrowingMember
        )
        group.loss_rate = 0.0

        async def replace(name: InstanceId) -> None:
            if how == 'planned':
                group.start_empty(InstanceId(f'{name}-successor'))
                await asyncio.sleep(1)
                # Its shutdown takes a second, in which it hands over.
                group.members[name].transfer_leadership()
                await asyncio.sleep(1)
                await group.crash(name)
                await asyncio.sleep(CATCH_UP_S - 2)
            else:
                await group.crash(name)
                await asyncio.sleep(1)
                group.start_empty(InstanceId(f'{name}-successor'))
                await asyncio.sleep(CATCH_UP_S)

        async def scenario() -> float:
            for name in group.names:
                group.start(name)
            await asyncio.sleep(5)
            # The leader is among those that are gone in half of the seeds.
            leader = group.leaders()[0].name
            others = [name for name in group.names if name != leader]
            order = [leader, *others] if seed % 2 else [*others, leader]
            await asyncio.gather(*[replace(name) for name in order[:gone]])
            await group.propose_until_done(b'kept')
            for name in order[gone : gone + 2]:
                await group.crash(name)
            await asyncio.sleep(1)
            for name in order[gone : gone + 2]:
                group.start_empty(name)
            async with asyncio.timeout(RECOVERY_S):
                return await group.propose_until_done(b'later')

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, 'to_thread', group.to_thread)
            run_virtual(scenario(), group.loop)
        assert group.leaders()[0].applied == [b'kept', b'later']


class TestFounding:
    """Founding of a group at the first start."""

    def test_founders_are_kept(self, tmp_path: Path) -> None:
        """A later change of the seeds does not change the founders."""
        founding = msgspec.structs.replace(SETTINGS, founding=True)
        assert load_founders(tmp_path, founding) == founding.seeds
        later = msgspec.structs.replace(
            founding, seeds=(InstanceId('10.0.0.9:1'),)
        )
        assert load_founders(tmp_path, later) == founding.seeds

    def test_lost_disk_does_not_found(self, tmp_path: Path) -> None:
        """A founder that has lost its disk does not found a second group."""
        again = msgspec.structs.replace(SETTINGS, founding=False)
        assert load_founders(tmp_path, again) == ()

    def test_others_do_not_found(self, tmp_path: Path) -> None:
        """An instance that is not a seed does not found a group."""
        other = msgspec.structs.replace(
            SETTINGS, founding=True, address=InstanceId('10.0.0.9:1')
        )
        assert load_founders(tmp_path, other) == ()
