"""Interface of a scheduling policy."""

from abc import ABC, abstractmethod

from mangotrail.events import Decision, Event


class Policy(ABC):
    """Decides where and when jobs run, without any I/O or clock."""

    @abstractmethod
    def handle(self, event: Event, now_s: float) -> tuple[Decision, ...]:
        """Process one event and return the resulting decisions.

        :param event: an event that is inconsistent with the state is counted
            and otherwise ignored.
        :param now_s: current time in seconds; never decreases.
        """
