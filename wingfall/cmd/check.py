"""``wingfall check``: find all faults of object files."""

from __future__ import annotations

import sys

from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.objects.files import read_object_files


def run(*files: str) -> int:
    """Check object files and print a line for each fault.

    :param files: YAML files of request classes, endpoints and customers.
    :returns: 0 if all are good, 2 otherwise.
    """
    checked = read_object_files(files)
    if not isinstance(checked, Success):
        return print_faults(checked.failure())
    sys.stdout.write(f'{len(checked.unwrap())} objects are valid\n')
    return 0
