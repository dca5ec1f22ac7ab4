"""Follows one kind of object in the platform's store: list, then watch.

Owns the revision up to which the store has been read. Only gateways on watch
duty call the store; the others rely on their peers. Changes go to a replica.
"""

from __future__ import annotations

import http
import random
from typing import TYPE_CHECKING, Callable, Final, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import log_event
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event
    from returns.result import Result

    from wingfall.clock import Clock
    from wingfall.errors import PlatformError
    from wingfall.gateway.configuration.replica import ObjectReplica
    from wingfall.gateway.model.object_store import ObjectStore, StoreResponse

# Milliseconds from a failed call to the next; the delay doubles with each
# failure, so that one lost answer costs little.
_MIN_RETRY_MS: Final = 100
# Maximum of this delay for gateways that lead in asking a lost store, chosen so
# that a change is in force within a second of the store's return.
_MAX_LEADING_RETRY_MS: Final = 800
# Maximum for all other gateways, which wait for the leading ones: with 0.8 s
# they made 560 of the 1,190 calls of a grown day with an outage.
_MAX_OTHER_RETRY_MS: Final = 4000
# Interval of the check whether to watch; adds to the time that a gateway needs
# to take over the watch of another.
_POLL_INTERVAL_MS: Final = 100
# Pause of a watch after a change, so that one call covers the changes that
# follow: four watchers without the pause made a sixth to a quarter more calls
# than three with it.
WATCH_PAUSE_MS: Final = 150


