"""Exceptions of mangotrail; each error code has a type of its own."""

from http import HTTPStatus
from typing import ClassVar

from mangotrail._messages import Failure


class MangotrailError(Exception):
    """An internal error; base type of all others.

    Each error names the invalid field and a remedy where they apply.

    :param message: one human-readable sentence.
    :param field: name of the invalid field, empty if there is none.
    :param value: the rejected value, truncated to 200 characters.
    :param allowed: the allowed range or form of the field.
    :param remedy: what the receiver of the error can do.
    """

    code: ClassVar[str] = 'internal_error'
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    # True only if the error proves that no part of the request ran.
    not_run: ClassVar[bool] = False

    def __init__(
        self,
        message: str,
        *,
        field: str = '',
        value: object = '',
        allowed: str = '',
        remedy: str = '',
    ) -> None:
        super().__init__(message)
        self.message = message
        self.field = field
        self.value = str(value)[:200]
        self.allowed = allowed
        self.remedy = remedy

    def to_failure(self) -> Failure:
        """Return the message that reports this error to a caller."""
        return Failure(
            code=self.code,
            message=self.message,
            field_name=self.field,
            value=self.value,
            allowed=self.allowed,
            remedy=self.remedy,
            not_run=self.not_run,
            status=int(self.status),
        )


class InvalidInputError(MangotrailError):
    """Input is malformed, out of range or too large."""

    code = 'invalid_input'
    status = HTTPStatus.BAD_REQUEST
    not_run = True


class SettingsError(InvalidInputError):
    """Settings or credentials are invalid."""

    code = 'invalid_settings'


class InvalidBundleError(InvalidInputError):
    """A bundle is inconsistent or its guarantees cannot all be placed."""

    code = 'invalid_bundle'
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class PayloadTooLargeError(InvalidInputError):
    """A body or payload exceeds its size limit."""

    code = 'too_large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class UnauthorizedError(MangotrailError):
    """The credential is missing or unknown."""

    code = 'unauthorized'
    status = HTTPStatus.UNAUTHORIZED
    not_run = True


class ForbiddenError(MangotrailError):
    """The credential does not allow the request."""

    code = 'forbidden'
    status = HTTPStatus.FORBIDDEN
    not_run = True


class UnknownObjectError(MangotrailError):
    """The named account, job, zone, bundle or endpoint does not exist."""

    code = 'unknown_object'
    status = HTTPStatus.NOT_FOUND


class BundleConflictError(MangotrailError):
    """Another operator's bundle version was accepted first."""

    code = 'bundle_conflict'
    status = HTTPStatus.CONFLICT


class BundleStateError(MangotrailError):
    """A bundle version is not in the state that the operation needs."""

    code = 'bundle_state'
    status = HTTPStatus.CONFLICT


class ConfigurationDeltaError(MangotrailError):
    """A change does not lead from the version held to the version sent."""

    code = 'configuration_delta'
    status = HTTPStatus.CONFLICT


class StaleGenerationError(MangotrailError):
    """An announcement belongs to a generation that has left or was replaced."""

    code = 'stale_generation'
    status = HTTPStatus.CONFLICT


class RequestConflictError(MangotrailError):
    """A request id was reused for a different request."""

    code = 'request_conflict'
    status = HTTPStatus.CONFLICT


class RequestTooOldError(MangotrailError):
    """A request is older than the retention; an earlier run may be unknown."""

    code = 'request_too_old'
    status = HTTPStatus.GONE


class QueueFullError(MangotrailError):
    """The queue of the account is full."""

    code = 'queue_full'
    status = HTTPStatus.TOO_MANY_REQUESTS
    not_run = True


class ImpossibleJobError(MangotrailError):
    """The inventory of the bundle in force can never hold the job."""

    code = 'impossible_job'
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    not_run = True


class UnavailableError(MangotrailError):
    """The instance cannot accept the request and has not forwarded it."""

    code = 'unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    not_run = True


class UndecidedError(MangotrailError):
    """A request was forwarded and its outcome is not known yet."""

    code = 'undecided'
    status = HTTPStatus.GATEWAY_TIMEOUT


class NotLeaderError(MangotrailError):
    """A proposal reached a member that is not the leader."""

    code = 'not_leader'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class MembershipError(MangotrailError):
    """A change of the agreement group is not safe at this moment."""

    code = 'membership_change'
    status = HTTPStatus.CONFLICT
    not_run = True


class StorageError(MangotrailError):
    """The journal cannot be written or synced."""

    code = 'storage_error'


class DamagedJournalError(StorageError):
    """A journal or snapshot is damaged beyond a torn tail."""

    code = 'damaged_journal'


class ProtocolError(MangotrailError):
    """A frame has the wrong deployment, version or size."""

    code = 'protocol_error'
    status = HTTPStatus.BAD_REQUEST


class PlatformError(MangotrailError):
    """The platform's worker interface failed or refused a call."""

    code = 'platform_error'
    status = HTTPStatus.BAD_GATEWAY


class EndpointError(MangotrailError):
    """An endpoint failed or sent an incomplete or mismatched answer."""

    code = 'endpoint_error'
    status = HTTPStatus.BAD_GATEWAY


class SessionFaultError(MangotrailError):
    """A session with a worker failed because of an internal error."""

    code = 'session_fault'


class AnswerUnavailableError(MangotrailError):
    """The answer of a finished job is no longer kept or cannot be fetched."""

    code = 'answer_unavailable'
    status = HTTPStatus.BAD_GATEWAY
