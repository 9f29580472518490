"""Replication of the log from the leader to its peers."""

from collections import Counter, deque
from collections.abc import Iterator
from math import inf

from mangotrail._effects import Outgoing, Timing
from mangotrail._peer import (
    Append,
    AppendReply,
    GroupMember,
    LogEntry,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
)
from mangotrail._replicated_log import Log
from mangotrail.ids import MemberId

# All batches in flight take 140 ms on the 15 Mbit/s link between regions, so
# that replies still arrive within the leader authority of 1 s.
BATCH_BYTES = 64 << 10
BATCHES_IN_FLIGHT = 4
# A chunk takes about 35 ms on the idle link between regions. The interval is
# much longer, so that other traffic does not cause duplicates: the link is
# billed by volume.
CHUNK_RETRY_S = 1.5
# A member counts as caught up if it lags the commit index by no more than this.
CAUGHT_UP_ENTRIES = 64


class Progress:
    """Replication state of one peer.

    :param next_index: index of the next entry to send.
    """

    def __init__(self, *, peer: GroupMember, next_index: int) -> None:
        self.peer = peer
        self.next_index = next_index
        self.match_index = 0
        # One batch at a time until the peer confirms where its log matches.
        self.probing = True
        self.in_flight: deque[int] = deque()
        self.acked_probe_s = -inf
        self.is_leaving = False
        self.sent_s = -inf
        self.snapshot: SnapshotMeta | None = None
        self.offset = 0
        self.chunk_sent_s = -inf

    def accept(self, match_index: int) -> None:
        """Record that the peer holds the log durably up to an index."""
        self.match_index = max(self.match_index, match_index)
        if self.probing and self.in_flight:
            self.next_index = self.in_flight[-1] + 1
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.snapshot and self.match_index >= self.snapshot.index:
            self.snapshot = None

    def reject(self, previous_index: int, hint: int) -> bool:
        """Move back to where the logs may match; False if outdated."""
        if self.snapshot or previous_index <= self.match_index:
            return False
        if self.probing and previous_index != self.next_index - 1:
            return False
        self.next_index = max(
            self.match_index + 1, min(previous_index, hint + 1)
        )
        self.probing = True
        self.in_flight.clear()
        return True

    def start_snapshot(self, meta: SnapshotMeta) -> None:
        """Send a snapshot from its first byte."""
        self.snapshot = meta
        self.offset = 0
        self.chunk_sent_s = -inf
        self.in_flight.clear()


