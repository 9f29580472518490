"""Types generated from schema/graphs.json."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, TypeAlias

from msgspec import UNSET, Meta, UnsetType, field

from mangotrail._struct import FrozenStruct
from mangotrail.ids import (
    AccountId,
    InstanceId,
    JobId,
    LifeId,
    QueueId,
    ServiceId,
    WorkerId,
    ZoneId,
)


class GraphsSchema(FrozenStruct, frozen=True, kw_only=True):
    pass


class Resources(FrozenStruct, frozen=True, kw_only=True):
    """
    Capacity of a worker, or requirement of one task.
    """

    cpu_millis: Annotated[
        int, Meta(description='CPU in thousandths of a core.', ge=0)
    ] = 0
    memory_mb: Annotated[
        int, Meta(description='Memory in megabytes.', ge=0)
    ] = 0
    accelerators: Annotated[
        int, Meta(description='Number of accelerators.', ge=0)
    ] = 0


AfterItem: TypeAlias = Annotated[int, Meta(ge=0)]


class StepSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A step of a job: tasks that are alike and become ready together.
    """

    count: Annotated[int, Meta(description='Number of tasks.', ge=1)]
    need: Resources
    estimated_ms: Annotated[
        int,
        Meta(description='Estimated duration of a task in milliseconds.', ge=0),
    ] = 0
    after: Annotated[
        Sequence[AfterItem],
        Meta(
            description='Indices of the earlier steps that must be done first.'
        ),
    ] = field(default_factory=list)
    gang: Annotated[
        bool,
        Meta(
            description='The tasks run as a gang: they start and end together.'
        ),
    ] = False
    same_rack: Annotated[
        bool,
        Meta(description='The tasks are much slower on more than one rack.'),
    ] = False
    data_rack: Annotated[
        str, Meta(description='Rack that holds the data; empty if any will do.')
    ] = ''
    label: Annotated[
        str,
        Meta(
            description='Label that the worker must have; empty if none is required.'
        ),
    ] = ''
    per_worker_limit: Annotated[
        int,
        Meta(
            description='Largest number of tasks of the step on one worker; 0 for no limit.',
            ge=0,
        ),
    ] = 0
    copies: Annotated[
        bool, Meta(description='A second copy of a task may run.')
    ] = False
    checkpoints: Annotated[
        bool,
        Meta(
            description='The tasks save checkpoints, from which a new run resumes.'
        ),
    ] = False
    lasting: Annotated[
        bool, Meta(description='The tasks run until the job is cancelled.')
    ] = False
    image: Annotated[
        str,
        Meta(
            description='Image that the tasks run; tasks with the same image behave alike.'
        ),
    ] = ''
    tail_target_ms: Annotated[
        int,
        Meta(
            description='Upper bound of the tail response time of a lasting task.',
            ge=0,
        ),
    ] = 0
    fills: Annotated[
        bool,
        Meta(description='No cores are reserved; the tasks use idle ones.'),
    ] = False
    max_unavailable: Annotated[
        int,
        Meta(
            description='Largest number of lasting tasks that may be stopped at the same time.',
            ge=0,
        ),
    ] = 0


class GraphSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A job made of steps.
    """

    job: JobId
    queue: QueueId
    account: Annotated[
        AccountId, Meta(description='Empty for an anonymous caller.')
    ]
    payload: Annotated[
        str, Meta(description='Text that is passed to every task.')
    ]
    steps: Sequence[StepSpec]
    occurrences: Annotated[
        int,
        Meta(
            description='Number of scheduled occurrences of the steps; 0 to run once, immediately.',
            ge=0,
        ),
    ] = 0
    first_due_ms: Annotated[
        int,
        Meta(
            description='Unix milliseconds at which occurrence 0 is due.', ge=0
        ),
    ] = 0
    interval_ms: Annotated[
        int, Meta(description='Milliseconds between occurrences.', ge=0)
    ] = 0


class AdviceSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    Parameters of the adviser that decides on the workers of a step.
    """

    decision_ms: Annotated[
        int,
        Meta(description='Base duration of a decision in milliseconds.', ge=0),
    ]
    period_ms: Annotated[
        int,
        Meta(
            description='Additional duration of a decision per worker in milliseconds.',
            ge=0,
        ),
    ]
    validity_ms: Annotated[
        int, Meta(description='Validity of a ticket in milliseconds.', ge=1)
    ]


class QueueSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A queue to which jobs are submitted, with its scheduling parameters.
    """

    queue: QueueId
    host: str
    path_prefix: str
    service: Annotated[
        ServiceId, Meta(description='Pool of workers that runs the tasks.')
    ]
    priority: Annotated[
        int,
        Meta(
            description='Priority; 0 is the highest and may preempt the others.',
            ge=0,
        ),
    ]
    max_attempts: Annotated[
        int,
        Meta(
            description='Number of failed runs of a task after which the job fails.',
            ge=1,
        ),
    ]
    stretch: Annotated[
        float,
        Meta(
            description='Latency objective of a job as a multiple of its critical path.'
        ),
    ]
    target_latency_ms: Annotated[
        int,
        Meta(
            description='Constant part of the latency objective, added to the multiple.',
            ge=0,
        ),
    ]
    timeout_ms: Annotated[int, Meta(ge=1)]
    anonymous: Annotated[
        bool, Meta(description='Jobs may be submitted without a key.')
    ] = False
    advice: (
        Annotated[
            AdviceSpec,
            Meta(
                description='Adviser that decides on the workers; null if any worker may run a step.'
            ),
        ]
        | None
    ) = None


class AccountSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A client account with its keys and its guarantee.
    """

    account: AccountId
    keys: Sequence[str]
    priority: Annotated[int, Meta(ge=0)] = 0
    guaranteed_accelerators: Annotated[
        int,
        Meta(
            description='Accelerators that urgent jobs of the account can always have.',
            ge=0,
        ),
    ] = 0


class ServiceSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    A pool of workers.
    """

    service: ServiceId
    rejects_overload: Annotated[
        bool,
        Meta(description='Its workers refuse runs that exceed their capacity.'),
    ] = False
    standby: Annotated[
        bool, Meta(description='Its workers are switched off.')
    ] = False


class RequestLimits(FrozenStruct, frozen=True, kw_only=True):
    """
    Limits on the HTTP requests of callers.
    """

    header_bytes: Annotated[int, Meta(ge=1)] = 16384
    body_bytes: Annotated[int, Meta(ge=1)] = 262144
    header_ms: Annotated[
        int, Meta(description='Time within which a request must arrive.', ge=1)
    ] = 3000
    idle_ms: Annotated[
        int,
        Meta(
            description='Time after which a connection without requests closes.',
            ge=1,
        ),
    ] = 15000


class Configuration(FrozenStruct, frozen=True, kw_only=True):
    """
    One version of the configuration set by operators.
    """

    version: Annotated[int, Meta(ge=0)]
    document: Annotated[
        bytes,
        Meta(
            description='The configuration document as sent by the operator; empty for entry instances.'
        ),
    ]
    queues: Sequence[QueueSpec]
    accounts: Sequence[AccountSpec]
    services: Sequence[ServiceSpec]
    limits: (
        Annotated[
            RequestLimits,
            Meta(
                description='Null in configurations that an earlier version stored.'
            ),
        ]
        | None
    ) = None


class ConfigurationDelta(FrozenStruct, frozen=True, kw_only=True):
    """
    Change from one version of the configuration to a later one.
    """

    base_version: Annotated[
        int, Meta(description='Version to which the change applies.', ge=0)
    ]
    version: Annotated[int, Meta(ge=0)]
    queues: Annotated[
        Sequence[QueueSpec], Meta(description='Queues that are new or differ.')
    ]
    removed_queues: Sequence[QueueId]
    accounts: Annotated[
        Sequence[AccountSpec],
        Meta(description='Accounts that are new or differ.'),
    ]
    removed_accounts: Sequence[AccountId]
    services: Annotated[
        Sequence[ServiceSpec], Meta(description='All services.')
    ]
    digest: Annotated[
        bytes,
        Meta(description='Digest of the later version, without its document.'),
    ]
    limits: RequestLimits | None = None


class WorkerSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    One life of a worker: an incarnation of its process, from start to end.
    """

    life: LifeId
    worker: WorkerId
    born_ms: Annotated[
        int,
        Meta(
            description='Unix milliseconds of its start; 0 if not reported.',
            ge=0,
        ),
    ]
    service: ServiceId
    address: Annotated[
        str, Meta(description='Host and port that accept orders.')
    ]
    zone: ZoneId
    capacity: Resources
    labels: Sequence[str] = field(default_factory=list)
    rack: str = ''


