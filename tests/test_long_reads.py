"""Decaying sums of long prefills sent to engines."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.long_reads import LongPrefills


def test_prefill_tokens_decay(clock: ManualClock):
    prefills = LongPrefills(clock=clock)
    prefills.note('busy', 3000)
    prefills.note('busy', 1000)
    assert prefills.tokens('busy') == pytest.approx(4000)
    assert prefills.tokens('idle') == pytest.approx(0)
    clock.advance(1000)
    assert prefills.tokens('busy') == pytest.approx(2000)


def test_prefills_of_unlisted_engines_are_removed(clock: ManualClock):
    prefills = LongPrefills(clock=clock)
    prefills.note('gone', 3000)
    prefills.retain_only({'other'})
    assert prefills.tokens('gone') == pytest.approx(0)
