"""``make settings``: docs/SETTINGS.md, made from the schemas."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING, Any, Final

from wingfall.settings.gateway_schema import GATEWAY_SCHEMA
from wingfall.settings.schema import AGENT_SCHEMA, ROUTER_SCHEMA

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE: Final = pathlib.Path('docs/SETTINGS.md')
_PROGRAMS: Final = (
    ('Router', ROUTER_SCHEMA),
    ('Agent', AGENT_SCHEMA),
    ('Gateway', GATEWAY_SCHEMA),
)


def render() -> str:
    """Write the page.

    :returns: its text in Markdown.
    """
    lines = [
        '# Settings',
        '',
        'Made by `make settings` from the schemas in `wingfall/settings/`.',
    ]
    for title, schema in _PROGRAMS:
        lines.extend(
            (
                '',
                f'## {title}',
                '',
                '| field | bounds | default | meaning |',
                '|---|---|---|---|',
                *_rows(schema, ''),
            )
        )
    return '\n'.join((*lines, ''))


def _rows(schema: dict[str, Any], prefix: str) -> Iterator[str]:
    for name, field in schema['properties'].items():
        if field.get('type') == 'object':
            yield from _rows(field, f'{prefix}{name}.')
            continue
        default = field.get('default', 'required')
        yield (
            f'| `{prefix}{name}` | {_bounds(field)} | `{default}` '
            f'| {field["description"]} |'
        )


def _bounds(field: dict[str, Any]) -> str:
    if 'enum' in field:
        return ', '.join(field['enum'])
    if 'minimum' in field:
        return f'{field["minimum"]} to {field.get("maximum", "any")}'
    return str(field['type'])


def main() -> int:
    """Write the page to its file.

    :returns: the exit code.
    """
    PAGE.write_text(render(), 'utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())
