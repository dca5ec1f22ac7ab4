"""Splitting of event streams, wherever a read ends."""

from __future__ import annotations

import itertools

import pytest

from wingfall.gateway.endpoints.event_stream import EventSplitter

EVENTS = (b'id: 1\ndata: x', b'id: 2\ndata: y')


def encode(line_end: bytes) -> bytes:
    """Encode two events with some line ends."""
    return b''.join(
        event.replace(b'\n', line_end) + line_end * 2 for event in EVENTS
    )


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_events_are_split_wherever_two_reads_end(line_end: bytes):
    encoded = encode(line_end)
    lengths = range(len(encoded) + 1)
    for first, second in itertools.combinations(lengths, 2):
        splitter = EventSplitter()
        pieces = (encoded[:first], encoded[first:second], encoded[second:])
        assert b''.join(map(splitter.feed, pieces)) == encode(b'\n')
        assert splitter.last_event_id == '2'
        assert not splitter.has_partial_event


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_event_is_passed_on_before_the_next_one(line_end: bytes):
    # A read that ends between CR and LF held the event back.
    splitter = EventSplitter()
    event = line_end.join((b'id: 1', b'data: x', b'', b''))
    passed_on = [splitter.feed(bytes((byte,))) for byte in event]
    assert b''.join(passed_on) == b'id: 1\ndata: x\n\n'


@pytest.mark.parametrize('end', [b'', b'\n', b'\r', b'\r\n'])
def test_event_without_its_empty_line_is_partial(end: bytes):
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\n\nid: 2%b' % end) == b'id: 1\n\n'
    assert splitter.has_partial_event
    assert splitter.last_event_id == '1'
