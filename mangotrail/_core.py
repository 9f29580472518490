"""State that the parts of the scheduler share."""

import heapq
from collections import Counter
from enum import Enum
from random import Random

from mangotrail._bundle import Bundle
from mangotrail._endpoint_choice import EndpointTable
from mangotrail._jobs import Job, Phase
from mangotrail._messages import Outcome
from mangotrail.events import Decision, Finish, Stop, Wait
from mangotrail.fairness import AccountQueue, Shares
from mangotrail.ids import JobId
from mangotrail.topology import Hold, Spot, Topology


class TimerKind(Enum):
    """What happens when a timer of a job is due."""

    RETRY = 'retry'
    DEADLINE = 'deadline'
    STOP = 'stop'


class Core:
    """Jobs, resources and timers of the scheduler.

    :param counters: events that contradicted the state, by kind.
    :param freed: number of changes that can let a waiting job start.
    """

    def __init__(self, seed: int) -> None:
        self.bundle: Bundle | None = None
        self.topology: Topology | None = None
        self.shares = Shares()
        self.endpoints = EndpointTable()
        self.jobs: dict[JobId, Job] = {}
        self.random = Random(seed)
        self.counters: Counter[str] = Counter()
        self.now_s = 0.0
        self.out: list[Decision] = []
        self.freed = 0
        self.timers: list[tuple[float, int, TimerKind, JobId, int]] = []
        self.timer_count = 0

    def queue_of(self, job: Job) -> AccountQueue:
        """Return the queue of the account of a job."""
        return self.shares.accounts[job.account]

    def add_timer(
        self, due_s: float, kind: TimerKind, job: JobId, attempt: int
    ) -> None:
        """Plan what happens to a job later."""
        self.timer_count += 1
        heapq.heappush(
            self.timers, (due_s, self.timer_count, kind, job, attempt)
        )

    def due_timers(self) -> list[tuple[TimerKind, JobId, int]]:
        """Take out the timers that are due."""
        due = []
        while self.timers and self.timers[0][0] <= self.now_s:
            _, _, kind, job, attempt = heapq.heappop(self.timers)
            due.append((kind, job, attempt))
        return due

    def enqueue(self, job: Job) -> None:
        """Let a job wait for a placement."""
        job.phase = Phase.QUEUED
        job.wait_reason = ''
        self.queue_of(job).push(job)

    def wait(self, job: Job, reason: str) -> None:
        """Tell why a job waits if the reason changed."""
        if job.wait_reason != reason:
            job.wait_reason = reason
            self.out.append(Wait(job=job.job, reason=reason))

    def hold(self, job: Job, spots: tuple[Spot, ...]) -> None:
        """Give a job its resources."""
        job.spots = spots
        charged = 0
        for spot in spots:
            own = spot.worker.own.get(job.account, 0)
            outside = [mask for mask in spot.masks if not mask or mask & ~own]
            members = len(spot.masks)
            charged += (spot.mask & ~own).bit_count()
            spot.worker.hold(
                job.job,
                Hold(
                    account=job.account,
                    mask=spot.mask,
                    slots=members,
                    connections=members if spot.mask else 0,
                    pinned=job.pinned,
                    urgent=job.spec.urgent,
                    outside=len(outside),
                ),
            )
        queue = self.queue_of(job)
        job.charged = charged
        queue.running += 1
        queue.charged += charged
        queue.held += sum(spot.mask.bit_count() for spot in spots)

    def release(self, job: Job) -> None:
        """Take back the resources of a job."""
        queue = self.queue_of(job)
        queue.running -= 1
        queue.charged -= job.charged
        for spot in job.spots:
            queue.held -= spot.mask.bit_count()
            spot.worker.release(job.job)
        if job.placement is not None:
            self.endpoints.busy[job.placement.endpoint] -= 1
        job.spots = ()
        job.placement = None
        job.charged = 0
        job.stopping = ''
        job.checkpointed = False
        self.freed += 1

    def stop(self, job: Job, reason: str) -> None:
        """Order the stop of an attempt once."""
        if not job.stopping:
            job.stopping = reason
            self.out.append(
                Stop(job=job.job, attempt=job.attempt, reason=reason)
            )

    def finish(self, job: Job, outcome: Outcome, reason: str) -> None:
        """End a job that holds nothing."""
        del self.jobs[job.job]
        self.out.append(
            Finish(job=job.job, outcome=outcome, ran=job.ran, reason=reason)
        )
