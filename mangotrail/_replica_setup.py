"""Opens the journal of an instance and builds its replica from it."""

import time
from collections.abc import Mapping
from pathlib import Path

from loguru import logger

from mangotrail._effects import Timing
from mangotrail._peer import GroupConfig
from mangotrail._replica import Replica
from mangotrail._settings import Settings
from mangotrail.agreement import Agreement
from mangotrail.clock import Clock
from mangotrail.ids import InstanceId
from mangotrail.journal import (
    DisklessJournal,
    FileJournal,
    Journal,
    fresh_identity,
    open_identity,
)
from mangotrail.membership import (
    InstanceLocation,
    check_zone_redundancy,
    founding_config,
)
from mangotrail.metrics import Metrics
from mangotrail.state import State


def instance_locations(
    settings: Settings,
) -> Mapping[InstanceId, InstanceLocation]:
    """Return where the instances of a deployment are."""
    return {
        peer.instance: InstanceLocation(
            instance=peer.instance, zone=peer.zone, has_disk=peer.has_disk
        )
        for peer in settings.peers
    }


def open_replica(
    *, settings: Settings, clock: Clock, metrics: Metrics
) -> Replica:
    """Open the journal of this instance and load agreement and state.

    :raises SettingsError: if the deployment has too few disks, or the data
        folder belongs to another instance.
    :raises StorageError: if the journal is damaged or cannot be used.
    """
    locations = instance_locations(settings)
    check_zone_redundancy(locations.values())
    journal: Journal
    if settings.data_folder is None:
        journal = DisklessJournal()
        identity = fresh_identity(
            deployment=settings.deployment, instance=settings.instance
        )
    else:
        folder = Path(settings.data_folder)
        identity = open_identity(
            folder,
            deployment=settings.deployment,
            instance=settings.instance,
        )
        journal = FileJournal(folder)
    recovered = journal.load()
    if recovered.truncated_bytes:
        logger.warning('Cut a torn tail of {} bytes', recovered.truncated_bytes)
    state = State()
    snapshot = recovered.snapshot
    if snapshot is not None:
        state.restore(snapshot.body)
    founding = founding_config(locations.values())
    agreement = Agreement(
        member=identity.member,
        instance=settings.instance,
        log=recovered.entries,
        hard_state=recovered.hard_state,
        config=founding
        if identity.founding
        else GroupConfig(voters=(), learners=()),
        seed=time.time_ns() ^ hash(identity.member),
        snapshot=snapshot.meta if snapshot else None,
        timing=timing_of(settings),
        can_vote=settings.data_folder is not None,
    )
    return Replica(
        settings=settings,
        agreement=agreement,
        journal=journal,
        state=state,
        locations=locations,
        clock=clock,
        metrics=metrics,
    )


def timing_of(settings: Settings) -> Timing:
    """Return the periods of the agreement in seconds."""
    timing = settings.timing
    return Timing(
        heartbeat_s=timing.heartbeat_ms / 1000,
        election_min_s=timing.election_min_ms / 1000,
        election_max_s=timing.election_max_ms / 1000,
        authority_s=timing.authority_ms / 1000,
    )
