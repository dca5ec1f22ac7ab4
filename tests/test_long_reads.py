"""What engines were sent to read lately."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.long_reads import LongReads


def test_reads_fade(clock: ManualClock):
    reads = LongReads(clock=clock)
    reads.note('busy', 3000)
    reads.note('busy', 1000)
    assert reads.tokens('busy') == pytest.approx(4000)
    assert reads.tokens('idle') == pytest.approx(0)
    clock.advance(1000)
    assert reads.tokens('busy') == pytest.approx(2000)


def test_engines_that_left_are_forgotten(clock: ManualClock):
    reads = LongReads(clock=clock)
    reads.note('gone', 3000)
    reads.keep_only({'other'})
    assert reads.tokens('gone') == pytest.approx(0)
