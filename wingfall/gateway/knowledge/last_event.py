"""Estimate of the time of the last event of an answer.

Serves prompts whose callers need the whole answer: the time of the first event
says little if long prefills of other prompts delay the events that follow.
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
    prefill_tokens: int,
    speed: EngineSpeed,
) -> float:
    """Estimate the time of the last event of an answer.

    While the engine prefills other prompts, events are separated by the token
    gap at full load, and afterwards by the idle gap. Both gaps include the load
    of other running streams, since they are measured under it.

    :param first_ms: milliseconds to the first event.
    :param output_tokens: tokens of the answer.
    :param event_tokens: tokens in an event of the pool's streams, at least 1.
    :param prefill_tokens: pending prefill tokens of the engine after the first
        event.
    :param speed: prefill rate and token gaps of the engine.
    :returns: milliseconds to the last event.
    """
    gaps = max(0, math.ceil(output_tokens / event_tokens) - 1)
    idle_ms = speed.idle_gap_ms
    full_ms = max(idle_ms, speed.full_gap_ms or 0)
    delayed_gaps = min(gaps, speed.prefill_ms(prefill_tokens) / full_ms)
    return first_ms + delayed_gaps * full_ms + (gaps - delayed_gaps) * idle_ms
