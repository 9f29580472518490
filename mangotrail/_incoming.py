"""Checks of what a member receives from its leader or from its driver."""

from collections.abc import Set as AbstractSet
from zlib import crc32

import msgspec

from mangotrail._peer import (
    Append,
    EntryKind,
    GroupConfig,
    SnapshotChunk,
)
from mangotrail._replicated_log import decode_config
from mangotrail.ids import MemberId

# Far above any state the design size needs; bounds what a damaged message
# can make a member allocate.
MAX_SNAPSHOT_BYTES = 1 << 28


def is_well_formed(message: Append) -> bool:
    """Whether the entries of an append follow each other."""
    index = message.previous_index
    term = message.previous_term
    for entry in message.entries:
        index += 1
        if entry.index != index or not term <= entry.term <= message.term:
            return False
        term = entry.term
        if entry.kind is EntryKind.CONFIG:
            try:
                decode_config(entry.payload)
            except msgspec.MsgspecError:
                return False
    return True


class IncomingSnapshot:
    """Chunks of one snapshot, in order.

    :param first: its first chunk.
    """

    def __init__(self, first: SnapshotChunk) -> None:
        self.meta = first.meta
        self.total = first.total
        self.checksum = first.checksum
        self.body = bytearray()

    def matches(self, chunk: SnapshotChunk) -> bool:
        """Whether a chunk belongs to this snapshot."""
        return (
            chunk.meta == self.meta
            and chunk.total == self.total
            and chunk.checksum == self.checksum
        )

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk if it is the next one."""
        if chunk.offset == len(self.body) and self.total <= MAX_SNAPSHOT_BYTES:
            self.body += chunk.body

    @property
    def is_complete(self) -> bool:
        """Whether all bytes are there."""
        return len(self.body) >= self.total

    @property
    def is_intact(self) -> bool:
        """Whether the bytes are the ones the leader read."""
        return (
            len(self.body) == self.total and crc32(self.body) == self.checksum
        )


def config_refusal(
    *,
    current: GroupConfig,
    proposed: GroupConfig,
    leader: MemberId,
    caught_up: AbstractSet[MemberId],
) -> str:
    """Return why a change of the configuration is not safe, or nothing.

    :param current: newest configuration of the leader, committed.
    :param caught_up: members that answer and hold almost the whole log.
    """
    members = [named.member for named in (*proposed.voters, *proposed.learners)]
    instances = [voter.instance for voter in proposed.voters]
    voters = {voter.member for voter in proposed.voters}
    changed = voters ^ {voter.member for voter in current.voters}
    if len(set(members)) < len(members):
        return 'a member is named twice'
    if len(set(instances)) < len(instances):
        return 'two voters are on one instance'
    if leader not in voters:
        return 'the leader must hand over before it stops being a voter'
    if len(changed) > 1:
        return 'only one voter may change at a time'
    if changed & voters - caught_up:
        return 'the new voter has not caught up'
    if changed and len(voters & caught_up) * 2 <= len(voters):
        # The change could not be committed, and the group would be stuck
        # because it counts with the new configuration from now on.
        return 'no majority of the new voters answers'
    return ''
