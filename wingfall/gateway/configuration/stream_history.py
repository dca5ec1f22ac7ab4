"""Origins of streams, kept in the platform's store.

Gateways tell each other where streams began. After the end of all gateways the
store shows it. Each gateway keeps an object of the streams that began there,
except for pools that are known to have had one version, where the origin
follows from that. The object is written in batches beside the calls: a stream
that ends with all gateways before it was written is unknown afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

import gevent
from gevent.event import Event
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.configuration.stored_streams import (
    decode_streams,
    encode_streams,
)
from wingfall.gateway.knowledge.stream_origins import (
    MAX_STREAM_LIFE_MS,
    StreamOrigins,
)
from wingfall.gateway.model.version_record import KEPT_MS
from wingfall.gateway.rules.streams.history_log import HistoryLog
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.knowledge.stream_origins import (
        StreamKey,
        StreamRecord,
    )
    from wingfall.gateway.model.object_store import (
        ObjectDirectory,
        StoredObject,
    )
    from wingfall.metrics import Metrics

# Fraction of the store's writes that all gateways together use.
_WRITES_FRACTION: Final = 0.05
# The same of the store's reads for lists, each of which can be a megabyte.
_LISTS_FRACTION: Final = 0.002
# Minimum interval of the lists of one gateway.
_MIN_LIST_INTERVAL_MS: Final = 1000
# Maximum delay of the attempts to use a store that fails.
_MAX_RETRY_MS: Final = 8000
# Minimum interval of the writes of one gateway.
_MIN_WRITE_INTERVAL_MS: Final = 200
# Streams that all gateways together keep: fewer than a gateway holds in memory,
# and 0.8 MB, which a store takes as one object.
_MAX_STREAMS: Final = 60_000
# Milliseconds for which a second version of a pool counts. The history of
# versions shows it for the first half of that time.
_SEVERAL_MS: Final = 2 * KEPT_MS


@final
class StreamHistory:
    """Keeps the object of this gateway, and reads those of all."""

    __slots__ = (
        '_clock',
        '_get_gateway_count',
        '_has_read',
        '_is_first',
        '_knows_own',
        '_lists_per_s',
        '_log',
        '_name',
        '_next_list_ms',
        '_object_count',
        '_origins',
        '_own',
        '_reading',
        '_revision',
        '_store',
        '_swept',
        '_versions',
        '_writes_per_s',
        '_written',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        store: ObjectDirectory,
        origins: StreamOrigins,
        versions: PoolVersions,
        writes_per_s: float,
        reads_per_s: float,
        get_gateway_count: Callable[[], int],
        is_first: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Initialize a history that was not read yet.

        :param name: name of this gateway, and of its object.
        :param clock: source of the current time.
        :param store: store of the objects.
        :param origins: the origins known to this gateway, which are updated.
        :param versions: the versions that pools had lately.
        :param writes_per_s: writes a second that the store takes of all
            gateways.
        :param reads_per_s: reads a second that it takes of them.
        :param get_gateway_count: returns the number of gateways.
        :param is_first: returns whether this gateway removes the objects of
            gateways that never come back.
        :param metrics: counts reads and writes.
        """
        self._name = name
        self._clock = clock
        self._store = store
        self._origins = origins
        self._versions = versions
        self._writes_per_s = writes_per_s * _WRITES_FRACTION
        self._lists_per_s = reads_per_s * _LISTS_FRACTION
        self._get_gateway_count = get_gateway_count
        self._is_first = is_first
        self._log = HistoryLog(clock=clock, metrics=metrics)
        # Streams that began here and were not seen to their end, and those that
        # an earlier process of this gateway left.
        self._own = StreamOrigins(clock=clock)
        # Revision and streams of the own object as last read or written.
        self._revision: int | None = None
        self._written: frozenset[StreamKey] = frozenset()
        # Number of objects when they were last read.
        self._object_count = 0
        # Whether the objects of all gateways, and that of this one, were read
        # since the start.
        self._has_read = False
        self._knows_own = False
        # Set at the end of the list that is under way.
        self._reading: Event | None = None
        self._next_list_ms = clock.now_ms()
        # Revisions of the objects when it was last looked for unused ones.
        self._swept: dict[str, int] = {}

    def note_begun(self, key: StreamKey, record: StreamRecord) -> None:
        """Keep a stream that began at this gateway.

        :param key: key of the stream.
        :param record: the record of its origin.
        """
        self._own.note(key, record)

    def note_ended(self, key: StreamKey) -> None:
        """Drop a stream that was sent to its end.

        :param key: key of the stream.
        """
        self._own.drop(key)

    def ask(self, key: StreamKey, timeout_ms: int) -> None:
        """Read where a stream began, and wait until that is known.

        One list of the objects serves all streams that are asked for.

        :param key: key of the stream.
        :param timeout_ms: maximum milliseconds to wait.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        if self._reading is None:
            if self._next_list_ms > until_ms:
                return
            # The list goes on for later calls when this one has given up.
            gevent.spawn(self._read_when_due)
            gevent.sleep(0)
        if self._reading is not None and self._origins.find(key) is None:
            self._reading.wait(timeout_ms / MS_PER_S)

    def run(self, stop: Event) -> None:
        """Read the objects, then keep the own one until the process ends.

        :param stop: set when the process ends.
        """
        backoff = Backoff(min_ms=_MIN_LIST_INTERVAL_MS, max_ms=_MAX_RETRY_MS)
        # What an earlier process left must be known before it is replaced. The
        # object of this gateway can be read while lists of all of them fail.
        while not self._knows_own:
            self._read_when_due()
            if self._knows_own or self._read_own():
                break
            if stop.wait(backoff.take_ms() / MS_PER_S):
                return
        self._keep(stop, backoff)

    def sweep(self, stop: Event) -> None:
        """Remove objects that no gateway uses any more.

        :param stop: set when the process ends.
        """
        while not stop.wait(MAX_STREAM_LIFE_MS / MS_PER_S):
            if self._is_first():
                self.remove_unused()
            else:
                self._swept = {}

    def remove_unused(self) -> None:
        """Remove the objects that have not changed since the last call."""
        listed = self._store.list_all(progress=_pass_over)
        if not isinstance(listed, Success):
            return
        found = {
            each.name: each.revision
            for each in listed.unwrap().objects
            if each.name != self._name
        }
        unused = [
            name for name in found if self._swept.get(name) == found[name]
        ]
        for name in unused:
            removed = self._store.remove(name, found[name])
            self._log.note_removed(name, ok=isinstance(removed, Success))
        self._swept = found

    def _keep(self, stop: Event, backoff: Backoff) -> None:
        while not stop.wait(self._write_interval_ms() / MS_PER_S):
            self._retry_list()
            if self._write():
                backoff.reset()
            elif stop.wait(backoff.take_ms() / MS_PER_S):
                return

    def _retry_list(self) -> None:
        is_due = self._next_list_ms <= self._clock.now_ms()
        if not self._has_read and self._reading is None and is_due:
            gevent.spawn(self._read_when_due)

    def _write_interval_ms(self) -> int:
        interval_ms = MS_PER_S * self._gateway_count / self._writes_per_s
        return max(_MIN_WRITE_INTERVAL_MS, int(interval_ms))

    def _list_interval_ms(self) -> int:
        interval_ms = MS_PER_S * self._gateway_count / self._lists_per_s
        return max(_MIN_LIST_INTERVAL_MS, int(interval_ms))

    @property
    def _gateway_count(self) -> int:
        # A gateway that starts has not met the others yet.
        return max(1, self._get_gateway_count(), self._object_count)

    def _read_when_due(self) -> None:
        if self._reading is not None:
            self._reading.wait()
            return
        reading = Event()
        self._reading = reading
        try:
            gevent.sleep(
                max(0, self._next_list_ms - self._clock.now_ms()) / MS_PER_S
            )
            self._read_all()
        finally:
            self._reading = None
            reading.set()

    def _read_all(self) -> None:
        started_ms = self._clock.now_ms()
        self._next_list_ms = started_ms + self._list_interval_ms()
        listed = self._store.list_all(progress=_pass_over)
        stream_count = 0
        if isinstance(listed, Success):
            stored = listed.unwrap().objects
            stream_count = sum(self._merge(each) for each in stored)
            self._object_count = len(stored)
            self._has_read = True
            self._knows_own = True
        self._log.note_read(
            self._clock.now_ms() - started_ms, stream_count, listed
        )

    def _merge(self, stored: StoredObject) -> int:
        streams = list(decode_streams(stored.spec, self._clock.now_ms()))
        for key, record in streams:
            self._origins.note(key, record)
        if stored.name == self._name and not self._knows_own:
            self._adopt(stored)
        return len(streams)

    def _adopt(self, stored: StoredObject | None) -> None:
        # The object may hold streams that an earlier process of this gateway
        # wrote, or that were written by a call without an answer.
        self._revision = stored.revision if stored else None
        spec = stored.spec if stored else None
        streams = list(decode_streams(spec, self._clock.now_ms()))
        for key, record in streams:
            self._own.note(key, record)
        self._written = frozenset(key for key, _record in streams)

    def _write(self) -> bool:
        self._own.forget_expired()
        streams = self._list_streams()
        keys = frozenset(streams)
        # Streams that ended are dropped with the next write that adds some, or
        # that leaves nothing.
        if keys <= self._written and (keys or not self._written):
            return True
        spec = encode_streams(streams.items(), self._clock.now_ms())
        written = self._store.write(self._name, spec, self._revision)
        self._log.note_written(len(keys), written)
        if isinstance(written, Success):
            self._revision = written.unwrap().revision
            self._written = keys
            return True
        # It may have taken effect, or the object has changed.
        self._read_own()
        return False

    def _read_own(self) -> bool:
        answer = self._store.read(self._name)
        if not isinstance(answer, Success):
            return False
        self._adopt(answer.unwrap())
        self._knows_own = True
        return True

    def _list_streams(self) -> dict[StreamKey, StreamRecord]:
        return {
            key: record
            for key, record in self._own.newest(
                _MAX_STREAMS // self._gateway_count
            )
            if key in self._written or self._is_needed(record)
        }

    def _is_needed(self, record: StreamRecord) -> bool:
        pool, version = record.origin.pool, record.origin.version
        # Beyond that time the history of versions tells nothing.
        life_ms = min(record.expires_ms - record.began_ms, KEPT_MS)
        history = self._versions.record
        if history is None or history.complete_ms < life_ms:
            return True
        named = set(history.pools.get(pool, ()))
        return named | self._versions.list_known(pool, _SEVERAL_MS) != {version}


def _pass_over() -> None:
    """Take no note of the progress of a list."""
