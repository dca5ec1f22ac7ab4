"""Time that a long event of a stream may take."""

from __future__ import annotations

import pytest

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)
from wingfall.gateway.endpoints.event_stream import EventSplitter
from wingfall.gateway.endpoints.event_time import EventTime

# From this size on an event is long.
LONG_BYTES = 65_537
END_MS = 3000


@pytest.fixture
def splitter() -> EventSplitter:
    """Return a splitter inside a long event."""
    splitter = EventSplitter()
    splitter.feed(b'data: %b' % (b'x' * LONG_BYTES))
    return splitter


def test_event_that_gets_long_late_has_half_of_what_is_left(
    splitter: EventSplitter,
):
    event_time = EventTime(splitter=splitter)
    for now_ms in (2000, 2001, 2500):
        event_time.check(now_ms, END_MS)
    with pytest.raises(EndlessAnswerError) as raised:
        event_time.check(2501, END_MS)
    assert raised.value.part is AnswerPart.stream
    assert raised.value.received_bytes > LONG_BYTES


def test_time_of_each_event_is_bounded_by_itself(splitter: EventSplitter):
    event_time = EventTime(splitter=splitter)
    event_time.check(0, END_MS)
    splitter.feed(b'\n\n')
    event_time.check(1400, END_MS)
    splitter.feed(b'data: %b' % (b'x' * LONG_BYTES))
    for now_ms in (1500, 2250):
        event_time.check(now_ms, END_MS)
    with pytest.raises(EndlessAnswerError):
        event_time.check(2251, END_MS)


def test_short_event_has_all_of_the_time():
    splitter = EventSplitter()
    splitter.feed(b'data: x')
    event_time = EventTime(splitter=splitter)
    for now_ms in (0, 1500, END_MS - 1):
        event_time.check(now_ms, END_MS)
