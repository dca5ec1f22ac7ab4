"""Patterns of load, replayed through the rules that place and turn away."""

from __future__ import annotations

import pathlib
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from tests.load_replay import LoadReplay, read_pattern

if TYPE_CHECKING:
    from typing import Any

PATTERNS = pathlib.Path(__file__).parent / 'patterns'
# How fast the engines of two speeds read.
TOKENS_PER_MS = (65, 65, 30)
FAR_OFF = 0.15


def read(name: str) -> dict[str, Any]:
    """Read a pattern."""
    return read_pattern(PATTERNS / f'{name}.yaml')


def replay(name: str, seed: int = 1, **policies: str) -> LoadReplay:
    """Play a pattern."""
    pattern = {**read(name), 'policies': policies}
    return LoadReplay(pattern=pattern, seed=seed).run()


def share(ends: Counter[str], end: str) -> float:
    """Tell how many in 100 of the calls of a kind ended in a way."""
    return 100 * ends[end] / ends.total()


def test_replay_of_a_seed_repeats():
    first, again = (replay('empty-engines-at-the-height') for _play in range(2))
    assert first.ends == again.ends
    assert first.sent == again.sent


def test_crowd_at_many_gateways_does_not_choose_the_same_engines():
    ends = replay('herd').ends
    # With all weighed 36 in 100 of the long ones begin late, with four for each
    # 14 in 100 of the short ones pause too long.
    assert share(ends['long'], 'late') < 10
    assert share(ends['long'], 'too_late') < 15
    assert share(ends['short'], 'late') < 3
    assert share(ends['short'], 'paused') < 10


def test_empty_engines_take_their_part_at_once():
    played = replay('empty-engines-at-the-height')
    added = [f'i-{number}' for number in range(60, 75)]
    taken = sum(played.sent[name] for name in added)
    # They are a fifth of the engines for five eighths of the calls.
    assert 10 * taken > sum(played.sent.values())
    assert share(played.ends['long'], 'in target') > 97


def test_loss_of_a_quarter_turns_nobody_away():
    played = replay('quarter-of-engines-gone')
    # With all weighed 19 in 100 of the long ones begin late. If calls are given
    # up after four engines that take no connection, 2 in 100 are.
    assert share(played.ends['long'], 'late') < 3
    assert not played.count('no_endpoint')


def share_of_others(admission: str, *, hot: bool) -> tuple[float, int]:
    """Tell how many in 100 of the others are in target, and how many of all."""
    pattern = read('hot-customer-beside-burst')
    pattern['kinds'] = [
        each for each in pattern['kinds'] if hot or each['name'] != 'hot'
    ]
    pattern['policies'] = {'admission': admission}
    played = LoadReplay(pattern=pattern).run()
    others: Counter[str] = Counter()
    for customer, ends in played.customers.items():
        if customer != 'hot':
            others.update(ends)
    return share(others, 'in target'), played.count('in target')


def test_hot_customer_takes_nothing_from_others():
    alone, _served = share_of_others('fair', hot=False)
    beside, served = share_of_others('fair', hot=True)
    # By targets alone others fall from 99 in 100 to 87.
    assert beside > alone - 3
    # Nor does it cost service: what others gain, the hot one has lost.
    _others, served_by_target = share_of_others('target', hot=True)
    assert served > served_by_target * 0.97


def part_far_off(played: LoadReplay) -> float:
    """Tell how many in 100 beliefs are off by more than 15 in 100."""
    off = [
        abs(rate / TOKENS_PER_MS[number % len(TOKENS_PER_MS)] - 1)
        for number in range(20)
        for rate in played.rates(f'i-{number}')
    ]
    return 100 * sum(each > FAR_OFF for each in off) / len(off)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_gateways_know_engines_of_two_speeds(seed: int):
    played = replay(
        'engines-of-two-speeds',
        seed,
        read_rates='shared',
        start_estimates='corrected',
    )
    # If each learns by itself, 75 in 100 are.
    assert part_far_off(played) < 20
    assert share(played.ends['long'], 'in target') > 99
    assert share(played.ends['short'], 'late') < 1


def test_streams_with_short_gaps_are_kept_from_long_reads():
    name = 'short-gaps-beside-reads'
    before, after = (
        replay(name, engine_groups=rule) for rule in ('none', 'by_gap')
    )
    # Callers of all kinds are to get nine in ten answers in target.
    assert share(before.ends['short'], 'in target') < 90
    assert share(after.ends['short'], 'in target') >= 90
    assert share(after.ends['long'], 'in target') >= 90
