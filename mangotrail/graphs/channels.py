"""Calls and agreement messages between instances over ZeroMQ.

Each instance receives on one ROUTER socket, and sends on one DEALER socket per
target instance.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

import msgspec
import zmq
import zmq.asyncio
from loguru import logger

from mangotrail._graphs import Call, CallBody, CallReply, PeerEnvelope
from mangotrail.clock import Clock
from mangotrail.ids import InstanceId

CALL_PREFIX = b'C'
PEER_PREFIX = b'P'
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Queue limit for an unreachable instance. Further frames are dropped, which is
# safe because the agreement and the callers retry.
MAX_QUEUED_FRAMES = 200
# ZeroMQ heartbeats detect a partition, which closes no TCP connection. The
# periods tolerate several lost packets on the 8 ms link between regions.
HEARTBEAT_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
CONNECT_TIMEOUT_MS = 800
RECONNECT_MS = 50
RECONNECT_MAX_MS = 400
# A connection is reopened if a call times out after at least this long and
# nothing has been received since it was sent.
SILENCE_TIMEOUT_S = 0.9

OnCall = Callable[[Call], Awaitable[CallReply]]
OnPeerMessage = Callable[[InstanceId, bytes], None]


def configure(socket: zmq.asyncio.Socket) -> None:
    """Set the limits and time-outs shared by all sockets."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_FRAMES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    # Frames are queued in the channel, not in ZeroMQ for a connection that may
    # never be established.
    socket.setsockopt(zmq.IMMEDIATE, 1)


