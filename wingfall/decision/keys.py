"""Idempotency keys at their home: one run a key, and its answer again.

A table only speaks for the time since its agent heard which endpoints share
the keys of a class. A key that may be older than that is refused, for
it may have run elsewhere. A UUIDv7 tells its own age; any other key may be as
old as the window.
"""

from __future__ import annotations

import enum
import uuid
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Bytes of an answer that is kept for a repeated key, and of all answers: an
# agent's memory is 53 MB with them, of 128 MB.
MAX_ANSWER_BYTES: Final = 262_144
MAX_TABLE_BYTES: Final = 16_777_216
# Time of a key is its caller's; clocks of VMs differ by less than this.
CLOCK_SKEW_MS: Final = 5000

# Version of UUIDs that begin with a time, and the bits after it (RFC 9562).
_UUID7: Final = 7
_TIME_SHIFT: Final = 80


class KeyState(enum.Enum):
    """What a table says of a key."""

    fresh = 'fresh'
    running = 'running'
    held = 'held'
    lost = 'lost'
    mismatch = 'mismatch'
    too_old = 'too_old'


@final
class KeyedAnswer:
    """The answer of a key's run, as far as it is known."""

    __slots__ = (
        'body',
        'digest',
        'ended_ms',
        'headers',
        'status',
        'too_large',
        'whole',
    )

    def __init__(self, *, digest: bytes) -> None:
        """Start a run.

        :param digest: digest of the request, which the key stands for.
        """
        self.digest = digest
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.ended_ms: int | None = None
        self.whole = False
        self.too_large = False

    @property
    def state(self) -> KeyState:
        """Running, held to be sent again, or lost."""
        if self.ended_ms is None:
            return KeyState.running
        return KeyState.held if self.whole else KeyState.lost

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the answer.

        :param status: HTTP status.
        :param headers: headers for the caller.
        """
        self.status = status
        self.headers = headers

    def append(self, body: bytes) -> None:
        """Take a piece of the answer.

        :param body: the piece; too large an answer is not held.
        """
        if len(self.body) + len(body) > MAX_ANSWER_BYTES:
            self.too_large = True
            self.body.clear()
        if not self.too_large:
            self.body += body


@final
class HomeNote:
    """Which endpoints share the keys, and since when."""

    __slots__ = ('members', 'since_ms')

    def __init__(self, *, members: bytes, since_ms: int) -> None:
        """Note the members.

        :param members: their digest.
        :param since_ms: since when.
        """
        self.members = members
        self.since_ms = since_ms


@final
class KeyTable:
    """The keys of one agent, for the key window and within a memory bound."""

    __slots__ = (
        '_answers',
        '_clock',
        '_homes',
        '_wall',
        '_window_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        wall: Clock,
        window_ms: int,
    ) -> None:
        """Start empty.

        :param clock: the time.
        :param wall: time of day in milliseconds, for UUIDv7 keys only.
        :param window_ms: how long a key is known after its run has ended.
        """
        self._clock = clock
        self._wall = wall
        self._window_ms = window_ms
        self._answers: dict[str, KeyedAnswer] = {}
        self._homes: dict[str, HomeNote] = {}

    def __len__(self) -> int:
        """Count the keys."""
        return len(self._answers)

    @property
    def homes(self) -> dict[str, HomeNote]:
        """What was heard of the members, by home."""
        return self._homes

    def look_up(
        self,
        key: str,
        *,
        digest: bytes,
        home: str,
        members: bytes,
    ) -> KeyState:
        """Tell what may be done for a key.

        :param key: the key.
        :param digest: digest of the request.
        :param home: what the key is homed by, a class and its resource.
        :param members: digest of the endpoints that share those keys; when
            it changes, this agent may be the new home of older keys.
        :returns: the state.
        """
        since_ms = self.note_home(home, members)
        known = self._answers.get(key)
        if known is None:
            young = self._is_younger(key, since_ms)
            return KeyState.fresh if young else KeyState.too_old
        if known.digest != digest:
            return KeyState.mismatch
        return known.state

    def note_home(self, home: str, members: bytes) -> int:
        """Take which endpoints share the keys of a home.

        :param home: what the keys are homed by.
        :param members: digest of the endpoints.
        :returns: since when the members are these, as this agent has heard.
        """
        known = self._homes.get(home)
        if known is None or known.members != members:
            known = HomeNote(members=members, since_ms=self._clock.now_ms())
            self._homes[home] = known
        return known.since_ms

    def begin(self, key: str, digest: bytes) -> KeyedAnswer | None:
        """Claim a key for a run.

        :param key: the key.
        :param digest: digest of the request.
        :returns: where the answer is kept, or None if the key has a run.
        """
        if key in self._answers:
            return None
        answer = KeyedAnswer(digest=digest)
        self._answers[key] = answer
        return answer

    def end(self, key: str, *, whole: bool, ran: bool) -> None:
        """End the run of a key.

        :param key: the key.
        :param whole: whether the whole answer has come.
        :param ran: whether it may have run; if not, the key is free again.
        """
        answer = self._answers.get(key)
        if answer is None:
            return
        if not ran:
            self._answers.pop(key)
            return
        answer.ended_ms = self._clock.now_ms()
        answer.whole = whole and not answer.too_large
        if not answer.whole:
            answer.body.clear()
        self._shrink()

    def find(self, key: str) -> KeyedAnswer | None:
        """Find the answer of a key.

        :param key: the key.
        :returns: the answer, or None.
        """
        return self._answers.get(key)

    def forget_old(self) -> None:
        """Forget the keys whose window is over."""
        oldest_ms = self._clock.now_ms() - self._window_ms
        self._answers = {
            key: answer
            for key, answer in self._answers.items()
            if answer.ended_ms is None or answer.ended_ms > oldest_ms
        }

    def _is_younger(self, key: str, since_ms: int) -> bool:
        known_ms = self._clock.now_ms() - since_ms
        made_ms = _made_ms(key)
        if made_ms is None:
            return known_ms >= self._window_ms
        age_ms = self._wall.now_ms() - made_ms
        if age_ms > self._window_ms:
            # Its answer, if there was one, may be forgotten by now.
            return False
        return age_ms + CLOCK_SKEW_MS < known_ms

    def _shrink(self) -> None:
        # The oldest answers go first; their keys are kept as lost.
        size = sum(len(answer.body) for answer in self._answers.values())
        for answer in self._answers.values():
            if size <= MAX_TABLE_BYTES:
                return
            if answer.whole:
                size -= len(answer.body)
                answer.body.clear()
                answer.whole = False


def _made_ms(key: str) -> int | None:
    # A router puts the customer's name before the key that was sent.
    _customer, _slash, sent = key.rpartition('/')
    try:
        parsed = uuid.UUID(sent)
    except ValueError:
        return None
    if parsed.version != _UUID7:
        return None
    return parsed.int >> _TIME_SHIFT
