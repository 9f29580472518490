"""ZeroMQ link from a gateway to the control process of its instance."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress

import msgspec
import zmq
import zmq.asyncio
from loguru import logger
from zmq.utils.monitor import recv_monitor_message

from mangotrail._messages import (
    Call,
    CallBody,
    GatewayMessage,
    Reply,
    ReplyBody,
)
from mangotrail._settings import Address
from mangotrail.errors import UnavailableError, UndecidedError

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_PENDING_CALLS = 4096
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500

OrderHandler = Callable[[GatewayMessage], None]


class ControlClient(ABC):
    """Interface for calls to the control process."""

    @abstractmethod
    async def call(self, body: CallBody, *, timeout_s: float) -> ReplyBody:
        """Send a call and return the body of its reply.

        :raises UnavailableError: if the call was not sent.
        :raises UndecidedError: if it was sent and got no reply in time.
        """


class ControlLink(ControlClient):
    """DEALER socket for numbered calls, their replies, and orders.

    Only the link itself uses its socket; other tasks go through `call`.

    :param address: address at which the control process listens.
    :param on_order: called with every message other than a reply.
    """

    def __init__(self, *, address: Address, on_order: OrderHandler) -> None:
        self.address = address
        self.on_order = on_order
        self.connected = False
        self._next_number = 1
        self._pending: dict[int, asyncio.Future[ReplyBody]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(GatewayMessage)
        self._socket: zmq.asyncio.Socket | None = None

    def is_connected(self) -> bool:
        """Return whether the control process accepts calls."""
        return self.connected

    async def run(self) -> None:
        """Connect and receive until cancelled."""
        context = zmq.asyncio.Context()
        dealer = context.socket(zmq.DEALER)
        # Without a completed connection a send fails immediately instead of
        # queueing, so the call is known not to have been sent.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        dealer.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        dealer.setsockopt(zmq.IPV6, int(':' in self.address.host))
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        monitor = dealer.get_monitor_socket(events)
        host = self.address.host
        host = f'[{host}]' if ':' in host else host
        dealer.connect(f'tcp://{host}:{self.address.port}')
        self._socket = dealer
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(dealer))
                group.create_task(self._monitor_connection(monitor))
        finally:
            self._socket = None
            dealer.disable_monitor()
            dealer.close()
            context.destroy(linger=0)

    async def call(self, body: CallBody, *, timeout_s: float) -> ReplyBody:
        """Send a call and return the body of its reply."""
        number = self._next_number
        self._next_number += 1
        frame = self._encoder.encode(Call(number=number, body=body))
        if len(self._pending) >= MAX_PENDING_CALLS:
            raise UnavailableError(
                'Too many calls wait for the control process.',
                remedy='Send the request again later.',
            )
        reply: asyncio.Future[ReplyBody] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = reply
        try:
            await self._send(frame)
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            raise UndecidedError(
                'The control process has not replied in time.',
                remedy='Send the request again with the same id.',
            ) from error
        finally:
            self._pending.pop(number, None)

    async def _send(self, frame: bytes) -> None:
        try:
            if self._socket is None:
                raise zmq.Again
            # ZeroMQ's send processes new connections at most once per
            # millisecond and would fail on a link that has just come up.
            # Reading EVENTS always processes them.
            self._socket.getsockopt(zmq.EVENTS)
            await self._socket.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            raise UnavailableError(
                'The control process of this instance cannot be reached.',
                remedy='Send the request to another instance.',
            ) from error

    async def _receive(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            frame = await dealer.recv()
            try:
                message = self._decoder.decode(frame)
            except msgspec.DecodeError as error:
                logger.error(
                    'could not decode a message of the control process: {}',
                    error,
                )
                continue
            if isinstance(message, Reply):
                self._resolve_call(message)
            else:
                self.on_order(message)

    def _resolve_call(self, message: Reply) -> None:
        waiting = self._pending.get(message.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(message.body)

    async def _monitor_connection(self, monitor: zmq.asyncio.Socket) -> None:
        with suppress(zmq.ContextTerminated):
            while True:
                event = await recv_monitor_message(monitor)
                # A TCP connection is not enough: nothing can be sent before
                # the ZMTP handshake has completed.
                self.connected = event['event'] == zmq.EVENT_HANDSHAKE_SUCCEEDED
                if not self.connected:
                    self._fail_pending()

    def _fail_pending(self) -> None:
        # After a disconnect no reply to an earlier call can arrive.
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_exception(
                    UndecidedError(
                        'The control process went away before its reply.',
                        remedy='Send the request again with the same id.',
                    )
                )
