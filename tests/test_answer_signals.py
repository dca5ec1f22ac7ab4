"""What the head of an endpoint's answer says of the endpoint itself."""

from __future__ import annotations

import pytest

from wingfall.platform.answer_signals import read_signals

FULL = 503


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        (b'1', 1),
        (b'0.2', 0.2),
        (b' 8.50 ', 8.5),
        (b'0', 0),
        (b'1e2', 100),
    ],
)
def test_limit_is_read(text: bytes, rate: float):
    signals = read_signals(200, [(b'Server-Limit', text)])
    assert signals.rate == rate
    assert not signals.faults


@pytest.mark.parametrize(
    'texts',
    [
        [b'-1'],
        [b'nan'],
        [b'inf'],
        [b'1e308'],
        [b'1e999'],
        [b'9' * 5000],
        [b'many'],
        [b''],
        [b'1, 2'],
        [b'1,5'],
        [b'\xff'],
        [b'1', b'2'],
    ],
)
def test_limit_that_can_not_be_read_says_nothing(texts: list[bytes]):
    signals = read_signals(200, [(b'server-limit', text) for text in texts])
    assert signals.rate is None
    assert len(signals.faults) == 1
    assert len(signals.faults[0]) < 80


@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_leaving_is_read_of_any_answer(status: int):
    assert read_signals(status, [(b'SERVER-LEAVING', b'1')]).leaving
    assert not read_signals(status, [(b'Server-Leaving', b'0')]).leaving
    assert not read_signals(status, []).leaving


@pytest.mark.parametrize(
    ('text', 'rest_ms'),
    [
        (b'3', 3000),
        (b'0.25', 250),
        (b'0', 0),
        (b'31536000', 31_536_000_000),
        (b'Thu, 03 Dec 2026 06:00:03 GMT', 3000),
        (b'Thu, 03 Dec 2026 05:00:00 GMT', 0),
    ],
)
def test_rest_is_read_of_an_answer_that_turns_away(text: bytes, rest_ms: int):
    headers = [
        (b'Date', b'Thu, 03 Dec 2026 06:00:00 GMT'),
        (b'Retry-After', text),
    ]
    assert read_signals(FULL, headers).rest_ms == rest_ms
    assert read_signals(200, headers).rest_ms is None


@pytest.mark.parametrize(
    'text', [b'soon', b'-3', b'nan', b'inf', b'1e400', b'3 Dec', b'']
)
def test_rest_that_can_not_be_read_says_nothing(text: bytes):
    signals = read_signals(FULL, [(b'Retry-After', text)])
    assert signals.rest_ms is None
    assert len(signals.faults) == 1


def test_answer_that_says_nothing_has_no_fault():
    signals = read_signals(FULL, [(b'Content-Length', b'0')])
    assert signals.rate is None
    assert signals.rest_ms is None
    assert not signals.leaving
    assert not signals.faults
