"""Tests of the agreement: no forked or lost log entries, one leader a term."""

from collections.abc import Iterator
from zlib import crc32

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from mangotrail._effects import Effects, Role, Timing
from mangotrail._messages import ZoneState
from mangotrail._peer import (
    Append,
    AppendReply,
    EntryKind,
    GroupConfig,
    GroupMember,
    HardState,
    Join,
    LogEntry,
    SnapshotChunk,
    SnapshotMeta,
    VoteReply,
    VoteRequest,
)
from mangotrail.agreement import Agreement
from mangotrail.errors import MembershipError, SettingsError
from mangotrail.ids import InstanceId, MemberId, ZoneId
from tests.simulation import Simulation

INSTANCES = [InstanceId(f'i{number}') for number in range(5)]
FAULTS = (
    'crash',
    'restart',
    'lose_disk',
    'freeze',
    'cut',
    'cut_link',
    'heal',
    'lossy',
    'slow',
    'slow_disk',
    'clean',
    'zone_out',
    'zone_in',
    'fail_disk',
    'transfer',
    'propose',
)
PAUSES = (0.01, 0.1, 0.5, 1.3, 3)
steps = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 4),
        st.sampled_from(PAUSES),
    ),
    min_size=15,
    max_size=40,
)


def inject_fault(group: Simulation, fault: str, number: int) -> None:
    """Inject one fault."""
    instance = INSTANCES[number % len(group.nodes)]
    node = group.nodes[instance]
    match fault:
        case 'crash':
            group.crash(instance)
        case 'restart':
            group.restart(instance)
        case 'lose_disk':
            group.lose_disk(instance)
        case 'freeze':
            node.frozen_until_s = group.now_s + 0.7 * (1 + number)
        case 'cut':
            group.partitions[instance] = number + 1
        case 'cut_link':
            leader = group.leader() or node
            group.cut_links.add(frozenset([instance, leader.location.instance]))
        case 'heal':
            group.partitions = {}
            group.cut_links = set()
        case 'lossy':
            group.loss_rate, group.duplicate_rate = 0.1 * number, 0.1
        case 'slow':
            group.latency_s = 0.1 * (1 + number)
        case 'slow_disk':
            group.sync_s = 0.2 * number
        case 'clean':
            group.loss_rate = group.duplicate_rate = 0
            group.latency_s = group.sync_s = 0.01
        case 'zone_out':
            group.take_out(node.location.zone)
        case 'zone_in':
            group.zones[node.location.zone] = ZoneState.IN
        case 'fail_disk':
            group.fail_disk(node)
        case 'transfer':
            group.transfer()
        case _:
            group.propose_burst(1 + 300 * (number == 4))


