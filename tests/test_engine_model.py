"""The stand-in's model of an engine."""

from __future__ import annotations

from standins.engine_model import EngineModel


def test_kept_parts_are_not_read_again():
    model = EngineModel(tokens_per_ms=1000)
    seen: set[str] = set()
    model.read('aa:200,bb:100', seen)
    model.read('aa:200,cc:50', seen)
    assert model.read_tokens == 350
    assert model.read_again_tokens == 0
    assert seen == {'aa'}


def test_part_that_another_engine_has_read_is_read_again():
    seen = {'aa'}
    model = EngineModel(tokens_per_ms=1000)
    model.read('aa:200,bb:100', seen)
    assert model.read_again_tokens == 200


def test_parts_unused_the_longest_give_way():
    model = EngineModel(tokens_per_ms=1000, memory_tokens=250)
    for part in ('aa', 'bb', 'aa'):
        model.read(f'{part}:200,x:1', set())
    assert model.read_tokens == 603


def test_part_counts_only_with_all_before_it():
    model = EngineModel(tokens_per_ms=1000)
    model.read('aa:200,bb:100,x:1', set())
    model.read('cc:10,bb:100,x:1', set())
    assert model.read_tokens == 301 + 111


def test_events_come_slower_in_a_full_batch():
    model = EngineModel()
    alone_ms = model.event_ms()
    model.streams = 10
    assert model.event_ms() > alone_ms
