"""Prefill rates of engines that gateways share."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.engine_speed import (
    INITIAL_TOKENS_PER_MS,
    MAX_TOKENS_PER_MS,
)
from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds, OwnRates
from wingfall.gateway.knowledge.shared_rates import SharedRates
from wingfall.gateway.peers.loads.load_entries import Activity, note_activity

POOL = 'pool'
LONG_TOKENS = 6000
SHORT_TOKENS = 600
FAST_MS = 100
SLOW_MS = 300
# Time after the last sample at which an unlisted engine is removed.
EXPIRY_MS = 11_000


@pytest.fixture
def rates(manual_clock: ManualClock) -> SharedRates:
    """Return rates without samples."""
    return SharedRates(clock=manual_clock)


@pytest.fixture
def manual_clock() -> ManualClock:
    """Return a clock that the test advances."""
    return ManualClock(start_ms=1000)


def rate_of(rates: SharedRates | OwnRates, engine: str) -> float:
    """Return the estimated rate of an engine."""
    return rates.find(engine, POOL).tokens_per_ms


def test_engines_have_rates_of_their_own(rates: SharedRates):
    rates.note('fast', POOL, LONG_TOKENS, FAST_MS)
    rates.note('slow', POOL, LONG_TOKENS, SLOW_MS)
    assert rate_of(rates, 'fast') == 60
    assert rate_of(rates, 'slow') == 20


def test_engine_without_samples_has_the_median_of_its_pool(rates: SharedRates):
    assert rate_of(rates, 'new') == INITIAL_TOKENS_PER_MS
    for engine, elapsed_ms in (('a', 100), ('b', 120), ('c', 300)):
        rates.note(engine, POOL, LONG_TOKENS, elapsed_ms)
    assert rate_of(rates, 'new') == 50
    assert rates.pool_rate(POOL).tokens_per_ms == 50
    assert (
        rates.find('other', 'other pool').tokens_per_ms == INITIAL_TOKENS_PER_MS
    )


def test_pending_tokens_are_excluded_from_samples(
    rates: SharedRates,
):
    speeds = EngineSpeeds(rates=rates)
    for _sample in range(4):
        speeds.note_start('e', POOL, 0, 50)
    # Nearly all pending tokens had their prefill when the prompt arrived.
    speeds.note_start(
        'e', POOL, 2 * LONG_TOKENS, FAST_MS + 52, waiting=LONG_TOKENS
    )
    assert rate_of(rates, 'e') == pytest.approx(60, rel=0.05)
    speeds.note_start(
        'f', POOL, LONG_TOKENS + SHORT_TOKENS, FAST_MS + 50, waiting=LONG_TOKENS
    )
    assert not rates.find('f', POOL).window.rate


def test_sample_behind_many_tokens_only_raises_the_rate(
    rates: SharedRates,
):
    rates.note('e', POOL, LONG_TOKENS, SLOW_MS)
    rates.note('e', POOL, 3 * LONG_TOKENS, 5 * SLOW_MS, waiting=2 * LONG_TOKENS)
    assert rate_of(rates, 'e') == 20
    # A single such sample may stem from an unexpectedly cached part.
    rates.note('e', POOL, 3 * LONG_TOKENS, FAST_MS, waiting=2 * LONG_TOKENS)
    assert rate_of(rates, 'e') == 20
    rates.note('e', POOL, 3 * LONG_TOKENS, FAST_MS, waiting=2 * LONG_TOKENS)
    assert rate_of(rates, 'e') == 60


def test_own_rates_ignore_prompts_behind_many_tokens():
    rates = OwnRates()
    rates.note('e', POOL, 3 * LONG_TOKENS, FAST_MS, waiting=2 * LONG_TOKENS)
    assert rate_of(rates, 'e') == INITIAL_TOKENS_PER_MS
    rates.note('e', POOL, 2 * LONG_TOKENS, FAST_MS, waiting=LONG_TOKENS)
    assert rate_of(rates, 'e') > INITIAL_TOKENS_PER_MS


def test_short_or_instant_prefills_are_ignored(rates: SharedRates):
    rates.note('e', POOL, SHORT_TOKENS, 1)
    rates.note('e', POOL, LONG_TOKENS, 0)
    assert rate_of(rates, 'e') == INITIAL_TOKENS_PER_MS
    assert not rates.take_unreported()


def test_extreme_samples_are_bounded(rates: SharedRates):
    rates.note('e', POOL, LONG_TOKENS, 0.1)
    rates.merge_reported('e', POOL, [10**9])
    assert rate_of(rates, 'e') == MAX_TOKENS_PER_MS


def test_reported_samples_count_like_own_samples(
    rates: SharedRates, manual_clock: ManualClock
):
    other = SharedRates(clock=manual_clock)
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    for engine, *reported in rates.take_unreported():
        other.merge_reported(engine, POOL, reported)
    assert rate_of(other, 'e') == rate_of(rates, 'e')
    # Reported samples are neither resent nor relayed.
    assert not rates.take_unreported()
    assert not other.take_unreported()


def test_number_of_reported_samples_is_limited(rates: SharedRates):
    for _sample in range(30):
        rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    ((_engine, *reported),) = rates.take_unreported()
    assert len(reported) == 4
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    assert not rates.take_unreported()


def test_started_gateway_uses_estimated_rates_of_peers(
    rates: SharedRates, manual_clock: ManualClock
):
    new = SharedRates(clock=manual_clock)
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    encoded = rates.encode_all()
    for engine, *reported in encoded * 60:
        new.merge_reported(engine, POOL, reported)
    assert rate_of(new, 'e') == 60
    # An estimated rate counts as one sample, however many gateways send it.
    for _sample in range(5):
        new.note('e', POOL, LONG_TOKENS, SLOW_MS)
    assert rate_of(new, 'e') == 20


def test_estimated_rates_of_peers_do_not_replace_samples(
    rates: SharedRates, manual_clock: ManualClock
):
    other = SharedRates(clock=manual_clock)
    other.note('e', POOL, LONG_TOKENS, SLOW_MS)
    for _sample in range(16):
        rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    for engine, *reported in other.encode_all() * 60:
        rates.merge_reported(engine, POOL, reported)
    assert rate_of(rates, 'e') == 60


def test_rates_received_before_the_engine_list_are_retained(rates: SharedRates):
    speeds = EngineSpeeds(rates=rates)
    rate_before_listing = speeds.find('e', '').rate
    rates.merge_reported('e', '', [-600])
    speeds.retain_only(set())
    assert rate_before_listing.tokens_per_ms == 60
    assert speeds.find('e', POOL).rate.tokens_per_ms == 60
    assert speeds.pool_rate(POOL).tokens_per_ms == 60


def test_reported_samples_are_retained_until_the_engine_is_listed(
    rates: SharedRates, manual_clock: ManualClock
):
    knowledge = EndpointKnowledge(clock=manual_clock, rates=rates)
    reported = Activity(readings=[['e', -600], ['f', 200, 210]])
    note_activity(reported, knowledge)
    knowledge.forget_departed()
    assert rate_of(rates, 'e') == 60
    assert rate_of(rates, 'f') == 20


def test_engine_known_before_it_is_listed_is_updated_by_samples(
    rates: SharedRates,
):
    speeds = EngineSpeeds(rates=rates)
    rate_before_listing = speeds.find('e', '')
    speeds.note_start('e', POOL, LONG_TOKENS, 130)
    assert rate_before_listing.rate.tokens_per_ms == 60


def test_unlisted_engine_is_removed_after_its_samples_expire(
    rates: SharedRates, manual_clock: ManualClock
):
    rates.note('gone', POOL, LONG_TOKENS, FAST_MS)
    rates.retain_only({'other'})
    assert rates.pool_rate(POOL).tokens_per_ms == INITIAL_TOKENS_PER_MS
    assert not rates.take_unreported()
    manual_clock.advance(EXPIRY_MS)
    rates.retain_only({'other'})
    assert not rates.encode_all()


def test_restarted_engine_counts_as_a_new_engine(rates: SharedRates):
    rates.note('i-1@1', POOL, LONG_TOKENS, SLOW_MS)
    rates.note('i-2@1', POOL, LONG_TOKENS, FAST_MS)
    rates.note('i-3@1', POOL, LONG_TOKENS, FAST_MS)
    rates.retain_only({'i-1@2', 'i-2@1', 'i-3@1'})
    assert rate_of(rates, 'i-1@2') == 60


def test_fixed_overhead_is_measured_by_short_prefills(rates: SharedRates):
    speeds = EngineSpeeds(rates=rates)
    assert rates.fixed_overhead_ms(POOL) is None
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    # Each has 10 ms of its own prefill; the last two waited for others.
    for elapsed_ms in (52, 50, 51, 54, 300, 400):
        speeds.note_start('e', POOL, SHORT_TOKENS, elapsed_ms)
    assert rates.fixed_overhead_ms(POOL) == 41
    assert rates.fixed_overhead_ms('other pool') is None


def test_fixed_overhead_is_excluded_from_samples(rates: SharedRates):
    speeds = EngineSpeeds(rates=rates)
    for _sample in range(4):
        speeds.note_start('e', POOL, 0, 50)
    speeds.note_start('e', POOL, LONG_TOKENS, FAST_MS + 50)
    assert rate_of(rates, 'e') == 60


def test_unexpectedly_cached_prompt_is_no_sample(rates: SharedRates):
    speeds = EngineSpeeds(rates=rates)
    for _sample in range(4):
        speeds.note_start('e', POOL, 0, 50)
    speeds.note_start('e', POOL, LONG_TOKENS, 45)
    assert rate_of(rates, 'e') == INITIAL_TOKENS_PER_MS


def test_own_rates_are_neither_reported_nor_merged():
    rates = OwnRates()
    rates.note('e', POOL, LONG_TOKENS, FAST_MS)
    before = rates.find('e', POOL).tokens_per_ms
    rates.merge_reported('e', POOL, [600, -600])
    rates.note_short_prefill('e', POOL, SHORT_TOKENS, FAST_MS)
    assert rates.find('e', POOL).tokens_per_ms == before
    assert rates.fixed_overhead_ms(POOL) is None
    assert not rates.take_unreported()
    assert not rates.encode_all()


def test_look_creates_no_entry(manual_clock: ManualClock):
    for rates in (OwnRates(), SharedRates(clock=manual_clock)):
        assert rates.look('new', POOL).tokens_per_ms == INITIAL_TOKENS_PER_MS
        rates.note('e', POOL, LONG_TOKENS, FAST_MS)
        seen = rates.find('e', POOL).tokens_per_ms
        assert rates.look('e', POOL).tokens_per_ms == seen
        assert rates.look('new', POOL).tokens_per_ms == seen
