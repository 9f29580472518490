"""Subcommands for jobs made of steps."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from absl import flags

from mangotrail.commands import Command, ExitCode, print_json
from mangotrail.errors import InvalidInputError
from mangotrail.graphs.explain import explain, report_lines
from mangotrail.ids import JobId


class ExplainGraphCommand(Command):
    """Explains a job made of steps from logs."""

    name = 'graph explain'
    summary = (
        'Prints from logs what happened to a job made of steps: a timeline of '
        'its requests, waits, runs and ends, and what delayed it.'
    )
    arguments = ('JOB',)
    examples = (
        'graph explain 5c0e7a21d94b36f8 --logs control-1.log,entry-1.log',
        'graph explain 5c0e7a21d94b36f8 --logs all.log --json',
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        """Define ``--logs``."""
        flags.DEFINE_list(
            'logs',
            [],
            'Log files, separated by commas; standard input without any.',
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> int:
        """Print the timeline and the findings."""
        explanation = explain(JobId(arguments[0]), _log_lines(values.logs))
        if values.json:
            print_json(explanation)
        else:
            sys.stdout.writelines(
                f'{line}\n' for line in report_lines(explanation)
            )
        return ExitCode.DONE


def _log_lines(names: Sequence[str]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input.

    :raises InvalidInputError: if a file cannot be read.
    """
    if not names:
        yield from sys.stdin
    for name in names:
        try:
            text = Path(name).read_text(errors='replace')
        except OSError as error:
            raise InvalidInputError(
                f'The log file cannot be read: {error.strerror}.',
                field='logs',
                value=name,
                allowed='files that can be read',
                remedy='Correct the name of the file.',
            ) from error
        yield from text.splitlines()
