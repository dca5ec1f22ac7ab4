"""How commands tell the faults of a file."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.errors import FieldFault

EXIT_USAGE: Final = 2


def print_faults(faults: Iterable[FieldFault]) -> int:
    """Print faults to standard error, a line each.

    :param faults: the faults.
    :returns: the exit code for an invalid file.
    """
    for fault in faults:
        sys.stderr.write(f'{fault}\n')
    return EXIT_USAGE
