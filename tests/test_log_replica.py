"""Guards against log entries that the driver of the agreement drops.

The agreement counts what it returns as handed over. A driver that ignored the
effects of a transfer used to lose entries of the log, and later acknowledged
entries that it had never written.
"""

import asyncio
from collections.abc import Callable, Iterable
from math import inf
from random import Random
from typing import Any

import msgspec
import pytest

from mangotrail._effects import Effects, Snapshot, SnapshotPart
from mangotrail._log_replica import LogReplica
from mangotrail._peer import EntryKind, HardState, LogEntry, SnapshotMeta
from mangotrail._storage import Journal, Recovered
from mangotrail.agreement import Agreement
from mangotrail.errors import MangotrailError, StorageError
from mangotrail.graphs.group import TIMING, founding_voters
from mangotrail.ids import InstanceId, MemberId
from mangotrail.membership import founding_member
from mangotrail.metrics import NullMetrics
from tests.virtual_time import VirtualClock, VirtualLoop, run_virtual

SCENARIO_S = 12.0
SETTLE_S = 8.0
STORAGE_RETRY_S = 0.5
# The users' bound for the acknowledgement of a change.
MAX_CHANGE_S = 4.0
# The users' bound for serving again once machines are back.
RECOVERY_S = 12.0
LAST = b'last'


class MemoryJournal(Journal):
    """Journal in memory; what was not synced is lost in a crash."""

    def __init__(self) -> None:
        self.durable: dict[int, LogEntry] = {}
        self.hard_state = HardState(term=0, voted_for=MemberId(''))
        self.queued: list[tuple[tuple[LogEntry, ...], HardState | None]] = []
        self.is_full = False

    def load(self) -> Recovered:
        """Return the durable content."""
        self.queued.clear()
        return Recovered(
            hard_state=self.hard_state,
            entries=tuple(self.durable[at] for at in sorted(self.durable)),
        )

    def append(
        self,
        entries: Iterable[LogEntry] = (),
        hard_state: HardState | None = None,
    ) -> None:
        """Queue records for the next sync."""
        self.queued.append((tuple(entries), hard_state))

    def sync(self) -> None:
        """Make the queued records durable.

        :raises StorageError: if the disk is full and there is a record.
        """
        if self.is_full and self.queued:
            raise StorageError('no space is left', value='memory')
        for entries, hard_state in self.queued:
            self.hard_state = hard_state or self.hard_state
            for entry in entries:
                self.durable = {
                    index: kept
                    for index, kept in self.durable.items()
                    if index < entry.index
                }
                self.durable[entry.index] = entry
        self.queued.clear()

    def compact(self, snapshot: Snapshot) -> None:
        """Do nothing: the log stays short."""

    def install(self, snapshot: Snapshot) -> None:
        """Fail: no member lags behind a compacted log."""
        raise NotImplementedError

    def read_snapshot(
        self, index: int, offset: int, length: int
    ) -> SnapshotPart | None:
        """Return None: there are no snapshots."""

    def close(self) -> None:
        """Do nothing."""


class Member(LogReplica):
    """Member of the group whose state is the list of applied payloads."""

    def __init__(self, group: 'Group', name: InstanceId) -> None:
        self.group = group
        self.name = name
        journal = group.journals[name]
        recovered = journal.load()
        founding = name not in group.fresh
        super().__init__(
            agreement=Agreement(
                member=group.fresh.get(name, founding_member(name)),
                instance=name,
                log=recovered.entries,
                hard_state=recovered.hard_state,
                config=group.config if founding else founding_voters(()),
                seed=group.random.randrange(1 << 30),
                timing=TIMING,
                min_copies=group.min_copies,
            ),
            journal=journal,
            clock=group.clock,
            metrics=NullMetrics(),
        )
        self.applied: list[bytes] = []

    def apply_entry(self, entry: LogEntry) -> Any:
        """Record the payload of a command."""
        if entry.kind is not EntryKind.COMMAND:
            return None
        self.applied.append(entry.payload)
        return entry.payload

    def snapshot_state(self) -> bytes:
        """Return the applied payloads."""
        return msgspec.msgpack.encode(self.applied)

    def restore_state(self, body: bytes) -> None:
        """Replace the applied payloads."""
        self.applied = msgspec.msgpack.decode(body, type=list[bytes])

    def receivers(self) -> Iterable[InstanceId]:
        """Return the other members."""
        return [name for name in self.group.names if name != self.name]

    def transmit(self, instance: InstanceId, encoded: bytes) -> None:
        """Deliver a message after a random delay, or lose it."""
        self.group.deliver(self.name, instance, encoded)

    def change_membership(self, now_s: float) -> None:
        """Do nothing: the group keeps its members."""


