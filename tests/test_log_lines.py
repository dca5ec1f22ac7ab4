"""Lines of JSON that never hold up who writes them."""

from __future__ import annotations

import logging
import os

import gevent
import orjson

from wingfall.log_lines import JsonLineHandler


def record(message: str, **fields: object) -> logging.LogRecord:
    """Make a log record with fields."""
    made = logging.LogRecord('x', logging.INFO, '', 0, message, (), None)
    made.fields = fields
    return made


def test_line_has_the_message_and_the_fields():
    reader, writer = os.pipe()
    JsonLineHandler(descriptor=writer).emit(record('part: Done.', call='r1'))
    line = orjson.loads(os.read(reader, 4096))
    assert line['message'] == 'part: Done.'
    assert line['call'] == 'r1'


def test_pipe_that_is_not_read_holds_nothing_up():
    reader, writer = os.pipe()
    lines_out = JsonLineHandler(descriptor=writer)
    for number in range(5000):
        lines_out.emit(record('part: Done.', filler='x' * 100, n=number))
    assert lines_out.waiting == 2000
    assert lines_out.dropped
    received = os.read(reader, 1_000_000)
    lines_out.emit(record('part: Later.'))
    while lines_out.waiting:
        received += os.read(reader, 1_000_000)
        lines_out.flush()
    lines = [orjson.loads(line) for line in received.splitlines()]
    assert any(
        'n' in line and 'Lines were dropped' in line['message']
        for line in lines
    )


def test_long_line_is_cut():
    reader, writer = os.pipe()
    JsonLineHandler(descriptor=writer).emit(record('m', filler='x' * 9000))
    assert orjson.loads(os.read(reader, 10_000))['cut']


def test_numbers_may_be_keys():
    reader, writer = os.pipe()
    JsonLineHandler(descriptor=writer).emit(record('m', streams={200: 1}))
    assert orjson.loads(os.read(reader, 4096))['streams'] == {'200': 1}


def test_field_that_json_cannot_hold_raises_nothing():
    reader, writer = os.pipe()
    JsonLineHandler(descriptor=writer).emit(record('m', call='r1', n=2**70))
    line = orjson.loads(os.read(reader, 4096))
    assert line['message'] == 'm'
    assert 'r1' in line['fields']


def test_no_other_greenlet_runs_while_a_line_is_written():
    _reader, writer = os.pipe()
    lines_out = JsonLineHandler(descriptor=writer)
    ran = []
    other = gevent.spawn(ran.append, 1)
    for number in range(3000):
        lines_out.emit(record('part: Done.', filler='x' * 100, n=number))
    assert not ran
    other.join()
