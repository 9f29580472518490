"""HTTP paths of operators."""

from collections.abc import Callable
from typing import TypeVar

from blacksheep import Request, Response

from mangotrail._gateway_context import GatewayContext
from mangotrail._http_common import (
    Role,
    convert,
    decode_object,
    json_response,
    raw_response,
    read_body,
    read_integer,
    read_path_parameter,
)
from mangotrail._messages import (
    Accepted,
    CallBody,
    DocumentReply,
    QueryCall,
    RollOutBundle,
    SetZone,
    SignBundle,
    View,
    WriteBundle,
)
from mangotrail.errors import InvalidInputError, ProtocolError

CommandT = TypeVar('CommandT', WriteBundle, SignBundle, RollOutBundle, SetZone)


class OperatorHandlers:
    """Serves bundles, zones and views of the state.

    :param context: parts of the gateway.
    :param dump_gateway: returns what this process knows, for the dump.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        dump_gateway: Callable[[], dict[str, object]],
    ) -> None:
        self.context = context
        self.dump_gateway = dump_gateway

    async def write_bundle(self, request: Request) -> Response:
        """Add a bundle version."""
        return await self._command(request, WriteBundle)

    async def sign_bundle(self, request: Request) -> Response:
        """Sign off a bundle version."""
        return await self._command(
            request, SignBundle, version=self._version(request)
        )

    async def roll_out_bundle(self, request: Request) -> Response:
        """Put a bundle version in force."""
        return await self._command(
            request, RollOutBundle, version=self._version(request)
        )

    async def set_zone(self, request: Request) -> Response:
        """Take a zone out of service or back in."""
        zone = read_path_parameter(request, 'zone')
        return await self._command(request, SetZone, zone=zone)

    async def view(self, request: Request) -> Response:
        """Return the part of the state that the path names."""
        self.context.authenticator.require(request, Role.OPERATOR)
        return await self._query(View(request.path.rsplit('/', 1)[-1]))

    async def dump(self, request: Request) -> Response:
        """Return all that one of the two processes knows."""
        self.context.authenticator.require(request, Role.OPERATOR)
        process = request.query.get('process', ['gateway'])[0]
        if process == 'gateway':
            return json_response(self.dump_gateway())
        if process == 'control':
            return await self._query(View.DUMP)
        raise InvalidInputError(
            'There is no such process.',
            field='process',
            value=process,
            allowed='gateway or control',
            remedy='Correct the value.',
        )

    async def _query(self, view: View) -> Response:
        reply = await self.context.call_control(QueryCall(view=view))
        if not isinstance(reply, DocumentReply):
            raise ProtocolError(f'unexpected reply {type(reply).__name__}')
        return raw_response(reply.body)

    async def _command(
        self,
        request: Request,
        command_type: type[CommandT],
        **from_path: object,
    ) -> Response:
        principal = self.context.authenticator.require(request, Role.OPERATOR)
        body = await read_body(request, self.context.settings.http)
        document = decode_object(body)
        _reject_reserved(document, ('kind', 'operator', *from_path))
        command: CallBody = convert(
            {**document, **from_path, 'operator': principal.name}, command_type
        )
        reply = await self.context.call_control(command)
        if not isinstance(reply, Accepted):
            raise ProtocolError(f'unexpected reply {type(reply).__name__}')
        return json_response({'version': reply.version, 'digest': reply.digest})

    def _version(self, request: Request) -> int:
        # The credential comes first, so that strangers learn nothing.
        self.context.authenticator.require(request, Role.OPERATOR)
        return read_integer(read_path_parameter(request, 'version'), 'version')


def _reject_reserved(
    document: dict[str, object], reserved: tuple[str, ...]
) -> None:
    for name in reserved:
        if name in document:
            raise InvalidInputError(
                f'The field {name} is set by the server.',
                field=name,
                value=document[name],
                allowed='no such field',
                remedy='Remove the field.',
            )
