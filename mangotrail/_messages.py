"""Types generated from schema/messages.json."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta

from mangotrail._bundle import Bundle
from mangotrail._struct import FrozenStruct
from mangotrail.ids import (
    AccountId,
    EndpointId,
    InstanceId,
    JobId,
    OperationId,
    RequestId,
    ServiceId,
    WorkerId,
    ZoneId,
)


class MessagesSchema(FrozenStruct, frozen=True, kw_only=True):
    pass


class GangLevel(StrEnum):
    """
    Part of the topology that must hold a whole gang.
    """

    WORKER = 'worker'
    RACK = 'rack'
    ZONE = 'zone'


class JobState(StrEnum):
    """
    Progress of a job.
    """

    QUEUED = 'queued'
    GRANTED = 'granted'
    RUNNING = 'running'
    FINISHED = 'finished'


class Outcome(StrEnum):
    """
    How a job ended.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'cancelled'


class ZoneState(StrEnum):
    """
    Whether an availability zone takes work.
    """

    IN = 'in'
    DRAINING = 'draining'
    OUT = 'out'


class BundleState(StrEnum):
    """
    Progress of a bundle version.
    """

    WRITTEN = 'written'
    SIGNED = 'signed'
    IN_FORCE = 'in_force'
    SUPERSEDED = 'superseded'


class View(StrEnum):
    """
    Part of the state that an operator can list.
    """

    BUNDLES = 'bundles'
    VERSIONS = 'versions'
    ZONES = 'zones'
    ACCOUNTS = 'accounts'
    JOBS = 'jobs'
    ENDPOINTS = 'endpoints'
    MEMBERS = 'members'
    DUMP = 'dump'


class AttemptStatus(StrEnum):
    """
    Status of an attempt as its dispatcher reports it.
    """

    BEGAN = 'began'
    NOTHING_RAN = 'nothing_ran'
    ANSWERED = 'answered'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    STOPPED = 'stopped'


class JobShape(FrozenStruct, frozen=True, kw_only=True):
    """
    Size of a gang.
    """

    members: Annotated[int, Meta(ge=1, le=64)] = 1
    accelerators: Annotated[
        int, Meta(description='Accelerators of each member.', ge=0, le=64)
    ] = 1
    level: GangLevel = GangLevel.ZONE


class JobSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A job as its caller submits it.
    """

    account: Annotated[AccountId, Meta(max_length=128, min_length=1)]
    request: Annotated[RequestId, Meta(max_length=128, min_length=1)]
    service: Annotated[ServiceId, Meta(max_length=128, min_length=1)]
    shape: JobShape
    created_at_s: Annotated[
        float,
        Meta(
            description='Caller time of creation, seconds since the epoch.',
            ge=0.0,
        ),
    ]
    job_kind: Annotated[
        str,
        Meta(
            description='Jobs of one kind share learned run times.',
            max_length=64,
        ),
    ] = 'default'
    urgent: bool = False
    idempotent: bool = True
    preemptible: bool = True
    declared_runtime_s: Annotated[float, Meta(ge=0.0, le=31536000.0)] = 0
    deadline_s: (
        Annotated[
            float,
            Meta(
                description='Seconds from acceptance until the caller no longer needs the answer.',
                ge=0.0,
                le=31536000.0,
            ),
        ]
        | None
    ) = None
    payload: Annotated[str, Meta(max_length=1048576)] = ''


Accelerator: TypeAlias = Annotated[int, Meta(ge=0)]


class MemberPlacement(FrozenStruct, frozen=True, kw_only=True):
    """
    Where one member of a gang runs.
    """

    worker: Annotated[WorkerId, Meta(max_length=128)]
    accelerators: Sequence[Accelerator]


class Placement(FrozenStruct, frozen=True, kw_only=True):
    """
    Where a gang runs.
    """

    zone: Annotated[ZoneId, Meta(max_length=128)]
    members: Sequence[MemberPlacement]
    endpoint: Annotated[EndpointId, Meta(max_length=128)]
    endpoint_url: str
    platform_url: str


class JobView(FrozenStruct, frozen=True, kw_only=True):
    """
    State of a job as its caller sees it.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    account: Annotated[AccountId, Meta(max_length=128)]
    request: Annotated[RequestId, Meta(max_length=128)]
    state: JobState
    outcome: Outcome | None = None
    ran: Annotated[bool, Meta(description='Whether any part may have run.')] = (
        False
    )
    reason: str = ''
    attempt: Annotated[int, Meta(ge=0)] = 0
    zone: ZoneId | None = None
    answer: bytes | None = None
    answer_sha256: str = ''
    answer_bytes: Annotated[int, Meta(ge=0)] = 0
    holder: InstanceId | None = None


