"""What every subcommand of the command line has in common."""

import sys
from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import IntEnum
from http import HTTPStatus
from typing import Any, ClassVar

import msgspec
from absl import flags

from mangotrail.errors import (
    InvalidInputError,
    MangotrailError,
    UnavailableError,
    UndecidedError,
)


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    NOT_RUN = 5
    UNDECIDED = 6
    NO_ANSWER = 7
    IN_PROGRESS = 8
    INTERRUPTED = 130


EXIT_MEANINGS = {
    ExitCode.DONE: 'done',
    ExitCode.INTERNAL: 'internal error of the command or the service',
    ExitCode.USAGE: 'unknown command, flag or argument',
    ExitCode.INVALID: 'settings, credentials, bundle or other input is invalid',
    ExitCode.REFUSED: 'the service refused the request',
    ExitCode.NOT_RUN: 'no instance took the request; nothing was done',
    ExitCode.UNDECIDED: (
        'the request was sent and its fate is unknown; send it again with '
        'the same --operation or --request'
    ),
    ExitCode.NO_ANSWER: 'the job ended without an answer',
    ExitCode.IN_PROGRESS: 'the job has not ended within the wait',
    ExitCode.INTERRUPTED: 'interrupted; a request that was sent may take effect',
}


class UsageError(Exception):
    """Flags or arguments of a command are wrong."""


class Command(ABC):
    """One subcommand.

    ``name`` is what the user types, ``arguments`` the form of the positional
    arguments, and each of ``examples`` a command line after ``mangotrail``.
    """

    name: ClassVar[str]
    summary: ClassVar[str]
    arguments: ClassVar[tuple[str, ...]] = ()
    examples: ClassVar[tuple[str, ...]]

    @abstractmethod
    def define_flags(self, values: flags.FlagValues) -> None:
        """Define the flags of the command."""

    @abstractmethod
    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Run the command.

        :param values: parsed flags.
        :param arguments: as many as ``self.arguments`` names.
        :return: exit code.
        :raises MangotrailError: printed by the caller of this method.
        """


def parse_command_line(
    command: Command, words: Sequence[str]
) -> tuple[flags.FlagValues, list[str]]:
    """Parse the words after the name of the command.

    :raises UsageError: on unknown flags or a wrong number of arguments.
    """
    values = command_flags(command)
    try:
        arguments = values([command.name, *words])[1:]
    except flags.Error as failure:
        raise UsageError(str(failure)) from failure
    if len(arguments) != len(command.arguments):
        expected = ' '.join(command.arguments) or 'no arguments'
        raise UsageError(f'expected {expected}, got {len(arguments)} arguments')
    return values, arguments


def command_flags(command: Command) -> flags.FlagValues:
    """Return the unparsed flags of a command."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt()
    flags.DEFINE_boolean(
        'json', False, 'Print JSON instead of tables.', flag_values=values
    )
    command.define_flags(values)
    return values


def command_help(command: Command) -> str:
    """Return usage, flags and examples of a command."""
    values = command_flags(command)
    usage = ' '.join([command.name, '[flags]', *command.arguments])
    lines = [f'usage: mangotrail {usage}', '', command.summary, '', 'Flags:']
    for name in sorted(values):
        flag = values[name]
        default = '' if flag.default is None else f' (default {flag.default})'
        lines.append(f'  --{name}: {flag.help}{default}')
    lines.extend(('', 'Examples:'))
    lines.extend(f'  mangotrail {example}' for example in command.examples)
    return '\n'.join(lines)


def exit_code(error: MangotrailError) -> ExitCode:
    """Return the exit code that tells a script what to do next."""
    if isinstance(error, InvalidInputError):
        return ExitCode.INVALID
    if isinstance(error, UndecidedError):
        return ExitCode.UNDECIDED
    if isinstance(error, UnavailableError):
        return ExitCode.NOT_RUN
    if error.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return ExitCode.REFUSED
    return ExitCode.INTERNAL


def print_error(error: MangotrailError, *, as_json: bool) -> None:
    """Print an error to standard error."""
    if as_json:
        body = {
            'code': error.code,
            'message': error.message,
            'field': error.field,
            'value': error.value,
            'allowed': error.allowed,
            'remedy': error.remedy,
            'not_run': error.not_run,
        }
        sys.stderr.write(f'{msgspec.json.encode({"error": body}).decode()}\n')
        return
    lines = [f'error: {error.message} ({error.code})']
    for label, detail in (
        ('field', error.field),
        ('value', error.value),
        ('allowed', error.allowed),
        ('remedy', error.remedy),
        ('not run', 'yes' if error.not_run else ''),
    ):
        if detail:
            lines.append(f'  {label}: {detail}')
    sys.stderr.write('\n'.join([*lines, '']))


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=2)
    sys.stdout.write(f'{encoded.decode()}\n')
