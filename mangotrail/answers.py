"""Answers that are too large for the log, kept for callers and retries."""

from collections import OrderedDict
from dataclasses import dataclass

from mangotrail.clock import Clock
from mangotrail.ids import AccountId, RequestId

# Answers up to this size are part of the finish entry of the log.
MAX_LOGGED_ANSWER_BYTES = 16384

AnswerKey = tuple[AccountId, RequestId]


@dataclass(frozen=True, kw_only=True)
class StoredAnswer:
    """An answer and the age of the clock at which it was kept."""

    body: bytes
    sha256: str
    stored_at_s: float


class AnswerStore:
    """Answers by account and request id, within bounds of bytes and of time.

    :param max_bytes: bound on all answers together.
    :param max_age_s: seconds for which an answer is kept.
    :param clock: source of ages.
    """

    def __init__(
        self, *, max_bytes: int, max_age_s: float, clock: Clock
    ) -> None:
        self.max_bytes = max_bytes
        self.max_age_s = max_age_s
        self.clock = clock
        self.used_bytes = 0
        self.answers: OrderedDict[AnswerKey, StoredAnswer] = OrderedDict()
        self.delivered: set[AnswerKey] = set()

    def put(self, key: AnswerKey, body: bytes, sha256: str) -> bool:
        """Keep an answer and return whether it fits.

        Room is made by dropping delivered answers first, then old ones.
        """
        self.drop(key)
        self.expire()
        if len(body) > self.max_bytes:
            return False
        while self.used_bytes + len(body) > self.max_bytes:
            self.drop(self._next_evicted())
        self.answers[key] = StoredAnswer(
            body=body, sha256=sha256, stored_at_s=self.clock.monotonic_s()
        )
        self.used_bytes += len(body)
        return True

    def get(self, key: AnswerKey) -> StoredAnswer | None:
        """Return an answer that is still kept."""
        self.expire()
        return self.answers.get(key)

    def mark_delivered(self, key: AnswerKey) -> None:
        """Record that the answer has been sent to its caller."""
        if key in self.answers:
            self.delivered.add(key)

    def drop(self, key: AnswerKey) -> None:
        """Forget an answer."""
        self.delivered.discard(key)
        dropped = self.answers.pop(key, None)
        if dropped is not None:
            self.used_bytes -= len(dropped.body)

    def expire(self) -> None:
        """Forget the answers that are over their age."""
        oldest_s = self.clock.monotonic_s() - self.max_age_s
        while self.answers:
            key, kept = next(iter(self.answers.items()))
            if kept.stored_at_s > oldest_s:
                return
            self.drop(key)

    def _next_evicted(self) -> AnswerKey:
        for key in self.answers:
            if key in self.delivered:
                return key
        return next(iter(self.answers))
