"""Reads the log files that a command names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Result, Success

from wingfall.log_trace import read_lines
from wingfall.settings.text_file import read_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.errors import FieldFault
    from wingfall.log_trace import LogLine

# Limit of one log file.
_MAX_BYTES: Final = 4_294_967_296


def read_log_files(
    paths: Iterable[str],
) -> Result[list[LogLine], list[FieldFault]]:
    """Parse all lines of some files.

    :param paths: the files.
    :returns: the lines in the files' order, or why one can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        text = read_text(path, _MAX_BYTES, is_regular=False)
        if not isinstance(text, Success):
            return text
        lines.extend(read_lines(text.unwrap().splitlines()))
    return Success(lines)
