"""Whether an engine takes what another one keeps."""

from __future__ import annotations

from wingfall.gateway.rules.placement.cache_transfer import (
    cache_transfers,
    copied_tokens,
    copy_from_most_kept,
    copy_nothing,
)
from wingfall.gateway.rules.placement.candidate import Candidate

FAST = 30.0


def keeping(name: str, tokens: int, **known: float) -> Candidate:
    """Make an engine that keeps some of a prompt."""
    return Candidate(name=name, slots=8, cached_tokens=tokens, **known)


def test_engine_that_keeps_most_is_copied_from():
    less, most = keeping('less', 2000), keeping('most', 5000)
    assert copy_from_most_kept([less, most], FAST) is most
    assert copied_tokens(less, most) == 3000
    assert copied_tokens(most, most) == 0


def test_idler_one_of_equals_is_copied_from():
    busy, idle = keeping('busy', 5000, running=4), keeping('idle', 5000)
    assert copy_from_most_kept([busy, idle], FAST) is idle


def test_slow_link_is_not_used():
    assert copy_from_most_kept([keeping('one', 5000)], 2) is None


def test_little_is_read_rather_than_copied():
    assert copy_from_most_kept([keeping('one', 300)], FAST) is None
    assert copied_tokens(keeping('two', 4800), keeping('one', 5000)) == 0


def test_engine_that_fails_is_not_copied_from():
    failing, sound = keeping('failing', 5000, failing=0.5), keeping('ok', 2000)
    assert copy_from_most_kept([failing, sound], FAST) is sound
    assert copy_from_most_kept([failing], FAST) is None


def test_baseline_copies_nothing():
    assert copy_nothing([keeping('one', 5000)], FAST) is None
    assert cache_transfers.names == ['most_kept', 'none']
    assert copied_tokens(keeping('one', 0), None) == 0
