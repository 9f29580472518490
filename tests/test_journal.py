"""Tests of the journal: no acknowledged record is lost by a restart."""

import errno
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random

import msgspec
import pytest

from mangotrail._effects import Snapshot
from mangotrail._frames import HEADER_BYTES, encode_frame
from mangotrail._peer import (
    EntryKind,
    GroupConfig,
    HardState,
    Identity,
    LogEntry,
    SnapshotMeta,
)
from mangotrail.errors import DamagedJournalError, SettingsError, StorageError
from mangotrail.ids import InstanceId, MemberId
from mangotrail.journal import (
    FileJournal,
    Recovered,
    open_identity,
    write_identity,
)

VOTE = HardState(term=3, voted_for=MemberId('a'))
CONFIG = GroupConfig(voters=[], learners=[])


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
    return Snapshot(meta=meta, body=b'state at %d' % index)


def recovered(
    index: int, held: Iterable[LogEntry], hard_state: HardState = VOTE
) -> Recovered:
    return Recovered(
        snapshot=snapshot(index) if index else None,
        hard_state=hard_state,
        entries=tuple(held),
    )


def reopen(folder: Path) -> Recovered:
    journal = FileJournal(folder)
    try:
        found = journal.load()
    finally:
        journal.close()
    return msgspec.structs.replace(found, truncated_bytes=0)


def write(journal: FileJournal, *records: LogEntry) -> None:
    journal.append(records)
    journal.sync()


def start(journal: FileJournal) -> None:
    journal.append(entries(1, 2), VOTE)
    journal.sync()


