"""The lease of the duties: at most one gateway acts at any time.

The lease is an object in the platform's store, updated by conditional writes.
There are no separate renewals: the holder writes before it acts, and that
write, or a read that still shows it as the holder, allows it to act for a short
time. A gateway that takes over the lease waits longer than that before it acts.

The fencing token is the store's revision of the write that acquired the lease:
it is unique and never decreases, even if the object was deleted. Timestamps of
different gateways are never compared.
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

# Name of the only lease object in the store.
_OBJECT_NAME: Final = 'duties'
# A write or read allows the holder to act for the lease length divided by this
# number. The next holder acts after two such periods, which leaves one period
# for late timers.
_ACT_DIVISOR: Final = 3
# Milliseconds between two calls to a failing store, doubled with each call. A
# report is sent within a second of the recovery of the store.
_MIN_RETRY_MS: Final = 200
_MAX_RETRY_MS: Final = 1000
# Earlier than any time of the clock.
_NEVER: Final = float('-inf')


@final
class Lease:
    """This gateway's view of the lease and of its permission to act."""

    __slots__ = (
        '_last_act_ms',
        '_backoff',
        '_revision_seen_ms',
        '_clock',
        '_confirmed_ms',
        '_holder',
        '_lease_ms',
        '_name',
        '_is_failing',
        '_retry_at_ms',
        '_not_before_ms',
        '_revision',
        '_store',
        '_acquired_ms',
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
        """Initialize the view of a gateway that does not hold the lease.

        :param name: the name of this gateway.
        :param holder: an identifier that is unique to this process.
        :param clock: the monotonic clock.
        :param store: the store that contains the lease.
        :param lease_ms: length of the lease in milliseconds; once another
            gateway has acted, an earlier holder must not act again within this
            time of its own last act.
        """
        self._name = name
        self._holder = holder
        self._clock = clock
        self._store = store
        self._lease_ms = lease_ms
        # The lease as last read or written.
        self.record = LeaseRecord(is_known=False)
        self._revision: int | None = None
        # When a read or write first returned this revision.
        self._revision_seen_ms: float = _NEVER
        # Fencing token; 0 while this gateway is not known to hold the lease.
        self._token = 0
        # When a call first showed this gateway as the holder.
        self._acquired_ms = _NEVER
        # Send time of the last call that showed this gateway as the holder.
        self._confirmed_ms: float = _NEVER
        # Time before which this gateway does not act.
        self._not_before_ms: float = _NEVER
        # When this gateway last acted.
        self._last_act_ms: float = _NEVER
        # Whether the last call failed, and the earliest time of the next call.
        self._is_failing = False
        self._retry_at_ms: float = _NEVER
        self._backoff = Backoff(min_ms=_MIN_RETRY_MS, max_ms=_MAX_RETRY_MS)

    @property
    def held(self) -> bool:
        """Whether this gateway is the last known holder of the lease."""
        return bool(self._token)

    @property
    def can_act(self) -> bool:
        """Whether all earlier holders have certainly stopped acting."""
        return self.held and self._clock.now_ms() >= self._not_before_ms

    @property
    def held_ms(self) -> float:
        """Milliseconds for which this gateway has held the lease."""
        return self._clock.now_ms() - self._acquired_ms if self.held else 0

    @property
    def fence(self) -> Fence:
        """The fence that authorizes the acts of this gateway."""
        return Fence(holder=self._name, token=self._token)

    @property
    def act_ms(self) -> int:
        """Milliseconds for which this gateway may still act, 0 for none."""
        now_ms = self._clock.now_ms()
        if not self.held or now_ms < self._not_before_ms:
            return 0
        left_ms = self._confirmed_ms + self._lease_ms // _ACT_DIVISOR - now_ms
        return max(0, int(left_ms))

    @property
    def unchanged_ms(self) -> float:
        """Milliseconds since the current revision was first seen."""
        return self._clock.now_ms() - self._revision_seen_ms

    def note_acted(self) -> None:
        """Record that this gateway has acted at the current time."""
        self._last_act_ms = self._clock.now_ms()

    def refresh(self) -> bool:
        """Read the lease from the store.

        :returns: whether the store has answered.
        """
        sent_ms = self._clock.now_ms()
        if sent_ms < self._retry_at_ms:
            return False
        answer = self._store.read(_OBJECT_NAME)
        if not isinstance(answer, Success):
            self._record_failure('read', answer.failure())
            return False
        self._record_success()
        self._apply_stored(answer.unwrap(), sent_ms)
        return True

    def acquire(self, decided: int) -> bool:
        """Try to acquire the lease on condition of the last read revision.

        :param decided: the last window that may have been decided, used if the
            store has no record: a window must not be decided twice.
        :returns: whether this gateway has acquired the lease.
        """
        before = self.record
        record = LeaseRecord(
            holder=self._holder,
            name=self._name,
            decided=before.decided if before.is_known else decided,
            reports=before.reports,
        )
        if not self._write(record):
            return False
        log_event(
            'lease',
            'The lease was taken.',
            token=self._token,
            before=before.name,
            given_back=before.is_released,
            wait_ms=max(0, int(self._not_before_ms - self._clock.now_ms())),
        )
        return True

    def commit(self, reports: dict[int, dict[str, int]], decided: int) -> bool:
        """Write the pending reports into the lease as its holder.

        :param reports: the counts to deliver by customer, by window.
        :param decided: the last window whose report is decided.
        :returns: whether the write succeeded; reports may be sent only then.
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

    def release(self) -> None:
        """Release the lease so that the next holder need not wait."""
        if not self.held:
            return
        record = LeaseRecord(
            name=self._name,
            decided=self.record.decided,
            reports=self.record.reports,
        )
        token = self._token
        released = self._write(record)
        self._token = 0
        log_event(
            'lease', 'The lease was given back.', token=token, done=released
        )

    def _write(self, record: LeaseRecord) -> bool:
        sent_ms = self._clock.now_ms()
        if sent_ms < self._retry_at_ms:
            return False
        answer = self._store.write(
            _OBJECT_NAME, record.to_spec(), self._revision
        )
        if isinstance(answer, Success):
            self._record_success()
            self._apply_stored(answer.unwrap(), sent_ms)
            return True
        failure = answer.failure()
        if failure.status == http.HTTPStatus.CONFLICT:
            self._record_success()
            self.refresh()
        else:
            # The write may have taken effect or may do so later; the condition
            # of the next write detects this.
            self._record_failure('write', failure)
        return False

    def _apply_stored(self, stored: StoredObject | None, sent_ms: int) -> None:
        revision = stored.revision if stored else None
        if revision != self._revision:
            self._revision_seen_ms = self._clock.now_ms()
        self._revision = revision
        before = self.record
        self.record = read_lease_record(stored.spec if stored else None)
        if self.record.holder != self._holder:
            self._mark_lost()
            return
        if not self._token:
            self._token = self.record.token or revision or 0
            self._acquired_ms = self._clock.now_ms()
            self._not_before_ms = self._earliest_act_ms(before)
        self._confirmed_ms = sent_ms

    def _earliest_act_ms(self, before: LeaseRecord) -> float:
        # By then, the calls of the last holder have arrived or been reset. A
        # returning holder waits a whole lease after its own last act, since
        # another gateway may have acted in between.
        handover_ms = self._lease_ms * 2 // _ACT_DIVISOR
        if before.is_released:
            handover_ms = 0
        return max(
            self._clock.now_ms() + handover_ms,
            self._last_act_ms + self._lease_ms,
        )

    def _mark_lost(self) -> None:
        if self._token:
            log_event(
                'lease',
                'The lease was lost.',
                token=self._token,
                holder=self.record.name,
            )
        self._token = 0

    def _record_success(self) -> None:
        self._backoff.reset()
        self._retry_at_ms = _NEVER
        if self._is_failing:
            self._is_failing = False
            log_event('lease', 'The store answers again.', held=self.held)

    def _record_failure(self, call: str, failure: PlatformError) -> None:
        self._retry_at_ms = self._clock.now_ms() + self._backoff.take_ms()
        if self._is_failing:
            return
        self._is_failing = True
        log_event(
            'lease',
            'A call for the lease failed.',
            call=call,
            reason=str(failure),
            held=self.held,
        )
