"""Guards against reference pages that do not match the code."""

from pathlib import Path

import pytest

from tools.write_docs import DOCS_FOLDER, PAGES


class TestPages:
    """Pages that are written from the code."""

    @pytest.mark.parametrize('name', PAGES)
    def test_is_current(self, name: str) -> None:
        """A stale page misleads; run ``python -m tools.write_docs``."""
        assert DOCS_FOLDER.joinpath(name).read_text() == PAGES[name]()

    def test_explains_every_field(self) -> None:
        """Nobody can set a field that has no description."""
        text = Path('docs/configuration.md').read_text()
        assert not [row for row in text.splitlines() if row.endswith('| - |')]
