"""Schedule of the heartbeats between gateways."""

from __future__ import annotations

from wingfall.gateway.peers.heartbeat_schedule import (
    HeartbeatDue,
    HeartbeatSchedule,
    heartbeat_interval_ms,
    silence_timeout_ms,
)


def count_heartbeats(
    peers: int, *, watching: bool = False, changes: bool = True
) -> int:
    """Return the heartbeats sent in ten seconds, with or without changes."""
    schedule = HeartbeatSchedule()
    schedule.set_peers(near=peers, peers=peers)
    sent = 0
    for now_ms in range(0, 10_000, 100):
        due = schedule.due(
            now_ms,
            has_changes=changes,
            watching=watching,
            new_objects=changes,
        )
        if due is not HeartbeatDue.none:
            schedule.note_sent(now_ms, due)
            sent += 1
    return sent


def test_message_rate_is_bounded_as_gateways_grow():
    assert count_heartbeats(3) == 100
    for peers in (10, 30, 100, 300):
        assert count_heartbeats(peers) * peers <= 1400


def test_object_changes_are_sent_at_next_tick():
    assert count_heartbeats(300, watching=True) == 100


def test_idle_gateway_sends_heartbeat_each_second():
    assert count_heartbeats(20, changes=False) == 10


def test_watcher_sends_heartbeat_each_second_with_many_peers():
    assert count_heartbeats(300, changes=False, watching=True) == 10


def test_silence_timeout_spans_three_intervals():
    for peers in (1, 30, 300, 1000):
        assert silence_timeout_ms(peers) >= 3 * heartbeat_interval_ms(peers)


def test_peers_of_other_zones_do_not_slow_changes():
    schedule = HeartbeatSchedule()
    schedule.set_peers(near=8, peers=300)
    schedule.note_sent(0, HeartbeatDue.whole)
    due = schedule.due(100, has_changes=True, watching=False, new_objects=False)
    assert due is HeartbeatDue.changes
    due = schedule.due(
        2900, has_changes=True, watching=False, new_objects=False
    )
    assert due is HeartbeatDue.changes
    due = schedule.due(
        3000, has_changes=True, watching=False, new_objects=False
    )
    assert due is HeartbeatDue.whole
