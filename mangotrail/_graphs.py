"""Types generated from schema/graphs.json."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta, field

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
    Capacity of a worker, or what one task needs of it.
    """

    cpu_millis: Annotated[
        int, Meta(description='Thousandths of a core.', ge=0)
    ] = 0
    memory_mb: Annotated[
        int, Meta(description='Megabytes of memory.', ge=0)
    ] = 0
    accelerators: Annotated[
        int, Meta(description='Number of accelerators.', ge=0)
    ] = 0


AfterItem: TypeAlias = Annotated[int, Meta(ge=0)]


class StepSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    Equal tasks of a job that may start together.
    """

    count: Annotated[int, Meta(description='Number of tasks.', ge=1)]
    need: Resources
    estimated_ms: Annotated[
        int, Meta(description='Rough duration of a task in milliseconds.', ge=0)
    ] = 0
    after: Annotated[
        Sequence[AfterItem],
        Meta(description='Earlier steps whose tasks must all be done first.'),
    ] = field(default_factory=list)
    gang: Annotated[
        bool, Meta(description='The tasks start together and end together.')
    ] = False
    same_rack: Annotated[
        bool,
        Meta(description='The tasks are much slower on more than one rack.'),
    ] = False
    data_rack: Annotated[
        str, Meta(description='Rack that holds the data; empty for any.')
    ] = ''
    label: Annotated[
        str, Meta(description='Label that the worker must have; empty for any.')
    ] = ''
    per_worker_limit: Annotated[
        int,
        Meta(
            description='Most tasks of the step on one worker; 0 for no limit.',
            ge=0,
        ),
    ] = 0
    copies: Annotated[
        bool, Meta(description='A second copy of a task may run.')
    ] = False
    checkpoints: Annotated[
        bool, Meta(description='The tasks save their progress.')
    ] = False
    lasting: Annotated[
        bool, Meta(description='The tasks run until the job is cancelled.')
    ] = False
    image: Annotated[
        str,
        Meta(description='What the tasks run; tasks of an image behave alike.'),
    ] = ''
    tail_target_ms: Annotated[
        int,
        Meta(
            description='Bound of the tail of response times of a lasting task.',
            ge=0,
        ),
    ] = 0
    fills: Annotated[
        bool,
        Meta(
            description='The cores are not reserved; the tasks use what is idle.'
        ),
    ] = False
    max_unavailable: Annotated[
        int,
        Meta(
            description='Most lasting tasks that orders may take away at once.',
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
    payload: Annotated[str, Meta(description='Text handed to every task.')]
    steps: Sequence[StepSpec]
    occurrences: Annotated[
        int,
        Meta(
            description='Times that the steps run at set times; 0 for once, at once.',
            ge=0,
        ),
    ] = 0
    first_due_ms: Annotated[
        int, Meta(description='Unix milliseconds of occurrence 0.', ge=0)
    ] = 0
    interval_ms: Annotated[
        int, Meta(description='Milliseconds between occurrences.', ge=0)
    ] = 0


class AdviceSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    How an adviser decides on the workers of a step.
    """

    decision_ms: Annotated[
        int, Meta(description='Time that a decision takes.', ge=0)
    ]
    period_ms: Annotated[
        int,
        Meta(
            description='Time that a decision takes besides for each worker.',
            ge=0,
        ),
    ]
    validity_ms: Annotated[
        int, Meta(description='Time for which a ticket is valid.', ge=1)
    ]


class QueueSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    Where jobs of one kind are handed in and how they are treated.
    """

    queue: QueueId
    host: str
    path_prefix: str
    service: Annotated[
        ServiceId, Meta(description='Pool of workers that runs the tasks.')
    ]
    priority: Annotated[
        int, Meta(description='0 comes first and may preempt others.', ge=0)
    ]
    max_attempts: Annotated[
        int,
        Meta(description='Failed runs after which a task is given up.', ge=1),
    ]
    stretch: Annotated[
        float,
        Meta(
            description='Objective of a job as a multiple of its longest chain of work.'
        ),
    ]
    target_latency_ms: Annotated[
        int, Meta(description='Added to the objective.', ge=0)
    ]
    timeout_ms: Annotated[int, Meta(ge=1)]
    anonymous: Annotated[bool, Meta(description='No key is needed.')] = False
    advice: (
        Annotated[
            AdviceSpec,
            Meta(
                description='Only an adviser knows the workers that may run a step; null if all may.'
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
        bool, Meta(description='Its workers refuse what does not fit.')
    ] = False
    standby: Annotated[bool, Meta(description='Its workers are off.')] = False


class Configuration(FrozenStruct, frozen=True, kw_only=True):
    """
    One version of what operators decide.
    """

    version: Annotated[int, Meta(ge=0)]
    document: Annotated[
        bytes, Meta(description='The document as the operator sent it.')
    ]
    queues: Sequence[QueueSpec]
    accounts: Sequence[AccountSpec]
    services: Sequence[ServiceSpec]


class WorkerSpec(FrozenStruct, frozen=True, kw_only=True):
    """
    One life of a worker, from its start to its end.
    """

    life: LifeId
    worker: WorkerId
    born_ms: Annotated[
        int,
        Meta(
            description='Unix milliseconds of its start; 0 if it names none.',
            ge=0,
        ),
    ]
    service: ServiceId
    address: Annotated[str, Meta(description='Host and port that take orders.')]
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
    How a run of a task ended; the last two are concluded, not reported.
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
    A run that is about to be ordered.
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
            description='Unix milliseconds at which the run was numbered; 0 before that.',
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
        str, Meta(description='Newest saved progress; empty if none is known.')
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
    Take an availability zone out, or back in.
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
    Note a new life of a worker.
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
    Start nothing more on a worker.
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
    Forget a worker whose life is over.
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
    Make the tasks of an occurrence that is due.
    """

    job: JobId
    occurrence: Annotated[int, Meta(ge=0)]


