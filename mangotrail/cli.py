"""Entry point of the command line ``mangotrail``."""

import os
import sys
from collections.abc import Iterator, Sequence
from importlib import import_module
from typing import Any

from mangotrail.commands import (
    EXIT_MEANINGS,
    Command,
    ExitCode,
    UsageError,
    command_help,
    exit_code,
    parse_command_line,
    print_error,
)
from mangotrail.errors import MangotrailError

# Imported on use, because the control process must load neither the HTTP
# client nor the operator commands.
COMMANDS = {
    'control': 'commands_process:ControlCommand',
    'gateway': 'commands_process:GatewayCommand',
    'format': 'commands_process:FormatCommand',
    'check-settings': 'commands_process:CheckSettingsCommand',
    'bundle write': 'commands_operator:WriteBundleCommand',
    'bundle sign': 'commands_operator:SignBundleCommand',
    'bundle rollout': 'commands_operator:RollOutBundleCommand',
    'bundle list': 'commands_operator:ListBundlesCommand',
    'bundle show': 'commands_operator:ShowBundleCommand',
    'zone out': 'commands_operator:ZoneOutCommand',
    'zone in': 'commands_operator:ZoneInCommand',
    'zone drain': 'commands_operator:ZoneDrainCommand',
    'zone list': 'commands_operator:ListZonesCommand',
    'account list': 'commands_operator:ListAccountsCommand',
    'job submit': 'commands_job:SubmitJobCommand',
    'job show': 'commands_job:ShowJobCommand',
    'job wait': 'commands_job:WaitJobCommand',
    'job cancel': 'commands_job:CancelJobCommand',
    'job list': 'commands_job:ListJobsCommand',
    'graph explain': 'commands_graph:ExplainGraphCommand',
    'endpoint list': 'commands_endpoint:ListEndpointsCommand',
    'endpoint announce': 'commands_endpoint:AnnounceEndpointCommand',
    'endpoint leave': 'commands_endpoint:LeaveEndpointCommand',
    'member list': 'commands_operator:ListMembersCommand',
    'version list': 'commands_operator:ListVersionsCommand',
    'dump': 'commands_operator:DumpCommand',
}


def run() -> int:
    """Run the command line of this process and return its exit code."""
    try:
        code = main(sys.argv[1:])
        sys.stdout.flush()
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader, such as head, has closed the pipe. Without the redirection
        # the interpreter would flush into it again at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE
    return code


def main(words: Sequence[str]) -> int:
    """Run one command.

    :param words: command line without the program name.
    :return: exit code.
    """
    name = find_command_name(words)
    if name is None:
        return _handle_no_command(words)
    command = load_command(name)
    rest = words[len(name.split()) :]
    if '--help' in rest:
        print(command_help(command))
        return ExitCode.DONE
    try:
        return _run_command(command, rest)
    except UsageError as failure:
        sys.stderr.write(
            f'error: {failure}\nSee: mangotrail {command.name} --help\n'
        )
        return ExitCode.USAGE


def _run_command(command: Command, words: Sequence[str]) -> int:
    values, arguments = parse_command_line(command, words)
    try:
        return command.run(values, arguments)
    except MangotrailError as error:
        print_error(error, as_json=values.json)
        return exit_code(error)
    except ExceptionGroup as group:
        # Several tasks of a process may have failed; each error is printed.
        failures = list(_leaf_errors(group))
        if not all(isinstance(one, MangotrailError) for one in failures):
            raise
        for failure in failures:
            print_error(failure, as_json=values.json)
        return exit_code(failures[0])


def _leaf_errors(group: ExceptionGroup[Any]) -> Iterator[Any]:
    for inner in group.exceptions:
        if isinstance(inner, ExceptionGroup):
            yield from _leaf_errors(inner)
        else:
            yield inner


def find_command_name(words: Sequence[str]) -> str | None:
    """Return the command named by the first words, None if it is unknown."""
    for length in (2, 1):
        name = ' '.join(words[:length])
        if name in COMMANDS:
            return name
    return None


def load_command(name: str) -> Command:
    """Import and create a command of ``COMMANDS``."""
    module_name, class_name = COMMANDS[name].split(':')
    module = import_module(f'mangotrail.{module_name}')
    command: Command = getattr(module, class_name)()
    return command


def overview() -> str:
    """Return the help of the program."""
    lines = ['usage: mangotrail COMMAND [flags] [arguments]', '', 'Commands:']
    for name in COMMANDS:
        lines.append(f'  {name}: {load_command(name).summary}')
    lines.extend(('', 'Exit codes:'))
    for code, meaning in EXIT_MEANINGS.items():
        lines.append(f'  {code.value}: {meaning}')
    lines.extend(('', 'Each command explains itself: mangotrail NAME --help'))
    return '\n'.join(lines)


def _handle_no_command(words: Sequence[str]) -> int:
    if list(words) in (['--help'], ['help']):
        print(overview())
        return ExitCode.DONE
    typed = ' '.join(words[:2])
    candidates = [name for name in COMMANDS if name.split()[0] in words[:1]]
    known = ', '.join(candidates or COMMANDS)
    sys.stderr.write(
        f'error: unknown command {typed!r}, expected one of: {known}\n'
        'See: mangotrail --help\n'
    )
    return ExitCode.USAGE
