"""State that the parts of the scheduler share."""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from random import Random
from typing import NamedTuple

from mangotrail._bundle import Bundle, ZoneSpec
from mangotrail._endpoint_choice import EndpointTable
from mangotrail._jobs import Job, Phase
from mangotrail._messages import Outcome
from mangotrail.estimates import Estimates
from mangotrail.events import Decision, Finish, Stop, Wait
from mangotrail.fairness import AccountQueue, FairShares
from mangotrail.guarantees import (
    BoundCell,
    ExcludedCapacity,
    Guarantees,
    KeptBindings,
)
from mangotrail.health import Health
from mangotrail.ids import JobId, WorkerId
from mangotrail.placement import PlacementRequest
from mangotrail.topology import Hold, Spot, Topology, Zone, members_outside

# A job keeps away from workers on which it failed for this long; after that it
# may have nowhere else to go.
AVOID_S = 30.0


class TimerKind(Enum):
    """What happens when a timer of a job is due."""

    RETRY = 'retry'
    DEADLINE = 'deadline'
    STOP = 'stop'


class Pending(NamedTuple):
    """Where a job will start once its claim is free.

    :param before_s: expected time, minus infinity if others were preempted.
    :param guessed: whether the run time of a holder was unknown then.
    """

    zone: Zone
    spots: tuple[Spot, ...]
    before_s: float
    guessed: bool = False

    @property
    def is_reservation(self) -> bool:
        """Tell whether the holders end by themselves."""
        return self.before_s > float('-inf')


