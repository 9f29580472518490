"""Interface of a scheduling policy."""

from abc import ABC, abstractmethod

from mangotrail.events import Decision, Event


class Policy(ABC):
    """Decides where and when jobs run, without sockets, clocks or files."""

    @abstractmethod
    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Take in one event and return what follows from it.

        :param event: what happened; an event that contradicts the state is
            counted and otherwise ignored.
        :param now_s: current time in seconds; it never goes back.
        """
