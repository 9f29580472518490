"""Which change of the agreement group comes next.

Everything here is pure: it looks at what the leader knows and names one
change, which the driver proposes with ``Agreement.propose_config``.
"""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet

from mangotrail._messages import ZoneState
from mangotrail._peer import GroupConfig, GroupMember, Identity
from mangotrail._struct import FrozenStruct
from mangotrail.errors import SettingsError
from mangotrail.ids import InstanceId, MemberId, ZoneId

MIN_DISK_ZONES = 3
# An evacuation leaves at least this many voters: with one voter, the loss of
# one disk would lose the log.
MIN_VOTERS = 2


class InstanceLocation(FrozenStruct, frozen=True, kw_only=True):
    """What the settings say of an instance."""

    instance: InstanceId
    zone: ZoneId
    has_disk: bool


class GroupView(FrozenStruct, frozen=True, kw_only=True):
    """What the leader knows about the group.

    :param config: newest configuration; it is committed.
    :param leader: the leader itself.
    :param joining: members outside the group that asked to join.
    :param caught_up: members that answer and hold almost the whole log.
    :param locations: all instances of the deployment.
    :param zones: state of the zones; one that is not named is in.
    """

    config: GroupConfig
    leader: MemberId
    joining: Mapping[InstanceId, MemberId]
    caught_up: AbstractSet[MemberId]
    locations: Mapping[InstanceId, InstanceLocation]
    zones: Mapping[ZoneId, ZoneState]

    @property
    def live_members(self) -> frozenset[MemberId]:
        """Members caught up, without those whose instance lost them.

        A lost identity still counts as answering shortly after its loss.
        """
        fresh = {
            learner.instance: learner.member for learner in self.config.learners
        }
        fresh.update(self.joining)
        lost = {
            voter.member
            for voter in self.config.voters
            if fresh.get(voter.instance, voter.member) != voter.member
        }
        return frozenset(self.caught_up) - lost

    def in_active_zone(self, member: GroupMember) -> bool:
        """Whether a member is in a zone that takes work."""
        location = self.locations.get(member.instance)
        if location is None:
            return True
        state = self.zones.get(location.zone, ZoneState.IN)
        return state is ZoneState.IN

    def may_vote(self, member: GroupMember) -> bool:
        """Whether a learner can become a voter."""
        location = self.locations.get(member.instance)
        return (
            location is not None
            and location.has_disk
            and self.in_active_zone(member)
            and member.member in self.live_members
        )

    def has_live_majority(self, voters: Iterable[GroupMember]) -> bool:
        """Whether a majority of the voters answers."""
        members = {voter.member for voter in voters}
        return len(members & self.live_members) * 2 > len(members)


def check_zone_redundancy(locations: Iterable[InstanceLocation]) -> None:
    """Check that the deployment can lose a zone.

    :raises SettingsError: with fewer than 3 disks in 3 zones.
    """
    zones = sorted({
        location.zone for location in locations if location.has_disk
    })
    if len(zones) < MIN_DISK_ZONES:
        raise SettingsError(
            'too few instances with disks for the loss of a zone',
            field='peers.has_disk',
            value=', '.join(zones) or 'no disks',
            allowed=f'disks in at least {MIN_DISK_ZONES} zones',
            remedy='give disks to instances in more zones',
        )


def founding_identity(*, deployment: str, instance: InstanceId) -> Identity:
    """Return the identity of a founding voter; to be written only once."""
    return Identity(
        format_version=1,
        deployment=deployment,
        instance=instance,
        member=founding_member(instance),
        founding=True,
    )


def founding_member(instance: InstanceId) -> MemberId:
    """Return the member id of a founding voter, which all members know."""
    return MemberId(f'founding-{instance}')


def founding_config(locations: Iterable[InstanceLocation]) -> GroupConfig:
    """Return the configuration that founding members start with."""
    voters = [
        GroupMember(
            member=founding_member(location.instance),
            instance=location.instance,
        )
        for location in sorted(
            locations, key=lambda location: location.instance
        )
        if location.has_disk
    ]
    return GroupConfig(voters=tuple(voters), learners=())


def next_config(view: GroupView) -> GroupConfig | None:
    """Return the configuration to propose next, None if all is well."""
    for step in (admit_learners, remove_lost, promote, evacuate):
        config = step(view)
        if config is not None:
            return config
    return None


def transfer_target(view: GroupView) -> MemberId | None:
    """Return who takes over from a leader in a zone that is not in."""
    leaders = [
        voter
        for voter in view.config.voters
        if voter.member == view.leader and not view.in_active_zone(voter)
    ]
    targets = [
        voter.member
        for voter in view.config.voters
        if voter.member in view.live_members and view.in_active_zone(voter)
    ]
    return min(targets) if leaders and targets else None


def admit_learners(view: GroupView) -> GroupConfig | None:
    """Add members that ask to join, in place of older learners there."""
    held = {
        named.member for named in (*view.config.voters, *view.config.learners)
    }
    joining = [
        GroupMember(member=member, instance=instance)
        for instance, member in sorted(view.joining.items())
        if instance in view.locations and member not in held
    ]
    if not joining:
        return None
    replaced = {member.instance for member in joining}
    kept = [
        learner
        for learner in view.config.learners
        if learner.instance not in replaced
    ]
    return GroupConfig(voters=view.config.voters, learners=(*kept, *joining))


def remove_lost(view: GroupView) -> GroupConfig | None:
    """Remove a voter whose instance came back with a fresh identity."""
    fresh = {
        learner.instance
        for learner in view.config.learners
        if view.may_vote(learner)
    }
    for voter in view.config.voters:
        if voter.instance in fresh and voter.member != view.leader:
            config = without_voter(view, voter)
            if config is not None:
                return config
    return None


def promote(view: GroupView) -> GroupConfig | None:
    """Make a voter of a learner that has a disk and caught up."""
    voting = {voter.instance for voter in view.config.voters}
    for learner in view.config.learners:
        voters = (*view.config.voters, learner)
        if (
            learner.instance not in voting
            and view.may_vote(learner)
            and view.has_live_majority(voters)
        ):
            learners = [
                other for other in view.config.learners if other != learner
            ]
            return GroupConfig(voters=voters, learners=tuple(learners))
    return None


def evacuate(view: GroupView) -> GroupConfig | None:
    """Make a learner of a voter in a zone that is not in.

    It keeps receiving the log, so that it returns soon after its zone does.
    """
    leaving = [
        voter
        for voter in view.config.voters
        if not view.in_active_zone(voter) and voter.member != view.leader
    ]
    # Voters that do not answer first: the rest then holds a larger majority.
    leaving.sort(key=lambda voter: voter.member in view.live_members)
    for voter in leaving:
        config = without_voter(view, voter, keep=True)
        if config is not None:
            return config
    return None


def without_voter(
    view: GroupView, voter: GroupMember, *, keep: bool = False
) -> GroupConfig | None:
    """Return the configuration without a voter, None if it is unsafe.

    :param keep: whether it stays a learner, unless a fresh identity of its
        instance is one.
    """
    voters = tuple(other for other in view.config.voters if other != voter)
    if len(voters) < MIN_VOTERS or not view.has_live_majority(voters):
        return None
    learners = tuple(view.config.learners)
    if keep and all(held.instance != voter.instance for held in learners):
        learners = (*learners, voter)
    return GroupConfig(voters=voters, learners=learners)
