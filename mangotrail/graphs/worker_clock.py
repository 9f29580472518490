"""Bounds of a worker's monotonic clock and of the leases granted on it.

The clock of a worker is monotonic and may run up to two percent slow. The
leader learns a reading that was taken at an unknown moment between the sending
of a call and the arrival of its answer.
"""

from math import inf

# Largest share of true time that the clock of a worker may lose.
MAX_CLOCK_DRIFT = 0.02
# An earlier leader may have received a reading late by up to its longest
# round-trip timeout, and so have granted a lease that ends that much later.
PREVIOUS_LEASE_MARGIN_MS = 1_500


class WorkerClock:
    """Bounds of a worker's clock and of the leases that it was granted.

    :param lease_ms: longest lease that any leader grants.
    :param term_start_s: reading of the local clock when this leader took over;
        no earlier leader grants a lease after that.
    """

    def __init__(self, *, lease_ms: int, term_start_s: float) -> None:
        self.lease_ms = lease_ms
        self.term_start_s = term_start_s
        self.clock_ms = 0
        self.sent_s = -inf
        self.received_s = -inf
        self.lease_end_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the clock of the worker has been read."""
        return self.received_s > -inf

    def record_reading(
        self, clock_ms: int, sent_s: float, received_s: float
    ) -> None:
        """Record a reading of the worker's clock."""
        if not self.is_known:
            earliest = self.lease_ms + PREVIOUS_LEASE_MARGIN_MS
            self.lease_end_ms = max(self.lease_end_ms, clock_ms + earliest)
        if received_s >= self.received_s:
            self.clock_ms = clock_ms
            self.sent_s = sent_s
            self.received_s = received_s

    def max_reading_ms(self, now_s: float) -> int:
        """Return the upper bound of the reading of the clock now."""
        return self.clock_ms + round((now_s - self.sent_s) * 1000)

    def min_reading_ms(self, now_s: float) -> float:
        """Return the lower bound of the reading of the clock now."""
        passed_ms = (now_s - self.received_s) * 1000
        return self.clock_ms + passed_ms * (1 - MAX_CLOCK_DRIFT)

    def grant_lease(self, now_s: float, span_ms: int) -> int:
        """Grant a lease from now and return its end on the worker's clock."""
        until_ms = self.max_reading_ms(now_s) + span_ms
        self.lease_end_ms = max(self.lease_end_ms, until_ms)
        return until_ms

    def leases_left_s(self, now_s: float) -> float:
        """Return the longest time for which a granted lease may go on.

        :return: seconds; negative once every lease has certainly expired.
        """
        if self.is_known:
            left_ms = self.lease_end_ms - self.min_reading_ms(now_s)
            return left_ms / (1 - MAX_CLOCK_DRIFT) / 1000
        bound_ms = (self.lease_ms + PREVIOUS_LEASE_MARGIN_MS) / (
            1 - MAX_CLOCK_DRIFT
        )
        return bound_ms / 1000 - (now_s - self.term_start_s)

    def leases_expired(self, now_s: float) -> bool:
        """Whether every lease granted to the worker has certainly expired."""
        return self.leases_left_s(now_s) < 0
