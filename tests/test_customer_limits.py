"""Limits of customers, divided over routers by seen demand."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from wingfall.clock import ManualClock
from wingfall.decision.customer_limits import CustomerLimits
from wingfall.objects.customer import Customer


def _customer(requests_per_s=None, concurrent=None):
    return Customer(
        name='oslo',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=requests_per_s,
        concurrent=concurrent,
    )


def _admits(limits, customer):
    return isinstance(limits.admit(customer), Success)


def test_customer_without_limits_is_not_counted(clock):
    limits = CustomerLimits(clock=clock)
    assert all(_admits(limits, _customer()) for _ask in range(1000))
    assert not limits.demands()


def test_concurrency_is_bounded_and_released(clock):
    limits = CustomerLimits(clock=clock)
    customer = _customer(concurrent=3)
    assert [_admits(limits, customer) for _ask in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    limits.release(customer)
    assert _admits(limits, customer)


def test_refusal_tells_when_to_come_back(clock):
    limits = CustomerLimits(clock=clock)
    customer = _customer(requests_per_s=0.5)
    assert _admits(limits, customer)
    overuse = limits.admit(customer).failure()
    assert overuse.code == 'rate_limit'
    clock.advance(overuse.retry_after_ms)
    assert _admits(limits, customer)


def _demands_of_others(routers, router):
    others = [other.demands() for other in routers if other is not router]
    return list(itertools.chain.from_iterable(others))


def _drive(loads, rate, seconds=60):
    """Run routers side by side; each hears the others every second."""
    clock = ManualClock()
    customer = _customer(requests_per_s=rate)
    routers = [CustomerLimits(clock=clock) for _load in loads]
    admitted = 0
    for second in range(seconds):
        for router in routers:
            router.tick()
        for router in routers:
            router.hear(len(routers), _demands_of_others(routers, router))
        for step in range(second * 20, second * 20 + 20):
            clock.advance(50)
            for router, load in zip(routers, loads, strict=True):
                asks = (step + 1) * load // 20 - step * load // 20
                admitted += sum(_admits(router, customer) for _ in range(asks))
    return admitted / seconds


@given(
    st.lists(st.integers(0, 60), min_size=1, max_size=5),
    st.integers(4, 40),
)
def test_sum_over_routers_keeps_the_limit(loads, rate):
    admitted = _drive(loads, rate)
    burst = rate + len(loads)
    assert admitted <= rate * 1.1 + burst / 60


def test_demand_on_one_router_may_use_most_of_the_limit():
    assert _drive([40, 0, 0, 0], 20) == pytest.approx(20, rel=0.15)


def test_uneven_demand_uses_most_of_the_limit():
    assert _drive([40, 5], 20) == pytest.approx(20, rel=0.15)