# Each operation with what must be durable after it.
OPERATIONS: tuple[tuple[Callable[[FileJournal], None], Recovered], ...] = (
    (start, recovered(0, entries(1, 2))),
    (
        lambda journal: write(journal, *entries(3, 6)),
        recovered(0, entries(1, 6)),
    ),
    (
        lambda journal: write(journal, *entries(4, 5, term=2)),
        recovered(0, [*entries(1, 3), *entries(4, 5, term=2)]),
    ),
    (
        lambda journal: journal.compact(snapshot(4)),
        recovered(4, entries(5, 5, term=2)),
    ),
    (
        lambda journal: write(journal, *entries(6, 7, term=2)),
        recovered(4, entries(5, 7, term=2)),
    ),
    (lambda journal: journal.compact(snapshot(7)), recovered(7, [])),
    (
        lambda journal: write(journal, *entries(8, 9, term=2)),
        recovered(7, entries(8, 9, term=2)),
    ),
    (lambda journal: journal.install(snapshot(8)), recovered(8, [])),
    (
        lambda journal: write(journal, *entries(9, 9, term=4)),
        recovered(8, entries(9, 9, term=4)),
    ),
)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a data folder with a snapshot, a vote and entries."""
    folder = tmp_path / 'data'
    journal = FileJournal(folder)
    journal.load()
    for operation, _ in OPERATIONS[:5]:
        operation(journal)
    journal.close()
    return folder


class PowerLossDisk:
    """Content of a folder after a simulated power loss.

    Holds the content of each file at its last sync and the names at the last
    sync of the folder; fails at a chosen write or sync.
    """

    def __init__(self, fail_at: int) -> None:
        self.remaining_calls = fail_at
        self.names: dict[str, int] = {}
        self.contents: dict[int, bytes] = {}
        self.fsync = os.fsync
        self.written = os.write

    def count(self) -> None:
        self.remaining_calls -= 1
        if self.remaining_calls < 0:
            raise OSError('power lost')

    def write(self, handle: int, data: bytes) -> int:
        self.written(handle, data[: len(data) // 2])
        self.count()
        return len(data) // 2 + self.written(handle, data[len(data) // 2 :])

    def sync(self, handle: int) -> None:
        self.count()
        path = Path(os.readlink(f'/proc/self/fd/{handle}'))
        if path.is_dir():
            self.names = {
                file.name: file.stat().st_ino for file in path.iterdir()
            }
        else:
            self.contents[path.stat().st_ino] = path.read_bytes()
        self.fsync(handle)

    def restore(self, folder: Path) -> None:
        folder.mkdir()
        for name, inode in self.names.items():
            (folder / name).write_bytes(self.contents.get(inode, b''))


class TornWriteDisk(PowerLossDisk):
    """Power loss that keeps some of the unsynced writes.

    Each write after the last sync of its file is whole, torn or missing, and
    each name that changed after the last sync of the folder is old or new.
    A new file keeps its name once the file itself was synced.

    :param seed: decides what is kept.
    """

    def __init__(self, fail_at: int, seed: int) -> None:
        super().__init__(fail_at)
        self.random = Random(f'{fail_at} {seed}')
        self.unsynced: dict[int, list[tuple[int, bytes]]] = {}
        self.pwritten = os.pwrite

    def pwrite(self, handle: int, data: bytes, offset: int) -> int:
        inode = os.fstat(handle).st_ino
        self.unsynced.setdefault(inode, []).append((offset, bytes(data)))
        return self.pwritten(handle, data, offset)

    def sync(self, handle: int) -> None:
        super().sync(handle)
        path = Path(os.readlink(f'/proc/self/fd/{handle}'))
        self.unsynced.pop(path.stat().st_ino, None)
        if not path.is_dir():
            self.names.setdefault(path.name, path.stat().st_ino)

    def content(self, inode: int) -> bytes:
        content = bytearray(self.contents.get(inode, b''))
        for offset, data in self.unsynced.get(inode, ()):
            kept = self.random.choice((0, len(data), len(data)))
            if self.random.random() < 0.4:
                kept = self.random.randint(0, len(data))
            if kept:
                content.extend(bytes(max(0, offset - len(content))))
                content[offset : offset + kept] = data[:kept]
        return bytes(content)

    def restore_from(self, lost: Path, folder: Path) -> None:
        now = {file.name: file.stat().st_ino for file in lost.iterdir()}
        folder.mkdir()
        for name in sorted({*self.names, *now}):
            inode = self.random.choice((self.names, now)).get(name)
            if inode is not None:
                (folder / name).write_bytes(self.content(inode))


class TestFileJournal:
    """Records in files."""

    @pytest.mark.parametrize(
        'error',
        [OSError(errno.ENOSPC, 'the disk is full'), StorageError('damaged')],
    )
    def test_opened_again(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: Exception
    ) -> None:
        """A journal that could not be loaded lets the next one use its folder.

        It kept the lock of the folder, so that a control process whose disk had
        been full never served again.
        """

        def fail(journal: FileJournal) -> Recovered:
            raise error

        with monkeypatch.context() as patch:
            patch.setattr(FileJournal, 'recover', fail)
            failed = FileJournal(tmp_path)
            with pytest.raises(StorageError):
                failed.load()
        again = FileJournal(tmp_path)
        assert again.load() == Recovered()
        again.close()

    @pytest.mark.parametrize('seed', range(40))
    def test_torn_writes(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        """Unsynced writes that a power loss keeps in part are tolerated.

        Guards against the loss of a member: a torn sync marker at the end of
        an older segment that is still needed was taken for damage.
        """
        for fail_at in range(3, 100):
            disk = TornWriteDisk(fail_at, seed)
            lost = tmp_path / f'a{fail_at}'
            allowed = []
            with monkeypatch.context() as patch:
                patch.setattr(os, 'fsync', disk.sync)
                patch.setattr(os, 'write', disk.write)
                patch.setattr(os, 'pwrite', disk.pwrite)
                journal = FileJournal(lost)
                try:
                    journal.load()
                    allowed = [Recovered()]
                    for operation, after in OPERATIONS:
                        allowed.append(after)
                        operation(journal)
                        allowed = [after]
                except StorageError:
                    assert journal.failed
                journal.close()
            disk.restore_from(lost, tmp_path / f'b{fail_at}')
            if allowed:
                assert reopen(tmp_path / f'b{fail_at}') in allowed, fail_at
            if disk.remaining_calls > 0:
                return
        pytest.fail('the operations did not finish')

    def test_power_loss(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each operation is atomic, and durable when it returns."""
        blank = Recovered()
        for fail_at in range(1, 100):
            disk = PowerLossDisk(fail_at)
            allowed = [blank]
            with monkeypatch.context() as patch:
                patch.setattr(os, 'fsync', disk.sync)
                patch.setattr(os, 'write', disk.write)
                journal = FileJournal(tmp_path / f'a{fail_at}')
                try:
                    journal.load()
                    for operation, after in OPERATIONS:
                        allowed.append(after)
                        operation(journal)
                        allowed = [after]
                except StorageError:
                    with pytest.raises(StorageError, match='failed before'):
                        journal.append(entries(1, 1))
                journal.close()
            disk.restore(tmp_path / f'b{fail_at}')
            # Loss of power, then the crash of the process alone.
            assert reopen(tmp_path / f'b{fail_at}') in allowed
            assert reopen(tmp_path / f'a{fail_at}') in allowed
            if disk.remaining_calls > 0:
                return
        pytest.fail('the operations did not finish')

    def test_damage(self, folder: Path) -> None:
        """A flipped bit is harmless or an error, never a silent loss."""
        whole = OPERATIONS[4][1]
        errors = 0
        for path in sorted(folder.iterdir()):
            data = path.read_bytes()
            for offset in range(len(data)):
                broken = bytearray(data)
                broken[offset] ^= 1 << offset % 8
                path.write_bytes(broken)
                try:
                    assert reopen(folder) == whole, (path.name, offset)
                except DamagedJournalError as error:
                    errors += 1
                    assert path.name in error.message
                    assert error.value.isdigit()
                    assert error.remedy
                path.write_bytes(data)
        assert errors > 300

    def test_torn_tail(self, folder: Path) -> None:
        """A truncated write is dropped, all records before it are kept."""
        path = max(folder.glob('journal-*'))
        data = path.read_bytes()
        lengths = set()
        for length in range(len(data)):
            path.write_bytes(data[:length])
            journal = FileJournal(folder)
            found = journal.load()
            held = found.entries
            assert held == tuple(entries(5, 7, term=2)[: len(held)])
            lengths.add(len(held))
            following = entries(5 + len(held), 8, term=2)
            write(journal, *following)
            journal.close()
            assert reopen(folder).entries == (*held, *following)
        assert lengths == {1, 3}

    def test_torn_payload(self, folder: Path) -> None:
        """A payload that looks like a frame does not prove damage."""
        path = max(folder.glob('journal-*'))
        data = path.read_bytes()
        segment = int(path.name[-10:])
        place = len(data) + HEADER_BYTES
        forged = encode_frame(segment, place, b'')[:-4]
        copied = encode_frame(segment, 0, b'')
        payload = b'none'.join([forged, copied, b'end'])
        torn = encode_frame(segment, len(data), payload)
        path.write_bytes(b''.join([data, torn[:-1]]))
        assert reopen(folder) == OPERATIONS[4][1]
        assert path.read_bytes() == data

    def test_unmarked_tail(self, folder: Path) -> None:
        """A frame without a sync marker is written and synced again.

        After a failed sync it may exist only in the page cache.
        """
        path = max(folder.glob('journal-*'))
        data = path.read_bytes()
        path.write_bytes(data[:-HEADER_BYTES])
        synced = []
        fsync = os.fsync

        def sync(handle: int) -> None:
            synced.append(os.fstat(handle).st_size)
            fsync(handle)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(os, 'fsync', sync)
            patch.setattr(os, 'ftruncate', record_truncation(synced))
            assert reopen(folder) == OPERATIONS[4][1]
        assert synced[0] < len(data) - HEADER_BYTES
        assert path.read_bytes() == data

    @pytest.mark.parametrize('call', ['pwrite', 'fsync'])
    def test_failed_write(
        self, folder: Path, monkeypatch: pytest.MonkeyPatch, call: str
    ) -> None:
        """After a failed write nothing may be reported as durable."""
        journal = FileJournal(folder)
        journal.load()
        journal.append(entries(8, 8, term=2))
        with monkeypatch.context() as patch:
            patch.setattr(os, call, fail)
            with pytest.raises(StorageError, match='No space'):
                journal.sync()
        for again in (journal.sync, lambda: journal.compact(snapshot(6))):
            with pytest.raises(StorageError, match='failed before'):
                again()
        journal.close()
        assert reopen(folder).entries[:3] == tuple(entries(5, 7, term=2))

    @pytest.mark.parametrize('kept', [HEADER_BYTES, HEADER_BYTES + 9, 10**6])
    def test_lost_mark(self, tmp_path: Path, kept: int) -> None:
        """A power loss may keep an unsynced frame but not the marker before it.

        Neither was synced, so this is no damage, and the member must recover
        all durable records.
        """
        folder = tmp_path / 'torn'
        journal = FileJournal(folder)
        journal.load()
        start(journal)
        durable = journal.offset - HEADER_BYTES
        write(journal, *entries(3, 4))
        journal.close()
        path = folder / 'journal-0000000000'
        data = bytearray(path.read_bytes())
        data[durable : durable + HEADER_BYTES] = bytes(HEADER_BYTES)
        # The marker of the second write follows its sync, so it is lost too.
        end = min(durable + HEADER_BYTES + kept, len(data) - HEADER_BYTES)
        path.write_bytes(data[:end])
        assert reopen(folder) == recovered(0, entries(1, 2))

    def test_lost_mark_of_a_synced_frame(self, tmp_path: Path) -> None:
        """A later marker proves that the broken frame was durable."""
        folder = tmp_path / 'damaged'
        journal = FileJournal(folder)
        journal.load()
        start(journal)
        durable = journal.offset - HEADER_BYTES
        write(journal, *entries(3, 4))
        journal.close()
        path = folder / 'journal-0000000000'
        data = bytearray(path.read_bytes())
        data[durable : durable + HEADER_BYTES] = bytes(HEADER_BYTES)
        path.write_bytes(data)
        with pytest.raises(DamagedJournalError):
            reopen(folder)

    def test_missing_files(self, tmp_path: Path) -> None:
        """A missing segment must not pass for a short log."""
        journal = FileJournal(tmp_path)
        journal.load()
        for index in range(1, 4):
            write(journal, *entries(index, 4))
            journal.compact(snapshot(index))
        journal.close()
        segments = list(tmp_path.glob('journal-*'))
        assert len(segments) == 4
        for path in segments:
            data = path.read_bytes()
            path.unlink()
            with pytest.raises(DamagedJournalError):
                reopen(tmp_path)
            path.write_bytes(data)

    def test_gap(self, tmp_path: Path) -> None:
        """A log with a gap must be refused, not applied to a wrong state."""
        journal = FileJournal(tmp_path)
        journal.load()
        write(journal, *entries(1, 2))
        write(journal, *entries(4, 4))
        journal.close()
        with pytest.raises(DamagedJournalError):
            reopen(tmp_path)

    def test_space(self, folder: Path) -> None:
        """Segments that a snapshot covers must not fill the disk."""
        journal = FileJournal(folder)
        journal.load()
        for index in range(8, 30):
            write(journal, *entries(index, index, term=2))
            journal.compact(snapshot(index))
        journal.close()
        assert len(list(folder.glob('journal-*'))) == 1
        assert reopen(folder).snapshot == snapshot(29)

    def test_two_processes(self, folder: Path) -> None:
        """Two processes on one folder would mix their records."""
        journal = FileJournal(folder)
        with pytest.raises(StorageError):
            FileJournal(folder)
        journal.close()

    def test_chunks(self, folder: Path) -> None:
        """A chunk of another snapshot must not complete a transfer."""
        journal = FileJournal(folder)
        journal.load()
        part = journal.read_snapshot(4, 6, 2)
        body = snapshot(4).body
        assert part
        assert (part.body, part.total) == (body[6:8], len(body))
        assert journal.read_snapshot(4, 9, 99).body == body[9:]
        assert journal.read_snapshot(3, 0, 9) is None
        journal.close()


