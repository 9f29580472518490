"""Tests of the limits of the answer store."""

from mangotrail.answers import AnswerStore
from mangotrail.clock import ManualClock

FIRST, SECOND, THIRD = (('acme', name) for name in ('r1', 'r2', 'r3'))


def make_store(clock: ManualClock) -> AnswerStore:
    """Return a store for two answers of four bytes."""
    return AnswerStore(max_bytes=8, max_age_s=10, clock=clock)


class TestBounds:
    def test_delivered_answer_makes_room_first(self) -> None:
        """Guards against evicting an answer that has not been delivered."""
        store = make_store(ManualClock())
        store.put(FIRST, b'1111', '')
        store.put(SECOND, b'2222', '')
        store.mark_delivered(SECOND)
        store.put(THIRD, b'3333', '')
        assert list(store.answers) == [FIRST, THIRD]
        assert store.used_bytes == 8

    def test_oldest_answer_makes_room_next(self) -> None:
        """Guards against a store that grows without limit."""
        store = make_store(ManualClock())
        for key in (FIRST, SECOND, THIRD):
            assert store.put(key, b'1111', '')
        assert list(store.answers) == [SECOND, THIRD]
        assert not store.put(FIRST, b'123456789', '')
        assert store.used_bytes == 8

    def test_answers_end_with_their_age(self) -> None:
        """Guards against answers that never expire."""
        clock = ManualClock()
        store = make_store(clock)
        store.put(FIRST, b'1111', '')
        clock.advance(6)
        store.put(SECOND, b'2222', '')
        clock.advance(6)
        assert store.get(FIRST) is None
        assert store.get(SECOND) is not None
        assert store.used_bytes == 4

    def test_replaced_answer_counts_once(self) -> None:
        """Guards against counting a replaced answer twice."""
        store = make_store(ManualClock())
        store.put(FIRST, b'1111', '')
        store.put(FIRST, b'11', '')
        assert store.used_bytes == 2
