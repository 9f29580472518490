"""Tickets of an adviser for the workers that may run a step.

Only the adviser knows them, and each question takes it time, so the book asks
about the steps that wait, the most pressing first, and remembers the answers.
It lives in the leader's memory: a new leader asks again.
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

# Workers in one question: enough for a wide step, and a decision that takes
# a few milliseconds for each of them still comes within a fraction of a second.
MAX_WORKERS_PER_QUESTION = 30
# A ticket is not used in the last part of its time, in which the order may
# still be on its way: a start has 1.5 s to be carried out.
TICKET_MARGIN_S = 1.5
# Pause after an adviser that is busy or does not answer.
RETRY_PAUSE_S = 0.25


class AdviceFailure(Enum):
    """Why a question has no answer."""

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

    :param until_s: reading of the own clock up to which it is used.
    """

    text: str
    until_s: float


class Question(FrozenStruct, frozen=True, kw_only=True):
    """A step that lacks approved workers.

    :param workers: candidates, the most suitable first.
    """

    unit: UnitKey
    advice: AdviceSpec
    workers: Sequence[tuple[LifeId, WorkerId]]


class AdviceCache:
    """What the adviser said of the steps that wait.

    :param adviser: None if the deployment has none.
    """

    def __init__(self, *, adviser: Adviser | None, clock: Clock) -> None:
        self.adviser = adviser
        self.clock = clock
        self.tickets: dict[UnitKey, dict[LifeId, Ticket]] = {}
        # An adviser's mind does not change, so a worker is refused for good.
        self.refused: dict[UnitKey, set[LifeId]] = {}

    def ticket(self, unit: UnitKey, life: LifeId) -> str:
        """Return a ticket that is valid now, empty if there is none."""
        held = self.tickets.get(unit, {}).get(life)
        if held is None or held.until_s <= self.clock.monotonic_s():
            return ''
        return held.text

    def approved(self) -> dict[UnitKey, set[LifeId]]:
        """Return the workers with a valid ticket, for each step."""
        now_s = self.clock.monotonic_s()
        return {
            unit: {life for life, held in known.items() if held.until_s > now_s}
            for unit, known in self.tickets.items()
        }

    def invalidate(self, unit: UnitKey, life: LifeId) -> None:
        """Forget a ticket that a worker did not take."""
        self.tickets.get(unit, {}).pop(life, None)

    def retain(self, units: set[UnitKey]) -> None:
        """Forget steps that need no more advice."""
        for known in (self.tickets, self.refused):
            for unit in known.keys() - units:
                del known[unit]

    def undecided_workers(
        self, question: Question
    ) -> list[tuple[LifeId, WorkerId]]:
        """Return the workers of a question that are not decided yet."""
        refused = self.refused.get(question.unit, set())
        return [
            (life, worker)
            for life, worker in question.workers
            if life not in refused and not self.ticket(question.unit, life)
        ][:MAX_WORKERS_PER_QUESTION]

    async def ask(self, question: Question) -> bool:
        """Ask about workers; True if that gave a new ticket.

        The time of a ticket counts from the question, which is earlier than
        its issue.
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
        # Tickets that live no longer than the margin are used at once.
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
    questions: Sequence[Question], book: AdviceCache
) -> Question | None:
    """Return the first question that has workers to ask about."""
    return next(
        (held for held in questions if book.undecided_workers(held)), None
    )


__all__ = (
    'Adviser',
    'AdviceCache',
    'AdviceFailure',
    'Question',
    'Ticket',
    'next_question',
)
