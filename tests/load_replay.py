"""Replay of a load pattern through the rules that place and refuse calls.

No sockets: time is stepped from one event to the next. Gateways use the real
rules and the real knowledge, and receive each other's heartbeats with the real
delays. Engines are simulated: they prefill one prompt after the other at their
prefill rate, cache the shared parts of prefilled prompts, then stream. While an
engine prefills a long prompt, the token gap of its streams is the time that it
takes to prefill the chunks between two events. A stopped engine accepts no
connection, and its entry is listed until its heartbeats are missed.

Run ``python -m tests.load_replay tests/patterns/NAME.yaml`` for the figures.
"""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
import pathlib
import random
import sys
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final, final

import yaml
from returns.result import Success

from wingfall.clock import ManualClock
from wingfall.gateway.calls.admission import admit_prompt, note_given_work
from wingfall.gateway.calls.destination import choose_destination
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.engine_speeds import read_rates
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.knowledge.prefix_caches import SentPrompt
from wingfall.gateway.knowledge.start_estimates import start_estimates
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.prompt import Prompt, PromptPart
from wingfall.gateway.model.routes import CallerLimits, Pool, Routes
from wingfall.gateway.peers.heartbeat_schedule import heartbeat_interval_ms
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.rules.admission.early_refusal import admissions
from wingfall.gateway.rules.admission.fair_shares import FairShares
from wingfall.gateway.rules.admission.held_calls import DeferredCalls
from wingfall.gateway.rules.pacing.rate_share import share_among_few
from wingfall.gateway.rules.placement.cache_transfer import copy_nothing
from wingfall.gateway.rules.placement.endpoint_choice import place_by_cost
from wingfall.gateway.rules.placement.engine_groups import engine_groups
from wingfall.gateway.rules.placement.reserved_engines import ReservedEngines
from wingfall.gateway.rules.placement.stream_backup import back_up_nothing
from wingfall.gateway.rules.retries.retry import (
    CallProgress,
    RetryDecision,
    RetryTerms,
    decide_retry,
)
from wingfall.metrics import Metrics
from wingfall.objects.request_class import Target

if TYPE_CHECKING:
    from collections.abc import Callable

    from wingfall.gateway.calls.destination import Destination

POOL: Final = 'engines'
_MS: Final = 1000
# Tokens of a prefill chunk, engine steps between two events of a stream, and
# milliseconds of a step without prefill: figures of the large deployment with
# some twenty streams.
_CHUNK_TOKENS: Final = 2048
_STEPS_PER_EVENT: Final = 4
_STEP_MS: Final = 8
# Pending prefill tokens reported for a token gap during a long prefill.
_LONG_PREFILL_TOKENS: Final = 50_000
# Network delay of a message between gateways.
_MESSAGE_DELAY_MS: Final = 2
# Time for which a stopped engine is still listed.
_DELIST_DELAY_MS: Final = 3600
# Time until all gateways have received a change of the list.
_LIST_DELAY_MS: Final = 300


