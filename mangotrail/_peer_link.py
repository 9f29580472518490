"""Frames between the control processes of one deployment, over TCP."""

from collections import Counter
from collections.abc import AsyncIterator
from enum import Enum

import msgspec
import zmq
import zmq.asyncio
from loguru import logger

from mangotrail._settings import Address, PeerSettings, Settings
from mangotrail.ids import InstanceId, MemberId
from mangotrail.metrics import (
    FRAMES_DROPPED,
    FRAMES_REFUSED,
    LINK_BYTES,
    Metrics,
)
from mangotrail.settings import own_peer

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024
# Frames for a peer that is away are dropped beyond this; senders repeat them.
MAX_QUEUED_FRAMES = 1000


class FrameKind(str, Enum):  # noqa: UP042 - msgspec decodes it by value
    """Which part of the control process a frame is for."""

    AGREEMENT = 'agreement'
    CONTROL = 'control'


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message between control processes."""

    version: int
    deployment: str
    instance: InstanceId
    member: MemberId
    kind: FrameKind
    body: bytes


class PeerLink:
    """Sends frames to peers and receives theirs.

    One task owns the sockets: :meth:`receive` must run in a single task.

    :param settings: settings of this instance.
    :param member: agreement identity of this process.
    """

    def __init__(
        self, *, settings: Settings, member: MemberId, metrics: Metrics
    ) -> None:
        self.settings = settings
        self.member = member
        self.metrics = metrics
        self.refused_frames = 0
        self.sent_bytes = 0
        self.sent_by_purpose: Counter[str] = Counter()
        self.received_bytes = 0
        self.context = zmq.asyncio.Context()
        self.inbound = self.context.socket(zmq.ROUTER)
        self.inbound.setsockopt(zmq.LINGER, 0)
        self.inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        # Sending never waits, so these sockets need no event loop.
        self.outbound_context = zmq.Context()
        self.outbound: dict[InstanceId, zmq.Socket[bytes]] = {}
        self.decoder = msgspec.msgpack.Decoder(Frame)
        self.encoder = msgspec.msgpack.Encoder()

    def open(self) -> None:
        """Listen for peers and connect to them.

        :raises zmq.ZMQError: if the address is taken.
        """
        own = own_peer(self.settings)
        self.inbound.bind(tcp_url(own.control))
        for peer in self.settings.peers:
            if peer.instance != own.instance:
                self.outbound[peer.instance] = self._connect(peer)

    def send(
        self,
        instance: InstanceId,
        kind: FrameKind,
        body: bytes,
        *,
        purpose: str = '',
    ) -> None:
        """Send one frame, or drop it if the peer has been away for long.

        :param purpose: what the bytes are counted under in a dump; the kind
            by default.
        """
        socket = self.outbound.get(instance)
        if socket is None:
            return
        frame = Frame(
            PROTOCOL_VERSION,
            self.settings.deployment,
            self.settings.instance,
            self.member,
            kind,
            body,
        )
        encoded = self.encoder.encode(frame)
        self.sent_bytes += len(encoded)
        self.sent_by_purpose[purpose or kind.value] += len(encoded)
        self.metrics.count(LINK_BYTES, len(encoded), kind.value)
        try:
            socket.send(encoded, zmq.NOBLOCK)
        except zmq.Again:
            self.metrics.count(FRAMES_DROPPED)

    async def receive(self) -> AsyncIterator[Frame]:
        """Yield frames of this deployment; others are refused and counted."""
        while True:
            parts = await self.inbound.recv_multipart()
            frame = self._decode(parts[-1])
            if frame is not None:
                yield frame

    def close(self) -> None:
        """Close all sockets at once."""
        self.context.destroy(linger=0)
        self.outbound_context.destroy(linger=0)

    def _connect(self, peer: PeerSettings) -> zmq.Socket[bytes]:
        socket = self.outbound_context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_FRAMES)
        # A silent partition does not close the connection by itself.
        socket.setsockopt(zmq.HEARTBEAT_IVL, 2000)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 6000)
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        socket.connect(tcp_url(peer.control))
        return socket

    def _decode(self, encoded: bytes) -> Frame | None:
        self.received_bytes += len(encoded)
        try:
            frame = self.decoder.decode(encoded)
        except msgspec.MsgspecError as error:
            self._refuse(f'malformed frame: {error}')
            return None
        if frame.version != PROTOCOL_VERSION:
            self._refuse(f'protocol version {frame.version}')
            return None
        if frame.deployment != self.settings.deployment:
            self._refuse(f'deployment {frame.deployment}')
            return None
        return frame

    def _refuse(self, reason: str) -> None:
        self.refused_frames += 1
        self.metrics.count(FRAMES_REFUSED)
        logger.warning('Refused a frame: {}', reason)


def tcp_url(address: Address) -> str:
    """Return the pyzmq form of an address."""
    host = f'[{address.host}]' if ':' in address.host else address.host
    return f'tcp://{host}:{address.port}'
