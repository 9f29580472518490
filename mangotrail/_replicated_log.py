"""In-memory copy of the replicated log with the configurations it holds."""

from collections.abc import Iterable, Sequence

import msgspec

from mangotrail._peer import EntryKind, GroupConfig, LogEntry, SnapshotMeta

# Entries kept after a compaction, so that a member that lags a little is
# served from the log and not with a whole snapshot.
TRAILING_ENTRIES = 256
TRAILING_BYTES = 1 << 20

config_decoder = msgspec.msgpack.Decoder(GroupConfig)


def decode_config(payload: bytes) -> GroupConfig:
    """Return the configuration in a CONFIG entry, with tuples inside.

    :raises msgspec.MsgspecError: if the payload is no configuration.
    """
    config = config_decoder.decode(payload)
    return GroupConfig(
        voters=tuple(config.voters), learners=tuple(config.learners)
    )


class Log:
    """Entries after a base entry that a snapshot covers.

    :param base: place of the snapshot; index 0 if there is none.
    :param entries: entries that follow the base without a gap.
    :raises ValueError: if the entries do not follow the base.
    """

    def __init__(
        self, *, base: SnapshotMeta, entries: Iterable[LogEntry] = ()
    ) -> None:
        self.base_index = base.index
        self.base_term = base.term
        self.entries: list[LogEntry] = []
        # Newest last; the first one is in force at the base.
        self.configs: list[tuple[int, GroupConfig]] = [
            (base.index, base.config),
        ]
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f'entry {entry.index} follows {self.last_index}'
                )
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> GroupConfig:
        """Newest configuration, committed or not."""
        return self.configs[-1][1]

    @property
    def config_index(self) -> int:
        """Index of the newest configuration."""
        return self.configs[-1][0]

    def config_at(self, index: int) -> GroupConfig:
        """Return the configuration in force at an index from the base on."""
        return next(
            config for at, config in reversed(self.configs) if at <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None where the log has no entry."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index of the run of one term that holds an index."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def slice(self, first: int, last: int) -> Sequence[LogEntry]:
        """Return the entries from first to last, both included."""
        start = max(first - self.base_index - 1, 0)
        return self.entries[start : max(last - self.base_index, 0)]

    def append(self, entry: LogEntry) -> None:
        """Add the entry that follows the last one."""
        if entry.kind is EntryKind.CONFIG:
            config = decode_config(entry.payload)
            self.configs.append((entry.index, config))
        self.entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drop the entry of an index and all after it."""
        del self.entries[first - self.base_index - 1 :]
        while self.config_index >= first:
            self.configs.pop()

    def compact(self, index: int) -> None:
        """Drop entries up to an index that a snapshot covers, but for a few."""
        base = min(index, self.last_index)
        kept_bytes = 0
        kept = 0
        while base > self.base_index and kept < TRAILING_ENTRIES:
            kept_bytes += len(self.slice(base, base)[0].payload)
            if kept_bytes > TRAILING_BYTES:
                break
            base -= 1
            kept += 1
        term = self.term_at(base)
        if term is None or base <= self.base_index:
            return
        config = self.config_at(base)
        del self.entries[: base - self.base_index]
        newer = [held for held in self.configs if held[0] > base]
        self.configs = [(base, config), *newer]
        self.base_index = base
        self.base_term = term
