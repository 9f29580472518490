"""Changes between versions of the configuration, for entry instances.

A configuration of 2,000 queues takes 850 KB, and most versions change a few of
them. An entry instance that holds an earlier version gets the queues and
accounts that differ from it, and checks the result by a digest.
"""

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

import msgspec

from mangotrail._graphs import (
    AccountSpec,
    Configuration,
    ConfigurationDelta,
    QueueSpec,
)
from mangotrail.errors import ConfigurationDeltaError
from mangotrail.graphs.compression import compress, decompress
from mangotrail.ids import AccountId, QueueId

DIGEST_BYTES = 16
# Removed queues or accounts that are remembered; more of them, weeks of changes,
# begin the history anew.
MAX_REMOVED = 10_000


class ConfigurationHistory:
    """When each part of the configuration has changed, by version.

    It starts with the first version that this process observes.
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.first_version = -1
        self.queues = PartHistory()
        self.accounts = PartHistory()
        # Encoded changes to the current version, by the version they apply to.
        self.packed: dict[int, bytes] = {}

    def observe(self, configuration: Configuration) -> None:
        """Record the configuration in force if it is newer."""
        current = self.current
        if current is not None and current.version >= configuration.version:
            return
        if (
            current is None
            or len(self.queues.removed) > MAX_REMOVED
            or len(self.accounts.removed) > MAX_REMOVED
        ):
            self.first_version = configuration.version
            self.queues = PartHistory()
            self.accounts = PartHistory()
        self.queues.observe(queues_by_id(configuration), configuration.version)
        self.accounts.observe(
            accounts_by_id(configuration), configuration.version
        )
        self.current = configuration
        self.packed.clear()

    def packed_delta(self, held_version: int) -> bytes | None:
        """Return the encoded change from a version; None if it is unknown."""
        current = self.current
        if current is None or held_version < self.first_version:
            return None
        packed = self.packed.get(held_version)
        if packed is None:
            queues, removed_queues = self.queues.since(held_version)
            accounts, removed_accounts = self.accounts.since(held_version)
            delta = ConfigurationDelta(
                base_version=held_version,
                version=current.version,
                queues=queues,
                removed_queues=removed_queues,
                accounts=accounts,
                removed_accounts=removed_accounts,
                services=current.services,
                limits=current.limits,
                digest=digest(current),
            )
            packed = compress(msgspec.msgpack.encode(delta))
            self.packed[held_version] = packed
        return packed


class PartHistory:
    """Versions in which the entries of one part were changed or removed."""

    def __init__(self) -> None:
        self.entries: Mapping[Any, Any] = {}
        self.changed: dict[Any, int] = {}
        self.removed: dict[Any, int] = {}

    def observe(self, entries: Mapping[Any, Any], version: int) -> None:
        """Record the entries of a version."""
        for key in self.entries.keys() - entries.keys():
            self.removed[key] = version
            del self.changed[key]
        for key, entry in entries.items():
            if self.entries.get(key) != entry:
                self.changed[key] = version
                self.removed.pop(key, None)
        self.entries = entries

    def since(self, version: int) -> tuple[Sequence[Any], Sequence[Any]]:
        """Return the entries changed, and the keys removed, after a version."""
        changed = [
            self.entries[key]
            for key, changed_in in self.changed.items()
            if changed_in > version
        ]
        removed = [
            key
            for key, removed_in in self.removed.items()
            if removed_in > version
        ]
        return changed, removed


def queues_by_id(configuration: Configuration) -> dict[QueueId, QueueSpec]:
    """Return the queues of a configuration by their ids."""
    return {queue.queue: queue for queue in configuration.queues}


def accounts_by_id(
    configuration: Configuration,
) -> dict[AccountId, AccountSpec]:
    """Return the accounts of a configuration by their ids."""
    return {account.account: account for account in configuration.accounts}


def digest(configuration: Configuration) -> bytes:
    """Return the digest of a configuration, without its document."""
    parts = (
        configuration.version,
        sorted(configuration.queues, key=lambda queue: queue.queue),
        sorted(configuration.accounts, key=lambda account: account.account),
        configuration.services,
        configuration.limits,
    )
    return blake2b(
        msgspec.msgpack.encode(parts), digest_size=DIGEST_BYTES
    ).digest()


def apply_delta(held: Configuration | None, packed: bytes) -> Configuration:
    """Return the later version of a configuration that is held.

    What is held stays if it is as new, since replies may overtake each other.

    :raises ConfigurationDeltaError: if the change applies to another version,
        or its result has another digest.
    :raises msgspec.MsgspecError: if the change is damaged.
    """
    delta = msgspec.msgpack.decode(decompress(packed), type=ConfigurationDelta)
    if held is not None and held.version >= delta.version:
        return held
    if held is None or held.version != delta.base_version:
        raise ConfigurationDeltaError(
            'the change applies to another version of the configuration',
            field='base_version',
            value=delta.base_version,
            allowed=str(held.version if held else None),
        )
    queues = queues_by_id(held)
    accounts = accounts_by_id(held)
    for queue in delta.removed_queues:
        queues.pop(queue, None)
    for account in delta.removed_accounts:
        accounts.pop(account, None)
    queues.update((queue.queue, queue) for queue in delta.queues)
    accounts.update((account.account, account) for account in delta.accounts)
    configuration = Configuration(
        version=delta.version,
        document=b'',
        queues=tuple(queues.values()),
        accounts=tuple(accounts.values()),
        services=delta.services,
        limits=delta.limits,
    )
    if digest(configuration) != delta.digest:
        raise ConfigurationDeltaError(
            'the changed configuration has another digest',
            field='digest',
            value=delta.version,
        )
    return configuration
