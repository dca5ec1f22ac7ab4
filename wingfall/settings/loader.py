"""Reading settings files into namespaces with the defaults filled in."""

from __future__ import annotations

from operator import attrgetter
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from wingfall.errors import FieldFault
from wingfall.settings.absent_values import drop_absent
from wingfall.settings.document import read_documents
from wingfall.settings.text_file import MAX_SETTINGS_BYTES, read_text
from wingfall.settings.values import find_value_faults


def load_settings(
    path: str,
    schema: dict[str, Any],
) -> Result[SimpleNamespace, list[FieldFault]]:
    """Read and check a settings file.

    :param path: the file.
    :param schema: its schema, see :mod:`wingfall.settings.schema`.
    :returns: a namespace a section, or all faults of the file.
    """
    return read_text(path, MAX_SETTINGS_BYTES, is_regular=True).bind(
        lambda text: parse_settings(path, text, schema),
    )


def parse_settings(
    source: str,
    text: str,
    schema: dict[str, Any],
) -> Result[SimpleNamespace, list[FieldFault]]:
    """Check the text of a settings file.

    :param source: name of the file, for faults.
    :param text: its text.
    :param schema: its schema.
    :returns: a namespace a section and the ``absent_fields`` that had no value,
        or all faults of the text.
    """
    parsed = read_documents(source, text)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    documents = parsed.unwrap()
    if len(documents) != 1:
        reason = f'one document is expected, found {len(documents)}'
        return Failure([_whole_fault(source, reason)])
    document = documents[0]
    body, absent = drop_absent(schema, document.body)
    document.body = body
    faults = document.check(schema) + find_value_faults(document, schema)
    if faults:
        return Failure(sorted(faults, key=attrgetter('line')))
    settings = _fill(schema, body)
    settings.absent_fields = absent
    return Success(settings)


def parse_address(text: str) -> SimpleNamespace:
    """Split an address.

    :param text: ``host:port``.
    :returns: a namespace with ``host`` and ``port``.
    """
    host, _colon, port = text.rpartition(':')
    return SimpleNamespace(host=host.strip('[]'), port=int(port))


def _whole_fault(source: str, reason: str) -> FieldFault:
    return FieldFault(source=source, line=1, field='', reason=reason)


def _fill(schema: dict[str, Any], body: dict[str, Any]) -> SimpleNamespace:
    filled: dict[str, Any] = {}
    for name, field in schema['properties'].items():
        if field.get('type') == 'object':
            filled[name] = _fill(field, body.get(name, {}))
            continue
        found = body.get(name, field.get('default'))
        # A schema takes 1.0 for an integer; a socket doesn't take it as port.
        filled[name] = int(found) if field.get('type') == 'integer' else found
    return SimpleNamespace(**filled)
