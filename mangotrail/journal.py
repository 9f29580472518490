"""Durable log entries, hard state, snapshots and the identity of a member.

Files of a data folder:

- ``identity.json``: deployment, instance and member id;
- ``journal-<segment>``: frames of journal batches, see ``_frames``;
- ``snapshot``: header frame, then the state; replaced atomically;
- ``lock``: held by the process that uses the folder.
"""

from mangotrail._file_journal import FileJournal
from mangotrail._identity import (
    fresh_identity,
    open_identity,
    read_identity,
    write_identity,
)
from mangotrail._storage import DisklessJournal, Journal, Recovered

__all__ = (
    'DisklessJournal',
    'FileJournal',
    'Journal',
    'Recovered',
    'fresh_identity',
    'open_identity',
    'read_identity',
    'write_identity',
)
