"""Generates the reference pages in docs/ from the code.

Run as ``python -m tools.write_docs`` from the root of the repository.
"""

import json
import re
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

from mangotrail import errors, metrics
from mangotrail.cli import COMMANDS, load_command
from mangotrail.commands import EXIT_MEANINGS, command_help, exit_code
from mangotrail.metrics import catalogue

DOCS_FOLDER = Path('docs')
PACKAGE_FOLDER = Path('mangotrail')
SCHEMA_FOLDER = PACKAGE_FOLDER / 'schema'
NOTICE = '<!-- Written by python -m tools.write_docs; do not edit. -->'
CONFIGURATION = (
    (
        'settings',
        'Settings',
        (
            'Settings of one instance. Both processes read the same file. '
            'The rules across fields are in `mangotrail/settings.py`; '
            '`mangotrail check-settings` applies them.'
        ),
    ),
    (
        'settings',
        'Credentials',
        (
            'Bearer tokens. The file must have mode 0600, each token at least '
            '16 characters, and no token may occur twice.'
        ),
    ),
    (
        'bundle',
        'Bundle',
        (
            'The versioned configuration that operators write, sign and roll '
            'out. All names are unique within their kind.'
        ),
    ),
)


def metrics_page() -> str:
    """Return the page of all metrics."""
    sent = _sent_metrics()
    header = ('name', 'type', 'unit', 'label', 'meaning')
    rows = {
        metric.name: (
            f'`{metric.name}{".LABEL" if metric.label else ""}`',
            type(metric).__name__.lower(),
            metric.unit.value,
            metric.label.value or '-',
            metric.meaning,
        )
        for metric in catalogue()
    }
    parts = [
        'Metrics are sent over UDP in the statsd format if `statsd` is set, '
        'at most once a second, under `mangotrail.PROCESS.INSTANCE`. Counters '
        'are summed and gauges overwritten between two sendings. In labels, '
        'characters other than letters, digits, `-` and `_` become `_`.',
        _table(header, [row for name, row in rows.items() if name in sent]),
    ]
    unsent = [row for name, row in rows.items() if name not in sent]
    if unsent:
        parts.extend((
            '## Declared but not sent',
            'No process sends these yet.',
            _table(header, unsent),
        ))
    return _page('Metrics', *parts)


def errors_page() -> str:
    """Return the page of all error codes."""
    rows = [
        (
            f'`{kind.code}`',
            str(int(kind.status)),
            'yes' if kind.not_run else 'no',
            str(exit_code(kind('')).value),
            (kind.__doc__ or '').strip().splitlines()[0],
        )
        for kind in _error_types()
    ]
    return _page(
        'Errors',
        'Each error reply is `{"error": {"code", "message", "field", "value", '
        '"allowed", "remedy", "not_run"}}`. The field at fault, the rejected '
        'value, the allowed range and the remedy are empty where they do not '
        'apply.',
        '`not_run` is true only if it is proven that no part of the request '
        'ran. A request with any other error may have run: send it again with '
        'the same request id or operation id, and it joins the first one.',
        _table(('code', 'status', 'not run', 'exit code', 'meaning'), rows),
    )


def configuration_page() -> str:
    """Return the page of settings, credentials and bundles."""
    parts = [
        'All three are JSON files of at most 1 MiB in UTF-8. Unknown fields, '
        'duplicate keys and other versions than `schema_version` 1 are '
        'refused. Every error names the field with its path, the value, the '
        'allowed range and a remedy.'
    ]
    shown: set[tuple[str, str]] = set()
    for schema, name, introduction in CONFIGURATION:
        definitions = _definitions(schema)
        parts.extend((f'## {name}', introduction))
        parts.append(_fields_table(definitions, name))
        for used in _referenced_objects(definitions, name):
            if (schema, used) not in shown:
                shown.add((schema, used))
                parts.extend(_definition_section(definitions, used))
    return _page('Configuration', *parts)


def cli_page() -> str:
    """Return the page of all commands."""
    codes = [
        (str(code.value), meaning) for code, meaning in EXIT_MEANINGS.items()
    ]
    parts = [
        '`mangotrail COMMAND [flags] [arguments]`, or `python -m mangotrail`. '
        'Commands print tables, or JSON with `--json`. Errors go to standard '
        'error.',
        '`MANGOTRAIL_SERVER` and `MANGOTRAIL_CREDENTIALS` set the defaults of '
        '`--server` and `--credentials`. With several servers, a request goes '
        'to the next one if the last one did not answer; its id makes it take '
        'effect once.',
        'Commands that change something print their operation id before they '
        'send it. If the outcome is unknown (exit code 6), run the same '
        'command again with `--operation` and that id: it takes effect once.',
        '## Exit codes',
        _table(('code', 'meaning'), codes),
    ]
    for name in COMMANDS:
        text = command_help(load_command(name))
        parts.extend((f'## {name}', f'```\n{text}\n```'))
    return _page('Commands', *parts)


