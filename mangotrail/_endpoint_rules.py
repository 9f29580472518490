"""Rules for announcements and departures of endpoint generations."""

from msgspec.structs import replace

from mangotrail._bundle import Bundle
from mangotrail._messages import (
    AnnounceEndpoint,
    EndpointRecord,
    LeaveEndpoint,
)
from mangotrail.errors import (
    ForbiddenError,
    StaleGenerationError,
    UnknownObjectError,
)
from mangotrail.ids import ServiceId


def announce(
    known: EndpointRecord | None,
    body: AnnounceEndpoint,
    bundle: Bundle,
    time_s: float,
) -> EndpointRecord:
    """Return the record of an endpoint after an announcement.

    :raises UnknownObjectError: if the bundle has no such service.
    :raises ForbiddenError: if the id belongs to another service.
    :raises StaleGenerationError: if the generation has left or was replaced.
    """
    services = {spec.service for spec in bundle.services}
    if body.service not in services:
        raise UnknownObjectError(
            'the bundle in force has no such service',
            field='service',
            value=body.service,
            allowed=', '.join(sorted(services)),
            remedy='add the service to the bundle',
        )
    if known is not None:
        _check_service(known, body.service)
        _check_generation(known, body.generation)
        if known.generation == body.generation:
            return known
    return EndpointRecord(
        endpoint=body.endpoint,
        generation=body.generation,
        service=body.service,
        zone=body.zone,
        url=body.url,
        worker=body.worker,
        changed_s=time_s,
    )


def leave(
    known: EndpointRecord | None, body: LeaveEndpoint, time_s: float
) -> EndpointRecord:
    """Return the record of an endpoint after its departure.

    :raises UnknownObjectError: if there is no such endpoint.
    :raises StaleGenerationError: if a newer generation was announced.
    """
    if known is None:
        raise UnknownObjectError(
            'there is no such endpoint',
            field='endpoint',
            value=body.endpoint,
            remedy='list the endpoints',
        )
    if body.generation < known.generation:
        _check_generation(known, body.generation)
    return replace(
        known, generation=body.generation, left=True, changed_s=time_s
    )


def _check_service(known: EndpointRecord, service: ServiceId) -> None:
    """Reject an endpoint id that another service already uses."""
    if known.service != service and not known.left:
        raise ForbiddenError(
            'the endpoint id belongs to another service',
            field='endpoint',
            value=known.endpoint,
            remedy='announce under an id of its own',
        )


def _check_generation(known: EndpointRecord, generation: int) -> None:
    """Reject a generation that has left or was replaced."""
    if generation > known.generation:
        return
    if generation == known.generation and not known.left:
        return
    raise StaleGenerationError(
        'this generation of the endpoint has left or was replaced',
        field='generation',
        value=generation,
        allowed=f'above {known.generation}',
        remedy='announce with a higher generation after each start',
    )