@pytest.fixture(autouse=True, scope='module')
def small_snapshots() -> Iterator[None]:
    """Lower the snapshot limits so that short runs need snapshots."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr('mangotrail._member.SNAPSHOT_ENTRIES', 15)
        patch.setattr('mangotrail._replicated_log.TRAILING_ENTRIES', 3)
        patch.setattr('tests.simulation.CHUNK_BYTES', 40)
        yield


class TestFaults:
    """Groups under random faults, then without faults."""

    @settings(
        derandomize=True,
        max_examples=200,
        deadline=None,
        # Shrinking a plan takes minutes, and the seed reproduces it anyway.
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
    @given(seed=st.integers(0, 1 << 30), disks=st.integers(3, 5), plan=steps)
    def test_random(
        self, seed: int, disks: int, plan: list[tuple[str, int, float]]
    ) -> None:
        """No mix of faults may fork the log or stop it permanently."""
        group = Simulation(seed, disks=disks, diskless=min(1, 5 - disks))
        group.run(2)
        for fault, number, pause_s in plan:
            inject_fault(group, fault, number)
            group.propose_burst(1)
            group.run(pause_s)
        group.recover()


class TestGroup:
    """A group with few faults, each at a chosen moment."""

    def test_first_leader(self) -> None:
        """A new group must be complete within 4 s."""
        group = Simulation(1)
        group.run_until(group.is_healthy, 4)
        node = group.leader()
        assert not node.agreement.joining(group.clock_s(node))

    @pytest.mark.parametrize('seed', range(20))
    def test_successor(self, seed: int) -> None:
        """A crashed leader must be replaced within 4 s."""
        group = Simulation(seed)
        group.run_until(group.is_healthy, 4)
        group.crash(group.leader().location.instance)
        group.run_until(lambda: group.leader() is not None, 4)

    def all_confirmed(self, group: Simulation) -> bool:
        """Whether the leader knows where each log matches its own."""
        node = group.leader()
        replication = node.agreement.replication if node else None
        return replication is not None and not any(
            peer.probing for peer in replication.peers.values()
        )

    def test_group_commit(self) -> None:
        """Commands share a message; one each would cost a sync each."""
        group = Simulation(2)
        group.run_until(group.is_healthy, 4)
        # A learner that was just added gets one batch at a time until it has
        # confirmed the first.
        group.run_until(lambda: self.all_confirmed(group), 4)
        node = group.leader()
        group.propose_burst(20)
        effects = node.agreement.tick(group.clock_s(node))
        appends = [
            out.message for out in effects.messages if out.message.entries
        ]
        assert [len(message.entries) for message in appends] == [20] * 3
        group.execute_effects(node, effects)
        group.recover()
        assert len(group.reference) == 21
        # The log is compacted.
        assert all(
            node.agreement.log.base_index for node in group.nodes.values()
        )

    def test_return_from_partition(self) -> None:
        """A voter that returns from a partition must not depose the leader."""
        group = Simulation(3)
        group.run_until(group.is_healthy, 4)
        leader = group.leader()
        isolated = next(node for node in group.nodes.values() if node != leader)
        group.partitions[isolated.location.instance] = 1
        group.run(10)
        group.partitions = {}
        group.run(5)
        assert len(group.leaders) == 1

    def test_leader_cut_off(self) -> None:
        """Authority without a majority must end before the successor's."""
        group = Simulation(4)
        group.run_until(group.is_healthy, 4)
        old = group.leader()
        group.partitions[old.location.instance] = 1
        group.run(1.1)
        assert group.leader() is None
        group.run(3)
        assert group.leader() not in {None, old}
        # The old leader steps down, so that its callers turn elsewhere.
        assert old.agreement.role is not Role.LEADER

    def test_transfer(self) -> None:
        """A transfer is faster than an election, with a single authority."""
        group = Simulation(5)
        group.run_until(group.is_healthy, 4)
        old = group.leader()
        group.transfer()
        assert not old.agreement.has_authority(group.clock_s(old))
        group.run_until(lambda: group.leader() not in {None, old}, 0.5)
        new = group.leader()
        group.propose_burst(1)
        group.transfer()
        assert new.agreement.has_authority(group.clock_s(new)), 'too early'
        group.run_until(lambda: group.leader() not in {None, new}, 0.5)

    def test_failed_transfer(self) -> None:
        """A transfer to a crashed voter must not leave a powerless leader."""
        group = Simulation(5)
        group.run_until(group.is_healthy, 4)
        old = group.leader()
        group.transfer()
        group.crash(InstanceId(old.agreement.transfer_member[-2:]))
        group.run_until(lambda: group.leader() is None, 1)
        group.run_until(lambda: group.leader() is not None, 6)

    def test_conflicting_tail(self) -> None:
        """A long uncommitted tail of an old leader must be replaced."""
        group = Simulation(7)
        group.run_until(group.is_healthy, 4)
        old = group.leader()
        group.partitions[old.location.instance] = 1
        for _ in range(8):
            old.agreement.propose(b'lost', group.clock_s(old))
        group.run_until(lambda: group.leader() not in {None, old}, 5)
        group.propose_burst(12)
        group.run(1)
        group.transfer()
        group.run(1)
        group.recover()
        assert b'lost' not in group.reference

    def test_failed_disk(self) -> None:
        """A member that cannot sync must neither lead nor vote."""
        group = Simulation(6)
        group.run_until(group.is_healthy, 4)
        old = group.leader()
        group.fail_disk(old)
        now_s = group.clock_s(old) + 10
        for message in (
            append_message(to=old.member, term=99),
            vote_request(to=old.member, term=100),
        ):
            effects = old.agreement.receive(message, now_s)
            assert not effects.messages
            assert effects.role is Role.STOPPED
        assert not old.agreement.tick(now_s).messages
        group.run_until(lambda: group.leader() is not None, 4)


