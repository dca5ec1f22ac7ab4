"""Choice of the endpoint that serves a request."""

from __future__ import annotations

import pytest

from wingfall.gateway.rules.placement.candidate import Candidate, Demand
from wingfall.gateway.rules.placement.endpoint_choice import (
    expected_late_streams,
    late_start_probability,
    place_by_cost,
    place_by_running_requests,
)


def prompt(
    *,
    tokens: int = 6000,
    shared: int = 5000,
    gap_ms: int = 1000,
    start_ms: int | None = None,
) -> Demand:
    """Create the demand of a prompt."""
    return Demand(
        is_prompt=True,
        tokens=tokens,
        shared_tokens=shared,
        output_tokens=100,
        start_target_ms=start_ms,
        gap_target_ms=gap_ms,
        body_bytes=tokens,
    )


def engine(name: str, **fields: object) -> Candidate:
    """Create an engine with free slots."""
    return Candidate(**{'name': name, 'slots': 64, **fields})


def choose(demand: Demand, *candidates: Candidate) -> str:
    """Return the name of the chosen endpoint."""
    return place_by_cost(demand, candidates).name


def test_prompt_goes_to_engine_that_caches_its_part():
    caching = engine('kept', cached_tokens=5000, running=5, prefill_tokens=3000)
    assert choose(prompt(), engine('idle'), caching) == 'kept'


def test_prompt_leaves_engine_with_long_queue():
    caching = engine('kept', cached_tokens=5000, prefill_tokens=90_000)
    assert choose(prompt(), engine('idle'), caching) == 'idle'


def test_prompt_leaves_busy_engine_sooner_if_its_part_can_be_copied():
    behind = engine('behind', cached_tokens=5000, prefill_tokens=28_000)
    assert choose(prompt(), engine('reads'), behind) == 'behind'
    copies = engine('copies', copied_tokens=5000)
    assert choose(prompt(), engine('reads'), behind, copies) == 'copies'


def test_prompt_prefers_cached_part_to_copied_part():
    caching = engine('kept', cached_tokens=5000, prefill_tokens=10_000)
    copies = engine('copies', copied_tokens=5000)
    assert choose(prompt(), copies, caching) == 'kept'


def test_stream_with_short_gaps_avoids_long_prefills():
    tight = prompt(tokens=300, shared=100, gap_ms=300)
    busy = engine('reads', long_reads=20_000)
    assert choose(tight, busy, engine('busy', running=12)) == 'busy'


def test_long_prefill_avoids_streams_with_short_gaps():
    long_prompt = prompt(tokens=20_000, shared=0)
    tight = engine('tight', streams={200: 4})
    assert choose(long_prompt, tight, engine('free', running=20)) == 'free'


def test_engine_without_free_memory_is_chosen_last():
    full = engine('full', memory_tokens=10_000, memory_used=9000)
    busy = engine('busy', running=20)
    assert choose(prompt(shared=0), full, busy) == 'busy'


def test_own_zone_is_preferred_between_equal_engines():
    assert (
        choose(prompt(), engine('far', remote=True), engine('near')) == 'near'
    )


def test_plain_request_goes_to_endpoint_with_fewest_running():
    demand = Demand()
    busy = Candidate(name='busy', slots=6, running=3)
    idle = Candidate(name='idle', slots=6, running=1, remote=True)
    assert choose(demand, busy, idle) == 'idle'


def test_plain_request_avoids_failing_endpoint():
    demand = Demand()
    faulty = Candidate(name='failing', slots=6, failure_rate=0.5)
    busy = Candidate(name='busy', slots=6, running=4)
    assert choose(demand, faulty, busy) == 'busy'


def test_baseline_counts_only_running_requests():
    candidates = [engine('a', running=2), engine('b', running=1)]
    assert place_by_running_requests(prompt(), candidates).name == 'b'


def test_short_prefill_may_join_streams_with_short_gaps():
    short_prompt = prompt(tokens=1000, shared=0)
    tight = engine('tight', streams={200: 4})
    assert expected_late_streams(short_prompt, tight, 1000) == pytest.approx(0)
    assert choose(short_prompt, tight, engine('busy', running=20)) == 'tight'


def test_late_streams_grow_with_prefill_and_streams():
    demand = prompt()
    one = engine('one', streams={200: 1})
    four = engine('four', streams={200: 4})
    base = expected_late_streams(demand, one, 5000)
    assert expected_late_streams(demand, one, 9000) > base * 1.9
    assert expected_late_streams(demand, four, 5000) > base * 3.9


def test_streams_with_long_gaps_are_late_less_often():
    demand = prompt()
    tight = engine('tight', streams={200: 1})
    patient = engine('patient', streams={2000: 4})
    base = expected_late_streams(demand, tight, 5000)
    assert expected_late_streams(demand, patient, 5000) < base


def test_late_start_is_weighed_against_late_streams():
    long_prompt = prompt(tokens=8000, shared=0, start_ms=600)
    queued = engine('waits', prefill_tokens=20_000)
    assert late_start_probability(long_prompt, queued, 8000) == 1
    assert late_start_probability(prompt(), queued, 8000) == 0
    tight = engine('tight', streams={300: 1})
    assert choose(long_prompt, queued, tight) == 'tight'


def test_unreported_tokens_decide_between_equal_engines():
    assert (
        choose(prompt(), engine('a', unreported_tokens=10), engine('b')) == 'b'
    )
