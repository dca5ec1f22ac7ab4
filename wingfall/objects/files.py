"""Object files: YAML documents of the kinds that operators write."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from wingfall.objects.parser import is_config_kind, parse_object
from wingfall.objects.schema import OBJECT_SCHEMAS
from wingfall.settings.document import read_documents
from wingfall.settings.text_file import MAX_OBJECTS_BYTES, read_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.errors import FieldFault
    from wingfall.settings.document import Document


def read_object_files(
    paths: Iterable[str],
) -> Result[list[dict[str, Any]], list[FieldFault]]:
    """Read and check object files.

    :param paths: the files.
    :returns: all objects as JSON values, or all faults of all files.
    """
    raws: list[dict[str, Any]] = []
    faults: list[FieldFault] = []
    for path in paths:
        parsed = _read_documents(path)
        if not isinstance(parsed, Success):
            faults.extend(parsed.failure())
            continue
        for document in parsed.unwrap():
            raws.append(document.body)
            faults.extend(_check(document))
    if faults:
        return Failure(faults)
    return Success(raws)


def _read_documents(path: str) -> Result[list[Document], list[FieldFault]]:
    # A command may get its objects by a pipe.
    return read_text(path, MAX_OBJECTS_BYTES, is_regular=False).bind(
        lambda text: read_documents(path, text),
    )


def _check(document: Document) -> list[FieldFault]:
    raw = document.body
    kind = raw.get('kind') if isinstance(raw, dict) else None
    if not (isinstance(kind, str) and is_config_kind(kind)):
        known = ', '.join(sorted(OBJECT_SCHEMAS))
        return [document.fault(('kind',), f'not one of {known}')]
    faults = document.check(OBJECT_SCHEMAS[kind])
    if faults:
        return faults
    parsed = parse_object(raw)
    if isinstance(parsed, Success):
        return []
    field, _colon, reason = parsed.failure().partition(': ')
    return [document.fault(tuple(field.split('.')), reason)]
