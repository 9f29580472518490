"""Log replication on a follower."""

from mangotrail._effects import (
    Role,
    Snapshot,
)
from mangotrail._elections import Elections
from mangotrail._incoming import (
    IncomingSnapshot,
    is_well_formed,
)
from mangotrail._peer import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
from mangotrail._replicated_log import Log


class Follower(Elections):
    """Receives entries and snapshots from the leader of the term."""

    def follow_leader(
        self, message: Append | SnapshotChunk, now_s: float
    ) -> bool:
        """Follow the sender; False if its message must be ignored."""
        if message.term < self.term:
            self.counters['outdated'] += 1
            self.reject(message, 0)
            return False
        if message.term > self.term:
            self.enter_term(message.term, now_s)
        if self.role is Role.LEADER:
            # Two leaders in a term: two processes share an identity.
            self.counters['second_leader'] += 1
            return False
        self.step_down(now_s)
        self.leader = message.sender
        self.leader_contact_s = now_s
        self.leader_instance = message.instance
        self.probe_s = max(message.probe_s, self.probe_s)
        self.heard_term = self.term
        self.heard_s = self.probe_s
        self.reset_deadline(now_s)
        return True

    def on_append(self, message: Append, now_s: float) -> None:
        """Handle entries or a heartbeat."""
        if not is_well_formed(message):
            self.counters['malformed'] += 1
            return
        if not self.follow_leader(message, now_s):
            return
        previous = message.previous_index
        local_term = self.log.term_at(previous)
        if previous >= self.commit and local_term != message.previous_term:
            hint = min(self.log.last_index, previous - 1)
            if local_term is not None:
                hint = self.log.first_index_of_term(previous) - 1
            self.reject(message, max(hint, self.commit))
            return
        for entry in message.entries:
            if entry.index <= self.commit:
                continue
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
                self.writes.truncate(entry.index)
            self.log.append(entry)
        last = previous + len(message.entries)
        self.verified_index = max(self.verified_index, last)
        self.commit = max(self.commit, min(message.commit, last))
        self.acknowledge()

    def acknowledge(self) -> None:
        """Tell the leader how much of its log is durable here."""
        self.send(
            self.leader_instance,
            AppendReply(
                to=self.leader,
                sender=self.member,
                term=self.term,
                accepted=True,
                previous_index=0,
                match_index=min(self.verified_index, self.writes.durable_index),
                probe_s=self.probe_s,
                leaving=self.is_leaving,
            ),
        )

    def reject(self, message: Append | SnapshotChunk, hint: int) -> None:
        """Refuse a message, with a hint up to where the logs may match."""
        previous = (
            message.previous_index
            if isinstance(message, Append)
            else message.meta.index
        )
        self.send(
            message.instance,
            AppendReply(
                to=message.sender,
                sender=self.member,
                term=self.term,
                accepted=False,
                previous_index=previous,
                match_index=hint,
                probe_s=message.probe_s,
            ),
        )

    def on_chunk(self, chunk: SnapshotChunk, now_s: float) -> None:
        """Handle a chunk of a snapshot."""
        if not self.follow_leader(chunk, now_s):
            return
        index = chunk.meta.index
        if index <= self.commit or self.log.term_at(index) == chunk.meta.term:
            # A late chunk must not drop entries acknowledged in the meantime.
            self.verified_index = max(self.verified_index, index)
            self.commit = max(self.commit, index)
            self.acknowledge()
            return
        if self.incoming is None or not self.incoming.matches(chunk):
            self.incoming = IncomingSnapshot(chunk)
        self.incoming.add(chunk)
        offset = len(self.incoming.body)
        if self.incoming.is_complete:
            if self.incoming.is_intact:
                self.install_snapshot(self.incoming)
                return
            self.counters['damaged_snapshot'] += 1
            self.incoming = None
            offset = 0
        self.send(
            chunk.instance,
            SnapshotReply(
                to=chunk.sender,
                sender=self.member,
                term=self.term,
                index=chunk.meta.index,
                offset=offset,
                probe_s=chunk.probe_s,
            ),
        )

    def install_snapshot(self, incoming: IncomingSnapshot) -> None:
        """Replace log and state; acknowledged when the snapshot is durable."""
        meta = incoming.meta
        self.incoming = None
        self.log = Log(base=meta)
        self.snapshot = meta
        self.install = Snapshot(meta=meta, body=bytes(incoming.body))
        self.writes.replace(meta.index)
        self.commit = meta.index
        self.verified_index = meta.index
        self.delivered_index = meta.index
        self.delivered_bytes = 0
        self.snapshot_requested_index = meta.index
