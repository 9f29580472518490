"""Tests the encoding of ids in generated messages."""

import msgspec

from mangotrail._messages import CancelJob, Command
from mangotrail.ids import AccountId, RequestId


class TestIds:
    """Ids inside messages."""

    def test_round_trip(self) -> None:
        """An id that changed on the wire could name another account."""
        body = CancelJob(account=AccountId('a'), request=RequestId('b'))
        command = Command(time_s=1, body=body)
        encoded = msgspec.msgpack.encode(command)
        assert msgspec.msgpack.decode(encoded, type=Command) == command
