"""The traffic of both users: classes, sizes, and arrivals from a seed."""

from __future__ import annotations

import math
import random
from typing import Any, Final, final

from wingfall.decision.affinity import BLOCK_CHARS

_SIGMA: Final = 0.8
_CONVERSATIONS: Final = 60
_SHARED_BLOCKS: Final = 12
_SHORTEST: Final = 2
_LONGEST_TIMES: Final = 8
_BURST_TIMES: Final = 3
_BURST_EVERY_S: Final = 4
_BURST_PART: Final = 0.25
_BURST_REST: Final = (1 - _BURST_TIMES * _BURST_PART) / (1 - _BURST_PART)


@final
class TrafficClass:
    """One class of a user's traffic."""

    __slots__ = (
        'burst',
        'name',
        'part',
        'service',
        'share',
        'target',
        'tier',
        'timeout_ms',
        'tokens',
        'worth',
    )

    def __init__(
        self,
        *,
        name: str,
        tier: int,
        worth: float,
        part: float,
        target: dict[str, int],
        timeout_ms: int,
        tokens: int = 0,
        service: bool = False,
        burst: bool = False,
        share: float = 0.03,
    ) -> None:
        """Describe a class.

        :param name: its name.
        :param tier: its tier.
        :param worth: what an answer on time counts.
        :param part: its part of the engines' capacity at a load of 1; for a
            service its requests a second.
        :param target: what on time means.
        :param timeout_ms: when its callers leave.
        :param tokens: mean length of its answers.
        :param service: whether it calls the plain service, unrepeatably.
        :param burst: whether it comes in bursts.
        :param share: guaranteed share of starts.
        """
        self.name = name
        self.tier = tier
        self.worth = worth
        self.part = part
        self.target = target
        self.timeout_ms = timeout_ms
        self.tokens = tokens
        self.service = service
        self.burst = burst
        self.share = share

    def to_object(self) -> dict[str, Any]:
        """Make the class as operators write it.

        :returns: the object.
        """
        return {
            'kind': 'RequestClass',
            'metadata': {'name': self.name},
            'spec': {
                'tier': self.tier,
                'worth': self.worth,
                'timeout_ms': self.timeout_ms,
                'target': self.target,
                'repeatable': not self.service,
                'share': self.share,
            },
        }


PROFILES: Final = {
    'fjordgrid': (
        TrafficClass(
            name='seat',
            tier=0,
            worth=10,
            part=20,
            target={'complete_ms': 500},
            timeout_ms=3000,
            service=True,
        ),
        TrafficClass(
            name='lobby',
            tier=0,
            worth=5,
            part=0.25,
            tokens=15,
            target={'first_token_ms': 500, 'token_gap_ms': 40},
            timeout_ms=4000,
        ),
        TrafficClass(
            name='briefing',
            tier=1,
            worth=2,
            part=0.35,
            tokens=40,
            target={'complete_ms': 3000},
            timeout_ms=6000,
        ),
        TrafficClass(
            name='rival',
            tier=3,
            worth=0.5,
            part=0.4,
            tokens=60,
            target={'complete_ms': 8000},
            timeout_ms=12_000,
            burst=True,
        ),
    ),
    'archive': (
        TrafficClass(
            name='lookup',
            tier=0,
            worth=5,
            part=30,
            target={'complete_ms': 500},
            timeout_ms=3000,
            service=True,
        ),
        TrafficClass(
            name='plate',
            tier=1,
            worth=8,
            part=0.4,
            tokens=120,
            target={'first_token_ms': 2000, 'token_gap_ms': 60},
            timeout_ms=15_000,
        ),
        TrafficClass(
            name='provenance',
            tier=2,
            worth=1,
            part=0.25,
            tokens=40,
            target={'complete_ms': 5000},
            timeout_ms=8000,
        ),
        TrafficClass(
            name='blurb',
            tier=3,
            worth=0.5,
            part=0.35,
            tokens=30,
            target={'complete_ms': 8000},
            timeout_ms=12_000,
            burst=True,
        ),
    ),
}


@final
class Arrival:
    """One request to come."""

    __slots__ = ('at_s', 'customer', 'prompt', 'tokens', 'traffic')

    def __init__(
        self,
        *,
        at_s: float,
        traffic: TrafficClass,
        tokens: int,
        customer: str,
        prompt: str,
    ) -> None:
        """Describe a request.

        :param at_s: when it comes, from the start.
        :param traffic: its class.
        :param tokens: length of its answer, unknown to wingfall.
        :param customer: who sends it.
        :param prompt: what it says; its beginning is its conversation's.
        """
        self.prompt = prompt
        self.at_s = at_s
        self.traffic = traffic
        self.tokens = tokens
        self.customer = customer


def make_arrivals(
    profile: tuple[TrafficClass, ...],
    *,
    load: float,
    seconds: float,
    tokens_per_s: float,
    customers: list[str],
    seed: int,
) -> list[Arrival]:
    """Draw the arrivals of a run; the same for the same arguments.

    :param profile: the classes.
    :param load: demand as a multiple of the engines' capacity.
    :param seconds: how long requests come.
    :param tokens_per_s: capacity of all engines.
    :param customers: who sends; the first sends most.
    :param seed: seed of the random numbers.
    :returns: the arrivals in order.
    """
    chance = random.Random(seed)  # noqa: S311
    arrivals: list[Arrival] = []
    weights = [1 / (rank + 1) for rank in range(len(customers))]
    for traffic in profile:
        rate = load * traffic.part
        if traffic.tokens:
            rate *= tokens_per_s / traffic.tokens
        for at_s in _times(chance, rate, seconds, burst=traffic.burst):
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    traffic=traffic,
                    tokens=_length(chance, traffic.tokens),
                    customer=chance.choices(customers, weights)[0],
                    prompt=_prompt(chance, traffic.name),
                ),
            )
    return sorted(arrivals, key=_arrives)


def _arrives(arrival: Arrival) -> float:
    return arrival.at_s


def _times(
    chance: random.Random,
    rate: float,
    seconds: float,
    *,
    burst: bool,
) -> list[float]:
    # Poisson arrivals; a burst class is thinned outside its bursts.
    times: list[float] = []
    at_s = chance.expovariate(rate * _BURST_TIMES)
    while at_s < seconds:
        phase = at_s % _BURST_EVERY_S / _BURST_EVERY_S
        height = _BURST_TIMES if phase < _BURST_PART else _BURST_REST
        kept = height if burst else 1
        if chance.random() < kept / _BURST_TIMES:
            times.append(at_s)
        at_s += chance.expovariate(rate * _BURST_TIMES)
    return times


def _prompt(chance: random.Random, name: str) -> str:
    # Twelve blocks that a conversation shares, and one of its own.
    conversation = f'{name} {chance.randrange(_CONVERSATIONS):04} '
    own = f'{chance.random():.16f} '
    shared = (conversation * BLOCK_CHARS)[: BLOCK_CHARS * _SHARED_BLOCKS]
    return shared + (own * BLOCK_CHARS)[:BLOCK_CHARS]


def _length(chance: random.Random, mean: int) -> int:
    # A log-normal length has the heavy tail that answers have.
    if not mean:
        return 0
    drawn = chance.lognormvariate(math.log(mean) - _SIGMA**2 / 2, _SIGMA)
    return max(_SHORTEST, min(int(drawn), mean * _LONGEST_TIMES))
