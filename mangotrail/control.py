"""Control process: agreement, replicated state and the leader's decisions."""

import asyncio
import signal
import time
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import msgspec
import zmq
import zmq.asyncio
from loguru import logger

from mangotrail._control_views import dump_of, view_document
from mangotrail._fleet import Fleet
from mangotrail._leader import Leader
from mangotrail._messages import (
    Accepted,
    Call,
    CallBody,
    Command,
    ConfirmCall,
    ControlMessage,
    DocumentReply,
    ExpireRecords,
    Failure,
    ForwardedCall,
    ForwardedReply,
    GatewayHello,
    GatewayMessage,
    GatewayOrder,
    InForce,
    JobRecord,
    JobReply,
    JobState,
    QueryCall,
    Reply,
    ReplyBody,
    UsageCall,
    View,
    WaitCall,
)
from mangotrail._peer_link import Frame, FrameKind, PeerLink, tcp_url
from mangotrail._replica import Replica
from mangotrail._replica_setup import open_replica
from mangotrail._settings import Credentials, Settings
from mangotrail._usage_delta import UsageDelta
from mangotrail.clock import Clock, SystemClock
from mangotrail.errors import (
    MangotrailError,
    NotLeaderError,
    UnavailableError,
    UndecidedError,
)
from mangotrail.ids import InstanceId, JobId
from mangotrail.metrics import FRAMES_REFUSED, Metrics, open_metrics
from mangotrail.scheduler import Scheduler

LEADER_TICK_S = 0.25
FORWARD_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 8.0
# A later confirmation is useless to the gateway, so retries end early.
CONFIRM_TIMEOUT_S = 2.0
LEADER_POLL_S = 0.05
TRANSFER_CHECKS = 60
RETRIED_CODES = frozenset((NotLeaderError.code, UndecidedError.code))


