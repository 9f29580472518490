"""Client of the HTTP interface, used by the command line."""

import time
from collections.abc import Callable, Mapping, Sequence
from http import HTTPMethod, HTTPStatus
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Any, TypeVar
from urllib.parse import quote, urlencode, urlsplit

import msgspec

from mangotrail import errors
from mangotrail._bundle import Bundle
from mangotrail._messages import (
    Accepted,
    AnnounceEndpoint,
    JobSpec,
    JobState,
    JobView,
    LeaveEndpoint,
    View,
    ZoneState,
)
from mangotrail.ids import AccountId, OperationId, RequestId, ZoneId

# An answer of 16 MiB grows by a third in base64.
MAX_REPLY_BYTES = 32 << 20
LONGEST_POLL_S = 30.0
RETRY_PAUSE_S = 0.5

Decoded = TypeVar('Decoded', bound=msgspec.Struct)
Document = dict[str, Any]


class Client:
    """Calls gateways in order until one accepts the request.

    Every request that changes something carries an id (operation, request,
    endpoint and generation). It therefore takes effect only once, even if it is
    sent again to the next server because the previous one did not answer.

    :param servers: base URLs of gateways, tried in this order.
    :param token: bearer token.
    :param timeout_s: longest wait for a connection or for the next bytes.
    """

    def __init__(
        self, servers: Sequence[str], *, token: str, timeout_s: float = 10
    ) -> None:
        self.servers = tuple(_check_server(server) for server in servers)
        self.token = token
        self.timeout_s = timeout_s

    def write_bundle(
        self,
        bundle: Bundle,
        *,
        operation: OperationId,
        parent_version: int,
        parent_digest: str,
    ) -> Accepted:
        """Write a bundle as the successor of the named version.

        :raises BundleConflictError: if another version was written first.
        """
        body = {
            'operation': operation,
            'parent_version': parent_version,
            'parent_digest': parent_digest,
            'bundle': bundle,
        }
        reply = self.call(HTTPMethod.POST, '/admin/v1/bundles', body)
        return _convert(reply, Accepted)

    def sign_bundle(
        self, version: int, *, digest: str, operation: OperationId
    ) -> Accepted:
        """Sign off a written version."""
        return self._act_on_bundle(version, 'sign', digest, operation)

    def roll_out_bundle(
        self, version: int, *, digest: str, operation: OperationId
    ) -> Accepted:
        """Put a signed version in force."""
        return self._act_on_bundle(version, 'rollout', digest, operation)

    def set_zone(
        self,
        zone: ZoneId,
        state: ZoneState,
        *,
        operation: OperationId,
        deadline_s: float = 0,
    ) -> Accepted:
        """Set the state of a zone.

        :param deadline_s: seconds until running work in the zone must have
            stopped.
        """
        body = {
            'operation': operation,
            'state': state,
            'deadline_s': deadline_s,
        }
        path = f'/admin/v1/zones/{_segment(zone)}'
        return _convert(self.call(HTTPMethod.POST, path, body), Accepted)

    def list_view(self, view: View) -> list[Document]:
        """Return the entries of a view."""
        reply = self.call(HTTPMethod.GET, f'/admin/v1/{view.value}')
        entries = reply.get(view.value)
        if not isinstance(entries, list):
            raise _unreadable(f'no list {view.value!r} in the reply')
        return entries

    def dump(self, process: str) -> Document:
        """Return the state of a process, ``control`` or ``gateway``."""
        query = urlencode({'process': process})
        return self.call(HTTPMethod.GET, f'/admin/v1/dump?{query}')

    def submit_job(self, spec: JobSpec, *, again: bool = False) -> JobView:
        """Submit a job, or join the one with the same request id.

        :param again: whether the id may have been sent before. A refusal then
            does not prove that the earlier submission did not run.
        """
        path = '/v1/jobs'
        again_path = f'{path}?retry=true'
        reply = self.call(
            HTTPMethod.POST,
            again_path if again else path,
            msgspec.to_builtins(spec),
            again_path=again_path,
        )
        return _convert(reply, JobView)

    def read_job(
        self, account: AccountId, request: RequestId, *, wait_s: float = 0
    ) -> JobView:
        """Return a job when it ends or after ``wait_s`` seconds."""
        query = urlencode({'wait_s': f'{wait_s:g}'})
        path = f'{_job_path(account, request)}?{query}'
        reply = self.call(HTTPMethod.GET, path, extra_s=wait_s)
        return _convert(reply, JobView)

    def wait_job(
        self,
        account: AccountId,
        request: RequestId,
        *,
        wait_s: float,
        now: Callable[[], float] = time.monotonic,
        pause: Callable[[float], None] = time.sleep,
    ) -> JobView:
        """Poll a job until it ends or ``wait_s`` seconds have passed.

        :raises UnavailableError: if no gateway answers by then.
        """
        end = now() + wait_s
        while True:
            left = max(0, end - now())
            try:
                view = self.read_job(
                    account, request, wait_s=min(left, LONGEST_POLL_S)
                )
            except errors.UnavailableError:
                if left <= 0:
                    raise
            else:
                if view.state is JobState.FINISHED or left <= 0:
                    return view
            # A gateway may answer before the wait is over.
            pause(min(RETRY_PAUSE_S, left))

    def cancel_job(self, account: AccountId, request: RequestId) -> JobView:
        """Cancel a job."""
        reply = self.call(HTTPMethod.DELETE, _job_path(account, request))
        return _convert(reply, JobView)

    def announce_endpoint(self, announcement: AnnounceEndpoint) -> Document:
        """Announce an endpoint, or renew its announcement."""
        body = msgspec.to_builtins(announcement)
        del body['kind']
        return self.call(HTTPMethod.POST, '/v1/endpoints', body)

    def leave_endpoint(self, leave: LeaveEndpoint) -> Document:
        """Stop new work for one generation of an endpoint."""
        query = urlencode({'generation': leave.generation})
        path = f'/v1/endpoints/{_segment(leave.endpoint)}?{query}'
        return self.call(HTTPMethod.DELETE, path)

    def call(
        self,
        method: HTTPMethod,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        extra_s: float = 0,
        again_path: str | None = None,
    ) -> Document:
        """Send one request and return the JSON object of the reply.

        :param extra_s: seconds that the server may wait before it answers.
        :param again_path: path of a repeated request, if it differs.
        :raises UnavailableError: if no server accepted the request.
        :raises UndecidedError: if a server may have accepted the request and
            its outcome is unknown.
        :raises MangotrailError: the error that a server returned.
        """
        content = None if body is None else msgspec.json.encode(body)
        undecided: errors.UndecidedError | None = None
        failure: errors.MangotrailError | None = None
        for server in self.servers:
            if undecided is not None:
                path = again_path or path
            try:
                return self._call_server(server, method, path, content, extra_s)
            except errors.UnavailableError as error:
                failure = error
            except errors.UndecidedError as error:
                failure = _unavailable(server, error)
                undecided = None if method is HTTPMethod.GET else error
            except errors.MangotrailError as error:
                if undecided is not None:
                    # The error does not cover the request sent earlier.
                    vars(error)['not_run'] = False
                raise
        raise undecided or failure or _unavailable('(none)', ValueError('none'))

    def _act_on_bundle(
        self, version: int, action: str, digest: str, operation: OperationId
    ) -> Accepted:
        body = {'operation': operation, 'digest': digest}
        path = f'/admin/v1/bundles/{version}/{action}'
        return _convert(self.call(HTTPMethod.POST, path, body), Accepted)

    def _call_server(
        self,
        server: str,
        method: HTTPMethod,
        path: str,
        content: bytes | None,
        extra_s: float,
    ) -> Document:
        parts = urlsplit(server)
        connection = HTTPConnection(
            parts.hostname or '', parts.port, timeout=self.timeout_s
        )
        try:
            connection.connect()
        except OSError as failure:
            raise _unavailable(server, failure) from failure
        try:
            status, reply = self._exchange(
                connection, method, path, content, extra_s
            )
        except (OSError, HTTPException) as failure:
            raise _undecided(server, failure) from failure
        finally:
            connection.close()
        return _read_reply(status, reply)

    def _exchange(
        self,
        connection: HTTPConnection,
        method: HTTPMethod,
        path: str,
        content: bytes | None,
        extra_s: float,
    ) -> tuple[int, bytes]:
        connection.sock.settimeout(self.timeout_s + extra_s)
        headers = {'Authorization': f'Bearer {self.token}'}
        if content is not None:
            headers['Content-Type'] = 'application/json'
        connection.request(method.value, path, content, headers)
        response: HTTPResponse = connection.getresponse()
        reply = response.read(MAX_REPLY_BYTES + 1)
        if len(reply) > MAX_REPLY_BYTES:
            raise HTTPException(f'reply over {MAX_REPLY_BYTES} bytes')
        return response.status, reply


