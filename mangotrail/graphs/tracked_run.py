"""A run on a worker, as far as one session knows."""

from enum import Enum
from math import inf

from mangotrail._graphs import EndKind, RunEnd, RunStart
from mangotrail.graphs.quarantine import WARM_UP_S
from mangotrail.graphs.worker_connection import ListedEnd


class RunPhase(Enum):
    """How far the order of a run is."""

    ADOPTED = 'adopted'
    ORDERED = 'ordered'
    PRESENT = 'present'
    UNSURE = 'unsure'
    STOPPING = 'stopping'
    STOPPED = 'stopped'


class TrackedRun:
    """A run on this worker, as far as this leader knows.

    :param start: the run as it was numbered.
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
        # Whether this session saw the run on the worker.
        self.is_listed = False
        # Until when the order may still be carried out, maybe by a later
        # life of the worker; in the past once it has been.
        self.order_expiry_s = inf

    def record_usage(self, usage: int | None, now_s: float) -> None:
        """Note for how long listings have shown the run using no processor."""
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
        """Return the end that a worker lists."""
        return RunEnd(
            task=self.start.task,
            run=self.start.run,
            end=listed.end,
            checkpoint=listed.checkpoint or self.checkpoint,
        )

    def inferred_end(self, end: EndKind) -> RunEnd:
        """Return an end that no worker lists.

        A run that was present has started, so that it was lost.
        """
        if end is EndKind.NEVER_STARTED and self.phase is RunPhase.PRESENT:
            end = EndKind.LOST
        return RunEnd(
            task=self.start.task,
            run=self.start.run,
            end=end,
            checkpoint=self.checkpoint,
        )
