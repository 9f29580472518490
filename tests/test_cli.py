"""Guards against commands that mislead operators or load too much."""

import errno
import json
import shlex
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from mangotrail import commands_process, errors
from mangotrail.cli import COMMANDS, load_command, main
from mangotrail.commands import (
    ExitCode,
    command_help,
    exit_code,
    parse_command_line,
)
from tests.deployments import BUNDLE, deploy
from tests.gateways import NO_REPLY, closed_url, error, serving

OPERATOR = '--operator operator-1'
ACCOUNT = '--account school-fetes'
ACCEPTED = (200, {'kind': 'accepted', 'version': 4, 'digest': 'd'})
RUNNING = {'job': 'j', 'account': 'a', 'request': 'r', 'state': 'running'}
ENDED = {**RUNNING, 'state': 'finished', 'outcome': 'answered', 'ran': True}
LIST_PATHS = {
    'bundle list': 'bundles',
    'zone list': 'zones',
    'account list': 'accounts',
    'job list': 'jobs',
    'endpoint list': 'endpoints',
    'member list': 'members',
    'version list': 'versions',
}
SHAPE = {'members': 4, 'accelerators': 1, 'level': 'rack'}
SENT: dict[str, tuple[str, str, dict[str, Any]]] = {
    f'bundle write {BUNDLE} --parent_version 3 --parent_digest d': (
        'POST',
        '/admin/v1/bundles',
        {'parent_version': 3, 'parent_digest': 'd', 'operation': 'o'},
    ),
    'bundle sign 4 --digest d': (
        'POST',
        '/admin/v1/bundles/4/sign',
        {'digest': 'd', 'operation': 'o'},
    ),
    'bundle rollout 4 --digest d': (
        'POST',
        '/admin/v1/bundles/4/rollout',
        {'digest': 'd', 'operation': 'o'},
    ),
    'zone out z --deadline_s 60': (
        'POST',
        '/admin/v1/zones/z',
        {'state': 'out', 'deadline_s': 60, 'operation': 'o'},
    ),
    'zone drain z': (
        'POST',
        '/admin/v1/zones/z',
        {'state': 'draining', 'deadline_s': 30, 'operation': 'o'},
    ),
    'zone in z': (
        'POST',
        '/admin/v1/zones/z',
        {'state': 'in', 'deadline_s': 0, 'operation': 'o'},
    ),
    'dump --process gateway': ('GET', '/admin/v1/dump?process=gateway', {}),
    'job submit --service s --request r --members 4 --level rack': (
        'POST',
        '/v1/jobs?retry=true',
        {'account': 'school-fetes', 'request': 'r', 'shape': SHAPE},
    ),
    'job show r': ('GET', '/v1/jobs/school-fetes/r?wait_s=0', {}),
    'job cancel r': ('DELETE', '/v1/jobs/school-fetes/r', {}),
    'endpoint announce e --generation 2 --zone z --url http://127.0.0.1:9': (
        'POST',
        '/v1/endpoints',
        {'endpoint': 'e', 'generation': 2, 'service': 'cart-desk'},
    ),
    'endpoint leave e --generation 2': (
        'DELETE',
        '/v1/endpoints/e?generation=2',
        {},
    ),
}
SENT |= {
    name: ('GET', f'/admin/v1/{view}', {}) for name, view in LIST_PATHS.items()
}


def holder_of(line: str) -> str:
    """Return the flags that choose the credential and the operation."""
    if line.startswith(('bundle show', 'dump')) or line in LIST_PATHS:
        return OPERATOR
    if line.startswith(('bundle', 'zone')):
        return f'{OPERATOR} --operation o'
    return ACCOUNT if line.startswith('job') else ''


def run_line(line: str, folder: Path, *servers: str) -> int:
    """Run a command line against servers."""
    credentials = deploy(folder).credentials
    servers_flag = f'--server {",".join(servers)}'
    flags = f'{servers_flag} --credentials {credentials} {holder_of(line)}'
    return main(shlex.split(f'{line} {flags}'))