def _check_server(server: str) -> str:
    try:
        parts = urlsplit(server)
        usable = parts.scheme == 'http' and parts.hostname and parts.port
    except ValueError:
        usable = None
    if not usable or parts.path.strip('/') or parts.query:
        raise errors.SettingsError(
            'The server is not the URL of a gateway.',
            field='server',
            value=server,
            allowed='http://IP-ADDRESS:PORT',
            remedy='Write the address of a gateway or of the load balancer.',
        )
    return server.rstrip('/')


def _segment(name: str) -> str:
    return quote(name, safe='')


def _job_path(account: AccountId, request: RequestId) -> str:
    return f'/v1/jobs/{_segment(account)}/{_segment(request)}'


def _read_reply(status: int, reply: bytes) -> Document:
    if status == HTTPStatus.NO_CONTENT:
        return {}
    try:
        document = msgspec.json.decode(reply)
    except msgspec.DecodeError as failure:
        raise _unreadable(f'status {status}, no JSON') from failure
    if not isinstance(document, dict):
        raise _unreadable(f'status {status}, no JSON object')
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return document
    error = document.get('error')
    if not isinstance(error, dict):
        raise _unreadable(f'status {status} without an error object')
    raise _error_of(error)


def _error_of(fields: Mapping[str, Any]) -> errors.MangotrailError:
    code = fields.get('code')
    kinds = [
        kind
        for kind in vars(errors).values()
        if isinstance(kind, type)
        and issubclass(kind, errors.MangotrailError)
        and kind.code == code
    ]
    kind = kinds[0] if kinds else errors.MangotrailError
    not_run = fields.get('not_run') is True
    # Only an explicit not_run makes it safe to try another server.
    if kind is errors.UnavailableError and not not_run:
        kind = errors.UndecidedError
    texts = {
        name: str(fields.get(name, ''))
        for name in ('field', 'value', 'allowed', 'remedy')
    }
    error = kind(str(fields.get('message', code)), **texts)
    vars(error)['not_run'] = not_run
    return error


def _convert(document: Document, kind: type[Decoded]) -> Decoded:
    # Ignores fields that a newer server may add.
    known = {
        name: document[name]
        for name in kind.__struct_fields__
        if name in document
    }
    try:
        return msgspec.convert(known, kind)
    except msgspec.ValidationError as failure:
        raise _unreadable(str(failure)) from failure


def _unavailable(server: str, failure: Exception) -> errors.UnavailableError:
    return errors.UnavailableError(
        f'No server accepted the request: {failure}.',
        field='server',
        value=server,
        allowed='a gateway that is ready',
        remedy='Check the servers with GET /readyz and send again.',
    )


def _undecided(server: str, failure: Exception) -> errors.UndecidedError:
    return errors.UndecidedError(
        f'The request was sent but not answered: {failure}.',
        field='server',
        value=server,
        allowed='a complete reply',
        remedy='Send the same operation or request id again.',
    )


def _unreadable(fault: str) -> errors.UndecidedError:
    return errors.UndecidedError(
        f'The reply cannot be read: {fault}.',
        field='reply',
        value=fault,
        allowed='a JSON object of this interface',
        remedy='Check that the server is a mangotrail gateway, then send the '
        'same operation or request id again.',
    )
