"""What engines show of their reading and of their pauses."""

from __future__ import annotations

import math

import pytest

from wingfall.gateway.knowledge.engine_speed import (
    EngineSpeed,
    LongestGap,
    ReadRate,
    late_chance,
)

SATURATED = 50_000


def test_rate_is_learned_from_long_reads_only():
    rate = ReadRate()
    first = rate.tokens_per_ms
    rate.note(100, 1)
    assert math.isclose(rate.tokens_per_ms, first)
    for _read in range(60):
        rate.note(40_000, 1000)
    assert 39 < round(rate.tokens_per_ms) <= 40


def seen(*pauses: tuple[int, int]) -> EngineSpeed:
    """Make an engine that reads 40 tokens a ms and has shown pauses."""
    speed = EngineSpeed(tokens_per_ms=40)
    for gap_ms, reading_tokens in pauses:
        speed.note_longest_gap(gap_ms, reading_tokens)
    return speed


def test_longest_pause_is_that_of_streams_beside_much_more():
    assert seen().full_gap_ms is None
    assert seen((100, 4000)).full_gap_ms is None
    assert seen((200, SATURATED)).full_gap_ms == 200


def test_longer_pauses_count_sooner_than_shorter_ones():
    longer = seen((200, SATURATED), (300, SATURATED)).full_gap_ms
    shorter = seen((300, SATURATED), (200, SATURATED)).full_gap_ms
    assert longer == pytest.approx(230)
    assert shorter == pytest.approx(298)


def test_engines_of_a_pool_share_the_longest_pause():
    longest_gap = LongestGap()
    EngineSpeed(longest_gap=longest_gap).note_longest_gap(200, SATURATED)
    assert EngineSpeed(longest_gap=longest_gap).full_gap_ms == 200


def test_read_takes_a_share_of_the_room_between_events():
    speed = seen((200, SATURATED))
    room_ms = 200 - speed.idle_gap_ms
    assert speed.held_up_share(room_ms * 40, 200) == pytest.approx(1)
    assert speed.held_up_share(room_ms * 10, 200) == pytest.approx(1 / 4)


def test_reads_are_harmless_far_below_what_a_stream_bears():
    assert seen((200, SATURATED)).held_up_share(SATURATED, 600) == 0
    assert seen().held_up_share(SATURATED, 600) > 0


@pytest.mark.parametrize(
    ('expected_ms', 'chance'),
    [(100, 0), (170, 0), (200, 0.5), (230, 1), (1000, 1)],
)
def test_chance_to_be_late_grows_around_the_bound(
    expected_ms: int,
    chance: float,
):
    assert late_chance(expected_ms, 200) == pytest.approx(chance)
