"""The leader's work: sessions with workers, plans and their orders."""

import asyncio
from collections.abc import Sequence
from typing import Any

from loguru import logger

from mangotrail._graph_settings import GraphSettings
from mangotrail._graphs import (
    DrainWorker,
    EndKind,
    EndRuns,
    GraphCommandBody,
    Heartbeat,
    OpenOccurrence,
    RegisterWorker,
    RemoveWorker,
    RunEnd,
    RunStart,
    StartRuns,
    TaskKey,
    WorkerSpec,
)
from mangotrail.clock import Clock
from mangotrail.errors import MangotrailError
from mangotrail.graphs.advice import (
    RETRY_PAUSE_S,
    AdviceCache,
    Adviser,
    Question,
    next_question,
)
from mangotrail.graphs.blocked_lives import blocked_lives
from mangotrail.graphs.capacity import WorkerCapacity
from mangotrail.graphs.group import GraphReplica
from mangotrail.graphs.planning import Claim, Plan, Planner
from mangotrail.graphs.preemption import RunInfo
from mangotrail.graphs.quarantine import (
    QuarantineTracker,
    Usage,
    stall_groups,
    stalled_runs,
    stalled_workers,
)
from mangotrail.graphs.run_log import log_ended, log_ordered, unit_key_of
from mangotrail.graphs.session import Session
from mangotrail.graphs.session_owner import SessionOwner
from mangotrail.graphs.telemetry import Telemetry
from mangotrail.graphs.tracked_run import RunPhase
from mangotrail.graphs.units import UnitKey
from mangotrail.graphs.worker_connection import StartAnswer, WorkerConnector
from mangotrail.ids import LifeId, WorkerId

# Plans are made at most this often, so that events that come together are
# answered by one plan.
MIN_PLAN_INTERVAL_S = 0.01
# Occurrences become due and waits end without any event.
MAX_PLAN_INTERVAL_S = 0.2
# A life that has been silent for this long is forgotten.
FORGOTTEN_S = 60.0


