"""Types generated from schema/bundle.json."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated

from msgspec import Meta, field

from mangotrail._struct import FrozenStruct
from mangotrail.ids import AccountId, RegionId, ServiceId, WorkerId, ZoneId


class BundleSchema(FrozenStruct, frozen=True, kw_only=True):
    pass


class Level(StrEnum):
    """
    Smallest part of the topology that must hold a whole cell or gang.
    """

    WORKER = 'worker'
    RACK = 'rack'
    ZONE = 'zone'


class GuaranteedShape(FrozenStruct, frozen=True, kw_only=True):
    """
    Cells of adjacent accelerators that an account can always reclaim.
    """

    level: Annotated[
        Level, Meta(description='Part of the topology that holds each cell.')
    ]
    accelerators: Annotated[
        int,
        Meta(description='Adjacent accelerators in one cell.', ge=1, le=4096),
    ]
    count: Annotated[
        int, Meta(description='Number of such cells.', ge=1, le=4096)
    ]


class AccountSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A client account, its guarantees and its limits.
    """

    account: Annotated[
        AccountId,
        Meta(
            description='Name of the client account.',
            max_length=64,
            min_length=1,
        ),
    ]
    guarantees: Annotated[
        Sequence[GuaranteedShape],
        Meta(
            description='Shapes that the account can always reclaim.',
            max_length=64,
        ),
    ] = field(default_factory=list)
    weight: Annotated[
        int,
        Meta(
            description='Relative share of the capacity that is not guaranteed to any account.',
            ge=1,
            le=1000,
        ),
    ] = 1
    max_queued: Annotated[
        int,
        Meta(
            description='Jobs that may wait; further jobs are refused without being run.',
            ge=1,
            le=100000,
        ),
    ] = 1000
    max_running: Annotated[
        int, Meta(description='Jobs that may run at once.', ge=1, le=100000)
    ] = 1000


class ServiceSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A service whose endpoints answer requests.
    """

    service: Annotated[
        ServiceId,
        Meta(description='Name of the service.', max_length=64, min_length=1),
    ]


class RackSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A rack of equal workers.
    """

    rack: Annotated[
        str,
        Meta(
            description='Name of the rack, unique in its zone.',
            max_length=64,
            min_length=1,
        ),
    ]
    workers: Annotated[
        Sequence[WorkerId],
        Meta(
            description='Names of the workers, unique in the bundle.',
            max_length=256,
            min_length=1,
        ),
    ]
    accelerators: Annotated[
        int, Meta(description='Accelerators of each worker.', ge=0, le=64)
    ] = 8
    cores: Annotated[
        int, Meta(description='Processor cores of each worker.', ge=1, le=4096)
    ] = 32
    memory_gb: Annotated[
        int,
        Meta(description='Memory of each worker in gigabytes.', ge=1, le=65536),
    ] = 128


class ZoneSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    An availability zone with its workers.
    """

    zone: Annotated[
        ZoneId,
        Meta(
            description='Name of the availability zone.',
            max_length=64,
            min_length=1,
        ),
    ]
    region: Annotated[
        RegionId,
        Meta(description='Region of the zone.', max_length=64, min_length=1),
    ]
    platform_url: Annotated[
        str,
        Meta(
            description="Base URL of the platform's worker interface in this zone.",
            max_length=256,
            min_length=1,
        ),
    ]
    racks: Annotated[
        Sequence[RackSpec],
        Meta(description='Racks of the zone.', max_length=256, min_length=1),
    ]
    slots: Annotated[
        int,
        Meta(description='Tasks that a worker runs at once.', ge=1, le=1024),
    ] = 8
    connections: Annotated[
        int,
        Meta(
            description='Connections that a worker accepts at once.',
            ge=1,
            le=65536,
        ),
    ] = 64


class LimitSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    Limits that hold for every account.
    """

    max_payload_bytes: Annotated[
        int,
        Meta(description='Largest request payload in bytes.', ge=1, le=1048576),
    ] = 65536
    max_answer_bytes: Annotated[
        int, Meta(description='Largest answer in bytes.', ge=1, le=268435456)
    ] = 16777216
    retention_s: Annotated[
        int,
        Meta(
            description='Seconds for which a finished request is remembered.',
            ge=60,
            le=2592000,
        ),
    ] = 86400
    max_attempts: Annotated[
        int, Meta(description='Attempts for one idempotent job.', ge=1, le=10)
    ] = 3
    reclaim_s: Annotated[
        int,
        Meta(
            description='Seconds from a reclaim until the borrowing job is stopped.',
            ge=1,
            le=3600,
        ),
    ] = 30
    max_quarantine_percent: Annotated[
        int,
        Meta(
            description='Largest share of the workers that may be in quarantine, in percent.',
            ge=0,
            le=100,
        ),
    ] = 20


class Bundle(FrozenStruct, frozen=True, kw_only=True):
    """
    One version of the configuration that operators write, sign and roll out.
    """

    schema_version: Annotated[
        int, Meta(description='Version of this format.', ge=1, le=1)
    ]
    services: Annotated[
        Sequence[ServiceSpec],
        Meta(
            description='Services that endpoints can announce.',
            max_length=256,
            min_length=1,
        ),
    ]
    zones: Annotated[
        Sequence[ZoneSpec],
        Meta(
            description='Availability zones with their workers.',
            max_length=64,
            min_length=1,
        ),
    ]
    accounts: Annotated[
        Sequence[AccountSpec],
        Meta(description='Client accounts.', max_length=1024, min_length=1),
    ]
    limits: Annotated[LimitSpec, Meta(description='Limits for every account.')]
