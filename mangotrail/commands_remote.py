"""What the subcommands that call a gateway have in common."""

import os
import sys
import uuid
from collections.abc import Mapping, Sequence
from typing import Any, ClassVar

from absl import flags

from mangotrail._messages import Accepted, View
from mangotrail.client import Client
from mangotrail.commands import Command, ExitCode, UsageError, print_json
from mangotrail.errors import SettingsError
from mangotrail.ids import OperationId
from mangotrail.settings import load_credentials
from mangotrail.tables import format_table

SERVER_VARIABLE = 'MANGOTRAIL_SERVER'
CREDENTIALS_VARIABLE = 'MANGOTRAIL_CREDENTIALS'


class RemoteCommand(Command):
    """A command that calls a gateway with one credential.

    ``holder`` is the flag that names the holder of the token, and ``role``
    the part of the credentials file that it stands in.
    """

    holder: ClassVar[str] = 'operator'
    role: ClassVar[str] = 'operators'

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags for server and credential."""
        flags.DEFINE_list(
            'server',
            None,
            'Base URLs of gateways, tried in this order; default from '
            f'{SERVER_VARIABLE}.',
            flag_values=values,
        )
        flags.DEFINE_string(
            'credentials',
            None,
            f'Credentials file; default from {CREDENTIALS_VARIABLE}.',
            flag_values=values,
        )
        flags.DEFINE_string(
            self.holder,
            None,
            f'Whose token to use, one of the {self.role} in the credentials '
            'file; may be left out if there is one only.',
            flag_values=values,
        )
        flags.DEFINE_float(
            'timeout_s',
            10,
            'Longest wait for a server, in seconds.',
            0.1,
            600,
            flag_values=values,
        )


class ListCommand(RemoteCommand):
    """Prints a view."""

    view: ClassVar[View]

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print the entries of the view."""
        client, _holder = make_client(self, values)
        print_rows(client.list_view(self.view), values)
        return ExitCode.DONE


class OperationCommand(RemoteCommand):
    """A command that changes something once for each operation id."""

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--operation``."""
        super().define_flags(values)
        flags.DEFINE_string(
            'operation',
            None,
            'Operation id; give the printed one to send a command again.',
            flag_values=values,
        )


def make_client(
    command: RemoteCommand, values: flags.FlagValues
) -> tuple[Client, str]:
    """Return a client and the name of the credential's holder.

    :raises UsageError: if a flag is missing.
    :raises SettingsError: if the file has no such credential.
    """
    # Read here and not as defaults of the flags, so that help texts and the
    # pages written from them are the same everywhere.
    servers = values.server or os.environ.get(SERVER_VARIABLE, '').split(',')
    if not any(servers):
        raise UsageError(f'--server or {SERVER_VARIABLE} must be set')
    path = values.credentials or os.environ.get(CREDENTIALS_VARIABLE)
    if not path:
        raise UsageError(f'--credentials or {CREDENTIALS_VARIABLE} must be set')
    credentials = load_credentials(path)
    tokens: Mapping[str, str] = getattr(credentials, command.role)
    holder: str | None = values[command.holder].value
    if holder is None and len(tokens) == 1:
        holder = next(iter(tokens))
    if holder is None:
        raise UsageError(
            f'--{command.holder} must name one of: {", ".join(tokens)}'
        )
    if holder not in tokens:
        raise SettingsError(
            f'The credentials file has no token of {holder}.',
            field=command.role,
            value=holder,
            allowed=', '.join(tokens),
            remedy=f'Correct --{command.holder} or the file.',
        )
    client = Client(servers, token=tokens[holder], timeout_s=values.timeout_s)
    return client, holder


def begin_operation(values: flags.FlagValues) -> OperationId:
    """Return the operation id and print it before anything is sent."""
    operation = values.operation or str(uuid.uuid4())
    sys.stderr.write(f'operation: {operation}\n')
    return OperationId(operation)


def parse_version(text: str) -> int:
    """Return a bundle version.

    :raises UsageError: if it is not a whole number from 1.
    """
    if not (text.isascii() and text.isdigit() and int(text)):
        raise UsageError(f'VERSION must be a whole number from 1, got {text!r}')
    return int(text)


def print_accepted(accepted: Accepted, values: flags.FlagValues) -> None:
    """Print the outcome of an operation."""
    report = {'version': accepted.version, 'digest': accepted.digest}
    if values.json:
        print_json({'accepted': True, **report})
    elif accepted.digest:
        print(f'accepted: version {accepted.version}, {accepted.digest}')
    else:
        print('accepted')


def print_rows(
    rows: Sequence[Mapping[str, Any]], values: flags.FlagValues
) -> None:
    """Print entries as a table or as JSON."""
    if values.json:
        print_json(rows)
    else:
        print(format_table(rows))
