"""Splitting of event streams, wherever a read ends."""

from __future__ import annotations

import itertools
import time
import tracemalloc

import pytest

from wingfall.gateway.endpoints.answer_buffer import AnswerMemory
from wingfall.gateway.endpoints.endpoint_connection import EndlessAnswerError
from wingfall.gateway.endpoints.event_stream import (
    EventSplitter,
    list_event_ids,
)

EVENTS = (b'id: 1\ndata: x', b'id: 2\ndata: y')
# The bounds that the pages state, for an event, for what is between two, and
# for all long events together.
MAX_EVENT_BYTES = 8_388_608
MAX_EVENTLESS_BYTES = 65_536
MAX_TOTAL_BYTES = 25_165_824
MAX_PIECES = 65_536
# A piece may cost so many times more when a hundred times as much is buffered.
MAX_GROWTH = 4


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


def feed_without_end(splitter: EventSplitter, piece: bytes) -> int:
    """Feed a piece again and again and return the bytes that were taken."""
    for number in itertools.count():
        try:
            splitter.feed(piece)
        except EndlessAnswerError:
            return number * len(piece)
    raise AssertionError


@pytest.mark.parametrize('has_begun', [False, True])
@pytest.mark.parametrize(
    'piece',
    [
        b'y: x\n' * 200,
        b'\n' * 1000,
        b': none\n\n' * 100,
        b'retry: 1\n\n' * 100,
        b'\r' * 1000,
    ],
)
def test_stream_without_an_event_is_given_up_at_its_bound(
    piece: bytes, *, has_begun: bool
):
    splitter = EventSplitter()
    if has_begun:
        splitter.feed(b'id: 1\ndata: x\n\n')
    taken = feed_without_end(splitter, piece)
    assert MAX_EVENTLESS_BYTES - 2000 < taken <= MAX_EVENTLESS_BYTES


@pytest.mark.parametrize('has_begun', [False, True])
@pytest.mark.parametrize('piece', [b'x' * 1000, b'x: y\n' * 200])
def test_event_without_end_is_given_up_at_its_bound(
    piece: bytes, *, has_begun: bool
):
    memory = AnswerMemory()
    splitter = EventSplitter(memory=memory)
    if has_begun:
        splitter.feed(b'id: 1\ndata: x\n\n')
    splitter.feed(b'id: 2\ndata: ')
    taken = feed_without_end(splitter, piece)
    assert MAX_EVENT_BYTES - 2000 < taken <= MAX_EVENT_BYTES
    assert memory.reserved_bytes <= MAX_EVENT_BYTES
    splitter.close()
    assert memory.reserved_bytes == 0


def test_event_without_end_in_short_pieces_is_given_up():
    splitter = EventSplitter()
    splitter.feed(b'data: ')
    assert MAX_PIECES / 2 < feed_without_end(splitter, b'x') <= MAX_PIECES


def test_events_without_end_share_a_bound():
    memory = AnswerMemory()
    taken = 0
    for _stream in range(20):
        splitter = EventSplitter(memory=memory)
        splitter.feed(b'data: ')
        taken += feed_without_end(splitter, b'x' * 4096)
    assert memory.reserved_bytes <= MAX_TOTAL_BYTES
    assert taken <= MAX_TOTAL_BYTES + 20 * (MAX_EVENTLESS_BYTES + 4096)


def test_pieces_of_few_bytes_do_not_cost_more_than_long_ones():
    taken = feed_without_end(EventSplitter(), b'x')
    assert taken <= MAX_EVENTLESS_BYTES / 64


def test_long_stream_with_events_is_not_given_up():
    splitter = EventSplitter()
    events = b''.join(
        splitter.feed(b': none\n\nid: %d\ndata: %b\n\n' % (number, b'x' * 900))
        for number in range(1000)
    )
    assert events.count(b'data: ') == 1000
    assert splitter.last_event_id == '999'


def test_event_at_its_bound_is_passed_on():
    splitter = EventSplitter()
    event = b'data: %b\n\n' % (b'x' * (MAX_EVENT_BYTES - 8))
    pieces = [event[at : at + 1000] for at in range(0, len(event), 1000)]
    assert b''.join(map(splitter.feed, pieces)) == event


def test_memory_of_a_long_event_is_free_after_its_release():
    memory = AnswerMemory()
    splitter = EventSplitter(memory=memory)
    event = b'id: 7\ndata: %b\n\n' % (b'x' * 500_000)
    for _round in range(100):
        assert splitter.feed(event[:400_000]) == b''
        assert splitter.feed(event[400_000:]) == event
        assert memory.reserved_bytes >= len(event) - MAX_EVENTLESS_BYTES
        splitter.release()
        assert memory.reserved_bytes == 0


def test_event_of_many_lines_takes_a_few_copies():
    # A list of its lines took twenty times its bytes.
    event = b'data: x\n%b\n' % (b'id:7\n' * 200_000)
    tracemalloc.start()
    try:
        splitter = EventSplitter()
        assert splitter.feed(event) == event
        assert list_event_ids(event) == ['7']
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert splitter.last_event_id == '7'
    assert peak_bytes < 5 * len(event)


def test_long_id_is_given_up():
    # An id is kept after its event and sent on.
    splitter = EventSplitter()
    splitter.feed(b'id: %b' % (b'x' * MAX_EVENTLESS_BYTES))
    with pytest.raises(EndlessAnswerError):
        splitter.feed(b'\ndata: x\n\n')


def test_last_id_of_an_event_counts():
    events = b'id: 1\ndata: x\n\n\ndata: z\n\nid: 2\ndata: y\nid:3\n\n'
    splitter = EventSplitter()
    assert splitter.feed(events) == events
    assert splitter.last_event_id == '3'
    assert list_event_ids(events) == ['1', '3']


@pytest.mark.parametrize('event', [b'data: z\n\n', b'id:\ndata: z\n\n'])
def test_event_without_an_id_leaves_no_place_to_go_on_from(event: bytes):
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: x\n\n')
    splitter.feed(event)
    assert splitter.last_event_id is None
    splitter.feed(b': none\n\n')
    splitter.feed(b'id: 3\ndata: y\n\n')
    assert splitter.last_event_id == '3'


def test_comments_before_the_first_event_come_with_it():
    # A stream that had begun with a comment alone could not begin elsewhere.
    splitter = EventSplitter()
    assert splitter.feed(b': none\n\nretry: 5\n\n') == b''
    assert not splitter.has_partial_event
    events = splitter.feed(b'data: x\n\n')
    assert events == b': none\n\nretry: 5\n\ndata: x\n\n'
    assert splitter.feed(b': none\n\n') == b': none\n\n'


def time_events(pieces: int) -> float:
    """Return the processor time of a piece of events with so many."""
    started_s = time.process_time()
    for _event in range(100):
        splitter = EventSplitter()
        for _piece in range(pieces):
            splitter.feed(b'x' * 64)
    return (time.process_time() - started_s) / pieces


def test_each_byte_of_an_event_is_searched_once():
    # Each piece was as costly as all bytes of the event before it.
    short_s = min(time_events(10) for _round in range(5))
    long_s = min(time_events(1000) for _round in range(5))
    assert long_s < short_s * MAX_GROWTH


@pytest.mark.parametrize('rest', [b'\n', b'\r\n', b': end\n'])
def test_rest_without_an_event_is_not_part_of_one(rest: bytes):
    # A sound stream may end with an empty line more, or with a comment.
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\n')
    splitter.feed(rest)
    assert not splitter.has_partial_event
