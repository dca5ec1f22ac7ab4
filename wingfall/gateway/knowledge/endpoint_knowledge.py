"""What a gateway knows of the endpoints: listed, seen by itself, or told.

Joins the tables and forgets endpoints that are gone. Decides nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.crash_ledger import CrashLedger
from wingfall.gateway.knowledge.customer_work import CustomerWork
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth
from wingfall.gateway.knowledge.endpoint_lives import EndpointLives
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.knowledge.load import LoadTable
from wingfall.gateway.knowledge.long_reads import SHORT_READ_TOKENS, LongReads
from wingfall.gateway.knowledge.own_rates import OwnRates
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
from wingfall.gateway.knowledge.sized_rates import SizedRates
from wingfall.gateway.knowledge.start_estimates import StartEstimates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.engine_speed import EngineSpeed
    from wingfall.gateway.knowledge.engine_speeds import Rates


# Milliseconds between two looks at how many engines a pool has: asked for each
# engine that a prompt is weighed at.
_LOOK_MS: Final = 500


@final
class _PoolSize:
    """Whether a pool counted as large when it was looked at."""

    __slots__ = ('is_large', 'looked_ms')

    def __init__(self, *, is_large: bool, at_ms: int) -> None:
        """Keep it.

        :param is_large: whether it did.
        :param at_ms: when it was looked at.
        """
        self.is_large = is_large
        self.looked_ms = at_ms


@final
class EndpointKnowledge:
    """Owns one table for each thing that is known of endpoints."""

    __slots__ = (
        '_clock',
        '_large_pool',
        '_short_gap_ms',
        '_shortest_gaps_ms',
        '_sizes',
        '_first_events_ms',
        'caches',
        'crashes',
        'customer_work',
        'full_gaps',
        'health',
        'lives',
        'load',
        'long_reads',
        'signals',
        'speeds',
        'starts',
        'table',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        name: str = '',
        rates: Rates | None = None,
        starts: StartEstimates | None = None,
        full_gaps: FullGaps | None = None,
        large_pool: int = 0,
        short_gap_ms: int = 0,
    ) -> None:
        """Start without an endpoint.

        :param clock: the time.
        :param name: name of this gateway.
        :param rates: how fast engines read.
        :param starts: how estimates of first events are corrected.
        :param full_gaps: keeps gaps of streams beside reads.
        :param large_pool: engines of a pool from which it counts as large.
        :param short_gap_ms: token gaps that count as short, 0 if all do.
        """
        self._clock = clock
        self._large_pool = large_pool
        self._short_gap_ms = short_gap_ms
        self._shortest_gaps_ms: dict[str, int] = {}
        self._sizes: dict[str, _PoolSize] = {}
        # When the last first event of each pool came to this gateway.
        self._first_events_ms: dict[str, int] = {}
        # Which there are, by the store.
        self.table = EndpointTable(clock=clock)
        # Which of their incarnations is the newest, by the store.
        self.lives = EndpointLives()
        # What runs there, by the calls of this gateway and its peers.
        self.load = LoadTable()
        # Which parts of prompts they cache, by what was sent and told.
        self.caches = PrefixCaches()
        # Gaps of their streams while they read, by all gateways.
        self.full_gaps = full_gaps or FullGaps(clock=clock)
        # How fast they read and answer, by their streams.
        if rates is not None and (large_pool or short_gap_ms):
            rates = SizedRates(
                own=OwnRates(),
                shared=rates,
                is_together=self.judges_together,
            )
        self.speeds = EngineSpeeds(rates=rates, full_gaps=self.full_gaps)
        # How far estimates of first events are off, by those that came.
        self.starts = starts or StartEstimates()
        # Long prompts that they were sent lately, by all gateways.
        self.long_reads = LongReads(clock=clock)
        # How often they fail, by the calls of all gateways.
        self.health = EndpointHealth(clock=clock)
        # Which crashed, and what ran there, by the calls of all gateways.
        self.crashes = CrashLedger(clock=clock)
        # What customers were given there, by all gateways.
        self.customer_work = CustomerWork(clock=clock)
        # What they have said of themselves, to any gateway.
        self.signals = EndpointSignals(name=name, clock=clock)

    def note_gaps(self, shortest_ms: Mapping[str, int]) -> None:
        """Note which token gaps the configuration in force asks for.

        :param shortest_ms: for each pool the shortest gap in milliseconds that
            streams of its routes bear.
        """
        self._shortest_gaps_ms = dict(shortest_ms)
        self._sizes = {}

    def judges_together(self, pool: str) -> bool:
        """Tell whether gateways judge the engines of a pool together.

        They do where many gateways see little of each engine, and streams bear
        only short gaps, so that a wrong choice of the engine makes them late.

        :param pool: its name.
        :returns: whether the pool is large and has such streams.
        """
        known = self._sizes.get(pool)
        now_ms = self._clock.now_ms()
        if known is None or now_ms - known.looked_ms >= _LOOK_MS:
            known = _PoolSize(is_large=self._is_large(pool), at_ms=now_ms)
            self._sizes[pool] = known
        return known.is_large

    def expected_start_ms(
        self, pool: str, tier: int, estimate_ms: float
    ) -> float:
        """Estimate a first event, corrected where gateways judge together.

        :param pool: name of the pool.
        :param tier: how urgent the prompt is at its engine, 0 the most.
        :param estimate_ms: milliseconds to the first event by what waits.
        :returns: milliseconds to the first event as it is likely to come.
        """
        if not self.judges_together(pool):
            return estimate_ms
        return self.starts.expected_ms(pool, tier, estimate_ms)

    def speed(self, name: str) -> EngineSpeed:
        """Give what an engine has shown of its speed.

        :param name: the endpoint.
        :returns: how fast it is; its pool's average where it is new.
        """
        known = self.table.find(name)
        return self.speeds.find(name, known.pool if known else '')

    def take_readings(self, name: str, rates: list[int]) -> None:
        """Take readings of an engine that another gateway has seen.

        :param name: the endpoint, which may not be listed yet.
        :param rates: tenths of a token a millisecond, the newest last; below
            zero what the other gateway believes.
        """
        known = self.table.find(name)
        self.speeds.rates.take_told(name, known.pool if known else '', rates)

    def take_gaps(self, name: str, gaps_ms: list[int]) -> None:
        """Take gaps of an engine's streams that another gateway has seen.

        :param name: the endpoint; one that isn't listed is passed over.
        :param gaps_ms: their milliseconds, the newest last.
        """
        if self.table.find(name) is not None:
            self.full_gaps.take_told(name, gaps_ms)

    def ready_ms(self, name: str) -> int:
        """Estimate when an engine will have read all that was sent to it.

        :param name: the endpoint.
        :returns: a reading of the clock in milliseconds.
        """
        reading = self.load.total(name).reading_tokens
        read_ms = self.speed(name).read_ms(reading)
        return self._clock.now_ms() + int(read_ms)

    def note_first_event(self, pool: str) -> None:
        """Note that a first event has come, from which estimates learn.

        :param pool: name of the pool.
        """
        self._first_events_ms[pool] = self._clock.now_ms()

    def first_event_age_ms(self, pool: str) -> int | None:
        """Tell how old the newest first event is that estimates rest on.

        :param pool: name of the pool.
        :returns: milliseconds, None if none has come.
        """
        came_ms = self._first_events_ms.get(pool)
        return None if came_ms is None else self._clock.now_ms() - came_ms

    def note_failure(self, name: str) -> None:
        """Note an attempt at an endpoint that failed.

        One that asks this gateway for rest doesn't fail: to the others it is
        as it was, and here it is left out for as long as it asked.

        :param name: the endpoint.
        """
        if not self.signals.rests.is_resting(name):
            self.health.note_failure(name)

    def note_prompt_sent(self, name: str, uncached_tokens: int) -> None:
        """Note a prompt that a gateway sent.

        :param name: the endpoint.
        :param uncached_tokens: its tokens that the engine has to read.
        """
        beyond = uncached_tokens - SHORT_READ_TOKENS
        if beyond > 0:
            self.long_reads.note(name, beyond)

    def forget_departed(self) -> None:
        """Forget endpoints that are not listed any more, and old crashes."""
        self.crashes.forget_old()
        names = self.table.names
        self.health.forget(names)
        self.signals.forget(names)
        self.caches.forget(names)
        self.speeds.keep_only(names)
        self.full_gaps.keep_only(names)
        self.long_reads.keep_only(names)

    def _is_large(self, pool: str) -> bool:
        if not self._short_gap_ms:
            return len(self.table.usable(pool)) >= self._large_pool
        shortest_ms = self._shortest_gaps_ms.get(pool)
        if shortest_ms is None or shortest_ms > self._short_gap_ms:
            return False
        return len(self.table.usable(pool)) >= self._large_pool
