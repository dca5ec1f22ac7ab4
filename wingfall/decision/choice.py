"""Which agents get the offer for a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, Protocol, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

# Milliseconds by which an agent in another availability zone is worse. Decides
# among equals only.
_ZONE_MS: Final = 1
# Candidates that are drawn for each offer: the best of two keeps routers that
# see the same reports from all choosing the same agent.
_SAMPLES_PER_OFFER: Final = 2


@final
class Candidate:
    """An agent as a router sees it when it chooses."""

    __slots__ = (
        'free_slots',
        'gain_ms',
        'limit',
        'load',
        'mean_run_ms',
        'name',
        'reported',
        'same_zone',
        'token_gap_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        same_zone: bool,
        limit: int,
        reported: int,
        sent_since: int,
        mean_run_ms: int,
        reserved: int = 0,
        token_gap_ms: float = 0,
        gain_ms: float = 0,
    ) -> None:
        """Describe an agent.

        :param name: name of its endpoint.
        :param same_zone: whether it is in this router's zone.
        :param limit: calls that it runs at once.
        :param reported: calls that run or wait by its last report.
        :param sent_since: calls that this router has added since.
        :param mean_run_ms: mean time of its calls.
        :param reserved: slots of the limit that the request may not take.
        :param token_gap_ms: its time between two tokens, 0 if not known.
        :param gain_ms: what a cached beginning of the prompt saves there.
        """
        self.name = name
        self.same_zone = same_zone
        self.limit = limit
        self.reported = reported
        self.load = reported + sent_since
        self.free_slots = max(0, limit - reserved - self.load)
        self.token_gap_ms = token_gap_ms
        self.gain_ms = gain_ms
        self.mean_run_ms = mean_run_ms

    @property
    def delay_ms(self) -> float:
        """Expected time until a new call starts there."""
        queued = max(0, self.load + 1 - self.limit)
        return queued * self.mean_run_ms / max(1, self.limit)


class Choice(Protocol):
    """What a choosing policy must do."""

    def rank(
        self,
        candidates: Sequence[Candidate],
        count: int,
    ) -> list[Candidate]:
        """Choose up to a number of agents, the best first."""


class ChoiceFactory(Protocol):
    """How a choice is made."""

    def __call__(self, *, seed: int) -> Choice:
        """Make a choice with its own random numbers."""


choices: Final[Registry[ChoiceFactory]] = Registry(kind='choice')


@final
@choices.register('round_robin')
class RoundRobin:
    """Baseline: each agent in turn, one offer."""

    __slots__ = ('_turn',)

    def __init__(self, *, seed: int) -> None:
        """Start somewhere.

        :param seed: where to start.
        """
        self._turn = seed

    def rank(
        self,
        candidates: Sequence[Candidate],
        count: int,
    ) -> list[Candidate]:
        """Choose the next agent.

        :param candidates: the usable agents.
        :param count: not heeded, one is chosen.
        :returns: one agent, or none.
        """
        if not candidates:
            return []
        self._turn += 1
        return [candidates[self._turn % len(candidates)]]


@final
@choices.register('least_reported_load')
class LeastReportedLoad:
    """Baseline: the agent that reported the least load, however long ago."""

    __slots__ = ('_random',)

    def __init__(self, *, seed: int) -> None:
        """Prepare to break ties.

        :param seed: seed of the random numbers.
        """
        self._random = random.Random(seed)  # noqa: S311

    def rank(
        self,
        candidates: Sequence[Candidate],
        count: int,
    ) -> list[Candidate]:
        """Choose the least loaded agent by report.

        :param candidates: the usable agents.
        :param count: not heeded, one is chosen.
        :returns: one agent, or none.
        """
        ranked = sorted(
            candidates,
            key=lambda agent: (
                agent.reported / max(1, agent.limit),
                self._random.random(),
            ),
        )
        return ranked[:1]


@final
@choices.register('expected_delay')
class ExpectedDelay:
    """The least expected start delay among a random sample.

    Reports lag, so each candidate's load is its report plus what this router
    has sent since. Two samples for each offer keep many routers that see the
    same reports from all choosing the same agent.
    """

    __slots__ = ('_random',)

    def __init__(self, *, seed: int) -> None:
        """Prepare to sample.

        :param seed: seed of the random numbers.
        """
        self._random = random.Random(seed)  # noqa: S311

    def rank(
        self,
        candidates: Sequence[Candidate],
        count: int,
    ) -> list[Candidate]:
        """Choose agents by expected delay.

        :param candidates: the usable agents.
        :param count: how many to choose.
        :returns: the agents, the best first.
        """
        samples = min(len(candidates), _SAMPLES_PER_OFFER * count + 1)
        sample = self._random.sample(candidates, samples)
        sample.extend(
            agent
            for agent in candidates
            if agent.gain_ms and agent not in sample
        )
        sample.sort(key=_cost)
        return sample[:count]


def _cost(agent: Candidate) -> tuple[float, float]:
    # A call should end early, so a slow agent must be that much emptier.
    away_ms = 0 if agent.same_zone else _ZONE_MS
    ends_ms = agent.delay_ms + agent.mean_run_ms + away_ms - agent.gain_ms
    return ends_ms, agent.load / max(1, agent.limit)
