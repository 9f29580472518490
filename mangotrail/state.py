"""Replicated state: the same commands in the same order give the same state."""

from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache
from typing import Any, TypeAlias, cast

import msgspec
from msgspec.structs import replace

from mangotrail import _bundle_rules, _endpoint_rules
from mangotrail._bundle import Bundle
from mangotrail._job_rules import (
    adopt,
    cancel,
    check_submission,
    finish,
    grant,
    request_digest,
    requeue,
    start,
    view_of,
)
from mangotrail._messages import (
    Accepted,
    AdoptJob,
    AnnounceEndpoint,
    BundleRecord,
    BundleState,
    CancelJob,
    Command,
    EndpointRecord,
    ExpireRecords,
    FinishJob,
    GrantJob,
    JobRecord,
    JobReply,
    JobState,
    LeaveEndpoint,
    MemberPlacement,
    OperationRecord,
    ReplyBody,
    RequeueJob,
    RollOutBundle,
    SetZone,
    SignBundle,
    StartJob,
    StateSnapshot,
    SubmitJob,
    WriteBundle,
    ZoneRecord,
    ZoneState,
)
from mangotrail.errors import (
    MangotrailError,
    RequestConflictError,
    UnavailableError,
    UnknownObjectError,
)
from mangotrail.ids import (
    AccountId,
    EndpointId,
    JobId,
    OperationId,
    RequestId,
    WorkerId,
    ZoneId,
)

CommandResult: TypeAlias = ReplyBody
JobKey: TypeAlias = tuple[AccountId, RequestId]

# Callers' clocks may run ahead by this much, so records are kept longer by it.
CLOCK_TOLERANCE_S = 600.0


