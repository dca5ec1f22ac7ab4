"""The last prefill rate samples of an engine, and the rate estimated from them.

Many gateways may use an engine at once. Tokens pending there before a prompt
make a sample too low, and only a prompt that was cached unexpectedly makes one
too high. So a high quantile of the samples is the engine's rate, and one wrong
sample moves it by one rank.
"""

from __future__ import annotations

import collections
from typing import Final, final

from wingfall.gateway.knowledge.quantile import quantile

# Samples stored of one engine. Enough that a slowdown of half a second is a
# small share of them, few enough that an engine that became slow is detected
# after a dozen samples.
_MAX_SAMPLES: Final = 16
# Quantile of the samples that is the engine's rate.
_RATE_QUANTILE: Final = 0.9
# Age at which a sample is dropped once there are newer samples.
_MAX_AGE_MS: Final = 10_000
# Number of newer samples that are needed to drop an old one.
_MIN_SAMPLES: Final = 4
# Number of samples within the time below that suffices for all gateways, so
# that further samples needn't be reported.
_MIN_RECENT_SAMPLES: Final = 8
_RECENT_WINDOW_MS: Final = 2000


@final
class PrefillRateWindow:
    """The recent prefill rate of one engine."""

    __slots__ = ('_rate', '_samples')

    def __init__(self) -> None:
        """Create an empty window."""
        # Tokens per millisecond and the clock time of each sample.
        self._samples: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._rate: float | None = None

    @property
    def rate(self) -> float | None:
        """Tokens that the engine prefills per millisecond, None if unknown."""
        return self._rate

    def needs_more_samples(self, now_ms: int) -> bool:
        """Check if another sample should be reported to other gateways.

        :param now_ms: the current time in milliseconds.
        :returns: whether too few samples are recent.
        """
        recent = sum(
            now_ms - sampled_ms < _RECENT_WINDOW_MS
            for _rate, sampled_ms in self._samples
        )
        return recent < _MIN_RECENT_SAMPLES

    def is_stale(self, now_ms: int) -> bool:
        """Check if the engine has no recent samples.

        :param now_ms: the current time in milliseconds.
        :returns: whether all samples are beyond the maximum age.
        """
        if not self._samples:
            return True
        return now_ms - self._samples[-1][1] > _MAX_AGE_MS

    def note(self, tokens_per_ms: float, now_ms: int) -> None:
        """Record a sample.

        :param tokens_per_ms: the prefill rate in tokens per millisecond.
        :param now_ms: the current time in milliseconds.
        """
        self._samples.append((tokens_per_ms, now_ms))
        while len(self._samples) > _MIN_SAMPLES:
            if now_ms - self._samples[0][1] <= _MAX_AGE_MS:
                break
            self._samples.popleft()
        self._rate = quantile(
            (rate for rate, _sampled_ms in self._samples), _RATE_QUANTILE
        )

    def note_peer_rate(self, tokens_per_ms: float, now_ms: int) -> None:
        """Record the rate that another gateway has estimated.

        The rate represents that gateway's samples while this gateway has none;
        beside samples it would count them twice.

        :param tokens_per_ms: the estimated rate in tokens per millisecond.
        :param now_ms: the current time in milliseconds.
        """
        if not self._samples:
            self.note(tokens_per_ms, now_ms)