class Replication:
    """Replication of the log by the leader of one term.

    :param own: the leader itself.
    :param term: term in which it leads.
    :param log: its log; no other code replaces entries while it leads.
    :param counters: counters of the member.
    :param now_s: time at which it was elected.
    """

    def __init__(
        self,
        *,
        own: GroupMember,
        term: int,
        log: Log,
        timing: Timing,
        counters: Counter[str],
        now_s: float,
    ) -> None:
        self.own = own
        self.term = term
        self.log = log
        self.timing = timing
        self.elected_s = now_s
        self.counters = counters
        self.peers: dict[MemberId, Progress] = {}
        self.voters: frozenset[MemberId] = frozenset()
        self.peers_config_index = -1
        self.update_peers()

    def update_peers(self) -> None:
        """Add and drop peers after a change of the configuration."""
        if self.peers_config_index == self.log.config_index:
            return
        self.peers_config_index = self.log.config_index
        config = self.log.config
        self.voters = frozenset(voter.member for voter in config.voters)
        configured = {
            peer.member: peer for peer in (*config.voters, *config.learners)
        }
        configured.pop(self.own.member, None)
        for member in set(self.peers) - set(configured):
            del self.peers[member]
        for member, peer in configured.items():
            if member not in self.peers:
                self.peers[member] = Progress(
                    peer=peer, next_index=self.log.last_index + 1
                )

    def quorum_value(self, own: float, values: dict[MemberId, float]) -> float:
        """Return the largest value that a majority of the voters reaches."""
        ranked = sorted(
            (
                own if voter == self.own.member else values[voter]
                for voter in self.voters
            ),
            reverse=True,
        )
        return ranked[len(ranked) // 2]

    def match_index(self, durable_index: int) -> int:
        """Return the last index that is durable on a majority."""
        matches = {
            member: float(peer.match_index)
            for member, peer in self.peers.items()
        }
        return int(self.quorum_value(durable_index, matches))

    def copied_index(self, durable_index: int, copies: int) -> int:
        """Return the last index that is durable on `copies` members."""
        ranked = sorted(
            (
                durable_index,
                *(peer.match_index for peer in self.peers.values()),
            ),
            reverse=True,
        )
        if copies > len(ranked):
            return 0
        return ranked[copies - 1] if copies else self.log.last_index

    def quorum_contact_s(self, now_s: float) -> float:
        """Return the sending time of the last round a majority acknowledged.

        Counting from the sending instead of the arrival of the replies keeps
        slow replies from extending the leader's authority.
        """
        probes = {
            member: peer.acked_probe_s for member, peer in self.peers.items()
        }
        return self.quorum_value(now_s, probes)

    def caught_up(self, commit: int, now_s: float) -> frozenset[MemberId]:
        """Return the members that answer and lag by at most a few entries."""
        recent_s = now_s - self.timing.election_min_s
        return frozenset([
            self.own.member,
            *(
                member
                for member, peer in self.peers.items()
                if peer.acked_probe_s >= recent_s
                and peer.match_index > 0
                and peer.match_index >= commit - CAUGHT_UP_ENTRIES
            ),
        ])

    def on_append_reply(self, reply: AppendReply, now_s: float) -> None:
        """Handle an append reply in the leader's term."""
        peer = self.peers.get(reply.sender)
        if peer is None:
            self.counters['unknown_member'] += 1
        elif reply.probe_s > now_s or reply.match_index > self.log.last_index:
            self.counters['malformed'] += 1
        else:
            peer.acked_probe_s = max(peer.acked_probe_s, reply.probe_s)
            if reply.accepted:
                peer.is_leaving = reply.leaving
                peer.accept(reply.match_index)
            elif not peer.reject(reply.previous_index, reply.match_index):
                self.counters['outdated'] += 1

    def on_snapshot_reply(self, reply: SnapshotReply, now_s: float) -> None:
        """Handle a request for the next chunk."""
        peer = self.peers.get(reply.sender)
        if peer is None or reply.probe_s > now_s:
            self.counters['unknown_member'] += 1
            return
        peer.acked_probe_s = max(peer.acked_probe_s, reply.probe_s)
        wanted = reply.offset > peer.offset or reply.offset == 0
        if peer.snapshot and peer.snapshot.index == reply.index and wanted:
            peer.offset = reply.offset
            peer.chunk_sent_s = -inf
        else:
            self.counters['outdated'] += 1

    def messages(
        self, *, commit: int, snapshot: SnapshotMeta | None, now_s: float
    ) -> Iterator[Outgoing]:
        """Yield the entries, heartbeats and chunks that are due."""
        for peer in self.peers.values():
            behind = peer.next_index <= self.log.base_index
            # A newer snapshot has replaced the file that was being sent.
            replaced = peer.snapshot is not None and peer.snapshot != snapshot
            if snapshot and (replaced or (behind and not peer.snapshot)):
                peer.start_snapshot(snapshot)
            if peer.snapshot:
                yield from self.chunks(peer, commit, now_s)
            else:
                yield from self.appends(peer, commit, now_s)

    def next_due_s(self) -> float:
        """Return when the next heartbeat is due."""
        oldest_s = min(
            (peer.sent_s for peer in self.peers.values()), default=inf
        )
        return oldest_s + self.timing.heartbeat_s

    def append(
        self,
        peer: Progress,
        previous: tuple[int, int],
        entries: tuple[LogEntry, ...],
        commit: int,
        now_s: float,
    ) -> Outgoing:
        """Return an append message and record its sending time."""
        peer.sent_s = now_s
        return Outgoing(
            instance=peer.peer.instance,
            message=Append(
                to=peer.peer.member,
                sender=self.own.member,
                term=self.term,
                instance=self.own.instance,
                previous_index=previous[0],
                previous_term=previous[1],
                commit=commit,
                probe_s=now_s,
                entries=entries,
            ),
        )

    def appends(
        self, peer: Progress, commit: int, now_s: float
    ) -> Iterator[Outgoing]:
        """Yield the batches that fit the window and a due heartbeat."""
        window = 1 if peer.probing else BATCHES_IN_FLIGHT
        while (
            peer.next_index <= self.log.last_index
            and len(peer.in_flight) < window
        ):
            batch = self.batch(peer.next_index)
            previous_index = peer.next_index - 1
            previous_term = self.log.term_at(previous_index) or 0
            peer.in_flight.append(batch[-1].index)
            # A refusal while probing must refer to this batch.
            if not peer.probing:
                peer.next_index = batch[-1].index + 1
            yield self.append(
                peer, (previous_index, previous_term), batch, commit, now_s
            )
        if now_s - peer.sent_s >= self.timing.heartbeat_s:
            previous_index = peer.next_index - 1
            previous_term = self.log.term_at(previous_index) or 0
            yield self.append(
                peer, (previous_index, previous_term), (), commit, now_s
            )

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return at least one entry from an index on, bounded in bytes."""
        size = 0
        chosen: list[LogEntry] = []
        for entry in self.log.slice(first, self.log.last_index):
            size += len(entry.payload)
            if chosen and size > BATCH_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    def chunks(
        self, peer: Progress, commit: int, now_s: float
    ) -> Iterator[Outgoing]:
        """Yield a due chunk, and a heartbeat if one is due between chunks."""
        meta = peer.snapshot
        if meta is None:
            return
        if now_s - peer.chunk_sent_s >= CHUNK_RETRY_S:
            peer.chunk_sent_s = now_s
            yield Outgoing(
                instance=peer.peer.instance,
                message=SnapshotChunk(
                    to=peer.peer.member,
                    sender=self.own.member,
                    term=self.term,
                    instance=self.own.instance,
                    meta=meta,
                    offset=peer.offset,
                    total=0,
                    checksum=0,
                    body=b'',
                    probe_s=now_s,
                ),
            )
        if now_s - peer.sent_s >= self.timing.heartbeat_s:
            yield self.append(peer, (meta.index, meta.term), (), commit, now_s)
