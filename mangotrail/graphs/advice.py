"""Questions to an adviser, which decides on the workers that may run a step.

The adviser issues a ticket for each worker that it approves. Each question
takes the adviser time, so only waiting steps are asked about, the highest
priority first, and decisions are cached. The cache is not replicated: a new
leader asks again.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from enum import Enum

from loguru import logger

from mangotrail._graphs import AdviceSpec
from mangotrail._struct import FrozenStruct
from mangotrail.clock import Clock
from mangotrail.graphs.units import UnitKey
from mangotrail.ids import LifeId, WorkerId

# Enough workers for a wide step. At a few milliseconds per worker, the decision
# still takes only a fraction of a second.
MAX_WORKERS_PER_QUESTION = 30
# A ticket is not used this close to its expiry, because a start order may take
# 1.5 s to reach the worker.
TICKET_MARGIN_S = 1.5
# Pause after the adviser was busy or gave no answer.
RETRY_PAUSE_S = 0.25


class AdviceFailure(Enum):
    """Reason why a question has no answer."""

    BUSY = 'busy'
    NO_ANSWER = 'no_answer'


class Adviser(ABC):
    """Decides which workers may run a step."""

    @abstractmethod
    async def ask(
        self, unit: UnitKey, workers: Sequence[WorkerId], advice: AdviceSpec
    ) -> Mapping[WorkerId, str] | AdviceFailure:
        """Return a ticket for each worker that may run the step."""


class Ticket(FrozenStruct, frozen=True, kw_only=True):
    """Approval of a worker for a step.

    :param text: ticket as issued by the adviser.
    :param until_s: reading of the local clock until which it may be used.
    """

    text: str
    until_s: float


class Question(FrozenStruct, frozen=True, kw_only=True):
    """Question which workers may run the tasks of a unit.

    :param workers: candidates in order of preference.
    """

    unit: UnitKey
    advice: AdviceSpec
    workers: Sequence[tuple[LifeId, WorkerId]]


class AdviceCache:
    """Cache of the adviser's decisions on waiting units.

    :param adviser: None if the deployment has no adviser.
    """

    def __init__(self, *, adviser: Adviser | None, clock: Clock) -> None:
        self.adviser = adviser
        self.clock = clock
        self.tickets: dict[UnitKey, dict[LifeId, Ticket]] = {}
        # Decisions of an adviser are final, so refusals do not expire.
        self.refused: dict[UnitKey, set[LifeId]] = {}

    def ticket(self, unit: UnitKey, life: LifeId) -> str:
        """Return a valid ticket, empty if there is none."""
        ticket = self.tickets.get(unit, {}).get(life)
        if ticket is None or ticket.until_s <= self.clock.monotonic_s():
            return ''
        return ticket.text

    def approved(self) -> dict[UnitKey, set[LifeId]]:
        """Return the workers with a valid ticket, for each unit."""
        now_s = self.clock.monotonic_s()
        return {
            unit: {
                life
                for life, ticket in tickets.items()
                if ticket.until_s > now_s
            }
            for unit, tickets in self.tickets.items()
        }

    def invalidate(self, unit: UnitKey, life: LifeId) -> None:
        """Discard a ticket that a worker has refused."""
        self.tickets.get(unit, {}).pop(life, None)

    def retain(self, units: set[UnitKey]) -> None:
        """Discard the decisions on all other units."""
        for decisions in (self.tickets, self.refused):
            for unit in decisions.keys() - units:
                del decisions[unit]

    def undecided_workers(
        self, question: Question
    ) -> list[tuple[LifeId, WorkerId]]:
        """Return the next batch of workers without a decision."""
        refused = self.refused.get(question.unit, set())
        return [
            (life, worker)
            for life, worker in question.workers
            if life not in refused and not self.ticket(question.unit, life)
        ][:MAX_WORKERS_PER_QUESTION]

    async def ask(self, question: Question) -> bool:
        """Ask the adviser about a batch of workers; True if it approved any.

        The validity of a ticket is counted from the question, which is on the
        safe side because the ticket is issued later.
        """
        workers = self.undecided_workers(question)
        if self.adviser is None or not workers:
            await asyncio.sleep(RETRY_PAUSE_S)
            return False
        asked_s = self.clock.monotonic_s()
        answer = await self.adviser.ask(
            question.unit, [worker for _, worker in workers], question.advice
        )
        if isinstance(answer, AdviceFailure):
            logger.warning(
                'Adviser gave no answer job={} task={}.{} workers={} reason={}',
                *question.unit,
                len(workers),
                answer.value,
            )
            await asyncio.sleep(RETRY_PAUSE_S)
            return False
        until_s = asked_s + question.advice.validity_ms / 1000 - TICKET_MARGIN_S
        # The margin would make short-lived tickets useless. One that is valid for
        # less than twice the margin may be used for half of its validity.
        until_s = max(until_s, asked_s + question.advice.validity_ms / 2000)
        tickets = self.tickets.setdefault(question.unit, {})
        refused = self.refused.setdefault(question.unit, set())
        for life, worker in workers:
            if worker in answer:
                tickets[life] = Ticket(text=answer[worker], until_s=until_s)
            else:
                refused.add(life)
        logger.info(
            'Adviser decided job={} task={}.{} asked={} approved={} took_s={:.3f}',
            *question.unit,
            len(workers),
            len(answer),
            self.clock.monotonic_s() - asked_s,
        )
        return bool(answer)


def next_question(
    questions: Sequence[Question], cache: AdviceCache
) -> Question | None:
    """Return the first question with undecided workers, None if all are."""
    return next(
        (
            question
            for question in questions
            if cache.undecided_workers(question)
        ),
        None,
    )


__all__ = (
    'Adviser',
    'AdviceCache',
    'AdviceFailure',
    'Question',
    'Ticket',
    'next_question',
)
