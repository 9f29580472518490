"""Authentication, request bodies and error responses over HTTP."""

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256
from typing import TypeVar, cast

import msgspec
from blacksheep import Content, Request, Response
from blacksheep.exceptions import MessageAborted

from mangotrail._messages import Failure
from mangotrail._settings import Credentials, HttpSettings
from mangotrail.documents import parse_json
from mangotrail.errors import (
    ForbiddenError,
    InvalidInputError,
    MangotrailError,
    PayloadTooLargeError,
    UnauthorizedError,
)

JSON_TYPE = b'application/json'
# Messages of msgspec, such as: Expected `int` >= 1 - at `$.shape.members`.
PATH_PATTERN = re.compile(r' - at `\$?\.?([^`]*)`$')
EXPECTED_PATTERN = re.compile(r'^Expected (.*?)(?:, got .*)?$')
FIELD_PATTERN = re.compile('(unknown|missing required) field `([^`]*)`')
PATH_STEP_PATTERN = re.compile(r'[^.\[\]]+')

ValueT = TypeVar('ValueT')

Handler = Callable[[Request], Awaitable[Response]]


class Role(StrEnum):
    """Role of the holder of a credential."""

    OPERATOR = 'operator'
    ACCOUNT = 'account'
    SERVICE = 'service'


@dataclass(frozen=True, kw_only=True)
class Principal:
    """Authenticated sender of a request."""

    role: Role
    name: str


class Authenticator:
    """Identifies the holder of a bearer token.

    :param credentials: tokens by role.
    """

    def __init__(self, *, credentials: Credentials) -> None:
        # A lookup by digest leaks no timing about nearly correct tokens.
        self.principals: dict[bytes, Principal] = {}
        for role, tokens in (
            (Role.OPERATOR, credentials.operators),
            (Role.ACCOUNT, credentials.accounts),
            (Role.SERVICE, credentials.services),
        ):
            self._add(role, tokens)

    def require(self, request: Request, role: Role) -> Principal:
        """Return the principal that sent a request.

        :raises UnauthorizedError: if the credential is missing or unknown.
        :raises ForbiddenError: if it has another role.
        """
        header = request.get_first_header(b'authorization') or b''
        scheme, _, token = header.partition(b' ')
        principal = self.principals.get(sha256(token.strip()).digest())
        if scheme.lower() != b'bearer' or principal is None:
            raise UnauthorizedError(
                'The request carries no known credential.',
                field='authorization',
                allowed='Bearer TOKEN',
                remedy='Send a token of the credentials file.',
            )
        if principal.role is not role:
            raise ForbiddenError(
                f'The credential has the role {principal.role}.',
                field='authorization',
                allowed=f'a token with the role {role}',
                remedy=f'Send a token with the role {role}.',
            )
        return principal

    def _add(self, role: Role, tokens: Mapping[str, str]) -> None:
        for name, token in tokens.items():
            digest = sha256(token.encode()).digest()
            self.principals[digest] = Principal(role=role, name=name)


async def read_body(request: Request, bounds: HttpSettings) -> bytes:
    """Read a complete body within the limits of size and time.

    :raises PayloadTooLargeError: if the body is too large.
    :raises InvalidInputError: if it is incomplete or arrives too slowly.
    """
    declared = request.get_first_header(b'content-length') or b'0'
    if declared.isdigit() and int(declared) > bounds.max_body_bytes:
        raise make_too_large_error(declared.decode(), bounds.max_body_bytes)
    body = bytearray()
    try:
        async with asyncio.timeout(bounds.body_timeout_s):
            # The annotation in blacksheep omits that it is an async generator.
            chunks = cast(AsyncIterator[bytes], request.stream())
            async for chunk in chunks:
                body += chunk
                if len(body) > bounds.max_body_bytes:
                    raise make_too_large_error(
                        str(len(body)), bounds.max_body_bytes
                    )
    except MessageAborted as error:
        raise InvalidInputError(
            'The client disconnected before the end of the body.', field='body'
        ) from error
    except TimeoutError as error:
        raise InvalidInputError(
            'The body did not arrive in time.',
            field='body',
            value=f'{len(body)} bytes',
            allowed=f'a whole body within {bounds.body_timeout_s} s',
            remedy='Send the request again on a faster connection.',
        ) from error
    return bytes(body)


def make_too_large_error(
    size: str, max_bytes: int, field: str = 'body'
) -> PayloadTooLargeError:
    """Return the error for a body or payload over its limit."""
    return PayloadTooLargeError(
        f'The {field} is too large.',
        field=field,
        value=f'{size} bytes',
        allowed=f'at most {max_bytes} bytes',
        remedy='Send less, or pass a reference to the data instead.',
    )


def decode_object(body: bytes) -> dict[str, object]:
    """Decode a JSON object.

    :raises InvalidInputError: if the body is not a JSON object.
    """
    document = parse_json(body, error=InvalidInputError, field='body')
    if not isinstance(document, dict):
        raise InvalidInputError(
            'The body is not a JSON object.',
            field='body',
            value=type(document).__name__,
            allowed='one JSON object in UTF-8',
            remedy='Correct the body.',
        )
    return document


