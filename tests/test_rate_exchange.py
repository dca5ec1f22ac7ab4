"""Exchange of estimated prefill rates between gateways of several zones."""

from __future__ import annotations

import itertools
import random

import pytest

from tests.exchange_site import POOL, TICK_MS, Gateway, Site

LONG_PROMPT_TOKENS = 6000
PREFILL_MS = 100
QUEUED_PREFILL_MS = 250
TWO_SECONDS_TICKS = 2000 // TICK_MS
# Bytes of a short name and a number.
SAMPLE_BYTES = 10
# Maximum relative difference between the estimates of two gateways.
MAX_SPREAD = 0.15
# Maximum bytes per engine and second that one gateway receives, and that cross
# zones.
MAX_RECEIVED_BYTES = 250
MAX_CROSS_ZONE_BYTES = 1000
ENGINES = tuple(f'i-{number:010x}@1785061641008' for number in range(4))


@pytest.fixture
def site() -> Site:
    """Return three zones of four gateways after one full exchange."""
    site = Site({'a': 4, 'b': 4, 'c': 4})
    site.tick(whole=True)
    return site


def record_prefill(
    gateway: Gateway, engine: str, elapsed_ms: float = PREFILL_MS
) -> None:
    """Record a long prefill that a gateway measures at an engine."""
    gateway.rates.note(engine, POOL, LONG_PROMPT_TOKENS, elapsed_ms)


def record_ten_prefills(gateways: list[Gateway], engine: str) -> None:
    """Record ten long prefills at an engine, half of them queued."""
    senders = itertools.cycle(gateways)
    for _pair in range(5):
        record_prefill(next(senders), engine, QUEUED_PREFILL_MS)
        record_prefill(next(senders), engine, PREFILL_MS)


def spread(gateways: list[Gateway], engine: str) -> float:
    """Return the relative difference of highest and lowest estimate."""
    rates = [each.rate(engine) for each in gateways]
    return max(rates) / min(rates) - 1


def run_ticks(site: Site, ticks: int) -> None:
    """Run some heartbeat intervals."""
    for _tick in range(ticks):
        site.tick()


def test_gateways_of_all_zones_agree_after_two_seconds(site: Site):
    record_ten_prefills(site.gateways, 'e1')
    assert spread(site.gateways, 'e1') > MAX_SPREAD
    run_ticks(site, TWO_SECONDS_TICKS)
    assert spread(site.gateways, 'e1') < MAX_SPREAD
    assert site.gateways[0].rate('e1') == pytest.approx(60)


def test_samples_of_one_gateway_reach_all_gateways(site: Site):
    record_ten_prefills(site.gateways[:1], 'e1')
    run_ticks(site, TWO_SECONDS_TICKS)
    assert spread(site.gateways, 'e1') < MAX_SPREAD


def test_new_gateway_gets_the_rates_of_its_zone(site: Site):
    known, *_others, new = site.gateways[:4]
    new.alive = False
    record_ten_prefills(site.gateways[:3], 'e1')
    record_ten_prefills(site.gateways[:3], 'e2')
    run_ticks(site, TWO_SECONDS_TICKS)
    new.alive = True
    site.greet(known, new)
    for engine in ('e1', 'e2'):
        assert spread([known, new], engine) < MAX_SPREAD


def test_greeting_is_not_relayed(site: Site):
    known, *others = site.gateways[:4]
    record_ten_prefills([known], 'e1')
    run_ticks(site, TWO_SECONDS_TICKS)
    site.reading_bytes.clear()
    for each in others:
        site.greet(known, each)
    run_ticks(site, 3)
    assert not site.reading_bytes.total()


def test_greeting_adds_nothing_to_the_relayed_samples(
    site: Site,
):
    relay = site.relay('a')
    other = next(each for each in site.gateways[:4] if each is not relay)
    record_prefill(other, 'e1')
    site.greet(other, relay)
    run_ticks(site, 2)
    assert site.gateways[-1].rate('e1') == pytest.approx(60)
    # One sample, a name and a number, crossed to each of two zones.
    assert site.reading_bytes[True] < SAMPLE_BYTES * 2


def test_isolated_zones_estimate_rates_separately(site: Site):
    for each in site.gateways[:4]:
        site.cut_off(each)
    record_ten_prefills(site.gateways[:4], 'e1')
    for number in range(10):
        record_prefill(site.gateways[4 + number % 8], 'e1', 2 * PREFILL_MS)
    run_ticks(site, TWO_SECONDS_TICKS)
    assert spread(site.gateways[:4], 'e1') < MAX_SPREAD
    assert spread(site.gateways[4:], 'e1') < MAX_SPREAD
    assert site.gateways[0].rate('e1') == pytest.approx(60)
    assert site.gateways[-1].rate('e1') == pytest.approx(30)


def test_next_samples_compensate_for_lost_messages(site: Site):
    site.loss_ratio = 0.3
    for _second in range(3):
        record_ten_prefills(site.gateways, 'e1')
        run_ticks(site, TWO_SECONDS_TICKS // 2)
    assert spread(site.gateways, 'e1') < MAX_SPREAD


def test_relay_that_ends_loses_little(site: Site):
    record_ten_prefills(site.gateways[:4], 'e1')
    site.kill(site.relay('a'))
    run_ticks(site, 3)
    alive = [each for each in site.gateways if each.alive]
    record_ten_prefills(alive, 'e1')
    run_ticks(site, TWO_SECONDS_TICKS)
    assert spread(alive, 'e1') < MAX_SPREAD


def test_sample_traffic_of_three_hundred_gateways_is_small():
    site = Site(dict.fromkeys('abcde', 60))
    site.tick(whole=True)
    site.reading_bytes.clear()
    generator = random.Random(7)
    seconds = 4
    # Each engine prefills a long prompt each 100 ms, at its full rate.
    for _tick in range(seconds * 1000 // TICK_MS):
        for engine in ENGINES:
            record_prefill(generator.choice(site.gateways), engine)
        site.tick()
    engine_seconds = seconds * len(ENGINES)
    received = (
        max(each.received_bytes for each in site.gateways) / engine_seconds
    )
    crossed = site.reading_bytes[True] / engine_seconds
    assert received < MAX_RECEIVED_BYTES
    assert crossed < MAX_CROSS_ZONE_BYTES
