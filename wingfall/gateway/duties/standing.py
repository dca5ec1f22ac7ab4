"""When a gateway steps in for the holder of the lease.

All could; so that few ask the store, each waits for those before it in an order
that all agree on, and the holder that is heard is left alone for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.clock import Clock
    from wingfall.gateway.model.duty import LeaseRecord

# Milliseconds for which one gateway waits for the one before it: two calls to
# the store over a busy link.
_TURN_MS: Final = 300
# Milliseconds for which a holder that is heard is left to act before others
# look: it steps five times a second, writes and sends.
_HOLDER_MS: Final = 1500
# Milliseconds after which a gateway that has taken the lease has heard all
# counts: it tells that it holds it within 0.1 s, and peers tell theirs each
# second. One that decided at once reported 11 of 556 requests.
HEARD_MS: Final = 1500
# Milliseconds for which a holder that may act is left to act: a step, a write
# and a sending over busy links.
_ACT_MS: Final = 1000
# Milliseconds between two looks at the lease, each of which is a call.
_LOOK_MS: Final = 500
# Turns for which one that has just started waits longer: it has not heard the
# counts of those that ended before it.
_NEW_TURNS: Final = 3
# Turns for which one that hears fewer than half of the others waits longer: it
# may be cut off, and then knows few of the counts; or it is one of the last
# that are left, and then somebody has to report.
_FEW_TURNS: Final = 10


@final
class Peering:
    """What a gateway sees of the others."""

    __slots__ = ('before', 'heard', 'holder_heard', 'known')

    def __init__(
        self,
        *,
        before: int,
        heard: Collection[str],
        known: int,
        holder_heard: bool,
    ) -> None:
        """Describe what is seen.

        :param before: peers that go before this gateway.
        :param heard: names of the peers that are connected.
        :param known: other gateways that there may be.
        :param holder_heard: whether a peer tells that it holds the lease.
        """
        self.before = before
        self.heard = heard
        self.known = known
        self.holder_heard = holder_heard

    @property
    def hears_few(self) -> bool:
        """Whether fewer than half of the others are heard."""
        return 2 * len(self.heard) < self.known


@final
class Standing:
    """Decides when this gateway may take the lease."""

    __slots__ = (
        '_clock',
        '_is_stopping',
        '_lease_ms',
        '_look',
        '_looked_ms',
        '_patience_ms',
        '_new_ms',
        '_started_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        lease_ms: int,
        new_ms: int,
        look: Callable[[], Peering],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Begin at the start of the process.

        :param clock: the steady clock.
        :param lease_ms: length of the lease.
        :param new_ms: for how long one that starts counts as new.
        :param look: what is seen of the others.
        :param is_stopping: whether a planned stop has begun.
        """
        self._clock = clock
        self._lease_ms = lease_ms
        # Longer than any holder needs until it acts, or gateways would take the
        # lease from each other for ever, and none would act.
        self._patience_ms = max(lease_ms, HEARD_MS + _ACT_MS)
        self._new_ms = new_ms
        self._look = look
        self._is_stopping = is_stopping
        self._started_ms = clock.now_ms()
        self._looked_ms: float = float('-inf')

    def steps_in(self, waited_ms: int) -> bool:
        """Tell whether to look at the lease, and take it if nobody acts.

        :param waited_ms: for how long something has been due.
        :returns: whether this gateway's turn has come.
        """
        up_ms = self._clock.now_ms() - self._started_ms
        # The process that this machine ran before may have acted just then.
        if up_ms <= self._lease_ms or self._is_stopping():
            return False
        seen = self._look()
        turns = seen.before
        if seen.hears_few:
            turns += _FEW_TURNS
        if up_ms < self._new_ms:
            turns += _NEW_TURNS
        first_ms = _HOLDER_MS if seen.holder_heard else 0
        if waited_ms < first_ms + turns * _TURN_MS:
            return False
        now_ms = self._clock.now_ms()
        if now_ms - self._looked_ms < _LOOK_MS:
            return False
        self._looked_ms = now_ms
        return True

    def replaces(
        self,
        record: LeaseRecord,
        unchanged_ms: float,
        *,
        decided: bool,
    ) -> bool:
        """Tell whether the holder of the lease has had its time.

        One that has just taken it waits for the holder before it, and is left
        alone meanwhile; else gateways would take it from each other in turn.

        :param record: the lease as it stands.
        :param unchanged_ms: for how long it is known to stand so.
        :param decided: whether its holder has decided what is due.
        :returns: whether to take it.
        """
        seen = self._look()
        if seen.hears_few and decided:
            # Others have a holder that acts, which is not heard here.
            return False
        if not record.holder or record.name not in seen.heard:
            return True
        return unchanged_ms >= self._patience_ms
