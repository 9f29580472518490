"""What the scheduler knows about one job."""

from enum import Enum
from typing import NamedTuple

from mangotrail._messages import JobShape, JobSpec, Placement
from mangotrail.estimates import JobKind
from mangotrail.ids import AccountId, JobId, ServiceId, WorkerId
from mangotrail.topology import Allocation


class Phase(Enum):
    """Progress of a job inside the scheduler."""

    QUEUED = 'queued'
    CLAIMING = 'claiming'
    DELAYED = 'delayed'
    PLACED = 'placed'
    RUNNING = 'running'


class QueueKey(NamedTuple):
    """Jobs of one account with equal keys can be placed alike.

    :param runtime_class: binary order of the learned run time in seconds, 0 if
        nothing was learned.
    """

    urgent: bool
    shape: JobShape
    non_preemptible: bool
    service: ServiceId
    runtime_class: int


class Job:
    """An accepted job.

    :param submitted_s: time of acceptance.
    """

    __slots__ = (
        'job',
        'spec',
        'submitted_s',
        'phase',
        'attempt',
        'failures',
        'ran',
        'cancelled',
        'deadline_passed',
        'stopping',
        'checkpointed',
        'stop_due_s',
        'stop_reason',
        'placement',
        'allocations',
        'started_s',
        'charged_accelerators',
        'wait_reason',
        'share',
        'throttle_settled_s',
        'excluded_workers',
        'queued_s',
        'runtime_class',
        'rebind_tries',
    )

    def __init__(
        self, *, job: JobId, spec: JobSpec, submitted_s: float
    ) -> None:
        self.job = job
        self.spec = spec
        self.submitted_s = submitted_s
        self.phase = Phase.QUEUED
        self.attempt = 0
        self.failures = 0
        # Whether any part of an earlier attempt may have run.
        self.ran = False
        self.cancelled = False
        self.deadline_passed = False
        # Reason of the stop that was ordered, empty if none was.
        self.stopping = ''
        self.checkpointed = False
        self.stop_due_s = float('inf')
        self.stop_reason = ''
        self.placement: Placement | None = None
        self.allocations: tuple[Allocation, ...] = ()
        self.started_s = 0.0
        # Accelerators held outside the account's own guarantee.
        self.charged_accelerators = 0.0
        self.wait_reason = ''
        # Share of the last throttle, 0 without one, and the running time
        # from which measured usage shows its effect.
        self.share = 0.0
        self.throttle_settled_s = 0.0
        # Workers on which an attempt failed.
        self.excluded_workers: frozenset[WorkerId] = frozenset()
        self.queued_s = submitted_s
        self.runtime_class = 0
        # Choices tried so far to move homes of cells away.
        self.rebind_tries = 0

    @property
    def account(self) -> AccountId:
        """Return the account that submitted the job."""
        return self.spec.account

    @property
    def non_preemptible(self) -> bool:
        """Tell whether the job must not be preempted once it began."""
        return not (self.spec.preemptible and self.spec.idempotent)

    @property
    def active(self) -> bool:
        """Tell whether an attempt holds resources."""
        return self.phase in {Phase.PLACED, Phase.RUNNING}

    @property
    def began(self) -> bool:
        """Tell whether the current attempt is known to have begun."""
        return self.phase is Phase.RUNNING

    @property
    def kind(self) -> JobKind:
        """Return the kind whose run times and sizes are learned."""
        return JobKind(self.spec.account, self.spec.job_kind)

    @property
    def queue_key(self) -> QueueKey:
        """Return what decides where the job can be placed."""
        return QueueKey(
            urgent=self.spec.urgent,
            shape=self.spec.shape,
            non_preemptible=self.non_preemptible,
            service=self.spec.service,
            runtime_class=self.runtime_class,
        )