class TaskKey(FrozenStruct, frozen=True, kw_only=True):
    """
    One task of one occurrence of a job.
    """

    job: JobId
    occurrence: Annotated[int, Meta(ge=0)]
    step: Annotated[int, Meta(ge=0)]
    index: Annotated[int, Meta(ge=0)]


class EndKind(StrEnum):
    """
    How a run of a task ended; the last two are inferred, not reported.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    NEVER_STARTED = 'never_started'
    LOST = 'lost'


class RunStart(FrozenStruct, frozen=True, kw_only=True):
    """
    Start of a run, to be ordered once it is committed.
    """

    task: TaskKey
    run: Annotated[
        int,
        Meta(
            description='Number of the run, higher than that of every earlier run of the task.',
            ge=1,
        ),
    ]
    life: LifeId
    numbered_ms: Annotated[
        int,
        Meta(
            description='Unix milliseconds at which the run was committed; 0 before that.',
            ge=0,
        ),
    ] = 0


class RunEnd(FrozenStruct, frozen=True, kw_only=True):
    """
    The end of a run.
    """

    task: TaskKey
    run: Annotated[int, Meta(ge=1)]
    end: EndKind
    checkpoint: Annotated[
        str,
        Meta(description='Newest known checkpoint; empty if there is none.'),
    ] = ''


class SetConfiguration(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='set_configuration',
):
    """
    Put a configuration in force.
    """

    configuration: Configuration


class SetZone(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='set_zone'
):
    """
    Close an availability zone for starts, or reopen it.
    """

    zone: ZoneId
    open: bool


class SubmitGraph(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='submit_graph',
):
    """
    Accept a job.
    """

    graph: GraphSpec


class CancelGraph(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='cancel_graph',
):
    """
    Cancel a job.
    """

    job: JobId


class RegisterWorker(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='register_worker',
):
    """
    Register a new life of a worker.
    """

    worker: WorkerSpec


class DrainWorker(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='drain_worker',
):
    """
    Drain a worker: nothing more starts on it.
    """

    life: LifeId


class RemoveWorker(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='remove_worker',
):
    """
    Remove a life of a worker that has ended.
    """

    life: LifeId


class SuspendLease(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='suspend_lease',
):
    """
    Grant no lease to a silent worker until ResumeLease is committed.
    """

    life: LifeId
    left_ms: Annotated[
        int,
        Meta(
            description='Longest time for which leases granted before may go on.',
            ge=0,
        ),
    ]
    proposed_s: (
        Annotated[
            float,
            Meta(
                description='Reading of the monotonic clock of the leader that proposed the command, in seconds.'
            ),
        ]
        | UnsetType
    ) = UNSET


class ResumeLease(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='resume_lease',
):
    """
    Allow leases for a worker that answers again.
    """

    life: LifeId


class OpenOccurrence(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='open_occurrence',
):
    """
    Open an occurrence that is due: create its steps.
    """

    job: JobId
    occurrence: Annotated[int, Meta(ge=0)]


class StartRuns(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='start_runs'
):
    """
    Record the runs that are ordered next.
    """

    starts: Sequence[RunStart]


class EndRuns(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='end_runs'
):
    """
    Record the ends of runs, and the jobs that have begun.
    """

    ends: Sequence[RunEnd]
    begun: Annotated[
        Sequence[JobId],
        Meta(description='Jobs of which a worker has begun a task.'),
    ] = field(default_factory=list)


GraphCommandBody: TypeAlias = Annotated[
    SetConfiguration
    | SetZone
    | SubmitGraph
    | CancelGraph
    | RegisterWorker
    | DrainWorker
    | RemoveWorker
    | SuspendLease
    | ResumeLease
    | OpenOccurrence
    | StartRuns
    | EndRuns,
    Meta(description='Command that changes the replicated state.'),
]


class GraphCommand(FrozenStruct, frozen=True, kw_only=True):
    """
    Command in an entry of the replicated log.
    """

    time_ms: Annotated[
        int,
        Meta(description='Unix milliseconds on the clock of the leader.', ge=0),
    ]
    body: GraphCommandBody


class JobPhase(StrEnum):
    """
    Phase of a job.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Verdict(StrEnum):
    """
    Result of a call.
    """

    OK = 'ok'
    REFUSED = 'refused'
    NOT_LEADER = 'not_leader'
    UNAVAILABLE = 'unavailable'
    UNDECIDED = 'undecided'
    UNKNOWN_OBJECT = 'unknown_object'
    CONFLICT = 'conflict'
    OVERLOADED = 'overloaded'