class Channel:
    """Connection for frames to one instance and for the replies to its calls.

    :param target: address of the instance.
    """

    def __init__(
        self, *, context: zmq.asyncio.Context, target: InstanceId, clock: Clock
    ) -> None:
        self.context = context
        self.target = target
        self.clock = clock
        self.outbox: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_FRAMES)
        self.pending_calls: dict[int, asyncio.Future[CallReply]] = {}
        self.reopen = asyncio.Event()
        self.last_received_s = 0.0
        self.dropped_frames = 0

    def enqueue(self, frame: bytes) -> bool:
        """Queue a frame; False if it is dropped because the queue is full."""
        if self.outbox.full():
            self.dropped_frames += 1
            return False
        self.outbox.put_nowait(frame)
        return True

    async def call(
        self, number: int, frame: bytes, timeout_s: float
    ) -> CallReply | None:
        """Send a call and return its reply, None if none came in time."""
        future: asyncio.Future[CallReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_calls[number] = future
        started_s = self.clock.monotonic_s()
        try:
            if not self.enqueue(frame):
                return None
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            if (
                self.last_received_s < started_s
                and timeout_s >= SILENCE_TIMEOUT_S
            ):
                self.reopen.set()
            return None
        finally:
            self.pending_calls.pop(number, None)

    async def run(self) -> None:
        """Send and receive until cancelled; reopen a silent connection."""
        while True:
            socket = self.context.socket(zmq.DEALER)
            configure(socket)
            socket.connect(f'tcp://{self.target}')
            self.reopen.clear()
            tasks = [
                asyncio.create_task(self._send(socket)),
                asyncio.create_task(self._receive(socket)),
                asyncio.create_task(self.reopen.wait()),
            ]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
                socket.close()
            self._log_reopened(results)
            while not self.outbox.empty():
                self.outbox.get_nowait()

    def _log_reopened(self, results: Iterable[object]) -> None:
        """Log why the connection is reopened: silence, or a fault."""
        for result in results:
            if isinstance(result, Exception):
                logger.error(
                    'Reopened the connection to {} after {!r}',
                    self.target,
                    result,
                )
                return
        logger.info('Reopened the silent connection to {}', self.target)

    async def _send(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            await socket.send(await self.outbox.get())

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        decoder = msgspec.msgpack.Decoder(CallReply)
        while True:
            encoded = await socket.recv()
            self.last_received_s = self.clock.monotonic_s()
            try:
                reply = decoder.decode(encoded)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                logger.warning(
                    'Malformed reply from {}: {!r}', self.target, error
                )
                continue
            future = self.pending_calls.get(reply.number)
            if future is not None and not future.done():
                future.set_result(reply)


class Channels:
    """Channels to all instances that this one calls.

    :param own: address of this instance.
    """

    def __init__(self, *, own: InstanceId, clock: Clock) -> None:
        self.own = own
        self.clock = clock
        self.context = zmq.asyncio.Context()
        self.channels: dict[InstanceId, tuple[Channel, asyncio.Task[None]]] = {}
        self.number = 0
        self.encoder = msgspec.msgpack.Encoder()

    def channel_to(self, target: InstanceId) -> Channel:
        """Return the channel to an instance."""
        known = self.channels.get(target)
        if known is None:
            channel = Channel(
                context=self.context, target=target, clock=self.clock
            )
            task = asyncio.create_task(channel.run())
            self.channels[target] = (channel, task)
            return channel
        return known[0]

    def send_peer(self, target: InstanceId, message: bytes) -> None:
        """Send an agreement message; it is dropped if the queue is full."""
        envelope = PeerEnvelope(sender=self.own, message=message)
        self.channel_to(target).enqueue(
            PEER_PREFIX + self.encoder.encode(envelope)
        )

    async def call(
        self,
        target: InstanceId,
        body: CallBody,
        timeout_s: float,
        *,
        forwarded: bool = False,
    ) -> CallReply | None:
        """Call an instance; None if no reply came in time."""
        self.number += 1
        call = Call(number=self.number, forwarded=forwarded, body=body)
        frame = CALL_PREFIX + self.encoder.encode(call)
        return await self.channel_to(target).call(call.number, frame, timeout_s)

    async def close(self) -> None:
        """Close all sockets without waiting for unsent frames."""
        tasks = [task for _, task in self.channels.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.context.destroy(linger=0)


class CallServer:
    """Server for calls and agreement messages of other instances.

    :param address: host and port to listen on.
    :param on_call: answers a call.
    :param on_peer_message: handles an agreement message of an instance.
    """

    def __init__(
        self,
        *,
        address: InstanceId,
        context: zmq.asyncio.Context,
        on_call: OnCall,
        on_peer_message: OnPeerMessage,
    ) -> None:
        self.address = address
        self.context = context
        self.on_call = on_call
        self.on_peer_message = on_peer_message
        self.replies: asyncio.Queue[tuple[bytes, bytes]] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()
        self.call_decoder = msgspec.msgpack.Decoder(Call)
        self.peer_decoder = msgspec.msgpack.Decoder(PeerEnvelope)

    async def run(self) -> None:
        """Serve until cancelled."""
        socket = self.context.socket(zmq.ROUTER)
        configure(socket)
        socket.bind(f'tcp://{self.address}')
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(socket))
                group.create_task(self._reply(socket))
        finally:
            socket.close()

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            parts = await socket.recv_multipart()
            if len(parts) == 2 and parts[1]:
                self._accept(parts[0], parts[1][:1], parts[1][1:])

    async def _reply(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            identity, encoded = await self.replies.get()
            with suppress(zmq.Again):
                await socket.send_multipart([identity, encoded], zmq.NOBLOCK)

    def _accept(self, identity: bytes, mark: bytes, encoded: bytes) -> None:
        try:
            if mark == PEER_PREFIX:
                envelope = self.peer_decoder.decode(encoded)
                self.on_peer_message(envelope.sender, envelope.message)
            elif mark == CALL_PREFIX:
                call = self.call_decoder.decode(encoded)
                task = asyncio.create_task(self._answer(identity, call))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except Exception as error:  # One frame must not end the process.
            logger.warning('Discarded a malformed frame: {!r}', error)

    async def _answer(self, identity: bytes, call: Call) -> None:
        try:
            reply = await self.on_call(call)
        except Exception:  # The caller asks again after its time-out.
            logger.exception('Call {} failed', type(call.body).__name__)
            return
        encoded = msgspec.msgpack.encode(
            msgspec.structs.replace(reply, number=call.number)
        )
        self.replies.put_nowait((identity, encoded))
