"""``wingfall trace``: what gateways logged of one call."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.log_trace import read_lines, trace_call
from wingfall.settings.loader import read_text

if TYPE_CHECKING:
    from wingfall.log_trace import LogLine

_EXIT_UNKNOWN = 1


def run(call_id: str, *logs: str) -> int:
    """Print the story of a call in the order of time.

    :param call_id: the id that the caller sent with its request.
    :param logs: log files of one or more gateways.
    :returns: the exit code.
    """
    lines: list[LogLine] = []
    for path in logs:
        text = read_text(path)
        if not isinstance(text, Success):
            return print_faults(text.failure())
        lines.extend(read_lines(text.unwrap().splitlines()))
    story = trace_call(call_id, lines)
    for line in story:
        sys.stdout.write(f'{line}\n')
    if not story:
        sys.stderr.write(f'no line of these logs names {call_id}\n')
        return _EXIT_UNKNOWN
    return 0