class TestZones:
    """The table of zone losses in docs/design.md, in simulated time."""

    def commit(self, group: Simulation) -> None:
        """Propose a command until one is committed."""
        payload = b'%d' % group.now_s
        group.run_until(
            lambda: group.leader() is not None and group.propose(payload), 5
        )
        group.run_until(lambda: payload in group.reference, 2)

    def lose_zone(self, group: Simulation, zone: str) -> list[InstanceId]:
        lost = [
            place.instance
            for place in group.locations.values()
            if place.zone == zone
        ]
        for instance in lost:
            group.crash(instance)
        return lost

    @pytest.mark.parametrize('disks', [3, 5])
    @pytest.mark.parametrize('zone', ['z0', 'z1', 'z2'])
    def test_unplanned(self, disks: int, zone: str) -> None:
        """A zone fails and comes back with empty disks."""
        group = Simulation(8, disks=disks)
        group.run_until(group.is_healthy, 5)
        lost = self.lose_zone(group, zone)
        self.commit(group)
        for instance in lost:
            group.nodes[instance].start(group.founding, fresh=True)
        group.run_until(group.is_healthy, 10)
        # A second loss right after the repair.
        group.crash(group.leader().location.instance)
        self.commit(group)
        group.recover()

    @pytest.mark.parametrize('zone', ['z0', 'z1', 'z2'])
    def test_planned(self, zone: str) -> None:
        """A zone is taken out, then one more instance fails."""
        group = Simulation(9, disks=5)
        group.run_until(group.is_healthy, 5)
        group.take_out(ZoneId(zone))
        group.run_until(lambda: self.is_evacuated(group, zone), 5)
        self.lose_zone(group, zone)
        self.commit(group)
        group.crash(group.leader().location.instance)
        self.commit(group)
        group.recover()

    def is_evacuated(self, group: Simulation, zone: str) -> bool:
        """Whether leader and committed voters are in other zones."""
        leader = group.leader()
        return leader is not None and all(
            group.locations[voter.instance].zone != zone
            for voter in leader.agreement.log.config_at(
                leader.agreement.commit
            ).voters
        )


VOTERS = tuple(
    GroupMember(member=MemberId(name), instance=InstanceId(f'on-{name}'))
    for name in 'abc'
)
CONFIG = GroupConfig(voters=VOTERS, learners=())
SNAPSHOT_META = SnapshotMeta(index=2, term=1, config=CONFIG)


def entry(index: int, term: int) -> LogEntry:
    return LogEntry(
        index=index, term=term, kind=EntryKind.COMMAND, payload=b'x'
    )


def member(
    *log: LogEntry,
    term: int = 0,
    can_vote: bool = True,
    now_s: float = 0,
    config: GroupConfig = CONFIG,
    hard_state: HardState | None = None,
    min_copies: int = 0,
) -> Agreement:
    """Return member a, started at a time."""
    agreement = Agreement(
        member=VOTERS[0].member,
        instance=VOTERS[0].instance,
        log=log,
        hard_state=hard_state or HardState(term=term, voted_for=MemberId('')),
        config=config,
        seed=1,
        can_vote=can_vote,
        min_copies=min_copies,
    )
    agreement.tick(now_s)
    return agreement


def vote_request(**changes: object) -> VoteRequest:
    """Return a vote request of member b."""
    request = VoteRequest(
        to=MemberId('a'),
        sender=MemberId('b'),
        term=5,
        instance=InstanceId('on-b'),
        last_index=9,
        last_term=4,
        pre_vote=False,
        transfer=False,
    )
    return msgspec.structs.replace(request, **changes)


def append_message(*entries: LogEntry, **changes: object) -> Append:
    """Return an append of member b as leader of term 5."""
    message = Append(
        to=MemberId('a'),
        sender=MemberId('b'),
        term=5,
        instance=InstanceId('on-b'),
        previous_index=0,
        previous_term=0,
        commit=0,
        probe_s=7,
        entries=entries,
    )
    return msgspec.structs.replace(message, **changes)


