"""Opens standard input and outputs that a process was started without.

A socket or file that is opened later would take the place of a closed one, and
get what libraries write to it.
"""

from __future__ import annotations

import os
import sys
from typing import Final

_INPUT: Final = 0
_OUTPUT: Final = 1
_ERRORS: Final = 2


def open_standard_streams() -> None:
    """Open the null device in place of each closed standard stream."""
    # In ascending order, since the lowest free descriptor is taken.
    for descriptor in (_INPUT, _OUTPUT, _ERRORS):
        if not _is_open(descriptor):
            _open_null()
    if sys.stdout is None:
        sys.stdout = os.fdopen(_OUTPUT, 'w', closefd=False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(_ERRORS, 'w', closefd=False)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _open_null() -> None:
    try:
        os.open(os.devnull, os.O_RDWR)
    except OSError:
        # Writing to it fails, which is all that is needed of it.
        os.open('/', os.O_RDONLY)
