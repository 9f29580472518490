"""Types generated from schema/graph_settings.json."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated

from msgspec import Meta, field

from mangotrail._struct import FrozenStruct
from mangotrail.ids import InstanceId, RegionId, ZoneId


class GraphTiming(FrozenStruct, frozen=True, kw_only=True):
    """
    Periods and bounds in milliseconds, as the deployment promises them.
    """

    lease_ms: Annotated[
        int, Meta(description='Longest lease that a worker grants.', ge=1)
    ] = 10000
    stop_ms: Annotated[
        int,
        Meta(
            description='Longest time that a worker takes to stop a run.', ge=1
        ),
    ] = 400
    gang_wait_ms: Annotated[
        int,
        Meta(
            description='Time after which a gang member gives up waiting for the others.',
            ge=1,
        ),
    ] = 3000
    heartbeat_ms: Annotated[
        int, Meta(description='Period of the heartbeats of workers.', ge=1)
    ] = 1500
    reclaim_ms: Annotated[
        int, Meta(description='Time in which a guarantee must be met.', ge=1)
    ] = 2900
    early_ms: Annotated[
        int,
        Meta(
            description='An occurrence may start this much before it is due.',
            ge=0,
        ),
    ] = 250
    grace_ms: Annotated[
        int,
        Meta(description='Time between a request to stop and a kill.', ge=1),
    ] = 6000
    ack_ms: Annotated[
        int,
        Meta(
            description='Time in which operators expect an acknowledgement.',
            ge=1,
        ),
    ] = 4000
    restore_ms: Annotated[
        int,
        Meta(
            description='Time that a task needs to resume from saved progress.',
            ge=0,
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
    Settings of one process that serves jobs made of steps.
    """

    instance: Annotated[
        str, Meta(description='Name of the instance, for logs.')
    ]
    address: Annotated[
        InstanceId,
        Meta(description='Host and port for calls between instances.'),
    ]
    seeds: Annotated[
        Sequence[InstanceId],
        Meta(description='Addresses of control instances known at the start.'),
    ]
    zone: ZoneId
    region: RegionId
    timing: GraphTiming
    listen_address: Annotated[
        str,
        Meta(
            description='Host and port to listen on for calls between instances, if others reach them through another address; empty for the same.'
        ),
    ] = ''
    founding: Annotated[
        bool,
        Meta(description='The group does not exist yet; its seeds found it.'),
    ] = False
    data_folder: Annotated[
        str, Meta(description='Folder on a disk; empty without a disk.')
    ] = ''
    min_copies: Annotated[
        int,
        Meta(
            description='Disks that hold an entry before it is acknowledged.',
            ge=0,
        ),
    ] = 0
    voters: Annotated[
        int, Meta(description='Voters that the group grows to.', ge=1)
    ] = 5
    listen: Annotated[
        Mapping[str, str],
        Meta(
            description='Host and port of each interface that the process serves.'
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
        Meta(description='Host and port of the metrics page; empty for none.'),
    ] = ''
