"""Recorded traces: a header line, then one timed event a line, as JSON."""

from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from pathlib import Path
from typing import TypeAlias

import msgspec

from mangotrail._bundle import Bundle
from mangotrail._messages import JobShape, ZoneState
from mangotrail._struct import FrozenStruct
from mangotrail.ids import AccountId, JobId, ServiceId, WorkerId, ZoneId


class JobFailure(StrEnum):
    """Failure that a job causes itself, on any worker."""

    NONE = 'none'
    ANSWER = 'answer'
    CRASH = 'crash'


class WorkerCondition(StrEnum):
    """Condition of a worker during a replay."""

    HEALTHY = 'healthy'
    LOST = 'lost'
    FAILS_ALL = 'fails_all'


class JobClass(FrozenStruct, frozen=True, kw_only=True, omit_defaults=True):
    """Properties that the jobs of one class share.

    :param checkpoint_s: duration of a checkpoint of such a job.
    """

    account: AccountId
    service: ServiceId
    shape: JobShape
    urgent: bool = False
    idempotent: bool = True
    preemptible: bool = True
    checkpoint_s: float = 3


class Header(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field='event',
    tag='header',
):
    """First line of a trace.

    :param end_s: end of the replay; jobs that have not finished by then count
        as unanswered.
    :param start_delay_s: time from a placement to the start of the gang.
    :param stop_delay_s: time from a stop to the release of the resources.
    :param detect_s: time from the loss of a worker to its report.
    :param fail_after_s: time after which a worker in the condition
        ``fails_all`` fails a task.
    :param usage_every_s: time between two usage reports.
    :param usage_lag_s: age of a usage report when it arrives.
    """

    name: str
    seed: int
    end_s: float
    bundle: Bundle
    classes: Mapping[str, JobClass]
    start_delay_s: float = 1
    stop_delay_s: float = 1
    detect_s: float = 5
    fail_after_s: float = 20
    usage_every_s: float = 60
    usage_lag_s: float = 30


class SubmitLine(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field='event',
    tag='submit',
):
    """A caller submits a job.

    :param runtime_s: true run time without interruption.
    :param declared_s: run time that the caller declares.
    :param size: true use as a multiple of the declared accelerators.
    """

    at_s: float
    job: JobId
    job_class: str
    runtime_s: float
    declared_s: float
    size: float = 1
    fails: JobFailure = JobFailure.NONE


class CancelLine(
    FrozenStruct, frozen=True, kw_only=True, tag_field='event', tag='cancel'
):
    """A caller cancels a job."""

    at_s: float
    job: JobId


class ZoneLine(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field='event',
    tag='zone',
):
    """Operators change the state of a zone."""

    at_s: float
    zone: ZoneId
    state: ZoneState
    deadline_s: float = 0


class WorkerLine(
    FrozenStruct, frozen=True, kw_only=True, tag_field='event', tag='worker'
):
    """A worker changes its condition."""

    at_s: float
    worker: WorkerId
    condition: WorkerCondition


TraceLine: TypeAlias = SubmitLine | CancelLine | ZoneLine | WorkerLine


class Trace(FrozenStruct, frozen=True, kw_only=True):
    """A trace with its lines in order of time."""

    header: Header
    lines: Sequence[TraceLine]


def read_trace(path: Path) -> Trace:
    """Read a trace file.

    :raises msgspec.ValidationError: if a line has an unknown form.
    """
    first, *rest = path.read_bytes().splitlines()
    decoder: msgspec.json.Decoder[TraceLine] = msgspec.json.Decoder(TraceLine)
    return Trace(
        header=msgspec.json.decode(first, type=Header),
        lines=[decoder.decode(line) for line in rest],
    )


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace file, one JSON object a line."""
    parts: Iterable[Header | TraceLine] = (trace.header, *trace.lines)
    path.write_bytes(msgspec.json.Encoder().encode_lines(parts))
