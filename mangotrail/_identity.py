"""Identity file of a data folder."""

from pathlib import Path
from secrets import token_hex

import msgspec

from mangotrail._file_journal import FileJournal
from mangotrail._files import (
    IDENTITY_NAME,
    damage_error,
    replace_file,
    storage_error,
)
from mangotrail._peer import Identity
from mangotrail._recovery import Recovery
from mangotrail.errors import SettingsError
from mangotrail.ids import InstanceId, MemberId


def read_identity(folder: Path) -> Identity | None:
    """Return the identity of a data folder, None if it has none.

    :raises DamagedJournalError: if the file is damaged, or if it is missing
        although the folder holds a journal.
    """
    path = folder / IDENTITY_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        # A crash during the first start leaves a blank journal behind.
        if not folder.exists() or Recovery(folder).is_empty:
            return None
        reason = 'is missing although there is a journal'
    except msgspec.MsgspecError as error:
        reason = f'is damaged: {error}'
    except OSError as error:
        raise storage_error(folder, error) from error
    raise damage_error(path, 0, reason)


def write_identity(folder: Path, identity: Identity) -> None:
    """Write the identity of a data folder that has none, durably.

    :raises SettingsError: if the folder has an identity.
    :raises StorageError: if the file cannot be written.
    """
    existing = read_identity(folder)
    if existing is not None:
        raise SettingsError(
            'the data folder already has an identity',
            field='data_folder',
            value=existing.member,
            allowed='a folder without an identity',
            remedy='keep the identity; a member must never be founded twice',
        )
    text = msgspec.json.format(msgspec.json.encode(identity))
    # The journal comes first: an identity without one has lost its votes.
    journal = FileJournal(folder)
    try:
        journal.load()
        replace_file(folder / IDENTITY_NAME, text)
    except OSError as error:
        raise storage_error(folder, error) from error
    finally:
        journal.close()


def open_identity(
    folder: Path, *, deployment: str, instance: InstanceId
) -> Identity:
    """Return the identity of a data folder, a fresh one if there is none.

    :raises SettingsError: if the folder belongs to another deployment or
        instance.
    """
    identity = read_identity(folder)
    if identity is None:
        identity = fresh_identity(deployment=deployment, instance=instance)
        write_identity(folder, identity)
    for name, wanted in (('deployment', deployment), ('instance', instance)):
        if getattr(identity, name) != wanted:
            raise SettingsError(
                f'the data folder belongs to another {name}',
                field=name,
                value=getattr(identity, name),
                allowed=wanted,
                remedy='correct data_folder in the settings',
            )
    return identity


def fresh_identity(*, deployment: str, instance: InstanceId) -> Identity:
    """Return an identity with a random member id, which is never reused."""
    return Identity(
        format_version=1,
        deployment=deployment,
        instance=instance,
        member=MemberId(token_hex(8)),
        founding=False,
    )
