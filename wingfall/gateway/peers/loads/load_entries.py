"""Encoding of loads, prompts and outcomes in messages between gateways.

Translates between the tables of :mod:`wingfall.gateway.knowledge` and the
lists on the wire, whose order is fixed.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Final, TypeAlias, final

from wingfall.gateway.knowledge.endpoint_health import Outcomes
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.peers.caches.parts_transfer import decode_parts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.knowledge.prefix_caches import SentPrompt

EncodedLoad: TypeAlias = tuple[int, ...]


@final
class Activity:
    """Events since the last report to peers, as encoded in messages."""

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
        """Create activity from entries of a heartbeat.

        :param sent: prompts sent to endpoints.
        :param outcomes: request outcomes by endpoint.
        :param readings: prefill rates of engines.
        :param work: work of customers.
        :param gaps: token gaps of streams during prefills.
        """
        self.sent = sent or []
        self.outcomes = outcomes or []
        self.readings = readings or []
        self.work = work or []
        self.gaps = gaps or []

    @property
    def empty(self) -> bool:
        """Whether there are no entries."""
        entries = (
            self.sent,
            self.outcomes,
            self.readings,
            self.work,
            self.gaps,
        )
        return not any(entries)

    def add(self, other: Activity) -> None:
        """Append the entries of other activity.

        :param other: activity to append.
        """
        self.sent.extend(other.sent)
        self.outcomes.extend(other.outcomes)
        self.readings.extend(other.readings)
        self.work.extend(other.work)
        self.gaps.extend(other.gaps)


def encode_load(load: EndpointLoad) -> EncodedLoad:
    """Encode the load of an endpoint.

    :param load: the load.
    :returns: running requests, prefill tokens, used memory, then for each
        token gap bound its milliseconds and the number of streams.
    """
    return (
        load.running,
        load.prefill_tokens,
        load.memory_used,
        *itertools.chain.from_iterable(sorted(load.streams.items())),
    )


IDLE_LOAD: Final = encode_load(EndpointLoad())


def encode_loads(loads: dict[str, EndpointLoad]) -> list[list[Any]]:
    """Encode loads by endpoint.

    :param loads: load of each endpoint.
    :returns: an entry for each endpoint, starting with its name.
    """
    return [[name, *encode_load(load)] for name, load in loads.items()]


def encode_sent_prompt(sent: SentPrompt) -> list[Any]:
    """Encode a sent prompt.

    :param sent: the prompt and its endpoint.
    :returns: the endpoint, pending prefill tokens, then id and tokens of each
        shared part.
    """
    parts = [[part.part_id, part.tokens] for part in sent.parts]
    return [sent.endpoint, sent.uncached_tokens, *parts]


def encode_outcomes(outcomes: dict[str, Outcomes]) -> list[list[Any]]:
    """Encode request outcomes.

    :param outcomes: outcome counts by endpoint.
    :returns: name, failed and served requests of each endpoint.
    """
    return [[name, each.failed, each.served] for name, each in outcomes.items()]


def decode_loads(raw: Iterable[list[Any]]) -> list[tuple[str, EndpointLoad]]:
    """Decode loads by endpoint.

    :param raw: the entries of a message.
    :returns: name and load of each endpoint.
    """
    return [_decode_load(*entry) for entry in raw]


def note_activity(activity: Activity, knowledge: EndpointKnowledge) -> None:
    """Record the activity of other gateways.

    :param activity: entries of a message.
    :param knowledge: endpoint knowledge that is updated.
    """
    _record_outcomes(activity, knowledge)
    _record_sent_prompts(activity, knowledge)
    for engine, *rates in activity.readings:
        knowledge.merge_rate_samples(engine, rates)
    for name, *gaps_ms in activity.gaps:
        knowledge.merge_gap_samples(name, gaps_ms)
    # Ignores fields that later versions append.
    for pool, customer, asked, given, *_newer_fields in activity.work:
        if asked >= 0 and given >= 0:
            knowledge.customer_work.merge_from_peer(
                pool, customer, asked, given
            )


def without_estimates(readings: Iterable[list[Any]]) -> list[list[Any]]:
    """Return the entries with measured rates, without estimates.

    :param readings: prefill rates of engines, as in a heartbeat.
    :returns: the entries without estimates.
    """
    return [entry for entry in readings if all(rate >= 0 for rate in entry[1:])]


def _record_outcomes(activity: Activity, knowledge: EndpointKnowledge) -> None:
    for name, failed, served in activity.outcomes:
        outcomes = Outcomes(failed=failed, served=served)
        knowledge.health.merge_from_peer(name, outcomes)


def _record_sent_prompts(
    activity: Activity, knowledge: EndpointKnowledge
) -> None:
    for endpoint, unread, *parts in activity.sent:
        knowledge.note_prompt_sent(endpoint, unread)
        # An estimate: the peer sees the first event, but does not report it.
        ready_ms = knowledge.ready_ms(endpoint) if unread else 0
        knowledge.caches.find(endpoint).note(decode_parts(parts), ready_ms)


def _decode_load(
    name: str,
    running: int,
    prefill_tokens: int,
    memory_used: int,
    *streams: int,
) -> tuple[str, EndpointLoad]:
    gaps_ms, counts = streams[::2], streams[1::2]
    load = EndpointLoad(
        running=running,
        prefill_tokens=prefill_tokens,
        memory_used=memory_used,
        streams=dict(zip(gaps_ms, counts, strict=True)),
    )
    return name, load
