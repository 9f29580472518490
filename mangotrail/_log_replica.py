"""Driver of the agreement: journal, timers, peers and replicated state."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable, Mapping
from contextlib import suppress
from math import inf
from typing import Any

import msgspec
from loguru import logger

from mangotrail._effects import Effects, Role, Snapshot
from mangotrail._peer import (
    EntryKind,
    LogEntry,
    PeerMessage,
    SnapshotChunk,
    SnapshotMeta,
)
from mangotrail.agreement import Agreement
from mangotrail.clock import Clock
from mangotrail.errors import (
    MangotrailError,
    NotLeaderError,
    UndecidedError,
)
from mangotrail.ids import InstanceId
from mangotrail.journal import Journal
from mangotrail.metrics import (
    COMMIT_TIME,
    ENTRIES,
    SNAPSHOTS,
    SYNC_TIME,
    Metrics,
)

CHUNK_BYTES = 64 * 1024
COMMIT_TIMEOUT_S = 8.0
# A replaced instance takes three changes: its successor is admitted, the old
# voter is removed, and the successor votes.
MEMBERSHIP_PERIOD_S = 0.1
# Bounds the delay after a freeze of the process, during which the clock of the
# event loop may stop. Waking 20 times a second instead costs 0.3% more of a
# core in each control process.
IDLE_WAIT_S = 0.25


class LogReplica(ABC):
    """One member of the group with its journal; subclasses hold the state.

    :param agreement: the protocol, loaded from the journal.
    """

    def __init__(
        self,
        *,
        agreement: Agreement,
        journal: Journal,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.agreement = agreement
        self.journal = journal
        self.clock = clock
        self.metrics = metrics
        self.member = agreement.member
        self.inbox: deque[PeerMessage] = deque()
        self.wake = asyncio.Event()
        self.sync_requested = asyncio.Event()
        self.storage_lock = asyncio.Lock()
        self.queued_write = 0
        self.synced_write = 0
        self.reported_write = 0
        self.proposals: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self.pending_snapshot: tuple[SnapshotMeta, bytes] | None = None
        self.membership_checked_s = 0.0
        self.refused_messages = 0
        self.message_decoder = msgspec.msgpack.Decoder(PeerMessage)

    @abstractmethod
    def apply_entry(self, entry: LogEntry) -> Any:
        """Apply a committed entry; None unless it holds a command."""

    @abstractmethod
    def snapshot_state(self) -> bytes:
        """Return the whole state, encoded."""

    @abstractmethod
    def restore_state(self, body: bytes) -> None:
        """Replace the state with an encoded one."""

    @abstractmethod
    def receivers(self) -> Iterable[InstanceId]:
        """Return the instances that receive a broadcast."""

    @abstractmethod
    def transmit(self, instance: InstanceId, encoded: bytes) -> None:
        """Send an encoded message of the agreement."""

    @abstractmethod
    def change_membership(self, now_s: float) -> None:
        """Propose the next change of the group, if one is due."""

    async def run(self) -> None:
        """Run this member of the group until cancelled.

        :raises StorageError: if the journal fails; the member then no longer
            votes or leads, because its process ends.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_agreement())
                group.create_task(self._sync_journal())
        finally:
            self._abandon_proposals(inf, 'this member has stopped')

    def receive(self, instance: InstanceId, encoded: bytes) -> None:
        """Queue a message from a peer; drop a malformed one."""
        try:
            self.inbox.append(self.message_decoder.decode(encoded))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self.refused_messages += 1
            logger.warning(
                'Refused a malformed message from {}: {!r}', instance, error
            )
        self.wake.set()

    async def propose_payload(self, payload: bytes) -> Any:
        """Append a command and return its result once it is applied.

        :raises NotLeaderError: if this member does not lead; the command
            has no effect.
        :raises UndecidedError: if the outcome of the command is unknown.
        """
        started_s = self.clock.monotonic_s()
        index, term = self.agreement.propose(payload, started_s)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.proposals[index] = (term, future)
        self.wake.set()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                result = await future
        except TimeoutError:
            raise UndecidedError(
                'the command was not committed in time',
                remedy='ask again with the same id',
            ) from None
        self.metrics.time(COMMIT_TIME, self.clock.monotonic_s() - started_s)
        return result

    def is_leader(self) -> bool:
        """Return whether this member leads."""
        return self.agreement.role is Role.LEADER

    def has_authority(self) -> bool:
        """Return whether no other member can have been elected up to now."""
        return self.agreement.has_authority(self.clock.monotonic_s())

    def quorum_contact_s(self) -> float:
        """Return when the last round was sent that a majority answered.

        :return: reading of the monotonic clock; -inf unless this member leads.
        """
        replication = self.agreement.replication
        if replication is None:
            return -inf
        return replication.quorum_contact_s(self.clock.monotonic_s())

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
        """Transfer leadership to another voter if one is available.

        The next leader learns that this member will stop.
        """
        self.agreement.announce_leaving()
        with suppress(MangotrailError):
            self.agreement.transfer(self.clock.monotonic_s())
            self.wake.set()

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

    async def _run_agreement(self) -> None:
        """Pass messages, syncs and time to the agreement.

        Only this task executes effects, so that steps never overlap.
        """
        while True:
            wait_s = self.agreement.next_tick_s - self.clock.monotonic_s()
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
            await self._execute_effects(
                self.agreement.receive(message, self.clock.monotonic_s())
            )
        now_s = self.clock.monotonic_s()
        if self.synced_write > self.reported_write:
            self.reported_write = self.synced_write
            await self._execute_effects(
                self.agreement.synced(self.synced_write, now_s)
            )
        if self.is_leader():
            self._check_membership(now_s)
        await self._execute_effects(self.agreement.tick(now_s))
        if self.proposals and not self.is_leader():
            self._abandon_proposals(inf, 'this member no longer leads')

    async def _execute_effects(self, effects: Effects) -> None:
        if effects.install is not None:
            await self._install(effects.install)
        if effects.must_sync:
            self.journal.append(effects.entries, effects.hard_state)
            self.queued_write = effects.write
            self.sync_requested.set()
        for entry in effects.committed:
            self._apply(entry)
        if effects.snapshot_due is not None:
            self.pending_snapshot = (
                effects.snapshot_due,
                self.snapshot_state(),
            )
            self.sync_requested.set()
        for outgoing in effects.messages:
            self._send_message(outgoing.instance, outgoing.message)
        for chunk in effects.chunks:
            self._send_chunk(chunk.instance, chunk.message)

    async def _install(self, snapshot: Snapshot) -> None:
        # Records appended after the snapshot must not be written before it,
        # so this waits for the disk.
        async with self.storage_lock:
            await asyncio.to_thread(self.journal.install, snapshot)
        self.restore_state(snapshot.body)
        self._abandon_proposals(
            snapshot.meta.index, 'a snapshot replaced its log entry'
        )
        logger.info('Installed a snapshot up to entry {}', snapshot.meta.index)

    def _send_message(self, instance: InstanceId, message: PeerMessage) -> None:
        encoded = msgspec.msgpack.encode(message)
        receivers = (instance,) if instance else tuple(self.receivers())
        for receiver in receivers:
            self.transmit(receiver, encoded)

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

    async def _sync_journal(self) -> None:
        """Sync appended records and write the snapshots that are due."""
        while True:
            await self.sync_requested.wait()
            self.sync_requested.clear()
            write = self.queued_write
            started_s = time.perf_counter()
            async with self.storage_lock:
                await asyncio.to_thread(self.journal.sync)
            self.metrics.time(SYNC_TIME, time.perf_counter() - started_s)
            self.synced_write = write
            self.wake.set()
            if self.pending_snapshot is not None:
                meta, body = self.pending_snapshot
                self.pending_snapshot = None
                await self._compact(Snapshot(meta=meta, body=body))

    async def _compact(self, snapshot: Snapshot) -> None:
        async with self.storage_lock:
            await asyncio.to_thread(self.journal.compact, snapshot)
        self.agreement.compact(snapshot.meta)
        self.metrics.count(SNAPSHOTS)
        logger.info('Wrote a snapshot up to entry {}', snapshot.meta.index)

    def _apply(self, entry: LogEntry) -> None:
        self.metrics.count(ENTRIES)
        result = self.apply_entry(entry)
        if entry.kind is not EntryKind.COMMAND:
            result = None
        self._resolve_proposal(entry, result)

    def _resolve_proposal(self, entry: LogEntry, result: Any) -> None:
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

    def _abandon_proposals(self, index: float, reason: str) -> None:
        """Report proposals up to an index as undecided.

        Their callers ask the next leader at once instead of waiting.
        """
        for covered in sorted(self.proposals):
            if covered > index:
                return
            _, future = self.proposals.pop(covered)
            if not future.done():
                future.set_exception(
                    UndecidedError(
                        f'the outcome of the command is unknown: {reason}',
                        remedy='ask again with the same id',
                    )
                )

    def _check_membership(self, now_s: float) -> None:
        if now_s - self.membership_checked_s < MEMBERSHIP_PERIOD_S:
            return
        self.membership_checked_s = now_s
        with suppress(MangotrailError):
            self.change_membership(now_s)
