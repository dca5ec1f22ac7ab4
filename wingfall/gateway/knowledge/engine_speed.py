"""How fast an engine reads, and how long its reads hold up streams.

An engine reads a prompt in pieces, with a step for the tokens of its running
streams between two pieces. The token gaps of a stream beside a read are longer
the more is waiting to be read, up to the time that the pieces between two of
its events take. All is learned from the streams that engines serve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.full_gaps import GapWindow

# Tokens that an engine reads in a millisecond, before it has been seen to:
# the slower half of the engines seen so far; a low guess only sends less.
FIRST_RATE: Final = 25
# Tokens a millisecond that a measurement is bounded by, so that one wrong one
# spoils little. Far below and above the engines seen so far.
MIN_RATE: Final = 2
MAX_RATE: Final = 500
# Part of a new reading in the average. Ten readings settle it.
_RATE_WEIGHT: Final = 0.1
# Tokens of a read that counts: shorter ones tell more of the way there than of
# the engine. Some 80 ms of reading.
MEASURED_TOKENS: Final = 2000
# Milliseconds between events while nothing is read, before an engine has shown
# its own.
_FIRST_GAP_MS: Final = 30
# Part of a new gap in the average. A stream has some hundred gaps, so that one
# stream settles it.
_GAP_WEIGHT: Final = 0.02
# A stream's longest gap tells of the bound only if so many times as much was
# waiting as was read in it.
_MORE_WAITING: Final = 1.5
# Parts of a new gap in the bound: it follows longer gaps soon and shorter ones
# late, since a pool's slowest engine counts.
_LONGER_WEIGHT: Final = 0.3
_SHORTER_WEIGHT: Final = 0.02
# A gap tells how much an engine gets through while it reads only if so many
# times as much was waiting as was read in it, since half of what is known to
# wait may be read already; and if it is so much longer than gaps alone are.
_SURE_WAITING: Final = 3
_SURE_LONGER: Final = 1.5
# Part by which what comes may differ from an estimate: nearly all streams
# beside long reads have their longest gap within it of their engine's median.
_SPREAD: Final = 0.15
# Reads are taken never to make a stream late if the longest gap that they cause
# is below this part of what it bears.
_HARMLESS_PART: Final = 0.5


class Rate(Protocol):
    """How fast engines read."""

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine reads in a millisecond."""