PAGES: dict[str, Callable[[], str]] = {
    'metrics.md': metrics_page,
    'errors.md': errors_page,
    'configuration.md': configuration_page,
    'cli.md': cli_page,
}


def main() -> None:
    """Write every page."""
    for name, page in PAGES.items():
        DOCS_FOLDER.joinpath(name).write_text(page())


def _sent_metrics() -> set[str]:
    """Return the names of the metrics that a process sends."""
    sources = '\n'.join(
        path.read_text()
        for path in sorted(PACKAGE_FOLDER.glob('*.py'))
        if path.name != Path(metrics.__file__).name
    )
    used = set(
        re.findall(r'metrics\.(?:count|put|time)\(\s*([A-Z_]+)', sources)
    )
    # Counted by the metrics client itself when it drops timings.
    used.add('TIMINGS_DROPPED')
    return {
        declared.name
        for constant, declared in vars(metrics).items()
        if constant in used
    }


def _error_types() -> Iterator[type[errors.MangotrailError]]:
    for kind in vars(errors).values():
        if isinstance(kind, type) and issubclass(kind, errors.MangotrailError):
            yield kind


def _definitions(schema: str) -> dict[str, Any]:
    text = SCHEMA_FOLDER.joinpath(f'{schema}.json').read_text()
    definitions: dict[str, Any] = json.loads(text)['$defs']
    return definitions


def _referenced_objects(definitions: dict[str, Any], name: str) -> list[str]:
    """Return the objects that an object refers to, transitively, in order."""
    found: list[str] = []
    for field in definitions[name].get('properties', {}).values():
        reference = _reference(field)
        if reference and 'properties' in definitions[reference]:
            for used in (
                reference,
                *_referenced_objects(definitions, reference),
            ):
                if used not in found:
                    found.append(used)
    return found


def _reference(field: dict[str, Any]) -> str | None:
    for part in (field, field.get('items', {}), *field.get('anyOf', ())):
        if '$ref' in part:
            return str(part['$ref']).rpartition('/')[2]
    return None


def _definition_section(
    definitions: dict[str, Any], name: str
) -> Iterator[str]:
    yield f'### {name}'
    description = definitions[name].get('description')
    if description:
        yield description
    yield _fields_table(definitions, name)


def _fields_table(definitions: dict[str, Any], name: str) -> str:
    rows = [
        (
            f'`{field}`',
            _allowed(definitions, part),
            f'`{json.dumps(part["default"])}`' if 'default' in part else '-',
            part.get('description', '-'),
        )
        for field, part in _fields(definitions, name)
    ]
    return _table(('field', 'allowed', 'default', 'meaning'), rows)


def _fields(
    definitions: dict[str, Any], name: str
) -> Iterable[tuple[str, dict[str, Any]]]:
    fields: dict[str, dict[str, Any]] = definitions[name]['properties']
    return fields.items()


def _allowed(definitions: dict[str, Any], part: dict[str, Any]) -> str:
    reference = _reference(part)
    if 'anyOf' in part:
        return f'{reference} or null'
    if reference and '$ref' in part:
        values = definitions[reference].get('enum')
        return (
            ', '.join(f'`{value}`' for value in values or ()) or f'{reference}'
        )
    kind = part['type']
    if kind == 'array':
        item_type = reference or 'text'
        return f'{part.get("minItems", 0)} to {part["maxItems"]} {item_type}'
    if kind == 'integer':
        return f'{part["minimum"]} to {part["maximum"]}'
    if kind == 'string' and 'maxLength' in part:
        return f'text, {part.get("minLength", 0)} to {part["maxLength"]} characters'
    if isinstance(kind, list):
        return ' or '.join(kind).replace('string', 'text')
    return {'boolean': 'true or false', 'object': 'name to token'}.get(
        kind, 'text'
    )


def _table(header: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [header, tuple('---' for _ in header), *rows]
    return '\n'.join(
        f'| {" | ".join(cell.replace("|", "or") for cell in line)} |'
        for line in lines
    )


def _page(title: str, *parts: str) -> str:
    return '\n\n'.join((NOTICE, f'# {title}', *parts, ''))[:-1]


if __name__ == '__main__':
    main()