def convert(document: object, target_type: type[ValueT]) -> ValueT:
    """Convert a decoded JSON document to a type of the schema.

    :raises InvalidInputError: with the field, its value and what is allowed.
    """
    try:
        return msgspec.convert(document, target_type)
    except msgspec.ValidationError as error:
        raise _make_invalid_input_error(
            str(error), document, target_type
        ) from error


def _make_invalid_input_error(
    message: str, document: object, target_type: type
) -> InvalidInputError:
    path = PATH_PATTERN.search(message)
    problem = PATH_PATTERN.sub('', message)
    location = path.group(1) if path else ''
    named = FIELD_PATTERN.search(problem)
    if named is not None:
        field = f'{location}.{named.group(2)}'.lstrip('.')
        unknown = named.group(1) == 'unknown'
        return InvalidInputError(
            f'{problem}.',
            field=field,
            value=_value_at(document, field) if unknown else '',
            allowed='no such field' if unknown else 'a value',
            remedy='Remove the field.' if unknown else 'Add the field.',
        )
    expected = EXPECTED_PATTERN.match(problem)
    return InvalidInputError(
        f'{problem}.',
        field=location or 'body',
        value=_value_at(document, location),
        allowed=(
            expected.group(1).replace('`', '')
            if expected
            else _enum_values(target_type, location)
        ),
        remedy='Correct the value.',
    )


def _enum_values(target_type: type, path: str) -> str:
    """Return the values of the enum at a path, empty for other types."""
    found = msgspec.inspect.type_info(target_type)
    for step in PATH_STEP_PATTERN.findall(path):
        if not isinstance(found, msgspec.inspect.StructType):
            return ''
        types = {field.encode_name: field.type for field in found.fields}
        found = types.get(step, msgspec.inspect.AnyType())
    if not isinstance(found, msgspec.inspect.EnumType):
        return ''
    return ', '.join(str(member.value) for member in found.cls)


def _value_at(document: object, path: str) -> object:
    for step in PATH_STEP_PATTERN.findall(path):
        if isinstance(document, dict):
            document = document.get(step, '')
        elif isinstance(document, list) and step.isdecimal():
            document = document[int(step)]
        else:
            return ''
    return document


def read_query_number(
    request: Request, name: str, *, default: float, maximum: float
) -> float:
    """Read a number from the query.

    :raises InvalidInputError: if it is not a number or out of range.
    """
    texts = request.query.get(name)
    if not texts:
        return default
    try:
        number = float(texts[0])
    except ValueError:
        number = -1
    if not 0 <= number <= maximum:
        raise InvalidInputError(
            f'The query field {name} is out of range.',
            field=name,
            value=texts[0],
            allowed=f'a number from 0 to {maximum:g}',
            remedy='Correct the value.',
        )
    return number


def as_handler(serve: Handler) -> Handler:
    """Wrap a bound method, which the router does not accept, in a function."""

    async def handle(request: Request) -> Response:
        return await serve(request)

    return handle


def read_path_parameter(request: Request, name: str) -> str:
    """Return a decoded path parameter, empty if it is missing."""
    return (request.route_values or {}).get(name) or ''


def read_integer(text: str, field: str) -> int:
    """Parse a non-negative integer from the path or query.

    :raises InvalidInputError: if it is not an integer.
    """
    if not text.isascii() or not text.isdecimal() or len(text) > 15:
        raise InvalidInputError(
            f'The {field} is not a whole number.',
            field=field,
            value=text,
            allowed='a whole number of at most 15 digits',
            remedy='Correct the value.',
        )
    return int(text)


def json_response(document: object, status: int = 200) -> Response:
    """Return a JSON response; bytes are encoded as base64."""
    return raw_response(msgspec.json.encode(document), status)


def raw_response(
    body: bytes, status: int = 200, content_type: bytes = JSON_TYPE
) -> Response:
    """Return a response with an unmodified body."""
    return Response(status, None, Content(content_type, body))


def failure_response(failure: Failure) -> Response:
    """Return the response for a failure."""
    response = json_response(failure_document(failure), failure.status)
    if failure.field_name == 'body':
        # The rest of a rejected body is not read.
        response.set_header(b'connection', b'close')
    return response


def failure_document(failure: Failure) -> dict[str, dict[str, object]]:
    """Return the JSON document of a failure."""
    return {
        'error': {
            'code': failure.code,
            'message': failure.message,
            'field': failure.field_name,
            'value': failure.value,
            'allowed': failure.allowed,
            'remedy': failure.remedy,
            'not_run': failure.not_run,
        }
    }


class FailureReplyError(MangotrailError):
    """The control process replied with a failure.

    :param failure: the reply.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure

    def to_failure(self) -> Failure:
        """Return the failure of the control process unchanged."""
        return self.failure
