"""Tests of stored endpoint signals with updates in any order."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.model.answer_signals import AnswerSignals
from wingfall.gateway.model.endpoint_limit import EndpointLimit, choose_newer
from wingfall.gateway.model.signal_change import SignalChange

ENDPOINT = 'engine-1'


@pytest.fixture
def clock() -> ManualClock:
    """Return a manual clock set to one second."""
    return ManualClock(start_ms=1000)


@pytest.fixture
def signals(clock: ManualClock) -> EndpointSignals:
    """Return an empty store of endpoint signals."""
    return EndpointSignals(name='g1', clock=clock)


def make_limit(
    rate: float | None, sent_ms: int, received_ms: int
) -> EndpointLimit:
    """Return a limit received from an answer."""
    return EndpointLimit(
        rate=rate,
        sent_ms=sent_ms,
        received_ms=received_ms,
        changed_ms=received_ms,
        reported_by='g2',
    )


def test_limit_holds_until_a_later_answer_names_none(
    signals: EndpointSignals, clock: ManualClock
):
    named = signals.note_answer(ENDPOINT, AnswerSignals(rate=2), 900)
    assert named == [SignalChange.limit_named]
    assert not signals.note_answer(ENDPOINT, AnswerSignals(rate=2), 950)
    clock.advance(10)
    ended = signals.note_answer(ENDPOINT, AnswerSignals(), 1005)
    assert ended == [SignalChange.limit_ended]
    assert signals.limits[ENDPOINT].rate is None


def test_overtaken_answer_does_not_end_a_limit(
    signals: EndpointSignals, clock: ManualClock
):
    signals.note_answer(ENDPOINT, AnswerSignals(rate=2), 900)
    clock.advance(10)
    # The request was sent before the limit arrived, its answer came after.
    assert not signals.note_answer(ENDPOINT, AnswerSignals(), 990)
    assert signals.limits[ENDPOINT].rate == 2


def test_lower_limit_holds_if_order_of_answers_is_unknown():
    for first, second in (
        (make_limit(5, 0, 10), make_limit(1, 5, 15)),
        (make_limit(1, 0, 10), make_limit(5, 5, 15)),
        (make_limit(1, 5, 15), make_limit(None, 0, 20)),
    ):
        assert choose_newer(first, second).rate == 1
        assert choose_newer(second, first).rate == 1


def test_limit_of_the_later_answer_holds():
    before, after = make_limit(1, 0, 10), make_limit(5, 11, 20)
    assert choose_newer(before, after) is after
    assert choose_newer(after, before) is after


def test_unreadable_signals_do_not_change_a_limit(signals: EndpointSignals):
    signals.note_answer(ENDPOINT, AnswerSignals(rate=2), 900)
    unreadable = AnswerSignals(faults=('server-limit: many',))
    changes = signals.note_answer(ENDPOINT, unreadable, 1100)
    assert changes == [SignalChange.unreadable]
    assert signals.limits[ENDPOINT].rate == 2


def test_gateways_with_equal_signals_have_equal_digests(clock: ManualClock):
    one = EndpointSignals(name='g1', clock=clock)
    other = EndpointSignals(name='g2', clock=clock)
    one.note_answer(ENDPOINT, AnswerSignals(rate=2, leaving=True), 900)
    assert one.recent_digest != other.recent_digest
    assert one.take_unreported() == {ENDPOINT}
    other.merge_limit(ENDPOINT, one.limits[ENDPOINT])
    other.merge_leaving(ENDPOINT, one.leaving[ENDPOINT])
    assert one.recent_digest == other.recent_digest
    assert not other.take_unreported()


def test_listed_endpoint_keeps_its_signals(
    signals: EndpointSignals, clock: ManualClock
):
    for name in (ENDPOINT, 'gone'):
        signals.note_answer(name, AnswerSignals(rate=2, leaving=True), 900)
    clock.advance(61_000)
    signals.remove_expired({ENDPOINT})
    assert set(signals.limits) == {ENDPOINT}
    assert set(signals.leaving) == {ENDPOINT}


def test_longest_requested_rest_holds(
    signals: EndpointSignals, clock: ManualClock
):
    asked = signals.note_answer(ENDPOINT, AnswerSignals(rest_ms=3000), 900)
    assert asked == [SignalChange.rest]
    assert not signals.note_answer(ENDPOINT, AnswerSignals(rest_ms=1000), 900)
    clock.advance(2000)
    # A successful answer does not end the rest.
    signals.note_answer(ENDPOINT, AnswerSignals(), 2900)
    clock.advance(999)
    assert signals.rests.is_resting(ENDPOINT)
    clock.advance(1)
    assert not signals.rests.is_resting(ENDPOINT)


def test_number_of_stored_signals_is_bounded(
    signals: EndpointSignals, clock: ManualClock
):
    answer = AnswerSignals(rate=2, leaving=True, rest_ms=5000)
    for number in range(20_000):
        signals.note_answer(f'endpoint-{number}', answer, 900)
    assert len(signals.limits) <= 16_384
    assert len(signals.leaving) <= 16_384
    assert len(signals.rests.until_ms) <= 16_384
