"""Replays a pattern of load through the rules that place and turn away calls.

No sockets: time is stepped from one event to the next. Gateways decide by the
real rules and the real knowledge, and hear of each other by heartbeats as late
as they are. Engines are modelled: they read one prompt after the other at their
rate, keep the shared parts that they have read, then stream. While an engine
reads a long prompt, events of its streams come as far apart as reading the
pieces between two of them takes. An engine that ends takes no connection, and
its entry is listed until its heartbeats are missed.

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
from wingfall.gateway.calls.admission import admit_prompt, note_given
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
from wingfall.gateway.peers.heartbeat_schedule import interval_ms
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.rules.admission.early_refusal import admissions
from wingfall.gateway.rules.admission.fair_shares import FairShares
from wingfall.gateway.rules.admission.held_calls import HeldCalls
from wingfall.gateway.rules.pacing.rate_share import share_among_few
from wingfall.gateway.rules.placement.cache_transfer import copy_nothing
from wingfall.gateway.rules.placement.endpoint_choice import place_by_reading
from wingfall.gateway.rules.placement.engine_groups import engine_groups
from wingfall.gateway.rules.placement.kept_engines import KeptEngines
from wingfall.gateway.rules.placement.stream_backup import back_up_nothing
from wingfall.gateway.rules.retries.retry import (
    CallProgress,
    RetryTerms,
    RetryVerdict,
    judge_retry,
)
from wingfall.metrics import Metrics
from wingfall.objects.request_class import Target

if TYPE_CHECKING:
    from collections.abc import Callable

    from wingfall.gateway.calls.destination import Destination

POOL: Final = 'engines'
_MS: Final = 1000
# Tokens that an engine reads at once, steps between two events of a stream, and
# milliseconds of a step without a read: by the sheet of the large deployment,
# with some twenty streams.
_PIECE_TOKENS: Final = 2048
_STEPS: Final = 4
_STEP_MS: Final = 8
# What waited to be read during a gap beside long reads.
_LONG_READ_TOKENS: Final = 50_000
# Milliseconds of a message between gateways.
_MESSAGE_MS: Final = 2
# Milliseconds for which an engine that has ended is still listed.
_LISTED_MS: Final = 3600
# Milliseconds in which all gateways have read a change of the list.
_READ_MS: Final = 300


@final
class Engine:
    """An engine: what it reads, what it keeps, whether it runs."""

    def __init__(
        self,
        *,
        name: str,
        tokens_per_ms: float,
        stream_tokens: float = 0,
        slow_spell: float = 1,
    ) -> None:
        """Start empty.

        :param name: its name.
        :param tokens_per_ms: how fast it reads.
        :param stream_tokens: what each stream adds to a step, in tokens that
            are read in the same time.
        :param slow_spell: how many times as long steps take at times.
        """
        self.name = name
        self.up = True
        # How long a connect takes to fail once it has ended.
        self.connect_ms = 0
        self.kept: set[str] = set()
        self.runs: set[ReplayedCall] = set()
        self._tokens_per_ms = tokens_per_ms
        self._stream_tokens = stream_tokens
        self._slow_spell = slow_spell
        self._free_at_ms: float = 0
        # Long reads: when they begin and end, in order.
        self._long_reads: list[tuple[float, float]] = []

    def longest_gap_ms(self, begun_ms: int, ended_ms: int) -> int:
        """Tell the longest gap of a stream.

        :param begun_ms: when it began.
        :param ended_ms: when it ended.
        :returns: milliseconds.
        """
        tokens = len(self.runs) * self._stream_tokens
        if self.reads_beside(begun_ms, ended_ms):
            tokens += _PIECE_TOKENS
        step_ms = tokens / self._tokens_per_ms + _STEP_MS
        if self._slow_spell > 1:
            step_ms *= random.choice((1, self._slow_spell))
        return int(step_ms * _STEPS)

    def reads_beside(self, begun_ms: int, ended_ms: int) -> bool:
        """Tell whether a long prompt is read beside a stream.

        :param begun_ms: when the stream began.
        :param ended_ms: when it ended.
        :returns: whether one is.
        """
        return any(
            begin_ms < ended_ms and end_ms > begun_ms
            for begin_ms, end_ms in self._long_reads
        )

    def read(self, prompt: Prompt, now_ms: int) -> int:
        """Take a prompt in.

        :param prompt: the prompt.
        :param now_ms: the time.
        :returns: when it has been read.
        """
        unread = sum(
            part.tokens
            for part in prompt.parts
            if part.part_id not in self.kept
        )
        self.kept.update(part.part_id for part in prompt.shared)
        begin_ms = max(now_ms, self._free_at_ms)
        self._free_at_ms = begin_ms + unread / self._tokens_per_ms
        if unread >= _PIECE_TOKENS * _STEPS:
            self._long_reads.append((begin_ms, self._free_at_ms))
        return int(self._free_at_ms) + 1


@final
class ReplayedCall:
    """One prompt on its way, and what became of it."""

    def __init__(
        self,
        *,
        kind: SimpleNamespace,
        gateway: ReplayedGateway,
        prompt: Prompt,
        customer: str,
        now_ms: int,
    ) -> None:
        """Arrive.

        :param kind: what all prompts of its kind share.
        :param gateway: where it arrives.
        :param prompt: its prompt.
        :param customer: whose it is.
        :param now_ms: the time.
        """
        self.kind = kind
        self.gateway = gateway
        self.arrived_ms = now_ms
        self.progress = CallProgress()
        self.begun_ms: int | None = None
        self.entry: Any = None
        self.call = SimpleNamespace(
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
        """The prompt."""
        return self.call.head.prompt


@final
class ReplayedGateway:
    """What one gateway knows, and what it tells the others."""

    def __init__(
        self,
        *,
        name: str,
        clock: ManualClock,
        policies: dict[str, str],
        gaps_ms: list[int],
    ) -> None:
        """Start without an endpoint.

        :param name: its name.
        :param clock: the time of all.
        :param policies: its rules, by the names of settings.
        :param gaps_ms: the gaps that streams bear, each once.
        """
        own = policies.get('read_rates', 'own')
        rates = read_rates.find(own).unwrap()(clock=clock)
        plain = policies.get('start_estimates', 'plain')
        starts = start_estimates.find(plain).unwrap()
        self.knowledge = EndpointKnowledge(
            clock=clock,
            rates=rates,
            starts=starts(fixed_time=rates.fixed_ms),
            full_gaps=FullGaps(clock=clock, tells=True),
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
            held_calls=HeldCalls(),
            kept_engines=KeptEngines(
                clock=clock,
                knowledge=self.knowledge,
                parts_pool=engine_groups.find(
                    policies.get('engine_groups', 'none')
                ).unwrap(),
            ),
            fair_shares=FairShares(clock=clock, knowledge=self.knowledge),
            metrics=Metrics(),
            policies=SimpleNamespace(
                admission=admissions.find(
                    policies.get('admission', 'target')
                ).unwrap(),
                placement=place_by_reading,
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
    """Plays one pattern; a seed gives the same figures within a process.

    Between processes they differ by some calls in a thousand, with the order
    of the names of engines in sets.
    """

    def __init__(
        self,
        *,
        pattern: dict[str, Any],
        seed: int = 1,
    ) -> None:
        """Set gateways and engines up.

        :param pattern: what a file under ``tests/patterns`` says.
        :param seed: of all draws, also those of the rules.
        """
        random.seed(seed)
        self.clock = ManualClock(start_ms=0)
        # How many calls of each kind ended how.
        self.ends: dict[str, collections.Counter[str]] = {}
        # The same of each customer.
        self.customers: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        # How many calls each engine was sent.
        self.sent: collections.Counter[str] = collections.Counter()
        self._pattern = SimpleNamespace(**{'policies': {}, **pattern})
        self._order = itertools.count()
        self._due: list[tuple[int, int, Callable[[], None]]] = []
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
        """Play to the end of the last call.

        :returns: itself, with the figures.
        """
        for _engine in range(self._pattern.engines):
            self._add_engine(0)
        for gateway in self._gateways:
            self._at(
                random.randrange(_MS), functools.partial(self._tell, gateway)
            )
        for kind in self._pattern.kinds:
            self._plan_arrivals(SimpleNamespace(**kind))
        for event in self._pattern.events:
            happen = getattr(self, f'_{event["what"]}')
            self._at(
                int(event['at_s'] * _MS),
                functools.partial(happen, event),
            )
        while self._due:
            at_ms, _number, act = heapq.heappop(self._due)
            self.clock.advance(at_ms - self.clock.now_ms())
            act()
        return self

    def rates(self, engine: str) -> list[float]:
        """Tell how fast the gateways take an engine to read.

        :param engine: its name.
        :returns: tokens a millisecond, one for each gateway.
        """
        return [
            each.knowledge.speed(engine).rate.tokens_per_ms
            for each in self._gateways
        ]

    def count(self, end: str) -> int:
        """Count the calls that ended in a way.

        :param end: ``in target``, ``late`` at the start, ``paused`` for too
            long a gap, ``cut``, or a refusal's code.
        :returns: how many, over all kinds.
        """
        return sum(ends[end] for ends in self.ends.values())

    def _at(self, at_ms: int, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_ms, next(self._order), act))

    def _after(self, delay_ms: int, act: Callable[[], None]) -> None:
        self._at(self.clock.now_ms() + delay_ms, act)

    def _plan_arrivals(self, kind: SimpleNamespace) -> None:
        self.ends[kind.name] = collections.Counter()
        at_s: float = 0
        while True:
            crowd = kind.crowd if kind.from_s <= at_s < kind.to_s else 1
            at_s += random.expovariate(kind.per_s * crowd)
            if at_s >= self._pattern.seconds:
                return
            self._at(int(at_s * _MS), functools.partial(self._arrive, kind))

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
        if not engine.up:
            self._after(engine.connect_ms, lambda: self._miss(call, name))
            return
        knowledge = call.gateway.knowledge
        call.entry = knowledge.load.start(name, to.load)
        unread = to.load.reading_tokens
        knowledge.note_prompt_sent(name, unread)
        note_given(call.gateway.state, call.call, to)
        sent = SentPrompt(
            endpoint=name,
            parts=call.prompt.shared,
            unread=unread,
        )
        now_ms = self.clock.now_ms()
        knowledge.caches.note_sent(sent, now_ms + int(to.start_ms))
        engine.runs.add(call)
        read_ms = engine.read(call.prompt, now_ms)
        self._at(read_ms, lambda: self._begin(call, to, now_ms))

    def _miss(self, call: ReplayedCall, name: str) -> None:
        call.progress.note(name, AttemptEnd.not_sent)
        call.gateway.knowledge.health.note_unreachable(name)
        terms = RetryTerms(idempotent=True, max_attempts=2, resumes=True)
        verdict = judge_retry(AttemptEnd.not_sent, call.progress, terms)
        if verdict is RetryVerdict.free:
            self._place(call)
        else:
            self._end(call, 'no_endpoint')

    def _begin(self, call: ReplayedCall, to: Destination, sent_ms: int) -> None:
        engine = self._engines[to.endpoint.name]
        if call not in engine.runs:
            return
        call.begun_ms = self.clock.now_ms()
        call.entry.begin_output()
        knowledge, now_ms = call.gateway.knowledge, self.clock.now_ms()
        knowledge.caches.confirm_read(engine.name, call.prompt)
        knowledge.starts.note(POOL, 0, to.start_ms, now_ms - sent_ms)
        waiting, own = to.candidate.reading_tokens, to.load.reading_tokens
        knowledge.speeds.note_start(
            engine.name, POOL, waiting + own, now_ms - sent_ms, waiting
        )
        self._after(call.kind.stream_ms, lambda: self._finish(call, engine))

    def _finish(self, call: ReplayedCall, engine: Engine) -> None:
        if call not in engine.runs or call.begun_ms is None:
            return
        engine.runs.discard(call)
        call.entry.end()
        knowledge = call.gateway.knowledge
        knowledge.health.note_success(engine.name)
        now_ms = self.clock.now_ms()
        gap_ms = engine.longest_gap_ms(call.begun_ms, now_ms)
        beside = engine.reads_beside(call.begun_ms, now_ms)
        reading = _LONG_READ_TOKENS if beside else 0
        knowledge.speed(engine.name).note_longest_gap(gap_ms, reading)
        if call.begun_ms - call.arrived_ms > call.kind.target_ms:
            self._end(call, 'late')
        elif gap_ms > call.kind.gap_ms:
            self._end(call, 'paused')
        else:
            self._end(call, 'in target')

    def _end(self, call: ReplayedCall, end: str) -> None:
        self.ends[call.kind.name][end] += 1
        self.customers[call.call.customer_name][end] += 1

    def _tell(self, gateway: ReplayedGateway) -> None:
        loads = gateway.exchange.take_loads(whole=False)
        activity = gateway.exchange.take_activity()
        for peer in self._gateways:
            if peer is not gateway:
                self._after(
                    _MESSAGE_MS,
                    functools.partial(
                        peer.exchange.take_heartbeat,
                        gateway.session,
                        loads,
                        activity,
                        whole=False,
                    ),
                )
        if self.clock.now_ms() < self._pattern.seconds * _MS:
            peers = len(self._gateways) - 1
            self._after(interval_ms(peers), lambda: self._tell(gateway))

    def _add_engine(self, read_ms: int) -> None:
        number = len(self._engines)
        rates = self._pattern.tokens_per_ms
        engine = Engine(
            name=f'i-{number}',
            tokens_per_ms=rates[number % len(rates)],
            stream_tokens=getattr(self._pattern, 'stream_tokens', 0),
            slow_spell=getattr(self._pattern, 'slow_spell', 1),
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
            delay_ms = random.randrange(read_ms) if read_ms else 0
            put = gateway.knowledge.table.put
            self._after(delay_ms, functools.partial(put, listed))

    def _add(self, event: dict[str, Any]) -> None:
        for _engine in range(event['count']):
            self._add_engine(_READ_MS)

    def _crash(self, event: dict[str, Any]) -> None:
        running = [each for each in self._engines.values() if each.up]
        count = int(len(running) * event['share'])
        for engine in random.sample(running, count):
            engine.connect_ms = event['connect_ms']
            self._crash_one(engine)

    def _crash_one(self, engine: Engine) -> None:
        engine.up = False
        for call in sorted(engine.runs, key=lambda each: each.arrived_ms):
            call.entry.end()
            call.gateway.knowledge.health.note_failure(engine.name)
            self._end(call, 'cut')
        engine.runs.clear()
        for gateway in self._gateways:
            remove = gateway.knowledge.table.remove
            self._after(_LISTED_MS, functools.partial(remove, engine.name))


def _make_route(gap_ms: int, tier: int) -> SimpleNamespace:
    return SimpleNamespace(
        host='h',
        path_prefix=f'/{gap_ms}',
        tier=tier,
        pools=(SimpleNamespace(pool=POOL),),
        target=Target(token_gap_ms=gap_ms),
    )


def _draw_customer(kind: SimpleNamespace) -> str:
    # Kinds without customers draw as they did before there were any.
    customers = getattr(kind, 'customers', None)
    return random.choice(customers) if customers else ''


def read_pattern(path: pathlib.Path) -> dict[str, Any]:
    """Read a pattern.

    :param path: its file.
    :returns: what it says.
    """
    return yaml.safe_load(path.read_text('utf-8'))


def main() -> None:
    """Print the figures of the patterns named on the command line."""
    for name in sys.argv[1:]:
        path = pathlib.Path(name)
        replay = LoadReplay(pattern=read_pattern(path)).run()
        sys.stdout.write(f'{path.stem}\n')
        for kind, ends in replay.ends.items():
            sys.stdout.write(f'  {kind:12} {dict(sorted(ends.items()))}\n')


if __name__ == '__main__':
    main()