class Control:
    """One control process.

    :param settings: checked settings of this instance.
    :param replica: agreement, journal and replicated state of this member.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        replica: Replica,
        link: PeerLink,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.link = link
        self.clock = clock
        self.metrics = metrics
        self.leader: Leader | None = None
        self.stopping = asyncio.Event()
        # Replies to an earlier process of this instance must not match a call.
        self.call_number = time.time_ns()
        self.pending: dict[int, asyncio.Future[ReplyBody]] = {}
        self.job_waiters: dict[JobId, set[asyncio.Event]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.context = zmq.asyncio.Context()
        self.gateway_socket = self.context.socket(zmq.ROUTER)
        self.gateway_socket.setsockopt(zmq.LINGER, 0)
        self.gateway_identity: bytes | None = None
        self.gateway_version = 0
        self.usage = UsageDelta()
        self.message_decoder = msgspec.msgpack.Decoder(ControlMessage)
        self.call_decoder = msgspec.msgpack.Decoder(Call)

    async def run(self) -> None:
        """Serve until :attr:`stopping` is set.

        :raises ExceptionGroup: with a ``MangotrailError`` of each task that
            failed.
        """
        self.gateway_socket.bind(tcp_url(self.settings.gateway_link))
        self.link.open()
        self.replica.on_applied = self._applied
        try:
            async with asyncio.TaskGroup() as group:
                serving = [
                    group.create_task(self.replica.run()),
                    group.create_task(self._serve_peers()),
                    group.create_task(self._serve_gateway()),
                    group.create_task(self._manage_leadership()),
                ]
                await self.stopping.wait()
                await self._transfer_leadership()
                for task in serving:
                    task.cancel()
        finally:
            self.link.close()
            self.context.destroy(linger=0)
            self.replica.close()

    def dump(self) -> bytes:
        """Return the state of this process as a JSON document."""
        return dump_of(self.replica, self.leader, self.link)

    async def answer(self, body: CallBody) -> ReplyBody:
        """Answer a call of the gateway of this instance."""
        try:
            return await self._answer(body)
        except MangotrailError as error:
            return error.to_failure()

    async def _answer(self, body: CallBody) -> ReplyBody:
        if isinstance(body, QueryCall) and body.view is View.DUMP:
            return DocumentReply(body=self.dump())
        if isinstance(body, WaitCall):
            return await self._wait(body)
        if isinstance(body, UsageCall):
            return await self._forward_usage(body)
        if isinstance(body, GatewayHello):
            self._update_gateway(body.bundle_version)
        return await self._ask_leader(body)

    async def _forward_usage(self, body: UsageCall) -> ReplyBody:
        term = self.replica.term()
        now_s = self.clock.monotonic_s()
        changed = self.usage.select(body.usage, term=term, now_s=now_s)
        if not changed:
            return Accepted()
        reply = await self._ask_leader(
            msgspec.structs.replace(body, usage=changed)
        )
        if not isinstance(reply, Failure):
            self.usage.mark_reported(changed, now_s)
        return reply

    async def _wait(self, body: WaitCall) -> ReplyBody:
        """Wait for the end of a job in the local copy of the state."""
        key = (body.account, body.request)
        job = self.replica.state.job_keys.get(key)
        if job is None:
            # The local copy may be behind that of the leader.
            return await self._ask_leader(body)
        changed = asyncio.Event()
        waiters = self.job_waiters.setdefault(job, set())
        waiters.add(changed)
        try:
            if not self._is_finished(job):
                with suppress(TimeoutError):
                    async with asyncio.timeout(body.wait_s):
                        await changed.wait()
        finally:
            waiters.discard(changed)
            if not waiters:
                self.job_waiters.pop(job, None)
        if self.leader is None and not self._is_finished(job):
            # Only the leader knows why a job waits.
            last = msgspec.structs.replace(body, wait_s=0)
            return await self._ask_leader(last)
        return self._job_reply(body)

    def _is_finished(self, job: JobId) -> bool:
        record = self.replica.state.jobs.get(job)
        return record is None or record.state is JobState.FINISHED

    def _job_reply(self, body: WaitCall) -> ReplyBody:
        record = self.replica.state.find_job(body.account, body.request)
        view = self.replica.view(record)
        if self.leader is not None:
            reason = self.leader.wait_reason(record)
            view = msgspec.structs.replace(view, reason=reason)
        return JobReply(view=view)

    async def _ask_leader(self, body: CallBody) -> ReplyBody:
        """Send a call to the leader and retry it if the leader changes.

        Every call can be repeated safely: requests, operations and attempts
        carry ids, and the other calls only read or refresh state.
        """
        confirm = isinstance(body, ConfirmCall)
        timeout_s = CONFIRM_TIMEOUT_S if confirm else CALL_TIMEOUT_S
        deadline_s = self.clock.monotonic_s() + timeout_s
        was_sent = False
        while self.clock.monotonic_s() < deadline_s:
            reply = None
            if self.leader is not None:
                was_sent = True
                reply = await self._call_leader(self.settings.instance, body)
            elif self.replica.leader_instance() in self.link.outbound:
                was_sent = True
                reply = await self._forward(body)
            if reply is not None and not _is_retried(reply):
                return reply
            await asyncio.sleep(LEADER_POLL_S)
        if was_sent:
            raise UndecidedError(
                'the leader did not reply in time',
                remedy='ask again with the same id',
            )
        raise UnavailableError(
            'no leader is known; nothing was handed over',
            remedy='try another instance, or again in a few seconds',
        )

    async def _forward(self, body: CallBody) -> ReplyBody | None:
        leader = self.replica.leader_instance()
        if leader is None:
            return None
        self.call_number += 1
        number = self.call_number
        future: asyncio.Future[ReplyBody] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[number] = future
        call = ForwardedCall(
            number=number, instance=self.settings.instance, body=body
        )
        self._send_control(leader, call, purpose=type(body).__name__)
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self.pending.pop(number, None)

    async def _call_leader(
        self, instance: InstanceId, body: CallBody
    ) -> ReplyBody:
        leader = self.leader
        try:
            if leader is None:
                raise NotLeaderError('this member does not lead')
            if isinstance(body, WaitCall):
                return self._job_reply(body)
            if isinstance(body, QueryCall):
                document = view_document(body.view, self.replica, leader)
                return DocumentReply(body=document)
            return await leader.call(instance, body)
        except MangotrailError as error:
            return error.to_failure()

    async def _serve_peers(self) -> None:
        async for frame in self.link.receive():
            if frame.kind is FrameKind.AGREEMENT:
                self.replica.receive(frame.instance, frame.body)
            else:
                self._receive_control(frame)

    def _receive_control(self, frame: Frame) -> None:
        try:
            message = self.message_decoder.decode(frame.body)
        except msgspec.MsgspecError as error:
            logger.warning('Refused a malformed control message: {}', error)
            self.metrics.count(FRAMES_REFUSED)
            return
        if isinstance(message, ForwardedCall):
            self._spawn(self._reply_to(frame.instance, message))
        elif isinstance(message, ForwardedReply):
            future = self.pending.get(message.number)
            if future is not None and not future.done():
                future.set_result(message.body)
        else:
            self._push_encoded(message.order)

    async def _reply_to(
        self, instance: InstanceId, call: ForwardedCall
    ) -> None:
        body = await self._call_leader(instance, call.body)
        self._send_control(
            instance,
            ForwardedReply(number=call.number, body=body),
            purpose=type(body).__name__,
        )

    async def _serve_gateway(self) -> None:
        while True:
            identity, *_, encoded = await self.gateway_socket.recv_multipart()
            self.gateway_identity = identity
            try:
                call = self.call_decoder.decode(encoded)
            except msgspec.MsgspecError as error:
                logger.warning(
                    'Refused a malformed call of the gateway: {}', error
                )
                continue
            self._spawn(self._reply_to_gateway(identity, call))

    async def _reply_to_gateway(self, identity: bytes, call: Call) -> None:
        body = await self.answer(call.body)
        reply = Reply(number=call.number, body=body)
        await self.gateway_socket.send_multipart((
            identity,
            msgspec.msgpack.encode(reply),
        ))

    async def _manage_leadership(self) -> None:
        """Create and close the `Leader` as elections require."""
        while True:
            leads = self.replica.is_leader()
            if leads and self.leader is None:
                await self._start_leading()
            elif not leads and self.leader is not None:
                logger.info('This member no longer leads')
                self.leader.close()
                self.leader = None
            if self.leader is not None:
                self.leader.tick()
            await asyncio.sleep(LEADER_TICK_S)

    async def _start_leading(self) -> None:
        try:
            # Once this entry is applied, so are all entries of earlier leaders.
            await self.replica.propose(ExpireRecords())
        except MangotrailError as error:
            logger.info('Could not commit the first entry as leader: {}', error)
            return
        fleet = Fleet(
            peers=self.settings.peers,
            endpoint_ttl_s=self.settings.timing.endpoint_ttl_ms / 1000,
            started_s=self.clock.monotonic_s(),
            epoch=self.replica.term(),
        )
        self.leader = Leader(
            replica=self.replica,
            policy=Scheduler(),
            fleet=fleet,
            send_order=self._send_order,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.leader.restore()
        logger.info('This member leads in term {}', self.replica.term())

    def _applied(
        self, command: Command, result: ReplyBody, before: JobRecord | None
    ) -> None:
        if isinstance(result, JobReply):
            if result.view.state is JobState.FINISHED:
                for waiter in self.job_waiters.get(result.view.job, ()):
                    waiter.set()
        self._update_gateway(None)
        if self.leader is not None:
            self.leader.on_applied(command, result, before)

    def _update_gateway(self, known_version: int | None) -> None:
        """Send the bundle in force to a gateway that has an older one."""
        state = self.replica.state
        if known_version is not None:
            self.gateway_version = known_version
        if state.bundle is None or self.gateway_identity is None:
            return
        if self.gateway_version < state.bundle_version:
            self.gateway_version = state.bundle_version
            self._push(
                InForce(version=state.bundle_version, bundle=state.bundle)
            )

    def _send_order(self, instance: InstanceId, order: GatewayMessage) -> None:
        if instance == self.settings.instance:
            self._push(order)
            return
        encoded = msgspec.msgpack.encode(order)
        self._send_control(
            instance,
            GatewayOrder(order=encoded),
            purpose=type(order).__name__,
        )

    def _send_control(
        self, instance: InstanceId, message: ControlMessage, *, purpose: str
    ) -> None:
        encoded = msgspec.msgpack.encode(message)
        self.link.send(instance, FrameKind.CONTROL, encoded, purpose=purpose)

    def _push(self, message: GatewayMessage) -> None:
        self._push_encoded(msgspec.msgpack.encode(message))

    def _push_encoded(self, encoded: bytes) -> None:
        if self.gateway_identity is None:
            return
        parts = (self.gateway_identity, encoded)
        self._spawn(self._send_to_gateway(parts))

    async def _send_to_gateway(self, parts: tuple[bytes, bytes]) -> None:
        await self.gateway_socket.send_multipart(parts)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _transfer_leadership(self) -> None:
        """Transfer leadership to another voter before the shutdown."""
        if not self.replica.is_leader():
            return
        self.replica.transfer_leadership()
        for _ in range(TRANSFER_CHECKS):
            await asyncio.sleep(LEADER_POLL_S)
            if not self.replica.is_leader():
                return


def _is_retried(reply: ReplyBody) -> bool:
    return isinstance(reply, Failure) and reply.code in RETRIED_CODES


async def run_control(settings: Settings, credentials: Credentials) -> None:
    """Run the control process until SIGTERM or SIGINT.

    SIGUSR1 writes a dump of the state to the log.

    :param credentials: unused; gateways are started with the same arguments.
    :raises StorageError: if the data folder cannot be used.
    """
    clock = SystemClock()
    metrics = open_metrics(
        settings.statsd, instance=settings.instance, process='control'
    )
    replica = open_replica(settings=settings, clock=clock, metrics=metrics)
    link = PeerLink(settings=settings, member=replica.member, metrics=metrics)
    replica.send = link.send
    control = Control(
        settings=settings,
        replica=replica,
        link=link,
        clock=clock,
        metrics=metrics,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, control.stopping.set)
    loop.add_signal_handler(signal.SIGINT, control.stopping.set)
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: logger.info('{}', control.dump().decode())
    )
    await control.run()
