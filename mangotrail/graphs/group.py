"""The agreement group: bootstrap from seeds, growth, member replacement."""

import time
from collections.abc import Callable, Iterable, Mapping
from collections.abc import Set as AbstractSet
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger
from msgspec import UnsetType

from mangotrail._effects import Timing
from mangotrail._files import replace_file, storage_error
from mangotrail._graph_settings import GraphSettings
from mangotrail._graphs import GraphCommand, GraphCommandBody, SuspendLease
from mangotrail._log_replica import LogReplica
from mangotrail._peer import EntryKind, GroupConfig, GroupMember, LogEntry
from mangotrail._struct import FrozenStruct
from mangotrail.agreement import Agreement
from mangotrail.clock import Clock
from mangotrail.graphs.compression import compress, decompress
from mangotrail.graphs.state import GraphState
from mangotrail.graphs.suspended_leases import SuspendedLeases
from mangotrail.ids import InstanceId, MemberId
from mangotrail.journal import (
    FileJournal,
    open_identity,
    read_identity,
    write_identity,
)
from mangotrail.membership import founding_identity, founding_member
from mangotrail.metrics import NullMetrics

DEPLOYMENT = 'graphs'
# The seeds in the settings may change later, but the founders of a group never
# do, so they are stored.
FOUNDERS_NAME = 'founders.json'
# A voter that is unresponsive for longer gives its vote to a spare member, if
# there is one. The successor of an instance that is gone must vote within its
# catch-up time, which is 4 s at the least: until then the group bears one loss
# less. A voter that was only paused or restarted returns as a spare. The time
# covers an election and lost heartbeats.
SILENT_VOTER_TIMEOUT_S = 1.5
# Callers wait at most 3 s, so a leader must be replaced well within that time.
# On the other hand, three lost heartbeats in a row, a disk that is 30 times
# slower (180 ms per sync) or a TCP retransmission (200 ms) must not cause an
# election.
TIMING = Timing(
    heartbeat_s=0.15,
    election_min_s=0.6,
    election_max_s=1.0,
    authority_s=0.5,
)

OnApplied = Callable[[GraphCommandBody, Any], None]
Transmit = Callable[[InstanceId, bytes], None]


class GroupHealth(FrozenStruct, frozen=True, kw_only=True):
    """State of the group as observed by its leader.

    :param joining: members outside the group that have asked to join.
    :param caught_up: members that answer and have almost the whole log.
    :param silent: members that have not answered for SILENT_VOTER_TIMEOUT_S, or
        will stop.
    :param size: target number of voters.
    """

    config: GroupConfig
    leader: MemberId
    joining: Mapping[InstanceId, MemberId]
    caught_up: AbstractSet[MemberId]
    silent: AbstractSet[MemberId]
    size: int


def next_group_config(health: GroupHealth) -> GroupConfig | None:
    """Return the configuration to propose next, None if no change is due."""
    for step in (_admit, _promote, _remove_lost):
        config = step(health)
        if config is not None:
            return config
    return None


def _admit(health: GroupHealth) -> GroupConfig | None:
    """Add members that ask to join as learners."""
    known = {
        known_member.member
        for known_member in (*health.config.voters, *health.config.learners)
    }
    joining = [
        GroupMember(member=member, instance=instance)
        for instance, member in sorted(health.joining.items())
        if member not in known
    ]
    if not joining:
        return None
    replaced = {member.instance for member in joining}
    kept = [
        learner
        for learner in health.config.learners
        if learner.instance not in replaced
    ]
    return GroupConfig(voters=health.config.voters, learners=(*kept, *joining))


def _spares(health: GroupHealth) -> list[GroupMember]:
    """Return the learners that are ready to become voters."""
    return [
        learner
        for learner in health.config.learners
        if learner.member in health.caught_up
    ]


