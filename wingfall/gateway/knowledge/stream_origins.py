"""Origins of recent streams, by the request whose answer began them.

A caller takes up a stream at any gateway and names that request. Only records
of streams that have begun are stored, so requests that name invented ids take
no memory.
"""

from __future__ import annotations

import collections
import hashlib
import itertools
from typing import TYPE_CHECKING, Final, Protocol, final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.clock import Clock
    from wingfall.gateway.model.stream_origin import StreamOrigin

StreamKey = bytes
STREAM_KEY_BYTES: Final = 8
# Lifetime of a record: the time for which the caller waits, with a margin,
# within these bounds in milliseconds.
_LIFE_FACTOR: Final = 1.5
MIN_STREAM_LIFE_MS: Final = 15_000
MAX_STREAM_LIFE_MS: Final = 600_000
# Maximum number of records; the oldest is dropped first.
MAX_RECORDS: Final = 65_536


def make_stream_key(customer: str, call_id: str) -> StreamKey:
    """Return the key of a stream; customers may use the same request ids.

    :param customer: name of the customer, empty on public routes.
    :param call_id: id of the request whose answer began the stream.
    :returns: the key, the same at all gateways.
    """
    text = f'{customer}\0{call_id}'.encode()
    return hashlib.blake2b(text, digest_size=STREAM_KEY_BYTES).digest()


def stream_life_ms(timeout_ms: int) -> int:
    """Return how long the origin of a stream may be asked for.

    :param timeout_ms: milliseconds that the caller or the route allows.
    :returns: milliseconds since the first event.
    """
    life_ms = int(timeout_ms * _LIFE_FACTOR)
    return min(max(life_ms, MIN_STREAM_LIFE_MS), MAX_STREAM_LIFE_MS)


@final
class StreamRecord:
    """The origin of one stream, and where it is known from."""

    __slots__ = ('began_ms', 'expires_ms', 'origin', 'reported_by')

    def __init__(
        self,
        *,
        origin: StreamOrigin,
        began_ms: int,
        expires_ms: int,
        reported_by: str = '',
    ) -> None:
        """Create a record.

        :param origin: where the stream began.
        :param began_ms: time in milliseconds of its first event.
        :param expires_ms: time in milliseconds at which the record is dropped.
        :param reported_by: the peer that reported it, empty for a stream that
            began at this gateway.
        """
        self.origin = origin
        self.began_ms = began_ms
        self.expires_ms = expires_ms
        self.reported_by = reported_by


class StreamPeers(Protocol):
    """The other gateways, which hold origins of streams too."""

    def report(self, key: StreamKey, record: StreamRecord) -> None:
        """Report a stream that has begun.

        :param key: key of the stream.
        :param record: the record of its origin.
        """

    def ask(self, key: StreamKey, timeout_ms: int) -> bool:
        """Ask where a stream began, and wait until that is known.

        :param key: key of the stream.
        :param timeout_ms: maximum milliseconds to wait.
        :returns: whether a longer wait would tell nothing more.
        """


@final
class StreamOrigins:
    """Records of the streams that began here, or that peers reported."""

    __slots__ = ('_clock', '_records')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty store.

        :param clock: source of the current time.
        """
        self._clock = clock
        self._records: collections.OrderedDict[StreamKey, StreamRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def find(self, key: StreamKey) -> StreamRecord | None:
        """Return the record of a stream.

        :param key: key of the stream.
        :returns: the record, None if there is none that is still valid.
        """
        record = self._records.get(key)
        if record is None or record.expires_ms <= self._clock.now_ms():
            return None
        return record

    def note(self, key: StreamKey, record: StreamRecord) -> None:
        """Add a record; the first one of a stream stays.

        :param key: key of the stream.
        :param record: the record.
        """
        if self.find(key) is not None:
            return
        self._records[key] = record
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def newest(self, count: int) -> Iterator[tuple[StreamKey, StreamRecord]]:
        """Return the newest valid records.

        :param count: maximum number of records to look at.
        :yields: keys and records.
        """
        now_ms = self._clock.now_ms()
        latest = itertools.islice(reversed(self._records.items()), count)
        for key, record in list(latest):
            if record.expires_ms > now_ms:
                yield key, record

    def forget_expired(self) -> None:
        """Remove records that are no longer valid."""
        now_ms = self._clock.now_ms()
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_ms <= now_ms
        ]
        for key in expired:
            self._records.pop(key)
