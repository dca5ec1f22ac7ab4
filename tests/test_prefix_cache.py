"""The model of an engine's memory of prompts."""

from __future__ import annotations

from wingfall.decision.prefix_cache import PrefixCache
from wingfall.gateway.call import PromptPart


def parts(*names: str, tokens: int = 100) -> list[PromptPart]:
    """Make parts of equal length."""
    return [PromptPart(part_id=name, tokens=tokens) for name in names]


def test_leading_parts_count():
    cache = PrefixCache()
    cache.note(parts('a', 'b'))
    assert cache.cached_tokens(parts('a', 'b', 'c')) == 200
    assert cache.cached_tokens(parts('x', 'b')) == 0


def test_least_used_gives_way():
    cache = PrefixCache(capacity=250)
    cache.note(parts('a'))
    cache.note(parts('b'))
    cache.note(parts('a'))
    cache.note(parts('c'))
    assert cache.cached_tokens(parts('a')) == 100
    assert cache.cached_tokens(parts('b')) == 0
    assert cache.tokens == 200


def test_recent_parts_come_latest_last():
    cache = PrefixCache()
    cache.note(parts('a', 'b', 'c'))
    assert cache.recent(2) == [('b', 100), ('c', 100)]
