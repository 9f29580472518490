"""A schedule that no policy can follow, to judge how far targets reach.

All accelerators in service form one pool, run times are known, and jobs are
checkpointed, moved and resumed at no cost; the shortest remaining job goes
first. Guarantees, adjacency, delays and failures of workers do not exist.
The percentiles are a reference, not a proved bound.
"""

from dataclasses import dataclass

from benchmarks.trace import (
    CancelLine,
    JobFailure,
    SubmitLine,
    Trace,
    TraceLine,
    ZoneLine,
)
from mangotrail._messages import ZoneState
from mangotrail.ids import JobId, ZoneId


@dataclass(slots=True, eq=False)
class Remaining:
    """A job that is not finished."""

    line: SubmitLine
    need: int
    left_s: float


class PooledSchedule:
    """Shortest remaining run time first on one pool of accelerators."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        zones = trace.header.bundle.zones
        self.sizes: dict[ZoneId, int] = {
            zone.zone: sum(
                rack.accelerators * len(rack.workers) for rack in zone.racks
            )
            for zone in zones
        }
        self.out: set[ZoneId] = set()
        self.active: dict[JobId, Remaining] = {}
        self.cancelled = {
            line.job for line in trace.lines if isinstance(line, CancelLine)
        }

    def completion_s(self) -> list[float]:
        """Completion time of each sound job that is not cancelled."""
        times: list[float] = []
        lines = list(self.trace.lines)
        now_s = 0.0
        position = 0
        while position < len(lines) or self.active:
            running = self.running()
            ends = [now_s + job.left_s for job in running]
            if position < len(lines):
                ends.append(lines[position].at_s)
            if not ends:
                break
            then_s = max(now_s, min(ends))
            for job in running:
                job.left_s -= then_s - now_s
                if job.left_s <= 1e-6:
                    self.active.pop(job.line.job)
                    if self.counts(job.line):
                        times.append(then_s - job.line.at_s)
            now_s = then_s
            while position < len(lines) and lines[position].at_s <= now_s:
                self.take_in(lines[position])
                position += 1
        return times

    def counts(self, line: SubmitLine) -> bool:
        """Whether the completion time of a job is measured."""
        sound = line.fails == JobFailure.NONE
        return sound and line.job not in self.cancelled

    def running(self) -> list[Remaining]:
        """Jobs that run now."""
        free = sum(
            size for zone, size in self.sizes.items() if zone not in self.out
        )
        chosen = []
        for job in sorted(self.active.values(), key=lambda it: it.left_s):
            if job.need <= free:
                chosen.append(job)
                free -= job.need
        return chosen

    def take_in(self, line: TraceLine) -> None:
        """Apply one line of the trace."""
        match line:
            case SubmitLine():
                shape = self.trace.header.classes[line.job_class].shape
                need = shape.members * shape.accelerators
                if need <= max(self.sizes.values()):
                    self.active[line.job] = Remaining(
                        line=line, need=need, left_s=line.runtime_s
                    )
            case CancelLine():
                self.active.pop(line.job, None)
            case ZoneLine():
                if line.state == ZoneState.IN:
                    self.out.discard(line.zone)
                else:
                    self.out.add(line.zone)
            case _:
                return
