"""Log lines that never hold up the process that writes them.

A reader that stops reading costs lines, not service, and a flood of lines of
one kind is cut to a bounded rate. What was left out is counted and told.
"""

import os
from collections import Counter

import msgspec

from mangotrail.clock import Clock

# A pipe takes lines up to this length whole or not at all.
MAX_LINE_BYTES = 4_000
# Lines of one kind, which is one place in the code, in a second: enough to
# follow every job of the design size in a burst.
LINES_PER_S = 200
RATE_PERIOD_S = 1.0


class BoundedSink:
    """Writes lines to a file descriptor without ever waiting for it.

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
        """Write a line, or leave it out and count it."""
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
            encoded = encoded[:MAX_LINE_BYTES]
            encoded = b'%s\n' % encoded[:-1]
        try:
            os.write(self.descriptor, encoded)
        except OSError:
            # Blocked or closed: the next line that can be written tells it.
            self.blocked += 1
            return False
        return True


def kind_of(text: str) -> str:
    """Return the module and the first word of the message of a JSON line."""
    module = text.partition('"module":"')[2].partition('"')[0]
    message = text.partition('"message":"')[2]
    first = message.partition(' ')[0]
    return f'{module} {first}'
