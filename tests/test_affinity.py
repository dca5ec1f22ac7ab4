"""Prompt prefixes: hashes, history, and their weight in a choice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wingfall.decision.affinity import (
    BLOCK_CHARS,
    MAX_BLOCKS,
    PrefixHistory,
    hash_prefixes,
    prompt_text,
)
from wingfall.decision.choice import Candidate, choices


@given(st.text(max_size=2000), st.text(max_size=600), st.text(max_size=600))
def test_equal_beginnings_have_equal_hashes(shared, first, second):
    blocks = len(shared) // BLOCK_CHARS
    hashes = [hash_prefixes(shared + tail) for tail in (first, second)]
    assert hashes[0][:blocks] == hashes[1][:blocks]


def test_prompt_is_bounded_and_odd_bodies_are_passed_over():
    assert not prompt_text({})
    assert not prompt_text({'messages': 'text', 'prompt': 7})
    assert not prompt_text({'messages': [1, {'content': [2]}]})
    long = {'messages': [{'role': 'user', 'content': 'x' * 100_000}]}
    assert len(hash_prefixes(prompt_text(long))) == MAX_BLOCKS


def test_history_tells_who_had_most():
    history = PrefixHistory()
    long = hash_prefixes('a' * BLOCK_CHARS * 4)
    history.note(long[:2], 'short')
    history.note(long[2:], 'long')
    assert history.cached_parts(long) == {'short': 0.5, 'long': 1}
    assert not history.cached_parts(hash_prefixes('b' * BLOCK_CHARS))


def test_history_forgets_the_least_recent():
    history = PrefixHistory(max_entries=2)
    for name in ('a', 'b', 'c'):
        history.note([name.encode()], name)
    assert not history.cached_parts([b'a'])
    assert history.cached_parts([b'c'])


def _candidate(name, reported=0, gain_ms=0):
    return Candidate(
        name=name,
        same_zone=True,
        limit=4,
        reported=reported,
        sent_since=0,
        mean_run_ms=1000,
        gain_ms=gain_ms,
    )


def test_cached_prompt_breaks_the_tie_but_not_a_queue():
    choice = choices.find('expected_delay').unwrap()(seed=1)
    agents = [_candidate(str(number)) for number in range(30)]
    cached = _candidate('cached', 2, gain_ms=50)
    assert choice.rank([*agents, cached], 1) == [cached]
    full = _candidate('full', 5, gain_ms=50)
    assert choice.rank([*agents, full], 1) != [full]
