"""JSON documents that people write, decoded with errors that name a field."""

import json
import os
import re
import stat
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from mangotrail.errors import InvalidInputError

MAX_BYTES = 1 << 20
PRIVATE_MODE = 0o600
# Ids become URL path segments, file names and metric names.
NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]*')
NAME_ALLOWED = 'letters, digits, ".", "_" and "-", first a letter or digit'

_PATH_SEGMENT = re.compile(r'\.([^.\[\]]+)|\[(\d+)\]')
_LOCATION = re.compile(r'^(.*?)(?: - at (?:`key` in )?`\$(.*)`)?$', re.DOTALL)
_NAMED_FIELD = re.compile('(unknown|required) field `(.*)`$')
_HIDDEN = '(not shown)'
_MISSING = object()

Decoded = TypeVar('Decoded')
ErrorType = type[InvalidInputError]


def read_document(
    path: Path, *, error: ErrorType, private: bool = False
) -> bytes:
    """Read a regular file of at most 1 MiB.

    :param path: file to read.
    :param error: type of the errors raised.
    :param private: whether the mode of the file must be 0600.
    :raises InvalidInputError: of the given type.
    """
    try:
        # A FIFO without a writer would block the start without O_NONBLOCK.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as failure:
        raise error(
            f'File {path} cannot be opened: {failure.strerror}.',
            field='path',
            value=path,
            allowed='a readable regular file',
            remedy='Correct the path or the permissions.',
        ) from failure
    try:
        _check_file(path, os.fstat(descriptor), error=error, private=private)
        with open(descriptor, 'rb', closefd=False) as source:
            content = source.read(MAX_BYTES + 1)
    finally:
        os.close(descriptor)
    check_size(content, error=error)
    return content


def check_size(content: bytes, *, error: ErrorType) -> None:
    """Refuse a document that is over 1 MiB.

    :raises InvalidInputError: of the given type.
    """
    if len(content) > MAX_BYTES:
        raise error(
            f'The document is larger than {MAX_BYTES} bytes.',
            field='$',
            value=f'{len(content)} bytes or more',
            allowed=f'at most {MAX_BYTES} bytes',
            remedy='Shorten the document.',
        )


def decode_document(
    content: bytes,
    kind: type[Decoded],
    *,
    error: ErrorType,
    secret: bool = False,
) -> Decoded:
    """Decode JSON strictly: no duplicate keys, no unknown fields, no NaN.

    :param content: the JSON text in UTF-8.
    :param kind: generated type to decode.
    :param error: type of the errors raised.
    :param secret: whether errors must not show values.
    :raises InvalidInputError: of the given type.
    """
    check_size(content, error=error)
    raw = parse_json(content, error=error)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as failure:
        raise _validation_error(
            str(failure), raw, kind, error=error, secret=secret
        ) from failure


def check_name(name: str, *, field: str, error: ErrorType) -> None:
    """Refuse an id that cannot stand in a URL, a file or a metric name.

    :raises InvalidInputError: of the given type.
    """
    if not NAME_PATTERN.fullmatch(name):
        raise error(
            f'{field} is not a usable name.',
            field=field,
            value=name,
            allowed=NAME_ALLOWED,
            remedy='Choose another name.',
        )


def check_unique(names: dict[str, str], *, what: str, error: ErrorType) -> None:
    """Refuse a name that stands in two places.

    :param names: field path to name.
    :raises InvalidInputError: of the given type.
    """
    first_places: dict[str, str] = {}
    for place, name in names.items():
        first = first_places.setdefault(name, place)
        if first != place:
            raise error(
                f'{what} {name} is already named at {first}.',
                field=place,
                value=name,
                allowed=f'each {what} once',
                remedy='Remove or rename one of the two.',
            )


def _check_file(
    path: Path, status: os.stat_result, *, error: ErrorType, private: bool
) -> None:
    if not stat.S_ISREG(status.st_mode):
        raise error(
            f'{path} is not a regular file.',
            field='path',
            value=path,
            allowed='a regular file',
            remedy='Name a regular file.',
        )
    mode = stat.S_IMODE(status.st_mode)
    if private and mode != PRIVATE_MODE:
        raise error(
            f'File {path} can be used by others: its mode is {mode:04o}.',
            field='mode',
            value=f'{mode:04o}',
            allowed=f'{PRIVATE_MODE:04o}',
            remedy=f'Run: chmod 600 {path}',
        )


