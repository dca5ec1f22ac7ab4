"""Gateways before one endpoint that names a limit, by a clock moved by hand.

The rules and the knowledge are the real ones; only the news between gateways
and the requests of callers are modelled.
"""

from __future__ import annotations

import random
from typing import Final, final

from wingfall.clock import ManualClock
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.model.answer_signals import AnswerSignals
from wingfall.gateway.rules.pacing.rate_share import RateShare, rate_shares

ENDPOINT: Final = 'engine-1'
STEP_MS: Final = 50
CONTACT_MS: Final = 3000
TOLD_MS: Final = 500
WINDOW_MS: Final = 4000
# Milliseconds of silence after which a gateway counts as gone.
_SILENCE_MS: Final = 3000
# Milliseconds from a request to the head of its answer.
_ANSWER_MS: Final = 50


@final
class ModelGateway:
    """One gateway: its gate, what it has heard, and what it sent."""

    def __init__(
        self, *, name: str, clock: ManualClock, share: RateShare
    ) -> None:
        """Start without peers.

        :param name: its name.
        :param clock: the time.
        :param share: the rule that divides limits.
        """
        self.name = name
        self.signals = EndpointSignals(name=name, clock=clock)
        self.gate = SendingGate(
            name=name,
            clock=clock,
            signals=self.signals,
            rate_share=share,
        )
        self.running = True
        # When it was first told by an answer, None if never.
        self.told_ms: int | None = None