class StartRuns(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='start_runs'
):
    """
    Number the runs that are ordered next.
    """

    starts: Sequence[RunStart]


class EndRuns(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='end_runs'
):
    """
    Note the ends of runs.
    """

    ends: Sequence[RunEnd]


GraphCommandBody: TypeAlias = Annotated[
    SetConfiguration
    | SetZone
    | SubmitGraph
    | CancelGraph
    | RegisterWorker
    | DrainWorker
    | RemoveWorker
    | OpenOccurrence
    | StartRuns
    | EndRuns,
    Meta(description='Change of the replicated state.'),
]


class GraphCommand(FrozenStruct, frozen=True, kw_only=True):
    """
    Command in an entry of the log.
    """

    time_ms: Annotated[
        int, Meta(description='Unix milliseconds at the leader.', ge=0)
    ]
    body: GraphCommandBody


class JobPhase(StrEnum):
    """
    How far a job is.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Verdict(StrEnum):
    """
    What became of a call.
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
    Hand a job in.
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
    Ask how many jobs of a queue wait.
    """

    queue: QueueId


class Watch(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='watch'
):
    """
    Wait for a configuration newer than the one held.
    """

    held_version: Annotated[int, Meta(description='-1 if none is held.')]
    wait_ms: Annotated[int, Meta(ge=0)]


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


class ChangeZone(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='change_zone'
):
    """
    Take an availability zone out, or back in.
    """

    zone: ZoneId
    open: bool


class Heartbeat(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='heartbeat'
):
    """
    What a worker says of itself.
    """

    worker: WorkerSpec
    draining: bool
    sequence: Annotated[int, Meta(ge=0)]
    remaining_ms: Annotated[
        int, Meta(description='Least time left to a draining worker.', ge=0)
    ] = 0
    cold_ms: Annotated[
        int,
        Meta(description='Time until the worker reaches its full speed.', ge=0),
    ] = 0


class Leave(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='leave'
):
    """
    A worker ends.
    """

    worker: WorkerId


CallBody: TypeAlias = Annotated[
    Submit
    | Inspect
    | Cancel
    | CountPending
    | Watch
    | PutConfiguration
    | ReadConfiguration
    | ChangeZone
    | Heartbeat
    | Leave,
    Meta(description='A call to the leader.'),
]


class Call(FrozenStruct, frozen=True, kw_only=True):
    """
    A call on the way to the leader.
    """

    number: Annotated[
        int, Meta(description='Chosen by the caller to match the reply.', ge=0)
    ]
    body: CallBody
    forwarded: Annotated[
        bool, Meta(description='Passed on once; not to be passed on again.')
    ] = False


class CallReply(FrozenStruct, frozen=True, kw_only=True):
    """
    Reply to a call.
    """

    number: Annotated[int, Meta(ge=0)]
    verdict: Verdict
    reason: str = ''
    leader: Annotated[
        str, Meta(description='Leader as far as known; empty if none is.')
    ] = ''
    instances: Annotated[
        Sequence[InstanceId],
        Meta(description='Control instances as far as known.'),
    ] = field(default_factory=list)
    phase: JobPhase | None = None
    count: Annotated[int, Meta(ge=0)] = 0
    configuration: Configuration | None = None
    address: Annotated[
        str, Meta(description='Control address of the leader.')
    ] = ''


class PeerEnvelope(FrozenStruct, frozen=True, kw_only=True):
    """
    Message of the agreement between control instances.
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
            description='Newest run of the gang whose failure was counted.',
            ge=0,
        ),
    ] = 0


class WorkerImage(FrozenStruct, frozen=True, kw_only=True):
    """
    A worker in a snapshot.
    """

    worker: WorkerSpec
    draining: bool = False


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
    started_runs: Annotated[int, Meta(ge=0)] = 0
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
