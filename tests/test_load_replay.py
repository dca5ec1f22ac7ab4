"""Patterns of load, replayed through the rules that place and turn away."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from tests.load_replay import LoadReplay, read_pattern

if TYPE_CHECKING:
    from collections import Counter

PATTERNS = pathlib.Path(__file__).parent / 'patterns'


def replay(name: str, seed: int = 1, groups: str = 'none') -> LoadReplay:
    """Play a pattern."""
    pattern = read_pattern(PATTERNS / f'{name}.yaml')
    return LoadReplay(pattern=pattern, seed=seed, groups=groups).run()


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


def test_streams_with_short_gaps_are_kept_from_long_reads():
    name = 'short-gaps-beside-reads'
    before, after = (replay(name, groups=rule) for rule in ('none', 'by_gap'))
    # Callers of all kinds are to get nine in ten answers in target.
    assert share(before.ends['short'], 'in target') < 90
    assert share(after.ends['short'], 'in target') >= 90
    assert share(after.ends['long'], 'in target') >= 90
