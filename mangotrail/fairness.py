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


class Line:
    """Jobs with one queue key; the oldest is the head.

    Jobs that return to the queue are older than fresh ones, hence two parts,
    each in order of arrival. Removal takes constant time.
    """

    def __init__(self) -> None:
        self.again: dict[JobId, Job] = {}
        self.fresh: dict[JobId, Job] = {}

    def __len__(self) -> int:
        return len(self.again) + len(self.fresh)

    def head(self) -> Job:
        """Return the oldest job."""
        again = next(iter(self.again.values()), None)
        fresh = next(iter(self.fresh.values()), None)
        if again is None or fresh is None:
            head = fresh or again
            assert head is not None
            return head
        return again if again.submitted_s <= fresh.submitted_s else fresh

    def remove(self, job: JobId) -> None:
        """Take a job out."""
        if self.again.pop(job, None) is None:
            self.fresh.pop(job, None)


class AccountQueue:
    """The queue and the usage of one account."""

    def __init__(self, spec: AccountSpec) -> None:
        self.spec = spec
        self.lines: dict[QueueKey, Line] = {}
        self.queued = 0
        self.running = 0
        self.requests = 0
        self.retries = 0
        # Accelerators in use, and those of them outside the own guarantee.
        self.held = 0.0
        self.charged = 0.0

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
        line = self.lines.setdefault(job.key, Line())
        part = line.again if job.attempt else line.fresh
        part[job.job] = job
        self.queued += 1

    def push_back(self, job: Job) -> None:
        """Queue a job again ahead of younger ones."""
        self.lines.setdefault(job.key, Line()).again[job.job] = job
        self.queued += 1

    def set_aside(self, job: Job) -> None:
        """Take a job out of its line; it still counts as queued."""
        self.remove(job)
        self.queued += 1

    def remove(self, job: Job) -> None:
        """Take a queued job out of the queue."""
        line = self.lines[job.key]
        line.remove(job.job)
        self.queued -= 1
        if not line:
            del self.lines[job.key]

    def may_retry(self) -> bool:
        """Tell whether the retry budget allows one more attempt."""
        return self.retries < max(MIN_RETRIES, self.requests * RETRY_SHARE)


_Entry: TypeAlias = tuple[tuple[int, float], int, AccountQueue, QueueKey]


def ageing_s(length: int) -> float:
    """Return the waiting time that weighs as much as one fair share.

    :param length: binary order of the learned run time, 0 if unknown.
    """
    if not length:
        return AGEING_S
    return max(SHORTEST_AGEING_S, min(LONGEST_AGEING_S, 2.0**length))


class Shares:
    """Order in which the accounts are served."""

    def __init__(self) -> None:
        self.accounts: dict[AccountId, AccountQueue] = {}
        # Accelerators that no account is guaranteed.
        self.unguaranteed = 1.0
        self.total_weight = 1.0

    def apply(self, specs: list[AccountSpec], accelerators: int) -> None:
        """Take over the accounts of a bundle; usage and queues stay."""
        for spec in specs:
            queue = self.accounts.get(spec.account)
            if queue is None:
                self.accounts[spec.account] = AccountQueue(spec)
            else:
                queue.spec = spec
        self._retire(set(self.accounts) - {spec.account for spec in specs})
        guaranteed = sum(
            shape.accelerators * shape.count
            for spec in specs
            for shape in spec.guarantees
        )
        self.unguaranteed = max(1.0, accelerators - guaranteed)
        self.total_weight = max(1.0, sum(spec.weight for spec in specs))

    def _retire(self, accounts: set[AccountId]) -> None:
        """Let the jobs of removed accounts go on without guarantees."""
        for account in accounts:
            queue = self.accounts[account]
            queue.spec = replace(queue.spec, guarantees=())

    def ensure(self, account: AccountId) -> None:
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
        rank = queue.charged / share - waited_s / ageing_s(job.length)
        if job.spec.urgent:
            return 0, rank
        if need and queue.held + need <= queue.guaranteed:
            return 1, rank
        return 2, rank

    def in_order(self, now_s: float) -> Iterator[Job]:
        """Return the heads of all lines, best first.

        A line whose head was placed while iterating is returned again.
        """
        heap: list[_Entry] = []
        for queue in self.accounts.values():
            for key, line in queue.lines.items():
                rank = self.priority(queue, line.head(), now_s)
                heap.append((rank, len(heap), queue, key))
        heapq.heapify(heap)
        while heap:
            rank, number, queue, key = heapq.heappop(heap)
            if key not in queue.lines:
                continue
            head = queue.lines[key].head()
            current = self.priority(queue, head, now_s)
            if current > rank:
                heapq.heappush(heap, (current, number, queue, key))
                continue
            yield head
            if key in queue.lines and queue.lines[key].head() is not head:
                rank = self.priority(queue, queue.lines[key].head(), now_s)
                heapq.heappush(heap, (rank, number, queue, key))
