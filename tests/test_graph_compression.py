"""Guards against damaged values that end a process or fill its memory."""

import zlib

import msgspec
import pytest

from mangotrail.graphs.compression import MAX_BYTES, compress, decompress

LARGE = msgspec.msgpack.encode({'text': 'abc' * 5_000})


class TestCompression:
    """Compressed values."""

    @pytest.mark.parametrize('encoded', [b'', b'\x80', LARGE])
    def test_round_trip(self, encoded: bytes) -> None:
        """A value is restored, compressed or not."""
        assert decompress(compress(encoded)) == encoded

    def test_smaller(self) -> None:
        """A large value gets smaller."""
        assert len(compress(LARGE)) < len(LARGE) / 10

    @pytest.mark.parametrize(
        'damaged',
        [
            compress(LARGE)[:-9],
            compress(LARGE)[:9],
            b'x%b' % LARGE,
            zlib.compress(bytes(MAX_BYTES + 1)),
        ],
    )
    def test_damaged(self, damaged: bytes) -> None:
        """A damaged, cut off or huge value is an error of its own type."""
        with pytest.raises(msgspec.DecodeError):
            decompress(damaged)