class Applied(FrozenStruct, frozen=True, kw_only=True):
    """
    Result of a command.
    """

    verdict: Verdict
    reason: str = ''


class Submit(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='submit'
):
    """
    Submit a job.
    """

    graph: GraphSpec


class Inspect(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='inspect'
):
    """
    Ask for the phase of a job.
    """

    job: JobId
    account: AccountId


class Cancel(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='cancel'
):
    """
    Cancel a job.
    """

    job: JobId
    account: AccountId


class CountPending(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='count_pending',
):
    """
    Ask for the number of waiting jobs of a queue.
    """

    queue: QueueId


class Watch(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='watch'
):
    """
    Long-poll for a configuration newer than the one held.
    """

    held_version: Annotated[int, Meta(description='-1 if none is held.')]
    wait_ms: Annotated[int, Meta(ge=0)]
    accepts_delta: Annotated[
        bool,
        Meta(
            description='Whether the change from the version held may be sent instead of the whole.'
        ),
    ] = False


class PutConfiguration(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='put_configuration',
):
    """
    Put a configuration in force.
    """

    configuration: Configuration


class ReadConfiguration(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='read_configuration',
):
    """
    Read the newest configuration.
    """


class OrderTicket(FrozenStruct, frozen=True, kw_only=True):
    """
    Bound on the age of an order, on the clock of the leader that issued it.
    """

    term: Annotated[int, Meta(description='Term of the leader.', ge=0)]
    issued_ms: Annotated[
        int,
        Meta(
            description="Reading of the leader's monotonic clock in milliseconds."
        ),
    ]
    age_ms: Annotated[
        int,
        Meta(
            description='Longest time for which the order had waited before the ticket was requested.',
            ge=0,
        ),
    ] = 0


class RequestTicket(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='request_ticket',
):
    """
    Request a ticket for an order.
    """


class ChangeZone(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='change_zone'
):
    """
    Close an availability zone for starts, or reopen it.
    """

    zone: ZoneId
    open: bool
    ticket: OrderTicket | None = None


class Heartbeat(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='heartbeat'
):
    """
    Periodic report of a worker.
    """

    worker: WorkerSpec
    draining: bool
    sequence: Annotated[int, Meta(ge=0)]
    remaining_ms: Annotated[
        int,
        Meta(
            description='Minimum time in milliseconds until a draining worker ends.',
            ge=0,
        ),
    ] = 0
    cold_ms: Annotated[
        int,
        Meta(
            description='Time in milliseconds until the worker reaches its full speed.',
            ge=0,
        ),
    ] = 0


class Leave(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='leave'
):
    """
    Report that a worker ends.
    """

    worker: WorkerId
    ticket: OrderTicket | None = None


CallBody: TypeAlias = Annotated[
    Submit
    | Inspect
    | Cancel
    | CountPending
    | Watch
    | PutConfiguration
    | ReadConfiguration
    | RequestTicket
    | ChangeZone
    | Heartbeat
    | Leave,
    Meta(description='A call to the leader.'),
]


class Call(FrozenStruct, frozen=True, kw_only=True):
    """
    Envelope of a call to the leader.
    """

    number: Annotated[
        int,
        Meta(
            description='Number chosen by the caller to match the reply.', ge=0
        ),
    ]
    body: CallBody
    forwarded: Annotated[
        bool,
        Meta(
            description='The call was forwarded once and must not be forwarded again.'
        ),
    ] = False


