"""Loads, prompts and outcomes as they stand in messages between gateways.

Translates between the tables of :mod:`wingfall.gateway.knowledge` and the
lists on the wire, whose order is fixed.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Final, TypeAlias, final

from wingfall.gateway.knowledge.endpoint_health import Outcomes
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.peers.caches.parts_transfer import read_parts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.knowledge.prefix_caches import SentPrompt

Work: TypeAlias = tuple[int, ...]


@final
class Activity:
    """What has happened since it was last told, as it is on the wire."""

    __slots__ = ('gaps', 'outcomes', 'readings', 'sent', 'work')

    def __init__(
        self,
        *,
        sent: list[list[Any]] | None = None,
        outcomes: list[list[Any]] | None = None,
        readings: list[list[Any]] | None = None,
        work: list[list[Any]] | None = None,
        gaps: list[list[Any]] | None = None,
    ) -> None:
        """Keep activity.

        :param sent: prompts that were sent, as in a heartbeat.
        :param outcomes: how requests ended, as in a heartbeat.
        :param readings: how fast engines read, as in a heartbeat.
        :param work: work of customers, as in a heartbeat.
        :param gaps: gaps of streams beside reads, as in a heartbeat.
        """
        self.sent = sent or []
        self.outcomes = outcomes or []
        self.readings = readings or []
        self.work = work or []
        self.gaps = gaps or []

    @property
    def empty(self) -> bool:
        """Whether nothing has happened."""
        told = (self.sent, self.outcomes, self.readings, self.work, self.gaps)
        return not any(told)

    def add(self, other: Activity) -> None:
        """Add further activity.

        :param other: the activity.
        """
        self.sent.extend(other.sent)
        self.outcomes.extend(other.outcomes)
        self.readings.extend(other.readings)
        self.work.extend(other.work)
        self.gaps.extend(other.gaps)


def write_work(load: EndpointLoad) -> Work:
    """Write the work at an endpoint.

    :param load: the work.
    :returns: running, reading tokens, memory, then for each longest gap
        that streams bear its milliseconds and how many they are.
    """
    return (
        load.running,
        load.reading_tokens,
        load.memory_used,
        *itertools.chain.from_iterable(sorted(load.streams.items())),
    )


IDLE: Final = write_work(EndpointLoad())


def write_loads(loads: dict[str, EndpointLoad]) -> list[list[Any]]:
    """Write work by endpoint.

    :param loads: the work.
    :returns: an entry for each endpoint, its name first.
    """
    return [[name, *write_work(load)] for name, load in loads.items()]


def write_sent(sent: SentPrompt) -> list[Any]:
    """Write a prompt that was sent.

    :param sent: the prompt and where it went.
    :returns: the endpoint, tokens to read there, then id and tokens of the
        shared parts.
    """
    parts = [[part.part_id, part.tokens] for part in sent.parts]
    return [sent.endpoint, sent.unread, *parts]


def write_outcomes(outcomes: dict[str, Outcomes]) -> list[list[Any]]:
    """Write how requests ended.

    :param outcomes: counts by endpoint.
    :returns: for each endpoint its name, how many failed, how many not.
    """
    return [[name, each.failed, each.served] for name, each in outcomes.items()]


def read_loads(raw: Iterable[list[Any]]) -> list[tuple[str, EndpointLoad]]:
    """Read work by endpoint.

    :param raw: the entries of a message.
    :returns: names of endpoints and their work.
    """
    return [_read_load(*entry) for entry in raw]


def note_activity(activity: Activity, knowledge: EndpointKnowledge) -> None:
    """Note what has happened at other gateways.

    :param activity: the activity, as on the wire.
    :param knowledge: where it is noted.
    """
    _note_outcomes(activity, knowledge)
    _note_sent(activity, knowledge)
    for engine, *rates in activity.readings:
        knowledge.take_readings(engine, rates)
    for name, *gaps_ms in activity.gaps:
        knowledge.take_gaps(name, gaps_ms)
    # Fields that later versions add at the end are passed over.
    for pool, customer, asked, given, *_later in activity.work:
        if asked >= 0 and given >= 0:
            knowledge.customer_work.take_from_peer(pool, customer, asked, given)


def only_seen(readings: Iterable[list[Any]]) -> list[list[Any]]:
    """Leave out what gateways only believe of engines.

    :param readings: how fast engines read, as in a heartbeat.
    :returns: the readings among them.
    """
    return [entry for entry in readings if all(rate >= 0 for rate in entry[1:])]


def _note_outcomes(activity: Activity, knowledge: EndpointKnowledge) -> None:
    for name, failed, served in activity.outcomes:
        outcomes = Outcomes(failed=failed, served=served)
        knowledge.health.take_from_peer(name, outcomes)


def _note_sent(activity: Activity, knowledge: EndpointKnowledge) -> None:
    for endpoint, unread, *parts in activity.sent:
        knowledge.note_prompt_sent(endpoint, unread)
        # The peer sees the first event, but doesn't tell: an estimate.
        ready_ms = knowledge.ready_ms(endpoint) if unread else 0
        knowledge.caches.find(endpoint).note(read_parts(parts), ready_ms)


def _read_load(
    name: str,
    running: int,
    reading_tokens: int,
    memory_used: int,
    *streams: int,
) -> tuple[str, EndpointLoad]:
    gaps, counts = streams[::2], streams[1::2]
    load = EndpointLoad(
        running=running,
        reading_tokens=reading_tokens,
        memory_used=memory_used,
        streams=dict(zip(gaps, counts, strict=True)),
    )
    return name, load
