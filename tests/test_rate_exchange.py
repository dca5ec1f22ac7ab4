"""What gateways of several zones believe of engines' rates."""

from __future__ import annotations

import itertools
import random

import pytest

from tests.exchange_site import POOL, TICK_MS, Gateway, Site

LONG = 6000
FAST_MS = 100
BEHIND_OTHERS_MS = 250
TWO_SECONDS = 2000 // TICK_MS
# Bytes of a short name and a number.
ONE_READING_BYTES = 10
# Part by which what two gateways believe may differ.
AGREED = 0.15
# Bytes an engine and second that one gateway hears, and that cross zones.
HEARD_BYTES = 250
CROSSED_BYTES = 1000
ENGINES = tuple(f'i-{number:010x}@1785061641008' for number in range(4))


@pytest.fixture
def site() -> Site:
    """Give three zones of four gateways, all heard once."""
    site = Site({'a': 4, 'b': 4, 'c': 4})
    site.tick(whole=True)
    return site


def read(gateway: Gateway, engine: str, elapsed_ms: float = FAST_MS) -> None:
    """Have a gateway see an engine read a long prompt."""
    gateway.rates.note(engine, POOL, LONG, elapsed_ms)


def read_ten(gateways: list[Gateway], engine: str) -> None:
    """Have an engine read ten long prompts, half of them behind others."""
    senders = itertools.cycle(gateways)
    for _pair in range(5):
        read(next(senders), engine, BEHIND_OTHERS_MS)
        read(next(senders), engine, FAST_MS)


def spread(gateways: list[Gateway], engine: str) -> float:
    """Tell by what part the highest belief is over the lowest."""
    rates = [each.rate(engine) for each in gateways]
    return max(rates) / min(rates) - 1


def play(site: Site, ticks: int) -> None:
    """Let some time pass."""
    for _tick in range(ticks):
        site.tick()


def test_gateways_of_all_zones_agree_after_two_seconds(site: Site):
    read_ten(site.gateways, 'e1')
    assert spread(site.gateways, 'e1') > AGREED
    play(site, TWO_SECONDS)
    assert spread(site.gateways, 'e1') < AGREED
    assert site.gateways[0].rate('e1') == pytest.approx(60)


def test_one_gateway_tells_all_what_it_has_seen(site: Site):
    read_ten(site.gateways[:1], 'e1')
    play(site, TWO_SECONDS)
    assert spread(site.gateways, 'e1') < AGREED


def test_gateway_that_starts_knows_what_its_zone_knows(site: Site):
    known, *_others, new = site.gateways[:4]
    new.alive = False
    read_ten(site.gateways[:3], 'e1')
    read_ten(site.gateways[:3], 'e2')
    play(site, TWO_SECONDS)
    new.alive = True
    site.greet(known, new)
    for engine in ('e1', 'e2'):
        assert spread([known, new], engine) < AGREED


def test_greeting_is_not_relayed(site: Site):
    known, *others = site.gateways[:4]
    read_ten([known], 'e1')
    play(site, TWO_SECONDS)
    site.reading_bytes.clear()
    for each in others:
        site.greet(known, each)
    play(site, 3)
    assert not site.reading_bytes.total()


def test_greeting_is_relayed_no_more_than_the_readings_that_come_with_it(
    site: Site,
):
    relay = site.relay('a')
    other = next(each for each in site.gateways[:4] if each is not relay)
    read(other, 'e1')
    site.greet(other, relay)
    play(site, 2)
    assert site.gateways[-1].rate('e1') == pytest.approx(60)
    # One reading crossed to each of two zones: a name and a number.
    assert site.reading_bytes[True] < ONE_READING_BYTES * 2


def test_zones_cut_apart_learn_by_themselves(site: Site):
    for each in site.gateways[:4]:
        site.cut_off(each)
    read_ten(site.gateways[:4], 'e1')
    for number in range(10):
        read(site.gateways[4 + number % 8], 'e1', 2 * FAST_MS)
    play(site, TWO_SECONDS)
    assert spread(site.gateways[:4], 'e1') < AGREED
    assert spread(site.gateways[4:], 'e1') < AGREED
    assert site.gateways[0].rate('e1') == pytest.approx(60)
    assert site.gateways[-1].rate('e1') == pytest.approx(30)


def test_lost_messages_are_made_up_for_by_the_next_readings(site: Site):
    site.lost_part = 0.3
    for _second in range(3):
        read_ten(site.gateways, 'e1')
        play(site, TWO_SECONDS // 2)
    assert spread(site.gateways, 'e1') < AGREED


def test_relay_that_ends_loses_little(site: Site):
    read_ten(site.gateways[:4], 'e1')
    site.kill(site.relay('a'))
    play(site, 3)
    alive = [each for each in site.gateways if each.alive]
    read_ten(alive, 'e1')
    play(site, TWO_SECONDS)
    assert spread(alive, 'e1') < AGREED


def test_bytes_of_readings_at_three_hundred_gateways_are_few():
    site = Site(dict.fromkeys('abcde', 60))
    site.tick(whole=True)
    site.reading_bytes.clear()
    draw = random.Random(7)
    seconds = 4
    # Each engine reads a long prompt each 100 ms, as fast as it can.
    for _tick in range(seconds * 1000 // TICK_MS):
        for engine in ENGINES:
            read(draw.choice(site.gateways), engine)
        site.tick()
    engine_seconds = seconds * len(ENGINES)
    heard = max(each.heard_bytes for each in site.gateways) / engine_seconds
    crossed = site.reading_bytes[True] / engine_seconds
    assert heard < HEARD_BYTES
    assert crossed < CROSSED_BYTES
