"""How long a model engine takes: a batch, reading in pieces, kept parts.

One prompt is read at a time, in the order in which they come. An engine looks
for kept parts when a prompt comes; parts count only with all before them.
Each event of a running stream waits for a step of the batch, which takes
longer the more streams run, and longer still beside a reading. What is not
modelled: preemption, copies between engines, the order of priorities.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

import gevent
from gevent.lock import RLock

if TYPE_CHECKING:
    from collections.abc import Iterator

_MS: Final = 1000
_PIECE_TOKENS: Final = 2048


@final
class EngineModel:
    """One engine's memory and the time that its work takes."""

    def __init__(
        self,
        *,
        tokens_per_ms: float = 37,
        step_ms: float = 20,
        step_ms_per_stream: float = 0.6,
        memory_tokens: int = 400_000,
    ) -> None:
        """Start idle and empty.

        :param tokens_per_ms: prompt tokens that it reads in a millisecond.
        :param step_ms: time of an event of a stream that runs alone.
        :param step_ms_per_stream: what each other stream adds.
        :param memory_tokens: tokens of parts that it keeps.
        """
        self.read_tokens = 0
        self.read_again_tokens = 0
        self.streams = 0
        self._tokens_per_ms = tokens_per_ms
        self._step_ms = step_ms
        self._step_ms_per_stream = step_ms_per_stream
        self._memory_tokens = memory_tokens
        self._reading = RLock()
        self._waiting = 0
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def read(self, prefix: str, seen: set[str]) -> None:
        """Take the time to read a prompt.

        :param prefix: its parts, ``ID:TOKENS`` with commas between; the last
            is its own.
        :param seen: parts that any engine reads or has read; added to.
        """
        parts = list(_parse(prefix))
        unread = parts[self._kept_parts(parts) :]
        tokens = sum(length for _part, length in unread)
        self.read_tokens += tokens
        self.read_again_tokens += sum(
            length for part, length in unread if part in seen
        )
        seen.update(part for part, _length in parts[:-1])
        self._waiting += 1
        with self._reading:
            gevent.sleep(tokens / self._tokens_per_ms / _MS)
        self._waiting -= 1
        self._keep(parts[:-1])

    def event_ms(self) -> float:
        """Tell how long the next event of a stream takes.

        :returns: milliseconds, as the engine stands now.
        """
        piece_ms = _PIECE_TOKENS / self._tokens_per_ms if self._waiting else 0
        return (
            self._step_ms + self._step_ms_per_stream * self.streams + piece_ms
        )

    def _kept_parts(self, parts: list[tuple[str, int]]) -> int:
        kept = 0
        for part, _length in parts:
            if part not in self._kept:
                break
            kept += 1
        return kept

    def _keep(self, parts: list[tuple[str, int]]) -> None:
        for part, length in parts:
            self._kept.pop(part, None)
            self._kept[part] = length
        while sum(self._kept.values()) > self._memory_tokens:
            self._kept.popitem(last=False)


def _parse(prefix: str) -> Iterator[tuple[str, int]]:
    for entry in filter(None, prefix.split(',')):
        part, _colon, tokens = entry.partition(':')
        yield part, int(tokens)
