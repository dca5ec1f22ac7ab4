"""Copying of cached prompt parts between engines."""

from __future__ import annotations

from wingfall.gateway.rules.placement.cache_transfer import (
    cache_transfers,
    copied_tokens,
    copy_from_largest_cache,
    copy_nothing,
)
from wingfall.gateway.rules.placement.candidate import Candidate

SPEEDUP = 30.0


def engine(name: str, tokens: int, **fields: float) -> Candidate:
    """Create an engine that caches some tokens of a prompt."""
    return Candidate(name=name, slots=8, cached_tokens=tokens, **fields)


def test_engine_with_largest_cache_is_copied_from():
    less, most = engine('less', 2000), engine('most', 5000)
    assert copy_from_largest_cache([less, most], SPEEDUP) is most
    assert copied_tokens(less, most) == 3000
    assert copied_tokens(most, most) == 0


def test_less_busy_engine_is_copied_from_if_caches_are_equal():
    busy, idle = engine('busy', 5000, running=4), engine('idle', 5000)
    assert copy_from_largest_cache([busy, idle], SPEEDUP) is idle


def test_slow_link_is_not_used():
    assert copy_from_largest_cache([engine('one', 5000)], 2) is None


def test_few_tokens_are_prefilled_rather_than_copied():
    assert copy_from_largest_cache([engine('one', 300)], SPEEDUP) is None
    assert copied_tokens(engine('two', 4800), engine('one', 5000)) == 0


def test_failing_engine_is_not_copied_from():
    faulty, healthy = (
        engine('failing', 5000, failure_rate=0.5),
        engine('ok', 2000),
    )
    assert copy_from_largest_cache([faulty, healthy], SPEEDUP) is healthy
    assert copy_from_largest_cache([faulty], SPEEDUP) is None


def test_baseline_copies_nothing():
    assert copy_nothing([engine('one', 5000)], SPEEDUP) is None
    assert cache_transfers.names == ['most_kept', 'none']
    assert copied_tokens(engine('one', 0), None) == 0
