"""``wingfall check``: find all faults of files before they are used."""

from __future__ import annotations

import sys

from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.cmd.gateway_settings import load_gateway_settings
from wingfall.objects.files import read_object_files


def run(*files: str, gateway: str | None = None) -> int:
    """Check files and print a line for each fault.

    :param files: YAML files of request classes, endpoints and customers.
    :param gateway: a gateway's settings file, as the platform has filled it.
    :returns: 0 if all are good, 2 otherwise.
    """
    codes = []
    if gateway is not None:
        codes.append(_check_gateway(gateway))
    if files or gateway is None:
        codes.append(_check_objects(files))
    return max(codes)


def _check_objects(files: tuple[str, ...]) -> int:
    checked = read_object_files(files)
    if not isinstance(checked, Success):
        return print_faults(checked.failure())
    sys.stdout.write(f'{len(checked.unwrap())} objects are valid\n')
    return 0


def _check_gateway(path: str) -> int:
    checked = load_gateway_settings(path)
    if not isinstance(checked, Success):
        return print_faults(checked.failure())
    sys.stdout.write(f'{path}: the settings are valid\n')
    return 0