def _remove_lost(health: GroupHealth) -> GroupConfig | None:
    """Remove a lost voter that a caught-up learner can replace.

    A voter is lost if its instance has returned with a new identity, or if it
    has been silent for long while the group has its target size.
    """
    spares = _spares(health)
    fresh = {spare.instance for spare in spares}
    full = len(health.config.voters) >= health.size
    for voter in health.config.voters:
        if voter.member == health.leader:
            continue
        silent = full and bool(spares) and voter.member in health.silent
        if voter.instance in fresh or silent:
            voters = tuple(
                other for other in health.config.voters if other != voter
            )
            if _has_live_majority(health, voters):
                return GroupConfig(
                    voters=voters, learners=health.config.learners
                )
    return None


def _promote(health: GroupHealth) -> GroupConfig | None:
    """Make a caught-up learner a voter while the group is below its size."""
    voting = {voter.instance for voter in health.config.voters}
    if len(voting) >= health.size:
        return None
    for learner in _spares(health):
        voters = (*health.config.voters, learner)
        if learner.instance not in voting and _has_live_majority(
            health, voters
        ):
            return GroupConfig(
                voters=voters,
                learners=tuple(
                    other
                    for other in health.config.learners
                    if other != learner
                ),
            )
    return None


def _has_live_majority(
    health: GroupHealth, voters: Iterable[GroupMember]
) -> bool:
    """Whether a majority of the voters is caught up and could commit."""
    members = {voter.member for voter in voters}
    return len(members & health.caught_up) * 2 > len(members)


class GraphReplica(LogReplica):
    """Replica of the job state on one member of the agreement group.

    :param transmit_to: sends an agreement message to an instance.
    """

    def __init__(
        self,
        *,
        settings: GraphSettings,
        agreement: Agreement,
        journal: FileJournal,
        state: GraphState,
        clock: Clock,
        transmit_to: Transmit,
    ) -> None:
        super().__init__(
            agreement=agreement,
            journal=journal,
            clock=clock,
            metrics=NullMetrics(),
        )
        self.settings = settings
        self.state = state
        self.transmit_to = transmit_to
        self.seeds = set(settings.seeds)
        self.on_applied: OnApplied = _ignore
        self.leases = SuspendedLeases(clock)
        self.leases.restore(state.workers)
        self.command_decoder = msgspec.msgpack.Decoder(GraphCommand)

    async def propose(self, body: GraphCommandBody, now_ms: int) -> Any:
        """Append a command and return its result once it is applied.

        :raises NotLeaderError: if this member does not lead; the command
            has no effect.
        :raises UndecidedError: if it is unknown whether the command was
            committed.
        """
        command = GraphCommand(time_ms=now_ms, body=body)
        payload = compress(msgspec.msgpack.encode(command))
        return await self.propose_payload(payload)

    def apply_entry(self, entry: LogEntry) -> Any:
        """Apply a committed entry to the state."""
        if entry.kind is not EntryKind.COMMAND:
            return None
        command = self.command_decoder.decode(decompress(entry.payload))
        result = self.state.apply(command)
        self.leases.observe(
            command.body, self.suspension_age_s(entry, command.body)
        )
        self.on_applied(command.body, result)
        return result

    def suspension_age_s(
        self, entry: LogEntry, body: GraphCommandBody
    ) -> float:
        """Return the least time since the suspension of a lease was proposed.

        A member that stood still applies it late. The clock of the leader that
        proposed it has shown at least the newest reading heard from it.

        :return: seconds; 0 if the age is unknown.
        """
        if (
            not isinstance(body, SuspendLease)
            or isinstance(body.proposed_s, UnsetType)
            or self.agreement.heard_term != entry.term
        ):
            return 0.0
        return max(0.0, self.agreement.heard_s - body.proposed_s)

    def snapshot_state(self) -> bytes:
        """Return the encoded state."""
        return self.state.snapshot()

    def restore_state(self, body: bytes) -> None:
        """Replace the state with a decoded snapshot."""
        self.state.restore(body)
        self.leases.restore(self.state.workers)

    def receivers(self) -> Iterable[InstanceId]:
        """Return the addresses of all other seeds and members."""
        return self.instances() - {self.settings.address}

    def instances(self) -> set[InstanceId]:
        """Return the addresses of all known control instances."""
        config = self.agreement.config
        members = (*config.voters, *config.learners)
        return self.seeds | {named.instance for named in members}

    def transmit(self, instance: InstanceId, encoded: bytes) -> None:
        """Send an agreement message."""
        self.transmit_to(instance, encoded)

    def change_membership(self, now_s: float) -> None:
        """Propose the next change of the group configuration, if one is due."""
        agreement = self.agreement
        lead = agreement.replication
        if lead is None:
            return
        leaving = {
            member for member, peer in lead.peers.items() if peer.is_leaving
        }
        silent = leaving | {
            member
            for member, peer in lead.peers.items()
            if now_s - max(peer.acked_probe_s, lead.elected_s)
            > SILENT_VOTER_TIMEOUT_S
        }
        config = next_group_config(
            GroupHealth(
                config=agreement.config,
                leader=self.member,
                joining=agreement.joining(now_s),
                caught_up=agreement.caught_up(now_s) - leaving,
                silent=silent,
                size=self.settings.voters,
            )
        )
        if config is not None:
            agreement.propose_config(config, now_s)
            logger.info(
                'Proposed voters {} learners {}',
                [voter.instance for voter in config.voters],
                [learner.instance for learner in config.learners],
            )