class WriteBundle(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='write_bundle',
):
    """
    Adds a bundle version if its parent is the newest version.
    """

    operation: Annotated[OperationId, Meta(max_length=128, min_length=1)]
    operator: Annotated[str, Meta(max_length=64)]
    parent_version: Annotated[int, Meta(ge=0)]
    parent_digest: Annotated[str, Meta(max_length=64)]
    bundle: Bundle


class SignBundle(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='sign_bundle'
):
    """
    Signs a written bundle version.
    """

    operation: Annotated[OperationId, Meta(max_length=128, min_length=1)]
    operator: Annotated[str, Meta(max_length=64)]
    version: Annotated[int, Meta(ge=1)]
    digest: Annotated[str, Meta(max_length=64)]


class RollOutBundle(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='roll_out_bundle',
):
    """
    Rolls out a signed bundle version.
    """

    operation: Annotated[OperationId, Meta(max_length=128, min_length=1)]
    operator: Annotated[str, Meta(max_length=64)]
    version: Annotated[int, Meta(ge=1)]
    digest: Annotated[str, Meta(max_length=64)]


class SetZone(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='set_zone'
):
    """
    Changes the state of an availability zone.
    """

    operation: Annotated[OperationId, Meta(max_length=128, min_length=1)]
    operator: Annotated[str, Meta(max_length=64)]
    zone: Annotated[ZoneId, Meta(max_length=128, min_length=1)]
    state: ZoneState
    deadline_s: Annotated[
        float,
        Meta(
            description='Seconds until running work there must have stopped.',
            ge=0.0,
            le=86400.0,
        ),
    ] = 0


class AnnounceEndpoint(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='announce_endpoint',
):
    """
    Adds an endpoint or a new generation of it.
    """

    endpoint: Annotated[EndpointId, Meta(max_length=128, min_length=1)]
    generation: Annotated[int, Meta(ge=1)]
    service: Annotated[ServiceId, Meta(max_length=128, min_length=1)]
    zone: Annotated[ZoneId, Meta(max_length=128, min_length=1)]
    url: Annotated[str, Meta(max_length=256, min_length=1)]
    worker: WorkerId | None = None


class LeaveEndpoint(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='leave_endpoint',
):
    """
    Removes one generation of an endpoint for new work.
    """

    endpoint: Annotated[EndpointId, Meta(max_length=128, min_length=1)]
    generation: Annotated[int, Meta(ge=1)]


class SubmitJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='submit_job'
):
    """
    Accepts a job.
    """

    job_spec: JobSpec
    origin: Annotated[InstanceId, Meta(max_length=128)]


class GrantJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='grant_job'
):
    """
    Records that an attempt may run from now on.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    placement: Placement
    dispatcher: Annotated[InstanceId, Meta(max_length=128)]


class StartJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='start_job'
):
    """
    Records that the whole gang of an attempt began.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]


class AdoptJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='adopt_job'
):
    """
    Moves an attempt to another dispatcher.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    dispatcher: Annotated[InstanceId, Meta(max_length=128)]


class RequeueJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='requeue_job'
):
    """
    Ends an attempt and queues the job again.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    reason: Annotated[str, Meta(max_length=256)]
    ran: Annotated[
        bool, Meta(description='Whether any part of the attempt may have run.')
    ]


class FinishJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='finish_job'
):
    """
    Ends a job.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=0)]
    outcome: Outcome
    ran: bool
    reason: Annotated[str, Meta(max_length=256)] = ''
    answer: bytes | None = None
    answer_sha256: str = ''
    answer_bytes: Annotated[int, Meta(ge=0)] = 0
    holder: InstanceId | None = None
    runtime_s: Annotated[float, Meta(ge=0.0)] = 0


class CancelJob(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='cancel_job'
):
    """
    Cancels a job of an account.
    """

    account: Annotated[AccountId, Meta(max_length=128)]
    request: Annotated[RequestId, Meta(max_length=128)]


class ExpireRecords(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='expire_records',
):
    """
    Drops finished jobs that are older than the retention.
    """


CommandBody: TypeAlias = Annotated[
    WriteBundle
    | SignBundle
    | RollOutBundle
    | SetZone
    | AnnounceEndpoint
    | LeaveEndpoint
    | SubmitJob
    | GrantJob
    | StartJob
    | AdoptJob
    | RequeueJob
    | FinishJob
    | CancelJob
    | ExpireRecords,
    Meta(description='Operation of a log entry on the replicated state.'),
]


class Command(FrozenStruct, frozen=True, kw_only=True):
    """
    A log entry of the replicated state.
    """

    time_s: Annotated[
        float,
        Meta(description='Wall time of the leader, seconds since the epoch.'),
    ]
    body: CommandBody


class Failure(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='failure'
):
    """
    A typed error that is returned to a caller.
    """

    code: str
    message: str
    field_name: str = ''
    value: str = ''
    allowed: str = ''
    remedy: str = ''
    not_run: bool = False
    status: int = 400


class Accepted(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='accepted'
):
    """
    Reply to a command that took effect.
    """

    version: int = 0
    digest: str = ''


class JobReply(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='job_reply'
):
    """
    State of one job.
    """

    view: JobView


class DocumentReply(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='document'
):
    """
    A JSON document.
    """

    body: bytes


class ConfirmReply(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='confirm_reply',
):
    """
    Whether an attempt may begin now.
    """

    granted: bool
    reason: str = ''


ReplyBody: TypeAlias = Annotated[
    Failure | Accepted | JobReply | DocumentReply | ConfirmReply,
    Meta(description='Answer to a call.'),
]


class SubmitCall(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='submit_call'
):
    """
    Submits a job, or joins the job of an earlier attempt with the same request id.
    """

    job_spec: JobSpec


class WaitCall(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='wait_call'
):
    """
    Waits for the end of a job.
    """

    account: Annotated[AccountId, Meta(max_length=128)]
    request: Annotated[RequestId, Meta(max_length=128)]
    wait_s: Annotated[float, Meta(ge=0.0, le=60.0)] = 0


class ConfirmCall(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='confirm_call',
):
    """
    Asks whether an attempt may begin.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]