class CallReply(FrozenStruct, frozen=True, kw_only=True):
    """
    Reply to a call.
    """

    number: Annotated[int, Meta(ge=0)]
    verdict: Verdict
    reason: str = ''
    leader: Annotated[
        str, Meta(description='Address of the leader; empty if unknown.')
    ] = ''
    instances: Annotated[
        Sequence[InstanceId],
        Meta(description='Addresses of the known control instances.'),
    ] = field(default_factory=list)
    phase: JobPhase | None = None
    count: Annotated[int, Meta(ge=0)] = 0
    configuration: Configuration | None = None
    packed_configuration: (
        Annotated[
            bytes,
            Meta(
                description='Configuration for an entry instance, compressed; null if there is no newer one, or its change is sent.'
            ),
        ]
        | None
    ) = None
    packed_delta: (
        Annotated[
            bytes,
            Meta(
                description='ConfigurationDelta from the version held, compressed.'
            ),
        ]
        | None
    ) = None
    address: Annotated[
        str, Meta(description='Control address of the leader.')
    ] = ''
    ticket: OrderTicket | None = None


class PeerEnvelope(FrozenStruct, frozen=True, kw_only=True):
    """
    Agreement message between control instances.
    """

    sender: InstanceId
    message: bytes


Failure: TypeAlias = Annotated[int, Meta(ge=0)]


LastRun: TypeAlias = Annotated[int, Meta(ge=0)]


class StepImage(FrozenStruct, frozen=True, kw_only=True):
    """
    State of the tasks of a step in a snapshot.
    """

    done: Sequence[bool]
    failures: Sequence[Failure]
    last_runs: Sequence[LastRun]
    checkpoints: Sequence[str]
    counted_run: Annotated[
        int,
        Meta(
            description='Number of the newest run of the gang whose failure was counted.',
            ge=0,
        ),
    ] = 0


LeaseLeftMs: TypeAlias = Annotated[
    int,
    Meta(
        description='As in SuspendLease; null while leases may be granted.',
        ge=0,
    ),
]


class WorkerImage(FrozenStruct, frozen=True, kw_only=True):
    """
    A worker in a snapshot.
    """

    worker: WorkerSpec
    draining: bool = False
    lease_left_ms: (
        Annotated[
            LeaseLeftMs,
            Meta(
                description='As in SuspendLease; null while leases may be granted.'
            ),
        ]
        | None
    ) = None


class DepartedLife(FrozenStruct, frozen=True, kw_only=True):
    """
    A life of a worker that was removed.
    """

    life: LifeId
    removed_ms: Annotated[
        int, Meta(description='Time of removal in Unix milliseconds.', ge=0)
    ]


class OccurrenceImage(FrozenStruct, frozen=True, kw_only=True):
    """
    An occurrence in a snapshot.
    """

    number: Annotated[int, Meta(ge=0)]
    steps: Sequence[StepImage]


class JobImage(FrozenStruct, frozen=True, kw_only=True):
    """
    A job in a snapshot.
    """

    graph: GraphSpec
    queue: QueueSpec
    accepted_ms: Annotated[int, Meta(ge=0)]
    phase: JobPhase
    ended_ms: Annotated[int, Meta(ge=0)] = 0
    next_occurrence: Annotated[int, Meta(ge=0)] = 0
    started_runs: Annotated[
        int,
        Meta(
            description='0 until a worker has begun a task; earlier versions count committed starts.',
            ge=0,
        ),
    ] = 0
    occurrences: Sequence[OccurrenceImage] = field(default_factory=list)


class StateImage(FrozenStruct, frozen=True, kw_only=True):
    """
    Snapshot of the whole state.
    """

    closed_zones: Sequence[ZoneId]
    workers: Sequence[WorkerImage]
    jobs: Sequence[JobImage]
    runs: Sequence[RunStart]
    configuration: Configuration | None = None
    departed: Annotated[
        Sequence[DepartedLife],
        Meta(description='Lives that must not be registered again.'),
    ] = field(default_factory=list)
