"""``wingfall trace``: what gateways logged of one call."""

from __future__ import annotations

import sys

from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.cmd.log_files import read_log_files
from wingfall.log_trace import trace_call

_EXIT_UNKNOWN = 1


def run(call_id: str, *logs: str) -> int:
    """Print the story of a call in the order of time.

    :param call_id: the id that the caller sent with its request.
    :param logs: log files of one or more gateways.
    :returns: the exit code.
    """
    lines = read_log_files(logs)
    if not isinstance(lines, Success):
        return print_faults(lines.failure())
    story = trace_call(call_id, lines.unwrap())
    for line in story:
        sys.stdout.write(f'{line}\n')
    if not story:
        sys.stderr.write(f'no line of these logs names {call_id}\n')
        return _EXIT_UNKNOWN
    return 0