def _ignore(body: GraphCommandBody, result: Any) -> None:
    """Default handler of applied commands: do nothing."""


def founding_voters(seeds: Iterable[InstanceId]) -> GroupConfig:
    """Return the initial configuration of a new group."""
    return GroupConfig(
        voters=tuple(
            GroupMember(member=founding_member(seed), instance=seed)
            for seed in sorted(seeds)
        ),
        learners=(),
    )


def load_founders(
    folder: Path, settings: GraphSettings
) -> tuple[InstanceId, ...]:
    """Load the founders; at the first start of a founder, store them.

    A founder that has lost its disk must not found a second group. The group
    exists by then, so the settings no longer say ``founding`` and it loads no
    founders.

    :return: empty if this instance is not a founder.
    :raises StorageError: if the file cannot be read or written.
    """
    path = folder / FOUNDERS_NAME
    founds = settings.founding and settings.address in settings.seeds
    try:
        if path.exists():
            return msgspec.json.decode(
                path.read_bytes(), type=tuple[InstanceId, ...]
            )
        if founds and read_identity(folder) is None:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            replace_file(path, msgspec.json.encode(sorted(settings.seeds)))
            return tuple(sorted(settings.seeds))
    except OSError as error:
        raise storage_error(folder, error) from error
    return ()


def open_group(
    *, settings: GraphSettings, clock: Clock, transmit_to: Transmit
) -> GraphReplica:
    """Open the journal of this instance and load agreement and state.

    :raises StorageError: if the journal is damaged or cannot be used.
    """
    folder = Path(settings.data_folder)
    founders = load_founders(folder, settings)
    if founders and read_identity(folder) is None:
        write_identity(
            folder,
            founding_identity(deployment=DEPLOYMENT, instance=settings.address),
        )
    identity = open_identity(
        folder, deployment=DEPLOYMENT, instance=settings.address
    )
    journal = FileJournal(folder)
    recovered = journal.load()
    if recovered.truncated_bytes:
        logger.warning(
            'Truncated a torn write of {} bytes', recovered.truncated_bytes
        )
    state = GraphState()
    snapshot = recovered.snapshot
    if snapshot is not None:
        state.restore(snapshot.body)
    agreement = Agreement(
        member=identity.member,
        instance=settings.address,
        log=recovered.entries,
        hard_state=recovered.hard_state,
        config=founding_voters(founders if identity.founding else ()),
        seed=time.time_ns() ^ hash(identity.member),
        snapshot=snapshot.meta if snapshot else None,
        timing=TIMING,
        min_copies=settings.min_copies,
    )
    return GraphReplica(
        settings=settings,
        agreement=agreement,
        journal=journal,
        state=state,
        clock=clock,
        transmit_to=transmit_to,
    )