class State:
    """Bundles, zones, endpoints and jobs of one deployment."""

    def __init__(self) -> None:
        self.index = 0
        self.bundles: dict[int, BundleRecord] = {}
        self.zones: dict[ZoneId, ZoneRecord] = {}
        self.endpoints: dict[EndpointId, EndpointRecord] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.job_keys: dict[JobKey, JobId] = {}
        self.operations: dict[OperationId, OperationRecord] = {}
        self.bundle: Bundle | None = None
        self.bundle_version = 0
        self.bundle_digest = ''

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply one log entry.

        :param index: position of the entry in the log.
        :param command: the entry; its ``time_s`` is the only clock used here.
        :return: the result, a ``Failure`` where the command has no effect.
        """
        self.index = index
        handler = _HANDLERS[type(command.body)]
        operation = getattr(command.body, 'operation', None)
        if operation in self.operations:
            return self.operations[operation].result
        try:
            result = handler(self, command.body, command.time_s)
        except MangotrailError as error:
            result = error.to_failure()
        if operation is not None:
            self.operations[operation] = OperationRecord(
                operation=operation,
                time_s=command.time_s,
                result=result,
            )
        return result

    def snapshot(self) -> bytes:
        """Return the whole state in msgpack."""
        snapshot = StateSnapshot(
            index=self.index,
            bundles=tuple(self.bundles.values()),
            zones=tuple(self.zones.values()),
            endpoints=tuple(self.endpoints.values()),
            jobs=tuple(self.jobs.values()),
            operations=tuple(self.operations.values()),
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, encoded: bytes) -> None:
        """Replace the whole state.

        :param encoded: result of :meth:`snapshot`.
        :raises msgspec.ValidationError: if the bytes are no snapshot.
        """
        snapshot = msgspec.msgpack.decode(encoded, type=StateSnapshot)
        self.index = snapshot.index
        self.bundles = {record.version: record for record in snapshot.bundles}
        self.zones = {record.zone: record for record in snapshot.zones}
        self.endpoints = {
            record.endpoint: record for record in snapshot.endpoints
        }
        self.jobs = {
            record.job: _with_shared_members(record) for record in snapshot.jobs
        }
        self.job_keys = {
            _key_of(record): record.job for record in snapshot.jobs
        }
        self.operations = {
            record.operation: record for record in snapshot.operations
        }
        self.bundle = None
        for record in snapshot.bundles:
            if record.state is BundleState.IN_FORCE:
                self._put_in_force(record)

    def find_job(self, account: AccountId, request: RequestId) -> JobRecord:
        """Return the job of a request.

        :raises UnknownObjectError: if the account has no such request.
        """
        job = self.job_keys.get((account, request))
        if job is None:
            raise UnknownObjectError(
                'the account has no request with this id',
                field='request',
                value=request,
                remedy='submit the request; ids are kept for the retention',
            )
        return self.jobs[job]

    def zone_state(self, zone: ZoneId) -> ZoneState:
        """Return whether a zone takes work; a zone starts as in."""
        record = self.zones.get(zone)
        return ZoneState.IN if record is None else record.state

    def unfinished_jobs(self) -> Iterator[JobRecord]:
        """Yield jobs that wait or hold resources, oldest first."""
        for record in self.jobs.values():
            if record.state is not JobState.FINISHED:
                yield record

    def newest_version(self) -> int:
        """Return the newest bundle version, 0 if there is none."""
        return _bundle_rules.newest_version(self.bundles)

    def _put_in_force(self, record: BundleRecord) -> None:
        self.bundle = msgspec.json.decode(record.encoded, type=Bundle)
        self.bundle_version = record.version
        self.bundle_digest = record.digest

    def _write_bundle(self, body: WriteBundle, time_s: float) -> ReplyBody:
        record = _bundle_rules.new_record(self.bundles, body, time_s)
        self.bundles[record.version] = record
        for version in _bundle_rules.versions_to_drop(
            self.bundles, self.bundle_version
        ):
            self.bundles.pop(version)
        return Accepted(version=record.version, digest=record.digest)

    def _sign_bundle(self, body: SignBundle, time_s: float) -> ReplyBody:
        record = _bundle_rules.require_state(
            self.bundles, body.version, body.digest, BundleState.WRITTEN
        )
        self.bundles[record.version] = replace(
            record, state=BundleState.SIGNED, signer=body.operator
        )
        return Accepted(version=record.version, digest=record.digest)

    def _roll_out_bundle(self, body: RollOutBundle, time_s: float) -> ReplyBody:
        record = _bundle_rules.require_state(
            self.bundles, body.version, body.digest, BundleState.SIGNED
        )
        _bundle_rules.check_newer(record, self.bundle_version)
        previous = self.bundles.get(self.bundle_version)
        if previous is not None:
            self.bundles[previous.version] = replace(
                previous, state=BundleState.SUPERSEDED
            )
        in_force = replace(
            record, state=BundleState.IN_FORCE, in_force_s=time_s
        )
        self.bundles[record.version] = in_force
        self._put_in_force(in_force)
        return Accepted(version=record.version, digest=record.digest)

    def _set_zone(self, body: SetZone, time_s: float) -> ReplyBody:
        known = {spec.zone for spec in self._bundle_in_force().zones}
        if body.zone not in known:
            raise UnknownObjectError(
                'the bundle in force has no such zone',
                field='zone',
                value=body.zone,
                allowed=', '.join(sorted(known)),
                remedy='list the zones',
            )
        self.zones[body.zone] = ZoneRecord(
            zone=body.zone,
            state=body.state,
            deadline_s=body.deadline_s,
            changed_s=time_s,
            operator=body.operator,
        )
        return Accepted(version=self.bundle_version)

    def _bundle_in_force(self) -> Bundle:
        if self.bundle is None:
            raise UnavailableError(
                'no bundle is in force yet',
                remedy='write, sign and roll out a bundle',
            )
        return self.bundle

    def _announce(self, body: AnnounceEndpoint, time_s: float) -> ReplyBody:
        known = self.endpoints.get(body.endpoint)
        self.endpoints[body.endpoint] = _endpoint_rules.announce(
            known, body, self._bundle_in_force(), time_s
        )
        return Accepted(version=body.generation)

    def _leave(self, body: LeaveEndpoint, time_s: float) -> ReplyBody:
        known = self.endpoints.get(body.endpoint)
        self.endpoints[body.endpoint] = _endpoint_rules.leave(
            known, body, time_s
        )
        return Accepted(version=body.generation)

    def _submit(self, body: SubmitJob, time_s: float) -> ReplyBody:
        spec = body.job_spec
        known = self.job_keys.get((spec.account, spec.request))
        if known is not None:
            record = self.jobs[known]
            if record.request_digest == request_digest(spec):
                return JobReply(view=view_of(record))
            raise RequestConflictError(
                'the request id belongs to a different request',
                field='request',
                value=spec.request,
                remedy='use a new id for a new request',
            )
        check_submission(self._bundle_in_force(), spec, time_s)
        record = JobRecord(
            job=JobId(f'j{self.index}'),
            job_spec=spec,
            origin=body.origin,
            state=JobState.QUEUED,
            request_digest=request_digest(spec),
            accepted_s=time_s,
        )
        self.jobs[record.job] = record
        self.job_keys[spec.account, spec.request] = record.job
        return JobReply(view=view_of(record))

    def _get_job(self, job: JobId) -> JobRecord:
        record = self.jobs.get(job)
        if record is None:
            raise UnknownObjectError(
                'there is no such job', field='job', value=job
            )
        return record

    def _store_job(self, record: JobRecord) -> ReplyBody:
        self.jobs[record.job] = record
        return JobReply(view=view_of(record))

    def _grant(self, body: GrantJob, time_s: float) -> ReplyBody:
        record = self._get_job(body.job)
        zone_state = self.zone_state(body.placement.zone)
        endpoint = self.endpoints.get(body.placement.endpoint)
        left = endpoint is None or endpoint.left
        return self._store_job(
            _with_shared_members(
                grant(record, body, time_s, zone_state, endpoint_left=left)
            )
        )

    def _start(self, body: StartJob, time_s: float) -> ReplyBody:
        return self._store_job(start(self._get_job(body.job), body, time_s))

    def _adopt(self, body: AdoptJob, time_s: float) -> ReplyBody:
        return self._store_job(adopt(self._get_job(body.job), body))

    def _requeue(self, body: RequeueJob, time_s: float) -> ReplyBody:
        return self._store_job(requeue(self._get_job(body.job), body, time_s))

    def _finish(self, body: FinishJob, time_s: float) -> ReplyBody:
        return self._store_job(finish(self._get_job(body.job), body, time_s))

    def _cancel(self, body: CancelJob, time_s: float) -> ReplyBody:
        record = self.find_job(body.account, body.request)
        return self._store_job(cancel(record, time_s))

    def _expire(self, body: ExpireRecords, time_s: float) -> ReplyBody:
        retention_s = self._bundle_in_force().limits.retention_s
        limit_s = time_s - retention_s - CLOCK_TOLERANCE_S
        for record in tuple(self.jobs.values()):
            finished = record.state is JobState.FINISHED
            if finished and record.finished_s < limit_s:
                self.jobs.pop(record.job)
                self.job_keys.pop(_key_of(record))
        for operation in tuple(self.operations.values()):
            if operation.time_s < limit_s:
                self.operations.pop(operation.operation)
        for endpoint in tuple(self.endpoints.values()):
            if endpoint.left and endpoint.changed_s < limit_s:
                self.endpoints.pop(endpoint.endpoint)
        return Accepted()


@lru_cache(maxsize=8192)
def _shared_member(
    worker: WorkerId, accelerators: tuple[int, ...]
) -> MemberPlacement:
    return MemberPlacement(worker=worker, accelerators=accelerators)


def _with_shared_members(record: JobRecord) -> JobRecord:
    """Keep equal members of all placements once.

    Most tasks need no accelerator, so 9,900 members of 580 workers are few
    different ones. Separate ones took 2 MB of the 32 MB of a process.
    """
    placement = record.placement
    if placement is None:
        return record
    members = tuple(
        _shared_member(member.worker, tuple(member.accelerators))
        for member in placement.members
    )
    return replace(record, placement=replace(placement, members=members))


def _key_of(record: JobRecord) -> JobKey:
    return record.job_spec.account, record.job_spec.request


_Handler: TypeAlias = Callable[[State, Any, float], ReplyBody]

_HANDLERS: Mapping[type, _Handler] = {
    WriteBundle: cast('_Handler', State._write_bundle),
    SignBundle: cast('_Handler', State._sign_bundle),
    RollOutBundle: cast('_Handler', State._roll_out_bundle),
    SetZone: cast('_Handler', State._set_zone),
    AnnounceEndpoint: cast('_Handler', State._announce),
    LeaveEndpoint: cast('_Handler', State._leave),
    SubmitJob: cast('_Handler', State._submit),
    GrantJob: cast('_Handler', State._grant),
    StartJob: cast('_Handler', State._start),
    AdoptJob: cast('_Handler', State._adopt),
    RequeueJob: cast('_Handler', State._requeue),
    FinishJob: cast('_Handler', State._finish),
    CancelJob: cast('_Handler', State._cancel),
    ExpireRecords: cast('_Handler', State._expire),
}
