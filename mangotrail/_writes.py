"""Which part of the log and hard state is written and which is durable."""


class WriteTracker:
    """Numbers the writes of a member and notes which ones are synced.

    :param last_index: last entry of the log, which is durable.
    """

    def __init__(self, *, last_index: int) -> None:
        self.number = 0
        self.synced_number = 0
        # Last entry handed over for writing.
        self.submitted_index = last_index
        self.durable_index = last_index
        # Hard state or snapshot waits for the next write.
        self.hard_state_dirty = False
        self.hard_state_number = 0
        self.pending: list[tuple[int, int]] = []

    @property
    def hard_state_durable(self) -> bool:
        """Whether the current hard state would survive a crash."""
        return (
            not self.hard_state_dirty
            and self.synced_number >= self.hard_state_number
        )

    def truncate(self, first: int) -> None:
        """Forget entries from an index on, before others replace them.

        A sync that is still running must not count for the new entries.
        """
        last = first - 1
        self.submitted_index = min(self.submitted_index, last)
        self.durable_index = min(self.durable_index, last)
        self.pending = [(at, min(held, last)) for at, held in self.pending]

    def replace(self, last_index: int) -> None:
        """Note that a snapshot replaces the log with the next write."""
        self.truncate(1)
        self.submitted_index = last_index
        self.pending = [(self.number + 1, last_index)]

    def start(self, last_index: int, *, hard: bool, install: bool) -> None:
        """Hand over everything up to the last entry of the log."""
        if not (hard or install or last_index > self.submitted_index):
            return
        self.number += 1
        if hard:
            self.hard_state_number = self.number
            self.hard_state_dirty = False
        self.submitted_index = last_index
        self.pending.append((self.number, last_index))

    def finish(self, number: int) -> bool:
        """Note that a write is durable; True if more entries became so."""
        before = self.durable_index
        self.synced_number = max(self.synced_number, min(number, self.number))
        done = [last for at, last in self.pending if at <= self.synced_number]
        self.pending = [
            (at, last) for at, last in self.pending if at > self.synced_number
        ]
        self.durable_index = max([before, *done])
        return self.durable_index > before
