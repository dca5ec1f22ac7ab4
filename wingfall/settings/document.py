"""YAML documents checked against a schema, with a line for each fault."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

import fastjsonschema
import yaml
from returns.result import Failure, Result, Success

from wingfall.errors import MISSING_FIELD, FieldFault
from wingfall.settings.nodes import NodeReader, Path

if TYPE_CHECKING:
    from jsonschema import ValidationError

_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@final
class Document:
    """One YAML document and the lines of its fields."""

    __slots__ = ('_lines', 'body', 'source')

    def __init__(
        self,
        *,
        source: str,
        body: Any,
        lines: dict[Path, int],
    ) -> None:
        """Keep a parsed document.

        :param source: name of the file.
        :param body: the plain values of the document.
        :param lines: line of each field, from 1.
        """
        self.source = source
        self.body = body
        self._lines = lines

    def fault(self, path: Path, reason: str) -> FieldFault:
        """Describe a fault at a field.

        :param path: keys and indexes from the top.
        :param reason: what is wrong.
        :returns: the fault with its line.
        """
        return FieldFault(
            source=self.source,
            line=self._line(path),
            field='.'.join(str(step) for step in path),
            reason=reason,
        )

    def check(self, schema: dict[str, Any]) -> list[FieldFault]:
        """Check the document against a schema.

        :param schema: a JSON schema.
        :returns: all faults in the order of their lines.
        """
        if _is_valid(schema, self.body):
            return []
        # The library that finds all faults takes long to load.
        from jsonschema import (  # noqa: PLC0415, WPS433
            Draft202012Validator,
        )

        errors = Draft202012Validator(schema).iter_errors(self.body)
        faults: list[FieldFault] = []
        for error in errors:
            faults.extend(self._describe(error))
        return sorted(faults, key=_by_line)

    def _line(self, path: Path) -> int:
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)

    def _describe(self, error: ValidationError) -> list[FieldFault]:
        path: Path = tuple(error.absolute_path)
        if error.validator == 'additionalProperties':
            known = error.schema.get('properties', {})
            unknown = [key for key in error.instance if key not in known]
            return [
                self.fault((*path, key), 'unknown field') for key in unknown
            ]
        if error.validator == 'required':
            # The library reports each missing field by itself, unnamed.
            return [
                self.fault((*path, name), MISSING_FIELD)
                for name in error.validator_value
                if error.message.startswith(repr(name))
            ]
        return [self.fault(path, error.message)]


def read_documents(
    source: str,
    text: str,
) -> Result[list[Document], list[FieldFault]]:
    """Parse all documents of a YAML text.

    :param source: name of the file, for faults.
    :param text: the text.
    :returns: the documents that are not empty, or the faults.
    """
    try:
        nodes = list(yaml.compose_all(text, Loader=_Loader))
    except Exception as error:  # Those of the parser aren't all YAML errors.
        return Failure([_syntax_fault(source, error)])
    reader = NodeReader(source=source)
    documents: list[Document] = []
    for node in filter(None, nodes):
        lines: dict[Path, int] = {}
        body = reader.read(node, lines)
        documents.append(Document(source=source, body=body, lines=lines))
    if reader.faults:
        return Failure(reader.faults)
    return Success(documents)


def _is_valid(schema: dict[str, Any], body: Any) -> bool:
    check = fastjsonschema.compile(schema, use_default=False)
    try:
        check(body)
    except fastjsonschema.JsonSchemaValueException:
        return False
    return True


def _by_line(fault: FieldFault) -> int:
    return fault.line


def _syntax_fault(source: str, error: Exception) -> FieldFault:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 1
    reason = getattr(error, 'problem', None) or 'not valid YAML'
    return FieldFault(source=source, line=line, field='', reason=str(reason))
