"""Checks stored objects against a schema and names the faulty field."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

import fastjsonschema
from returns.result import Failure, Result, Success

from wingfall.errors import ObjectFault

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class SchemaCheck:
    """A schema made ready for many checks: some microseconds each."""

    __slots__ = ('_check',)

    def __init__(self, *, schema: Mapping[str, Any]) -> None:
        """Make a schema ready.

        :param schema: a JSON schema of an object.
        """
        self._check = fastjsonschema.compile(schema, use_default=False)

    def find_fault(self, spec: Any) -> Result[dict[str, Any], ObjectFault]:
        """Check what an object says.

        :param spec: a value as JSON gives it.
        :returns: the value, or the first fault by the field at the top.
        """
        try:
            return Success(self._check(spec))
        except fastjsonschema.JsonSchemaValueException as error:
            return Failure(_describe(error))


def _describe(error: fastjsonschema.JsonSchemaValueException) -> ObjectFault:
    # The library calls the checked value "data", then names the fields.
    path = error.path[1:]
    reason = f'{error.message}: {error.value!r}'
    if path:
        return ObjectFault(field=path[0], reason=reason)
    missing = _missing_fields(error)
    if missing:
        return ObjectFault(field=missing[0], reason='the field is missing')
    return ObjectFault(field='object', reason=reason)


def _missing_fields(
    error: fastjsonschema.JsonSchemaValueException,
) -> list[str]:
    if error.rule != 'required':
        return []
    return [name for name in error.rule_definition if name not in error.value]
