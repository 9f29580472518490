"""Guards against reference pages that no longer match the code."""

from pathlib import Path

import pytest

from tools.write_docs import DOCS_FOLDER, PAGES


class TestPages:
    """Pages that are written from the code."""

    @pytest.mark.parametrize('name', PAGES)
    def test_is_current(self, name: str) -> None:
        """A stale page misleads; run python -m tools.write_docs."""
        assert DOCS_FOLDER.joinpath(name).read_text() == PAGES[name]()

    def test_explains_every_field(self) -> None:
        """A field without a meaning cannot be set by a newcomer."""
        text = Path('docs/configuration.md').read_text()
        assert not [row for row in text.splitlines() if row.endswith('| - |')]