@final
class Engine:
    """A simulated engine with its prefill queue, cache and streams."""

    def __init__(
        self,
        *,
        name: str,
        tokens_per_ms: float,
        stream_tokens: float = 0,
        slow_factor: float = 1,
    ) -> None:
        """Create an idle engine.

        :param name: name of the engine.
        :param tokens_per_ms: prefill rate.
        :param stream_tokens: time that each stream adds to a step, as the
            number of tokens that are prefilled in that time.
        :param slow_factor: factor by which steps are longer at times.
        """
        self.name = name
        self.is_up = True
        # Time until a connection attempt fails after the engine has stopped.
        self.connect_error_ms = 0
        self.cached_parts: set[str] = set()
        self.running: set[ReplayedCall] = set()
        self._tokens_per_ms = tokens_per_ms
        self._stream_tokens = stream_tokens
        self._slow_factor = slow_factor
        self._free_at_ms: float = 0
        # Begin and end of each long prefill, in order.
        self._long_prefills: list[tuple[float, float]] = []

    def longest_token_gap_ms(self, begun_ms: int, ended_ms: int) -> int:
        """Return the longest token gap of a stream.

        :param begun_ms: begin of the stream.
        :param ended_ms: end of the stream.
        :returns: token gap in milliseconds.
        """
        tokens = len(self.running) * self._stream_tokens
        if self.has_long_prefill(begun_ms, ended_ms):
            tokens += _CHUNK_TOKENS
        step_ms = tokens / self._tokens_per_ms + _STEP_MS
        if self._slow_factor > 1:
            step_ms *= random.choice((1, self._slow_factor))
        return int(step_ms * _STEPS_PER_EVENT)

    def has_long_prefill(self, begun_ms: int, ended_ms: int) -> bool:
        """Check if a long prompt is prefilled during a stream.

        :param begun_ms: begin of the stream in milliseconds.
        :param ended_ms: end of the stream.
        :returns: whether a long prefill overlaps the stream.
        """
        return any(
            begin_ms < ended_ms and end_ms > begun_ms
            for begin_ms, end_ms in self._long_prefills
        )

    def prefill(self, prompt: Prompt, now_ms: int) -> int:
        """Queue a prompt for prefill.

        :param prompt: the prompt to prefill.
        :param now_ms: current time in milliseconds.
        :returns: end of the prefill in milliseconds.
        """
        uncached = sum(
            part.tokens
            for part in prompt.parts
            if part.part_id not in self.cached_parts
        )
        self.cached_parts.update(part.part_id for part in prompt.shared_parts)
        begin_ms = max(now_ms, self._free_at_ms)
        self._free_at_ms = begin_ms + uncached / self._tokens_per_ms
        if uncached >= _CHUNK_TOKENS * _STEPS_PER_EVENT:
            self._long_prefills.append((begin_ms, self._free_at_ms))
        return int(self._free_at_ms) + 1


@final
class ReplayedCall:
    """A replayed call and its progress."""

    def __init__(
        self,
        *,
        kind: SimpleNamespace,
        gateway: ReplayedGateway,
        prompt: Prompt,
        customer: str,
        now_ms: int,
    ) -> None:
        """Create a call that has just arrived.

        :param kind: properties that all calls of a kind share.
        :param gateway: gateway that receives the call.
        :param prompt: prompt of the call.
        :param customer: name of the customer.
        :param now_ms: time of arrival in milliseconds.
        """
        self.kind = kind
        self.gateway = gateway
        self.arrived_ms = now_ms
        self.progress = CallProgress()
        self.begun_ms: int | None = None
        self.entry: Any = None
        self.call = SimpleNamespace(
            origin=None,
            head=SimpleNamespace(prompt=prompt),
            call_id='',
            asked=False,
            customer=SimpleNamespace(name=customer),
            customer_name=customer,
            deadline_ms=now_ms + kind.deadline_ms,
            priority=0,
            body=b'',
            route=SimpleNamespace(
                tier=0 if kind.urgent else 1,
                target_ms=kind.target_ms,
                target=Target(
                    first_token_ms=kind.target_ms,
                    token_gap_ms=kind.gap_ms,
                ),
                streaming=True,
                resumable=True,
            ),
        )

    @property
    def prompt(self) -> Prompt:
        """The prompt of the call."""
        return self.call.head.prompt


