"""What is known of a worker's own clock, and of the leases on it.

The clock of a worker is steady, may be slow by two percent, and is read
somewhere between the sending of a call and the arrival of its answer.
"""

from math import inf

# A worker's clock may lose this share of true time.
CLOCK_SLOWNESS = 0.02
# An earlier leader may have seen an answer later than it was given, by the
# longest round trip it waited for, and so granted a lease that much longer.
EARLIER_GRANT_MS = 1_500


class WorkerClock:
    """Bounds of a worker's clock and of the leases that it was granted.

    :param lease_ms: longest lease that any leader grants.
    :param begun_s: own clock when this leader took over; no earlier leader
        grants a lease after it.
    """

    def __init__(self, *, lease_ms: int, begun_s: float) -> None:
        self.lease_ms = lease_ms
        self.begun_s = begun_s
        self.clock_ms = 0
        self.sent_s = -inf
        self.received_s = -inf
        self.granted_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the worker has told its clock."""
        return self.received_s > -inf

    def note(self, clock_ms: int, sent_s: float, received_s: float) -> None:
        """Take in a reading of the worker's clock."""
        if not self.is_known:
            earliest = self.lease_ms + EARLIER_GRANT_MS
            self.granted_ms = max(self.granted_ms, clock_ms + earliest)
        if received_s >= self.received_s:
            self.clock_ms = clock_ms
            self.sent_s = sent_s
            self.received_s = received_s

    def latest_ms(self, now_s: float) -> int:
        """Return the highest reading that the clock can show now."""
        return self.clock_ms + round((now_s - self.sent_s) * 1000)

    def earliest_ms(self, now_s: float) -> float:
        """Return the lowest reading that the clock can show now."""
        passed_ms = (now_s - self.received_s) * 1000
        return self.clock_ms + passed_ms * (1 - CLOCK_SLOWNESS)

    def grant(self, now_s: float, span_ms: int) -> int:
        """Return the end of a lease that begins now, and remember it."""
        until_ms = self.latest_ms(now_s) + span_ms
        self.granted_ms = max(self.granted_ms, until_ms)
        return until_ms

    def is_over(self, now_s: float) -> bool:
        """Whether every lease granted on the worker has surely ended."""
        if self.is_known:
            return self.earliest_ms(now_s) > self.granted_ms
        bound_ms = (self.lease_ms + EARLIER_GRANT_MS) / (1 - CLOCK_SLOWNESS)
        return now_s - self.begun_s > bound_ms / 1000
