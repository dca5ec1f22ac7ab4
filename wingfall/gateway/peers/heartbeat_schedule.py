"""When a gateway tells its peers what it has sent and what it knows.

The time between two heartbeats grows with the number of peers, so that a
gateway sends and receives about a hundred messages a second at most, however
many gateways there are.
"""

from __future__ import annotations

import enum
from typing import Final, final

# Milliseconds between two looks at what is due, the shortest interval.
TICK_MS: Final = 100
# Milliseconds of the interval for each peer: some hundred messages a second.
_MS_PER_PEER: Final = 10
# Milliseconds after which all loads are told, whatever changed; watchers of the
# store must be heard this often.
_WHOLE_MS: Final = 1000
# Milliseconds after which a silent peer counts as gone, and intervals if that
# is longer. Three whole heartbeats, or four, may be lost.
_MIN_SILENCE_MS: Final = 3000
_SILENT_INTERVALS: Final = 4
# Part of an interval after which a heartbeat that is due counts as missed.
# Allows for loops that are late by some tenths of a second.
_LATE_PART: Final = 1.3


class HeartbeatDue(enum.StrEnum):
    """What to tell now."""

    none = 'none'
    changes = 'changes'
    whole = 'whole'


def interval_ms(peers: int) -> int:
    """Give the time between two heartbeats.

    :param peers: how many peers hear them.
    :returns: milliseconds.
    """
    return max(TICK_MS, peers * _MS_PER_PEER)


def silence_ms(peers: int) -> int:
    """Give the time after which a silent peer counts as gone.

    :param peers: how many peers it tells.
    :returns: milliseconds.
    """
    return max(_MIN_SILENCE_MS, interval_ms(peers) * _SILENT_INTERVALS)


def seen_within_ms(peers: int) -> int:
    """Give the time in which a peer that is well is heard.

    :param peers: how many peers it tells.
    :returns: milliseconds.
    """
    return int(max(_WHOLE_MS, interval_ms(peers)) * _LATE_PART)


@final
class HeartbeatSchedule:
    """Decides when the next heartbeat is due."""

    __slots__ = ('_interval_ms', '_sent_ms', '_whole_every_ms', '_whole_ms')

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._interval_ms = TICK_MS
        self._whole_every_ms = _WHOLE_MS
        self._sent_ms: float = float('-inf')
        self._whole_ms: float = float('-inf')

    def set_peers(self, *, near: int, peers: int) -> None:
        """Fit the time between heartbeats to the number of peers.

        :param near: how many peers hear of each change.
        :param peers: how many hear heartbeats at all.
        """
        self._interval_ms = interval_ms(near)
        self._whole_every_ms = max(_WHOLE_MS, interval_ms(peers))

    def due(
        self,
        now_ms: int,
        *,
        has_changes: bool,
        watching: bool,
        new_objects: bool,
    ) -> HeartbeatDue:
        """Decide what to tell now.

        :param now_ms: the time.
        :param has_changes: whether loads have changed.
        :param watching: whether this gateway hears the store for others.
        :param new_objects: whether it has heard of a change.
        :returns: what is due.
        """
        whole_ms = _WHOLE_MS if watching else self._whole_every_ms
        if now_ms - self._whole_ms >= whole_ms:
            return HeartbeatDue.whole
        rested = now_ms - self._sent_ms >= self._interval_ms
        if (watching and new_objects) or (has_changes and rested):
            return HeartbeatDue.changes
        return HeartbeatDue.none

    def note_sent(self, now_ms: int, due: HeartbeatDue) -> None:
        """Note that a heartbeat was sent.

        :param now_ms: the time.
        :param due: what it told.
        """
        self._sent_ms = now_ms
        if due is HeartbeatDue.whole:
            self._whole_ms = now_ms
