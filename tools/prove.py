"""Checks that the test of each promise fails without its mechanism.

Run as ``python -m tools.prove`` from the root of the repository. Each case
runs its test on two copies of the committed tree: one with the mechanism
disabled, where the test must fail, and an unchanged one, where it must pass.
The last line of the output is one JSON object.
"""

import json
import sys
import tarfile
from collections.abc import Sequence
from io import BytesIO
from pathlib import Path
from subprocess import run
from tempfile import TemporaryDirectory
from typing import NamedTuple

TEST_TIMEOUT_S = 300
PASSED = 'passed'
FAILED = 'failed'


class Change(NamedTuple):
    """Replacement of source text that disables a mechanism."""

    path: str
    old: str
    new: str


class Case(NamedTuple):
    """A promise, its test and the mechanism that the test depends on."""

    promise: int
    test: str
    mechanism: str
    changes: Sequence[Change]


CASES = (
    Case(
        1,
        'tests/test_promises.py::TestGuarantees::test_reclaim',
        'preemption of borrowers',
        (
            Change(
                'mangotrail/_preemption.py',
                'for victim in dict.fromkeys(victims):',
                'for victim in tuple[JobId, ...]():',
            ),
        ),
    ),
    Case(
        2,
        'tests/test_promises.py::TestGangs::test_member_that_fails',
        'stop of the gang when a member does not begin',
        (
            Change(
                'mangotrail/_gang.py',
                "raise GangBrokenError(f'begin refused: {refused[1]}', refused[0])",
                'return',
            ),
        ),
    ),
    Case(
        3,
        'tests/test_promises.py::TestZones::test_no_start_after_out',
        'confirmation by the leader, begin_by, replacement of dispatchers',
        (
            Change(
                'mangotrail/_gang.py',
                'if not reply.granted:',
                'if reply is None:',
            ),
            Change(
                'mangotrail/_gang.py',
                'elif age_s < self.context.confirm_s:',
                'elif age_s >= 0:',
            ),
            Change(
                'mangotrail/_gang.py',
                '+ (asked_at_s - prepared_at_s)\n'
                '                    + self.context.confirm_s',
                '+ (asked_at_s - prepared_at_s)\n                    + 1000',
            ),
            Change(
                'mangotrail/_orders.py',
                'if successor is None or successor == record.dispatcher:',
                'if successor is not None or successor == record.dispatcher:',
            ),
        ),
    ),
    Case(
        4,
        'tests/test_promises.py::TestAnswers::test_damaged_answer[short]',
        'digest of the whole answer',
        (
            Change(
                'mangotrail/endpoints.py',
                "if response.headers.get('mangotrail-sha256') != digest:",
                'if not digest:',
            ),
        ),
    ),
    Case(
        4,
        'tests/test_promises.py::TestAnswers::test_damaged_answer[crossed]',
        'job and attempt in the answer',
        (
            Change(
                'mangotrail/endpoints.py',
                "if owner != (quote(attempt.job, safe=''), "
                'str(attempt.attempt)):',
                'if not owner:',
            ),
        ),
    ),
    Case(
        5,
        'tests/test_promises.py::TestRefusals::test_frozen_control',
        'telling "not run" from "handed over"',
        (
            Change(
                'mangotrail/link.py',
                "raise UndecidedError(\n                'The control process has "
                "not replied in time.'",
                "raise UnavailableError(\n                'The control process "
                "has not replied in time.'",
            ),
        ),
    ),
    Case(
        6,
        'tests/test_promises.py::TestAtMostOnce::test_lost_leader',
        'request ids in the replicated state',
        (
            Change(
                'mangotrail/state.py',
                'known = self.job_keys.get((spec.account, spec.request))',
                'known = None',
            ),
        ),
    ),
    Case(
        7,
        'tests/test_promises.py::TestLeavingEndpoints::test_leaving',
        'departures in the replicated state',
        (
            Change('mangotrail/_fleet.py', 'if record.left:', 'if not record:'),
            Change(
                'mangotrail/_job_rules.py',
                'if endpoint_left:',
                'if endpoint_left is None:',
            ),
            Change(
                'mangotrail/_leader.py',
                'if endpoint is None or endpoint.left:',
                'if endpoint is None:',
            ),
        ),
    ),
    Case(
        8,
        'tests/test_promises.py::TestShutdown::test_gateway_with_waiting_caller',
        'waiting for callers before the end',
        (
            Change(
                'mangotrail/gateway.py',
                'await self.app.no_callers.wait()',
                'self.app.no_callers.is_set()',
            ),
        ),
    ),
    Case(
        9,
        'tests/test_promises.py::TestConfiguration::test_racing_operators',
        'compare and set on the parent version',
        (
            Change(
                'mangotrail/_bundle_rules.py',
                'if (body.parent_version, body.parent_digest) != (newest, digest):',
                'if newest is None:',
            ),
        ),
    ),
    Case(
        9,
        'tests/test_state.py::TestBundles::test_late_roll_out',
        'refusal of older versions',
        (
            Change(
                'mangotrail/_bundle_rules.py',
                'if record.version < in_force:',
                'if record.version is None:',
            ),
        ),
    ),
)


class MissingTextError(Exception):
    """The text to replace does not occur exactly once in its module."""


def copy_tree(folder: Path) -> None:
    """Extract the committed tree into a folder."""
    archive = run(
        ('git', 'archive', 'HEAD'), check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=BytesIO(archive)) as tree:
        tree.extractall(folder, filter='data')


def apply(change: Change, folder: Path) -> None:
    """Apply a replacement to a copy of the tree.

    :raises MissingTextError: unless the text occurs exactly once.
    """
    path = folder / change.path
    text = path.read_text()
    if text.count(change.old) != 1:
        raise MissingTextError(f'{change.path}: {change.old}')
    path.write_text(text.replace(change.old, change.new))


def run_test(test: str, folder: Path) -> str:
    """Run one test in a copy of the tree and return its result."""
    command = (sys.executable, '-m', 'pytest', '-q', '-x', test)
    result = run(
        command, cwd=folder, capture_output=True, timeout=TEST_TIMEOUT_S
    )
    return PASSED if result.returncode == 0 else FAILED


def prove(case: Case) -> dict[str, object]:
    """Run the test of a case without and with its mechanism."""
    with TemporaryDirectory(prefix='mangotrail-prove-') as name:
        folder = Path(name)
        copy_tree(folder)
        for change in case.changes:
            apply(change, folder)
        without = run_test(case.test, folder)
    with TemporaryDirectory(prefix='mangotrail-prove-') as name:
        copy_tree(Path(name))
        present = run_test(case.test, Path(name))
    return {
        'promise': case.promise,
        'test': case.test,
        'mechanism': case.mechanism,
        'without': without,
        'with': present,
    }


def main() -> int:
    """Check every case, or those of the promises given as arguments."""
    wanted = {int(number) for number in sys.argv[1:]}
    results = []
    for case in CASES:
        if not wanted or case.promise in wanted:
            results.append(prove(case))
            print(json.dumps(results[-1]), flush=True)
    proved = [
        result
        for result in results
        if (result['without'], result['with']) == (FAILED, PASSED)
    ]
    print(json.dumps({'cases': len(results), 'proved': len(proved)}))
    return 0 if len(proved) == len(results) else 1


if __name__ == '__main__':
    sys.exit(main())