def record_truncation(log: list[int]) -> Callable[[int, int], None]:
    truncate = os.ftruncate

    def call(handle: int, length: int) -> None:
        log.append(length)
        truncate(handle, length)

    return call


def fail(*_: object) -> None:
    raise OSError(28, 'No space left on device')


class TestIdentity:
    """The identity file."""

    def test_fresh(self, tmp_path: Path) -> None:
        """A member id that changes or is reused would break its votes."""
        found = [
            open_identity(
                tmp_path / name, deployment='d', instance=InstanceId('i')
            )
            for name in ('a', 'a', 'b')
        ]
        assert found[0] == found[1]
        assert found[0].member != found[2].member
        with pytest.raises(SettingsError):
            open_identity(
                tmp_path / 'a', deployment='e', instance=InstanceId('i')
            )

    def test_written_once(self, folder: Path) -> None:
        """A second identity, or one for an old journal, would lose votes."""
        identity = Identity(
            format_version=1,
            deployment='d',
            instance=InstanceId('i'),
            member=MemberId('m'),
            founding=True,
        )
        with pytest.raises(DamagedJournalError):
            write_identity(folder, identity)
        empty = folder / 'empty'
        write_identity(empty, identity)
        with pytest.raises(SettingsError):
            write_identity(empty, identity)
        (empty / 'journal-0000000000').unlink()
        with pytest.raises(DamagedJournalError):
            reopen(empty)
        (empty / 'identity.json').write_text('{')
        with pytest.raises(DamagedJournalError):
            open_identity(empty, deployment='d', instance=InstanceId('i'))
