"""The lease of the duties: at most one gateway acts at any time.

An object in the platform's store, written by condition. There are no renewals
for their own sake: the holder writes before it acts, and that write, or a read
that still shows it as the holder, allows it to act for a short time. Whoever
takes the lease from another waits longer than that before it acts.

The fencing token is the store's revision of the write by which the lease was
taken: it is never shared and never falls, also if the object was deleted.
No time of one gateway is compared with that of another.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, final

from returns.result import Success

from wingfall.gateway.model.duty import Fence, LeaseRecord, read_lease_record
from wingfall.log import log_event
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.errors import PlatformError
    from wingfall.gateway.model.object_store import ObjectWriter, StoredObject

# The one object of its kind.
_OBJECT: Final = 'duties'
# Part of the lease's length for which a write or read allows to act: two such
# spans pass before the next holder acts, which leaves one for late timers.
_ACT_PART: Final = 3
# Milliseconds between two calls to a store that fails; the time doubles with
# each. Chosen so that a report goes out within a second of its return.
_MIN_RETRY_MS: Final = 200
_MAX_RETRY_MS: Final = 1000
# Before all readings of the clock.
_NEVER: Final = float('-inf')


@final
class Lease:
    """This gateway's view of the lease, and whether it may act."""

    __slots__ = (
        '_acted_ms',
        '_backoff',
        '_changed_ms',
        '_clock',
        '_confirmed_ms',
        '_holder',
        '_lease_ms',
        '_name',
        '_failing',
        '_next_call_ms',
        '_not_before_ms',
        '_revision',
        '_store',
        '_taken_ms',
        '_token',
        'record',
    )

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        clock: Clock,
        store: ObjectWriter,
        lease_ms: int,
    ) -> None:
        """Start without the lease.

        :param name: name of this gateway.
        :param holder: a word that no other process has ever had.
        :param clock: the steady clock.
        :param store: where the lease lies.
        :param lease_ms: its length; holders must not come back to act within
            so long after another has acted.
        """
        self._name = name
        self._holder = holder
        self._clock = clock
        self._store = store
        self._lease_ms = lease_ms
        # The lease as last read or written.
        self.record = LeaseRecord(known=False)
        self._revision: int | None = None
        # When a read or write first showed this revision.
        self._changed_ms: float = _NEVER
        # 0 while another holds it, as far as is known.
        self._token = 0
        # When it was first seen that this gateway holds it.
        self._taken_ms = _NEVER
        # When the call was sent that last showed this gateway as the holder.
        self._confirmed_ms: float = _NEVER
        # Before when this gateway does not act.
        self._not_before_ms: float = _NEVER
        # When this gateway last acted.
        self._acted_ms: float = _NEVER
        # Whether the last call failed, and before when none is made.
        self._failing = False
        self._next_call_ms: float = _NEVER
        self._backoff = Backoff(min_ms=_MIN_RETRY_MS, max_ms=_MAX_RETRY_MS)

    @property
    def held(self) -> bool:
        """Whether this gateway holds the lease, as far as it knows."""
        return bool(self._token)

    @property
    def ready(self) -> bool:
        """Whether holders before this one have surely stopped to act."""
        return self.held and self._clock.now_ms() >= self._not_before_ms

    @property
    def held_ms(self) -> float:
        """Milliseconds for which this gateway has held the lease."""
        return self._clock.now_ms() - self._taken_ms if self.held else 0

    @property
    def fence(self) -> Fence:
        """Under which right this gateway acts."""
        return Fence(holder=self._name, token=self._token)

    @property
    def act_ms(self) -> int:
        """Milliseconds for which it may still act, 0 if it must not."""
        now_ms = self._clock.now_ms()
        if not self.held or now_ms < self._not_before_ms:
            return 0
        left_ms = self._confirmed_ms + self._lease_ms // _ACT_PART - now_ms
        return max(0, int(left_ms))

    @property
    def unchanged_ms(self) -> float:
        """Milliseconds for which the lease is known to stand as it does."""
        return self._clock.now_ms() - self._changed_ms

    def note_acted(self) -> None:
        """Note that this gateway has acted just now."""
        self._acted_ms = self._clock.now_ms()

    def refresh(self) -> bool:
        """Read the lease.

        :returns: whether the store has answered.
        """
        sent_ms = self._clock.now_ms()
        if sent_ms < self._next_call_ms:
            return False
        found = self._store.read(_OBJECT)
        if not isinstance(found, Success):
            self._note_failed('read', found.failure())
            return False
        self._note_answered()
        self._take_stored(found.unwrap(), sent_ms)
        return True

    def take(self, decided: int) -> bool:
        """Try to take the lease as it was last read.

        :param decided: the last window that may have been decided, where the
            store can't tell: one that was must not be decided again.
        :returns: whether this gateway holds it now.
        """
        before = self.record
        record = LeaseRecord(
            holder=self._holder,
            name=self._name,
            decided=before.decided if before.known else decided,
            reports=before.reports,
        )
        if not self._write(record):
            return False
        log_event(
            'lease',
            'The lease was taken.',
            token=self._token,
            before=before.name,
            given_back=before.given_back,
            wait_ms=max(0, int(self._not_before_ms - self._clock.now_ms())),
        )
        return True

    def commit(self, reports: dict[int, dict[str, int]], decided: int) -> bool:
        """Write what will be reported, as the holder.

        :param reports: what is to be delivered, by window.
        :param decided: the last window whose report is decided.
        :returns: whether it stands; only then it may be sent.
        """
        return self._write(
            LeaseRecord(
                holder=self._holder,
                name=self._name,
                token=self._token,
                decided=decided,
                reports=reports,
            ),
        )

    def give_back(self) -> None:
        """End to act, so that the next holder need not wait."""
        if not self.held:
            return
        record = LeaseRecord(
            name=self._name,
            decided=self.record.decided,
            reports=self.record.reports,
        )
        token = self._token
        given = self._write(record)
        self._token = 0
        log_event('lease', 'The lease was given back.', token=token, done=given)

    def _write(self, record: LeaseRecord) -> bool:
        sent_ms = self._clock.now_ms()
        if sent_ms < self._next_call_ms:
            return False
        written = self._store.write(_OBJECT, record.to_spec(), self._revision)
        if isinstance(written, Success):
            self._note_answered()
            self._take_stored(written.unwrap(), sent_ms)
            return True
        failure = written.failure()
        if failure.status == http.HTTPStatus.CONFLICT:
            self._note_answered()
            self.refresh()
        else:
            # It may have taken effect, or may do so later; the condition of the
            # next write finds out.
            self._note_failed('write', failure)
        return False

    def _take_stored(self, stored: StoredObject | None, sent_ms: int) -> None:
        revision = stored.revision if stored else None
        if revision != self._revision:
            self._changed_ms = self._clock.now_ms()
        self._revision = revision
        before = self.record
        self.record = read_lease_record(stored.spec if stored else None)
        if self.record.holder != self._holder:
            self._lose()
            return
        if not self._token:
            self._token = self.record.token or revision or 0
            self._taken_ms = self._clock.now_ms()
            self._not_before_ms = self._first_act_ms(before)
        self._confirmed_ms = sent_ms

    def _first_act_ms(self, before: LeaseRecord) -> float:
        # What its last holder sent has arrived or been reset by then. A holder
        # that comes back acts a whole lease after it did before, since another
        # may have acted between the two.
        handover_ms = self._lease_ms * 2 // _ACT_PART
        if before.given_back:
            handover_ms = 0
        return max(
            self._clock.now_ms() + handover_ms,
            self._acted_ms + self._lease_ms,
        )

    def _lose(self) -> None:
        if self._token:
            log_event(
                'lease',
                'The lease was lost.',
                token=self._token,
                holder=self.record.name,
            )
        self._token = 0

    def _note_answered(self) -> None:
        self._backoff.reset()
        self._next_call_ms = _NEVER
        if self._failing:
            self._failing = False
            log_event('lease', 'The store answers again.', held=self.held)

    def _note_failed(self, call: str, failure: PlatformError) -> None:
        self._next_call_ms = self._clock.now_ms() + self._backoff.take_ms()
        if self._failing:
            return
        self._failing = True
        log_event(
            'lease',
            'A call for the lease failed.',
            call=call,
            reason=str(failure),
            held=self.held,
        )
