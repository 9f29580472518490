"""Events that a scheduling policy handles and decisions that it returns."""

from collections.abc import Sequence
from typing import TypeAlias

from mangotrail._bundle import Bundle
from mangotrail._messages import (
    JobSpec,
    Outcome,
    Placement,
    TaskUsage,
    WorkerStatus,
    ZoneState,
)
from mangotrail._struct import FrozenStruct
from mangotrail.ids import EndpointId, JobId, ServiceId, WorkerId, ZoneId


class BundleApplied(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """A bundle is in force from now on."""

    bundle: Bundle


class ZoneChanged(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """The state of an availability zone changed.

    :param deadline_s: seconds until all running jobs there must have stopped.
    """

    zone: ZoneId
    state: ZoneState
    deadline_s: float = 0


class WorkersReported(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """The platform reported workers whose health changed."""

    workers: Sequence[WorkerStatus]


class EndpointStatus(FrozenStruct, frozen=True, kw_only=True):
    """An endpoint that takes new work."""

    endpoint: EndpointId
    service: ServiceId
    zone: ZoneId
    url: str
    worker: WorkerId | None = None


class EndpointsChanged(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """The set of endpoints that take new work changed.

    :param endpoints: all endpoints that take new work.
    """

    endpoints: Sequence[EndpointStatus]


class JobSubmitted(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """A job was accepted."""

    job: JobId
    job_spec: JobSpec


class JobRestored(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """A new leader restores a job that was accepted under an earlier one.

    :param attempt: number of the last attempt, 0 if there was none.
    :param placement: placement of that attempt if it holds resources.
    :param age_s: seconds since the job was accepted.
    :param running_s: seconds since the attempt began, 0 if it did not.
    """

    job: JobId
    job_spec: JobSpec
    attempt: int = 0
    placement: Placement | None = None
    age_s: float = 0
    running_s: float = 0


class JobCancelled(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """The caller cancelled a job; its gang is stopped if it runs."""

    job: JobId


class GangStarted(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Every member of an attempt began."""

    job: JobId
    attempt: int


class GangFailed(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """An attempt ended without an answer and released its resources.

    :param nothing_ran: whether it is certain that no part of it ran.
    :param worker: worker that caused the failure, if known.
    """

    job: JobId
    attempt: int
    nothing_ran: bool
    reason: str = ''
    worker: WorkerId | None = None


class JobFinished(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """A job ended and released its resources."""

    job: JobId
    attempt: int
    outcome: Outcome
    runtime_s: float = 0
    worker: WorkerId | None = None


class UsageReported(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """The platform reported the usage of running attempts, with a delay."""

    usage: Sequence[TaskUsage]


class Tick(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Time passed."""


Event: TypeAlias = (
    BundleApplied
    | ZoneChanged
    | WorkersReported
    | EndpointsChanged
    | JobSubmitted
    | JobRestored
    | JobCancelled
    | GangStarted
    | GangFailed
    | JobFinished
    | UsageReported
    | Tick
)


class Place(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Start an attempt on the given members; its resources are allocated."""

    job: JobId
    attempt: int
    placement: Placement


class Refuse(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Refuse a submitted job; nothing ran."""

    job: JobId
    reason: str


class Wait(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Report why a job waits; returned only when the reason changes."""

    job: JobId
    reason: str


class Checkpoint(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Checkpoint an attempt; a Stop follows within the deadline."""

    job: JobId
    attempt: int
    deadline_s: float


class Stop(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Stop the whole gang; it holds its resources until GangFailed."""

    job: JobId
    attempt: int
    reason: str


class Throttle(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Limit an attempt to a share of its declared size."""

    job: JobId
    attempt: int
    share: float


class Finish(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Finish a job that gets no further attempt.

    :param ran: whether any part of it may have run.
    """

    job: JobId
    outcome: Outcome
    ran: bool
    reason: str


class Quarantine(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Place only occasional probes on a worker."""

    worker: WorkerId
    reason: str


class Release(FrozenStruct, frozen=True, kw_only=True, tag=True):
    """Release a worker from quarantine."""

    worker: WorkerId


Decision: TypeAlias = (
    Place
    | Refuse
    | Wait
    | Checkpoint
    | Stop
    | Throttle
    | Finish
    | Quarantine
    | Release
)
