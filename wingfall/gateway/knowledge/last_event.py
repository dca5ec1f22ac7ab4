"""When the last event of a prompt's answer comes.

Answers prompts whose callers need the whole answer: a first event in time tells
little of them where long reads of others hold up the events that follow.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.engine_speed import EngineSpeed


def last_event_ms(
    *,
    first_ms: float,
    output_tokens: int,
    event_tokens: int,
    reading_tokens: int,
    speed: EngineSpeed,
) -> float:
    """Estimate when the last event of an answer comes.

    While the engine reads other prompts its events come as far apart as they
    have been seen to beside long reads, and then as they do without. What runs
    there besides is part of both gaps, as they were learned beside it.

    :param first_ms: milliseconds to the first event.
    :param output_tokens: tokens of the answer.
    :param event_tokens: tokens in an event of the pool's streams, at least 1.
    :param reading_tokens: what is to be read there after the first event.
    :param speed: how fast the engine reads and how long its gaps are.
    :returns: milliseconds to the last event.
    """
    gaps = max(0, math.ceil(output_tokens / event_tokens) - 1)
    idle_ms = speed.idle_gap_ms
    full_ms = max(idle_ms, speed.full_gap_ms or 0)
    held_up = min(gaps, speed.read_ms(reading_tokens) / full_ms)
    return first_ms + held_up * full_ms + (gaps - held_up) * idle_ms
