"""What the attempts of one gateway share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mangotrail._reports import Backoff
from mangotrail.answers import AnswerStore
from mangotrail.clock import Clock
from mangotrail.endpoints import EndpointClient
from mangotrail.ids import ZoneId
from mangotrail.link import ControlClient
from mangotrail.metrics import Metrics, NullMetrics
from mangotrail.pacing import Pacer
from mangotrail.platform import PlatformClient
from mangotrail.renewal import LeaseRenewer


@dataclass(kw_only=True)
class AttemptContext:
    """Clients, bounds and state that every attempt uses.

    :param confirm_s: age in seconds at which a confirmation is void.
    :param lease_s: life of a lease in seconds.
    :param endpoint_timeout_s: seconds without any reply of an endpoint after
        which its attempt is given up.
    :param max_answer_bytes: reads the limit of the bundle in force.
    :param pacer_for: reads the pacer of transfers with a zone, None within
        the region.
    :param started_at_s: age of the clock at the start of the process.
    :param draining: whether the gateway is shutting down.
    """

    clock: Clock
    control: ControlClient
    platform: PlatformClient
    endpoints: EndpointClient
    answers: AnswerStore
    lease_renewer: LeaseRenewer
    confirm_s: float
    lease_s: float
    endpoint_timeout_s: float
    max_answer_bytes: Callable[[], int]
    pacer_for: Callable[[ZoneId], Pacer | None]
    started_at_s: float
    metrics: Metrics = field(default_factory=NullMetrics)
    backoff: Backoff = field(default_factory=Backoff)
    draining: bool = False
