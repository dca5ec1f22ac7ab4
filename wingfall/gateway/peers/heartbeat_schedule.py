"""Schedule of the heartbeats that a gateway sends to its peers.

The interval between two heartbeats grows with the number of peers, so that a
gateway sends and receives about a hundred messages a second at most, however
many gateways there are.
"""

from __future__ import annotations

import enum
from typing import Final, final

# Interval of the checks for due heartbeats, also the shortest interval.
TICK_MS: Final = 100
# Increase of the interval with each peer: about a hundred messages a second.
_INTERVAL_PER_PEER_MS: Final = 10
# Interval at which all loads are sent, changed or not; peers must receive a
# heartbeat of each watcher of the store this often.
_WHOLE_INTERVAL_MS: Final = 1000
# Time after which a silent peer counts as gone, in milliseconds and as
# intervals; the longer applies. Three or four whole heartbeats may be lost.
_MIN_SILENCE_MS: Final = 3000
_MIN_SILENCE_INTERVALS: Final = 4
# Multiple of an interval after which a due heartbeat counts as missed. Allows
# for loops that run some tenths of a second late.
_LATE_FACTOR: Final = 1.3


class HeartbeatDue(enum.StrEnum):
    """Kind of heartbeat that is due."""

    none = 'none'
    changes = 'changes'
    whole = 'whole'


def heartbeat_interval_ms(peers: int) -> int:
    """Return the interval between two heartbeats.

    :param peers: number of peers that receive them.
    :returns: the interval in milliseconds.
    """
    return max(TICK_MS, peers * _INTERVAL_PER_PEER_MS)


def silence_timeout_ms(peers: int) -> int:
    """Return the time after which a silent peer counts as gone.

    :param peers: number of peers to which that peer sends.
    :returns: the time in milliseconds.
    """
    return max(
        _MIN_SILENCE_MS, heartbeat_interval_ms(peers) * _MIN_SILENCE_INTERVALS
    )


def max_seen_age_ms(peers: int) -> int:
    """Return the time within which a healthy peer sends a heartbeat.

    :param peers: number of peers to which that peer sends.
    :returns: the time in milliseconds.
    """
    return int(
        max(_WHOLE_INTERVAL_MS, heartbeat_interval_ms(peers)) * _LATE_FACTOR
    )


@final
class HeartbeatSchedule:
    """Decides when the next heartbeat is due."""

    __slots__ = (
        '_interval_ms',
        '_sent_ms',
        '_whole_interval_ms',
        '_whole_sent_ms',
    )

    def __init__(self) -> None:
        """Create a schedule on which a whole heartbeat is due at once."""
        self._interval_ms = TICK_MS
        self._whole_interval_ms = _WHOLE_INTERVAL_MS
        self._sent_ms: float = float('-inf')
        self._whole_sent_ms: float = float('-inf')

    def set_peers(self, *, near: int, peers: int) -> None:
        """Set the heartbeat intervals by the number of peers.

        :param near: number of peers that receive each change.
        :param peers: number of peers that receive any heartbeat.
        """
        self._interval_ms = heartbeat_interval_ms(near)
        self._whole_interval_ms = max(
            _WHOLE_INTERVAL_MS, heartbeat_interval_ms(peers)
        )

    def due(
        self,
        now_ms: int,
        *,
        has_changes: bool,
        watching: bool,
        new_objects: bool,
    ) -> HeartbeatDue:
        """Return the kind of heartbeat that is due.

        :param now_ms: the current time in milliseconds.
        :param has_changes: whether loads have changed.
        :param watching: whether this gateway watches the store for others.
        :param new_objects: whether it has received a change of objects.
        :returns: the kind of heartbeat.
        """
        whole_ms = _WHOLE_INTERVAL_MS if watching else self._whole_interval_ms
        if now_ms - self._whole_sent_ms >= whole_ms:
            return HeartbeatDue.whole
        is_interval_over = now_ms - self._sent_ms >= self._interval_ms
        if (watching and new_objects) or (has_changes and is_interval_over):
            return HeartbeatDue.changes
        return HeartbeatDue.none

    def note_sent(self, now_ms: int, due: HeartbeatDue) -> None:
        """Record that a heartbeat was sent.

        :param now_ms: the current time in milliseconds.
        :param due: the kind of heartbeat sent.
        """
        self._sent_ms = now_ms
        if due is HeartbeatDue.whole:
            self._whole_sent_ms = now_ms
