"""Ends of the leases of silent workers, which outlast their leader.

A new leader can't know when its predecessor last extended a lease, so it would
have to wait for a whole one again before the runs of a lost worker may start
elsewhere, after each change of the leader. Instead, a leader commits that it
grants no lease to a silent worker from then on, and for how long those granted
before may go on. Each member counts that time from when it applies the command,
less the age that the command certainly has by then; that is never too early.
"""

from collections.abc import Mapping
from math import inf

from mangotrail._graphs import (
    GraphCommandBody,
    RemoveWorker,
    ResumeLease,
    SuspendLease,
)
from mangotrail.clock import Clock
from mangotrail.graphs.records import WorkerState
from mangotrail.ids import LifeId


class SuspendedLeases:
    """Ends of suspended leases, on the clock of this member."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ends_s: dict[LifeId, float] = {}

    def observe(self, body: GraphCommandBody, age_s: float = 0.0) -> None:
        """Handle an applied command.

        :param age_s: least time since it was proposed, in seconds.
        """
        if isinstance(body, SuspendLease):
            # A later leader may know less about the same silence.
            end_s = self.clock.monotonic_s() + body.left_ms / 1000 - age_s
            self.ends_s[body.life] = min(end_s, self.ends_s.get(body.life, inf))
        elif isinstance(body, (ResumeLease, RemoveWorker)):
            self.ends_s.pop(body.life, None)

    def restore(self, workers: Mapping[LifeId, WorkerState]) -> None:
        """Take over the leases in a snapshot, as if suspended now."""
        now_s = self.clock.monotonic_s()
        self.ends_s = {
            life: now_s + worker.lease_left_ms / 1000
            for life, worker in workers.items()
            if worker.lease_left_ms is not None
        }

    def are_over(self, life: LifeId) -> bool:
        """Whether the leases of a life are suspended and have expired."""
        return self.ends_s.get(life, inf) < self.clock.monotonic_s()
