"""Crashes and their suspects, kept in the platform's store.

Gateways tell each other of crashes. After the end of all gateways the object
shows what had crashed endpoints, so that a request or a prompt part that was
blocked stays blocked. The first of the gateways that watch the store writes it
whenever the crashes change; nothing waits for the write.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Any, Callable, Final, final

from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.configuration.stored_crashes import (
    decode_crashes,
    encode_crashes,
    strip_writer,
)
from wingfall.gateway.knowledge.crash_ledger import RETENTION_MS
from wingfall.gateway.knowledge.lost_gateways import UNREPORTED_MS
from wingfall.log import log_event
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event
    from returns.result import Result

    from wingfall.clock import Clock
    from wingfall.errors import PlatformError
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.object_store import ObjectWriter, StoredObject
    from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks
    from wingfall.metrics import Metrics

OBJECT_NAME: Final = 'recent'
# Delay of a write after a change, in which other gateways report what they had
# at a crash.
_WRITE_DELAY_MS: Final = 400
# Minimum delay of a further attempt to use a store that fails.
_MIN_RETRY_MS: Final = 500
# Delay of a change for each gateway that precedes this one, so that the first
# one writes it and the others only read it.
_RANK_DELAY_MS: Final = 2000
# Maximum delay of the attempts to use a store that fails.
_MAX_RETRY_MS: Final = 8000
# Interval of the checks whether this gateway has become the first.
_CHECK_INTERVAL_MS: Final = 1000


@final
class CrashHistory:
    """Reads the object at a start, and keeps it up to date."""

    __slots__ = (
        '_backoff',
        '_blocks',
        '_clock',
        '_get_rank',
        '_has_incomplete',
        '_ledger',
        '_may_write',
        '_metrics',
        '_object_revision',
        '_saved_revision',
        '_store',
        '_stored',
    )

    def __init__(
        self,
        *,
        store: ObjectWriter,
        clock: Clock,
        metrics: Metrics,
        ledger: CrashLedger,
        blocks: RequestBlocks,
        may_write: Callable[[], bool],
        get_rank: Callable[[], int],
    ) -> None:
        """Initialize a history that was not read yet.

        :param store: store of the object.
        :param clock: source of the current time.
        :param metrics: counts reads and writes.
        :param ledger: crashes known to this gateway, which are updated.
        :param blocks: tells what is known of each crash and which prompt parts
            are never blocked; adopts what the object tells of both.
        :param may_write: returns whether this gateway is among those that keep
            the object.
        :param get_rank: returns the number of gateways that precede this one.
        """
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._ledger = ledger
        self._blocks = blocks
        self._may_write = may_write
        self._get_rank = get_rank
        self._backoff = Backoff(min_ms=_MIN_RETRY_MS, max_ms=_MAX_RETRY_MS)
        # Revision of the object, None if there is none, and what it tells.
        self._object_revision: int | None = None
        self._stored: Any = None
        # Revision of the ledger that the object includes.
        self._saved_revision = ledger.revision
        # Whether it has crashes that gateways were still reporting.
        self._has_incomplete = False

    def run(self, stop: Event) -> None:
        """Read the object, then keep it up to date until the process ends.

        :param stop: set when the process ends.
        """
        while not self.read():
            if stop.wait(self._backoff.take_ms() / MS_PER_S):
                return
        self._backoff.reset()
        while not stop.is_set():
            if not self._is_due():
                self._wait_for_change()
            elif self._await_turn(stop):
                stop.wait(self._save() / MS_PER_S)

    def read(self) -> bool:
        """Read the object and merge its crashes into the ledger.

        :returns: whether the store has answered.
        """
        answer = self._store.read(OBJECT_NAME)
        if isinstance(answer, Success):
            self._adopt(answer.unwrap())
        else:
            self._report('read', answer)
        return isinstance(answer, Success)

    def _adopt(self, stored: StoredObject | None) -> None:
        if stored is None:
            self._object_revision = None
            self._stored = None
            return
        is_known = stored.revision == self._object_revision
        self._object_revision = stored.revision
        if is_known:
            return
        now_ms = self._clock.now_ms()
        found = decode_crashes(stored.spec, now_ms)
        known = {crash.endpoint for crash in self._ledger.crashes}
        for crash in found.crashes:
            self._ledger.merge_crash(crash)
        for served in found.served:
            # At some time before all crashes; none of them is cleared by it.
            self._ledger.merge_served(served, now_ms - RETENTION_MS)
        self._blocks.restore(
            complete=found.complete,
            adopted=frozenset(each.endpoint for each in found.crashes) - known,
            common_parts=found.common_parts,
        )
        self._stored = _describe(stored.spec)
        self._report(
            'read',
            Success(stored),
            crashes=len(found.crashes),
            complete=len(found.complete),
        )

    @property
    def _is_saved(self) -> bool:
        is_current = self._ledger.revision == self._saved_revision
        return is_current and not self._has_incomplete

    def _is_due(self) -> bool:
        return not self._is_saved and self._may_write()

    def _wait_for_change(self) -> None:
        # A change that other gateways keep is due here once they have ended.
        timeout_s = None if self._is_saved else _CHECK_INTERVAL_MS / MS_PER_S
        self._ledger.changed.wait(timeout_s)
        self._ledger.changed.clear()

    def _await_turn(self, stop: Event) -> bool:
        rank = self._get_rank()
        delay_ms = _WRITE_DELAY_MS + rank * _RANK_DELAY_MS
        if stop.wait(delay_ms / MS_PER_S):
            return False
        return not rank or self.read()

    def _save(self) -> int:
        # The revision is read first: what comes meanwhile is written next.
        revision, now_ms = self._ledger.revision, self._clock.now_ms()
        spec = encode_crashes(
            self._ledger,
            now_ms,
            is_common=self._blocks.is_common_part,
            is_complete=self._blocks.is_complete,
        )
        if strip_writer(spec) == self._stored or self._has_nothing(spec):
            self._note_saved(revision, spec)
            return 0
        written = self._store.write(OBJECT_NAME, spec, self._object_revision)
        self._report(
            'written',
            written,
            crashes=len(spec['crashes']),
            complete=sum(each['complete'] for each in spec['crashes']),
        )
        if isinstance(written, Success):
            self._object_revision = written.unwrap().revision
            self._stored = strip_writer(spec)
            self._note_saved(revision, spec)
            self._backoff.reset()
            return 0
        # It may have taken effect, or another gateway has written.
        is_conflict = written.failure().status == http.HTTPStatus.CONFLICT
        is_read = self.read()
        return 0 if is_conflict and is_read else self._backoff.take_ms()

    def _note_saved(self, revision: int, spec: dict[str, Any]) -> None:
        self._saved_revision = revision
        self._has_incomplete = any(
            each['age_ms'] < UNREPORTED_MS and not each['complete']
            for each in spec['crashes']
        )

    def _has_nothing(self, spec: dict[str, Any]) -> bool:
        return self._object_revision is None and not spec['crashes']

    def _report(
        self,
        action: str,
        answer: Result[StoredObject, PlatformError],
        *,
        crashes: int = 0,
        complete: int = 0,
    ) -> None:
        is_done = isinstance(answer, Success)
        self._metrics.decisions.inc(
            {
                'part': 'crash_history',
                'reason': action if is_done else f'{action}_failed',
            }
        )
        log_event(
            'crash_history',
            f'The crashes in the store were {action}.',
            ok=is_done,
            crashes=crashes,
            complete=complete,
            ledger=self._ledger.revision,
            error='' if is_done else str(answer.failure()),
        )


def _describe(spec: Any) -> Any:
    # Content of another form differs from whatever would be written.
    try:
        return strip_writer(spec)
    except (TypeError, KeyError, AttributeError):
        return None
