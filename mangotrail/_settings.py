"""Types generated from schema/settings.json."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from mangotrail._struct import FrozenStruct
from mangotrail.ids import InstanceId, RegionId, ZoneId


class SettingsSchema(FrozenStruct, frozen=True, kw_only=True):
    pass


class Address(FrozenStruct, frozen=True, kw_only=True):
    """
    An IP address and a TCP port.
    """

    host: Annotated[
        str,
        Meta(
            description='IPv4 or IPv6 address; host names are rejected.',
            max_length=45,
            min_length=2,
        ),
    ]
    port: Annotated[int, Meta(description='Port number.', ge=1, le=65535)]


class PeerSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    One instance of the deployment, as each instance knows it.
    """

    instance: Annotated[
        InstanceId,
        Meta(
            description='Name of the instance, unique in the deployment.',
            max_length=64,
            min_length=1,
        ),
    ]
    zone: Annotated[
        ZoneId,
        Meta(
            description='Availability zone that the instance is in.',
            max_length=64,
            min_length=1,
        ),
    ]
    region: Annotated[
        RegionId,
        Meta(description='Region of that zone.', max_length=64, min_length=1),
    ]
    control: Annotated[
        Address,
        Meta(
            description='Address at which other control processes reach this one.'
        ),
    ]
    gateway: Annotated[
        Address, Meta(description='Address at which the gateway serves HTTP.')
    ]
    has_disk: Annotated[
        bool,
        Meta(
            description='Whether the instance can vote; needed in at least 3 zones.'
        ),
    ]


class LogFormat(StrEnum):
    HUMAN = 'human'
    JSON = 'json'


class LogLevel(StrEnum):
    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class LogSettings(FrozenStruct, frozen=True, kw_only=True):
    format: Annotated[
        LogFormat, Meta(description='Human-readable lines or JSON lines.')
    ] = LogFormat.HUMAN
    level: Annotated[
        LogLevel, Meta(description='Lowest level that is written.')
    ] = LogLevel.INFO


class HttpSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    Limits of the gateway's HTTP server.
    """

    max_body_bytes: Annotated[
        int,
        Meta(
            description='Largest request body in bytes.', ge=1024, le=16777216
        ),
    ] = 1048576
    body_timeout_s: Annotated[
        int,
        Meta(
            description='Seconds within which a request body must arrive.',
            ge=1,
            le=600,
        ),
    ] = 10
    max_connections: Annotated[
        int,
        Meta(
            description='Connections that the gateway accepts at once.',
            ge=8,
            le=65536,
        ),
    ] = 512
    drain_timeout_s: Annotated[
        int,
        Meta(
            description='Longest graceful shutdown in seconds.', ge=1, le=86400
        ),
    ] = 300
    answer_cache_bytes: Annotated[
        int,
        Meta(
            description='Memory for answers that are kept for retries, in bytes.',
            ge=0,
            le=1073741824,
        ),
    ] = 33554432
    answer_cache_s: Annotated[
        int,
        Meta(
            description='Seconds for which such an answer is kept.',
            ge=1,
            le=86400,
        ),
    ] = 600


class TimingSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    Periods and timeouts in milliseconds.
    """

    heartbeat_ms: Annotated[
        int,
        Meta(
            description='Time between two heartbeats of the leader.',
            ge=20,
            le=5000,
        ),
    ] = 300
    election_min_ms: Annotated[
        int,
        Meta(
            description='Shortest time without a heartbeat after which a voter starts an election; must exceed authority_ms.',
            ge=100,
            le=30000,
        ),
    ] = 1200
    election_max_ms: Annotated[
        int,
        Meta(
            description='Longest such time; each voter draws its own between the two.',
            ge=150,
            le=60000,
        ),
    ] = 2000
    authority_ms: Annotated[
        int,
        Meta(
            description="Time for which a quorum's acknowledgement lets the leader decide; must exceed twice heartbeat_ms.",
            ge=50,
            le=20000,
        ),
    ] = 1000
    confirm_ms: Annotated[
        int,
        Meta(
            description='Age at which the confirmation of a start expires.',
            ge=100,
            le=4000,
        ),
    ] = 2000
    lease_ms: Annotated[
        int,
        Meta(
            description='Time for which tasks run without renewal; must exceed twice renew_ms.',
            ge=1000,
            le=600000,
        ),
    ] = 15000
    renew_ms: Annotated[
        int,
        Meta(
            description='Time between two renewals of a lease.',
            ge=200,
            le=200000,
        ),
    ] = 5000
    endpoint_ttl_ms: Annotated[
        int,
        Meta(
            description='Time without an announcement after which an endpoint receives no new work.',
            ge=1000,
            le=600000,
        ),
    ] = 15000


class Settings(FrozenStruct, frozen=True, kw_only=True):
    """
    Settings of both processes of one instance.
    """

    schema_version: Annotated[
        int, Meta(description='Version of this format.', ge=1, le=1)
    ]
    deployment: Annotated[
        str,
        Meta(
            description='Name of the deployment; frames of other deployments are rejected.',
            max_length=64,
            min_length=1,
        ),
    ]
    instance: Annotated[
        InstanceId,
        Meta(
            description='Name of this instance; must be among peers.',
            max_length=64,
            min_length=1,
        ),
    ]
    peers: Annotated[
        Sequence[PeerSettings],
        Meta(
            description='All instances of the deployment, this one included.',
            max_length=32,
            min_length=1,
        ),
    ]
    gateway_link: Annotated[
        Address,
        Meta(
            description='Address at which the control process listens for its own gateway.'
        ),
    ]
    credentials_file: Annotated[
        str,
        Meta(
            description='Absolute path of the credentials file.',
            max_length=4096,
            min_length=1,
        ),
    ]
    log: Annotated[
        LogSettings, Meta(description='Format and level of the log.')
    ]
    http: Annotated[
        HttpSettings, Meta(description="Limits of the gateway's HTTP server.")
    ]
    timing: Annotated[TimingSettings, Meta(description='Periods and timeouts.')]
    data_folder: (
        Annotated[
            str,
            Meta(
                description="Absolute path of the journal's folder; null if and only if the instance has no disk."
            ),
        ]
        | None
    ) = None
    statsd: (
        Annotated[
            Address,
            Meta(description='statsd server for metrics; null for none.'),
        ]
        | None
    ) = None


class Credentials(FrozenStruct, frozen=True, kw_only=True):
    """
    Bearer tokens by role; the file must have mode 0600.
    """

    operators: Annotated[
        Mapping[str, str], Meta(description='Operator name to token.')
    ]
    accounts: Annotated[
        Mapping[str, str], Meta(description='Client account to token.')
    ]
    services: Annotated[
        Mapping[str, str],
        Meta(description='Service to token, for its endpoints.'),
    ]
