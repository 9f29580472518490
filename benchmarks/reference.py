"""Idealised schedule, a reference for what the targets leave to gain.

No policy can follow it: all accelerators in service form one pool, run times
are known, and jobs are checkpointed, moved and resumed at no cost, the one
with the shortest remaining run time first. Guarantees, adjacency, delays and
failures of workers are not modelled. The percentiles are a reference, not a
proven bound.
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
class ActiveJob:
    """A job that has not finished."""

    line: SubmitLine
    need: int
    remaining_s: float


class PooledSchedule:
    """Shortest remaining run time first on one pool of accelerators."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        zones = trace.header.bundle.zones
        self.zone_accelerators: dict[ZoneId, int] = {
            zone.zone: sum(
                rack.accelerators * len(rack.workers) for rack in zone.racks
            )
            for zone in zones
        }
        self.zones_out: set[ZoneId] = set()
        self.active: dict[JobId, ActiveJob] = {}
        self.cancelled = {
            line.job for line in trace.lines if isinstance(line, CancelLine)
        }

    def completion_s(self) -> list[float]:
        """Return the completion time of each counted job."""
        completions_s: list[float] = []
        lines = list(self.trace.lines)
        now_s = 0.0
        position = 0
        while position < len(lines) or self.active:
            running = self.running_jobs()
            event_times_s = [now_s + job.remaining_s for job in running]
            if position < len(lines):
                event_times_s.append(lines[position].at_s)
            if not event_times_s:
                break
            next_s = max(now_s, min(event_times_s))
            for job in running:
                job.remaining_s -= next_s - now_s
                if job.remaining_s <= 1e-6:
                    self.active.pop(job.line.job)
                    if self.is_counted(job.line):
                        completions_s.append(next_s - job.line.at_s)
            now_s = next_s
            while position < len(lines) and lines[position].at_s <= now_s:
                self.apply_line(lines[position])
                position += 1
        return completions_s

    def is_counted(self, line: SubmitLine) -> bool:
        """Return whether a job counts: it neither fails nor is cancelled."""
        sound = line.fails == JobFailure.NONE
        return sound and line.job not in self.cancelled

    def running_jobs(self) -> list[ActiveJob]:
        """Return the jobs that run now, shortest remaining run time first."""
        free = sum(
            size
            for zone, size in self.zone_accelerators.items()
            if zone not in self.zones_out
        )
        chosen = []
        for job in sorted(self.active.values(), key=lambda it: it.remaining_s):
            if job.need <= free:
                chosen.append(job)
                free -= job.need
        return chosen

    def apply_line(self, line: TraceLine) -> None:
        """Apply one line of the trace."""
        match line:
            case SubmitLine():
                shape = self.trace.header.classes[line.job_class].shape
                need = shape.members * shape.accelerators
                if need <= max(self.zone_accelerators.values()):
                    self.active[line.job] = ActiveJob(
                        line=line, need=need, remaining_s=line.runtime_s
                    )
            case CancelLine():
                self.active.pop(line.job, None)
            case ZoneLine():
                if line.state == ZoneState.IN:
                    self.zones_out.discard(line.zone)
                else:
                    self.zones_out.add(line.zone)
            case _:
                return
