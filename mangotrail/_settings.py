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

    host: Annotated[str, Meta(max_length=45, min_length=2)]
    port: Annotated[int, Meta(ge=1, le=65535)]


class PeerSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    One instance of the deployment, as each instance knows it.
    """

    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
    zone: Annotated[ZoneId, Meta(max_length=64, min_length=1)]
    region: Annotated[RegionId, Meta(max_length=64, min_length=1)]
    control: Address
    gateway: Address
    has_disk: bool


class LogFormat(StrEnum):
    HUMAN = 'human'
    JSON = 'json'


class LogLevel(StrEnum):
    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class LogSettings(FrozenStruct, frozen=True, kw_only=True):
    format: LogFormat = LogFormat.HUMAN
    level: LogLevel = LogLevel.INFO


class HttpSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    Bounds of the HTTP server of the gateway.
    """

    max_body_bytes: Annotated[int, Meta(ge=1024, le=16777216)] = 1048576
    body_timeout_s: Annotated[int, Meta(ge=1, le=600)] = 10
    max_connections: Annotated[int, Meta(ge=8, le=65536)] = 512
    drain_timeout_s: Annotated[int, Meta(ge=1, le=86400)] = 300
    answer_cache_bytes: Annotated[int, Meta(ge=0, le=1073741824)] = 33554432
    answer_cache_s: Annotated[int, Meta(ge=1, le=86400)] = 600


class TimingSettings(FrozenStruct, frozen=True, kw_only=True):
    """
    Periods and timeouts in milliseconds.
    """

    heartbeat_ms: Annotated[int, Meta(ge=20, le=5000)] = 300
    election_min_ms: Annotated[int, Meta(ge=100, le=30000)] = 1200
    election_max_ms: Annotated[int, Meta(ge=150, le=60000)] = 2000
    authority_ms: Annotated[int, Meta(ge=50, le=20000)] = 1000
    confirm_ms: Annotated[int, Meta(ge=100, le=4000)] = 2000
    lease_ms: Annotated[int, Meta(ge=1000, le=600000)] = 15000
    renew_ms: Annotated[int, Meta(ge=200, le=200000)] = 5000
    endpoint_ttl_ms: Annotated[int, Meta(ge=1000, le=600000)] = 15000


class Settings(FrozenStruct, frozen=True, kw_only=True):
    """
    Settings of both processes of one instance.
    """

    schema_version: Annotated[int, Meta(ge=1, le=1)]
    deployment: Annotated[str, Meta(max_length=64, min_length=1)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
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
            description='Where the control process listens for its own gateway.'
        ),
    ]
    credentials_file: Annotated[str, Meta(max_length=4096, min_length=1)]
    log: LogSettings
    http: HttpSettings
    timing: TimingSettings
    data_folder: (
        Annotated[
            str,
            Meta(
                description='Folder of the journal; null on an instance without a disk.'
            ),
        ]
        | None
    ) = None
    statsd: Address | None = None


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
