"""Decaying work of customers, and its report to peers."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.customer_work import (
    CustomerWork,
    Work,
    prompt_work,
)

POOL = 'engines'
HALF_LIFE_MS = 2000
MAX_CUSTOMERS = 15_000


@pytest.fixture
def work(clock: ManualClock) -> CustomerWork:
    """Return an empty table of customer work."""
    return CustomerWork(clock=clock)


def requested_work(work: CustomerWork, customer: str) -> float:
    """Return the work that a customer requested."""
    return work.decayed_work(POOL)[customer].asked


def test_work_decays_by_half_in_a_half_life(
    work: CustomerWork, clock: ManualClock
):
    work.note(POOL, 'aker', Work(asked=4000, given=2000))
    clock.advance(HALF_LIFE_MS)
    work.note(POOL, 'aker', Work(asked=1000))
    decayed = work.decayed_work(POOL)['aker']
    assert decayed.asked == pytest.approx(3000)
    assert decayed.given == pytest.approx(1000)


def test_work_is_separate_for_each_pool(work: CustomerWork):
    work.note(POOL, 'aker', Work(asked=4000))
    assert not work.decayed_work('others')


def test_prompt_work_includes_weighted_answer_tokens():
    assert prompt_work(1000, 0) == 1000
    assert prompt_work(1000, 200) > 1000 + 200


def test_work_is_reported_once(work: CustomerWork):
    work.note(POOL, 'aker', Work(asked=4000))
    work.note(POOL, 'aker', Work(given=2000.4))
    assert work.take_unreported() == [[POOL, 'aker', 4000, 2000]]
    assert not work.take_unreported()


def test_work_reported_by_a_peer_is_not_reported_again(work: CustomerWork):
    work.merge_from_peer(POOL, 'aker', 4000, 2000)
    assert requested_work(work, 'aker') == 4000
    assert not work.take_unreported()


def test_customers_with_decayed_work_are_removed(
    work: CustomerWork, clock: ManualClock
):
    work.note(POOL, 'aker', Work(asked=4000))
    for _half_life in range(30):
        clock.advance(HALF_LIFE_MS)
        work.note(POOL, 'bryn', Work(asked=4000))
    assert list(work.decayed_work(POOL)) == ['bryn']
    assert requested_work(work, 'bryn') == pytest.approx(8000, rel=0.01)


def test_customers_are_bounded_and_the_largest_are_kept(work: CustomerWork):
    work.note(POOL, 'aker', Work(asked=90_000))
    for number in range(2 * MAX_CUSTOMERS):
        work.note(POOL, f'customer-{number}', Work(asked=1000))
        assert number % 1000 or len(work.decayed_work(POOL)) <= MAX_CUSTOMERS
    assert requested_work(work, 'aker') == 90_000


def test_work_is_comparable_after_a_half_life(
    work: CustomerWork, clock: ManualClock
):
    work.merge_from_peer(POOL, 'aker', 4000, 4000)
    assert not work.covers_half_life(POOL)
    clock.advance(HALF_LIFE_MS)
    assert work.covers_half_life(POOL)
    assert not work.covers_half_life('others')


def test_new_customer_of_a_full_pool_is_added(work: CustomerWork):
    for number in range(MAX_CUSTOMERS):
        work.note(POOL, f'customer-{number}', Work(asked=1000))
    work.note(POOL, 'aker', Work(asked=90_000))
    assert requested_work(work, 'aker') == 90_000


def test_work_after_an_idle_time_needs_a_new_half_life(
    work: CustomerWork, clock: ManualClock
):
    work.note(POOL, 'aker', Work(asked=4000))
    for _half_life in range(40):
        clock.advance(HALF_LIFE_MS)
    work.note(POOL, 'aker', Work(asked=4000))
    assert not work.covers_half_life(POOL)
