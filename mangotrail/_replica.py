"""Drives the agreement with the state of bundles, endpoints and jobs."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, TypeAlias

import msgspec
from loguru import logger

from mangotrail._job_rules import view_of
from mangotrail._log_replica import LogReplica
from mangotrail._messages import (
    Command,
    CommandBody,
    JobRecord,
    JobView,
    ReplyBody,
    SubmitJob,
)
from mangotrail._peer import EntryKind, GroupConfig, LogEntry
from mangotrail._peer_link import FrameKind
from mangotrail._settings import Settings
from mangotrail.agreement import Agreement
from mangotrail.clock import Clock
from mangotrail.ids import InstanceId, MemberId
from mangotrail.journal import (
    Journal,
)
from mangotrail.membership import (
    GroupView,
    InstanceLocation,
    next_config,
    transfer_target,
)
from mangotrail.metrics import BUNDLE_VERSION, LEADER, VOTERS, Metrics
from mangotrail.state import State

Applied: TypeAlias = Callable[[Command, ReplyBody, JobRecord | None], None]
Send: TypeAlias = Callable[[InstanceId, FrameKind, bytes], None]


class Replica(LogReplica):
    """One member of the group with its journal and its copy of the state.

    :param agreement: the protocol, loaded from the journal.
    :param state: the state up to the snapshot of the journal.
    :param locations: zone and disk of each instance.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        agreement: Agreement,
        journal: Journal,
        state: State,
        locations: Mapping[InstanceId, InstanceLocation],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(
            agreement=agreement, journal=journal, clock=clock, metrics=metrics
        )
        self.settings = settings
        self.state = state
        self.locations = locations
        self.send: Send = _discard_message
        self.on_applied: Applied = _ignore_applied
        self.command_decoder = msgspec.msgpack.Decoder(Command)

    async def propose(self, body: CommandBody) -> ReplyBody:
        """Append a command and return its result once it is applied.

        :raises NotLeaderError: if this member does not lead; the command
            has no effect.
        :raises UndecidedError: if the fate of the command is not known.
        """
        command = Command(time_s=self.clock.wall_s(), body=body)
        payload = msgspec.msgpack.encode(command)
        result: ReplyBody = await self.propose_payload(payload)
        return result

    def apply_entry(self, entry: LogEntry) -> ReplyBody | None:
        """Apply a committed entry to the state."""
        if entry.kind is not EntryKind.COMMAND:
            self.state.index = entry.index
            return None
        command = self.command_decoder.decode(entry.payload)
        before = self._job_before(command.body)
        result = self.state.apply(entry.index, command)
        self.metrics.put(BUNDLE_VERSION, self.state.bundle_version)
        self.on_applied(command, result, before)
        return result

    def snapshot_state(self) -> bytes:
        """Return the whole state, encoded."""
        return self.state.snapshot()

    def restore_state(self, body: bytes) -> None:
        """Replace the state by an encoded one."""
        self.state.restore(body)

    def receivers(self) -> Iterable[InstanceId]:
        """Return all instances of the deployment."""
        return self.locations

    def transmit(self, instance: InstanceId, encoded: bytes) -> None:
        """Send a message of the agreement to a control process."""
        self.send(instance, FrameKind.AGREEMENT, encoded)

    def view(self, record: JobRecord) -> JobView:
        """Return what the caller of a job may see."""
        return view_of(record)

    def members(self) -> Sequence[Mapping[str, Any]]:
        """Return one row for each member of the group."""
        config = self.agreement.config
        caught_up = self.agreement.caught_up(self.clock.monotonic_s())
        voters = {voter.member for voter in config.voters}
        return [
            {
                'member': known.member,
                'instance': known.instance,
                'zone': self.locations[known.instance].zone
                if known.instance in self.locations
                else '',
                'voter': known.member in voters,
                'leader': known.member == self.agreement.leader,
                'caught_up': known.member in caught_up,
            }
            for known in (*config.voters, *config.learners)
        ]

    def change_membership(self, now_s: float) -> None:
        """Propose the next change of the group, if one is due."""
        self.metrics.put(LEADER, 1)
        agreement = self.agreement
        self.metrics.put(VOTERS, len(agreement.config.voters))
        view = GroupView(
            config=agreement.config,
            leader=self.member,
            joining=agreement.joining(now_s),
            caught_up=agreement.caught_up(now_s),
            locations=self.locations,
            zones={zone.zone: zone.state for zone in self.state.zones.values()},
        )
        config = next_config(view)
        if config is not None:
            agreement.propose_config(config, now_s)
            logger.info('Proposed voters {}', _names(config))
            return
        target = transfer_target(view)
        if target is not None:
            logger.info('Leadership moves to {}', target)
            agreement.transfer(now_s, target=target)

    def _job_before(self, body: CommandBody) -> JobRecord | None:
        if isinstance(body, SubmitJob):
            key = (body.job_spec.account, body.job_spec.request)
            return self.state.jobs.get(self.state.job_keys.get(key, _NO_JOB))
        request = getattr(body, 'request', None)
        if request is not None:
            key = (getattr(body, 'account', _NO_JOB), request)
            return self.state.jobs.get(self.state.job_keys.get(key, _NO_JOB))
        return self.state.jobs.get(getattr(body, 'job', _NO_JOB))


_NO_JOB: Any = ''


def _names(config: GroupConfig) -> Sequence[MemberId]:
    return [voter.member for voter in config.voters]


def _discard_message(
    instance: InstanceId, kind: FrameKind, body: bytes
) -> None:
    """Drop a message that is sent before the link is open."""


def _ignore_applied(
    command: Command, result: ReplyBody, before: JobRecord | None
) -> None:
    """Do nothing."""