class Group:
    """Drivers of all members with delayed syncs, crashes and transfers.

    :param seed: seed of the schedule.
    :param member_type: class of the members.
    """

    def __init__(
        self,
        seed: int,
        *,
        members: int = 3,
        min_copies: int = 0,
        member_type: type[Member] = Member,
    ) -> None:
        self.member_type = member_type
        self.min_copies = min_copies
        self.random = Random(seed)
        self.loop = VirtualLoop()
        self.clock = VirtualClock(self.loop)
        self.names = [InstanceId(f'i{number}') for number in range(members)]
        self.config = founding_voters(self.names)
        self.journals = {name: MemoryJournal() for name in self.names}
        # Identities of the members that began with an empty disk.
        self.fresh: dict[InstanceId, MemberId] = {}
        self.members: dict[InstanceId, Member] = {}
        self.tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self.loss_rate = 0.05
        self.acknowledged: list[bytes] = []
        self.calls: set[asyncio.Task[None]] = set()

    async def to_thread(self, work: Callable[..., Any], *args: Any) -> Any:
        """Take a random time for storage work, as a slow disk does."""
        await asyncio.sleep(self.random.choice((0.002, 0.01, 0.1)))
        return work(*args)

    def deliver(
        self, source: InstanceId, target: InstanceId, encoded: bytes
    ) -> None:
        """Deliver a message after a random delay, or lose it."""
        if self.random.random() < self.loss_rate:
            return
        delay_s = self.random.choice((0.001, 0.02, 0.2))

        def receive() -> None:
            if target in self.members:
                self.members[target].receive(source, encoded)

        self.loop.call_later(delay_s, receive)

    def start(self, name: InstanceId) -> None:
        """Start a member from its durable content."""
        self.members[name] = self.member_type(self, name)
        self.tasks[name] = asyncio.create_task(self.members[name].run())

    async def crash(self, name: InstanceId) -> None:
        """Kill a member; what was not synced is lost."""
        if name in self.tasks:
            self.tasks.pop(name).cancel()
            del self.members[name]

    def start_empty(self, name: InstanceId) -> None:
        """Start a member with an empty disk and a new identity."""
        if name not in self.names:
            self.names.append(name)
        self.journals[name] = MemoryJournal()
        self.fresh[name] = MemberId(f'{name}-{len(self.fresh)}')
        self.start(name)

    async def supervise(self, name: InstanceId) -> None:
        """Run a member and start it again after its storage failed."""
        while True:
            self.start(name)
            try:
                await self.tasks[name]
            except* StorageError:
                del self.members[name]
            await asyncio.sleep(STORAGE_RETRY_S)

    def leaders(self) -> list[Member]:
        """Return the members with authority."""
        return [
            member for member in self.members.values() if member.has_authority()
        ]

    async def propose(self, payload: bytes) -> None:
        """Propose a command and record it if it is acknowledged."""
        for member in self.leaders():
            try:
                await member.propose_payload(payload)
            except MangotrailError:
                return
            self.acknowledged.append(payload)

    async def propose_until_done(self, payload: bytes) -> float:
        """Propose a command until it is acknowledged; return the seconds."""
        begun_s = self.clock.monotonic_s()
        before = len(self.acknowledged)
        while len(self.acknowledged) == before:
            await self.propose(payload)
            await asyncio.sleep(0.05)
        return self.clock.monotonic_s() - begun_s

    async def watch(self) -> None:
        """Check that at most one member has authority."""
        while True:
            assert len(self.leaders()) < 2
            await asyncio.sleep(0.01)

    async def act(self, number: int) -> None:
        """Let one random event of the schedule happen."""
        kind = self.random.choice(('propose', 'propose', 'transfer', 'crash'))
        payload = str(number).encode()
        if kind == 'crash' and self.random.random() < 0.3:
            name = self.random.choice(self.names)
            await self.crash(name)
            await asyncio.sleep(self.random.uniform(0, 0.5))
            self.start(name)
        elif kind == 'transfer':
            # The entry is in the log, but not handed to the journal yet.
            self.call(self.propose(payload))
            await asyncio.sleep(0)
            for member in self.leaders():
                member.transfer_leadership()
        else:
            self.call(self.propose(payload))

    def call(self, work: Any) -> None:
        """Run a call of a caller in the background."""
        task = asyncio.create_task(work)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def play(self) -> None:
        """Play a random schedule, then let the group settle."""
        watch = asyncio.create_task(self.watch())
        for name in self.names:
            self.start(name)
        end_s = self.clock.monotonic_s() + SCENARIO_S
        number = 0
        while self.clock.monotonic_s() < end_s:
            await asyncio.sleep(self.random.choice((0.001, 0.05, 0.4)))
            number += 1
            await self.act(number)
        self.loss_rate = 0
        await asyncio.sleep(SETTLE_S)
        await self.propose(LAST)
        await asyncio.sleep(1)
        assert not watch.done(), watch.exception()

    def check(self) -> None:
        """Check that every member holds all that was acknowledged."""
        # Without faults the group makes progress again.
        assert LAST in self.acknowledged
        longest = max(
            (member.applied for member in self.members.values()), key=len
        )
        for member in self.members.values():
            assert member.applied == longest
        assert not set(self.acknowledged) - set(longest)
        for name, journal in self.journals.items():
            durable = [
                entry.payload
                for _, entry in sorted(journal.durable.items())
                if entry.kind is EntryKind.COMMAND
            ]
            assert durable == self.members[name].applied, name


