"""Tests of the limit of lines per second."""

from __future__ import annotations

from wingfall.clock import ManualClock
from wingfall.log_limit import LogLimit


def test_lines_beyond_the_limit_are_counted(clock: ManualClock):
    limit = LogLimit(clock=clock, per_second=2)
    assert [limit.admit() for _line in range(5)] == [
        True,
        True,
        False,
        False,
        False,
    ]
    clock.advance(1000)
    assert limit.admit()
    assert limit.take_omitted() == 3
    assert limit.take_omitted() == 0
