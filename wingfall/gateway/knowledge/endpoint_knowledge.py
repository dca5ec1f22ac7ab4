"""The state that a gateway holds of endpoints, from all sources.

Joins the tables of listed, measured and reported state, and removes departed
endpoints. No routing decision is made here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.crash_ledger import CrashLedger
from wingfall.gateway.knowledge.customer_work import CustomerWork
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth
from wingfall.gateway.knowledge.endpoint_incarnations import (
    EndpointIncarnations,
)
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.knowledge.load import LoadTable
from wingfall.gateway.knowledge.long_reads import (
    SHORT_PREFILL_TOKENS,
    LongPrefills,
)
from wingfall.gateway.knowledge.own_rates import OwnRates
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
from wingfall.gateway.knowledge.selected_rates import SelectedRates
from wingfall.gateway.knowledge.start_estimates import StartEstimates
from wingfall.gateway.knowledge.stream_origins import StreamOrigins

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.engine_speed import EngineSpeed
    from wingfall.gateway.knowledge.engine_speeds import Rates


# How long the size class of a pool is cached: the check runs for each engine
# that is considered for a prompt.
_POOL_SIZE_MAX_AGE_MS: Final = 500


@final
class _PoolSize:
    """The cached size class of a pool."""

    __slots__ = ('is_large', 'checked_ms')

    def __init__(self, *, is_large: bool, at_ms: int) -> None:
        """Create a cache entry.

        :param is_large: whether the pool counts as large.
        :param at_ms: clock time of the check in milliseconds.
        """
        self.is_large = is_large
        self.checked_ms = at_ms


@final
class EndpointKnowledge:
    """The tables of endpoint state, one for each kind of state."""

    __slots__ = (
        '_clock',
        '_large_pool',
        '_short_gap_ms',
        '_shortest_gaps_ms',
        '_pool_sizes',
        '_first_events_ms',
        'caches',
        'crashes',
        'customer_work',
        'full_gaps',
        'health',
        'incarnations',
        'load',
        'long_reads',
        'signals',
        'speeds',
        'start_estimates',
        'streams',
        'table',
        'versions',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        name: str = '',
        rates: Rates | None = None,
        start_estimates: StartEstimates | None = None,
        full_gaps: FullGaps | None = None,
        large_pool: int = 0,
        short_gap_ms: int = 0,
    ) -> None:
        """Create tables without endpoints.

        :param clock: the clock that all tables share.
        :param name: name of this gateway.
        :param rates: prefill rates of engines.
        :param start_estimates: corrects estimates of first events.
        :param full_gaps: token gaps of streams during a prefill.
        :param large_pool: number of engines from which a pool counts as large.
        :param short_gap_ms: longest token gap in milliseconds that counts as
            short, 0 if all gaps do.
        """
        self._clock = clock
        self._large_pool = large_pool
        self._short_gap_ms = short_gap_ms
        self._shortest_gaps_ms: dict[str, int] = {}
        self._pool_sizes: dict[str, _PoolSize] = {}
        # When this gateway received the newest first event, by pool.
        self._first_events_ms: dict[str, int] = {}
        # Listed endpoints, from the store.
        self.table = EndpointTable(clock=clock)
        # The newest incarnation of each endpoint, from the store.
        self.incarnations = EndpointIncarnations()
        # Running work, from the calls of this gateway and its peers.
        self.load = LoadTable()
        # Cached prompt parts, from sent prompts and reports.
        self.caches = PrefixCaches()
        # Token gaps of streams during a prefill, from all gateways.
        self.full_gaps = full_gaps or FullGaps(clock=clock)
        # Prefill rates and answer speeds, measured at streams.
        if rates is not None and (large_pool or short_gap_ms):
            rates = SelectedRates(
                own=OwnRates(),
                shared=rates,
                is_shared_pool=self.shares_estimates,
            )
        self.speeds = EngineSpeeds(rates=rates, full_gaps=self.full_gaps)
        # Errors of first event estimates, from first events received.
        self.start_estimates = start_estimates or StartEstimates()
        # Recent long prefills, from all gateways.
        self.long_reads = LongPrefills(clock=clock)
        # Failure rates, from the calls of all gateways.
        self.health = EndpointHealth(clock=clock)
        # Crashes and the requests that ran there, from all gateways.
        self.crashes = CrashLedger(clock=clock)
        # Work of customers by pool, from all gateways.
        self.customer_work = CustomerWork(clock=clock)
        # Software versions of the listed endpoints, from the store and peers.
        self.versions = PoolVersions(clock=clock)
        # Where recent streams began, from this gateway and its peers.
        self.streams = StreamOrigins(clock=clock)
        # Signals that endpoints sent to any gateway.
        self.signals = EndpointSignals(name=name, clock=clock)

    def is_leaving(self, name: str) -> bool:
        """Check if an endpoint has announced that it leaves.

        :param name: name of the endpoint.
        :returns: whether its entry or one of its answers says so.
        """
        listed = self.table.find(name)
        is_draining = listed is not None and listed.draining
        return is_draining or name in self.signals.leaving

    def set_shortest_gaps(self, shortest_ms: Mapping[str, int]) -> None:
        """Set the token gap bounds of the configuration in force.

        :param shortest_ms: for each pool, the shortest token gap bound of the
            streams of its routes in milliseconds.
        """
        self._shortest_gaps_ms = dict(shortest_ms)
        self._pool_sizes = {}

    def shares_estimates(self, pool: str) -> bool:
        """Check if gateways share estimates of the engines of a pool.

        They do where many gateways have few samples of each engine, and streams
        tolerate only short token gaps, so that a wrong choice of the engine
        makes them late.

        :param pool: name of the pool.
        :returns: whether the pool is large and has such streams.
        """
        known = self._pool_sizes.get(pool)
        now_ms = self._clock.now_ms()
        if known is None or now_ms - known.checked_ms >= _POOL_SIZE_MAX_AGE_MS:
            known = _PoolSize(is_large=self._is_large(pool), at_ms=now_ms)
            self._pool_sizes[pool] = known
        return known.is_large

    def expected_start_ms(
        self, pool: str, tier: int, estimate_ms: float
    ) -> float:
        """Correct the estimate of a first event where estimates are shared.

        :param pool: name of the pool.
        :param tier: urgency of the prompt at its engine, 0 is the most urgent.
        :param estimate_ms: milliseconds to the first event, estimated from the
            pending work.
        :returns: expected milliseconds to the first event.
        """
        if not self.shares_estimates(pool):
            return estimate_ms
        return self.start_estimates.expected_ms(pool, tier, estimate_ms)

    def speed(self, name: str) -> EngineSpeed:
        """Return the measured speed of an engine.

        :param name: name of the endpoint.
        :returns: the speed; the average of its pool if the engine is new.
        """
        known = self.table.find(name)
        return self.speeds.find(name, known.pool if known else '')

    def merge_rate_samples(self, name: str, rates: list[int]) -> None:
        """Merge prefill rate samples of an engine from another gateway.

        :param name: name of the endpoint, which may not be listed yet.
        :param rates: rates in tenths of a token per millisecond, the newest
            last; a negative value is the other gateway's estimate.
        """
        known = self.table.find(name)
        self.speeds.rates.merge_reported(
            name, known.pool if known else '', rates
        )

    def merge_gap_samples(self, name: str, gaps_ms: list[int]) -> None:
        """Merge token gaps of an engine's streams from another gateway.

        :param name: name of the endpoint; ignored if it is not listed.
        :param gaps_ms: token gaps in milliseconds, the newest last.
        """
        if self.table.find(name) is not None:
            self.full_gaps.merge_reported(name, gaps_ms)

    def ready_ms(self, name: str) -> int:
        """Estimate when the prefill of all prompts sent to an engine ends.

        :param name: name of the endpoint.
        :returns: clock time in milliseconds.
        """
        pending_tokens = self.load.total(name).prefill_tokens
        remaining_ms = self.speed(name).prefill_ms(pending_tokens)
        return self._clock.now_ms() + int(remaining_ms)

    def note_first_event(self, pool: str) -> None:
        """Record the time of a first event that updates the estimates.

        :param pool: name of the pool.
        """
        self._first_events_ms[pool] = self._clock.now_ms()

    def first_event_age_ms(self, pool: str) -> int | None:
        """Return the age of the newest first event that updated estimates.

        :param pool: name of the pool.
        :returns: age in milliseconds, None if there was no first event.
        """
        received_ms = self._first_events_ms.get(pool)
        return (
            None if received_ms is None else self._clock.now_ms() - received_ms
        )

    def note_failure(self, name: str) -> None:
        """Record a failed attempt at an endpoint.

        Not counted while the endpoint asks this gateway for rest: it is
        unchanged for other gateways, and this one omits it for the time asked.

        :param name: name of the endpoint.
        """
        if not self.signals.rests.is_resting(name):
            self.health.note_failure(name)

    def note_prompt_sent(self, name: str, uncached_tokens: int) -> None:
        """Record a prompt that a gateway sent.

        :param name: name of the endpoint.
        :param uncached_tokens: prompt tokens that the engine has to prefill.
        """
        excess_tokens = uncached_tokens - SHORT_PREFILL_TOKENS
        if excess_tokens > 0:
            self.long_reads.note(name, excess_tokens)

    def forget_departed(self) -> None:
        """Remove the state of unlisted endpoints, and old entries."""
        self.crashes.forget_old()
        self.streams.forget_expired()
        names = self.table.names
        self.health.retain_only(names)
        self.signals.remove_expired(names)
        self.caches.retain_only(names)
        self.speeds.retain_only(names)
        self.full_gaps.retain_only(names)
        self.long_reads.retain_only(names)

    def _is_large(self, pool: str) -> bool:
        if not self._short_gap_ms:
            return len(self.table.usable(pool)) >= self._large_pool
        shortest_ms = self._shortest_gaps_ms.get(pool)
        if shortest_ms is None or shortest_ms > self._short_gap_ms:
            return False
        return len(self.table.usable(pool)) >= self._large_pool
