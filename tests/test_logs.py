"""Guards against log lines that mislead or reveal secrets."""

import io
import json
import logging

import pytest
from loguru import logger

from mangotrail._settings import LogFormat, LogLevel, LogSettings
from mangotrail.ids import AccountId, InstanceId, RequestId
from mangotrail.logs import configure_logs, log_context


def capture_logs(log_format: LogFormat) -> io.StringIO:
    """Send all logs of this test to a buffer."""
    sink = io.StringIO()
    settings = LogSettings(format=log_format, level=LogLevel.INFO)
    configure_logs(settings, InstanceId('one'), 'control', sink=sink)
    return sink


def fail_with_token() -> None:
    """Raise an error while a local variable holds a secret."""
    token = '-'.join(('secret', 'token'))
    raise RuntimeError('letters', len(token))


class TestLogs:
    """Lines of both formats."""

    def test_json_fields(self) -> None:
        """Without its context, a line cannot be traced to a request."""
        sink = capture_logs(LogFormat.JSON)
        with log_context(request=RequestId('r{}"'), account=AccountId('a')):
            logger.info('granted {}', 3)
        logger.info('done')
        logger.debug('hidden')
        inside, outside = map(json.loads, sink.getvalue().splitlines())
        assert inside['message'] == 'granted 3'
        assert inside['request'] == 'r{}"'
        assert inside['instance'] == 'one'
        assert 'request' not in outside

    def test_human_line(self) -> None:
        """A caller's line break must not forge a second line."""
        sink = capture_logs(LogFormat.HUMAN)
        with log_context(request=RequestId('r\n2026 ERROR forged')):
            logger.warning('refused {}', '{x}\nforged')
        (line,) = sink.getvalue().splitlines()
        assert r'one/control refused {x}\nforged request=r\n2026' in line

    @pytest.mark.parametrize('log_format', list(LogFormat))
    def test_hides_variables(self, log_format: LogFormat) -> None:
        """Tokens in local variables must not appear in tracebacks."""
        sink = capture_logs(log_format)
        try:
            fail_with_token()
        except RuntimeError:
            logger.exception('failed')
        assert "'letters', 12" in sink.getvalue()
        assert 'secret-token' not in sink.getvalue()

    def test_standard_logging(self) -> None:
        """Errors that asyncio logs must not be lost."""
        sink = capture_logs(LogFormat.JSON)
        logging.getLogger('asyncio').error('task %s failed {}', 7)
        assert json.loads(sink.getvalue())['message'] == 'task 7 failed {}'
