"""Prefill rate of an engine, and the token gaps that its prefills cause.

An engine prefills a prompt in chunks, with a decoding step for its running
streams between two chunks. During prefill the token gaps of a stream grow with
the pending prefill tokens, up to the time that the chunks between two of its
events take. All estimates are updated from the streams that engines serve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.full_gaps import GapWindow

# Tokens per millisecond that are assumed before the first sample: the rate of
# the slower half of the engines measured so far. Too low an estimate only sends
# fewer prompts.
INITIAL_TOKENS_PER_MS: Final = 25
# Bounds of a sample in tokens per millisecond, so that one wrong sample has
# little effect. They are far below and above the engines measured so far.
MIN_TOKENS_PER_MS: Final = 2
MAX_TOKENS_PER_MS: Final = 500
# Weight of a new sample in the average, which settles after ten samples.
_RATE_WEIGHT: Final = 0.1
# Shortest prefill that is measured, some 80 ms long: the time of shorter ones
# depends more on the network delay than on the engine.
MIN_SAMPLE_TOKENS: Final = 2000
# Token gap without prefills that is assumed before the first sample of an
# engine.
_INITIAL_GAP_MS: Final = 30
# Weight of a new gap in the average. A stream has some hundred gaps, so the
# average settles within one stream.
_GAP_WEIGHT: Final = 0.02
# A stream's longest gap updates that of the pool only if the pending prefill
# time is at least this multiple of the gap.
_MIN_PENDING_RATIO: Final = 1.5
# Weights of a new gap in the longest gap of the pool, which rises fast and
# falls slowly, since a pool's slowest engine counts.
_LONGER_GAP_WEIGHT: Final = 0.3
_SHORTER_GAP_WEIGHT: Final = 0.02
# A gap is a sample of the gaps at full load only if the pending prefill time is
# at least this multiple of the gap, since half of the known pending tokens may
# be prefilled already; and if it exceeds the idle gap by the second ratio.
_MIN_FULL_LOAD_PENDING_RATIO: Final = 3
_MIN_FULL_LOAD_GAP_RATIO: Final = 1.5
# Relative deviation of a measured time from its estimate: during long prefills
# nearly all streams have their longest gap within it of their engine's median.
_RELATIVE_SPREAD: Final = 0.15
# Prefills are assumed never to make a stream late if the longest gap that they
# cause is below this fraction of the stream's token gap bound.
_HARMLESS_GAP_FRACTION: Final = 0.5


class Rate(Protocol):
    """A prefill rate."""

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine prefills per millisecond."""


