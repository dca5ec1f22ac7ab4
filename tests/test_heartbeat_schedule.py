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


def test_messages_stay_bounded_as_gateways_grow():
    assert count_heartbeats(3) == 100
    for peers in (10, 30, 100, 300):
        assert count_heartbeats(peers) * peers <= 1400


def test_changes_of_objects_do_not_wait():
    assert count_heartbeats(300, watching=True) == 100


def test_quiet_gateway_is_heard_each_second():
    assert count_heartbeats(20, changes=False) == 10


def test_watcher_is_heard_each_second_however_many_there_are():
    assert count_heartbeats(300, changes=False, watching=True) == 10


def test_silence_is_longer_than_some_beats():
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
