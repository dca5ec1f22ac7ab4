"""``wingfall apply``: create or replace the objects of files."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter
from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.cmd.operator import open_platform, refuse, report
from wingfall.object_api.edit import apply_object
from wingfall.objects.files import read_object_files

# The option is named as in the usual tools.
Files = Annotated[list[str], Parameter(name=['-f', '--file'])]


def run(
    *,
    file: Files,  # noqa: WPS110
    platform: str | None = None,
) -> int:
    """Create or replace the objects of files.

    All files are checked first; with a fault in any, nothing is sent.

    :param file: YAML files.
    :param platform: base URL of the platform.
    :returns: the exit code.
    """
    checked = read_object_files(file)
    if not isinstance(checked, Success):
        return print_faults(checked.failure())
    opened = open_platform(platform)
    if not isinstance(opened, Success):
        return refuse(opened.failure())
    codes = [
        report(
            f'{raw["kind"]} {raw["metadata"]["name"]}',
            apply_object(opened.unwrap(), raw),
        )
        for raw in checked.unwrap()
    ]
    return max(codes, default=0)
