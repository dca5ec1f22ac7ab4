"""How commands tell the faults of a file."""

from __future__ import annotations

import sys
from io import UnsupportedOperation
from typing import TYPE_CHECKING, Final

from wingfall.log import log_event
from wingfall.polled_output import PolledOutput

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.errors import FieldFault

# Exit codes beside that of a planned stop, 0.
EXIT_FAULT: Final = 1
EXIT_USAGE: Final = 2


def print_faults(faults: Iterable[FieldFault]) -> int:
    """Print faults to standard error, a line each.

    :param faults: the faults.
    :returns: the exit code for an invalid file.
    """
    if sys.stderr is None:
        return EXIT_USAGE
    try:
        sys.stderr.writelines(f'{fault}\n' for fault in faults)
    except OSError as error:
        # The interpreter would try again as it exits, and change the code.
        sys.stderr = None
        log_event('command', 'Faults can not be printed.', error=str(error))
    return EXIT_USAGE


def print_start_faults(faults: Iterable[FieldFault]) -> int:
    """Print faults to standard error, as far as it takes them at once.

    A reader that is gone or stands still must not hold up a start.

    :param faults: the faults.
    :returns: the exit code for an invalid file.
    """
    if sys.stderr is None:
        return EXIT_USAGE
    try:
        descriptor = sys.stderr.fileno()
    except UnsupportedOperation:  # It is no file.
        return print_faults(faults)
    lines = [f'{fault}\n' for fault in faults]
    output = PolledOutput(descriptor=descriptor)
    if not output.write_text(''.join(lines)):
        log_event('command', 'Faults can not be printed.', faults=lines)
    return EXIT_USAGE
