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
from mangotrail.topology import (
    Allocation,
    Hold,
    Topology,
    Zone,
    count_uncovered,
)

# A job keeps away from workers on which it failed for this long; after that it
# may have nowhere else to go.
WORKER_EXCLUSION_S = 30.0


class TimerKind(Enum):
    """What happens when a timer of a job is due."""

    RETRY = 'retry'
    DEADLINE = 'deadline'
    STOP = 'stop'


class PendingClaim(NamedTuple):
    """Where a job will start once its claim is free.

    :param backfill_until_s: expected time, minus infinity if others were preempted.
    :param runtime_unknown: whether the run time of a holder was unknown then.
    """

    zone: Zone
    allocations: tuple[Allocation, ...]
    backfill_until_s: float
    runtime_unknown: bool = False

    @property
    def is_reservation(self) -> bool:
        """Tell whether the holders end by themselves."""
        return self.backfill_until_s > float('-inf')


class Core:
    """Jobs, resources and timers of the scheduler.

    :param counters: events that contradicted the state, by kind.
    :param capacity_version: number of changes that can let a waiting job start.
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
        self.claims: dict[JobId, PendingClaim] = {}
        self.jobs: dict[JobId, Job] = {}
        self.random = Random(seed)
        self.counters: Counter[str] = Counter()
        self.now_s = 0.0
        self.decisions: list[Decision] = []
        self.capacity_version = 0
        self.planned_version = -1
        # Jobs queued since the queues were last gone through.
        self.new_jobs: list[Job] = []
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

    def pop_due_timers(self) -> list[tuple[TimerKind, JobId, int]]:
        """Take out the timers that are due."""
        due = []
        while self.timers and self.timers[0][0] <= self.now_s:
            _, _, kind, job, attempt = heapq.heappop(self.timers)
            due.append((kind, job, attempt))
        return due

    def placement_request(self, job: Job) -> PlacementRequest:
        """Return the gang of a job with its expected end."""
        longest = self.estimates.max_runtime_s(job.kind)
        ends_s = float('inf') if longest is None else self.now_s + longest
        return PlacementRequest(
            job=job.job,
            account=job.account,
            shape=job.spec.shape,
            non_preemptible=job.non_preemptible,
            urgent=job.spec.urgent,
            expected_end_s=ends_s,
            excluded_workers=self._excluded_workers(job),
        )

    def _excluded_workers(self, job: Job) -> frozenset[WorkerId]:
        if self.now_s >= job.queued_s + WORKER_EXCLUSION_S:
            return frozenset()
        return job.excluded_workers

    def expected_end_s(self, job_id: JobId) -> float:
        """Return when a running job is expected to end."""
        job = self.jobs[job_id]
        if job.stopping or job.checkpointed:
            return self.now_s
        running_s = self.now_s - job.started_s
        return self.now_s + self.estimates.remaining_s(job.kind, running_s)

    def remove_claim(self, job: Job) -> None:
        """End the claim of a job, which then counts as queued nowhere."""
        for allocation in self.claims.pop(job.job).allocations:
            allocation.worker.remove_claim(job.job)
        self.queue_of(job).queued -= 1
        self.capacity_version += 1

    def latest_backfill_s(self) -> float:
        """Return the latest time before which work may backfill."""
        return max(
            (one.backfill_until_s for one in self.claims.values()),
            default=float('-inf'),
        )

    def requeue_claimed(self, job: Job) -> None:
        """End the claim of a job and put it back into its line."""
        self.remove_claim(job)
        job.phase = Phase.QUEUED
        self.queue_of(job).requeue(job)

    def unqueue(self, job: Job) -> None:
        """Take a job out of its queue, whatever it waits for."""
        if job.phase is Phase.QUEUED:
            self.queue_of(job).remove(job)
        elif job.phase is Phase.CLAIMING:
            self.remove_claim(job)

    def enqueue(self, job: Job) -> None:
        """Let a job wait for a placement."""
        job.phase = Phase.QUEUED
        job.wait_reason = ''
        job.queued_s = self.now_s
        longest_s = self.estimates.max_runtime_s(job.kind)
        job.runtime_class = int(longest_s or 0).bit_length()
        self.queue_of(job).push(job)
        self.new_jobs.append(job)

    def set_wait_reason(self, job: Job, reason: str) -> None:
        """Tell why a job waits if the reason changed."""
        if job.wait_reason != reason:
            job.wait_reason = reason
            self.decisions.append(Wait(job=job.job, reason=reason))

    def allocate(self, job: Job, allocations: tuple[Allocation, ...]) -> None:
        """Give a job its resources."""
        job.allocations = allocations
        for allocation in allocations:
            allocation.worker.add_hold(job.job, _make_hold(job, allocation))
        queue = self.queue_of(job)
        queue.running += 1
        queue.held_accelerators += sum(
            allocation.mask.bit_count() for allocation in allocations
        )
        self.charge(job)

    def charge(self, job: Job) -> None:
        """Charge a job for what it holds outside its own guarantee."""
        charged = 0
        for allocation in job.allocations:
            guaranteed = allocation.worker.guaranteed_by_account.get(
                job.account, 0
            )
            charged += (allocation.mask & ~guaranteed).bit_count()
        self.queue_of(job).charged_accelerators += (
            charged - job.charged_accelerators
        )
        job.charged_accelerators = charged

    def deallocate(self, job: Job) -> None:
        """Take back what a job holds."""
        queue = self.queue_of(job)
        queue.running -= 1
        queue.charged_accelerators -= job.charged_accelerators
        job.charged_accelerators = 0
        for allocation in job.allocations:
            queue.held_accelerators -= allocation.mask.bit_count()
            allocation.worker.remove_hold(job.job)
        job.allocations = ()

    def release(self, job: Job) -> None:
        """Take back the resources of an attempt that ended."""
        self.deallocate(job)
        if job.placement is not None:
            self.endpoints.release(job.placement.endpoint)
        job.placement = None
        job.stopping = ''
        job.checkpointed = False
        job.stop_due_s = float('inf')
        job.share = 0
        job.throttle_settled_s = 0
        self.capacity_version += 1

    def plan_guarantees(
        self, *, keep: KeptBindings = KeptBindings.ALL, backtrack: bool = True
    ) -> None:
        """Give guaranteed cells homes."""
        assert self.topology is not None and self.bundle is not None
        bindings = self.guarantees.propose(
            self.topology,
            self.bundle.accounts,
            keep=keep,
            backtrack=backtrack,
        )
        self._apply_bindings(bindings)
        self.planned_version = self.capacity_version

    def rebind_away(
        self, job: Job, allocations: Iterable[Allocation], keep: KeptBindings
    ) -> bool:
        """Move homes of other accounts away from spots.

        :returns: whether every cell that had a home still has one; otherwise
            nothing is moved.
        """
        assert self.topology is not None and self.bundle is not None
        excluded = [
            ExcludedCapacity(
                allocation.worker,
                job.account,
                allocation.mask,
                len(allocation.masks),
            )
            for allocation in allocations
        ]
        excluded += [
            ExcludedCapacity(
                allocation.worker,
                owner.account,
                allocation.mask,
                len(allocation.masks),
            )
            for owner, allocation in self._claimed_allocations()
            if owner.non_preemptible
        ]
        bindings = self.guarantees.propose(
            self.topology, self.bundle.accounts, keep=keep, excluded=excluded
        )
        unbound = sum(not binding for _, binding in bindings)
        if unbound > len(self.guarantees.unbound):
            return False
        self._apply_bindings(bindings)
        return True

    def _claimed_allocations(self) -> Iterator[tuple[Job, Allocation]]:
        for job_id, pending in self.claims.items():
            for allocation in pending.allocations:
                yield self.jobs[job_id], allocation

    def _apply_bindings(self, bindings: list[BoundCell]) -> None:
        assert self.topology is not None
        changed = self.guarantees.apply(self.topology, bindings)
        concerned = {job_id for worker in changed for job_id in worker.holds}
        for job_id in sorted(concerned):
            job = self.jobs[job_id]
            for allocation in job.allocations:
                allocation.worker.remove_hold(job.job)
                allocation.worker.add_hold(job.job, _make_hold(job, allocation))
            self.charge(job)
        if changed:
            self.capacity_version += 1

    def stop(self, job: Job, reason: str) -> None:
        """Order the stop of an attempt once."""
        if not job.stopping:
            job.stopping = reason
            self.decisions.append(
                Stop(job=job.job, attempt=job.attempt, reason=reason)
            )

    def remove_job(self, job: Job) -> None:
        """Drop a job that ended."""
        del self.jobs[job.job]
        self.health.forget_job(job.job)

    def finish(self, job: Job, outcome: Outcome, reason: str) -> None:
        """End a job that holds nothing."""
        self.remove_job(job)
        self.decisions.append(
            Finish(job=job.job, outcome=outcome, ran=job.ran, reason=reason)
        )


def _make_hold(job: Job, allocation: Allocation) -> Hold:
    guaranteed = allocation.worker.guaranteed_by_account.get(job.account, 0)
    members = len(allocation.masks)
    uncovered = count_uncovered(allocation.masks, guaranteed)
    return Hold(
        account=job.account,
        masks=allocation.masks,
        mask=allocation.mask,
        slots=members,
        connections=members if allocation.mask else 0,
        non_preemptible=job.non_preemptible,
        urgent=job.spec.urgent,
        uncovered_slots=uncovered,
        uncovered_connections=uncovered if allocation.mask else 0,
    )
