"""Limits of settings that their schemas don't state."""

from __future__ import annotations

import re
import socket
from typing import TYPE_CHECKING, Any, Final

from wingfall.settings.fields import HOST_PORT, MAX_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.errors import FieldFault
    from wingfall.settings.document import Document
    from wingfall.settings.nodes import Path

# Limit of a number whose schema has none: its milliseconds fit an integer.
_MAX_NUMBER: Final = 1e12
_ADDRESS: Final = re.compile(HOST_PORT)


def find_value_faults(
    document: Document, schema: dict[str, Any]
) -> list[FieldFault]:
    """Find values that their type allows and nothing can be done with.

    :param document: a settings file.
    :param schema: its schema.
    :returns: the faults.
    """
    return [
        document.fault(path, reason)
        for path, field, given in _list_fields(schema, document.body, ())
        for reason in _find_reasons(field, given)
    ]


def _list_fields(
    schema: dict[str, Any], given: Any, path: Path
) -> Iterator[tuple[Path, dict[str, Any], Any]]:
    if isinstance(given, dict):
        for name, field in schema.get('properties', {}).items():
            yield from _list_fields(field, given.get(name), (*path, name))
    elif isinstance(given, list):
        for index, each in enumerate(given):
            yield from _list_fields(
                schema.get('items', {}), each, (*path, index)
            )
    else:
        yield path, schema, given


def _find_reasons(field: dict[str, Any], given: Any) -> Iterator[str]:
    if _is_beyond_limit(field, given):
        yield f'{given} is greater than the maximum of {_MAX_NUMBER}'
    if _holds_address(field, given) and not _is_address(given):
        yield f'{given!r} is not an IP address with a port'


def _is_beyond_limit(field: dict[str, Any], given: Any) -> bool:
    is_number = isinstance(given, (int, float))
    return field.get('type') == 'number' and is_number and given > _MAX_NUMBER


def _holds_address(field: dict[str, Any], given: Any) -> bool:
    # A text of another form is a fault by the schema.
    return (
        isinstance(given, str)
        and HOST_PORT in field.get('pattern', '')
        and _ADDRESS.match(given) is not None
    )


def _is_address(text: str) -> bool:
    host, _colon, port = text.strip().rpartition(':')
    # More digits than those of a port needn't be read.
    if len(port) > len(str(MAX_PORT)) or int(port) > MAX_PORT:
        return False
    try:
        if ':' in host:
            socket.inet_pton(socket.AF_INET6, host.strip('[]'))
        else:
            socket.inet_aton(host)
    except OSError:
        return False
    return True
