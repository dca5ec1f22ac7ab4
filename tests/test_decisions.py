"""The smaller decisions: choice, class, retry budget, own overload."""

from __future__ import annotations

import collections

import pytest
from returns.result import Success

from wingfall.decision.choice import Candidate, choices
from wingfall.decision.classify import check_class, select_class
from wingfall.decision.overload import admits
from wingfall.decision.retry import RetryBudget
from wingfall.objects.request_class import parse_request_class


def _candidate(name, reported=0, sent_since=0, *, same_zone=True, limit=4):
    return Candidate(
        name=name,
        same_zone=same_zone,
        limit=limit,
        reported=reported,
        sent_since=sent_since,
        mean_run_ms=1000,
    )


def _choice(name):
    return choices.find(name).unwrap()(seed=1)


def test_least_delay_is_chosen_over_stale_reports():
    agents = [_candidate('stale', 0, 8), _candidate('known', 5)]
    ranked = _choice('expected_delay').rank(agents, 1)
    assert ranked[0].name == 'known'
    ranked = _choice('least_reported_load').rank(agents, 1)
    assert ranked[0].name == 'stale'


def test_own_zone_goes_first_only_among_equals():
    near, far = _candidate('near', 1), _candidate('far', same_zone=False)
    assert _choice('expected_delay').rank([far, near], 1)[0] is near
    busy = _candidate('busy', 6)
    assert _choice('expected_delay').rank([far, busy], 1)[0] is far


def test_sampling_spreads_equal_agents():
    choice = _choice('expected_delay')
    agents = [_candidate(str(number)) for number in range(20)]
    chosen = collections.Counter(
        choice.rank(agents, 2)[0].name for _turn in range(400)
    )
    assert len(chosen) == 20


def test_round_robin_takes_each_in_turn():
    choice = _choice('round_robin')
    agents = [_candidate(str(number)) for number in range(3)]
    names = {choice.rank(agents, 1)[0].name for _turn in range(3)}
    assert len(names) == 3


@pytest.mark.parametrize('name', choices.names)
def test_no_candidates_give_no_choice(name):
    assert _choice(name).rank([], 2) == []


def _class(name, requests, tier=1):
    spec = {'tier': tier, 'timeout_ms': 1000, 'requests': requests}
    return parse_request_class(name, {}, spec).unwrap()


def test_class_that_says_most_is_selected():
    classes = [
        _class('any', ''),
        _class('lobby', 'use=lobby', tier=0),
        _class('late', 'use=lobby, night', tier=2),
    ]
    assert select_class(classes, {}).unwrap().name == 'any'
    assert select_class(classes, {'use': 'lobby'}).unwrap().name == 'lobby'
    labels = {'use': 'lobby', 'night': 'yes'}
    assert select_class(classes, labels).unwrap().name == 'late'


def test_tie_goes_to_the_lower_tier():
    classes = [_class('high', 'use=a', tier=0), _class('low', 'use', tier=3)]
    assert select_class(classes, {'use': 'a'}).unwrap().name == 'low'


def test_no_class_is_a_refusal():
    refusal = select_class([_class('a', 'use=a')], {}).failure()
    assert (refusal.status, refusal.code) == (400, 'no_class')


def test_named_class_must_match_its_selector():
    lobby = _class('lobby', 'use=lobby')
    assert isinstance(check_class(lobby, 'lobby', {'use': 'lobby'}), Success)
    assert check_class(lobby, 'lobby', {}).failure().status == 403
    assert check_class(None, 'none', {}).failure().code == 'unknown_class'


def test_retry_budget_is_a_share_of_fresh_traffic():
    budget = RetryBudget(percent=10)
    while budget.take('a'):
        budget.note_fresh('b')
    for _fresh in range(100):
        budget.note_fresh('a')
    granted = sum(budget.take('a') for _try in range(100))
    assert granted == pytest.approx(10, abs=1)


def test_no_percent_means_no_second_run():
    assert not RetryBudget(percent=0).take('a')


def test_own_overload_refuses_the_lowest_tier_first():
    admitted = [
        admits(tier=tier, held=75, bound=100, lag_ms=0) for tier in range(4)
    ]
    assert admitted == [True, True, True, False]


def test_late_loop_refuses_all_but_the_top_tier():
    assert admits(tier=0, held=0, bound=10, lag_ms=5000)
    assert not admits(tier=1, held=0, bound=10, lag_ms=5000)
