"""Guards against ambiguous files and files that block the start."""

import os
from pathlib import Path

import pytest

from mangotrail._settings import Settings
from mangotrail.documents import decode_document, read_document
from mangotrail.errors import SettingsError


def read(path: Path) -> Settings:
    """Read and decode a file without checks across fields."""
    content = read_document(path, error=SettingsError)
    return decode_document(content, Settings, error=SettingsError)


class TestDocuments:
    """JSON files."""

    @pytest.mark.parametrize(
        ('content', 'failure'),
        [
            (b'{"instance": "a", "instance": "b"}', 'twice'),
            (b'{"schema_version": NaN}', 'NaN'),
            (b'[' * 100000, 'not valid JSON'),
            (b'\xff\xfe{}', 'not valid JSON'),
            (b'{}', 'required field'),
            (b'{}'.rjust((1 << 20) + 1), 'larger than'),
        ],
    )
    def test_refuses_content(
        self, tmp_path: Path, content: bytes, failure: str
    ) -> None:
        """Ambiguous or oversized documents must not be read in part."""
        path = tmp_path / 'settings.json'
        path.write_bytes(content)
        with pytest.raises(SettingsError, match=failure):
            read(path)

    def test_refuses_other_files(self, tmp_path: Path) -> None:
        """Reading a FIFO without a writer would block the start."""
        fifo = tmp_path / 'fifo'
        os.mkfifo(fifo)
        for path in (tmp_path, fifo):
            with pytest.raises(SettingsError, match='regular file'):
                read(path)
