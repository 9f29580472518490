"""Limits, queues, fair shares and ageing of accounts."""

import heapq
from collections.abc import Iterator
from typing import TypeAlias

from msgspec.structs import replace

from mangotrail._bundle import AccountSpec
from mangotrail._jobs import Job, QueueKey
from mangotrail.ids import AccountId, JobId

# Waiting this long weighs as much as using one fair share less, for a job whose
# run time is unknown. Jobs with learned run times age in about their run time,
# so short ones do not wait behind long ones and long ones do not starve.
AGEING_S = 600.0
SHORTEST_AGEING_S = 30.0
LONGEST_AGEING_S = 7200.0
# An account may retry this share of its requests, but at least this many.
RETRY_SHARE = 0.1
MIN_RETRIES = 10


class JobQueue:
    """Jobs with one queue key; the oldest is the head.

    Jobs that return to the queue are older than fresh ones, hence two parts,
    each in order of arrival. Removal takes constant time.
    """

    def __init__(self) -> None:
        self.requeued: dict[JobId, Job] = {}
        self.first_time: dict[JobId, Job] = {}

    def __len__(self) -> int:
        return len(self.requeued) + len(self.first_time)

    def head(self) -> Job:
        """Return the oldest job."""
        requeued = next(iter(self.requeued.values()), None)
        first_time = next(iter(self.first_time.values()), None)
        if requeued is None or first_time is None:
            head = first_time or requeued
            assert head is not None
            return head
        return (
            requeued
            if requeued.submitted_s <= first_time.submitted_s
            else first_time
        )

    def remove(self, job: JobId) -> None:
        """Take a job out."""
        if self.requeued.pop(job, None) is None:
            self.first_time.pop(job, None)


class AccountQueue:
    """The queue and the usage of one account."""

    def __init__(self, spec: AccountSpec) -> None:
        self.spec = spec
        self.job_queues: dict[QueueKey, JobQueue] = {}
        self.queued = 0
        self.running = 0
        self.requests = 0
        self.retries = 0
        # Accelerators in use, and those of them outside the own guarantee.
        self.held_accelerators = 0.0
        self.charged_accelerators = 0.0

    @property
    def spec(self) -> AccountSpec:
        """Return the account as the bundle in force describes it."""
        return self._spec

    @spec.setter
    def spec(self, spec: AccountSpec) -> None:
        self._spec = spec
        # Accelerators of all guaranteed cells.
        self.guaranteed = sum(
            shape.accelerators * shape.count for shape in spec.guarantees
        )

    def push(self, job: Job) -> None:
        """Queue a job."""
        job_queue = self.job_queues.setdefault(job.queue_key, JobQueue())
        part = job_queue.requeued if job.attempt else job_queue.first_time
        part[job.job] = job
        self.queued += 1

    def requeue(self, job: Job) -> None:
        """Queue a job again ahead of younger ones."""
        self.job_queues.setdefault(job.queue_key, JobQueue()).requeued[
            job.job
        ] = job
        self.queued += 1

    def suspend(self, job: Job) -> None:
        """Take a job out of its line; it still counts as queued."""
        self.remove(job)
        self.queued += 1

    def remove(self, job: Job) -> None:
        """Take a queued job out of the queue."""
        job_queue = self.job_queues[job.queue_key]
        job_queue.remove(job.job)
        self.queued -= 1
        if not job_queue:
            del self.job_queues[job.queue_key]

    def may_retry(self) -> bool:
        """Tell whether the retry budget allows one more attempt."""
        return self.retries < max(MIN_RETRIES, self.requests * RETRY_SHARE)


_Entry: TypeAlias = tuple[tuple[int, float], int, AccountQueue, QueueKey]


def ageing_s(runtime_class: int) -> float:
    """Return the waiting time that weighs as much as one fair share.

    :param runtime_class: binary order of the learned run time, 0 if unknown.
    """
    if not runtime_class:
        return AGEING_S
    return max(SHORTEST_AGEING_S, min(LONGEST_AGEING_S, 2.0**runtime_class))


class FairShares:
    """Order in which the accounts are served."""

    def __init__(self) -> None:
        self.accounts: dict[AccountId, AccountQueue] = {}
        # Accelerators that no account is guaranteed.
        self.unguaranteed = 1.0
        self.total_weight = 1.0

    def update_accounts(
        self, specs: list[AccountSpec], accelerators: int
    ) -> None:
        """Take over the accounts of a bundle; usage and queues stay."""
        for spec in specs:
            queue = self.accounts.get(spec.account)
            if queue is None:
                self.accounts[spec.account] = AccountQueue(spec)
            else:
                queue.spec = spec
        self._drop_guarantees(
            set(self.accounts) - {spec.account for spec in specs}
        )
        guaranteed = sum(
            shape.accelerators * shape.count
            for spec in specs
            for shape in spec.guarantees
        )
        self.unguaranteed = max(1.0, accelerators - guaranteed)
        self.total_weight = max(1.0, sum(spec.weight for spec in specs))

    def _drop_guarantees(self, accounts: set[AccountId]) -> None:
        """Let the jobs of removed accounts go on without guarantees."""
        for account in accounts:
            queue = self.accounts[account]
            queue.spec = replace(queue.spec, guarantees=())

    def ensure_account(self, account: AccountId) -> None:
        """Add an account that has jobs but is in no bundle any more."""
        if account not in self.accounts:
            spec = AccountSpec(account=account)
            self.accounts[account] = AccountQueue(spec)

    def priority(
        self, queue: AccountQueue, job: Job, now_s: float
    ) -> tuple[int, float]:
        """Return the rank of a job; the lowest is served first."""
        shape = job.spec.shape
        need = shape.members * shape.accelerators
        share = self.unguaranteed * queue.spec.weight / self.total_weight
        waited_s = now_s - job.submitted_s
        rank = queue.charged_accelerators / share - waited_s / ageing_s(
            job.runtime_class
        )
        if job.spec.urgent:
            return 0, rank
        if need and queue.held_accelerators + need <= queue.guaranteed:
            return 1, rank
        return 2, rank

    def iter_by_priority(self, now_s: float) -> Iterator[Job]:
        """Return the heads of all lines, best first.

        A line whose head was placed while iterating is returned again.
        """
        heap: list[_Entry] = []
        for queue in self.accounts.values():
            for key, job_queue in queue.job_queues.items():
                rank = self.priority(queue, job_queue.head(), now_s)
                heap.append((rank, len(heap), queue, key))
        heapq.heapify(heap)
        while heap:
            rank, number, queue, key = heapq.heappop(heap)
            if key not in queue.job_queues:
                continue
            head = queue.job_queues[key].head()
            current = self.priority(queue, head, now_s)
            if current > rank:
                heapq.heappush(heap, (current, number, queue, key))
                continue
            yield head
            if (
                key in queue.job_queues
                and queue.job_queues[key].head() is not head
            ):
                rank = self.priority(queue, queue.job_queues[key].head(), now_s)
                heapq.heappush(heap, (rank, number, queue, key))
