"""Speeds of the engines of several pools."""

from __future__ import annotations

import pytest

from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds

PREFILL_TOKENS = 8000


def record_prefills(speeds: EngineSpeeds, engine: str, elapsed_ms: int) -> None:
    """Record enough prefills of an engine for its rate to settle."""
    for _prefill in range(60):
        speeds.note_start(engine, 'pool', PREFILL_TOKENS, elapsed_ms)


def test_engines_have_rates_of_their_own():
    speeds = EngineSpeeds()
    record_prefills(speeds, 'fast', 230)
    record_prefills(speeds, 'slow', 430)
    fast, slow = (speeds.find(each, 'pool') for each in ('fast', 'slow'))
    assert fast.rate.tokens_per_ms == pytest.approx(40, rel=0.02)
    assert slow.rate.tokens_per_ms == pytest.approx(20, rel=0.02)


def test_new_engine_starts_with_its_pool_rate():
    speeds = EngineSpeeds()
    record_prefills(speeds, 'known', 230)
    new = speeds.find('new', 'pool').rate.tokens_per_ms
    assert new == pytest.approx(speeds.pool_rate('pool').tokens_per_ms)
    assert speeds.find('other', 'other pool').rate.tokens_per_ms < new


def test_engines_of_a_pool_share_their_longest_gap():
    speeds = EngineSpeeds()
    speeds.find('one', 'pool').note_longest_gap(200, 50_000)
    assert speeds.find('two', 'pool').full_gap_ms == 200
    assert speeds.find('three', 'other pool').full_gap_ms is None


def test_unlisted_engine_is_removed():
    speeds = EngineSpeeds()
    record_prefills(speeds, 'gone', 430)
    slow = speeds.find('gone', 'pool')
    speeds.retain_only({'other'})
    assert speeds.find('gone', 'pool') is not slow
