"""The rules by which a gateway takes over the lease.

Any gateway may take over. To limit calls to the store, each gateway waits for
its predecessors in an order that all gateways share, and a connected holder has
time to act first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.clock import Clock
    from wingfall.gateway.model.duty import LeaseRecord

# Milliseconds for which a gateway waits per predecessor: two calls to the store
# over a busy link.
_TURN_DELAY_MS: Final = 300
# Milliseconds for which other gateways wait for a connected holder before they
# poll the lease: the holder steps five times a second, writes and sends.
_HOLDER_DELAY_MS: Final = 1500
# Milliseconds after which a new holder of the lease has received all counts: it
# announces itself within 0.1 s, and peers send their counts each second. An
# immediate decision reported 11 of 556 requests.
COUNTS_RECEIVED_MS: Final = 1500
# Milliseconds in which a holder that may act does so: a step, a write and a
# report over busy links.
_HOLDER_ACT_MS: Final = 1000
# Milliseconds between two polls of the lease, each of which is a call.
_POLL_INTERVAL_MS: Final = 500
# Extra turns for which a gateway waits after its start: it has not received the
# counts of gateways that ended earlier.
_WARMUP_TURNS: Final = 3
# Extra turns for which a gateway that is connected to fewer than half of the
# others waits: it may be partitioned and lack most counts, or it may be one of
# the last gateways running, and then has to report.
_MINORITY_TURNS: Final = 10


@final
class PeerSnapshot:
    """A snapshot of the other gateways as seen by one gateway."""

    __slots__ = (
        'predecessor_count',
        'connected',
        'holder_connected',
        'known_count',
    )

    def __init__(
        self,
        *,
        predecessor_count: int,
        connected: Collection[str],
        known_count: int,
        holder_connected: bool,
    ) -> None:
        """Create a snapshot.

        :param predecessor_count: number of peers that precede this gateway.
        :param connected: names of the connected peers.
        :param known_count: number of other gateways that may exist.
        :param holder_connected: whether a peer reports that it holds the lease.
        """
        self.predecessor_count = predecessor_count
        self.connected = connected
        self.known_count = known_count
        self.holder_connected = holder_connected

    @property
    def sees_minority(self) -> bool:
        """Whether fewer than half of the other gateways are connected."""
        return 2 * len(self.connected) < self.known_count


@final
class TakeoverPolicy:
    """The policy that decides when this gateway may take over the lease."""

    __slots__ = (
        '_clock',
        '_is_stopping',
        '_lease_ms',
        '_snapshot_peers',
        '_polled_ms',
        '_holder_timeout_ms',
        '_warmup_ms',
        '_started_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        lease_ms: int,
        warmup_ms: int,
        snapshot_peers: Callable[[], PeerSnapshot],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Initialize the policy at the start of the process.

        :param clock: the monotonic clock.
        :param lease_ms: length of the lease in milliseconds.
        :param warmup_ms: milliseconds for which a gateway counts as new.
        :param snapshot_peers: returns a snapshot of the other gateways.
        :param is_stopping: whether a planned stop has begun.
        """
        self._clock = clock
        self._lease_ms = lease_ms
        # Longer than any holder needs until it acts; otherwise gateways would
        # take the lease from each other endlessly, and none would act.
        self._holder_timeout_ms = max(
            lease_ms, COUNTS_RECEIVED_MS + _HOLDER_ACT_MS
        )
        self._warmup_ms = warmup_ms
        self._snapshot_peers = snapshot_peers
        self._is_stopping = is_stopping
        self._started_ms = clock.now_ms()
        self._polled_ms: float = float('-inf')

    def should_poll_lease(self, waited_ms: int) -> bool:
        """Check if this gateway should poll the lease for a takeover.

        :param waited_ms: milliseconds for which a report has been due.
        :returns: whether it is the turn of this gateway.
        """
        uptime_ms = self._clock.now_ms() - self._started_ms
        # An earlier process on this machine may have acted just before.
        if uptime_ms <= self._lease_ms or self._is_stopping():
            return False
        snapshot = self._snapshot_peers()
        turns = snapshot.predecessor_count
        if snapshot.sees_minority:
            turns += _MINORITY_TURNS
        if uptime_ms < self._warmup_ms:
            turns += _WARMUP_TURNS
        holder_delay_ms = _HOLDER_DELAY_MS if snapshot.holder_connected else 0
        if waited_ms < holder_delay_ms + turns * _TURN_DELAY_MS:
            return False
        now_ms = self._clock.now_ms()
        if now_ms - self._polled_ms < _POLL_INTERVAL_MS:
            return False
        self._polled_ms = now_ms
        return True

    def should_take_over(
        self,
        record: LeaseRecord,
        unchanged_ms: float,
        *,
        decided: bool,
    ) -> bool:
        """Check if the holder of the lease has exceeded its time to act.

        A new holder waits for the previous one and must not be replaced
        meanwhile; otherwise gateways would take the lease from each other.

        :param record: the current lease.
        :param unchanged_ms: milliseconds for which the lease is unchanged.
        :param decided: whether its holder has decided the due window.
        :returns: whether this gateway should take over the lease.
        """
        snapshot = self._snapshot_peers()
        if snapshot.sees_minority and decided:
            # The holder acts but is not connected to this gateway.
            return False
        if not record.holder or record.name not in snapshot.connected:
            return True
        return unchanged_ms >= self._holder_timeout_ms
