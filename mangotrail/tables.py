"""Plain text tables for people."""

from collections.abc import Mapping, Sequence
from typing import Any

MAX_WIDTH = 48


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return aligned columns, one for each key that occurs in the rows.

    :param rows: entries of a view; missing keys are shown as ``-``.
    """
    if not rows:
        return '(none)'
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [[name.upper() for name in names]]
    lines.extend([_cell(row.get(name)) for name in names] for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = [
        cell.ljust(width) for cell, width in zip(line, widths, strict=True)
    ]
    return '  '.join(cells).rstrip()


def _cell(value: Any) -> str:
    if value is None or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'.rstrip('0').rstrip('.')
    if isinstance(value, dict):
        return f'({len(value)} fields)'
    if isinstance(value, list):
        text = ', '.join(map(_cell, value))
        return text if len(text) <= MAX_WIDTH else f'({len(value)} items)'
    # Callers choose some of these texts; control characters would move the
    # cursor of the operator's terminal.
    text = ''.join(
        letter if letter.isprintable() else '?' for letter in str(value)
    )
    return text if len(text) <= MAX_WIDTH else f'{text[: MAX_WIDTH - 3]}...'
