"""Guards against acknowledged records that a restart forgets."""

from pathlib import Path

import pytest

from mangotrail._effects import Snapshot
from mangotrail._peer import (
    EntryKind,
    GroupConfig,
    HardState,
    LogEntry,
    SnapshotMeta,
)
from mangotrail.ids import MemberId
from mangotrail.journal import FileJournal, Recovered

VOTE = HardState(term=3, voted_for=MemberId('a'))
CONFIG = GroupConfig(voters=(), learners=())


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    return [
        LogEntry(
            index=index,
            term=term,
            kind=EntryKind.COMMAND,
            payload=f'{index}@{term}'.encode(),
        )
        for index in range(first, last + 1)
    ]


def snapshot(index: int) -> Snapshot:
    meta = SnapshotMeta(index=index, term=1, config=CONFIG)
    return Snapshot(meta=meta, body=b'state' * 100)


def reopen(folder: Path) -> Recovered:
    journal = FileJournal(folder)
    try:
        return journal.load()
    finally:
        journal.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a data folder with entries 1 to 4 and a vote, all synced."""
    journal = FileJournal(tmp_path)
    journal.load()
    journal.append(entries(1, 2), VOTE)
    journal.sync()
    journal.append(entries(3, 4))
    journal.sync()
    journal.close()
    return tmp_path


class TestFileJournal:
    """Records in files."""

    def test_recovery(self, folder: Path) -> None:
        """A vote or entry that is forgotten allows a second leader."""
        found = reopen(folder)
        assert found.entries == tuple(entries(1, 4))
        assert found.hard_state == VOTE

    def test_replaced_entries(self, folder: Path) -> None:
        """Entries that were replaced must not come back."""
        journal = FileJournal(folder)
        journal.load()
        journal.append(entries(2, 3, term=2))
        journal.sync()
        journal.close()
        wanted = (*entries(1, 1), *entries(2, 3, term=2))
        assert reopen(folder).entries == wanted
