"""What the parts of a gateway share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mangotrail._http_common import Authenticator, FailureReplyError
from mangotrail._messages import CallBody, Failure, InForce, ReplyBody
from mangotrail._settings import Settings
from mangotrail.answers import AnswerStore
from mangotrail.clock import Clock
from mangotrail.endpoints import HeartbeatRegistry
from mangotrail.errors import UnavailableError
from mangotrail.ids import ZoneId
from mangotrail.link import ControlClient
from mangotrail.pacing import ByteCounts, Pacer, region_of_instance

# Three hellos without a reply mean that the control process is gone or hangs.
HELLO_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 10.0
DEFAULT_MAX_PAYLOAD_BYTES = 65536
DEFAULT_MAX_ANSWER_BYTES = 16777216


@dataclass(kw_only=True)
class GatewayStatus:
    """State of the gateway process.

    :param is_connected: reads whether the control process accepts calls.
    :param in_force: newest bundle that the control process has named.
    :param hello_at_s: age of the clock at the last reply to a hello.
    :param draining: whether a graceful shutdown has begun.
    :param closing: set when waiting callers get the state they have.
    """

    clock: Clock
    is_connected: Callable[[], bool]
    in_force: InForce | None = None
    hello_at_s: float | None = None
    draining: bool = False
    closing: asyncio.Event = field(default_factory=asyncio.Event)

    def is_linked(self) -> bool:
        """Return whether the control process replies."""
        if self.hello_at_s is None or not self.is_connected():
            return False
        return self.clock.monotonic_s() - self.hello_at_s < HELLO_TIMEOUT_S

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self.is_linked() and not self.draining

    def update_in_force(self, order: InForce) -> None:
        """Take a bundle; one that is older than the known one is ignored."""
        if self.in_force is None or order.version >= self.in_force.version:
            self.in_force = order

    def max_payload_bytes(self) -> int:
        """Return the payload limit of the bundle in force."""
        if self.in_force is None:
            return DEFAULT_MAX_PAYLOAD_BYTES
        return self.in_force.bundle.limits.max_payload_bytes

    def max_answer_bytes(self) -> int:
        """Return the answer limit of the bundle in force."""
        if self.in_force is None:
            return DEFAULT_MAX_ANSWER_BYTES
        return self.in_force.bundle.limits.max_answer_bytes

    def region_of_zone(self, zone: ZoneId) -> str | None:
        """Return the region of a zone of the bundle in force."""
        if self.in_force is not None:
            for spec in self.in_force.bundle.zones:
                if spec.zone == zone:
                    return spec.region
        return None


@dataclass(frozen=True, kw_only=True)
class GatewayContext:
    """Parts that the HTTP handlers use."""

    settings: Settings
    clock: Clock
    status: GatewayStatus
    control: ControlClient
    authenticator: Authenticator
    answers: AnswerStore
    heartbeats: HeartbeatRegistry
    counts: ByteCounts
    link_pacer: Pacer

    async def call_control(
        self, body: CallBody, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> ReplyBody:
        """Send a call and return a reply that is no failure.

        :raises UnavailableError: if the call was not handed over.
        :raises UndecidedError: if no reply came in time.
        :raises FailureReplyError: if the reply is a failure.
        """
        if not self.status.is_linked():
            raise UnavailableError(
                'The control process of this instance does not reply.',
                remedy='Send the request to another instance.',
            )
        reply = await self.control.call(body, timeout_s=timeout_s)
        if isinstance(reply, Failure):
            raise FailureReplyError(reply)
        return reply

    def pacer_for(self, zone: ZoneId) -> Pacer | None:
        """Return the pacer of transfers with a zone, None in the own region."""
        own = region_of_instance(self.settings, self.settings.instance)
        if self.status.region_of_zone(zone) == own:
            return None
        return self.link_pacer