@final
class PrefillRate:
    """The measured prefill rate of an engine or of the engines of a pool."""

    __slots__ = ('_tokens_per_ms',)

    def __init__(self, *, tokens_per_ms: float = INITIAL_TOKENS_PER_MS) -> None:
        """Create a prefill rate without samples.

        :param tokens_per_ms: the initial estimate.
        """
        self._tokens_per_ms = tokens_per_ms

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine prefills per millisecond."""
        return self._tokens_per_ms

    def note(self, tokens: int, elapsed_ms: float) -> None:
        """Update the rate from a prompt whose answer has begun.

        :param tokens: prefill tokens of the prompt and of those before it.
        :param elapsed_ms: milliseconds from sending the prompt to the first
            event of its answer.
        """
        if tokens < MIN_SAMPLE_TOKENS or elapsed_ms <= 0:
            return
        rate = min(
            MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, tokens / elapsed_ms)
        )
        self._tokens_per_ms += (rate - self._tokens_per_ms) * _RATE_WEIGHT


@final
class LongestGap:
    """The longest token gap in a pool during uninterrupted prefill."""

    __slots__ = ('_longest_ms',)

    def __init__(self) -> None:
        """Initialize the longest gap as unknown."""
        self._longest_ms: float | None = None

    @property
    def longest_ms(self) -> float | None:
        """Milliseconds between two events, None before the first sample."""
        return self._longest_ms

    def note(self, gap_ms: int, pending_ms: float) -> None:
        """Update the longest gap from the longest gap of a stream.

        :param gap_ms: the gap in milliseconds.
        :param pending_ms: milliseconds that the prefill of all tokens takes
            that were pending meanwhile.
        """
        if pending_ms < gap_ms * _MIN_PENDING_RATIO:
            return
        known_ms = self._longest_ms
        if known_ms is None:
            self._longest_ms = gap_ms
        else:
            is_longer = gap_ms > known_ms
            weight = _LONGER_GAP_WEIGHT if is_longer else _SHORTER_GAP_WEIGHT
            self._longest_ms = known_ms + (gap_ms - known_ms) * weight


@final
class EngineSpeed:
    """The measured prefill rate and token gaps of one engine."""

    __slots__ = ('_idle_gap_ms', '_longest_gap', 'full_gaps', 'rate')

    def __init__(
        self,
        *,
        tokens_per_ms: float = INITIAL_TOKENS_PER_MS,
        rate: Rate | None = None,
        longest_gap: LongestGap | None = None,
        full_gaps: GapWindow | None = None,
    ) -> None:
        """Initialize the speed with estimates of the engine's pool.

        :param tokens_per_ms: prefill rate of the pool, in tokens per ms.
        :param rate: prefill rate of the engine, None to measure it here.
        :param longest_gap: longest token gap that prefills cause in the pool.
        :param full_gaps: stores the engine's gaps during prefill, if given.
        """
        self.rate = rate or PrefillRate(tokens_per_ms=tokens_per_ms)
        self._longest_gap = longest_gap or LongestGap()
        self._idle_gap_ms: float = _INITIAL_GAP_MS
        self.full_gaps = full_gaps

    @property
    def idle_gap_ms(self) -> float:
        """Milliseconds between two events of a stream without prefills."""
        return self._idle_gap_ms

    @property
    def full_gap_ms(self) -> float | None:
        """Longest token gap at full load in milliseconds, None if unknown."""
        return self._longest_gap.longest_ms

    def prefill_ms(self, tokens: float) -> float:
        """Estimate the duration of a prefill.

        :param tokens: number of tokens to prefill.
        :returns: the duration in milliseconds.
        """
        return tokens / self.rate.tokens_per_ms

    def free_gap_tokens(self, gap_ms: float) -> float:
        """Return how many tokens fit between two events of a stream.

        :param gap_ms: the token gap bound of the stream in milliseconds.
        :returns: number of prefill tokens, at least one.
        """
        free_ms = gap_ms - self._idle_gap_ms
        return max(1.0, free_ms * self.rate.tokens_per_ms)

    def prefill_gap_share(self, tokens: float, gap_ms: float) -> float:
        """Return the share of a stream's token gap bound that prefills take.

        Concurrent prefills of other gateways are not known: if they may take
        any part of the free capacity between two events, this share is the
        probability that these prefills make the gap too long.

        :param tokens: number of prefill tokens.
        :param gap_ms: the token gap bound of the stream in milliseconds.
        :returns: 0 if the engine's gaps stay far below the bound;
            over 1 if the prefills exceed the free capacity.
        """
        full_ms = self.full_gap_ms
        if full_ms is not None and full_ms < gap_ms * _HARMLESS_GAP_FRACTION:
            return 0
        return tokens / self.free_gap_tokens(gap_ms)

    def note_gap(self, gap_ms: int) -> None:
        """Record a token gap of a stream without prefills.

        :param gap_ms: milliseconds between two events.
        """
        self._idle_gap_ms += (gap_ms - self._idle_gap_ms) * _GAP_WEIGHT

    def note_longest_gap(self, gap_ms: int, prefill_tokens: int) -> None:
        """Record the longest gap of a stream.

        :param gap_ms: the gap in milliseconds.
        :param prefill_tokens: pending prefill tokens of the engine meanwhile.
        """
        pending_ms = self.prefill_ms(prefill_tokens)
        self._longest_gap.note(gap_ms, pending_ms)
        prefills_throughout = (
            pending_ms >= gap_ms * _MIN_FULL_LOAD_PENDING_RATIO
        )
        is_longer = gap_ms > self._idle_gap_ms * _MIN_FULL_LOAD_GAP_RATIO
        if self.full_gaps is not None and prefills_throughout and is_longer:
            self.full_gaps.note(gap_ms)


def late_probability(expected_ms: float, bound_ms: float) -> float:
    """Estimate the probability that a time exceeds its bound.

    :param expected_ms: the estimated time in milliseconds.
    :param bound_ms: the bound in milliseconds.
    :returns: 0 to 1, one half if both are equal.
    """
    excess = expected_ms / bound_ms - 1
    return min(
        1.0, max(0, (excess + _RELATIVE_SPREAD) / (2 * _RELATIVE_SPREAD))
    )
