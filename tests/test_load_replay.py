"""Load patterns replayed through the rules that place and refuse calls."""

from __future__ import annotations

import pathlib
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from tests.load_replay import LoadReplay, read_pattern

if TYPE_CHECKING:
    from typing import Any

PATTERNS = pathlib.Path(__file__).parent / 'patterns'
# Prefill rates of the engines of two speeds.
TOKENS_PER_MS = (65, 65, 30)
MAX_ERROR = 0.15


def read(name: str) -> dict[str, Any]:
    """Return the pattern of a name."""
    return read_pattern(PATTERNS / f'{name}.yaml')


def replay(name: str, seed: int = 1, **policies: str) -> LoadReplay:
    """Run the replay of a pattern."""
    pattern = {**read(name), 'policies': policies}
    return LoadReplay(pattern=pattern, seed=seed).run()


def share(ends: Counter[str], end: str) -> float:
    """Return the percentage of calls with an outcome."""
    return 100 * ends[end] / ends.total()


def test_same_seed_gives_the_same_replay():
    first, again = (replay('empty-engines-at-the-height') for _run in range(2))
    assert first.ends == again.ends
    assert first.sent == again.sent


def test_burst_at_many_gateways_spreads_over_engines():
    ends = replay('herd').ends
    # If placement compares all engines, 36% of the long calls begin late; if it
    # compares four, 14% of the short calls exceed their token gap bound.
    assert share(ends['long'], 'late') < 10
    assert share(ends['long'], 'too_late') < 15
    assert share(ends['short'], 'late') < 3
    assert share(ends['short'], 'paused') < 10


def test_added_engines_receive_their_share_at_once():
    played = replay('empty-engines-at-the-height')
    added = [f'i-{number}' for number in range(60, 75)]
    added_calls = sum(played.sent[name] for name in added)
    # They are a fifth of the engines during five eighths of the calls.
    assert 10 * added_calls > sum(played.sent.values())
    assert share(played.ends['long'], 'in target') > 97


def test_loss_of_a_quarter_of_engines_refuses_no_call():
    played = replay('quarter-of-engines-gone')
    # If placement compares all engines, 19% of the long calls begin late. If
    # calls are given up after four engines that accept no connection, 2% are.
    assert share(played.ends['long'], 'late') < 3
    assert not played.count('no_endpoint')


def share_of_other_customers(admission: str, *, hot: bool) -> tuple[float, int]:
    """Return the percentage of others in target, and the total in target."""
    pattern = read('hot-customer-beside-burst')
    pattern['kinds'] = [
        kind for kind in pattern['kinds'] if hot or kind['name'] != 'hot'
    ]
    pattern['policies'] = {'admission': admission}
    played = LoadReplay(pattern=pattern).run()
    others: Counter[str] = Counter()
    for customer, ends in played.customers.items():
        if customer != 'hot':
            others.update(ends)
    return share(others, 'in target'), played.count('in target')


def test_hot_customer_does_not_reduce_service_of_others():
    alone, _served = share_of_other_customers('fair', hot=False)
    beside, served = share_of_other_customers('fair', hot=True)
    # With admission by targets alone the others fall from 99% to 87%.
    assert beside > alone - 3
    # Total service stays: the others gain what the hot customer loses.
    _others, served_by_target = share_of_other_customers('target', hot=True)
    assert served > served_by_target * 0.97


def inaccurate_percentage(played: LoadReplay) -> float:
    """Return the percentage of estimates that are off by more than 15%."""
    errors = [
        abs(rate / TOKENS_PER_MS[number % len(TOKENS_PER_MS)] - 1)
        for number in range(20)
        for rate in played.rates(f'i-{number}')
    ]
    return 100 * sum(error > MAX_ERROR for error in errors) / len(errors)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_gateways_estimate_engines_of_two_speeds(seed: int):
    played = replay(
        'engines-of-two-speeds',
        seed,
        read_rates='shared',
        start_estimates='corrected',
    )
    # If each gateway uses its own samples only, 75% are far off.
    assert inaccurate_percentage(played) < 20
    assert share(played.ends['long'], 'in target') > 99
    assert share(played.ends['short'], 'late') < 1


def test_streams_with_short_gaps_are_separated_from_long_prefills():
    name = 'short-gaps-beside-reads'
    before, after = (
        replay(name, engine_groups=rule) for rule in ('none', 'by_gap')
    )
    # Callers of each kind must get nine in ten answers in target.
    assert share(before.ends['short'], 'in target') < 90
    assert share(after.ends['short'], 'in target') >= 90
    assert share(after.ends['long'], 'in target') >= 90
