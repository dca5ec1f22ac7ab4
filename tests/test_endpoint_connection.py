"""Tests of connections to endpoints that end within a request."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator

import gevent
import pytest

from tests.local_site import wait_until
from wingfall.clock import Clock
from wingfall.gateway.endpoints.endpoint_connection import (
    BrokenAnswerError,
    EndlessAnswerError,
    EndpointConnection,
)
from wingfall.tcp import SocketState, reset

LONG_BYTES = 8_000_000
# The head and a part of an answer without a length.
BEGUN_ANSWER = b'HTTP/1.1 200 OK\r\n\r\nbegun'


class _Pair:
    """A connection to an endpoint and the endpoint's end of it."""

    def __init__(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            self.endpoint = listener.accept()[0]
        self.connection = EndpointConnection(sock=self.sock, clock=Clock())

    def send_short(self) -> None:
        """Send a request without a body."""
        self.connection.send(
            b'GET',
            b'/x',
            [(b'Host', b'site.example')],
            b'',
            deadline_ms=Clock().now_ms() + 10_000,
        )

    def send_long(self) -> None:
        """Send a request that the endpoint does not read."""
        self.connection.send(
            b'POST',
            b'/x',
            [(b'Host', b'site.example')],
            bytes(LONG_BYTES),
            deadline_ms=Clock().now_ms() + 10_000,
        )
        # The writer fills the buffers of both sides.
        gevent.sleep(0.2)


@pytest.fixture
def pair() -> Iterator[_Pair]:
    """Connect to an endpoint."""
    running = _Pair()
    yield running
    if running.sock.fileno() >= 0:
        running.connection.close()
    running.endpoint.close()


def test_reset_answer_is_incomplete_if_the_writer_takes_the_error(pair: _Pair):
    # Guards against a torn answer that looks complete: the kernel reports a
    # reset once, to the reader or to the writer.
    pair.send_long()
    pair.endpoint.sendall(BEGUN_ANSWER)
    assert pair.connection.receive(1000).status_code == 200
    assert pair.connection.receive(1000).data == b'begun'
    reset(pair.endpoint)
    # The writer runs first.
    gevent.sleep(0.5)
    with pytest.raises(BrokenAnswerError):
        pair.connection.receive(1000)


def test_connection_whose_write_has_failed_is_closed(pair: _Pair):
    pair.send_long()
    reset(pair.endpoint)
    gevent.sleep(0.5)
    pair.connection.close_when_delivered()
    assert pair.sock.fileno() == -1


def test_connection_is_closed_once_the_endpoint_has_read_on(pair: _Pair):
    pair.send_long()
    pair.connection.close_when_delivered()
    assert pair.sock.fileno() >= 0
    received = 0
    while received < LONG_BYTES:
        received += len(pair.endpoint.recv(LONG_BYTES))
    wait_until(lambda: pair.sock.fileno() == -1)


def test_answer_is_incomplete_if_the_watch_of_a_closed_window_ends_it(
    pair: _Pair, monkeypatch: pytest.MonkeyPatch
):
    def raise_timeout(_watch: object) -> None:
        raise TimeoutError(errno.ETIMEDOUT, 'no answer to probes')

    pair.send_long()
    pair.endpoint.sendall(BEGUN_ANSWER)
    assert pair.connection.receive(1000).status_code == 200
    assert pair.connection.receive(1000).data == b'begun'
    monkeypatch.setattr(
        'wingfall.gateway.endpoints.request_writer.WindowWatch.check',
        raise_timeout,
    )
    with pytest.raises(BrokenAnswerError):
        pair.connection.receive(5000)


@pytest.mark.parametrize('count', [1, 16])
def test_some_informational_answers_are_passed_over(pair: _Pair, count: int):
    pair.send_short()
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n' * count
    pair.endpoint.sendall(interim + BEGUN_ANSWER)
    assert pair.connection.receive(1000).status_code == 200


def test_too_many_informational_answers_end_the_answer(pair: _Pair):
    # They kept a call waiting until its deadline.
    pair.send_short()
    interim = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 17
    pair.endpoint.sendall(interim + BEGUN_ANSWER)
    with pytest.raises(EndlessAnswerError) as raised:
        pair.connection.receive(1000)
    assert raised.value.received_bytes == len(interim + BEGUN_ANSWER)


def test_other_greenlets_run_while_bytes_are_always_ready(pair: _Pair):
    # Pieces that had come already were read without a pause.
    pair.send_short()
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    pair.endpoint.sendall(head + b'1\r\nx\r\n' * 1000)
    pair.connection.receive(1000)
    turns = []
    gevent.spawn(turns.append, 'ran')
    for _piece in range(100):
        pair.connection.receive(1000)
    assert turns


def test_reset_answer_is_incomplete_if_a_look_at_it_takes_the_error(
    pair: _Pair,
):
    # The answer of another call has ended, and its check looks at the other
    # connections before the greenlet that reads this one runs.
    pair.send_short()
    pair.endpoint.sendall(BEGUN_ANSWER)
    assert pair.connection.receive(1000).status_code == 200
    assert pair.connection.receive(1000).data == b'begun'
    reading = gevent.spawn(pair.connection.receive, 1000)
    gevent.sleep(0.1)
    reset(pair.endpoint)
    assert pair.connection.state is SocketState.ended
    with pytest.raises(BrokenAnswerError):
        reading.get()
