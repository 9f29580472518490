"""Plain text tables for the command line."""

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

# Wide enough for a whole digest, which operators copy.
MAX_WIDTH = 64
MAX_INLINE_FIELDS = 4
TIME_FIELDS = frozenset(('written_s', 'in_force_s', 'changed_s'))


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Format rows as aligned columns, one per key.

    :param rows: entries of a view; missing keys are shown as ``-``.
    """
    if not rows:
        return '(none)'
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [[_heading(name) for name in names]]
    lines.extend(
        [_named_cell(name, row.get(name)) for name in names] for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    ]
    return '  '.join(cells).rstrip()


def _heading(name: str) -> str:
    if name in TIME_FIELDS:
        name = f'{name.removesuffix("_s")} (UTC)'
    return name.replace('_', ' ').upper()


def _named_cell(name: str, value: Any) -> str:
    if name not in TIME_FIELDS or not isinstance(value, int | float):
        return _cell(value)
    if not value:
        return '-'
    return f'{datetime.fromtimestamp(value, UTC):%Y-%m-%d %H:%M:%S}'


def _cell(value: Any) -> str:
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'.rstrip('0').rstrip('.')
    if isinstance(value, dict):
        if len(value) > MAX_INLINE_FIELDS:
            return f'({len(value)} fields)'
        return '/'.join(map(_cell, value.values()))
    if isinstance(value, list):
        text = ', '.join(map(_cell, value))
        return text if len(text) <= MAX_WIDTH else f'({len(value)} items)'
    # Some texts come from callers, and control characters in them could
    # manipulate the operator's terminal.
    text = ''.join(
        letter if letter.isprintable() else '?' for letter in str(value)
    )
    return text if len(text) <= MAX_WIDTH else f'{text[: MAX_WIDTH - 3]}...'