def _ignore_install(journal: MemoryJournal, snapshot: Snapshot) -> None:
    """Do nothing."""


def play(seed: int) -> Group:
    """Play the schedule of a seed and check it."""
    group = Group(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio, 'to_thread', group.to_thread)
        run_virtual(group.play(), group.loop)
    group.check()
    return group


class TestSlowDisks:
    """Disks that take long for each sync."""

    @pytest.mark.parametrize('alive', [3, 5])
    @pytest.mark.parametrize('sync_s', [0.006, 0.18])
    def test_elected(self, sync_s: float, alive: int) -> None:
        """A leader is elected though all disks are 30 times slower.

        The votes of an election took longer than its candidate waits before it
        begins another one, so that a group on busy machines had no leader for
        26 s (fault soak, seed 418).
        """
        group = Group(seed=1, members=5, min_copies=3)
        group.loss_rate = 0.0

        async def sync(work: Callable[..., Any], *args: Any) -> Any:
            await asyncio.sleep(sync_s)
            return work(*args)

        async def scenario() -> None:
            for name in group.names[:alive]:
                group.start(name)
            for _ in range(round(RECOVERY_S / 0.05)):
                await asyncio.sleep(0.05)
                if group.leaders():
                    return
            raise AssertionError('no leader is elected')

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, 'to_thread', sync)
            run_virtual(scenario(), group.loop)