@final
class ReadRate:
    """How fast engines read, from what they have shown."""

    __slots__ = ('_tokens_per_ms',)

    def __init__(self, *, tokens_per_ms: float = FIRST_RATE) -> None:
        """Start with a guess.

        :param tokens_per_ms: the guess.
        """
        self._tokens_per_ms = tokens_per_ms

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine reads in a millisecond."""
        return self._tokens_per_ms

    def note(self, tokens: int, elapsed_ms: float) -> None:
        """Learn from a prompt whose answer has begun.

        :param tokens: what was to be read before it and for it.
        :param elapsed_ms: time from its sending to its first event.
        """
        if tokens < MEASURED_TOKENS or elapsed_ms <= 0:
            return
        rate = min(MAX_RATE, max(MIN_RATE, tokens / elapsed_ms))
        self._tokens_per_ms += (rate - self._tokens_per_ms) * _RATE_WEIGHT


@final
class LongestGap:
    """The longest token gap in a pool while reads never end."""

    __slots__ = ('_longest_ms',)

    def __init__(self) -> None:
        """Start without a gap."""
        self._longest_ms: float | None = None

    @property
    def longest_ms(self) -> float | None:
        """Milliseconds between two events, None until it was seen."""
        return self._longest_ms

    def note(self, gap_ms: int, waiting_ms: float) -> None:
        """Learn from the longest gap of a stream.

        :param gap_ms: the gap in milliseconds.
        :param waiting_ms: how long reading all takes that waited meanwhile.
        """
        if waiting_ms < gap_ms * _MORE_WAITING:
            return
        known_ms = self._longest_ms
        if known_ms is None:
            self._longest_ms = gap_ms
        else:
            longer = gap_ms > known_ms
            weight = _LONGER_WEIGHT if longer else _SHORTER_WEIGHT
            self._longest_ms = known_ms + (gap_ms - known_ms) * weight


@final
class EngineSpeed:
    """What one engine has shown of its reading and its token gaps."""

    __slots__ = ('_idle_gap_ms', '_longest_gap', 'full_gaps', 'rate')

    def __init__(
        self,
        *,
        tokens_per_ms: float = FIRST_RATE,
        rate: Rate | None = None,
        longest_gap: LongestGap | None = None,
        full_gaps: GapWindow | None = None,
    ) -> None:
        """Start with what other engines of the pool have shown.

        :param tokens_per_ms: how fast they read.
        :param rate: how fast this one reads, if its owner learns that.
        :param longest_gap: the longest gaps that their reads cause.
        :param full_gaps: keeps the gaps of this one beside reads, if given.
        """
        self.rate = rate or ReadRate(tokens_per_ms=tokens_per_ms)
        self._longest_gap = longest_gap or LongestGap()
        self._idle_gap_ms: float = _FIRST_GAP_MS
        self.full_gaps = full_gaps

    @property
    def idle_gap_ms(self) -> float:
        """Time between two events of a stream while nothing is read."""
        return self._idle_gap_ms

    @property
    def full_gap_ms(self) -> float | None:
        """Longest gap of a stream while reads never end, None if unseen."""
        return self._longest_gap.longest_ms

    def read_ms(self, tokens: float) -> float:
        """Estimate how long reading takes.

        :param tokens: what is to be read.
        :returns: milliseconds.
        """
        return tokens / self.rate.tokens_per_ms

    def room_tokens(self, gap_ms: float) -> float:
        """Tell what may be read between two events of a stream.

        :param gap_ms: the longest gap that the stream bears.
        :returns: tokens, at least one.
        """
        room_ms = gap_ms - self._idle_gap_ms
        return max(1.0, room_ms * self.rate.tokens_per_ms)

    def held_up_share(self, tokens: float, gap_ms: float) -> float:
        """Tell how much of what a stream bears is taken by reads beside it.

        Reads that come meanwhile from other gateways are not known: if they
        may take any part of the room between two events, this share is the
        probability that the gap is too long by these reads.

        :param tokens: length of the reads.
        :param gap_ms: the longest gap that the stream bears.
        :returns: 0 if the engine's gaps are never so long;
            over 1 for reads that take the room more than once.
        """
        full_ms = self.full_gap_ms
        if full_ms is not None and full_ms < gap_ms * _HARMLESS_PART:
            return 0
        return tokens / self.room_tokens(gap_ms)

    def note_gap(self, gap_ms: int) -> None:
        """Learn from a gap of a stream while nothing was read.

        :param gap_ms: the time between two events.
        """
        self._idle_gap_ms += (gap_ms - self._idle_gap_ms) * _GAP_WEIGHT

    def note_longest_gap(self, gap_ms: int, reading_tokens: int) -> None:
        """Learn from the longest gap of a stream.

        :param gap_ms: the gap in milliseconds.
        :param reading_tokens: what waited to be read there meanwhile.
        """
        waiting_ms = self.read_ms(reading_tokens)
        self._longest_gap.note(gap_ms, waiting_ms)
        reads_all_through = waiting_ms >= gap_ms * _SURE_WAITING
        longer = gap_ms > self._idle_gap_ms * _SURE_LONGER
        if self.full_gaps is not None and reads_all_through and longer:
            self.full_gaps.note(gap_ms)


def late_chance(expected_ms: float, bound_ms: float) -> float:
    """Estimate how likely a time is to be over its bound.

    :param expected_ms: the estimate of the time.
    :param bound_ms: the bound.
    :returns: 0 to 1, one half where both are equal.
    """
    over = expected_ms / bound_ms - 1
    return min(1.0, max(0, (over + _SPREAD) / (2 * _SPREAD)))
