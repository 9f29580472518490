"""Types generated from schema/graph_settings.json."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated

from msgspec import Meta, field

from mangotrail._struct import FrozenStruct
from mangotrail.ids import InstanceId, RegionId, ZoneId


class GraphTiming(FrozenStruct, frozen=True, kw_only=True):
    """
    Periods and time limits of the deployment in milliseconds.
    """

    lease_ms: Annotated[
        int, Meta(description='Longest lease that a worker grants.', ge=1)
    ] = 10000
    stop_ms: Annotated[
        int,
        Meta(description='Longest time a worker takes to stop a run.', ge=1),
    ] = 400
    gang_wait_ms: Annotated[
        int,
        Meta(
            description='Longest time a gang member waits for the others.', ge=1
        ),
    ] = 3000
    heartbeat_ms: Annotated[
        int, Meta(description='Interval between heartbeats of a worker.', ge=1)
    ] = 1500
    reclaim_ms: Annotated[
        int, Meta(description='Time limit for meeting a guarantee.', ge=1)
    ] = 2900
    early_ms: Annotated[
        int,
        Meta(
            description='Longest time by which an occurrence may start early.',
            ge=0,
        ),
    ] = 250
    grace_ms: Annotated[
        int,
        Meta(
            description='Grace period between a stop request and a kill.', ge=1
        ),
    ] = 6000
    ack_ms: Annotated[
        int, Meta(description='Time limit for acknowledging an operator.', ge=1)
    ] = 4000
    restore_ms: Annotated[
        int,
        Meta(
            description='Time a task needs to resume from a checkpoint.', ge=0
        ),
    ] = 0
    spread_factor: Annotated[
        float,
        Meta(
            description='Slowdown of a gang across racks and of tasks far from their data.'
        ),
    ] = 3


class GraphSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    Settings of one control or entry process.
    """

    instance: Annotated[str, Meta(description='Name of the instance in logs.')]
    address: Annotated[
        InstanceId,
        Meta(description='Host and port for calls between instances.'),
    ]
    seeds: Annotated[
        Sequence[InstanceId],
        Meta(
            description='Addresses of the control instances that are known initially.'
        ),
    ]
    zone: ZoneId
    region: RegionId
    timing: GraphTiming
    listen_address: Annotated[
        str,
        Meta(
            description='Host and port to listen on for calls between instances, if they differ from those in address; empty if they are the same.'
        ),
    ] = ''
    founding: Annotated[
        bool,
        Meta(
            description='The group does not exist yet and is founded by the seeds.'
        ),
    ] = False
    data_folder: Annotated[
        str,
        Meta(
            description='Folder for stored data; empty on an instance without a disk.'
        ),
    ] = ''
    min_copies: Annotated[
        int,
        Meta(
            description='Number of disks that must hold an entry before it is acknowledged.',
            ge=0,
        ),
    ] = 0
    voters: Annotated[
        int, Meta(description='Target number of voters of the group.', ge=1)
    ] = 5
    listen: Annotated[
        Mapping[str, str],
        Meta(
            description='Host and port of each interface served by the process, by name.'
        ),
    ] = field(default_factory=dict)
    known_zones: Sequence[ZoneId] = field(default_factory=list)
    adviser_address: Annotated[
        str,
        Meta(
            description='Host and port of the adviser; empty if there is none.'
        ),
    ] = ''
    metrics_address: Annotated[
        str,
        Meta(
            description='Host and port of the metrics page; empty to serve none.'
        ),
    ] = ''