class Core:
    """Jobs, resources and timers of the scheduler.

    :param counters: events that contradicted the state, by kind.
    :param freed: number of changes that can let a waiting job start.
    """

    def __init__(self, seed: int) -> None:
        self.bundle: Bundle | None = None
        self.topology: Topology | None = None
        self.zone_specs: Sequence[ZoneSpec] = ()
        self.shares = FairShares()
        self.endpoints = EndpointTable()
        self.estimates = Estimates()
        self.health = Health()
        self.guarantees = Guarantees()
        self.claims: dict[JobId, Pending] = {}
        self.jobs: dict[JobId, Job] = {}
        self.random = Random(seed)
        self.counters: Counter[str] = Counter()
        self.now_s = 0.0
        self.out: list[Decision] = []
        self.freed = 0
        self.planned_at = -1
        # Jobs queued since the queues were last gone through.
        self.fresh: list[Job] = []
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

    def want(self, job: Job) -> PlacementRequest:
        """Return the gang of a job with its expected end."""
        longest = self.estimates.longest_s(job.kind)
        ends_s = float('inf') if longest is None else self.now_s + longest
        return PlacementRequest(
            job=job.job,
            account=job.account,
            shape=job.spec.shape,
            non_preemptible=job.pinned,
            urgent=job.spec.urgent,
            expected_end_s=ends_s,
            excluded_workers=self._avoided(job),
        )

    def _avoided(self, job: Job) -> frozenset[WorkerId]:
        if self.now_s >= job.queued_s + AVOID_S:
            return frozenset()
        return job.avoided

    def expected_end_s(self, job_id: JobId) -> float:
        """Return when a running job is expected to end."""
        job = self.jobs[job_id]
        if job.stopping or job.checkpointed:
            return self.now_s
        running_s = self.now_s - job.started_s
        return self.now_s + self.estimates.remaining_s(job.kind, running_s)

    def drop_claim(self, job: Job) -> None:
        """End the claim of a job, which then counts as queued nowhere."""
        for spot in self.claims.pop(job.job).spots:
            spot.worker.drop_claim(job.job)
        self.queue_of(job).queued -= 1
        self.freed += 1

    def last_reservation_s(self) -> float:
        """Return the latest time before which work may backfill."""
        return max(
            (one.before_s for one in self.claims.values()),
            default=float('-inf'),
        )

    def return_claim(self, job: Job) -> None:
        """End the claim of a job and put it back into its line."""
        self.drop_claim(job)
        job.phase = Phase.QUEUED
        self.queue_of(job).requeue(job)

    def unqueue(self, job: Job) -> None:
        """Take a job out of its queue, whatever it waits for."""
        if job.phase is Phase.QUEUED:
            self.queue_of(job).remove(job)
        elif job.phase is Phase.CLAIMING:
            self.drop_claim(job)

    def enqueue(self, job: Job) -> None:
        """Let a job wait for a placement."""
        job.phase = Phase.QUEUED
        job.wait_reason = ''
        job.queued_s = self.now_s
        longest_s = self.estimates.longest_s(job.kind)
        job.length = int(longest_s or 0).bit_length()
        self.queue_of(job).push(job)
        self.fresh.append(job)

    def wait(self, job: Job, reason: str) -> None:
        """Tell why a job waits if the reason changed."""
        if job.wait_reason != reason:
            job.wait_reason = reason
            self.out.append(Wait(job=job.job, reason=reason))

    def hold(self, job: Job, spots: tuple[Spot, ...]) -> None:
        """Give a job its resources."""
        job.spots = spots
        for spot in spots:
            spot.worker.hold(job.job, _hold(job, spot))
        queue = self.queue_of(job)
        queue.running += 1
        queue.held_accelerators += sum(spot.mask.bit_count() for spot in spots)
        self.charge(job)

    def charge(self, job: Job) -> None:
        """Charge a job for what it holds outside its own guarantee."""
        charged = 0
        for spot in job.spots:
            own = spot.worker.own.get(job.account, 0)
            charged += (spot.mask & ~own).bit_count()
        self.queue_of(job).charged_accelerators += charged - job.charged
        job.charged = charged

    def unhold(self, job: Job) -> None:
        """Take back what a job holds."""
        queue = self.queue_of(job)
        queue.running -= 1
        queue.charged_accelerators -= job.charged
        job.charged = 0
        for spot in job.spots:
            queue.held_accelerators -= spot.mask.bit_count()
            spot.worker.release(job.job)
        job.spots = ()

    def release(self, job: Job) -> None:
        """Take back the resources of an attempt that ended."""
        self.unhold(job)
        if job.placement is not None:
            self.endpoints.release(job.placement.endpoint)
        job.placement = None
        job.stopping = ''
        job.checkpointed = False
        job.stop_due_s = float('inf')
        job.share = 0
        job.settled_s = 0
        self.freed += 1

    def plan_guarantees(
        self, *, keep: KeptBindings = KeptBindings.ALL, backtrack: bool = True
    ) -> None:
        """Give guaranteed cells homes."""
        assert self.topology is not None and self.bundle is not None
        homes = self.guarantees.propose(
            self.topology,
            self.bundle.accounts,
            keep=keep,
            backtrack=backtrack,
        )
        self._adopt(homes)
        self.planned_at = self.freed

    def make_room(
        self, job: Job, spots: Iterable[Spot], keep: KeptBindings
    ) -> bool:
        """Move homes of other accounts away from spots.

        :returns: whether every cell that had a home still has one; otherwise
            nothing is moved.
        """
        assert self.topology is not None and self.bundle is not None
        avoid = [
            ExcludedCapacity(
                spot.worker, job.account, spot.mask, len(spot.masks)
            )
            for spot in spots
        ]
        avoid += [
            ExcludedCapacity(
                spot.worker, owner.account, spot.mask, len(spot.masks)
            )
            for owner, spot in self._claimed_spots()
            if owner.pinned
        ]
        homes = self.guarantees.propose(
            self.topology, self.bundle.accounts, keep=keep, excluded=avoid
        )
        lost = sum(not home for _, home in homes)
        if lost > len(self.guarantees.unbound):
            return False
        self._adopt(homes)
        return True

    def _claimed_spots(self) -> Iterator[tuple[Job, Spot]]:
        for job_id, pending in self.claims.items():
            for spot in pending.spots:
                yield self.jobs[job_id], spot

    def _adopt(self, homes: list[BoundCell]) -> None:
        assert self.topology is not None
        changed = self.guarantees.apply(self.topology, homes)
        concerned = {job_id for worker in changed for job_id in worker.holds}
        for job_id in sorted(concerned):
            job = self.jobs[job_id]
            for spot in job.spots:
                spot.worker.release(job.job)
                spot.worker.hold(job.job, _hold(job, spot))
            self.charge(job)
        if changed:
            self.freed += 1

    def stop(self, job: Job, reason: str) -> None:
        """Order the stop of an attempt once."""
        if not job.stopping:
            job.stopping = reason
            self.out.append(
                Stop(job=job.job, attempt=job.attempt, reason=reason)
            )

    def forget(self, job: Job) -> None:
        """Drop a job that ended."""
        del self.jobs[job.job]
        self.health.forget_job(job.job)

    def finish(self, job: Job, outcome: Outcome, reason: str) -> None:
        """End a job that holds nothing."""
        self.forget(job)
        self.out.append(
            Finish(job=job.job, outcome=outcome, ran=job.ran, reason=reason)
        )


def _hold(job: Job, spot: Spot) -> Hold:
    own = spot.worker.own.get(job.account, 0)
    members = len(spot.masks)
    outside = members_outside(spot.masks, own)
    return Hold(
        account=job.account,
        masks=spot.masks,
        mask=spot.mask,
        slots=members,
        connections=members if spot.mask else 0,
        pinned=job.pinned,
        urgent=job.spec.urgent,
        outside=outside,
        outside_connections=outside if spot.mask else 0,
    )
