"""Non-blocking log output with a rate limit.

Lines are dropped while the reader does not keep up, and lines of one kind
beyond a fixed rate. The number of dropped lines is logged.
"""

import os
from collections import Counter

import msgspec

from mangotrail.clock import Clock

# A longer write to a pipe may be split; PIPE_BUF is 4096 bytes on Linux.
MAX_LINE_BYTES = 4_000
# JSON escapes a control character as six bytes.
MAX_BYTES_PER_LETTER = 6
# Lines of one kind, roughly one log call, in a second; enough to log every job
# in a burst at the largest supported load.
LINES_PER_S = 200
RATE_PERIOD_S = 1.0


class BoundedSink:
    """Writes lines to a file descriptor without blocking.

    :param descriptor: descriptor of a pipe, terminal or file.
    :param lines_per_s: most lines of one kind in a second.
    """

    def __init__(
        self, descriptor: int, *, clock: Clock, lines_per_s: int = LINES_PER_S
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.period_start_s = clock.monotonic_s()
        self.written: Counter[str] = Counter()
        self.rate_limited: Counter[str] = Counter()
        self.blocked = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop and count it."""
        kind = kind_of(text)
        now_s = self.clock.monotonic_s()
        if now_s - self.period_start_s >= RATE_PERIOD_S:
            self._report_dropped()
            self.period_start_s = now_s
            self.written.clear()
        self.written[kind] += 1
        if self.written[kind] > self.lines_per_s:
            self.rate_limited[kind] += 1
        else:
            self._write_line(text)

    def _report_dropped(self) -> None:
        if not self.rate_limited and not self.blocked:
            return
        line = {
            'level': 'WARNING',
            'message': 'Log lines were left out',
            'too_many': dict(self.rate_limited),
            'blocked': self.blocked,
        }
        if self._write_line(f'{msgspec.json.encode(line).decode()}\n'):
            self.rate_limited.clear()
            self.blocked = 0

    def _write_line(self, text: str) -> bool:
        encoded = text.encode()
        if len(encoded) > MAX_LINE_BYTES:
            encoded = truncated_line(encoded)
        try:
            os.write(self.descriptor, encoded)
        except OSError:
            # Blocked or closed; reported before a later line.
            self.blocked += 1
            return False
        return True


def truncated_line(encoded: bytes) -> bytes:
    """Return the beginning of a long line as a JSON line of its own.

    Readers of the log parse each line, so a line that is cut off is wrapped.
    """
    kept = encoded.decode(errors='replace')
    length = MAX_LINE_BYTES
    while True:
        line = {'level': 'WARNING', 'truncated': kept[:length]}
        wrapped = b'%s\n' % msgspec.json.encode(line)
        if len(wrapped) <= MAX_LINE_BYTES:
            return wrapped
        excess = len(wrapped) - MAX_LINE_BYTES
        length -= max(1, excess // MAX_BYTES_PER_LETTER)


def kind_of(text: str) -> str:
    """Return the module and the first word of the message of a JSON line."""
    module = text.partition('"module":"')[2].partition('"')[0]
    message = text.partition('"message":"')[2]
    first = message.partition(' ')[0]
    return f'{module} {first}'