class AttemptReport(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='attempt_report',
):
    """
    Reports the status of an attempt to the leader.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    status: AttemptStatus
    reason: str = ''
    worker: WorkerId | None = None
    answer: bytes | None = None
    answer_sha256: str = ''
    answer_bytes: int = 0
    runtime_s: float = 0


class HeartbeatCall(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='heartbeat_call',
):
    """
    Endpoints that sent a heartbeat since the last call.
    """

    endpoints: Mapping[str, int]


class WorkerStatus(FrozenStruct, frozen=True, kw_only=True):
    """
    State of a worker as the platform reports it.
    """

    worker: Annotated[WorkerId, Meta(max_length=128)]
    healthy: bool
    used_slots: Annotated[int, Meta(ge=0)] = 0
    used_connections: Annotated[int, Meta(ge=0)] = 0


class WorkersCall(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='workers_call',
):
    """
    Workers of one zone whose state changed since the last call.
    """

    zone: Annotated[ZoneId, Meta(max_length=128)]
    workers: Sequence[WorkerStatus]
    full: bool = False


class TaskUsage(FrozenStruct, frozen=True, kw_only=True):
    """
    Usage of an attempt as reported with a lag.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    measured_s: Annotated[
        float, Meta(description='Seconds since the attempt began.')
    ]
    cores: float = 0
    memory_gb: float = 0
    accelerator_share: float = 0


class UsageCall(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='usage_call'
):
    """
    Usage reported by the platform of one zone.
    """

    zone: Annotated[ZoneId, Meta(max_length=128)]
    usage: Sequence[TaskUsage]


class QueryCall(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='query_call'
):
    """
    Asks for a part of the state as JSON.
    """

    view: View


class GatewayHello(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='gateway_hello',
):
    """
    First call of a gateway, repeated as a heartbeat.
    """

    instance: Annotated[InstanceId, Meta(max_length=128)]
    ready: bool
    boot: Annotated[
        str,
        Meta(
            description='Changes with each start of the gateway process.',
            max_length=64,
        ),
    ] = ''
    attempts: Annotated[int, Meta(ge=0)] = 0
    bundle_version: Annotated[int, Meta(ge=0)] = 0


CallBody: TypeAlias = Annotated[
    WriteBundle
    | SignBundle
    | RollOutBundle
    | SetZone
    | AnnounceEndpoint
    | LeaveEndpoint
    | CancelJob
    | SubmitCall
    | WaitCall
    | ConfirmCall
    | AttemptReport
    | HeartbeatCall
    | WorkersCall
    | UsageCall
    | QueryCall
    | GatewayHello,
    Meta(description='Body of a call from a gateway to the control processes.'),
]


class Call(FrozenStruct, frozen=True, kw_only=True):
    """
    A call with its number.
    """

    number: Annotated[int, Meta(ge=1)]
    body: CallBody


class Reply(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='reply'
):
    """
    The reply to a call.
    """

    number: Annotated[int, Meta(ge=1)]
    body: ReplyBody


class DispatchOrder(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='dispatch'
):
    """
    Runs an attempt.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    job_spec: JobSpec
    placement: Placement
    adopt: bool = False


class StopOrder(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='stop'
):
    """
    Stops an attempt.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    reason: str
    placement: Placement
    checkpoint_s: Annotated[
        float,
        Meta(
            description='Seconds given for a checkpoint before the stop.',
            ge=0.0,
        ),
    ] = 0


