"""Tests of the number of gateways that may send requests."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.peers.gateway_count import GatewayCount


@pytest.fixture
def count(clock: ManualClock) -> GatewayCount:
    """Give the count of a gateway that has met no other."""
    return GatewayCount(clock=clock)


def test_gateway_without_others_counts_itself(count: GatewayCount):
    assert count.note(connected=0, known=0) == 1


def test_count_is_unknown_until_a_peer_is_connected(count: GatewayCount):
    assert count.note(connected=0, known=3) is None
    assert count.note(connected=1, known=20) == 21


def test_lost_gateways_count_for_ten_minutes(
    clock: ManualClock, count: GatewayCount
):
    count.note(connected=20, known=20)
    clock.advance(600_000)
    assert count.note(connected=0, known=3) == 21
    clock.advance(1)
    assert count.note(connected=0, known=3) == 4


def test_returned_gateways_count_from_their_return(
    clock: ManualClock, count: GatewayCount
):
    count.note(connected=20, known=20)
    clock.advance(400_000)
    count.note(connected=20, known=20)
    clock.advance(400_000)
    assert count.note(connected=5, known=5) == 21
