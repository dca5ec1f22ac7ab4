"""Prompt parts that many prompts share."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.model.fingerprint import Fingerprint

# Prompts whose parts are counted, those that were sent last, and the number of
# them from which a share means something.
_MAX_PROMPTS: Final = 128
_MIN_PROMPTS: Final = 16
# Share of these prompts from which a part is common: it is at nearly all
# endpoints at any time, whatever crashes them.
_COMMON_SHARE: Final = 1 / 3
# Parts of one prompt that are counted.
_MAX_PARTS: Final = 32


@final
class CommonParts:
    """The parts of the prompts that a gateway sent last."""

    __slots__ = ('_counts', '_prompts', '_restored')

    def __init__(self) -> None:
        """Initialize without a prompt."""
        self._prompts: collections.deque[frozenset[Fingerprint]] = (
            collections.deque()
        )
        self._counts: collections.Counter[Fingerprint] = collections.Counter()
        # Parts that were common before the start.
        self._restored: frozenset[Fingerprint] = frozenset()

    def restore(self, parts: frozenset[Fingerprint]) -> None:
        """Take parts for common until enough prompts were sent.

        :param parts: parts that were common at another gateway or before.
        """
        self._restored = parts

    def note_prompt(self, parts: Sequence[Fingerprint]) -> None:
        """Record a prompt that is sent to an endpoint for the first time.

        :param parts: parts of it that other prompts may share.
        """
        counted = frozenset(parts[:_MAX_PARTS])
        self._prompts.append(counted)
        self._counts.update(counted)
        if len(self._prompts) > _MAX_PROMPTS:
            oldest = self._prompts.popleft()
            self._counts.subtract(oldest)
            for part in oldest:
                if not self._counts[part]:
                    self._counts.pop(part)

    def is_common(self, part: Fingerprint) -> bool:
        """Check if many of the last prompts share a part.

        :param part: fingerprint of the part.
        :returns: whether it is at nearly all endpoints.
        """
        if len(self._prompts) < _MIN_PROMPTS:
            return part in self._restored
        return self._counts[part] >= len(self._prompts) * _COMMON_SHARE