class ThrottleOrder(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='throttle'
):
    """
    Limits the share of its declared size that an attempt may use.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]
    share: Annotated[float, Meta(ge=0.0, le=1.0)]
    placement: Placement


class ZonePlatform(FrozenStruct, frozen=True, kw_only=True):
    """
    Worker interface of one zone.
    """

    zone: Annotated[ZoneId, Meta(max_length=128)]
    url: str


class ReleaseOrder(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='release'
):
    """
    Releases an attempt that another gateway has adopted.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    attempt: Annotated[int, Meta(ge=1)]


class ObserveOrder(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='observe'
):
    """
    Sets the zones whose workers this gateway polls.
    """

    zones: Sequence[ZonePlatform]
    epoch: Annotated[
        int,
        Meta(
            description='A new value requests full reports, because a new leader knows no workers yet.',
            ge=0,
        ),
    ] = 0


class InForce(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='in_force'
):
    """
    Sends the bundle that is in force to a gateway.
    """

    version: int
    bundle: Bundle


GatewayMessage: TypeAlias = Annotated[
    Reply
    | DispatchOrder
    | StopOrder
    | ThrottleOrder
    | ReleaseOrder
    | ObserveOrder
    | InForce,
    Meta(description='Message from a control process to its gateway.'),
]


class ForwardedCall(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='forwarded_call',
):
    """
    A call that is forwarded to the leader.
    """

    number: int
    instance: Annotated[InstanceId, Meta(max_length=128)]
    body: CallBody


class ForwardedReply(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='forwarded_reply',
):
    """
    The reply to a forwarded call.
    """

    number: int
    body: ReplyBody


class GatewayOrder(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='gateway_order',
):
    """
    An order from the leader for the gateway of the receiving instance.
    """

    order: Annotated[bytes, Meta(description='A GatewayMessage in msgpack.')]


ControlMessage: TypeAlias = Annotated[
    ForwardedCall | ForwardedReply | GatewayOrder,
    Meta(
        description='Message between control processes outside the agreement.'
    ),
]


class JobRecord(FrozenStruct, frozen=True, kw_only=True):
    """
    A job as the replicated state keeps it.
    """

    job: Annotated[JobId, Meta(max_length=128)]
    job_spec: JobSpec
    origin: Annotated[InstanceId, Meta(max_length=128)]
    state: JobState
    request_digest: Annotated[
        bytes,
        Meta(
            description='Digest of the fields that a retry must repeat; kept after the payload is dropped.'
        ),
    ]
    accepted_s: float
    zone: ZoneId | None = None
    attempt: Annotated[int, Meta(ge=0)] = 0
    dispatcher: InstanceId | None = None
    placement: Placement | None = None
    granted_s: float = 0
    started_s: float = 0
    finished_s: float = 0
    outcome: Outcome | None = None
    ran: Annotated[
        bool, Meta(description='Whether any attempt may have run.')
    ] = False
    reason: str = ''
    cancel_requested: bool = False
    answer: bytes | None = None
    answer_sha256: str = ''
    answer_bytes: int = 0
    holder: InstanceId | None = None
    runtime_s: float = 0


class BundleRecord(FrozenStruct, frozen=True, kw_only=True):
    """
    One bundle version; the bundle itself is kept encoded to save memory.
    """

    version: int
    digest: str
    parent_version: int
    parent_digest: str
    state: BundleState
    operator: str
    written_s: float
    encoded: bytes
    signer: str = ''
    in_force_s: float = 0


class ZoneRecord(FrozenStruct, frozen=True, kw_only=True):
    """
    State of an availability zone.
    """

    zone: Annotated[ZoneId, Meta(max_length=128)]
    state: ZoneState
    deadline_s: float = 0
    changed_s: float = 0
    operator: str = ''


class EndpointRecord(FrozenStruct, frozen=True, kw_only=True):
    """
    The newest generation of an endpoint.
    """

    endpoint: Annotated[EndpointId, Meta(max_length=128)]
    generation: int
    service: Annotated[ServiceId, Meta(max_length=128)]
    zone: Annotated[ZoneId, Meta(max_length=128)]
    url: str
    changed_s: float
    worker: WorkerId | None = None
    left: bool = False


class OperationRecord(FrozenStruct, frozen=True, kw_only=True):
    """
    First result of an operator command.
    """

    operation: Annotated[OperationId, Meta(max_length=128)]
    time_s: float
    result: ReplyBody


class StateSnapshot(FrozenStruct, frozen=True, kw_only=True):
    """
    The whole replicated state up to one log index.
    """

    index: int
    bundles: Sequence[BundleRecord]
    zones: Sequence[ZoneRecord]
    endpoints: Sequence[EndpointRecord]
    jobs: Sequence[JobRecord]
    operations: Sequence[OperationRecord]
