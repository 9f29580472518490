"""Log lines for people or as JSON, with the context of the request."""

import logging
import sys
from contextlib import AbstractContextManager
from datetime import UTC
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

from mangotrail._settings import LogFormat, LogSettings
from mangotrail.bounded_log import BoundedSink
from mangotrail.ids import AccountId, EndpointId, InstanceId, RequestId

if TYPE_CHECKING:
    from loguru import Record

CONTEXT_FIELDS = ('request', 'account', 'endpoint')
_HUMAN_LAYOUT = (
    '{extra[utc]} {level: <7} {extra[instance]}/{extra[process]} '
    '{extra[text]}{extra[context]}\n{exception}'
)


class LoggingHandler(logging.Handler):
    """Passes records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record at the nearest level that loguru knows."""
        try:
            level: str | int = logger.level(record.levelname).name
        except ValueError:
            level = record.levelno
        logger.opt(exception=record.exc_info).log(
            level, '{}', record.getMessage()
        )


def configure_logs(
    settings: LogSettings,
    instance: InstanceId,
    process: str,
    *,
    sink: TextIO | BoundedSink | None = None,
) -> None:
    """Replace every log handler of this process by one.

    :param settings: format and lowest level.
    :param instance: written on each line.
    :param process: ``control`` or ``gateway``, written on each line.
    :param sink: where lines go, standard error if absent.
    """
    as_json = settings.format is LogFormat.JSON
    logger.remove()
    logger.configure(
        extra={'instance': instance, 'process': process},
        patcher=_add_json if as_json else _add_human,
    )
    layout = '{extra[line]}\n' if as_json else _HUMAN_LAYOUT
    # diagnose would write variables, and so tokens and payloads, into logs;
    # enqueue would need semaphores in shared memory.
    logger.add(
        sink or sys.stderr,
        level=settings.level.value,
        # A plain string would get an exception of several lines appended.
        format=lambda _record: layout,
        colorize=False,
        diagnose=False,
        backtrace=False,
        enqueue=False,
    )
    logging.basicConfig(
        handlers=[LoggingHandler()],
        level=settings.level.value,
        force=True,
    )


def log_context(
    *,
    request: RequestId | None = None,
    account: AccountId | None = None,
    endpoint: EndpointId | None = None,
) -> AbstractContextManager[None]:
    """Add fields to every line logged inside the ``with`` block.

    The fields follow the asyncio task that entered the block.
    """
    fields = {'request': request, 'account': account, 'endpoint': endpoint}
    known = {name: value for name, value in fields.items() if value is not None}
    return logger.contextualize(**known)


def _add_human(record: 'Record') -> None:
    extra = record['extra']
    extra['utc'] = _utc(record)
    # A line break in a caller's text would forge a log line.
    extra['text'] = _one_line(record['message'])
    known = [
        f' {name}={_one_line(str(extra[name]))}'
        for name in CONTEXT_FIELDS
        if name in extra
    ]
    extra['context'] = ''.join(known)


def _add_json(record: 'Record') -> None:
    extra = record['extra']
    line = {
        'time': _utc(record),
        'level': record['level'].name,
        'instance': extra['instance'],
        'process': extra['process'],
        'module': record['name'],
        'message': record['message'],
    }
    for name in CONTEXT_FIELDS:
        if name in extra:
            line[name] = extra[name]
    caught = record['exception']
    if caught is not None and caught.value is not None:
        line['exception'] = ''.join(_traceback_lines(caught.value))
    extra['line'] = msgspec.json.encode(line, enc_hook=str).decode()


def _traceback_lines(error: BaseException) -> list[str]:
    # Loaded for an exception only, because it costs resident memory.
    from traceback import format_exception

    return format_exception(error)


def _utc(record: 'Record') -> str:
    moment = record['time'].astimezone(UTC).replace(tzinfo=None)
    return f'{moment.isoformat(timespec="milliseconds")}Z'


def _one_line(text: str) -> str:
    if text.isprintable():
        return text
    return ''.join(
        letter if letter.isprintable() else repr(letter)[1:-1]
        for letter in text
    )
