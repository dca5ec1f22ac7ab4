"""Timing, memory, and the figures of a run."""

from __future__ import annotations

import gc
import pathlib
import statistics
import time
import tracemalloc
from typing import Any, Callable, Final

US_PER_S: Final = 1_000_000
_REPEATS: Final = 5

figures: Final[dict[str, float]] = {}


def note(name: str, figure: float, unit: str) -> None:
    """Print a figure and keep it for the file.

    :param name: what was measured.
    :param figure: how much.
    :param unit: its unit.
    """
    figures[f'{name}, {unit}'] = round(figure, 2)
    print(f'{name:<58} {figure:>12,.2f} {unit}', flush=True)


def time_us(work: Callable[[], Any], times: int) -> float:
    """Time a piece of work.

    :param work: the work.
    :param times: how often a repeat does it.
    :returns: microseconds, the median of some repeats.
    """
    costs = []
    for _repeat in range(_REPEATS):
        started = time.perf_counter()
        for _time in range(times):
            work()
        costs.append((time.perf_counter() - started) / times * US_PER_S)
    return statistics.median(costs)


def memory(make: Callable[[], Any]) -> tuple[int, Any]:
    """Measure what something holds.

    :param make: makes it.
    :returns: traced bytes, and what was made.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def resident_kb() -> int:
    """Read the memory of this process.

    :returns: resident kilobytes.
    """
    status = pathlib.Path('/proc/self/status').read_text()
    line = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(line.split()[1])
