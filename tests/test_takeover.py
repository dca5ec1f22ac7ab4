"""Tests of the policy by which a gateway takes over the lease."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.duties.takeover import PeerSnapshot, TakeoverPolicy
from wingfall.gateway.model.duty import LeaseRecord

LEASE_MS = 3000
NEW_MS = 10_000
ALL_PEERS = frozenset(('a', 'b', 'c'))
HELD_LEASE = LeaseRecord(holder='a/1', name='a')


class FakePeers:
    """The peers that the gateway knows, which a test can change."""

    def __init__(self) -> None:
        """Connect all peers, with the gateway under test first."""
        self.fields = {
            'predecessor_count': 0,
            'connected': ALL_PEERS,
            'known_count': 3,
            'holder_connected': False,
        }
        self.is_stopping = False

    def snapshot(self) -> PeerSnapshot:
        """Return a snapshot of the peers."""
        return PeerSnapshot(**self.fields)


@pytest.fixture
def peers() -> FakePeers:
    """Return peers that are all connected."""
    return FakePeers()


@pytest.fixture
def policy(clock: ManualClock, peers: FakePeers) -> TakeoverPolicy:
    """Return the policy of a gateway that no longer counts as new."""
    created = TakeoverPolicy(
        clock=clock,
        lease_ms=LEASE_MS,
        warmup_ms=NEW_MS,
        snapshot_peers=peers.snapshot,
        is_stopping=lambda: peers.is_stopping,
    )
    clock.advance(NEW_MS)
    return created


def required_wait_ms(policy: TakeoverPolicy) -> int:
    """Return for how long a report must be due before a takeover."""
    return next(
        waited_ms
        for waited_ms in range(0, 20_000, 100)
        if policy.should_poll_lease(waited_ms)
    )


def test_first_gateway_takes_over_at_once_without_connected_holder(
    policy: TakeoverPolicy,
):
    assert required_wait_ms(policy) == 0


def test_gateway_waits_for_its_predecessors(
    policy: TakeoverPolicy, peers: FakePeers
):
    peers.fields['predecessor_count'] = 2
    assert required_wait_ms(policy) == 600


def test_gateway_waits_for_connected_holder(
    policy: TakeoverPolicy, peers: FakePeers
):
    peers.fields['holder_connected'] = True
    assert required_wait_ms(policy) == 1500


def test_new_gateway_waits_extra_turns(clock: ManualClock, peers: FakePeers):
    policy = TakeoverPolicy(
        clock=clock,
        lease_ms=LEASE_MS,
        warmup_ms=NEW_MS,
        snapshot_peers=peers.snapshot,
        is_stopping=bool,
    )
    clock.advance(LEASE_MS)
    assert not policy.should_poll_lease(20_000)
    clock.advance(1)
    assert required_wait_ms(policy) == 900


def test_stopping_gateway_does_not_take_over(
    policy: TakeoverPolicy, peers: FakePeers
):
    peers.is_stopping = True
    assert not policy.should_poll_lease(20_000)


def test_lease_polls_are_half_a_second_apart(
    clock: ManualClock, policy: TakeoverPolicy
):
    assert policy.should_poll_lease(1000)
    assert not policy.should_poll_lease(1000)
    clock.advance(500)
    assert policy.should_poll_lease(1000)


def test_last_running_gateway_takes_over(
    policy: TakeoverPolicy, peers: FakePeers
):
    # Seeds stay known after they have ended.
    peers.fields['connected'] = frozenset()
    assert required_wait_ms(policy) == 3000
    assert policy.should_take_over(HELD_LEASE, 0, decided=False)


def test_partitioned_gateway_does_not_replace_holder(
    policy: TakeoverPolicy, peers: FakePeers
):
    peers.fields['connected'] = frozenset()
    assert not policy.should_take_over(HELD_LEASE, 20_000, decided=True)


def test_connected_holder_has_whole_lease_to_act(policy: TakeoverPolicy):
    assert not policy.should_take_over(HELD_LEASE, LEASE_MS - 1, decided=False)
    assert policy.should_take_over(HELD_LEASE, LEASE_MS, decided=False)


def test_holder_of_short_lease_has_time_to_receive_counts(
    clock: ManualClock, peers: FakePeers
):
    # Two gateways took a lease of 1.2 s from each other every 1.6 s, while a
    # holder waits 1.5 s for counts; no window was reported.
    policy = TakeoverPolicy(
        clock=clock,
        lease_ms=1200,
        warmup_ms=NEW_MS,
        snapshot_peers=peers.snapshot,
        is_stopping=bool,
    )
    assert not policy.should_take_over(HELD_LEASE, 2499, decided=False)
    assert policy.should_take_over(HELD_LEASE, 2500, decided=False)


def test_disconnected_holder_is_replaced_at_once(policy: TakeoverPolicy):
    disconnected = LeaseRecord(holder='d/1', name='d')
    assert policy.should_take_over(disconnected, 0, decided=True)
    assert policy.should_take_over(LeaseRecord(), 0, decided=False)
