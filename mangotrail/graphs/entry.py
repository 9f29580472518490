"""Client of the leader, used by entry instances to serve callers."""

import asyncio
from collections.abc import Collection, Sequence

import msgspec
from loguru import logger

from mangotrail._graph_settings import GraphSettings
from mangotrail._graphs import (
    CallBody,
    CallReply,
    Configuration,
    Verdict,
    Watch,
)
from mangotrail._struct import FrozenStruct
from mangotrail.clock import Clock
from mangotrail.errors import ConfigurationDeltaError
from mangotrail.graphs.channels import Channels
from mangotrail.graphs.compression import decompress
from mangotrail.graphs.configuration_delta import apply_delta
from mangotrail.graphs.telemetry import Telemetry
from mangotrail.ids import InstanceId

# Time-out of one attempt. It covers several commits of 25 ms each and a slow
# network.
ATTEMPT_TIMEOUT_S = 0.9
# A call without a reply for this long is also sent to another instance, which
# knows a new leader as soon as one is elected. Replies of a leader that works
# take less than 0.2 s, planning for hundreds of workers included.
HEDGE_DELAY_S = 0.4
RETRY_PAUSE_S = 0.05
# Long-poll time of a watch; a change is answered at once.
WATCH_WAIT_MS = 1_000
# Keys and queues are used without a new confirmation for this long. It is more
# than the age at which a watch of a working leader is answered, and less than
# the users' bound for configurations to be in force.
MAX_CONFIGURATION_AGE_S = 2.0
# An entry instance that has not reached the leader for this long is not ready.
MAX_CONTACT_AGE_S = 3.0

# Verdicts that are the final result of a call. The others leave the result
# open, or are a refusal by the contacted instance only.
FINAL_VERDICTS = frozenset((
    Verdict.OK,
    Verdict.REFUSED,
    Verdict.UNKNOWN_OBJECT,
    Verdict.CONFLICT,
    Verdict.OVERLOADED,
))


class CallOutcome(FrozenStruct, frozen=True, kw_only=True):
    """Outcome of a call.

    :param reply: the final reply, None if there was none in time.
    :param may_have_run: whether an earlier attempt without a final reply may
        have been executed; a refusal is then not certain.
    """

    reply: CallReply | None
    may_have_run: bool


