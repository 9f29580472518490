"""The leader of a term: worker sessions, planning and orders."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from math import ceil, inf
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
    ResumeLease,
    RunEnd,
    RunStart,
    StartRuns,
    SuspendLease,
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
from mangotrail.graphs.begun_jobs import BegunJobs
from mangotrail.graphs.blocked_lives import blocked_lives
from mangotrail.graphs.capacity import WorkerCapacity
from mangotrail.graphs.group import GraphReplica
from mangotrail.graphs.late_orders import LateOrders
from mangotrail.graphs.planning import Claim, Plan, Planner
from mangotrail.graphs.preemption import RunInfo
from mangotrail.graphs.quarantine import (
    QuarantineTracker,
    Usage,
    stall_groups,
    stalled_runs,
    stalled_workers,
)
from mangotrail.graphs.records import WorkerState
from mangotrail.graphs.run_log import log_ended, log_ordered, unit_key_of
from mangotrail.graphs.session import Session
from mangotrail.graphs.session_owner import SessionOwner
from mangotrail.graphs.standstill import QUIET_S
from mangotrail.graphs.telemetry import Telemetry
from mangotrail.graphs.tracked_run import RunPhase
from mangotrail.graphs.units import UnitKey
from mangotrail.graphs.worker_connection import StartAnswer, WorkerConnector
from mangotrail.ids import JobId, LifeId, WorkerId

# Shortest time between two plans; events in between are handled by one plan.
MIN_PLAN_INTERVAL_S = 0.01
# Longest time between two plans. Some changes come without an event:
# occurrences become due and waiting times expire.
MAX_PLAN_INTERVAL_S = 0.2
# Interval between two log lines about a unit that waits on.
WAIT_LOG_PERIOD_S = 3.0
# Clocks of workers and instances may differ by minutes after steps.
MAX_BORN_AHEAD_MS = 3_600_000


class GraphLeader(SessionOwner):
    """Leader of the agreement group in one term: plans and sends orders.

    :param replica: local replica, which leads in this term.
    :param connector: opens connections to workers.
    :param wall: estimates the wall-clock time.
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
        self.late_orders = LateOrders(clock)
        # Lives whose suspension was proposed, and may be committed later even
        # if that is not known, also after a new session with the life.
        self.suspending: set[LifeId] = set()
        self.begun_jobs = BegunJobs(state=self.state, commit=self._commit_begun)
        self.sessions: dict[LifeId, Session] = {}
        self.session_tasks: dict[LifeId, asyncio.Task[None]] = {}
        self.claims: dict[UnitKey, Claim] = {}
        # When each unit that stands still beside room for it began to.
        self.standing: Mapping[UnitKey, int] = {}
        # The job that came in last, and when this leader noticed it.
        self.newest_job: JobId | None = None
        self.newest_job_s = -inf
        self.quarantine_tracker = QuarantineTracker()
        # When the last line about each waiting unit was logged.
        self.logged_waits: dict[UnitKey, float] = {}
        # Workers that take no runs, by reason.
        self.closed_workers: Counter[str] = Counter()
        self.wake = asyncio.Event()
        self.has_undecided_starts = False
        # A round sent after this must be answered before orders may be sent.
        self.confirm_after_s = -inf

    # Interface for sessions.

    def may_order(self) -> bool:
        """Whether this leader has the authority to send orders now.

        The authority may lapse for a moment and come back in the same term, so
        callers wait for it instead of giving up.
        """
        return (
            self.replica.term() == self.term
            and self.replica.has_authority()
            and self.replica.quorum_contact_s() > self.confirm_after_s
        )

    def wall_ms(self) -> int:
        """Return the estimated wall-clock time in Unix milliseconds."""
        return self.wall.now_ms()

    def expected_runs(self, session: Session) -> Sequence[RunStart]:
        """Return the runs that the replicated state places on a worker."""
        life = session.worker.life
        return [run for run in self.state.runs.values() if run.life == life]

    async def end_runs(self, session: Session, ends: Sequence[RunEnd]) -> bool:
        """Commit ends of runs; False if that failed."""
        log_ended(ends, session.worker.worker)
        for end in ends:
            self.record_outcome(session, end)
        # An end may come from the successor of the life that holds the run.
        lives = {
            self.state.runs[end.task].life
            for end in ends
            if self.is_current(end.task, end.run)
        }
        if await self.commit(EndRuns(ends=ends)) is None:
            return False
        holders = {session, *map(self.sessions.get, lives)}
        for holder in filter(None, holders):
            for end in ends:
                holder.forget(end.task, end.run)
        return True

    def is_current(self, task: TaskKey, run: int) -> bool:
        """Whether the committed state counts a run as present on any life."""
        current = self.state.runs.get(task)
        return current is not None and current.run == run

    async def suspend_leases(self, life: LifeId, left_s: float) -> None:
        """Commit that no lease is granted to a silent worker."""
        self.suspending.add(life)
        left_ms = max(0, ceil(left_s * 1000))
        proposed_s = self.clock.monotonic_s()
        await self.commit(
            SuspendLease(life=life, left_ms=left_ms, proposed_s=proposed_s)
        )

    async def resume_leases(self, life: LifeId) -> bool:
        """Commit that leases may be granted again; False if that failed."""
        if await self.commit(ResumeLease(life=life)) is None:
            return False
        self.suspending.discard(life)
        return True

    def is_suspended(self, life: LifeId) -> bool:
        """Whether no lease may be granted to a worker."""
        worker = self.state.workers.get(life)
        return life in self.suspending or (
            worker is not None and worker.is_suspended
        )

    def are_leases_over(self, life: LifeId) -> bool:
        """Whether the suspended leases of a worker have expired."""
        return self.replica.leases.are_over(life)

    def record_begun(self, task: TaskKey) -> None:
        """Record that a worker has confirmed a run of a task."""
        self.begun_jobs.add(task.job)

    async def _commit_begun(self, jobs: Sequence[JobId]) -> bool:
        """Commit that jobs have begun; False if that failed."""
        command = EndRuns(ends=(), begun=jobs)
        return await self.commit(command) is not None

    def record_outcome(self, session: Session, end: RunEnd) -> None:
        """Record the end of a run for the quarantine of its worker."""
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
        """Commit the removal of a worker life that has ended."""
        life = session.worker.life
        # Nobody else removes it in this term, so that a lapse of the authority
        # only delays this; the end of the term cancels it.
        while True:
            if self.may_order():
                if await self.commit(RemoveWorker(life=life)) is not None:
                    return
            await asyncio.sleep(MIN_PLAN_INTERVAL_S)

    def require_confirmation(self, worker: WorkerId) -> None:
        """Send no orders until a majority confirms that this member leads."""
        logger.warning('Term {} is over for worker {}', self.term, worker)
        self.confirm_after_s = self.clock.monotonic_s()

    def count_answer(self, answer: StartAnswer) -> None:
        """Count the answer to a start order."""
        self.telemetry.orders.increment(answer.value)

    def invalidate_ticket(self, start: RunStart) -> None:
        """Discard a ticket that a worker has refused."""
        self.advice_cache.invalidate(unit_key_of(start.task), start.life)

    def replan(self) -> None:
        """Request a new plan."""
        self.wake.set()

    # Main loop of the term.

    async def commit(self, body: GraphCommandBody) -> Any:
        """Commit a command; None if it is not known to be committed."""
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
        """Plan and send orders until cancelled."""
        logger.info('Leading in term {}', self.term)
        helpers = [
            asyncio.create_task(self._ask_adviser()),
            asyncio.create_task(self.begun_jobs.run()),
        ]
        try:
            while True:
                try:
                    await self._step()
                except Exception:  # One fault must not end the whole term.
                    logger.exception('A step of term {} failed', self.term)
                    self.telemetry.step_faults.increment()
                await self._pause()
        finally:
            tasks = [*helpers, *self.session_tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            logger.info('No longer leading in term {}', self.term)

    async def _step(self) -> None:
        """Keep the sessions up to date, stop runs and start others."""
        self.reconcile_sessions()
        if self.may_order():
            if self.has_undecided_starts:
                self.order_runs(self.unordered_runs())
            await self.open_occurrences()
            self.stop_obsolete()
            self.stop_stalled()
            await self.execute(self.make_plan())

    async def _ask_adviser(self) -> None:
        """Ask the adviser one question at a time, by descending priority."""
        while True:
            question = next_question(self.questions, self.advice_cache)
            if question is None:
                self.questions_changed.clear()
                await self.questions_changed.wait()
                continue
            try:
                approved = await self.advice_cache.ask(question)
            except Exception:  # A failed question must not end this task.
                logger.exception('Question about unit {} failed', question.unit)
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
        """Keep exactly one session for each registered life.

        A session that failed with an exception is replaced.
        """
        for life, worker in self.state.workers.items():
            task = self.session_tasks.get(life)
            if task is None:
                self.open_session(worker.spec, RunPhase.ADOPTED)
            elif task.done() and not self.sessions[life].is_ended:
                fault = None if task.cancelled() else task.exception()
                logger.opt(exception=fault).error(
                    'The session with worker {} failed and is replaced',
                    worker.spec.worker,
                )
                self.telemetry.session_faults.increment()
                self.open_session(worker.spec, RunPhase.UNSURE)
        for life in set(self.sessions) - set(self.state.workers):
            self.sessions.pop(life)
            self.session_tasks.pop(life).cancel()

    def open_session(self, worker: WorkerSpec, phase: RunPhase) -> None:
        """Start a session with a life of a worker.

        :param phase: initial phase of the runs that may be on it.
        """
        session = Session(
            worker=worker, connection=self.connector.open(worker), owner=self
        )
        session.adopt(self.expected_runs(session), phase)
        self.sessions[worker.life] = session
        self.session_tasks[worker.life] = asyncio.create_task(session.run())

    async def open_occurrences(self) -> None:
        """Open the occurrences that are due."""
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
        """Stop runs of jobs that have ended, and of incomplete gangs."""
        for task, start in self.state.runs.items():
            job = self.state.jobs[task.job]
            session = self.sessions.get(start.life)
            if session is not None and (
                not job.is_live or self.is_gang_incomplete(task)
            ):
                session.stop(task)

    def stop_stalled(self) -> None:
        """Stop stalled runs, so that they restart on other workers.

        Their workers are quarantined, except those with a working run.
        """
        now_s = self.clock.monotonic_s()
        usage = {
            task: Usage(life=session.worker.life, idle_s=tracked.idle_s)
            for session in self.sessions.values()
            for task, tracked in session.runs.items()
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
        """Whether a gang that is not done lacks a run of some member."""
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
        """Make a plan from the replicated state and the sessions."""
        now_s = self.clock.monotonic_s()
        quarantined = self.quarantine_tracker.quarantined(
            self.state.workers, now_s
        )
        blocked = blocked_lives(self.state)
        capacities = {}
        self.closed_workers.clear()
        for life, worker in self.state.workers.items():
            closed = self.closed_reason(worker, now_s)
            if not closed and life in quarantined:
                closed = 'quarantined'
            if not closed and life in blocked:
                closed = 'other_life'
            if closed:
                self.closed_workers[closed] += 1
            capacities[life] = WorkerCapacity(
                worker.spec,
                is_open=not closed,
                has_recent_failure=self.quarantine_tracker.has_recent_failure(
                    life, now_s
                ),
            )
        runs = {
            task: RunInfo(
                # The answer to the start order of an adopted run is not known
                # to this leader.
                started_ms=tracked.started_ms or tracked.start.numbered_ms,
                stopping=tracked.phase in {RunPhase.STOPPING, RunPhase.STOPPED},
            )
            for session in self.sessions.values()
            for task, tracked in session.runs.items()
        }
        open_workers = sum(capacity.is_open for capacity in capacities.values())
        self.telemetry.workers.set(open_workers, 'open')
        self.telemetry.workers.set(len(capacities) - open_workers, 'closed')
        self.telemetry.runs.set(len(self.state.runs))
        return Planner(
            state=self.state,
            workers=capacities,
            runs=runs,
            claims=self.claims,
            standing=self.standing,
            is_quiet=self.watch_arrivals(now_s),
            now_ms=self.wall_ms(),
            spread_factor=self.timing.spread_factor,
            approved=self.advice_cache.approved(),
        ).plan()

    def watch_arrivals(self, now_s: float) -> bool:
        """Note new jobs; return whether none has come in for QUIET_S."""
        newest = next(reversed(self.state.jobs), None)
        if newest != self.newest_job:
            self.newest_job = newest
            self.newest_job_s = now_s
        return now_s - self.newest_job_s > QUIET_S

    def closed_reason(self, worker: WorkerState, now_s: float) -> str:
        """Return why a worker takes no runs, '' if it may take them."""
        if worker.draining:
            return 'draining'
        if worker.spec.zone in self.state.closed_zones:
            return 'zone'
        session = self.sessions.get(worker.spec.life)
        return session.closed_reason(now_s) if session else 'no_session'

    async def execute(self, plan: Plan) -> None:
        """Stop preempted runs, commit the starts and send their orders."""
        self.claims = dict(plan.claims)
        self.standing = plan.standing
        self.log_waits(plan)
        for preemption in plan.preemptions:
            logger.info(
                'Runs stopped to make room job={} task={}.{} entitled={}'
                ' cost_core_s={:.1f} stopped={} of_jobs={}',
                *preemption.unit,
                preemption.entitled,
                preemption.cost,
                len(preemption.tasks),
                sorted({task.job for task in preemption.tasks}),
            )
        for task in plan.stops:
            start = self.state.runs.get(task)
            session = self.sessions.get(start.life) if start else None
            if session is not None:
                session.stop(task)
        if plan.starts:
            accepted = await self.commit(StartRuns(starts=plan.starts))
            if accepted is None:
                self.has_undecided_starts = True
            self.order_runs(accepted or ())
        self.questions = plan.questions
        self.advice_cache.retain({question.unit for question in plan.questions})
        self.questions_changed.set()

    def order_runs(self, starts: Sequence[RunStart]) -> None:
        """Send the start orders of committed runs."""
        log_ordered(
            starts,
            {
                life: session.worker.worker
                for life, session in self.sessions.items()
            },
        )
        for start in starts:
            self.order(start)

    def unordered_runs(self) -> list[RunStart]:
        """Return the runs on the workers that no session knows of.

        Starts whose commit was reported as undecided may be applied later in
        the same term.
        """
        unordered = []
        for task, start in self.state.runs.items():
            session = self.sessions.get(start.life)
            if session is not None:
                tracked = session.runs.get(task)
                if tracked is None or tracked.start.run != start.run:
                    unordered.append(start)
        return unordered

    def log_waits(self, plan: Plan) -> None:
        """Log why each unit waits: when it begins to, and regularly then."""
        now_s = self.clock.monotonic_s()
        logged = {}
        for wait in plan.waits:
            logged_s = self.logged_waits.get(wait.unit, -inf)
            if now_s - logged_s >= WAIT_LOG_PERIOD_S:
                logged_s = now_s
                job, occurrence, step = wait.unit
                logger.info(
                    'Tasks wait job={} cause={} standing_ms={} task={}.{}'
                    ' count={} entitled={} in_time={} open_workers={}'
                    ' free_accelerators={} closed_workers={}',
                    job,
                    wait.cause.value,
                    wait.standing_ms,
                    occurrence,
                    step,
                    wait.tasks,
                    wait.entitled,
                    wait.in_time,
                    wait.open_workers,
                    wait.free_accelerators,
                    dict(self.closed_workers),
                )
            logged[wait.unit] = logged_s
        self.logged_waits = logged

    def order(self, start: RunStart) -> None:
        """Send the start order of a committed run to its session."""
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

    # Reports of workers.

    async def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handle a heartbeat; False if a command was not committed."""
        spec = heartbeat.worker
        newest = self.state.life_of(spec.worker)
        if newest is not None and newest != spec.life:
            if self.state.workers[newest].spec.born_ms > spec.born_ms:
                # A delayed heartbeat of an earlier life.
                return True
        if spec.life in self.state.departed or not self.is_credible(spec):
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
        # A life that drains never becomes ready again, so that heartbeats may
        # arrive in any order, and an entry with a wrong sequence does no harm.
        registered = self.state.workers.get(spec.life)
        if (
            registered is not None
            and heartbeat.draining
            and not registered.draining
        ):
            logger.info('Worker {} drains', spec.worker)
            if await self.commit(DrainWorker(life=spec.life)) is None:
                return False
        return True

    def is_credible(self, spec: WorkerSpec) -> bool:
        """Whether an entry can be that of a worker of this deployment.

        A life from the future would pass for the successor of every real life
        of its worker, and a service that no configuration names has no tasks.
        """
        configuration = self.state.configuration
        services = configuration.services if configuration else ()
        known = any(service.service == spec.service for service in services)
        if known and spec.born_ms <= self.wall_ms() + MAX_BORN_AHEAD_MS:
            return True
        logger.warning(
            'Ignored the entry of life {} of service {}',
            spec.life,
            spec.service,
        )
        return False

    async def on_leave(self, worker: WorkerId) -> bool:
        """Handle the notice that a worker leaves; False if not committed.

        The notice names no life and may come late from an earlier one, so runs
        are given up only once the worker no longer answers.
        """
        life = self.state.life_of(worker)
        if life is None or not self.state.workers[life].draining:
            return True
        if all(run.life != life for run in self.state.runs.values()):
            return await self.commit(RemoveWorker(life=life)) is not None
        session = self.sessions.get(life)
        return session is None or await session.settle_leave()


class WallClock:
    """Wall clock that ignores steps of the system clock after its creation.

    :param clock: clocks of this instance.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.offset_s = clock.wall_s() - clock.monotonic_s()

    def now_ms(self) -> int:
        """Return the estimated wall-clock time in Unix milliseconds."""
        return round((self.clock.monotonic_s() + self.offset_s) * 1000)
