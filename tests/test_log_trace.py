"""The story of one call out of several logs."""

from __future__ import annotations

import pathlib

import orjson
import pytest

from wingfall.cmd.trace import run
from wingfall.log_trace import read_lines, trace_call


def line(time: float, message: str, **fields: object) -> str:
    """Make a line as a collector stores it."""
    body = {'time': time, 'message': message, 'process': 'a', **fields}
    return f'host-1 {orjson.dumps(body).decode()}'


LINES = (
    line(1, 'config: In force.', version=7),
    line(2, 'config: In force.', version=8),
    line(80, 'config: In force.', version=9, process='b'),
    line(90, 'endpoints: An endpoint left the list.', endpoint='e1'),
    line(91, 'endpoints: An endpoint left the list.', endpoint='e2'),
    line(92, 'store: The store was lost.'),
    line(93, 'store: The store was lost.', process='b'),
    line(95, 'dispatch: An attempt ended.', call='c2', endpoint='e1'),
    line(95, 'refusal: A call was refused.', call='c1', status=503),
    line(94, 'dispatch: An attempt ended.', call='c1', endpoint='e1'),
    'no JSON at all',
    'half a line {"message": "x',
)


def test_story_has_the_call_and_what_was_believed():
    story = trace_call('c1', read_lines(LINES))
    assert [(each.time_s, each.message.split(':')[0]) for each in story] == [
        (2, 'config'),
        (90, 'endpoints'),
        (92, 'store'),
        (94, 'dispatch'),
        (95, 'refusal'),
    ]


def test_story_has_the_crashes_that_the_request_was_at():
    lines = (
        line(10, 'crash: An endpoint has crashed.', requests=['f1', 'f2']),
        line(11, 'crash: An endpoint has crashed.', requests=['f2']),
        line(20, 'blocks: A request is blocked.', request='f1', process='b'),
        line(21, 'blocks: A request is blocked.', request='f2'),
        line(90, 'refusal: A call was refused.', call='c1', request='f1'),
    )
    story = trace_call('c1', read_lines(lines))
    assert [each.time_s for each in story] == [10, 20, 90]


def test_story_has_the_crashes_that_a_blocked_prompt_part_was_at():
    lines = (
        line(10, 'crash: An endpoint has crashed.', parts=['p1', 'p2']),
        line(11, 'crash: An endpoint has crashed.', parts=['p1']),
        line(20, 'blocks: A prompt part is blocked.', prompt_part='p2'),
        line(90, 'refusal: A call was refused.', call='c1', prompt_part='p2'),
        line(95, 'dispatch: An attempt ended.', call='c2', parts=['p1']),
    )
    story = trace_call('c1', read_lines(lines))
    assert [each.time_s for each in story] == [10, 20, 90]
    story = trace_call('c2', read_lines(lines))
    assert [each.time_s for each in story] == [95]


def test_command_prints_it(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    log = tmp_path / 'a.log'
    log.write_text('\n'.join(LINES), 'utf-8')
    assert run('c1', str(log)) == 0
    assert 'refusal: A call was refused. status=503' in capsys.readouterr().out
    assert run('c9', str(log)) == 1
    assert run('c1', '/nonexistent') == 2
