"""Exceptions of one endpoint's attempt, which others can serve instead."""

from __future__ import annotations

import contextlib
import logging
import re
from typing import TYPE_CHECKING, Any, final

import gevent
import pytest
from absl import logging as absl_logging
from gevent.server import StreamServer

from tests.gateway_site import HOST
from wingfall.gateway.endpoints import connection_cache
from wingfall.gateway.endpoints.endpoint_connection import EndpointConnection

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from tests.gateway_site import GatewaySite
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

FAULT_LINE = 'dispatch: A fault of the program ended an attempt.'


@contextlib.contextmanager
def collected_lines(sentence: str) -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of each line of the log with a sentence."""
    collected: list[dict[str, Any]] = []
    collector = logging.Handler()

    def keep(line: logging.LogRecord) -> None:
        if line.getMessage() == sentence:
            collected.append(getattr(line, 'fields', {}))

    collector.emit = keep
    logger = absl_logging.get_absl_logger()
    level = logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    yield collected
    logger.setLevel(level)
    logger.removeHandler(collector)


def raise_fault(*_arguments: Any, **_options: Any) -> None:
    """Fail as no attempt expects it."""
    raise ZeroDivisionError('an odd endpoint')


def test_line_of_an_attempt_names_its_exception(
    gateway_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    monkeypatch.setattr(connection_cache, 'connect', raise_fault)
    with collected_lines('dispatch: An attempt ended.') as lines:
        gateway_site.ask('/safe/x')
    assert 'an odd endpoint' in lines[0]['reason']


def test_line_of_a_listed_endpoint_has_its_address(gateway_site: GatewaySite):
    server = gateway_site.add_server('one')
    with collected_lines('endpoints: The list has an endpoint.') as lines:
        gateway_site.add_gateway()
    assert lines[0]['address'] == server.address


def raise_at_first(
    monkeypatch: pytest.MonkeyPatch,
    place: Any,
    name: str,
    error: type[Exception],
) -> list[str]:
    """Let a function fail for the first endpoint that it is called for."""
    original = getattr(place, name)
    failed: list[str] = []

    def fail(endpoint: PoolEndpoint, *others: Any, **options: Any) -> Any:
        if not failed:
            failed.append(endpoint.name)
        if endpoint.name in failed:
            raise error('an odd endpoint')
        return original(endpoint, *others, **options)

    monkeypatch.setattr(place, name, fail)
    return failed


# Types: an exception keeps the frames, and so the calls, that it ended.
ERRORS = (
    UnicodeError,
    OverflowError,
    ValueError,
    ZeroDivisionError,
    MemoryError,
)


@pytest.mark.parametrize('target', ['/safe/x', '/unsafe/x', '/oneway/x'])
@pytest.mark.parametrize('error', ERRORS)
def test_connection_that_raises_ends_no_call(
    gateway_site: GatewaySite,
    monkeypatch: pytest.MonkeyPatch,
    target: str,
    error: type[Exception],
):
    for name in ('one', 'two'):
        gateway_site.add_server(name)
        gateway_site.add_server(f'engine-{name}', 'engines')
    gateway = gateway_site.add_gateway()
    failed = raise_at_first(monkeypatch, connection_cache, 'connect', error)
    count = '1' if 'oneway' in target else ''
    statuses = [
        gateway_site.ask(target, X_Token_Count=count).status
        for _call in range(6)
    ]
    assert set(statuses) == {200}
    assert failed
    # It counts against the endpoint, which is not chosen again and again.
    health = gateway._state.knowledge.health
    assert health.is_ejected(failed[0])


@pytest.mark.parametrize('step', ['send', 'receive'])
def test_exchange_that_raises_is_tried_at_another_endpoint(
    gateway_site: GatewaySite, monkeypatch: pytest.MonkeyPatch, step: str
):
    gateway_site.add_server('one')
    gateway_site.add_server('two')
    gateway = gateway_site.add_gateway()
    original = getattr(EndpointConnection, step)
    raised: list[int] = []

    def fail(connection: EndpointConnection, *others: Any, **options: Any):
        if not raised:
            raised.append(1)
            raise OSError('of the endpoint')
        return original(connection, *others, **options)

    monkeypatch.setattr(EndpointConnection, step, fail)
    assert gateway_site.ask('/safe/x').status == 200
    assert raised
    rates = gateway._state.knowledge.health
    assert max(map(rates.failure_rate, ('one', 'two'))) > 0


def test_unsafe_call_whose_exchange_raises_is_not_sent_again(
    gateway_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    server = gateway_site.add_server('one')
    gateway_site.add_gateway()
    monkeypatch.setattr(EndpointConnection, 'receive', raise_fault)
    answer = gateway_site.ask('/unsafe/x')
    assert answer.status == 502
    assert len(server.runs) <= 1


@final
class RawEndpoint:
    """Answers each request with the same bytes, on connections it keeps."""

    def __init__(self, head: bytes) -> None:
        """Listen on loopback.

        :param head: lines of the head of each answer, before its call id.
        """
        self._head = head
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()
        self.requests = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f'{HOST}:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: Any) -> None:
        while True:
            asked = sock.recv(65_536)
            if not asked:
                return
            self.requests += 1
            found = re.search(rb'(?i)x-attempt-id: *([^\r]*)', asked)
            call_id = found.group(1) if found else b''
            sock.sendall(
                b'HTTP/1.1 200 OK\r\n%bX-Attempt-Id: %b\r\n\r\n'
                % (self._head, call_id)
            )


def ask_at_once(site: GatewaySite) -> set[int]:
    """Return the statuses of calls that keep all endpoints busy."""
    calls = [gevent.spawn(site.ask, '/safe/x') for _call in range(12)]
    return {each.get().status for each in calls}


ODD_HEADS = {
    'keep-alive of 400 digits': b'Content-Length: 0\r\nKeep-Alive: timeout=%b'
    b'\r\n' % (b'9' * 400),
    'keep-alive of 5,000 digits': b'Content-Length: 0\r\nKeep-Alive: timeout='
    b'%b\r\n' % (b'9' * 5000),
    'a length of 5,000 digits': b'Content-Length: %b\r\n' % (b'9' * 5000),
    'a length of 400 digits': b'Content-Length: %b\r\n' % (b'9' * 400),
}


@pytest.mark.parametrize('case', ODD_HEADS)
def test_odd_number_in_an_answers_head_ends_no_call(
    gateway_site: GatewaySite, case: str
):
    raw = RawEndpoint(ODD_HEADS[case])
    gateway_site.add_server('one')
    gateway_site.add_server('two')
    entry = gateway_site.make_entry('one', 'plain', address=raw.address)
    gateway_site.store.put('servers', 'raw', entry)
    gateway_site.add_gateway()
    with collected_lines(FAULT_LINE) as lines:
        statuses = [ask_at_once(gateway_site) for _round in range(4)]
    raw.stop()
    assert raw.requests
    assert set().union(*statuses) == {200}
    assert not lines
