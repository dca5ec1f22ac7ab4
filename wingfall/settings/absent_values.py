"""Fields that a settings file names without a value.

A template that is filled by a platform has such fields where the platform has
no value. They count as left out.
"""

from __future__ import annotations

from typing import Any


def drop_absent(schema: dict[str, Any], body: Any) -> tuple[Any, list[str]]:
    """Remove the fields without a value.

    :param schema: the schema of the fields.
    :param body: the values of a document; what is no mapping stays as it is.
    :returns: the values that are left, and the dotted paths of the others.
    """
    if not isinstance(body, dict):
        return body, []
    kept: dict[Any, Any] = {}
    absent: list[str] = []
    for name, found in body.items():
        field = schema['properties'].get(name)
        if field is None:
            # An unknown field is reported by the check of the schema.
            kept[name] = found
        elif found is None:
            absent.append(str(name))
        elif field.get('type') == 'object':
            left, inner = drop_absent(field, found)
            kept[name] = left
            absent.extend(f'{name}.{each}' for each in inner)
        else:
            kept[name] = found
    return kept, absent