def parse_json(content: bytes, *, error: ErrorType, field: str = '$') -> Any:
    """Parse JSON strictly: no duplicate keys, no NaN.

    :param content: the JSON text in UTF-8.
    :param error: type of the errors raised.
    :param field: name of the document in errors.
    :raises InvalidInputError: of the given type.
    """
    try:
        document = json.loads(
            content.decode(),
            object_pairs_hook=_object_without_duplicates,
            parse_constant=_refuse_constant,
        )
        # An escaped lone surrogate is no text that could be sent on.
        json.dumps(document, ensure_ascii=False).encode()
        return document
    except (ValueError, RecursionError) as failure:
        raise error(
            f'The document is not valid JSON: {failure}.',
            field=field,
            value=str(failure),
            allowed='one JSON object in UTF-8, each key once',
            remedy='Correct the document at the named place.',
        ) from failure


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    decoded: dict[str, Any] = {}
    for key, value in pairs:
        if key in decoded:
            raise ValueError(f'key {key!r} stands twice in one object')
        decoded[key] = value
    return decoded


def _refuse_constant(constant: str) -> Any:
    raise ValueError(f'{constant} is not a JSON number')


def _validation_error(
    text: str, raw: Any, kind: type, *, error: ErrorType, secret: bool
) -> InvalidInputError:
    located = _LOCATION.match(text)
    message, path = located.groups() if located else (text, None)
    path = path or ''
    allowed = _describe_allowed(kind, path)
    remedy = 'Correct the value.'
    named = _NAMED_FIELD.search(message)
    if named:
        path = f'{path}.{named.group(2)}'
        unknown = named.group(1) == 'unknown'
        remedy = 'Remove the field.' if unknown else 'Add the field.'
        allowed = allowed if unknown else _describe_allowed(kind, path)
    value = _look_up(raw, path)
    if value is _MISSING:
        value = '(absent)'
    elif secret or isinstance(value, dict | list):
        value = _HIDDEN
    field = path.removeprefix('.') or '$'
    return error(
        f'{field}: {message}.',
        field=field,
        value=value,
        allowed=allowed,
        remedy=remedy,
    )


def _path_segments(path: str) -> list[str | int]:
    return [
        name or int(index)
        for name, index in _PATH_SEGMENT.findall(path)
    ]  # fmt: skip


def _look_up(raw: Any, path: str) -> Any:
    for step in _path_segments(path):
        try:
            raw = raw[step]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return raw


def _describe_allowed(kind: type, path: str) -> str:
    # Loaded for an error only, because it costs resident memory.
    from msgspec import inspect

    node: Any = inspect.type_info(kind)
    for step in _path_segments(path):
        node = _without_metadata(node)
        if isinstance(step, int):
            node = getattr(node, 'item_type', None)
        else:
            fields = getattr(node, 'fields', ())
            matches = [one for one in fields if one.encode_name == step]
            node = matches[0].type if matches else None
    return _describe_type(_without_metadata(node))


def _without_metadata(node: Any) -> Any:
    while type(node).__name__ == 'Metadata':
        node = node.type
    if type(node).__name__ == 'UnionType':
        return _without_metadata(node.types[0])
    return node


def _describe_type(node: Any) -> str:
    name = type(node).__name__
    if name == 'IntType':
        return f'a whole number from {node.ge} to {node.le}'
    if name == 'StrType':
        longest = node.max_length or 'any number of'
        return f'text of {node.min_length or 0} to {longest} characters'
    if name == 'EnumType':
        members = ', '.join(member.value for member in node.cls)
        return f'one of {members}'
    if name == 'StructType':
        names = ', '.join(one.encode_name for one in node.fields)
        return f'an object with {names}'
    if name == 'BoolType':
        return 'true or false'
    if name in {'ListType', 'CollectionType'}:
        return f'a list of {node.min_length or 0} to {node.max_length} items'
    return 'an object of texts' if name == 'DictType' else 'see the schema'
