"""From the platform's JSON objects to typed ones."""

from __future__ import annotations

from typing import Any, Callable, Final, TypeAlias

from jsonschema import Draft202012Validator
from returns.result import Failure, Result

from wingfall.objects.customer import Customer, parse_customer
from wingfall.objects.endpoint import Endpoint, parse_endpoint
from wingfall.objects.request_class import RequestClass, parse_request_class
from wingfall.objects.schema import OBJECT_SCHEMAS

ConfigObject: TypeAlias = RequestClass | Endpoint | Customer

_PARSERS: Final[dict[str, Callable[..., Result[Any, str]]]] = {
    'RequestClass': parse_request_class,
    'Endpoint': parse_endpoint,
    'Customer': parse_customer,
}
_VALIDATORS: Final = {
    kind: Draft202012Validator(schema)
    for kind, schema in OBJECT_SCHEMAS.items()
}


def is_config_kind(kind: str) -> bool:
    """Tell whether objects of a kind are configuration.

    :param kind: the kind.
    :returns: whether :func:`parse_object` knows it.
    """
    return kind in _PARSERS


def parse_object(raw: dict[str, Any]) -> Result[ConfigObject, str]:
    """Check an object and make it typed.

    :param raw: the object as JSON.
    :returns: the typed object, or the first thing that is wrong with it.
    """
    kind = raw.get('kind', '')
    if kind not in _PARSERS:
        known = ', '.join(sorted(_PARSERS))
        return Failure(f'kind: unknown kind {kind!r}; known: {known}')
    for error in _VALIDATORS[kind].iter_errors(raw):
        field = '.'.join(str(step) for step in error.absolute_path)
        return Failure(f'{field}: {error.message}')
    metadata = raw['metadata']
    return _PARSERS[kind](
        metadata['name'],
        metadata.get('labels', {}),
        raw['spec'],
    )