@final
class RateWorld:
    """All gateways, the endpoint's ledger, and the news on their way."""

    def __init__(
        self,
        *,
        gateways: int,
        rate: float,
        seed: int,
        news_ms: int = 100,
        share: str = 'few_gateways',
        demand: float = 5,
    ) -> None:
        """Start all gateways.

        :param gateways: how many.
        :param rate: the limit that the endpoint names from the start.
        :param seed: what is drawn from.
        :param news_ms: the longest that news take.
        :param share: name of the rule that divides limits.
        :param demand: calls a second that each gateway would send there.
        """
        self.chance = random.Random(seed)
        self.clock = ManualClock(start_ms=100_000)
        self.rate: float | None = rate
        self._news_ms = news_ms
        self._demand = demand
        self._share = rate_shares.find(share).unwrap()
        self.gateways = {
            f'g{number}': self._make(f'g{number}') for number in range(gateways)
        }
        # When a gateway is seen to be gone by the others.
        self._gone_ms: dict[str, int] = {}
        # Gateways that the others don't hear, and since when.
        self._cut_off: set[str] = set()
        self._cut_ms = 0
        # What is on its way: when it comes, and from whom to whom.
        self._news: list[tuple[int, str, str]] = []
        # When requests came, and whether they count: from gateways told.
        self.arrivals: list[tuple[int, bool]] = []
        self._answers: list[tuple[int, int, str, float | None]] = []
        self.first_named_ms: int | None = None

    def kill(self, name: str) -> None:
        """End a gateway; the others see it at once or by its silence.

        :param name: the gateway.
        """
        self.gateways[name].running = False
        seen_ms = self.chance.choice((0, _SILENCE_MS))
        self._gone_ms[name] = self.clock.now_ms() + seen_ms

    def cut(self, names: set[str]) -> None:
        """Cut gateways off from all others, but not from the endpoint.

        :param names: the gateways; none heals the cut.
        """
        self._cut_off = names
        self._cut_ms = self.clock.now_ms()

    def restart(self, name: str) -> None:
        """Start a gateway anew; all that it knew is gone.

        :param name: the gateway.
        """
        self.gateways[name] = self._make(name)
        self._gone_ms.pop(name, None)
        for peer in self.gateways:
            self._tell(peer, name)

    def run(self, seconds: float) -> None:
        """Let time go on.

        :param seconds: for how long.
        """
        until_ms = self.clock.now_ms() + seconds * 1000
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            self._step(self.clock.now_ms())

    def worst_window(self) -> int:
        """Count the arrivals that count in the worst window.

        :returns: how many.
        """
        if self.first_named_ms is None:
            return 0
        from_ms = self.first_named_ms + CONTACT_MS
        counted = [
            at_ms
            for at_ms, counts in self.arrivals
            if counts and at_ms >= from_ms
        ]
        return max(
            (
                sum(at_ms <= each <= at_ms + WINDOW_MS for each in counted)
                for at_ms in counted
            ),
            default=0,
        )

    def use(self, since_ms: int) -> float:
        """Tell how many requests a second came.

        :param since_ms: from when on.
        :returns: requests a second.
        """
        came = sum(at_ms >= since_ms for at_ms, _counts in self.arrivals)
        return came * 1000 / (self.clock.now_ms() - since_ms)

    def _make(self, name: str) -> ModelGateway:
        return ModelGateway(name=name, clock=self.clock, share=self._share)

    def _step(self, now_ms: int) -> None:
        self._note_gateways(now_ms)
        self._deliver(now_ms)
        self._read_answers(now_ms)
        order = list(self.gateways.values())
        self.chance.shuffle(order)
        for gateway in order:
            if gateway.running:
                self._call(gateway, now_ms)

    def _call(self, gateway: ModelGateway, now_ms: int) -> None:
        if self.chance.random() >= self._demand * STEP_MS / 1000:
            return
        if gateway.gate.take(ENDPOINT) is not None:
            return
        told_ms = gateway.told_ms
        counts = told_ms is not None and now_ms >= told_ms + TOLD_MS
        self.arrivals.append((now_ms, counts))
        if self.rate is not None and self.first_named_ms is None:
            self.first_named_ms = now_ms
        answer = (now_ms + _ANSWER_MS, now_ms, gateway.name, self.rate)
        self._answers.append(answer)

    def _read_answers(self, now_ms: int) -> None:
        due = [each for each in self._answers if each[0] <= now_ms]
        self._answers = [each for each in self._answers if each[0] > now_ms]
        for _due_ms, sent_ms, name, rate in due:
            if self.gateways[name].running:
                self._read_answer(self.gateways[name], sent_ms, rate)

    def _read_answer(
        self, gateway: ModelGateway, sent_ms: int, rate: float | None
    ) -> None:
        if rate is not None and gateway.told_ms is None:
            gateway.told_ms = self.clock.now_ms()
        signals = AnswerSignals(rate=rate)
        gateway.signals.note_answer(ENDPOINT, signals, sent_ms)
        if gateway.signals.take_untold():
            for peer in self.gateways:
                self._tell(gateway.name, peer)

    def _tell(self, name: str, peer: str) -> None:
        if name != peer and (name in self._cut_off) == (peer in self._cut_off):
            delay_ms = self.chance.randint(0, self._news_ms)
            self._news.append((self.clock.now_ms() + delay_ms, name, peer))

    def _deliver(self, now_ms: int) -> None:
        due = [each for each in self._news if each[0] <= now_ms]
        self._news = [each for each in self._news if each[0] > now_ms]
        for _due_ms, name, peer in due:
            limit = self.gateways[name].signals.limits.get(ENDPOINT)
            if limit is not None:
                self.gateways[peer].signals.take_limit(ENDPOINT, limit)

    def _note_gateways(self, now_ms: int) -> None:
        heard = [
            name
            for name, gateway in self.gateways.items()
            if gateway.running or now_ms < self._gone_ms.get(name, 0)
        ]
        # The silence of a cut is seen as late as that of a frozen gateway.
        silent = now_ms >= self._cut_ms + _SILENCE_MS
        for name, gateway in self.gateways.items():
            cut_off = name in self._cut_off
            gateway.gate.note_gateways(
                heard=[
                    each
                    for each in heard
                    if each != name
                    and not (silent and (each in self._cut_off) != cut_off)
                ],
                stopping=[],
                known=len(heard),
            )
