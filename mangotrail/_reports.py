"""Reports that are repeated until the control process acknowledges them."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from loguru import logger

from mangotrail._messages import AttemptReport, Failure
from mangotrail.errors import MangotrailError
from mangotrail.link import ControlClient

REPORT_TIMEOUT_S = 5.0
# The leader knows of no such attempt, so repeating the report changes nothing.
FINAL_ERROR_CODES = frozenset(('unknown_object', 'invalid_input'))


@dataclass(frozen=True, kw_only=True)
class Backoff:
    """Pauses between repeated calls, doubling up to a bound.

    :param first_s: first pause in seconds.
    :param max_s: longest pause in seconds.
    """

    first_s: float = 0.25
    max_s: float = 4.0

    def __iter__(self) -> Iterator[float]:
        """Return the endless sequence of pauses."""
        pause_s = self.first_s
        while True:
            yield pause_s
            pause_s = min(2 * pause_s, self.max_s)


DEFAULT_BACKOFF = Backoff()


async def send_report(
    control: ControlClient,
    report: AttemptReport,
    *,
    backoff: Backoff = DEFAULT_BACKOFF,
) -> None:
    """Send a report until it is acknowledged."""
    for pause_s in backoff:
        try:
            reply = await control.call(report, timeout_s=REPORT_TIMEOUT_S)
        except MangotrailError as error:
            logger.debug('report of {} repeated: {}', report.job, error)
        else:
            if (
                not isinstance(reply, Failure)
                or reply.code in FINAL_ERROR_CODES
            ):
                return
        await asyncio.sleep(pause_s)
