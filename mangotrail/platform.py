"""Client for the worker contract (docs/platform.md)."""

from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from mangotrail._http_client import HttpClient, HttpFailure, HttpRequest
from mangotrail._messages import Placement
from mangotrail.errors import PlatformError
from mangotrail.ids import JobId, WorkerId
from mangotrail.pacing import Purpose

CALL_TIMEOUT_S = 5.0

ReplyT = TypeVar('ReplyT')


class MemberResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one call for one member of a gang.

    :param began: whether the member has ever begun.
    """

    worker: WorkerId
    ok: bool
    reason: str = ''
    began: bool = False


class GangReply(msgspec.Struct, frozen=True, kw_only=True):
    """Results for all members of a gang.

    :param time_s: time of the platform's clock in seconds.
    """

    time_s: float
    results: tuple[MemberResult, ...]


class LeaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of renewing one lease."""

    lease: str
    ok: bool
    reason: str = ''
    worker: WorkerId | None = None


class RenewReply(msgspec.Struct, frozen=True, kw_only=True):
    """Results for all leases of a renewal call."""

    time_s: float
    results: tuple[LeaseResult, ...]


class LeaseMember(msgspec.Struct, frozen=True, kw_only=True):
    """State of one member of a lease."""

    worker: WorkerId
    began: bool = False
    running: bool = False
    checkpointed: bool = False


class LeaseReply(msgspec.Struct, frozen=True, kw_only=True):
    """State of a lease: `unknown`, `prepared`, `begun` or `ended`."""

    time_s: float
    lease: str
    state: str
    members: tuple[LeaseMember, ...] = ()


class PlatformWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the platform lists it."""

    id: str
    rack: str
    zone: str
    healthy: bool
    used_slots: int = 0
    used_connections: int = 0


class WorkersReply(msgspec.Struct, frozen=True, kw_only=True):
    """Workers of a zone."""

    time_s: float
    workers: tuple[PlatformWorker, ...]


class LeaseUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of the tasks under one lease."""

    lease: str
    measured_s: float
    cores: float = 0
    memory_gb: float = 0
    accelerator_share: float = 0


class UsageReply(msgspec.Struct, frozen=True, kw_only=True):
    """Usage measured since a time on the platform's clock."""

    time_s: float
    usage: tuple[LeaseUsage, ...]


def lease_name(job: JobId, attempt: int) -> str:
    """Return the lease name of an attempt, the same on every gateway."""
    return f'{job}.{attempt}'


def parse_lease(lease: str) -> tuple[JobId, int] | None:
    """Return the job and attempt of a lease name, None if it is malformed."""
    job, _, attempt = lease.rpartition('.')
    if not job or not attempt.isdecimal():
        return None
    return JobId(job), int(attempt)


class PlatformClient:
    """Client for the worker interface of a zone, given by its base URL."""

    def __init__(self, *, http: HttpClient) -> None:
        self.http = http

    async def prepare(
        self, lease: str, *, job: JobId, placement: Placement, ttl_s: float
    ) -> GangReply:
        """Reserve the resources of all members without starting them.

        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {
            'lease': lease,
            'ttl_s': ttl_s,
            'gang': job,
            'members': placement.members,
        }
        return await self._post(
            placement.platform_url, 'prepare', body, GangReply
        )

    async def begin(
        self, url: str, lease: str, *, begin_by_s: float
    ) -> GangReply:
        """Begin all members, none later than `begin_by_s`.

        :param begin_by_s: latest begin on the platform's clock in seconds.
        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {'lease': lease, 'begin_by': begin_by_s}
        return await self._post(url, 'begin', body, GangReply)

    async def renew(
        self, url: str, leases: Sequence[str], *, ttl_s: float
    ) -> RenewReply:
        """Renew several leases of a zone.

        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {'leases': leases, 'ttl_s': ttl_s}
        return await self._post(url, 'renew', body, RenewReply)

    async def stop(
        self,
        url: str,
        lease: str,
        *,
        reason: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> GangReply:
        """End a lease; the platform refuses any later prepare or begin of it.

        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {'lease': lease, 'reason': reason}
        return await self._post(
            url, 'stop', body, GangReply, timeout_s=timeout_s
        )

    async def checkpoint(
        self, url: str, lease: str, *, deadline_s: float
    ) -> GangReply:
        """Ask all members to save their progress within `deadline_s` seconds.

        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {'lease': lease, 'deadline_s': deadline_s}
        return await self._post(url, 'checkpoint', body, GangReply)

    async def throttle(self, url: str, lease: str, *, share: float) -> None:
        """Limit the share of each worker that the members may use.

        :raises PlatformError: if the platform gives no valid reply.
        """
        body = {'lease': lease, 'share': share}
        await self._post(url, 'throttle', body, GangReply)

    async def lease(self, url: str, lease: str) -> LeaseReply:
        """Read the state of a lease.

        :raises PlatformError: if the platform gives no valid reply.
        """
        path = f'/v1/leases/{quote(lease, safe="")}'
        return await self._get(url, path, LeaseReply, Purpose.PLATFORM)

    async def workers(self, url: str) -> WorkersReply:
        """List the workers of a zone.

        :raises PlatformError: if the platform gives no valid reply.
        """
        return await self._get(
            url, '/v1/workers', WorkersReply, Purpose.OBSERVE
        )

    async def usage(self, url: str, *, since_s: float) -> UsageReply:
        """Read the usage measured since a time on the platform's clock.

        :raises PlatformError: if the platform gives no valid reply.
        """
        path = f'/v1/usage?since={since_s}'
        return await self._get(url, path, UsageReply, Purpose.OBSERVE)

    async def _post(
        self,
        url: str,
        action: str,
        body: object,
        reply_type: type[ReplyT],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ReplyT:
        request = HttpRequest(
            method='POST',
            url=f'{url.rstrip("/")}/v1/tasks/{action}',
            purpose=Purpose.PLATFORM,
            timeout_s=timeout_s,
            body=msgspec.json.encode(body),
            headers={'content-type': 'application/json'},
        )
        return await self._send(request, reply_type)

    async def _get(
        self,
        url: str,
        path: str,
        reply_type: type[ReplyT],
        purpose: Purpose,
    ) -> ReplyT:
        request = HttpRequest(
            method='GET',
            url=f'{url.rstrip("/")}{path}',
            purpose=purpose,
            timeout_s=CALL_TIMEOUT_S,
        )
        return await self._send(request, reply_type)

    async def _send(
        self, request: HttpRequest, reply_type: type[ReplyT]
    ) -> ReplyT:
        try:
            response = await self.http.send(request)
        except HttpFailure as failure:
            raise PlatformError(str(failure)) from failure
        if response.status != 200:
            raise PlatformError(
                f'{request.method} {request.url}: status {response.status}',
                value=response.body.decode(errors='replace'),
            )
        try:
            return msgspec.json.decode(response.body, type=reply_type)
        except msgspec.DecodeError as error:
            raise PlatformError(
                f'{request.method} {request.url}: {error}'
            ) from error
