"""``wingfall delete``: delete an object."""

from __future__ import annotations

from returns.result import Success

from wingfall.cmd.operator import open_platform, refuse, report
from wingfall.object_api.edit import delete_object


def run(kind: str, name: str, *, platform: str | None = None) -> int:
    """Delete an object.

    :param kind: its kind.
    :param name: its name.
    :param platform: base URL of the platform.
    :returns: the exit code.
    """
    opened = open_platform(platform)
    if not isinstance(opened, Success):
        return refuse(opened.failure())
    outcome = delete_object(opened.unwrap(), kind, name)
    return report(f'{kind} {name}', outcome)
