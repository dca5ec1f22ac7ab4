"""Simulation of gateways that share one rate-limited endpoint.

The rules and the stored signals are the real ones; only the updates between
gateways and the requests of callers are simulated, with a manual clock.
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
GRACE_AFTER_LIMIT_MS: Final = 3000
GRACE_AFTER_ANSWER_MS: Final = 500
WINDOW_MS: Final = 4000
# Milliseconds of silence after which peers remove a gateway.
_SILENCE_TIMEOUT_MS: Final = 3000
# Milliseconds from a request to the head of its answer.
_ANSWER_DELAY_MS: Final = 50


@final
class SimulatedGateway:
    """A simulated gateway with its sending gate and its known signals."""

    def __init__(
        self, *, name: str, clock: ManualClock, share: RateShare
    ) -> None:
        """Create a running gateway without peers.

        :param name: name of the gateway.
        :param clock: clock of the simulation.
        :param share: rule that divides limits between gateways.
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
        # When its first answer with a limit arrived, None before.
        self.limit_known_ms: int | None = None


@final
class RateSimulation:
    """The gateways, the arrivals at the endpoint, and updates in transit."""

    def __init__(
        self,
        *,
        gateways: int,
        rate: float,
        seed: int,
        max_delay_ms: int = 100,
        share: str = 'few_gateways',
        demand: float = 5,
    ) -> None:
        """Create and start all gateways.

        :param gateways: number of gateways.
        :param rate: initial limit of the endpoint in requests per second.
        :param seed: seed of the random generator.
        :param max_delay_ms: maximum delay of updates in milliseconds.
        :param share: name of the rule that divides limits.
        :param demand: calls per second that each gateway has for the
            endpoint.
        """
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=100_000)
        self.rate: float | None = rate
        self._max_delay_ms = max_delay_ms
        self._demand = demand
        self._share = rate_shares.find(share).unwrap()
        self.gateways = {
            f'g{number}': self._make_gateway(f'g{number}')
            for number in range(gateways)
        }
        # When the others remove an ended gateway, by its name.
        self._removal_ms: dict[str, int] = {}
        # Gateways that are partitioned from the others, and since when.
        self._partitioned: set[str] = set()
        self._partitioned_ms = 0
        # Updates in transit: arrival time, sender and receiver.
        self._updates: list[tuple[int, str, str]] = []
        # Arrival times of requests, and whether they count towards the limit.
        self.arrivals: list[tuple[int, bool]] = []
        self._answers: list[tuple[int, int, str, float | None]] = []
        self.first_limited_ms: int | None = None

    def kill(self, name: str) -> None:
        """End a gateway; the others detect it at once or by its silence.

        :param name: name of the gateway.
        """
        self.gateways[name].running = False
        detection_ms = self.rng.choice((0, _SILENCE_TIMEOUT_MS))
        self._removal_ms[name] = self.clock.now_ms() + detection_ms

    def partition(self, names: set[str]) -> None:
        """Partition gateways from all others, but not from the endpoint.

        :param names: names of the gateways; an empty set ends the partition.
        """
        self._partitioned = names
        self._partitioned_ms = self.clock.now_ms()

    def restart(self, name: str) -> None:
        """Start a gateway again without the signals that it knew.

        :param name: name of the gateway.
        """
        self.gateways[name] = self._make_gateway(name)
        self._removal_ms.pop(name, None)
        for peer in self.gateways:
            self._send_update(peer, name)

    def run(self, seconds: float) -> None:
        """Advance the simulation.

        :param seconds: duration in seconds.
        """
        until_ms = self.clock.now_ms() + seconds * 1000
        while self.clock.now_ms() < until_ms:
            self.clock.advance(STEP_MS)
            self._step(self.clock.now_ms())

    def max_window_arrivals(self) -> int:
        """Return the maximum number of counted arrivals in any window.

        :returns: number of requests.
        """
        if self.first_limited_ms is None:
            return 0
        from_ms = self.first_limited_ms + GRACE_AFTER_LIMIT_MS
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

    def arrival_rate(self, since_ms: int) -> float:
        """Return the rate of arrivals since a time.

        :param since_ms: start of the period in milliseconds.
        :returns: requests per second.
        """
        arrived = sum(at_ms >= since_ms for at_ms, _counts in self.arrivals)
        return arrived * 1000 / (self.clock.now_ms() - since_ms)

    def _make_gateway(self, name: str) -> SimulatedGateway:
        return SimulatedGateway(name=name, clock=self.clock, share=self._share)

    def _step(self, now_ms: int) -> None:
        self._update_peers(now_ms)
        self._deliver_updates(now_ms)
        self._deliver_answers(now_ms)
        order = list(self.gateways.values())
        self.rng.shuffle(order)
        for gateway in order:
            if gateway.running:
                self._send_call(gateway, now_ms)

    def _send_call(self, gateway: SimulatedGateway, now_ms: int) -> None:
        if self.rng.random() >= self._demand * STEP_MS / 1000:
            return
        if gateway.gate.acquire(ENDPOINT) is not None:
            return
        limit_known_ms = gateway.limit_known_ms
        counts = (
            limit_known_ms is not None
            and now_ms >= limit_known_ms + GRACE_AFTER_ANSWER_MS
        )
        self.arrivals.append((now_ms, counts))
        if self.rate is not None and self.first_limited_ms is None:
            self.first_limited_ms = now_ms
        answer = (now_ms + _ANSWER_DELAY_MS, now_ms, gateway.name, self.rate)
        self._answers.append(answer)

    def _deliver_answers(self, now_ms: int) -> None:
        due = [each for each in self._answers if each[0] <= now_ms]
        self._answers = [each for each in self._answers if each[0] > now_ms]
        for _due_ms, sent_ms, name, rate in due:
            if self.gateways[name].running:
                self._deliver_answer(self.gateways[name], sent_ms, rate)

    def _deliver_answer(
        self, gateway: SimulatedGateway, sent_ms: int, rate: float | None
    ) -> None:
        if rate is not None and gateway.limit_known_ms is None:
            gateway.limit_known_ms = self.clock.now_ms()
        signals = AnswerSignals(rate=rate)
        gateway.signals.note_answer(ENDPOINT, signals, sent_ms)
        if gateway.signals.take_unreported():
            for peer in self.gateways:
                self._send_update(gateway.name, peer)

    def _send_update(self, name: str, peer: str) -> None:
        if name != peer and (name in self._partitioned) == (
            peer in self._partitioned
        ):
            delay_ms = self.rng.randint(0, self._max_delay_ms)
            self._updates.append((self.clock.now_ms() + delay_ms, name, peer))

    def _deliver_updates(self, now_ms: int) -> None:
        due = [each for each in self._updates if each[0] <= now_ms]
        self._updates = [each for each in self._updates if each[0] > now_ms]
        for _due_ms, name, peer in due:
            limit = self.gateways[name].signals.limits.get(ENDPOINT)
            if limit is not None:
                self.gateways[peer].signals.merge_limit(ENDPOINT, limit)

    def _update_peers(self, now_ms: int) -> None:
        visible = [
            name
            for name, gateway in self.gateways.items()
            if gateway.running or now_ms < self._removal_ms.get(name, 0)
        ]
        # A partition is detected as late as a frozen gateway.
        is_detected = now_ms >= self._partitioned_ms + _SILENCE_TIMEOUT_MS
        for name, gateway in self.gateways.items():
            is_partitioned = name in self._partitioned
            gateway.gate.note_gateways(
                connected=[
                    each
                    for each in visible
                    if each != name
                    and not (
                        is_detected
                        and (each in self._partitioned) != is_partitioned
                    )
                ],
                stopping=[],
                gateway_count=len(visible),
            )