@final
class StoreFollower:
    """Updates a replica from the store while the store can be reached."""

    __slots__ = (
        '_backoff',
        '_clock',
        '_followed_since_ms',
        '_last_answer_ms',
        '_was_watching',
        '_holds_watch',
        '_is_idle',
        '_is_leading',
        '_is_lost',
        '_max_gap_ms',
        '_must_list',
        '_replica',
        '_revision',
        '_store',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        replica: ObjectReplica,
        clock: Clock,
        max_gap_ms: int,
        holds_watch: Callable[[], bool],
        leads: Callable[[], bool],
    ) -> None:
        """Initialize a follower.

        :param store: the platform's store of the kind.
        :param replica: replica to update.
        :param clock: source of the current time.
        :param max_gap_ms: milliseconds between two answers of the store from
            which it was not followed.
        :param holds_watch: returns whether this gateway is on watch duty.
        :param leads: returns whether this gateway is among the first to ask a
            lost store.
        """
        self._store = store
        self._replica = replica
        self._clock = clock
        self._max_gap_ms = max_gap_ms
        self._holds_watch = holds_watch
        self._is_leading = leads
        self._last_answer_ms = 0
        # Whether this gateway was on watch duty at the last check, for the log.
        self._was_watching = False
        self._revision: int | None = None
        # A list is required: the store has dropped the history up to the
        # revision, or a watch could not be read.
        self._must_list = False
        self._is_lost = False
        # Peers were on watch duty; the store has not been called since.
        self._is_idle = False
        # Since when watches have followed each other without a gap.
        self._followed_since_ms = 0
        self._backoff = Backoff(
            min_ms=_MIN_RETRY_MS,
            max_ms=_MAX_OTHER_RETRY_MS,
        )

    @property
    def kind(self) -> str:
        """Kind of the followed objects."""
        return self._replica.kind

    @property
    def followed_ms(self) -> int:
        """Milliseconds for which the store was followed without a gap.

        A list after a lost history, a failed call and a late answer end that
        time.
        """
        if self._is_idle or not self.has_answered(self._max_gap_ms):
            return 0
        return self._clock.now_ms() - self._followed_since_ms

    def has_answered(self, within_ms: int) -> bool:
        """Check if the store has answered lately.

        :param within_ms: maximum age of the last answer in milliseconds.
        :returns: whether the store has answered, and has not failed since.
        """
        age_ms = self._clock.now_ms() - self._last_answer_ms
        return (
            not self._is_lost
            and bool(self._last_answer_ms)
            and age_ms <= within_ms
        )

    def follow(self, stop: Event) -> None:
        """Follow the store until the process ends.

        :param stop: set when the process ends.
        """
        while not stop.is_set():
            self._adopt_peer_revision()
            holds_watch = self._holds_watch()
            self._note_watch_duty(is_watching=holds_watch)
            if self._revision is not None and not holds_watch:
                self._is_idle = True
                gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
            elif self._call_store():
                self._backoff.reset()
            else:
                self._wait_for_retry()

    def _adopt_peer_revision(self) -> None:
        # Objects from a peer are complete, so that no list is needed.
        if self._revision is None and not self._must_list:
            self._revision = self._replica.revision or None

    def _wait_for_retry(self) -> None:
        jitter = random.uniform(0.5, 1)  # noqa: S311, WPS432
        failed_ms = self._clock.now_ms()
        backoff_ms = self._backoff.take_ms()
        # A leading gateway may end meanwhile, so that this one has to lead.
        while True:
            rest_ms = (
                retry_delay_ms(backoff_ms, leads=self._is_leading()) * jitter
            )
            if self._clock.now_ms() - failed_ms >= rest_ms:
                return
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)

    def _call_store(self) -> bool:
        asked_ms = self._clock.now_ms()
        revision = self._revision
        if revision is not None:
            # Peers may have sent later changes than the store.
            revision = max(revision, self._replica.revision)
        answer = self._list_or_watch(revision)
        if not isinstance(answer, Success):
            self._note_failed(answer.failure())
            return False
        reading = answer.unwrap()
        if revision is None:
            self._replica.apply_list(reading)
        else:
            self._replica.apply_changes(reading)
        self._revision = max(reading.revision, revision or 0)
        self._note_progress()
        if revision is None or self._is_lost or self._is_idle:
            self._followed_since_ms = self._last_answer_ms
        self._must_list = False
        self._is_idle = False
        self._note_regained()
        if reading.objects:
            log_event(
                'store',
                'The store told of objects.',
                kind=self._replica.kind,
                call='list' if revision is None else 'watch',
                objects=len(reading.objects),
                revision=reading.revision,
                ms=self._last_answer_ms - asked_ms,
            )
            gevent.sleep(WATCH_PAUSE_MS / MS_PER_S)
        return True

    def _list_or_watch(
        self,
        revision: int | None,
    ) -> Result[StoreResponse, PlatformError]:
        if revision is None:
            return self._store.list_all(progress=self._note_progress)
        # A watch of an unresponsive store hangs for its whole time, even if the
        # store is back meanwhile. A gateway that takes over is known to watch
        # by its peers only once the store has answered.
        return self._store.watch(
            revision,
            brief=self._is_lost or self._is_idle,
            progress=self._note_progress,
        )

    def _note_progress(self) -> None:
        # A long answer over a slow link counts while its bytes arrive.
        now_ms = self._clock.now_ms()
        if now_ms - self._last_answer_ms > self._max_gap_ms:
            self._followed_since_ms = now_ms
        self._last_answer_ms = now_ms

    def _note_watch_duty(self, *, is_watching: bool) -> None:
        if is_watching is not self._was_watching:
            self._was_watching = is_watching
            log_event(
                'store',
                'Watched from here.' if is_watching else 'Watched by peers.',
                kind=self._replica.kind,
                revision=self._revision,
                heard_ms=self._clock.now_ms() - self._last_answer_ms,
            )

    def _note_failed(self, failure: PlatformError) -> None:
        if failure.status == http.HTTPStatus.OK:
            # The answer of a watch can't be read; a list skips it.
            self._revision = None
            self._must_list = True
        if failure.status == http.HTTPStatus.GONE:
            # The store has answered: peers need not take over during the list.
            self._revision = None
            self._must_list = True
            self._note_progress()
            log_event(
                'store',
                'The store has forgotten the history.',
                kind=self._replica.kind,
                revision=self._replica.revision,
            )
        elif not self._is_lost:
            self._is_lost = True
            log_event(
                'store',
                'The store was lost.',
                kind=self._replica.kind,
                revision=self._revision,
                reason=str(failure),
            )

    def _note_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            log_event(
                'store',
                'The store is back.',
                kind=self._replica.kind,
                revision=self._revision,
            )


def retry_delay_ms(backoff_ms: int, *, leads: bool) -> int:
    """Return the delay after which a lost store is asked again.

    :param backoff_ms: delay that doubles with each failure.
    :param leads: whether this gateway is among the first to ask.
    :returns: milliseconds after the last failure.
    """
    return min(backoff_ms, _MAX_LEADING_RETRY_MS) if leads else backoff_ms
