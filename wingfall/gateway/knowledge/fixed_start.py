"""Fixed overhead of a first event, independent of the prompt's length.

For short prompts at engines with little prefill, the network delay and the
first step of the engine are most of the time; ignoring them makes prefill rate
samples too low. All engines of a pool share one overhead.
"""

from __future__ import annotations

import collections
from typing import Final, final

from wingfall.gateway.knowledge.quantile import quantile

# Short prefills that are retained: some seconds at a gateway.
_MAX_SAMPLES: Final = 32
# Short prefills that are required before the overhead is known.
_MIN_SAMPLES: Final = 4
# Quantile of the samples that is the overhead. Low, since unknown prefills of
# other gateways make samples too high and only an unexpectedly cached prompt
# part makes them too low.
_OVERHEAD_QUANTILE: Final = 0.25
# Bounds of a sample, far below and above those of known engines.
_MIN_SAMPLE_MS: Final = 1.0
_MAX_SAMPLE_MS: Final = 500


@final
class FixedOverhead:
    """The fixed overhead of a pool's first events."""

    __slots__ = ('_samples_ms',)

    def __init__(self) -> None:
        """Create an overhead without samples."""
        self._samples_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    @property
    def fixed_overhead_ms(self) -> float | None:
        """The overhead in milliseconds, None until it is known."""
        if len(self._samples_ms) < _MIN_SAMPLES:
            return None
        return quantile(self._samples_ms, _OVERHEAD_QUANTILE)

    def note(self, overhead_ms: float) -> None:
        """Record a short prefill.

        :param overhead_ms: milliseconds to its first event, without the prefill
            of its own tokens.
        """
        self._samples_ms.append(
            min(_MAX_SAMPLE_MS, max(_MIN_SAMPLE_MS, overhead_ms))
        )
