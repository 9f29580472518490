"""Subcommands for endpoints."""

from collections.abc import Sequence
from typing import Any

import msgspec
from absl import flags

from mangotrail._messages import AnnounceEndpoint, LeaveEndpoint, View
from mangotrail.commands import ExitCode, UsageError, print_json
from mangotrail.commands_remote import ListCommand, RemoteCommand, make_client
from mangotrail.ids import EndpointId, ServiceId, ZoneId


class EndpointCommand(RemoteCommand):
    """A command with the credential of a service."""

    holder = 'service'
    role = 'services'
    arguments = ('ENDPOINT',)

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--generation``."""
        super().define_flags(values)
        flags.DEFINE_integer(
            'generation',
            None,
            'Number of this start of the endpoint, higher at each start.',
            1,
            required=True,
            flag_values=values,
        )


class AnnounceEndpointCommand(EndpointCommand):
    """Announces an endpoint once."""

    name = 'endpoint announce'
    summary = (
        'Announces an endpoint once. An endpoint itself repeats this as its '
        'heartbeat and receives no work when it stops doing so.'
    )
    examples = (
        'endpoint announce desk-1 --generation 1 --zone soweto-yard '
        '--url http://127.0.0.1:18201',
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of the announcement."""
        super().define_flags(values)
        for name, meaning, required in (
            ('zone', 'Availability zone of the endpoint.', True),
            ('url', 'Base URL of the endpoint.', True),
            ('worker', 'Worker that the endpoint runs on.', False),
        ):
            flags.DEFINE_string(
                name, None, meaning, required=required, flag_values=values
            )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Announce the endpoint."""
        client, service = make_client(self, values)
        announcement = AnnounceEndpoint(
            endpoint=EndpointId(arguments[0]),
            generation=values.generation,
            service=ServiceId(service),
            zone=ZoneId(values.zone),
            url=values.url,
            worker=values.worker,
        )
        reply = client.announce_endpoint(_validated(announcement))
        return _print_reply(reply, values, 'announced')


class LeaveEndpointCommand(EndpointCommand):
    """Stops new work for an endpoint."""

    name = 'endpoint leave'
    summary = (
        'Stops new work for one generation of an endpoint; requests that are '
        'already there finish.'
    )
    examples = ('endpoint leave desk-1 --generation 1',)

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Let the endpoint leave."""
        client, _service = make_client(self, values)
        leave = LeaveEndpoint(
            endpoint=EndpointId(arguments[0]), generation=values.generation
        )
        return _print_reply(
            client.leave_endpoint(_validated(leave)), values, 'left'
        )


class ListEndpointsCommand(ListCommand):
    """Lists endpoints."""

    name = 'endpoint list'
    summary = 'Lists the endpoints of all services; needs an operator.'
    examples = ('endpoint list',)
    view = View.ENDPOINTS


def _validated(message: Any) -> Any:
    try:
        # Constructors do not check bounds; a conversion does.
        return msgspec.convert(msgspec.to_builtins(message), type(message))
    except msgspec.ValidationError as failure:
        raise UsageError(str(failure)) from failure


def _print_reply(
    reply: dict[str, Any], values: flags.FlagValues, done: str
) -> ExitCode:
    if values.json:
        print_json(reply)
    else:
        print(done)
    return ExitCode.DONE