class TestHelp:
    """Help texts."""

    @pytest.mark.parametrize('name', COMMANDS)
    def test_examples(self, name: str) -> None:
        """An example that does not parse would mislead its reader."""
        command = load_command(name)
        assert command.name == name
        assert command.examples
        for example in command.examples:
            assert example in command_help(command)
            words = shlex.split(example)[len(name.split()) :]
            parse_command_line(command, words)

    @pytest.mark.parametrize(
        'line', ['', 'bundle', 'zone up', 'zone out', 'zone out z --nope']
    )
    def test_wrong_usage(
        self, line: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A misspelt command must do nothing and say what to type."""
        assert main(line.split()) == ExitCode.USAGE
        assert '--help' in capsys.readouterr().err


class TestRequests:
    """What each command sends."""

    @pytest.mark.parametrize('line', SENT)
    def test_sends(self, tmp_path: Path, line: str) -> None:
        """A wrong path, method or body would change something else."""
        method, path, body = SENT[line]
        view = LIST_PATHS.get(line, 'dump')
        with serving((200, {**RUNNING, view: [{'a': 1}]})) as gateway:
            assert run_line(line, tmp_path, gateway.url) == ExitCode.DONE
        (sent,) = gateway.requests
        assert sent[:2] == (method, path)
        assert body.items() <= (sent[2] or {}).items()
        assert 'kind' not in (sent[2] or {})

    def test_prints_operation(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Without its id a lost command cannot be sent again safely."""
        credentials = deploy(tmp_path).credentials
        with serving(NO_REPLY) as gateway:
            flags = f'--server {gateway.url} --credentials {credentials}'
            code = main(f'zone in z {flags} {OPERATOR}'.split())
        operation = gateway.requests[0][2]['operation']
        assert code == ExitCode.UNDECIDED
        assert f'operation: {operation}' in capsys.readouterr().err

    @pytest.mark.parametrize(
        'line',
        [
            'bundle sign 0 --digest d',
            'bundle sign 1',
            'bundle sign 1 --digest d --file f',
            f'bundle write {BUNDLE} --parent_version 3',
            f'bundle write {BUNDLE} --parent_version 0 --parent_digest d',
            'job submit --service s --members 65',
            f'job submit --service s --request {"r" * 129}',
            'endpoint leave e --generation 0',
        ],
    )
    def test_refuses_before_sending(self, tmp_path: Path, line: str) -> None:
        """Wrong flags must not reach the service."""
        with serving(ACCEPTED) as gateway:
            assert run_line(line, tmp_path, gateway.url) == ExitCode.USAGE
        assert not gateway.requests


class TestExitCodes:
    """Exit codes tell a script what to do next."""

    @pytest.mark.parametrize(
        ('line', 'reply', 'code'),
        [
            ('job wait r', (200, ENDED), ExitCode.DONE),
            (
                'job wait r',
                (200, {**ENDED, 'outcome': 'failed'}),
                ExitCode.NO_ANSWER,
            ),
            ('job wait r --wait_s 0', (200, RUNNING), ExitCode.IN_PROGRESS),
            ('bundle show 4', (200, {'bundles': []}), ExitCode.REFUSED),
            ('zone in z', (403, error('forbidden')), ExitCode.REFUSED),
            ('zone in z', (500, error('storage_error')), ExitCode.INTERNAL),
        ],
    )
    def test_codes(
        self, tmp_path: Path, line: str, reply: Any, code: ExitCode
    ) -> None:
        """A wrong code would make a script repeat or skip work."""
        with serving(reply) as gateway:
            assert run_line(line, tmp_path, gateway.url) == code

    def test_not_run(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """A script may send again only after this code."""
        code = run_line('zone in z --json', tmp_path, closed_url())
        assert code == ExitCode.NOT_RUN
        last = capsys.readouterr().err.splitlines()[-1]
        assert json.loads(last)['error']['not_run'] is True

    def test_invalid_files(self, tmp_path: Path) -> None:
        """Invalid input must be told apart from a refusal."""
        path = tmp_path / 'empty.json'
        path.write_text('{}')
        line = f'bundle write {path} --parent_version 0'
        assert run_line(line, tmp_path, closed_url()) == ExitCode.INVALID
        assert exit_code(errors.InvalidBundleError('x')) == ExitCode.INVALID

    @pytest.mark.parametrize('foreign', [False, True])
    def test_failed_tasks(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        foreign: bool,
    ) -> None:
        """A failed process must name every failure, and show a fault whole."""
        inner = ExceptionGroup('tasks', [errors.StorageError('disk full')])
        other = ValueError('x') if foreign else errors.NotLeaderError('lost')

        def fail(running: Any) -> None:
            running.close()
            raise ExceptionGroup('process', [inner, other])

        monkeypatch.setattr(commands_process, 'run_coroutine', fail)
        settings = deploy(tmp_path).settings['soweto-yard-1']
        words = ['gateway', '--settings', str(settings)]
        if foreign:
            with pytest.raises(ExceptionGroup):
                main(words)
            return
        assert main(words) == ExitCode.INTERNAL
        printed = capsys.readouterr().err
        assert 'disk full (storage_error)' in printed
        assert 'lost (not_leader)' in printed

    def test_port_in_use(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A second start must be told apart from a fault of the program."""

        def fail(running: Any) -> None:
            running.close()
            raise OSError(errno.EADDRINUSE, 'Address already in use')

        monkeypatch.setattr(commands_process, 'run_coroutine', fail)
        settings = deploy(tmp_path).settings['soweto-yard-1']
        words = ['gateway', '--settings', str(settings)]
        assert main(words) == ExitCode.INVALID


CONTROL_PATH = """
import sys
from mangotrail import cli, commands_process
commands_process.run_coroutine = lambda running: running.close()
code = cli.main(['control', '--settings', sys.argv[1]])
loaded = [name for name, module in sys.modules.items() if module]
print(code, *loaded)
"""


class TestControlPath:
    """Modules of the control process."""

    def test_loads_only_needed(self, tmp_path: Path) -> None:
        """HTTP and OpenSSL would take the control process over 32 MB."""
        settings = deploy(tmp_path).settings['soweto-yard-1']
        words = [sys.executable, '-c', CONTROL_PATH, str(settings)]
        done = subprocess.run(  # noqa: S603
            words, capture_output=True, text=True, check=True
        )
        code, *modules = done.stdout.split()
        assert code == '0'
        assert 'mangotrail.control' in modules
        assert not {
            'blacksheep',
            'uvicorn',
            'http.client',
            'ssl',
            '_hashlib',
            'mangotrail.client',
            'mangotrail.gateway',
            'mangotrail.commands_remote',
        }.intersection(modules)