class TestFullDisks:
    """Disks that are full for some seconds, one after another."""

    @pytest.mark.parametrize('seed', range(12))
    def test_in_turn(self, seed: int) -> None:
        """Changes are accepted during the faults and after the last one.

        With one full disk at a time a majority can always write, so a change
        may wait for an election, but must not be refused for good.
        """
        group = Group(seed, members=5, min_copies=3)

        async def scenario() -> None:
            for name in group.names:
                group.call(group.supervise(name))
            await asyncio.sleep(5)
            waits = []
            for name in group.random.sample(group.names * 2, 10):
                group.journals[name].is_full = True
                waits.append(await group.propose_until_done(b'during'))
                await asyncio.sleep(group.random.uniform(0.5, 3))
                group.journals[name].is_full = False
                await asyncio.sleep(group.random.uniform(0, 0.5))
            assert max(waits) < MAX_CHANGE_S
            group.loss_rate = 0
            assert await group.propose_until_done(LAST) < MAX_CHANGE_S
            await asyncio.sleep(SETTLE_S)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, 'to_thread', group.to_thread)
            run_virtual(scenario(), group.loop)
        group.check()


class TestDriver:
    """Members of a group with their drivers and journals."""

    @pytest.mark.parametrize('seed', range(60))
    def test_schedule(self, seed: int) -> None:
        """No acknowledged entry is lost, and one member has authority."""
        play(seed)

    @pytest.mark.parametrize('resolve', ['abandon', 'commit'])
    def test_cancelled_while_resolved(self, resolve: str) -> None:
        """A task that is cancelled as its proposal is resolved does end.

        `asyncio.wait_for` returned the result and dropped the cancellation, so
        that the leader of an earlier term went on, and its control instance
        could not lead again.
        """
        group = Group(3, members=1)

        async def scenario() -> None:
            group.start(group.names[0])
            await asyncio.sleep(SETTLE_S)
            (leader,) = group.leaders()
            task = asyncio.create_task(leader.propose_payload(LAST))
            await asyncio.sleep(0)
            if resolve == 'abandon':
                leader._abandon_proposals(inf, 'this member no longer leads')
            else:
                ((_, future),) = leader.proposals.values()
                future.set_result(LAST)
            task.cancel()
            await asyncio.wait([task])
            assert task.cancelled()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, 'to_thread', group.to_thread)
            run_virtual(scenario(), group.loop)

    def test_proposal_covered_by_snapshot(self) -> None:
        """A caller learns at once that the outcome is unknown.

        The proposal used to stay until its caller's time-out.
        """
        group = Group(2)

        async def scenario() -> None:
            group.start(group.names[0])
            member = group.members[group.names[0]]
            member.proposals[3] = (1, group.loop.create_future())
            member.proposals[9] = (1, group.loop.create_future())
            meta = SnapshotMeta(index=5, term=1, config=group.config)
            body = msgspec.msgpack.encode([])
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(MemoryJournal, 'install', _ignore_install)
                await member._install(Snapshot(meta=meta, body=body))
            assert list(member.proposals) == [9]

        run_virtual(scenario(), group.loop)

    def test_transfer_after_proposal(self) -> None:
        """A transfer writes and sends the entries proposed just before it.

        They used to be in the effects of the transfer only, which were dropped.
        """
        group = Group(1)
        group.loss_rate = 0
        returned: list[Effects] = []
        executed: list[Effects] = []
        flush = Agreement.flush
        execute = LogReplica._execute_effects

        def count_flush(agreement: Agreement, now_s: float) -> Effects:
            returned.append(flush(agreement, now_s))
            return returned[-1]

        async def count_executed(member: Member, effects: Effects) -> None:
            executed.append(effects)
            await execute(member, effects)

        async def scenario() -> None:
            for name in group.names:
                group.start(name)
            await asyncio.sleep(SETTLE_S)
            leader = group.leaders()[0]
            group.call(group.propose(LAST))
            await asyncio.sleep(0)
            leader.transfer_leadership()
            await asyncio.sleep(SETTLE_S)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(asyncio, 'to_thread', group.to_thread)
            patch.setattr(Agreement, 'flush', count_flush)
            patch.setattr(LogReplica, '_execute_effects', count_executed)
            run_virtual(scenario(), group.loop)
        assert group.acknowledged == [LAST]
        assert len(executed) == len(returned), 'effects were dropped'
        group.check()
