"""Types generated from schema/peer.json."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta

from mangotrail._struct import FrozenStruct
from mangotrail.ids import InstanceId, MemberId


class PeerSchema(FrozenStruct, frozen=True, kw_only=True):
    pass


class EntryKind(StrEnum):
    """
    Kind of payload of a log entry.
    """

    COMMAND = 'command'
    CONFIG = 'config'
    NO_OP = 'no_op'


class LogEntry(FrozenStruct, frozen=True, kw_only=True):
    """
    One entry of the replicated log.
    """

    index: Annotated[int, Meta(ge=1)]
    term: Annotated[int, Meta(ge=1)]
    kind: EntryKind
    payload: bytes


class HardState(FrozenStruct, frozen=True, kw_only=True):
    """
    Term and vote of a member, which must survive a crash.
    """

    voted_for: Annotated[
        MemberId,
        Meta(
            description='Empty if there was no vote in the term.', max_length=80
        ),
    ]
    term: Annotated[int, Meta(ge=0)] = 0


class JournalBatch(FrozenStruct, frozen=True, kw_only=True):
    """
    Records that one journal write makes durable.
    """

    entries: Annotated[
        Sequence[LogEntry],
        Meta(
            description='An entry replaces the entry of its index and all after it.'
        ),
    ]
    hard_state: HardState | None = None


class GroupMember(FrozenStruct, frozen=True, kw_only=True):
    """
    Member of the group: one identity of an instance.
    """

    member: Annotated[MemberId, Meta(max_length=80, min_length=1)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]


class GroupConfig(FrozenStruct, frozen=True, kw_only=True):
    """
    Members of the agreement group.
    """

    voters: Annotated[Sequence[GroupMember], Meta(max_length=15)]
    learners: Annotated[Sequence[GroupMember], Meta(max_length=64)]


class SnapshotMeta(FrozenStruct, frozen=True, kw_only=True):
    """
    Position of a snapshot in the log.
    """

    index: Annotated[int, Meta(ge=0)]
    term: Annotated[int, Meta(ge=0)]
    config: Annotated[
        GroupConfig, Meta(description='Configuration in force at the index.')
    ]


class SnapshotHeader(FrozenStruct, frozen=True, kw_only=True):
    """
    Header of a snapshot file.
    """

    meta: SnapshotMeta
    first_segment: Annotated[
        int,
        Meta(description='Oldest segment of the journal that is in use.', ge=0),
    ]
    last_segment: Annotated[
        int,
        Meta(description='Newest segment when the snapshot was written.', ge=0),
    ]
    total: Annotated[int, Meta(ge=0)]
    checksum: Annotated[int, Meta(ge=0)]


class Identity(FrozenStruct, frozen=True, kw_only=True):
    """
    Identity file of a data folder.
    """

    format_version: Annotated[int, Meta(ge=1, le=1)]
    deployment: Annotated[str, Meta(max_length=64, min_length=1)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
    member: Annotated[MemberId, Meta(max_length=80, min_length=1)]
    founding: bool


class VoteRequest(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='vote_request',
):
    """
    Request of a candidate for a vote in a term.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
    last_index: Annotated[int, Meta(ge=0)]
    last_term: Annotated[int, Meta(ge=0)]
    pre_vote: Annotated[
        bool,
        Meta(
            description='Whether the request only asks if a vote would be granted.'
        ),
    ]
    transfer: Annotated[
        bool,
        Meta(
            description='Whether the leader of the previous term gave up its authority.'
        ),
    ]


class VoteReply(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='vote_reply'
):
    """
    Reply to a vote request.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    asked_term: Annotated[int, Meta(ge=0)]
    pre_vote: bool
    granted: bool


class Append(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='append'
):
    """
    Entries that follow an entry of the log, or a heartbeat.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
    previous_index: Annotated[int, Meta(ge=0)]
    previous_term: Annotated[int, Meta(ge=0)]
    commit: Annotated[int, Meta(ge=0)]
    probe_s: Annotated[
        float,
        Meta(
            description="Sending time on the leader's clock; replies echo it."
        ),
    ]
    entries: Sequence[LogEntry]


class AppendReply(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='append_reply',
):
    """
    Reply to an append.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    accepted: bool
    previous_index: Annotated[int, Meta(ge=0)]
    match_index: Annotated[
        int,
        Meta(
            description='Last durable index that matches; after a refusal the index to try next.',
            ge=0,
        ),
    ]
    probe_s: Annotated[
        float,
        Meta(
            description="Sending time on the leader's clock; replies echo it."
        ),
    ]
    leaving: Annotated[
        bool, Meta(description='Whether the sender has been told to stop.')
    ] = False


class SnapshotChunk(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='snapshot_chunk',
):
    """
    Part of a snapshot, at most 64 KiB.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]
    meta: SnapshotMeta
    offset: Annotated[int, Meta(ge=0)]
    total: Annotated[int, Meta(ge=0)]
    checksum: Annotated[
        int, Meta(description='CRC-32 of the whole snapshot.', ge=0)
    ]
    body: bytes
    probe_s: Annotated[
        float,
        Meta(
            description="Sending time on the leader's clock; replies echo it."
        ),
    ]


class SnapshotReply(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='snapshot_reply',
):
    """
    Reply to a snapshot chunk.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    index: Annotated[int, Meta(ge=0)]
    offset: Annotated[
        int, Meta(description='Offset of the next chunk to send.', ge=0)
    ]
    probe_s: Annotated[
        float,
        Meta(
            description="Sending time on the leader's clock; replies echo it."
        ),
    ]


class TransferLeadership(
    FrozenStruct,
    frozen=True,
    kw_only=True,
    tag_field='kind',
    tag='transfer_leadership',
):
    """
    Request of the leader to a caught-up voter to take over immediately.
    """

    to: Annotated[MemberId, Meta(max_length=80)]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]


class Join(
    FrozenStruct, frozen=True, kw_only=True, tag_field='kind', tag='join'
):
    """
    Request of a member without a leader to become a learner.
    """

    to: Annotated[
        MemberId,
        Meta(
            description='Receiving member; empty for every instance.',
            max_length=80,
        ),
    ]
    sender: Annotated[MemberId, Meta(max_length=80)]
    term: Annotated[int, Meta(ge=0)]
    instance: Annotated[InstanceId, Meta(max_length=64, min_length=1)]


PeerMessage: TypeAlias = Annotated[
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
    | Join,
    Meta(description='Message between members.'),
]