@final
class ReplayedGateway:
    """The state of a gateway and its exchange with the other gateways."""

    def __init__(
        self,
        *,
        name: str,
        clock: ManualClock,
        policies: dict[str, str],
        gaps_ms: list[int],
    ) -> None:
        """Create a gateway without endpoints.

        :param name: name of the gateway.
        :param clock: clock that all gateways share.
        :param policies: names of policies by the names of settings.
        :param gaps_ms: distinct token gap bounds of streams in milliseconds.
        """
        rates_policy = policies.get('read_rates', 'own')
        rates = read_rates.find(rates_policy).unwrap()(clock=clock)
        starts_policy = policies.get('start_estimates', 'plain')
        starts = start_estimates.find(starts_policy).unwrap()
        self.knowledge = EndpointKnowledge(
            clock=clock,
            rates=rates,
            start_estimates=starts(
                get_fixed_overhead_ms=rates.fixed_overhead_ms
            ),
            full_gaps=FullGaps(clock=clock, reports_gaps=True),
        )
        self.session = SimpleNamespace(name=name, zone='a')
        self.exchange = LoadExchange(
            name=name, zone='a', clock=clock, knowledge=self.knowledge
        )
        self.state = SimpleNamespace(
            clock=clock,
            knowledge=self.knowledge,
            gate=SendingGate(
                name=name,
                clock=clock,
                signals=self.knowledge.signals,
                rate_share=share_among_few,
            ),
            deferred_calls=DeferredCalls(),
            reserved_engines=ReservedEngines(
                clock=clock,
                knowledge=self.knowledge,
                group_policy=engine_groups.find(
                    policies.get('engine_groups', 'none')
                ).unwrap(),
            ),
            fair_shares=FairShares(clock=clock, knowledge=self.knowledge),
            metrics=Metrics(),
            policies=SimpleNamespace(
                admission=admissions.find(
                    policies.get('admission', 'target')
                ).unwrap(),
                placement=place_by_cost,
                cache_transfer=copy_nothing,
                stream_backup=back_up_nothing,
            ),
            routes=Routes(
                version=1,
                routes=tuple(
                    itertools.starmap(
                        _make_route, itertools.product(gaps_ms, (0, 1))
                    )
                ),
                pools=[Pool(name=POOL, memory_tokens=521_575)],
                customers=(),
                limits=CallerLimits(),
            ),
            zone='a',
        )


