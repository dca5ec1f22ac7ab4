"""``wingfall get``: print objects as YAML."""

from __future__ import annotations

import sys

import yaml
from returns.result import Success

from wingfall.cmd.operator import EXIT_DONE, open_platform, refuse


def run(
    kind: str | None = None,
    name: str | None = None,
    *,
    platform: str | None = None,
) -> int:
    """Print objects as YAML.

    :param kind: only objects of this kind.
    :param name: only the object of this name.
    :param platform: base URL of the platform.
    :returns: the exit code.
    """
    opened = open_platform(platform)
    if not isinstance(opened, Success):
        return refuse(opened.failure())
    listed = opened.unwrap().list_objects()
    if not isinstance(listed, Success):
        return refuse(f'the list was not read: {listed.failure()}')
    found = [
        raw
        for raw in listed.unwrap().objects
        if kind in {None, raw['kind']}
        and name in {None, raw['metadata']['name']}
    ]
    if name is not None and not found:
        return refuse(f'{kind} {name} does not exist')
    yaml.safe_dump_all(found, sys.stdout, sort_keys=False)
    return EXIT_DONE