def granted(effects: Effects) -> list[bool]:
    return [out.message.granted for out in effects.messages]


def matches(effects: Effects) -> list[int]:
    return [out.message.match_index for out in effects.messages]


def elect(agreement: Agreement, now_s: float) -> Effects:
    """Let member b vote for member a until it leads."""
    effects = agreement.tick(now_s)
    for pre_vote in (True, False):
        reply = VoteReply(
            to=MemberId('a'),
            sender=MemberId('b'),
            term=0,
            asked_term=agreement.term + pre_vote,
            pre_vote=pre_vote,
            granted=True,
        )
        # A late answer of an earlier term must not count.
        late = msgspec.structs.replace(reply, asked_term=agreement.term - 1)
        assert agreement.receive(late, now_s).role is Role.CANDIDATE
        effects = agreement.receive(reply, now_s)
        if pre_vote:
            effects = agreement.synced(effects.write, now_s)
    assert effects.role is Role.LEADER
    return effects


def append_reply(
    agreement: Agreement, match: int, probe_s: float
) -> AppendReply:
    return AppendReply(
        to=MemberId('a'),
        sender=MemberId('b'),
        term=agreement.term,
        accepted=True,
        previous_index=0,
        match_index=match,
        probe_s=probe_s,
    )


class TestMember:
    """Single messages to one member."""

    def test_vote_is_durable(self) -> None:
        """A vote that is lost in a crash could be given twice in a term."""
        agreement = member()
        effects = agreement.receive(vote_request(), now_s=2)
        assert effects.hard_state == HardState(term=5, voted_for=MemberId('b'))
        assert granted(effects) == []
        assert granted(agreement.synced(effects.write, 2)) == [True]
        other = vote_request(sender=MemberId('c'))
        assert granted(agreement.receive(other, now_s=2)) == [False]
        restarted = member(hard_state=effects.hard_state)
        assert granted(restarted.receive(other, now_s=2)) == [False]

    def test_restart(self) -> None:
        """A restarted voter may have heard a leader just before."""
        agreement = member(now_s=10)
        assert granted(agreement.receive(vote_request(), now_s=11.1)) == [False]
        effects = agreement.receive(vote_request(), now_s=11.3)
        assert effects.hard_state

    def test_heard_leader(self) -> None:
        """A vote while a leader is active could allow two authorities."""
        agreement = member()
        agreement.receive(append_message(), now_s=3)
        request = vote_request(term=6)
        effects = agreement.receive(request, now_s=4.1)
        assert agreement.term == 5
        assert not effects.hard_state
        moved = msgspec.structs.replace(request, transfer=True)
        assert agreement.receive(moved, now_s=4.1).hard_state

    def test_short_log(self) -> None:
        """A candidate without the committed entries must not win."""
        agreement = member(entry(1, 1), entry(2, 4))
        request = vote_request(last_index=9, last_term=3)
        effects = agreement.receive(request, now_s=2)
        assert granted(agreement.synced(effects.write, 2)) == [False]

    def test_no_disk(self) -> None:
        """A member without a disk must not vote: a restart loses the vote."""
        agreement = member(can_vote=False)
        assert granted(agreement.receive(vote_request(), now_s=2)) == [False]
        for now_s in range(3, 30):
            assert agreement.tick(now_s).role is Role.FOLLOWER

    def test_single_voter(self) -> None:
        """A member counts its own vote and entries only once durable."""
        agreement = member(config=GroupConfig(voters=VOTERS[:1], learners=()))
        effects = agreement.tick(2)
        assert effects.role is Role.CANDIDATE
        effects = agreement.synced(effects.write, 2)
        assert effects.role is Role.LEADER
        assert not effects.committed
        assert agreement.synced(effects.write, 2).committed

    def test_unsynced_entries(self) -> None:
        """Entries count only once synced, and not if replaced meanwhile."""
        agreement = member(term=5)
        first = agreement.receive(append_message(entry(1, 5), entry(2, 5)), 1)
        assert matches(first) == [0]
        newer = append_message(term=6, sender=MemberId('c'))
        second = agreement.receive(newer, 1)
        newer = msgspec.structs.replace(newer, entries=[entry(1, 6)])
        third = agreement.receive(newer, 1)
        assert set(matches(agreement.synced(second.write, 1))) == {0}
        assert matches(agreement.synced(third.write, 1)) == [1]

    def test_replaced_entries(self) -> None:
        """Entries that replace durable ones are not durable yet."""
        agreement = member(entry(1, 1), entry(2, 1), entry(3, 1), term=5)
        older = append_message(previous_index=3, previous_term=1)
        assert matches(agreement.receive(older, 1)) == [3]
        newer = append_message(
            entry(2, 6), term=6, previous_index=1, previous_term=1
        )
        empty = msgspec.structs.replace(newer, entries=[])
        effects = agreement.receive(empty, 1)
        assert matches(agreement.synced(effects.write, 1)) == [1]
        effects = agreement.receive(newer, 1)
        assert matches(effects) == [1]
        assert matches(agreement.synced(effects.write, 1)) == [2]

    def test_uncommitted_removal(self) -> None:
        """A removed voter may be the only one with a log that can win."""
        configs = (VOTERS, VOTERS[1:])
        log = [
            LogEntry(
                index=index,
                term=1,
                kind=EntryKind.CONFIG,
                payload=msgspec.msgpack.encode(
                    GroupConfig(voters=voters, learners=())
                ),
            )
            for index, voters in enumerate(configs, 1)
        ]
        agreement = member(*log, term=5)
        assert agreement.tick(3).role is Role.CANDIDATE
        replaced = append_message(
            entry(2, 5), previous_index=1, previous_term=1
        )
        other = member(*log, term=5)
        other.receive(replaced, 3)
        assert other.is_voter
        committed = append_message(previous_index=2, previous_term=1, commit=2)
        agreement.receive(committed, 3)
        assert agreement.tick(20).role is Role.FOLLOWER

    def test_late_chunk(self) -> None:
        """A late snapshot chunk must not drop acknowledged entries."""
        agreement = member(entry(1, 1), entry(2, 1), entry(3, 1), term=5)
        chunk = SnapshotChunk(
            to=MemberId('a'),
            sender=MemberId('b'),
            term=5,
            instance=InstanceId('on-b'),
            meta=SNAPSHOT_META,
            offset=0,
            total=1,
            checksum=crc32(b's'),
            body=b's',
            probe_s=1,
        )
        effects = agreement.receive(chunk, 1)
        assert effects.install is None
        assert agreement.log.last_index == 3
        damaged = msgspec.structs.replace(
            chunk,
            meta=msgspec.structs.replace(SNAPSHOT_META, index=7, term=2),
            body=b't',
        )
        assert agreement.receive(damaged, 1).install is None
        assert agreement.counters['damaged_snapshot'] == 1

    def test_earlier_term(self) -> None:
        """An entry of an earlier term on a majority can still be replaced."""
        agreement = member(entry(1, 1), entry(2, 2), term=3)
        effects = elect(agreement, now_s=2)
        assert not agreement.receive(append_reply(agreement, 2, 2), 2).committed
        old = msgspec.structs.replace(append_reply(agreement, 3, 2), term=3)
        agreement.receive(old, 2)
        agreement.receive(append_reply(agreement, 99, 2), 2)
        assert agreement.replication.peers[MemberId('b')].match_index == 2
        assert not agreement.receive(append_reply(agreement, 3, 2), 2).committed
        effects = agreement.synced(effects.write, 2)
        assert [log_entry.index for log_entry in effects.committed] == [1, 2, 3]

    def test_authority(self) -> None:
        """Authority lasts from the sending of an acknowledged round."""
        agreement = member(entry(1, 1), term=3)
        effects = elect(agreement, now_s=2)
        agreement.receive(append_reply(agreement, 1, 2), 2.1)
        assert not agreement.has_authority(2.1), 'state may be behind'
        agreement.synced(effects.write, 2.1)
        agreement.receive(append_reply(agreement, 2, 2), 2.9)
        assert agreement.has_authority(2.9)
        assert not agreement.has_authority(3.1), 'sent 1.1 s ago'

    def test_unsafe_configs(self) -> None:
        """Changes that could split or stop the group are refused."""
        agreement = member(entry(1, 1), term=3)
        effects = elect(agreement, now_s=2)
        new = GroupMember(member=MemberId('d'), instance=InstanceId('on-d'))
        learner = GroupConfig(voters=VOTERS, learners=(new,))
        with pytest.raises(MembershipError, match='of the term'):
            agreement.propose_config(learner, 2)
        agreement.synced(effects.write, 2)
        agreement.receive(append_reply(agreement, 2, 2), 2)
        for voters, reason in (
            (VOTERS[1:], 'hand over'),
            (VOTERS[:1], 'one voter'),
            ((*VOTERS, new), 'caught up'),
            ((VOTERS[0], VOTERS[2]), 'majority'),
        ):
            wanted = GroupConfig(voters=voters, learners=())
            with pytest.raises(MembershipError, match=reason):
                agreement.propose_config(wanted, 2)
        agreement.propose_config(learner, 2)
        with pytest.raises(MembershipError, match='not committed'):
            agreement.propose_config(CONFIG, 2)

    def test_invalid_messages(self) -> None:
        """Misdirected, outdated and broken messages are only counted."""
        agreement = member(term=5)
        for message in (
            append_message(to=MemberId('z')),
            append_message(sender=MemberId('a')),
            append_message(entry(5, 5)),
            append_message(term=2),
            append_reply(agreement, 9, 9),
            Join(
                to=MemberId(''),
                sender=MemberId('z'),
                term=0,
                instance=InstanceId('on-z'),
            ),
        ):
            assert not agreement.receive(message, 2).entries
        assert agreement.counters.total() == 5

    def test_join_reaches_the_leader(self) -> None:
        """A join request reaches the leader through a follower.

        A member that lost its disk may know only followers.
        """
        agreement = member()
        join = Join(
            to=MemberId(''),
            sender=MemberId('z'),
            term=0,
            instance=InstanceId('on-z'),
        )
        # Without a known leader the request cannot be forwarded.
        assert not agreement.receive(join, 2).messages
        effects = agreement.receive(append_message(), 2)
        agreement.synced(effects.write, 2)
        passed = [
            out
            for out in agreement.receive(join, 2).messages
            if isinstance(out.message, Join)
        ]
        assert [out.instance for out in passed] == [InstanceId('on-b')]
        assert passed[0].message.sender == MemberId('z')
        assert passed[0].message.instance == InstanceId('on-z')

    def test_copies(self) -> None:
        """An entry is committed only once `min_copies` disks hold it.

        Otherwise three founders acknowledge on two disks, and the loss of
        both loses acknowledged entries.
        """
        agreement = member(min_copies=3)
        elected = elect(agreement, 5)
        effects = agreement.synced(elected.write, 5)
        effects = agreement.receive(append_reply(agreement, 1, 5), 5)
        assert not effects.committed
        third = msgspec.structs.replace(
            append_reply(agreement, 1, 5), sender=MemberId('c')
        )
        assert agreement.receive(third, 5).committed

    def test_learners_before_a_commit(self) -> None:
        """Two founders that need a third copy may add learners.

        Guards against a group that never commits again: one of three founders
        lost its disk before other members had joined.
        """
        agreement = member(min_copies=3)
        elected = elect(agreement, 5)
        agreement.synced(elected.write, 5)
        agreement.receive(append_reply(agreement, 1, 5), 5)
        learner = GroupMember(member=MemberId('d'), instance=InstanceId('on-d'))
        config = agreement.config
        with pytest.raises(MembershipError):
            agreement.propose_config(
                GroupConfig(voters=config.voters[:2], learners=(learner,)), 5
            )
        agreement.propose_config(
            GroupConfig(voters=config.voters, learners=(learner,)), 5
        )
        effects = agreement.tick(5)
        agreement.synced(effects.write, 5)
        agreement.receive(append_reply(agreement, 2, 5), 5)
        copied = msgspec.structs.replace(
            append_reply(agreement, 2, 5), sender=MemberId('d')
        )
        assert agreement.receive(copied, 5).committed
        assert agreement.commit == 2

    def test_timing(self) -> None:
        """Authority that outlasts the refusal of votes allows two leaders."""
        with pytest.raises(SettingsError):
            Timing(authority_s=1.15)