class Attempts:
    """Attempts of one call, several at a time if instances are silent."""

    def __init__(self, channels: Channels, body: CallBody) -> None:
        self.channels = channels
        self.body = body
        self.pending: dict[asyncio.Task[CallReply | None], InstanceId] = {}
        self.was_undecided = False

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt without a final reply may have been executed."""
        return self.was_undecided or bool(self.pending)

    def start(self, target: InstanceId, timeout_s: float) -> None:
        """Send the call to an instance, in addition to earlier attempts."""
        call = self.channels.call(target, self.body, timeout_s)
        self.pending[asyncio.create_task(call)] = target

    async def wait(
        self, timeout_s: float
    ) -> list[tuple[InstanceId, CallReply | None]]:
        """Return the attempts that have ended, none if all are silent."""
        done, _ = await asyncio.wait(
            self.pending,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended = []
        for task in done:
            target, reply = self.pending.pop(task), task.result()
            if reply is None or reply.verdict is Verdict.UNDECIDED:
                self.was_undecided = True
            ended.append((target, reply))
        return ended

    def cancel(self) -> None:
        """Stop waiting for replies; the attempts may still be executed."""
        for task in self.pending:
            task.cancel()


class EntryClient:
    """Sends calls to the leader and follows the configuration."""

    def __init__(self, *, settings: GraphSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.channels = Channels(own=settings.address, clock=clock)
        self.instances: list[InstanceId] = list(settings.seeds)
        self.leader: InstanceId | None = None
        self.instance_index = 0
        self.configuration: Configuration | None = None
        # False after a change that did not fit, until the whole has come.
        self.accepts_delta = True
        self.last_contact_s = float('-inf')
        self.telemetry = Telemetry()

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served now."""
        oldest_contact_s = self.clock.monotonic_s() - MAX_CONTACT_AGE_S
        return (
            self.configuration is not None
            and self.last_contact_s > oldest_contact_s
        )

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        try:
            while True:
                await self._watch()
        finally:
            await self.channels.close()

    def add_seeds(self, seeds: Sequence[InstanceId]) -> None:
        """Add the seeds of changed settings to the known instances."""
        self.instances = list(dict.fromkeys([*seeds, *self.instances]))

    async def confirm_configuration(self, *, deadline_s: float) -> bool:
        """Whether the configuration held was in force a moment ago.

        A process that was paused goes on with what it held before, and a key
        may have been withdrawn meanwhile, so the leader is asked if the last
        contact was long ago.

        :param deadline_s: reading of the clock at which to give up.
        """
        age_s = self.clock.monotonic_s() - self.last_contact_s
        if self.configuration is None or age_s <= MAX_CONFIGURATION_AGE_S:
            return self.configuration is not None
        version = self.configuration.version
        outcome = await self.call(
            Watch(
                held_version=version,
                wait_ms=0,
                accepts_delta=self.accepts_delta,
            ),
            deadline_s=deadline_s,
        )
        reply = outcome.reply
        if reply is None or reply.verdict is not Verdict.OK:
            return False
        try:
            self._record_contact(reply)
        except (msgspec.MsgspecError, ConfigurationDeltaError) as error:
            logger.warning('Damaged configuration: {}', error)
            self.accepts_delta = False
            return False
        return True

    async def call(self, body: CallBody, *, deadline_s: float) -> CallOutcome:
        """Call the leader, with retries, until a final reply or the deadline.

        A call may be executed more than once, so it must be idempotent.

        :param deadline_s: reading of the clock at which to give up.
        """
        begun_s = self.clock.monotonic_s()
        name = type(body).__name__
        attempts = Attempts(self.channels, body)
        try:
            reply = await self._attempt_until(attempts, deadline_s)
        finally:
            attempts.cancel()
        outcome = reply.verdict.value if reply else 'unsettled'
        self.telemetry.calls.increment(f'{name}:{outcome}')
        if reply is not None:
            self.telemetry.call_s.observe(
                self.clock.monotonic_s() - begun_s, name
            )
        return CallOutcome(reply=reply, may_have_run=attempts.may_have_run)

    async def _attempt_until(
        self, attempts: 'Attempts', deadline_s: float
    ) -> CallReply | None:
        """Return the first final reply, None if there is none in time."""
        while True:
            left_s = deadline_s - self.clock.monotonic_s()
            if left_s <= 0:
                return None
            target = self._target_avoiding(attempts.pending.values())
            attempts.start(target, min(ATTEMPT_TIMEOUT_S, left_s))
            ended = await attempts.wait(min(HEDGE_DELAY_S, left_s))
            if not ended:
                self._choose_next_target(target, None)
                continue
            for called, reply in ended:
                if reply is not None and reply.verdict in FINAL_VERDICTS:
                    self._follow_leader(called, reply)
                    return reply
                self._choose_next_target(called, reply)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _watch(self) -> None:
        held_version = self.configuration.version if self.configuration else -1
        target = self._target()
        reply = await self.channels.call(
            target,
            Watch(
                held_version=held_version,
                wait_ms=WATCH_WAIT_MS,
                accepts_delta=self.accepts_delta,
            ),
            WATCH_WAIT_MS / 1000 + ATTEMPT_TIMEOUT_S,
        )
        if reply is None or reply.verdict is not Verdict.OK:
            self._choose_next_target(target, reply)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self._follow_leader(target, reply)
        try:
            self._record_contact(reply)
        except (msgspec.MsgspecError, ConfigurationDeltaError) as error:
            logger.warning('Damaged configuration from {}: {}', target, error)
            self.accepts_delta = False
            await asyncio.sleep(RETRY_PAUSE_S)

    def _record_contact(self, reply: CallReply) -> None:
        """Record the reply of a leader with authority to a watch.

        :raises msgspec.MsgspecError: if its configuration is damaged.
        :raises ConfigurationDeltaError: if its change does not fit the
            configuration that is held.
        """
        if reply.packed_configuration:
            self._install(unpack_configuration(reply.packed_configuration))
            self.accepts_delta = True
        elif reply.packed_delta:
            self._install(apply_delta(self.configuration, reply.packed_delta))
        self.last_contact_s = self.clock.monotonic_s()
        self.instances = list(
            dict.fromkeys([*reply.instances, *self.instances])
        )

    def _install(self, configuration: Configuration) -> None:
        held_version = self.configuration.version if self.configuration else -1
        if configuration.version > held_version:
            self.configuration = configuration
            self.telemetry.version.set(configuration.version)
            logger.info('Configuration {} in force', configuration.version)

    def _target(self) -> InstanceId:
        if self.leader is not None:
            return self.leader
        return self.instances[self.instance_index % len(self.instances)]

    def _target_avoiding(self, silent: Collection[InstanceId]) -> InstanceId:
        """Return the next target, if possible one that is not silent."""
        for _ in self.instances:
            if self._target() not in silent:
                break
            self._choose_next_target(self._target(), None)
        return self._target()

    def _follow_leader(self, target: InstanceId, reply: CallReply) -> None:
        """Remember the leader named by a reply."""
        leader = InstanceId(reply.leader) if reply.leader else target
        if leader != self.leader:
            logger.info('Found leader {}', leader)
            self.leader = leader

    def _choose_next_target(
        self, target: InstanceId, reply: CallReply | None
    ) -> None:
        """Choose the next instance after an attempt without a final reply."""
        hint = InstanceId(reply.leader) if reply and reply.leader else None
        if hint is not None and hint != target:
            self.leader = hint
            return
        if self.leader is not None:
            logger.info('Leader {} does not answer', self.leader)
        self.leader = None
        self.instance_index += 1


def unpack_configuration(packed: bytes) -> Configuration:
    """Return a configuration that the leader has sent.

    :raises msgspec.MsgspecError: if it is damaged.
    """
    return msgspec.msgpack.decode(decompress(packed), type=Configuration)