@final
class LoadReplay:
    """A replay of one pattern, repeatable by its seed within a process.

    Between processes the figures differ by some calls in a thousand, since the
    order of engine names in sets differs.
    """

    def __init__(
        self,
        *,
        pattern: dict[str, Any],
        seed: int = 1,
    ) -> None:
        """Create the gateways.

        :param pattern: parsed content of a file under ``tests/patterns``.
        :param seed: seed of all random draws, including those of the rules.
        """
        random.seed(seed)
        self.clock = ManualClock(start_ms=0)
        # Number of calls by kind and outcome.
        self.ends: dict[str, collections.Counter[str]] = {}
        # Number of calls by customer and outcome.
        self.customers: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        # Number of calls sent to each engine.
        self.sent: collections.Counter[str] = collections.Counter()
        self._pattern = SimpleNamespace(**{'policies': {}, **pattern})
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._engines: dict[str, Engine] = {}
        self._gateways = [
            ReplayedGateway(
                name=f'g-{number}',
                clock=self.clock,
                policies=self._pattern.policies,
                gaps_ms=[kind['gap_ms'] for kind in self._pattern.kinds],
            )
            for number in range(self._pattern.gateways)
        ]

    def run(self) -> LoadReplay:
        """Run the replay to the end of the last call.

        :returns: the replay itself, with its figures.
        """
        for _engine in range(self._pattern.engines):
            self._add_engine(0)
        for gateway in self._gateways:
            self._run_at(
                random.randrange(_MS),
                functools.partial(self._send_heartbeat, gateway),
            )
        for kind in self._pattern.kinds:
            self._plan_arrivals(SimpleNamespace(**kind))
        for event in self._pattern.events:
            event_action = getattr(self, f'_{event["what"]}')
            self._run_at(
                int(event['at_s'] * _MS),
                functools.partial(event_action, event),
            )
        while self._queue:
            at_ms, _number, action = heapq.heappop(self._queue)
            self.clock.advance(at_ms - self.clock.now_ms())
            action()
        return self

    def rates(self, engine: str) -> list[float]:
        """Return the gateways' estimates of the prefill rate of an engine.

        :param engine: name of the engine.
        :returns: tokens per millisecond, one estimate per gateway.
        """
        return [
            gateway.knowledge.speed(engine).rate.tokens_per_ms
            for gateway in self._gateways
        ]

    def count(self, end: str) -> int:
        """Return the number of calls with an outcome.

        :param end: ``in target``, ``late`` at the start, ``paused`` for too
            long a token gap, ``cut``, or the code of a refusal.
        :returns: number of calls of all kinds.
        """
        return sum(ends[end] for ends in self.ends.values())

    def _run_at(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def _run_after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._run_at(self.clock.now_ms() + delay_ms, action)

    def _plan_arrivals(self, kind: SimpleNamespace) -> None:
        self.ends[kind.name] = collections.Counter()
        at_s: float = 0
        while True:
            factor = kind.crowd if kind.from_s <= at_s < kind.to_s else 1
            at_s += random.expovariate(kind.per_s * factor)
            if at_s >= self._pattern.seconds:
                return
            self._run_at(int(at_s * _MS), functools.partial(self._arrive, kind))

    def _arrive(self, kind: SimpleNamespace) -> None:
        shared = PromptPart(
            part_id=f'{kind.name}-{random.randrange(kind.parts)}',
            tokens=kind.shared_tokens,
        )
        own = PromptPart(
            part_id=f'own-{next(self._order)}', tokens=kind.own_tokens
        )
        call = ReplayedCall(
            kind=kind,
            gateway=random.choice(self._gateways),
            prompt=Prompt(parts=(shared, own), output_tokens=100),
            customer=_draw_customer(kind),
            now_ms=self.clock.now_ms(),
        )
        self._place(call)

    def _place(self, call: ReplayedCall) -> None:
        avoided = call.progress.unreached.union(call.progress.sent)
        destination = choose_destination(
            call.gateway.state, call.call, POOL, avoided
        )
        if destination is None:
            self._end(call, 'no_endpoint')
        else:
            self._admit(call, destination)

    def _admit(self, call: ReplayedCall, to: Destination) -> None:
        admitted = admit_prompt(call.gateway.state, call.call, POOL, to)
        if isinstance(admitted, Success):
            self._send(call, admitted.unwrap())
        else:
            self._end(call, 'too_late')

    def _send(self, call: ReplayedCall, to: Destination) -> None:
        name = to.endpoint.name
        engine = self._engines[name]
        self.sent[name] += 1
        if not engine.is_up:
            self._run_after(
                engine.connect_error_ms, lambda: self._fail_send(call, name)
            )
            return
        knowledge = call.gateway.knowledge
        call.entry = knowledge.load.start(name, to.load)
        uncached = to.load.prefill_tokens
        knowledge.note_prompt_sent(name, uncached)
        note_given_work(call.gateway.state, call.call, to)
        sent = SentPrompt(
            endpoint=name,
            parts=call.prompt.shared_parts,
            uncached_tokens=uncached,
        )
        now_ms = self.clock.now_ms()
        knowledge.caches.note_sent(sent, now_ms + int(to.start_ms))
        engine.running.add(call)
        ready_ms = engine.prefill(call.prompt, now_ms)
        self._run_at(ready_ms, lambda: self._start_output(call, to, now_ms))

    def _fail_send(self, call: ReplayedCall, name: str) -> None:
        call.progress.note(name, AttemptEnd.not_sent)
        call.gateway.knowledge.health.note_unreachable(name)
        terms = RetryTerms(idempotent=True, max_attempts=2, is_resumable=True)
        verdict = decide_retry(AttemptEnd.not_sent, call.progress, terms)
        if verdict is RetryDecision.free:
            self._place(call)
        else:
            self._end(call, 'no_endpoint')

    def _start_output(
        self, call: ReplayedCall, to: Destination, sent_ms: int
    ) -> None:
        engine = self._engines[to.endpoint.name]
        if call not in engine.running:
            return
        call.begun_ms = self.clock.now_ms()
        call.entry.begin_output()
        knowledge, now_ms = call.gateway.knowledge, self.clock.now_ms()
        knowledge.caches.confirm_prefill(engine.name, call.prompt)
        knowledge.start_estimates.note(POOL, 0, to.start_ms, now_ms - sent_ms)
        pending, own = to.candidate.prefill_tokens, to.load.prefill_tokens
        knowledge.speeds.note_start(
            engine.name, POOL, pending + own, now_ms - sent_ms, pending
        )
        self._run_after(call.kind.stream_ms, lambda: self._finish(call, engine))

    def _finish(self, call: ReplayedCall, engine: Engine) -> None:
        if call not in engine.running or call.begun_ms is None:
            return
        engine.running.discard(call)
        call.entry.end()
        knowledge = call.gateway.knowledge
        knowledge.health.note_success(engine.name)
        now_ms = self.clock.now_ms()
        gap_ms = engine.longest_token_gap_ms(call.begun_ms, now_ms)
        is_beside = engine.has_long_prefill(call.begun_ms, now_ms)
        pending = _LONG_PREFILL_TOKENS if is_beside else 0
        knowledge.speed(engine.name).note_longest_gap(gap_ms, pending)
        if call.begun_ms - call.arrived_ms > call.kind.target_ms:
            self._end(call, 'late')
        elif gap_ms > call.kind.gap_ms:
            self._end(call, 'paused')
        else:
            self._end(call, 'in target')

    def _end(self, call: ReplayedCall, end: str) -> None:
        self.ends[call.kind.name][end] += 1
        self.customers[call.call.customer_name][end] += 1

    def _send_heartbeat(self, gateway: ReplayedGateway) -> None:
        loads = gateway.exchange.collect_loads(whole=False)
        activity = gateway.exchange.collect_activity()
        for peer in self._gateways:
            if peer is not gateway:
                self._run_after(
                    _MESSAGE_DELAY_MS,
                    functools.partial(
                        peer.exchange.merge_heartbeat,
                        gateway.session,
                        loads,
                        activity,
                        whole=False,
                    ),
                )
        if self.clock.now_ms() < self._pattern.seconds * _MS:
            peers = len(self._gateways) - 1
            self._run_after(
                heartbeat_interval_ms(peers),
                lambda: self._send_heartbeat(gateway),
            )

    def _add_engine(self, max_delay_ms: int) -> None:
        number = len(self._engines)
        rates = self._pattern.tokens_per_ms
        engine = Engine(
            name=f'i-{number}',
            tokens_per_ms=rates[number % len(rates)],
            stream_tokens=getattr(self._pattern, 'stream_tokens', 0),
            slow_factor=getattr(self._pattern, 'slow_spell', 1),
        )
        self._engines[engine.name] = engine
        listed = PoolEndpoint(
            name=engine.name,
            pool=POOL,
            host='h',
            port=1,
            zone='a',
            slots=64,
            draining=False,
        )
        for gateway in self._gateways:
            delay_ms = random.randrange(max_delay_ms) if max_delay_ms else 0
            put = gateway.knowledge.table.put
            self._run_after(delay_ms, functools.partial(put, listed))

    def _add(self, event: dict[str, Any]) -> None:
        for _engine in range(event['count']):
            self._add_engine(_LIST_DELAY_MS)

    def _crash(self, event: dict[str, Any]) -> None:
        running = [each for each in self._engines.values() if each.is_up]
        count = int(len(running) * event['share'])
        for engine in random.sample(running, count):
            engine.connect_error_ms = event['connect_ms']
            self._stop_engine(engine)

    def _stop_engine(self, engine: Engine) -> None:
        engine.is_up = False
        for call in sorted(engine.running, key=lambda call: call.arrived_ms):
            call.entry.end()
            call.gateway.knowledge.health.note_failure(engine.name)
            self._end(call, 'cut')
        engine.running.clear()
        for gateway in self._gateways:
            remove = gateway.knowledge.table.remove
            self._run_after(
                _DELIST_DELAY_MS, functools.partial(remove, engine.name)
            )


def _make_route(gap_ms: int, tier: int) -> SimpleNamespace:
    return SimpleNamespace(
        host='h',
        path_prefix=f'/{gap_ms}',
        tier=tier,
        pools=(SimpleNamespace(pool=POOL),),
        target=Target(token_gap_ms=gap_ms),
    )


def _draw_customer(kind: SimpleNamespace) -> str:
    # Kinds without customers make no draw, so that their figures stay the same.
    customers = getattr(kind, 'customers', None)
    return random.choice(customers) if customers else ''


def read_pattern(path: pathlib.Path) -> dict[str, Any]:
    """Return the parsed pattern of a file.

    :param path: path of the YAML file.
    :returns: content of the pattern.
    """
    return yaml.safe_load(path.read_text('utf-8'))


def main() -> None:
    """Print the figures of the patterns given on the command line."""
    for name in sys.argv[1:]:
        path = pathlib.Path(name)
        replay = LoadReplay(pattern=read_pattern(path)).run()
        sys.stdout.write(f'{path.stem}\n')
        for kind, ends in replay.ends.items():
            sys.stdout.write(f'  {kind:12} {dict(sorted(ends.items()))}\n')


if __name__ == '__main__':
    main()
