"""``wingfall losses``: which calls were not in time, and why."""

from __future__ import annotations

import collections
import sys
from typing import TYPE_CHECKING

from returns.result import Success

from wingfall.cmd.faults import print_faults
from wingfall.cmd.log_files import read_log_files
from wingfall.log_losses import find_losses

if TYPE_CHECKING:
    from wingfall.log_losses import Loss

_EXIT_UNKNOWN = 1
_HEADER = 'calls share reason (busiest seconds, an id)'


def run(*logs: str) -> int:
    """Print for each route how its calls ended.

    :param logs: log files of one or more gateways.
    :returns: the exit code.
    """
    lines = read_log_files(logs)
    if not isinstance(lines, Success):
        return print_faults(lines.failure())
    losses = find_losses(lines.unwrap())
    if not losses:
        sys.stderr.write('these logs tell of no call that ended\n')
        return _EXIT_UNKNOWN
    _print_table(losses)
    return 0


def _print_table(losses: list[Loss]) -> None:
    totals: collections.Counter[str] = collections.Counter()
    for loss in losses:
        totals[loss.route] += len(loss.calls)
    sys.stdout.write(f'{_HEADER}\n')
    route = None
    for loss in losses:
        if loss.route != route:
            route = loss.route
            sys.stdout.write(f'{route or "no route"}: {totals[route]} calls\n')
        count = len(loss.calls)
        share = count / totals[loss.route]
        sys.stdout.write(
            f'{count:7} {share:.3f} {loss.reason}'
            f' ({loss.busiest}, {loss.calls[0]})\n',
        )
