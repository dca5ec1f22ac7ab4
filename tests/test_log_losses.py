"""Why calls were not in time, out of logs."""

from __future__ import annotations

import pathlib
from typing import Any

import orjson
import pytest

from wingfall.cmd.losses import run
from wingfall.log_losses import CallStory, explain, find_losses
from wingfall.log_trace import LogLine, read_lines

ATTEMPT = 'dispatch: An attempt ended.'
ANSWER = 'answer: A call ended.'
WAIT = 'dispatch: A prompt waited for a shared part.'


def line(message: str, **fields: Any) -> LogLine:
    """Make a line of one call."""
    known = {'time': 10.0, 'process': 'g1', 'call': 'c1', **fields}
    return LogLine(fields={**known, 'message': message})


def attempt(**fields: Any) -> LogLine:
    """Make the line of an attempt."""
    return line(ATTEMPT, **{'route': 'notes', 'end': 'answered', **fields})


def answer(**fields: Any) -> LogLine:
    """Make the line of an answer that was in time."""
    known = {
        'route': 'notes',
        'status': 200,
        'whole': True,
        'first_ms': 100,
        'target_ms': 600,
        'gap_ms': 150,
        'gap_target_ms': 200,
    }
    return line(ANSWER, **{**known, **fields})


def reason(*lines: LogLine, **stops: float) -> str:
    """Explain a call by its lines."""
    story = CallStory()
    for each in lines:
        story.take(each)
    return explain(story, stops)


@pytest.mark.parametrize(
    ('lines', 'expected'),
    [
        ([attempt(), answer()], 'in time'),
        (
            [attempt(reading=9000), answer(first_ms=700)],
            'late start: reads were ahead of it',
        ),
        (
            [attempt(reading=0), answer(first_ms=700)],
            'late start: nothing was ahead of it',
        ),
        (
            [line(WAIT, waited_ms=300), attempt(), answer(first_ms=700)],
            'late start: waited for a shared part',
        ),
        (
            [attempt(end='late'), attempt(), answer(first_ms=700)],
            'late start: late attempts before',
        ),
        (
            [attempt(gap_reading=9000), answer(gap_ms=250)],
            'pause: beside reads',
        ),
        (
            [attempt(gap_reading=0), answer(gap_ms=250)],
            'pause: no read is known',
        ),
        (
            [attempt(end='cut'), attempt(), answer(gap_ms=250)],
            'pause: resumed at another engine',
        ),
        (
            [attempt(reason='the caller left'), answer(whole=False)],
            'cut: the caller left',
        ),
        (
            [attempt(reason='no bytes in time'), answer(whole=False)],
            'cut: the engine fell silent',
        ),
        (
            [attempt(reason='reset'), answer(whole=False)],
            'cut: the engine broke the stream off',
        ),
        (
            [attempt(endpoint='a'), attempt(endpoint='b'), answer(status=500)],
            'failed: status 500 of 2 endpoints',
        ),
        (
            [line('refusal: A call was refused.', code='too_late')],
            'refused: too_late',
        ),
        (
            [
                attempt(end='lost'),
                line('refusal: A call was refused.', code='answer_lost'),
            ],
            'refused: answer_lost after 1 attempts, lost',
        ),
    ],
)
def test_each_fate_has_its_reason(lines: list[LogLine], expected: str):
    assert reason(*lines) == expected


def test_stream_cut_after_a_stop_was_ours():
    cut = [attempt(reason='reset'), answer(whole=False)]
    assert reason(*cut, g1=9.0) == 'cut: the gateway was stopping'
    assert reason(*cut, g2=9.0) == 'cut: the engine broke the stream off'


def test_calls_are_grouped_by_route_and_reason():
    lines = [
        line('gateway: Started.', time=4.0, call=None),
        answer(call='a'),
        answer(call='b', first_ms=900, time=12.0),
        answer(call='c', first_ms=900, time=12.5),
        attempt(call='unfinished'),
    ]
    late, in_time = find_losses(lines)
    assert late.calls == ['b', 'c']
    assert late.busiest == '8:2'
    assert in_time.calls == ['a']


def test_command_prints_a_table(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    log = tmp_path / 'a.log'
    text = orjson.dumps(answer(first_ms=900).fields).decode()
    log.write_text(f'host {text}\nno JSON\n', 'utf-8')
    assert run(str(log)) == 0
    printed = capsys.readouterr().out
    assert 'notes: 1 calls' in printed
    assert '1.000 late start: nothing was ahead of it (0:1, c1)' in printed


def test_logs_without_calls_and_missing_files_are_told(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    empty = tmp_path / 'empty.log'
    empty.write_text('', 'utf-8')
    assert run(str(empty)) == 1
    assert 'no call' in capsys.readouterr().err
    assert run('/nonexistent') == 2


def test_read_lines_feeds_it():
    raw = orjson.dumps(answer().fields).decode()
    (group,) = find_losses(read_lines([raw]))
    assert group.reason == 'in time'
