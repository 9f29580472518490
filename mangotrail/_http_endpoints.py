"""HTTP paths of endpoints."""

from blacksheep import Request, Response

from mangotrail._gateway_context import GatewayContext
from mangotrail._http_common import (
    FailureReplyError,
    Principal,
    Role,
    convert,
    decode_object,
    json_response,
    read_body,
    read_integer,
    read_path_parameter,
)
from mangotrail._messages import AnnounceEndpoint, LeaveEndpoint
from mangotrail.endpoints import check_announcement
from mangotrail.errors import (
    ForbiddenError,
    InvalidInputError,
    UnavailableError,
)
from mangotrail.ids import EndpointId, ServiceId


class EndpointHandlers:
    """Serves announcements, heartbeats and leaves.

    :param context: parts of the gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self.context = context

    async def announce(self, request: Request) -> Response:
        """Admit an endpoint or record its heartbeat."""
        principal = self.context.authenticator.require(request, Role.SERVICE)
        body = await read_body(request, self.context.settings.http)
        announcement = convert(decode_object(body), AnnounceEndpoint)
        _require_own_service(principal, announcement.service)
        check_announcement(announcement)
        if not self.context.status.is_linked():
            # The heartbeat would reach no leader from here.
            raise UnavailableError(
                'The control process of this instance does not reply.',
                remedy='Announce the endpoint at another instance.',
            )
        if not self.context.heartbeats.record_heartbeat(announcement):
            await self._forward(announcement)
        return json_response({'generation': announcement.generation})

    async def leave(self, request: Request) -> Response:
        """Take one generation of an endpoint out of new work."""
        principal = self.context.authenticator.require(request, Role.SERVICE)
        endpoint = EndpointId(read_path_parameter(request, 'endpoint'))
        known = self.context.heartbeats.announcements.get(endpoint)
        if known is not None:
            _require_own_service(principal, known.service)
        texts = request.query.get('generation')
        if not texts:
            raise InvalidInputError(
                'The query field generation is missing.',
                field='generation',
                allowed='a whole number of at least 1',
                remedy='Add the field.',
            )
        generation = read_integer(texts[0], 'generation')
        # From here on no heartbeat of this generation is passed on.
        self.context.heartbeats.leave(endpoint, generation)
        leave = convert(
            {'endpoint': endpoint, 'generation': generation}, LeaveEndpoint
        )
        await self.context.call_control(leave)
        return json_response({'generation': generation})

    async def _forward(self, announcement: AnnounceEndpoint) -> None:
        try:
            await self.context.call_control(announcement)
        except FailureReplyError:
            self.context.heartbeats.remove(announcement.endpoint)
            raise
        self.context.heartbeats.register(announcement)


def _require_own_service(principal: Principal, service: ServiceId) -> None:
    if principal.name != service:
        raise ForbiddenError(
            'The credential belongs to another service.',
            field='service',
            value=service,
            allowed=principal.name,
            remedy='Act on endpoints of the own service only.',
        )
