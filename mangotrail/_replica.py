"""Drives the agreement: journal, timers, peers and the replicated state."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from typing import Any, TypeAlias

import msgspec
from loguru import logger

from mangotrail._effects import Effects, Role, Snapshot
from mangotrail._job_rules import view_of
from mangotrail._messages import (
    Command,
    CommandBody,
    JobRecord,
    JobView,
    ReplyBody,
    SubmitJob,
)
from mangotrail._peer import (
    EntryKind,
    GroupConfig,
    LogEntry,
    PeerMessage,
    SnapshotChunk,
    SnapshotMeta,
)
from mangotrail._peer_link import FrameKind
from mangotrail._settings import Settings
from mangotrail.agreement import Agreement
from mangotrail.clock import Clock
from mangotrail.errors import (
    MangotrailError,
    NotLeaderError,
    UndecidedError,
)
from mangotrail.ids import InstanceId, MemberId
from mangotrail.journal import (
    Journal,
)
from mangotrail.membership import (
    GroupView,
    InstancePlace,
    next_config,
    transfer_target,
)
from mangotrail.metrics import (
    BUNDLE_VERSION,
    COMMIT_TIME,
    ENTRIES,
    LEADER,
    SNAPSHOTS,
    SYNC_TIME,
    VOTERS,
    Metrics,
)
from mangotrail.state import State

Applied: TypeAlias = Callable[[Command, ReplyBody, JobRecord | None], None]
Send: TypeAlias = Callable[[InstanceId, FrameKind, bytes], None]

CHUNK_BYTES = 64 * 1024
COMMIT_TIMEOUT_S = 8.0
MEMBERSHIP_PERIOD_S = 0.5
# Bounds the wait after a freeze, during which the clock of the event loop may
# have stood still. Waking 20 times a second took 0.3% of a core more in each
# control process.
IDLE_WAIT_S = 0.25


class Replica:
    """One member of the group with its journal and its copy of the state.

    :param agreement: the protocol, loaded from the journal.
    :param state: the state up to the snapshot of the journal.
    :param places: zone and disk of each instance.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        agreement: Agreement,
        journal: Journal,
        state: State,
        places: Mapping[InstanceId, InstancePlace],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.agreement = agreement
        self.journal = journal
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.member = agreement.member
        self.places = places
        self.send: Send = _send_nowhere
        self.on_applied: Applied = _ignore_applied
        self.inbox: deque[PeerMessage] = deque()
        self.wake = asyncio.Event()
        self.sync_wanted = asyncio.Event()
        self.storage_lock = asyncio.Lock()
        self.handed_write = 0
        self.synced_write = 0
        self.noted_write = 0
        self.proposals: dict[int, tuple[int, asyncio.Future[ReplyBody]]] = {}
        self.snapshot_due: tuple[SnapshotMeta, bytes] | None = None
        self.membership_checked_s = 0.0
        self.refused_messages = 0
        self.message_decoder = msgspec.msgpack.Decoder(PeerMessage)
        self.command_decoder = msgspec.msgpack.Decoder(Command)

    async def run(self) -> None:
        """Take part in the group until cancelled.

        :raises StorageError: if the journal fails; the member then no longer
            votes or leads, because its process ends.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._step())
            group.create_task(self._store())

    def receive(self, instance: InstanceId, encoded: bytes) -> None:
        """Queue a message of a peer; a malformed one is refused."""
        try:
            self.inbox.append(self.message_decoder.decode(encoded))
        except msgspec.MsgspecError as error:
            self.refused_messages += 1
            logger.warning('Refused a message of {}: {}', instance, error)
        self.wake.set()

    async def propose(self, body: CommandBody) -> ReplyBody:
        """Append a command and return its result once it is applied.

        :raises NotLeaderError: if this member does not lead; the command
            has no effect.
        :raises UndecidedError: if the fate of the command is not known.
        """
        started_s = self.clock.age_s()
        command = Command(time_s=self.clock.wall_s(), body=body)
        payload = msgspec.msgpack.encode(command)
        index, term = self.agreement.propose(payload, started_s)
        future: asyncio.Future[ReplyBody] = (
            asyncio.get_running_loop().create_future()
        )
        self.proposals[index] = (term, future)
        self.wake.set()
        try:
            result = await asyncio.wait_for(future, COMMIT_TIMEOUT_S)
        except TimeoutError:
            raise UndecidedError(
                'the command was not committed in time',
                remedy='ask again with the same id',
            ) from None
        self.metrics.time(COMMIT_TIME, self.clock.age_s() - started_s)
        return result

    def is_leader(self) -> bool:
        """Tell whether this member leads."""
        return self.agreement.role is Role.LEADER

    def has_authority(self) -> bool:
        """Tell whether no other member can have been elected up to now."""
        return self.agreement.has_authority(self.clock.age_s())

    def term(self) -> int:
        """Return the current term."""
        return self.agreement.term

    def leader_instance(self) -> InstanceId | None:
        """Return the instance of the leader, None if none is known."""
        config = self.agreement.config
        for known in (*config.voters, *config.learners):
            if known.member == self.agreement.leader:
                return known.instance
        return None

    def transfer_leadership(self) -> None:
        """Hand leadership to another voter if one can take it."""
        with suppress(MangotrailError):
            self.agreement.transfer(self.clock.age_s())
            self.wake.set()

    def view(self, record: JobRecord) -> JobView:
        """Return what the caller of a job may see."""
        return view_of(record)

    def members(self) -> Sequence[Mapping[str, Any]]:
        """Return one row for each member of the group."""
        config = self.agreement.config
        caught_up = self.agreement.caught_up(self.clock.age_s())
        voters = {voter.member for voter in config.voters}
        return [
            {
                'member': known.member,
                'instance': known.instance,
                'zone': self.places[known.instance].zone
                if known.instance in self.places
                else '',
                'voter': known.member in voters,
                'leader': known.member == self.agreement.leader,
                'caught_up': known.member in caught_up,
            }
            for known in (*config.voters, *config.learners)
        ]

    def status(self) -> Mapping[str, Any]:
        """Return the state of the agreement for a dump."""
        agreement = self.agreement
        return {
            'member': self.member,
            'role': agreement.role.value,
            'term': agreement.term,
            'leader': agreement.leader,
            'commit': agreement.commit,
            'last_index': agreement.log.last_index,
            'durable_index': agreement.writes.durable_index,
            'snapshot_index': agreement.snapshot.index
            if agreement.snapshot
            else 0,
            'voters': [voter.member for voter in agreement.config.voters],
            'learners': [known.member for known in agreement.config.learners],
            'counters': dict(agreement.counters),
            'refused_messages': self.refused_messages,
            'proposals': len(self.proposals),
        }

    def close(self) -> None:
        """Release the journal."""
        self.journal.close()

    async def _step(self) -> None:
        """Feed the agreement; this task alone changes it."""
        while True:
            wait_s = self.agreement.wake_s - self.clock.age_s()
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    min(max(wait_s, 0.001), IDLE_WAIT_S)
                ):
                    await self.wake.wait()
            self.wake.clear()
            await self._step_once()

    async def _step_once(self) -> None:
        while self.inbox:
            message = self.inbox.popleft()
            await self._carry_out(
                self.agreement.receive(message, self.clock.age_s())
            )
        now_s = self.clock.age_s()
        if self.synced_write > self.noted_write:
            self.noted_write = self.synced_write
            await self._carry_out(
                self.agreement.synced(self.synced_write, now_s)
            )
        if self.is_leader():
            self._change_membership(now_s)
        await self._carry_out(self.agreement.tick(now_s))

    async def _carry_out(self, effects: Effects) -> None:
        if effects.install is not None:
            await self._install(effects.install)
        if effects.must_sync:
            self.journal.append(effects.entries, effects.hard_state)
            self.handed_write = effects.write
            self.sync_wanted.set()
        for entry in effects.committed:
            self._apply(entry)
        if effects.snapshot_due is not None:
            self.snapshot_due = (effects.snapshot_due, self.state.snapshot())
            self.sync_wanted.set()
        for outgoing in effects.messages:
            self._send_message(outgoing.instance, outgoing.message)
        for chunk in effects.chunks:
            self._send_chunk(chunk.instance, chunk.message)

    async def _install(self, snapshot: Snapshot) -> None:
        # Records that are appended after the snapshot must not be written
        # before it, so the step waits for the disk.
        async with self.storage_lock:
            await asyncio.to_thread(self.journal.install, snapshot)
        self.state.restore(snapshot.body)
        logger.info('Installed a snapshot up to entry {}', snapshot.meta.index)

    def _apply(self, entry: LogEntry) -> None:
        self.metrics.count(ENTRIES)
        if entry.kind is not EntryKind.COMMAND:
            self.state.index = entry.index
            self._settle(entry, None)
            return
        command = self.command_decoder.decode(entry.payload)
        before = self._job_before(command.body)
        result = self.state.apply(entry.index, command)
        self.metrics.put(BUNDLE_VERSION, self.state.bundle_version)
        self._settle(entry, result)
        self.on_applied(command, result, before)

    def _settle(self, entry: LogEntry, result: ReplyBody | None) -> None:
        """Resolve the proposal that was made at the index of an entry."""
        term, future = self.proposals.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term and result is not None:
            future.set_result(result)
        else:
            future.set_exception(
                NotLeaderError('another leader replaced the command')
            )

    def _job_before(self, body: CommandBody) -> JobRecord | None:
        if isinstance(body, SubmitJob):
            key = (body.job_spec.account, body.job_spec.request)
            return self.state.jobs.get(self.state.job_keys.get(key, _NO_JOB))
        request = getattr(body, 'request', None)
        if request is not None:
            key = (getattr(body, 'account', _NO_JOB), request)
            return self.state.jobs.get(self.state.job_keys.get(key, _NO_JOB))
        return self.state.jobs.get(getattr(body, 'job', _NO_JOB))

    def _send_message(self, instance: InstanceId, message: PeerMessage) -> None:
        encoded = msgspec.msgpack.encode(message)
        receivers = (instance,) if instance else tuple(self.places)
        for receiver in receivers:
            self.send(receiver, FrameKind.AGREEMENT, encoded)

    def _send_chunk(self, instance: InstanceId, message: PeerMessage) -> None:
        if not isinstance(message, SnapshotChunk):
            return
        part = self.journal.read_snapshot(
            message.meta.index, message.offset, CHUNK_BYTES
        )
        if part is not None:
            filled = msgspec.structs.replace(
                message,
                body=part.body,
                total=part.total,
                checksum=part.checksum,
            )
            self._send_message(instance, filled)

    async def _store(self) -> None:
        """Make what was handed to the journal durable."""
        while True:
            await self.sync_wanted.wait()
            self.sync_wanted.clear()
            write = self.handed_write
            started_s = time.perf_counter()
            async with self.storage_lock:
                await asyncio.to_thread(self.journal.sync)
            self.metrics.time(SYNC_TIME, time.perf_counter() - started_s)
            self.synced_write = write
            self.wake.set()
            if self.snapshot_due is not None:
                meta, body = self.snapshot_due
                self.snapshot_due = None
                await self._compact(Snapshot(meta=meta, body=body))

    async def _compact(self, snapshot: Snapshot) -> None:
        async with self.storage_lock:
            await asyncio.to_thread(self.journal.compact, snapshot)
        self.agreement.compact(snapshot.meta)
        self.metrics.count(SNAPSHOTS)
        logger.info('Wrote a snapshot up to entry {}', snapshot.meta.index)

    def _change_membership(self, now_s: float) -> None:
        """Propose the next change of the group, if one is due."""
        self.metrics.put(LEADER, 1)
        if now_s - self.membership_checked_s < MEMBERSHIP_PERIOD_S:
            return
        self.membership_checked_s = now_s
        agreement = self.agreement
        self.metrics.put(VOTERS, len(agreement.config.voters))
        view = GroupView(
            config=agreement.config,
            leader=self.member,
            joining=agreement.joining(now_s),
            caught_up=agreement.caught_up(now_s),
            places=self.places,
            zones={zone.zone: zone.state for zone in self.state.zones.values()},
        )
        with suppress(MangotrailError):
            config = next_config(view)
            if config is not None:
                agreement.propose_config(config, now_s)
                logger.info('Proposed voters {}', _names(config))
                return
            target = transfer_target(view)
            if target is not None:
                logger.info('Leadership moves to {}', target)
                agreement.transfer(now_s, target=target)


_NO_JOB: Any = ''


def _names(config: GroupConfig) -> Sequence[MemberId]:
    return [voter.member for voter in config.voters]


def _send_nowhere(instance: InstanceId, kind: FrameKind, body: bytes) -> None:
    """Drop a message that is sent before the link is open."""


def _ignore_applied(
    command: Command, result: ReplyBody, before: JobRecord | None
) -> None:
    """Do nothing."""
