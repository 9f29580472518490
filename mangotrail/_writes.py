"""Tracking of which log entries and hard state are durable."""


class WriteTracker:
    """Numbers the writes of a member and tracks which ones are synced.

    :param last_index: index of the last log entry, which is durable.
    """

    def __init__(self, *, last_index: int) -> None:
        self.number = 0
        self.synced_number = 0
        # Index of the last entry submitted for writing.
        self.submitted_index = last_index
        self.durable_index = last_index
        # Whether hard state or a snapshot waits for the next write.
        self.hard_state_dirty = False
        self.hard_state_number = 0
        self.pending: list[tuple[int, int]] = []

    @property
    def hard_state_durable(self) -> bool:
        """Whether the current hard state is synced."""
        return (
            not self.hard_state_dirty
            and self.synced_number >= self.hard_state_number
        )

    def truncate(self, first: int) -> None:
        """Drop the entries from an index on before they are replaced.

        A sync in progress must not count for the new entries.
        """
        last = first - 1
        self.submitted_index = min(self.submitted_index, last)
        self.durable_index = min(self.durable_index, last)
        self.pending = [(at, min(held, last)) for at, held in self.pending]

    def replace(self, last_index: int) -> None:
        """Record that the next write replaces the log by a snapshot."""
        self.truncate(1)
        self.submitted_index = last_index
        self.pending = [(self.number + 1, last_index)]

    def start(self, last_index: int, *, hard: bool, install: bool) -> None:
        """Start a write up to the last log entry, if anything is unwritten."""
        if not (hard or install or last_index > self.submitted_index):
            return
        self.number += 1
        if hard:
            self.hard_state_number = self.number
            self.hard_state_dirty = False
        self.submitted_index = last_index
        self.pending.append((self.number, last_index))

    def finish(self, number: int) -> bool:
        """Record that a write is durable.

        :returns: whether more entries became durable.
        """
        before = self.durable_index
        self.synced_number = max(self.synced_number, min(number, self.number))
        done = [last for at, last in self.pending if at <= self.synced_number]
        self.pending = [
            (at, last) for at, last in self.pending if at > self.synced_number
        ]
        self.durable_index = max([before, *done])
        return self.durable_index > before
