"""The command ``mangotrail``."""

import sys
from collections.abc import Sequence
from importlib import import_module

from mangotrail.commands import (
    EXIT_MEANINGS,
    Command,
    ExitCode,
    UsageError,
    command_help,
    exit_code,
    parse_words,
    print_error,
)
from mangotrail.errors import MangotrailError

# The modules are imported on use, because the control process must load
# neither the HTTP client nor the operator commands.
COMMANDS = {
    'control': 'commands_process:ControlCommand',
    'gateway': 'commands_process:GatewayCommand',
    'format': 'commands_process:FormatCommand',
    'check-settings': 'commands_process:CheckSettingsCommand',
}


def run() -> int:
    """Run the command line of this process."""
    return main(sys.argv[1:])


def main(words: Sequence[str]) -> int:
    """Run one command.

    :param words: command line after the name of the program.
    :return: exit code.
    """
    name = find_name(words)
    if name is None:
        return _without_command(words)
    command = load_command(name)
    rest = words[len(name.split()) :]
    if '--help' in rest:
        print(command_help(command))
        return ExitCode.DONE
    try:
        values, arguments = parse_words(command, rest)
    except UsageError as failure:
        sys.stderr.write(
            f'error: {failure}\nSee: mangotrail {command.name} --help\n'
        )
        return ExitCode.USAGE
    try:
        return command.run(values, arguments)
    except MangotrailError as error:
        print_error(error, as_json=values.json)
        return exit_code(error)


def find_name(words: Sequence[str]) -> str | None:
    """Return the command that the first one or two words name."""
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


def _without_command(words: Sequence[str]) -> int:
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
