"""Control process: a member of the agreement group that also serves calls.

Any control instance accepts calls. An instance that does not lead forwards
them to the leader, at most once.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from mangotrail._graph_settings import GraphSettings
from mangotrail._graphs import (
    Applied,
    Call,
    CallBody,
    CallReply,
    Cancel,
    CancelGraph,
    ChangeZone,
    CountPending,
    GraphCommandBody,
    GraphSpec,
    Heartbeat,
    Inspect,
    Leave,
    PutConfiguration,
    ReadConfiguration,
    RequestTicket,
    SetConfiguration,
    SetZone,
    Submit,
    SubmitGraph,
    Verdict,
    Watch,
)
from mangotrail.clock import Clock
from mangotrail.errors import NotLeaderError, UnavailableError, UndecidedError
from mangotrail.graphs.advice import Adviser
from mangotrail.graphs.channels import CallServer, Channels
from mangotrail.graphs.compression import compress
from mangotrail.graphs.configuration_delta import ConfigurationHistory
from mangotrail.graphs.group import GraphReplica, open_group
from mangotrail.graphs.lapsing_orders import CLOSE_DELAY_S, OrderTickets
from mangotrail.graphs.leader import GraphLeader, WallClock
from mangotrail.graphs.telemetry import Telemetry
from mangotrail.graphs.worker_connection import WorkerConnector
from mangotrail.ids import InstanceId
from mangotrail.lean_http import RequestOrigin

# Time-out of a call that is forwarded to the leader.
FORWARD_TIMEOUT_S = 3.0
# Time for the leader of a term to end; its sessions only close connections.
LEADER_END_TIMEOUT_S = 1.0
# Interval between checks whether this member leads.
LEADERSHIP_PERIOD_S = 0.02


class GraphControl:
    """One control instance.

    :param connector: opens connections to workers.
    :param adviser: approves workers for steps of some queues.
    :raises StorageError: if the journal is damaged or cannot be used.
    """

    def __init__(
        self,
        *,
        settings: GraphSettings,
        connector: WorkerConnector,
        clock: Clock,
        adviser: Adviser | None = None,
    ) -> None:
        self.adviser = adviser
        self.settings = settings
        self.connector = connector
        self.clock = clock
        self.wall = WallClock(clock)
        self.tickets = OrderTickets(clock)
        self.telemetry = Telemetry()
        self.channels = Channels(own=settings.address, clock=clock)
        self.replica: GraphReplica = open_group(
            settings=settings,
            clock=clock,
            transmit_to=self.channels.send_peer,
        )
        self.replica.on_applied = self.on_applied
        self.server = CallServer(
            address=InstanceId(settings.listen_address or settings.address),
            context=self.channels.context,
            on_call=self.on_call,
            on_peer_message=self.replica.receive,
        )
        self.leader: GraphLeader | None = None
        self.configuration_changed = asyncio.Event()
        # Version and content of the configuration last sent as a whole.
        self.packed_configuration = (-1, b'')
        self.history = ConfigurationHistory()
        self.handlers: dict[type, Callable[[Any], Any]] = {
            Submit: self.submit,
            Inspect: self.inspect,
            Cancel: self.cancel,
            CountPending: self.count_pending,
            Watch: self.watch,
            PutConfiguration: self.put_configuration,
            ReadConfiguration: self.read_configuration,
            RequestTicket: self.issue_ticket,
            ChangeZone: self.change_zone,
            Heartbeat: self.heartbeat,
            Leave: self.leave,
        }

    async def run(self) -> None:
        """Serve until cancelled.

        :raises StorageError: if the journal fails.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.server.run())
                group.create_task(self.replica.run())
                group.create_task(self._lead())
        finally:
            await self.channels.close()
            self.replica.close()

    def on_applied(self, body: GraphCommandBody, result: Any) -> None:
        """Handle an applied command: wake watchers of the configuration."""
        if isinstance(body, SetConfiguration):
            configuration = self.replica.state.configuration
            if configuration is not None:
                self.history.observe(configuration)
            event, self.configuration_changed = (
                self.configuration_changed,
                asyncio.Event(),
            )
            event.set()
            self.telemetry.version.set(self.replica.state.version)

    async def _lead(self) -> None:
        """Run a GraphLeader whenever this member leads."""
        while True:
            if self.replica.has_authority():
                leader = GraphLeader(
                    replica=self.replica,
                    connector=self.connector,
                    settings=self.settings,
                    clock=self.clock,
                    wall=self.wall,
                    telemetry=self.telemetry,
                    adviser=self.adviser,
                )
                self.telemetry.terms.increment()
                self.leader = leader
                task = asyncio.create_task(leader.run())
                try:
                    while self._still_leads(leader) and not task.done():
                        await asyncio.wait([task], timeout=LEADERSHIP_PERIOD_S)
                finally:
                    self.leader = None
                    await self._end_leader(leader, task)
            await asyncio.sleep(LEADERSHIP_PERIOD_S)

    async def _end_leader(
        self, leader: GraphLeader, task: asyncio.Task[None]
    ) -> None:
        """End the leader of a term, which must not hold up the next one."""
        task.cancel()
        while not task.done():
            await asyncio.wait([task], timeout=LEADER_END_TIMEOUT_S)
            if not task.done():
                logger.error('The leader of term {} does not end', leader.term)
                task.cancel()
        if not task.cancelled():
            task.result()

    def _still_leads(self, leader: GraphLeader) -> bool:
        return self.replica.is_leader() and self.replica.term() == leader.term

    # Calls.

    async def on_call(self, call: Call) -> CallReply:
        """Answer a call of another instance."""
        return await self.handle(call.body, forwarded=call.forwarded)

    async def handle(
        self, body: CallBody, *, forwarded: bool = False
    ) -> CallReply:
        """Answer a call as the leader, or forward it to the leader."""
        leader = self.leader
        if leader is not None and leader.may_order():
            started_s = self.clock.monotonic_s()
            reply: CallReply = await self.handlers[type(body)](body)
            name = type(body).__name__
            self.telemetry.calls.increment(f'{name}:{reply.verdict.value}')
            self.telemetry.call_s.observe(
                self.clock.monotonic_s() - started_s, name
            )
            return reply
        target = self.replica.leader_instance()
        if forwarded or target is None or target == self.settings.address:
            return self.reply(Verdict.NOT_LEADER, reason='no leader is known')
        forwarded_reply = await self.channels.call(
            target, body, FORWARD_TIMEOUT_S, forwarded=True
        )
        if forwarded_reply is None:
            return self.reply(Verdict.UNDECIDED, reason='the leader is silent')
        return forwarded_reply

    async def take_order(
        self, body: ChangeZone | Leave, origin: RequestOrigin
    ) -> CallReply:
        """Carry out an order, unless its caller may have stopped waiting.

        :return: ``UNDECIDED`` for an order that has lapsed; it has no effect.
        """
        requested_s = self.clock.monotonic_s()
        reply = await self.handle(RequestTicket())
        if reply.verdict is not Verdict.OK or reply.ticket is None:
            return reply
        await asyncio.sleep(CLOSE_DELAY_S)
        if origin.is_abandoned:
            logger.warning('Dropped {}: its caller is gone', body)
            return self.reply(Verdict.UNDECIDED, reason='the caller is gone')
        ticket = self.tickets.with_age(reply.ticket, origin, requested_s)
        return await self.handle(msgspec.structs.replace(body, ticket=ticket))

    def reply(
        self, verdict: Verdict, *, reason: str = '', **fields: Any
    ) -> CallReply:
        """Return a reply that also names the leader."""
        return CallReply(
            number=0,
            verdict=verdict,
            reason=reason,
            leader=self.replica.leader_instance() or '',
            **fields,
        )

    async def commit(self, body: GraphCommandBody) -> CallReply:
        """Commit a command and reply with its result."""
        try:
            result = await self.replica.propose(body, self.wall.now_ms())
        except UnavailableError as error:
            return self.reply(Verdict.OVERLOADED, reason=error.message)
        except UndecidedError as error:
            return self.reply(Verdict.UNDECIDED, reason=error.message)
        except NotLeaderError as error:
            # The entry may have been replicated before this member lost the
            # leadership, so the command may still be committed.
            return self.reply(Verdict.UNDECIDED, reason=error.message)
        if self.leader is not None:
            self.leader.replan()
        verdict = result.verdict if isinstance(result, Applied) else Verdict.OK
        reason = result.reason if isinstance(result, Applied) else ''
        return self.reply(verdict, reason=reason)

    async def submit(self, body: Submit) -> CallReply:
        """Accept a job."""
        known_job = self.replica.state.jobs.get(body.graph.job)
        if (
            known_job is not None
            and known_job.graph.account == body.graph.account
        ):
            return self.reply(Verdict.OK, reason='known')
        if self.adviser is None and self._needs_adviser(body.graph):
            return self.reply(Verdict.REFUSED, reason='there is no adviser')
        reply = await self.commit(SubmitGraph(graph=body.graph))
        logger.info(
            'Job submitted job={} queue={} account={} steps={} verdict={} {}',
            body.graph.job,
            body.graph.queue,
            body.graph.account,
            [
                (step.count, step.need.accelerators, step.gang)
                for step in body.graph.steps
            ],
            reply.verdict.value,
            reply.reason,
        )
        return reply

    def _needs_adviser(self, graph: GraphSpec) -> bool:
        """Whether the queue of a job requires tickets of an adviser."""
        configuration = self.replica.state.configuration
        return any(
            queue.advice is not None and queue.queue == graph.queue
            for queue in (configuration.queues if configuration else ())
        )

    async def inspect(self, body: Inspect) -> CallReply:
        """Return the phase of a job."""
        job = self.replica.state.jobs.get(body.job)
        if job is None or job.graph.account != body.account:
            return self.reply(Verdict.UNKNOWN_OBJECT)
        return self.reply(Verdict.OK, phase=job.phase)

    async def cancel(self, body: Cancel) -> CallReply:
        """Cancel a job."""
        job = self.replica.state.jobs.get(body.job)
        if job is None or job.graph.account != body.account:
            return self.reply(Verdict.UNKNOWN_OBJECT)
        reply = await self.commit(CancelGraph(job=body.job))
        logger.info('Job cancelled job={} {}', body.job, reply.verdict.value)
        return reply

    async def count_pending(self, body: CountPending) -> CallReply:
        """Count the jobs of a queue of which no task has started."""
        count = sum(
            job.is_pending and job.queue.queue == body.queue
            for job in self.replica.state.jobs.values()
        )
        return self.reply(Verdict.OK, count=count)

    async def watch(self, body: Watch) -> CallReply:
        """Long-poll for a configuration newer than the one the caller holds."""
        state = self.replica.state
        changed = self.configuration_changed
        if state.version <= body.held_version:
            try:
                async with asyncio.timeout(body.wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                logger.debug('No configuration after {}', body.held_version)
        whole = delta = None
        if state.version > body.held_version:
            if body.accepts_delta:
                delta = self._packed_delta(body.held_version)
            if delta is None:
                whole = self._packed_configuration()
        sent_bytes = self.telemetry.configuration_bytes
        sent_bytes.increment('whole', len(whole or b''))
        sent_bytes.increment('delta', len(delta or b''))
        return self.reply(
            Verdict.OK if self._has_authority() else Verdict.NOT_LEADER,
            packed_configuration=whole,
            packed_delta=delta,
            instances=self.known_instances(),
        )

    def _packed_delta(self, held_version: int) -> bytes | None:
        """Return the change from a version; None if it is unknown."""
        configuration = self.replica.state.configuration
        if configuration is not None:
            self.history.observe(configuration)
        return self.history.packed_delta(held_version)

    def _packed_configuration(self) -> bytes | None:
        """Return the configuration for entry instances, compressed once.

        They do not need the document, which is over half of it.
        """
        configuration = self.replica.state.configuration
        if configuration is None:
            return None
        version, packed = self.packed_configuration
        if version != configuration.version:
            sent = msgspec.structs.replace(configuration, document=b'')
            packed = compress(msgspec.msgpack.encode(sent))
            self.packed_configuration = (configuration.version, packed)
        return packed

    async def put_configuration(self, body: PutConfiguration) -> CallReply:
        """Put a configuration in force."""
        state = self.replica.state
        if body.configuration.version <= state.version:
            return self.reply(Verdict.OK, reason='not newer')
        reply = await self.commit(
            SetConfiguration(configuration=body.configuration)
        )
        logger.info(
            'Configuration version={} {}',
            body.configuration.version,
            reply.verdict.value,
        )
        return reply

    async def read_configuration(self, body: ReadConfiguration) -> CallReply:
        """Return the newest configuration, if this member has authority."""
        configuration = self.replica.state.configuration
        if configuration is None or not self._has_authority():
            return self.reply(Verdict.NOT_LEADER, reason='not sure')
        return self.reply(Verdict.OK, configuration=configuration)

    async def issue_ticket(self, body: RequestTicket) -> CallReply:
        """Issue a ticket for an order that the caller is about to send."""
        ticket = self.tickets.issue(self.replica.term())
        return self.reply(Verdict.OK, ticket=ticket)

    def _is_lapsed(self, body: ChangeZone | Leave) -> bool:
        """Whether the caller of an order may have stopped waiting for it."""
        if self.tickets.is_valid(body.ticket, self.replica.term()):
            return False
        logger.warning('Dropped {}: it is too old', body)
        return True

    async def change_zone(self, body: ChangeZone) -> CallReply:
        """Close or reopen an availability zone for starts."""
        if self._is_lapsed(body):
            return self.reply(Verdict.UNDECIDED, reason='the order is too old')
        reply = await self.commit(SetZone(zone=body.zone, open=body.open))
        logger.info(
            'Zone {} open={} {}', body.zone, body.open, reply.verdict.value
        )
        return reply

    async def heartbeat(self, body: Heartbeat) -> CallReply:
        """Handle a heartbeat of a worker."""
        leader = self.leader
        if leader is None or not await leader.on_heartbeat(body):
            return self.reply(Verdict.UNDECIDED)
        return self.reply(
            Verdict.OK, address=self.settings.listen.get('control', '')
        )

    async def leave(self, body: Leave) -> CallReply:
        """Handle the end of a worker."""
        if self._is_lapsed(body):
            return self.reply(Verdict.UNDECIDED, reason='the notice is too old')
        leader = self.leader
        if leader is None or not await leader.on_leave(body.worker):
            return self.reply(Verdict.UNDECIDED)
        return self.reply(Verdict.OK)

    def _has_authority(self) -> bool:
        """Whether no other leader can have changed the state."""
        return self.leader is not None and self.leader.may_order()

    def known_instances(self) -> tuple[InstanceId, ...]:
        """Return all control instances, for callers that know only seeds."""
        return tuple(sorted(self.replica.instances()))

    def transfer_leadership(self) -> None:
        """Transfer the leadership to another member before stopping."""
        self.replica.transfer_leadership()
