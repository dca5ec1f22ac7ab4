"""Follows one kind of object in the platform's store: list, then watch.

Owns the revision up to which the store has been read. Only gateways on watch
duty ask; the others leave it to their peers. What is read goes to a replica.
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
    from wingfall.gateway.model.object_store import ObjectStore, StoreReading

# Milliseconds from a failed call to the next; the time doubles with each, so
# that one lost answer costs little.
_MIN_RETRY_MS: Final = 100
# Milliseconds between the calls of gateways that lead, while the store is lost:
# chosen so that a change is in force within a second of its return.
_MAX_RETRY_MS: Final = 800
# The same for all others, which wait for those that lead: 560 of 1,190 calls of
# a grown day with an outage were of gateways that asked each 0.8 s.
_MAX_RETRY_BEHIND_MS: Final = 4000
# Milliseconds between two looks whether to watch: adds to the time in which a
# gateway steps in for another.
_IDLE_MS: Final = 100
# Milliseconds for which a watch rests after a change, so that those that follow
# are read with one call: four watchers without it made a sixth to a quarter
# more calls than three with it.
REST_MS: Final = 150


@final
class StoreFollower:
    """Keeps a replica up to date while the store can be reached."""

    __slots__ = (
        '_backoff',
        '_clock',
        '_answered_ms',
        '_held',
        '_holds_watch',
        '_idle',
        '_leads',
        '_lost',
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
        holds_watch: Callable[[], bool],
        leads: Callable[[], bool],
    ) -> None:
        """Set up a follower.

        :param store: the platform's store of the kind.
        :param replica: the copy to keep.
        :param clock: the time.
        :param holds_watch: whether to watch, or to leave it to the peers.
        :param leads: whether to be among the first to ask a lost store.
        """
        self._store = store
        self._replica = replica
        self._clock = clock
        self._holds_watch = holds_watch
        self._leads = leads
        self._answered_ms = 0
        # Whether it watched the store at the last look, for the log.
        self._held = False
        self._revision: int | None = None
        # The store has forgotten the history up to the revision.
        self._must_list = False
        self._lost = False
        # Peers watched last; what the store says now has not been asked.
        self._idle = False
        self._backoff = Backoff(
            min_ms=_MIN_RETRY_MS,
            max_ms=_MAX_RETRY_BEHIND_MS,
        )

    @property
    def kind(self) -> str:
        """Kind of the objects that it follows."""
        return self._replica.kind

    def has_answered(self, within_ms: int) -> bool:
        """Tell whether the store has answered lately.

        :param within_ms: how long ago at most.
        :returns: whether it has, and has not failed since.
        """
        age_ms = self._clock.now_ms() - self._answered_ms
        return (
            not self._lost and bool(self._answered_ms) and age_ms <= within_ms
        )

    def follow(self, stop: Event) -> None:
        """Follow until told to stop.

        :param stop: set when the process ends.
        """
        while not stop.is_set():
            self._take_peers_revision()
            holds_watch = self._holds_watch()
            self._note_held(held=holds_watch)
            if self._revision is not None and not holds_watch:
                self._idle = True
                gevent.sleep(_IDLE_MS / MS_PER_S)
            elif self._step():
                self._backoff.reset()
            else:
                self._rest()

    def _take_peers_revision(self) -> None:
        # What a peer gave is complete, so that no list is needed.
        if self._revision is None and not self._must_list:
            self._revision = self._replica.revision or None

    def _rest(self) -> None:
        jitter = random.uniform(0.5, 1)  # noqa: S311, WPS432
        failed_ms = self._clock.now_ms()
        backoff_ms = self._backoff.take_ms()
        # The gateways that lead may end meanwhile.
        while True:
            rest_ms = retry_ms(backoff_ms, leads=self._leads()) * jitter
            if self._clock.now_ms() - failed_ms >= rest_ms:
                return
            gevent.sleep(_IDLE_MS / MS_PER_S)

    def _step(self) -> bool:
        asked_ms = self._clock.now_ms()
        revision = self._revision
        if revision is not None:
            # Peers may have told more than the store did.
            revision = max(revision, self._replica.revision)
        read = self._read(revision)
        if not isinstance(read, Success):
            self._note_failed(read.failure())
            return False
        reading = read.unwrap()
        if revision is None:
            self._replica.apply_list(reading)
        else:
            self._replica.apply_changes(reading)
        self._revision = max(reading.revision, revision or 0)
        self._must_list = False
        self._idle = False
        self._note_progress()
        self._note_regained()
        if reading.objects:
            log_event(
                'store',
                'The store told of objects.',
                kind=self._replica.kind,
                call='list' if revision is None else 'watch',
                objects=len(reading.objects),
                revision=reading.revision,
                ms=self._answered_ms - asked_ms,
            )
            gevent.sleep(REST_MS / MS_PER_S)
        return True

    def _read(
        self,
        revision: int | None,
    ) -> Result[StoreReading, PlatformError]:
        if revision is None:
            return self._store.list_all(progress=self._note_progress)
        # A store that has fallen silent lets a watch hang for its whole time,
        # also if it is back meanwhile. A gateway that steps in is heard to
        # watch by its peers once the store has answered it.
        return self._store.watch(
            revision,
            brief=self._lost or self._idle,
            progress=self._note_progress,
        )

    def _note_progress(self) -> None:
        # A long answer over a slow link is being heard as long as it comes.
        self._answered_ms = self._clock.now_ms()

    def _note_held(self, *, held: bool) -> None:
        if held is not self._held:
            self._held = held
            log_event(
                'store',
                'Watched from here.' if held else 'Watched by peers.',
                kind=self._replica.kind,
                revision=self._revision,
                heard_ms=self._clock.now_ms() - self._answered_ms,
            )

    def _note_failed(self, failure: PlatformError) -> None:
        if failure.status == http.HTTPStatus.OK:
            # What a watch told can't be read; a list leads past it.
            self._revision = None
            self._must_list = True
        if failure.status == http.HTTPStatus.GONE:
            # It has answered: peers need not step in while it is listed.
            self._revision = None
            self._must_list = True
            self._note_progress()
            log_event(
                'store',
                'The store has forgotten the history.',
                kind=self._replica.kind,
                revision=self._replica.revision,
            )
        elif not self._lost:
            self._lost = True
            log_event(
                'store',
                'The store was lost.',
                kind=self._replica.kind,
                revision=self._revision,
                reason=str(failure),
            )

    def _note_regained(self) -> None:
        if self._lost:
            self._lost = False
            log_event(
                'store',
                'The store is back.',
                kind=self._replica.kind,
                revision=self._revision,
            )


def retry_ms(backoff_ms: int, *, leads: bool) -> int:
    """Tell when a lost store is asked again.

    :param backoff_ms: delay that has doubled with each failure.
    :param leads: whether this gateway is among the first to ask.
    :returns: milliseconds after the last failure.
    """
    return min(backoff_ms, _MAX_RETRY_MS) if leads else backoff_ms