class GraphLeader(SessionOwner):
    """Decisions and orders of one term.

    :param replica: the member that leads.
    :param connector: opens connections to workers.
    :param wall: estimates Unix milliseconds.
    :param adviser: approves workers for steps of some queues.
    """

    def __init__(
        self,
        *,
        replica: GraphReplica,
        connector: WorkerConnector,
        settings: GraphSettings,
        clock: Clock,
        wall: 'WallClock',
        telemetry: Telemetry,
        adviser: Adviser | None = None,
    ) -> None:
        self.advice_cache = AdviceCache(adviser=adviser, clock=clock)
        self.questions: Sequence[Question] = ()
        self.questions_changed = asyncio.Event()
        self.telemetry = telemetry
        self.replica = replica
        self.state = replica.state
        self.connector = connector
        self.settings = settings
        self.timing = settings.timing
        self.clock = clock
        self.wall = wall
        self.term = replica.term()
        self.sessions: dict[LifeId, Session] = {}
        self.session_tasks: dict[LifeId, asyncio.Task[None]] = {}
        self.sequences: dict[LifeId, int] = {}
        self.claims: dict[UnitKey, Claim] = {}
        self.quarantine_tracker = QuarantineTracker()
        self.logged_waits: set[UnitKey] = set()
        self.wake = asyncio.Event()
        self.has_stepped_down = False

    # What sessions ask.

    def may_order(self) -> bool:
        """Whether this leader still has authority."""
        return (
            not self.has_stepped_down
            and self.replica.term() == self.term
            and self.replica.has_authority()
        )

    def wall_ms(self) -> int:
        """Return estimated Unix milliseconds."""
        return self.wall.now_ms()

    def expected_runs(self, session: Session) -> Sequence[RunStart]:
        """Return the runs that may occupy a worker."""
        life = session.worker.life
        return [run for run in self.state.runs.values() if run.life == life]

    async def end_runs(self, session: Session, ends: Sequence[RunEnd]) -> bool:
        """Make ends durable; False if that failed."""
        log_ended(ends, session.worker.worker)
        for end in ends:
            self.record_outcome(session, end)
        return await self.commit(EndRuns(ends=ends)) is not None

    def record_outcome(self, session: Session, end: RunEnd) -> None:
        """Take an end as evidence for or against the worker."""
        self.telemetry.ends.increment(end.end.value)
        life = session.worker.life
        if end.end is EndKind.DONE:
            self.quarantine_tracker.record_success(life)
        elif end.end is EndKind.FAILED:
            now_s = self.clock.monotonic_s()
            if self.quarantine_tracker.record_failure(
                life, end.task.job, now_s
            ):
                logger.warning(
                    'Worker {} fails what it starts and rests',
                    session.worker.worker,
                )

    async def remove_life(self, session: Session) -> None:
        """Forget a worker whose life is over."""
        life = session.worker.life
        while self.may_order():
            if await self.commit(RemoveWorker(life=life)) is not None:
                return
            await asyncio.sleep(MIN_PLAN_INTERVAL_S)

    def step_down(self) -> None:
        """Give up leading, because a later leader was seen."""
        if not self.has_stepped_down:
            logger.warning('Term {} is over for a worker', self.term)
        self.has_stepped_down = True

    def count_answer(self, answer: StartAnswer) -> None:
        """Count the answer to an order."""
        self.telemetry.orders.increment(answer.value)

    def invalidate_ticket(self, start: RunStart) -> None:
        """Ask again for a ticket that a worker did not take."""
        self.advice_cache.invalidate(unit_key_of(start.task), start.life)

    def replan(self) -> None:
        """Make a plan soon."""
        self.wake.set()

    # Work of the term.

    async def commit(self, body: GraphCommandBody) -> Any:
        """Propose a command; None if it is not known to be committed."""
        begun_s = self.clock.monotonic_s()
        try:
            result = await self.replica.propose(body, self.wall_ms())
        except MangotrailError as error:
            logger.warning(
                'Command {} was not committed: {}', type(body).__name__, error
            )
            return None
        self.telemetry.commit_s.observe(self.clock.monotonic_s() - begun_s)
        self.replan()
        return result

    async def run(self) -> None:
        """Lead until cancelled."""
        logger.info('Leading in term {}', self.term)
        asking = asyncio.create_task(self._ask_adviser())
        try:
            while True:
                self.reconcile_sessions()
                if self.may_order():
                    await self.open_occurrences()
                    self.stop_obsolete()
                    self.stop_stalled()
                    await self.execute(self.make_plan())
                await self._pause()
        finally:
            tasks = [asking, *self.session_tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            logger.info('No longer leading in term {}', self.term)

    async def _ask_adviser(self) -> None:
        """Ask one question after the other, the most pressing first."""
        while True:
            question = next_question(self.questions, self.advice_cache)
            if question is None:
                self.questions_changed.clear()
                await self.questions_changed.wait()
                continue
            try:
                approved = await self.advice_cache.ask(question)
            except Exception:  # One question must not end all advice.
                logger.exception('Asking about {} failed', question.unit)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if approved:
                self.replan()

    async def _pause(self) -> None:
        await asyncio.sleep(MIN_PLAN_INTERVAL_S)
        try:
            async with asyncio.timeout(MAX_PLAN_INTERVAL_S):
                await self.wake.wait()
        except TimeoutError:
            return
        finally:
            self.wake.clear()

    def reconcile_sessions(self) -> None:
        """Have a session for each registered life, and none for others."""
        for life, held in self.state.workers.items():
            task = self.session_tasks.get(life)
            if task is None:
                self.open_session(held.spec, RunPhase.ADOPTED)
            elif task.done() and not self.sessions[life].is_ended:
                fault = None if task.cancelled() else task.exception()
                logger.opt(exception=fault).error(
                    'The session with worker {} failed and is replaced',
                    held.spec.worker,
                )
                self.telemetry.session_faults.increment()
                self.open_session(held.spec, RunPhase.UNSURE)
        for life in set(self.sessions) - set(self.state.workers):
            self.sessions.pop(life)
            self.session_tasks.pop(life).cancel()

    def open_session(self, worker: WorkerSpec, phase: RunPhase) -> None:
        """Begin to deal with a life of a worker.

        :param phase: what is known of the runs that may occupy it.
        """
        session = Session(
            worker=worker, connection=self.connector.open(worker), owner=self
        )
        session.adopt(self.expected_runs(session), phase)
        self.sessions[worker.life] = session
        self.session_tasks[worker.life] = asyncio.create_task(session.run())

    async def open_occurrences(self) -> None:
        """Make the tasks of occurrences that are due."""
        now_ms = self.wall_ms()
        for job in list(self.state.jobs.values()):
            graph = job.graph
            if (
                job.is_live
                and job.next_occurrence < graph.occurrences
                and job.due_ms(job.next_occurrence) <= now_ms
            ):
                await self.commit(
                    OpenOccurrence(
                        job=graph.job, occurrence=job.next_occurrence
                    )
                )

    def stop_obsolete(self) -> None:
        """Stop what runs for jobs that have ended, and broken gangs."""
        for task, start in self.state.runs.items():
            job = self.state.jobs[task.job]
            session = self.sessions.get(start.life)
            if session is not None and (
                not job.is_live or self.is_gang_incomplete(task)
            ):
                session.stop(task)

    def stop_stalled(self) -> None:
        """Stop what stands still, so that it starts on other workers."""
        now_s = self.clock.monotonic_s()
        usage = {
            task: Usage(life=session.worker.life, idle_s=held.idle_s)
            for session in self.sessions.values()
            for task, held in session.runs.items()
        }
        stalled = stalled_runs(stall_groups(self.state, usage), usage)
        for life in stalled_workers(stalled, usage):
            session = self.sessions[life]
            logger.warning(
                'Tasks on worker {} stand still; it rests',
                session.worker.worker,
            )
            self.quarantine_tracker.quarantine(life, now_s)
        for task in stalled:
            self.sessions[usage[task].life].stop(task)

    def is_gang_incomplete(self, task: TaskKey) -> bool:
        """Whether another member of a task's gang is gone, but not done."""
        job = self.state.jobs[task.job]
        step = job.step(task)
        if step is None or not step.spec.gang or step.is_done:
            return False
        own = self.state.runs[task].run
        siblings = (
            TaskKey(
                job=task.job,
                occurrence=task.occurrence,
                step=task.step,
                index=index,
            )
            for index in range(step.spec.count)
        )
        for sibling in siblings:
            run = self.state.runs.get(sibling)
            if run is None or run.run != own:
                return True
        return False

    def make_plan(self) -> Plan:
        """Decide what starts and what stops."""
        now_s = self.clock.monotonic_s()
        resting = self.quarantine_tracker.quarantined(self.state.workers, now_s)
        unclear = blocked_lives(self.state)
        slots = {}
        for life, held in self.state.workers.items():
            session = self.sessions.get(life)
            slots[life] = WorkerCapacity(
                held.spec,
                is_open=session is not None
                and session.is_usable(now_s)
                and life not in resting
                and life not in unclear
                and not held.draining
                and held.spec.zone not in self.state.closed_zones,
                has_recent_failure=self.quarantine_tracker.has_recent_failure(
                    life, now_s
                ),
            )
        runs = {
            task: RunInfo(
                # A run that was taken over has no answer to its order here.
                started_ms=held.started_ms or held.start.numbered_ms,
                stopping=held.phase in {RunPhase.STOPPING, RunPhase.STOPPED},
            )
            for session in self.sessions.values()
            for task, held in session.runs.items()
        }
        usable = sum(slot.is_open for slot in slots.values())
        self.telemetry.workers.set(usable, 'open')
        self.telemetry.workers.set(len(slots) - usable, 'closed')
        self.telemetry.runs.set(len(self.state.runs))
        return Planner(
            state=self.state,
            workers=slots,
            runs=runs,
            claims=self.claims,
            now_ms=self.wall_ms(),
            spread_factor=self.timing.spread_factor,
            approved=self.advice_cache.approved(),
        ).plan()

    async def execute(self, plan: Plan) -> None:
        """Stop victims, number the starts and order them."""
        self.claims = dict(plan.claims)
        self.log_waits(plan)
        for eviction in plan.preemptions:
            logger.info(
                'Runs stopped to make room job={} task={}.{} entitled={}'
                ' cost_core_s={:.1f} stopped={} of_jobs={}',
                *eviction.unit,
                eviction.entitled,
                eviction.cost,
                len(eviction.tasks),
                sorted({task.job for task in eviction.tasks}),
            )
        for task in plan.stops:
            start = self.state.runs.get(task)
            session = self.sessions.get(start.life) if start else None
            if session is not None:
                session.stop(task)
        if plan.starts:
            accepted = await self.commit(StartRuns(starts=plan.starts)) or ()
            log_ordered(
                accepted,
                {
                    life: session.worker.worker
                    for life, session in self.sessions.items()
                },
            )
            for start in accepted:
                self.order(start)
        self.questions = plan.questions
        self.advice_cache.retain({question.unit for question in plan.questions})
        self.questions_changed.set()

    def log_waits(self, plan: Plan) -> None:
        """Log what a unit lacks when it begins to wait."""
        for wait in plan.waits:
            if wait.unit not in self.logged_waits:
                logger.info(
                    'Tasks wait job={} task={}.{} count={} entitled={}'
                    ' claimed={} reserved={} in_time={} open_workers={}'
                    ' free_accelerators={}',
                    *wait.unit,
                    wait.tasks,
                    wait.entitled,
                    wait.claimed,
                    wait.reserved,
                    wait.in_time,
                    wait.open_workers,
                    wait.free_accelerators,
                )
        self.logged_waits = {wait.unit for wait in plan.waits}

    def order(self, start: RunStart) -> None:
        """Order a run that is numbered durably."""
        job = self.state.jobs[start.task.job]
        step = job.step(start.task)
        session = self.sessions.get(start.life)
        if session is None or step is None:
            return
        if start.run == 1:
            waited_ms = self.wall_ms() - job.accepted_ms
            self.telemetry.start_wait_s.observe(waited_ms / 1000)
        session.order(
            start,
            payload=job.graph.payload,
            checkpoint=step.checkpoint(start.task.index),
            ticket=self.advice_cache.ticket(
                unit_key_of(start.task), start.life
            ),
        )

    # What workers say of themselves.

    async def on_heartbeat(self, beat: Heartbeat) -> bool:
        """Take in a heartbeat; False if it could not be made durable."""
        spec = beat.worker
        newest = self.state.life_of(spec.worker)
        if newest is not None and newest != spec.life:
            if self.state.workers[newest].spec.born_ms > spec.born_ms:
                # A beat of an earlier life, delayed on its way.
                return True
        if spec.life not in self.state.workers:
            logger.info(
                'Worker {} life {} zone {} rack {}',
                spec.worker,
                spec.life,
                spec.zone,
                spec.rack,
            )
            if await self.commit(RegisterWorker(worker=spec)) is None:
                return False
        if beat.sequence < self.sequences.get(spec.life, 0):
            return True
        self.sequences[spec.life] = beat.sequence
        held = self.state.workers.get(spec.life)
        if held is not None and beat.draining and not held.draining:
            logger.info('Worker {} drains', spec.worker)
            if await self.commit(DrainWorker(life=spec.life)) is None:
                return False
        return True

    async def on_leave(self, worker: WorkerId) -> bool:
        """Take in that a worker ends; False if that is not durable."""
        life = self.state.life_of(worker)
        if life is None or not self.state.workers[life].draining:
            return True
        return await self.commit(RemoveWorker(life=life)) is not None


class WallClock:
    """Estimates true time without following later steps of the clock.

    :param clock: clocks of this instance.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.offset_s = clock.wall_s() - clock.monotonic_s()

    def now_ms(self) -> int:
        """Return estimated Unix milliseconds."""
        return round((self.clock.monotonic_s() + self.offset_s) * 1000)
