"""Text files that are read whole, up to a limit."""

from __future__ import annotations

import os
import stat
from typing import Final

from returns.result import Failure, Result, Success

from wingfall.errors import FieldFault

# Limit of a settings file, which is read while calls are served.
MAX_SETTINGS_BYTES: Final = 262_144
# Limit of a file of objects.
MAX_OBJECTS_BYTES: Final = 67_108_864
# Bytes of one read.
_READ_BYTES: Final = 1_048_576


def read_text(
    path: str, max_bytes: int, *, is_regular: bool
) -> Result[str, list[FieldFault]]:
    """Read a text file.

    :param path: the file.
    :param max_bytes: limit of its length.
    :param is_regular: whether it must be a regular file; anything else may
        block its reader for good.
    :returns: its text, or the fault that it can't be read.
    """
    try:
        found = _read_bytes(path, max_bytes + 1, is_regular=is_regular)
    except (OSError, ValueError) as error:
        return _refuse(path, getattr(error, 'strerror', None) or str(error))
    if found is None:
        return _refuse(path, 'not a regular file')
    if len(found) > max_bytes:
        return _refuse(path, f'more than {max_bytes} bytes')
    try:
        return Success(found.decode())
    except UnicodeDecodeError:
        return _refuse(path, 'not UTF-8 text')


def _read_bytes(path: str, count: int, *, is_regular: bool) -> bytes | None:
    flags = os.O_RDONLY | os.O_CLOEXEC
    if is_regular:
        flags |= os.O_NONBLOCK
    descriptor = os.open(path, flags)
    try:
        if is_regular and not stat.S_ISREG(os.fstat(descriptor).st_mode):
            return None
        return _read_up_to(descriptor, count)
    finally:
        os.close(descriptor)


def _read_up_to(descriptor: int, count: int) -> bytes:
    pieces: list[bytes] = []
    while count > 0:
        piece = os.read(descriptor, min(count, _READ_BYTES))
        if not piece:
            break
        pieces.append(piece)
        count -= len(piece)
    return b''.join(pieces)


def _refuse(path: str, reason: str) -> Result[str, list[FieldFault]]:
    fault = FieldFault(
        source=path, line=1, field='', reason=f"can't be read: {reason}"
    )
    return Failure([fault])
