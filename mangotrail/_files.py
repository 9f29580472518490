"""Durable file operations and errors of the data folder."""

import os
from pathlib import Path

from mangotrail.errors import DamagedJournalError, StorageError

IDENTITY_NAME = 'identity.json'
# Payloads of client accounts must not be readable for other users.
FILE_MODE = 0o600
DAMAGE_REMEDY = (
    'move the data folder away and start again: the instance joins with a '
    'fresh identity and receives the log from the other members'
)
STORAGE_REMEDY = 'free space or replace the disk, then restart the process'


def sync_folder(folder: Path) -> None:
    """Make created, renamed and deleted files of a folder durable."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def replace_file(path: Path, *parts: bytes) -> None:
    """Replace a file atomically and durably."""
    new = path.with_name(f'{path.name}.new')
    handle = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        for part in parts:
            view = memoryview(part)
            while view:
                view = view[os.write(handle, view) :]
        os.fsync(handle)
    finally:
        os.close(handle)
    new.replace(path)
    sync_folder(path.parent)


def damage_error(path: Path, offset: int, reason: str) -> DamagedJournalError:
    """Return the error of a file that is damaged beyond a torn tail."""
    return DamagedJournalError(
        f'{path.name} {reason}',
        field=str(path),
        value=offset,
        allowed='an intact file; only a torn last write is cut',
        remedy=DAMAGE_REMEDY,
    )


def storage_error(folder: Path, reason: object) -> StorageError:
    """Return the error of a data folder that cannot be read or written."""
    return StorageError(
        f'the data folder cannot be used: {reason}',
        field='data_folder',
        value=folder,
        remedy=STORAGE_REMEDY,
    )
