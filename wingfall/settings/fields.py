"""The kinds of field that settings schemas are made of."""

from __future__ import annotations

from typing import Any, Final

MAX_PORT: Final = 65535
HOST_PORT: Final = r'^[0-9A-Fa-f.:\[\]]+:\d+$'

LOG_LEVEL: Final = {
    'type': 'string',
    'enum': ['debug', 'info', 'warning', 'error'],
    'default': 'info',
    'description': 'Lowest level that is logged.',
}


def number(default: int, low: int, high: int, about: str) -> dict[str, Any]:
    """Describe a whole number.

    :param default: taken when the field is left out.
    :param low: least value.
    :param high: largest value.
    :param about: what it means, for the reference.
    :returns: its schema.
    """
    return {
        'type': 'integer',
        'minimum': low,
        'maximum': high,
        'default': default,
        'description': about,
    }


def text(about: str, default: str | None = None) -> dict[str, Any]:
    """Describe a text that isn't empty.

    :param about: what it means, for the reference.
    :param default: taken when the field is left out, None to require it.
    :returns: its schema.
    """
    schema: dict[str, Any] = {
        'type': 'string',
        'minLength': 1,
        'description': about,
    }
    if default is not None:
        schema['default'] = default
    return schema


def section(about: str, **properties: Any) -> dict[str, Any]:
    """Describe a section; fields without a default are required.

    :param about: what it means, for the reference.
    :param properties: its fields.
    :returns: its schema.
    """
    required = [
        name
        for name, field in properties.items()
        if 'default' not in field and field.get('type') != 'object'
    ]
    nested = [
        name
        for name, field in properties.items()
        if field.get('type') == 'object' and field['required']
    ]
    return {
        'type': 'object',
        'description': about,
        'additionalProperties': False,
        'properties': properties,
        'required': required + nested,
    }


def address(about: str) -> dict[str, Any]:
    """Describe an address to listen on.

    :param about: what it means, for the reference.
    :returns: its schema.
    """
    return section(
        about,
        host=text('IP number to listen on.'),
        port=number(0, 0, MAX_PORT, 'Port; 0 takes a free one.'),
    )


def host_port(about: str) -> dict[str, Any]:
    """Describe an address in one text.

    :param about: what it means, for the reference.
    :returns: its schema.
    """
    return {**text(about), 'pattern': HOST_PORT}
