"""State of a run as tracked by the session with its worker."""

from enum import Enum
from math import inf

from mangotrail._graphs import EndKind, RunEnd, RunStart
from mangotrail.graphs.quarantine import WARM_UP_S
from mangotrail.graphs.worker_connection import ListedEnd


class RunPhase(Enum):
    """Phase of a tracked run.

    ``ADOPTED``: ordered by an earlier leader and not listed so far.
    ``ORDERED``: the start order is queued or sent, without an answer so far.
    ``PRESENT``: the worker has confirmed or listed the run.
    ``UNSURE``: the start order may or may not have reached the worker.
    ``STOPPING``: a stop is requested. ``STOPPED``: the stop is answered.
    """

    ADOPTED = 'adopted'
    ORDERED = 'ordered'
    PRESENT = 'present'
    UNSURE = 'unsure'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


class TrackedRun:
    """A run on the worker of a session.

    :param start: the committed start of the run.
    """

    def __init__(self, start: RunStart, phase: RunPhase, now_s: float) -> None:
        self.start = start
        self.phase = phase
        self.since_s = now_s
        self.stop_answered_s = 0.0
        self.checkpoint = ''
        self.idle_since_s: float | None = None
        self.idle_s: float | None = None
        self.started_ms = 0
        # Whether the worker has listed the run to this session.
        self.is_listed = False
        # Time until which the start order may still take effect, possibly on a
        # successor of the life. It lies in the past once the order is answered
        # or the run is listed.
        self.order_expiry_s = inf

    def record_usage(self, usage: int | None, now_s: float) -> None:
        """Update for how long the run has been listed as using no processor."""
        warm = self.phase is RunPhase.PRESENT and (
            now_s - self.since_s >= WARM_UP_S
        )
        if usage is None or usage > 0 or not warm:
            self.idle_since_s = None
            self.idle_s = None
            return
        if self.idle_since_s is None:
            self.idle_since_s = now_s
        self.idle_s = now_s - self.idle_since_s

    def reported_end(self, listed: ListedEnd) -> RunEnd:
        """Return the end of the run as listed by the worker."""
        return RunEnd(
            task=self.start.task,
            run=self.start.run,
            end=listed.end,
            checkpoint=listed.checkpoint or self.checkpoint,
        )

    def inferred_end(self, end: EndKind) -> RunEnd:
        """Return an end of the run that the worker has not listed.

        A run that was present did start, so ``NEVER_STARTED`` becomes ``LOST``.
        """
        if end is EndKind.NEVER_STARTED and self.phase is RunPhase.PRESENT:
            end = EndKind.LOST
        return RunEnd(
            task=self.start.task,
            run=self.start.run,
            end=end,
            checkpoint=self.checkpoint,
        )
