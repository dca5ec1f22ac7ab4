"""The model of the prompt parts that an engine caches."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wingfall.gateway.knowledge.prefix_cache import PartIndex, PrefixCache
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
from wingfall.gateway.model.prompt import Prompt, PromptPart


def parts(*names: str, tokens: int = 100) -> list[PromptPart]:
    """Return parts of equal length."""
    return [PromptPart(part_id=name, tokens=tokens) for name in names]


def test_only_leading_cached_parts_count():
    cache = PrefixCache()
    cache.note(parts('a', 'b'))
    assert cache.cached_tokens(parts('a', 'b', 'c')) == 200
    assert cache.cached_tokens(parts('x', 'b')) == 0


def test_least_recently_used_part_is_evicted():
    cache = PrefixCache(capacity=250)
    cache.note(parts('a'))
    cache.note(parts('b'))
    cache.note(parts('a'))
    cache.note(parts('c'))
    assert cache.cached_tokens(parts('a')) == 100
    assert cache.cached_tokens(parts('b')) == 0
    assert cache.tokens == 200


def test_recent_parts_end_with_the_latest():
    cache = PrefixCache()
    cache.note(parts('a', 'b', 'c'))
    assert cache.recent_parts(2) == [('b', 100), ('c', 100)]


def test_part_is_pending_until_its_prefill_is_confirmed():
    cache = PrefixCache()
    cache.note(parts('a'))
    cache.note(parts('a', 'b'), ready_ms=500)
    pending = cache.pending_prefill(parts('a', 'b', 'c'), now_ms=300)
    assert (pending.tokens, pending.ready_in_ms) == (100, 200)
    cache.confirm_prefill(parts('a', 'b'))
    assert cache.pending_prefill(parts('a', 'b'), now_ms=300).tokens == 0
    assert cache.cached_tokens(parts('a', 'b')) == 200


def test_part_of_a_failed_prompt_is_not_cached():
    cache = PrefixCache()
    cache.note(parts('a'))
    cache.note(parts('a', 'b'), ready_ms=500)
    cache.drop_unconfirmed(parts('a', 'b'))
    assert cache.cached_tokens(parts('a', 'b')) == 100
    assert cache.tokens == 100


def test_evicted_part_is_not_pending():
    cache = PrefixCache(capacity=150)
    cache.note(parts('a'), ready_ms=500)
    cache.note(parts('b'))
    assert cache.pending_prefill(parts('a'), now_ms=0).tokens == 0


PART_NAMES = st.lists(st.sampled_from('abcdefgh'), max_size=4)
CACHE_STEPS = st.lists(
    st.tuples(st.sampled_from(['note', 'unread', 'clear']), PART_NAMES),
    max_size=30,
)


@given(steps=CACHE_STEPS)
def test_index_returns_the_engines_that_cache_a_part(
    steps: list[tuple[str, list[str]]],
):
    index = PartIndex()
    caches = {
        engine: PrefixCache(engine=engine, index=index, capacity=350)
        for engine in ('one', 'two')
    }
    for number, (step, names) in enumerate(steps):
        cache = caches['one' if number % 2 else 'two']
        if step == 'note':
            cache.note(parts(*names), ready_ms=number % 3)
        elif step == 'unread':
            cache.drop_unconfirmed(parts(*names))
        else:
            cache.clear()
    for part in parts(*'abcdefgh'):
        caching = {
            engine
            for engine, cache in caches.items()
            if cache.cached_tokens([part])
        }
        assert index.engines(part.part_id) == caching


def test_engines_with_the_longest_cached_prefix_are_returned():
    caches = PrefixCaches()
    for number in range(9):
        caches.find(f'i-{number}').note(parts('common'))
    caches.find('i-4').note(parts('common', 'session'))
    prompt = Prompt(parts=tuple(parts('common', 'session', 'own')))
    assert caches.engines_with(prompt) == {'i-4'}
    other = Prompt(parts=tuple(parts('common', 'unseen', 'own')))
    assert len(caches.engines_with(other)) == 9
    assert not caches.engines_with(Prompt(parts=tuple(parts('own'))))
