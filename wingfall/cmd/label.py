"""``wingfall label``: change the labels of an object."""

from __future__ import annotations

from typing import Any

from returns.result import Failure, Result, Success

from wingfall.cmd.faults import EXIT_USAGE
from wingfall.cmd.operator import open_platform, refuse, report
from wingfall.object_api.edit import edit_object
from wingfall.objects.selector import parse_labels


def run(
    kind: str,
    name: str,
    *changes: str,
    platform: str | None = None,
) -> int:
    """Set labels by ``key=value`` and take them away by ``key-``.

    :param kind: kind of the object.
    :param name: its name.
    :param changes: the changes.
    :param platform: base URL of the platform.
    :returns: the exit code.
    """
    parsed = _parse(changes)
    if not isinstance(parsed, Success):
        refuse(parsed.failure())
        return EXIT_USAGE
    opened = open_platform(platform)
    if not isinstance(opened, Success):
        return refuse(opened.failure())
    outcome = edit_object(
        opened.unwrap(),
        kind,
        name,
        lambda held: _relabel(held, parsed.unwrap()),
    )
    return report(f'{kind} {name}', outcome)


def _parse(changes: tuple[str, ...]) -> Result[dict[str, str | None], str]:
    if not changes:
        return Failure('give key=value to set a label, key- to take it away')
    wanted: dict[str, str | None] = {}
    for change in changes:
        if change.endswith('-') and '=' not in change:
            wanted[change.removesuffix('-')] = None
            continue
        labels = parse_labels(change)
        if not isinstance(labels, Success):
            return Failure(labels.failure())
        wanted.update(labels.unwrap())
    return Success(wanted)


def _relabel(
    held: dict[str, Any],
    wanted: dict[str, str | None],
) -> dict[str, Any]:
    merged = {**held['metadata'].get('labels', {}), **wanted}
    labels = {key: word for key, word in merged.items() if word is not None}
    return {**held, 'metadata': {**held['metadata'], 'labels': labels}}
