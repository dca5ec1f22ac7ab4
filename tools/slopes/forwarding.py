"""What a router spends on forwarding the tokens of many streams.

An agent of this process sends token events of all streams over one connection
to a real router; callers of this process read them. Measured is the processor
time of the router's process.
"""

from __future__ import annotations

import os
import pathlib
import socket
import statistics
import tempfile
import time
from typing import Any, Final, final

import gevent
from gevent.server import StreamServer

from tools.fleet import HOST, Fleet, Process, wait_for
from tools.slopes.figures import US_PER_S, note
from wingfall.objects.customer import hash_key
from wingfall.wire.call_messages import Chunk, End, Head, Run
from wingfall.wire.connection import Connection
from wingfall.wire.handshake import Identity, accept_peer, welcome_peer
from wingfall.wire.offer_messages import Report

_STREAMS: Final = 200
_EVENTS_PER_S: Final = 8000
_ROUND_S: Final = 4
_ROUNDS: Final = 3
_TICK_S: Final = 0.001
_READ_BYTES: Final = 65_536
_SECRET: Final = b'a secret for local use only'
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_UTIME: Final = 11
_EVENT: Final = (
    b'id: 100\ndata: {"id":"x","object":"chat.completion.chunk","model":"m",'
    b'"choices":[{"index":0,"delta":{"content":"a token "}}]}\n\n'
)


@final
class FakeAgent:
    """Takes every run and holds it until its tokens are sent."""

    def __init__(self) -> None:
        """Listen for one router."""
        self.calls: list[str] = []
        self.connection: Connection | None = None
        self._offsets: dict[str, int] = {}
        self._identity = Identity(name='fake', secret=_SECRET)
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """Port for the router."""
        return int(self._server.server_port)

    def send(self, number: int, body: bytes) -> None:
        """Send an event of a stream.

        :param number: number of the stream.
        :param body: the event, empty to end the stream.
        """
        call_id = self.calls[number]
        offset = self._offsets[call_id]
        if body:
            message: Any = Chunk(call_id=call_id, offset=offset, body=body)
        else:
            message = End(call_id=call_id, length=offset)
        self._offsets[call_id] = offset + len(body)
        self.connection.send(message)

    def forget(self) -> None:
        """Start a new round of streams."""
        self.calls.clear()

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        connection = Connection(sock=sock)
        hello = accept_peer(self._identity, connection)
        welcome_peer(self._identity, connection, hello)
        connection.set_timeout(None)
        self.connection = connection
        gevent.spawn(self._report, connection)
        for message in connection.receive():
            if isinstance(message, Run):
                headers = {'content-type': 'text/event-stream'}
                connection.send(
                    Head(call_id=message.call_id, status=200, headers=headers),
                )
                self._offsets[message.call_id] = 0
                self.calls.append(message.call_id)

    def _report(self, connection: Connection) -> None:
        report = Report(
            limit=10_000,
            running=0,
            waiting=0,
            mean_run_ms=1,
            config_version=0,
            leaving=False,
        )
        while not connection.closed:
            connection.send(report)
            gevent.sleep(1)


def measure_forwarding() -> None:
    """Note the cost of a token event, the median of some rounds."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=pathlib.Path(folder))
        try:
            agent = FakeAgent()
            router = _start_router(fleet, agent)
            costs = [_run_round(agent, router) for _round in range(_ROUNDS)]
        finally:
            fleet.stop()
    note('forwarding a token event', statistics.median(costs), 'us')


def _run_round(agent: FakeAgent, router: Process) -> float:
    agent.forget()
    callers = [gevent.spawn(_call, router.port) for _ in range(_STREAMS)]
    wait_for(lambda: len(agent.calls) == _STREAMS, 'the streams to open')
    before_s = _cpu_s(router)
    sent = _feed(agent)
    used_s = _cpu_s(router) - before_s
    for number in range(_STREAMS):
        agent.send(number, b'')
    gevent.joinall(callers)
    received = sum(caller.value for caller in callers)
    if received != sent:
        raise RuntimeError(f'{received} of {sent} events came')
    return used_s / sent * US_PER_S


def _cpu_s(process: Process) -> float:
    stat = pathlib.Path(f'/proc/{process.child.pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_UTIME + 1])
    return ticks / _TICKS_PER_S


def _feed(agent: FakeAgent) -> int:
    started = time.perf_counter()
    sent = 0
    while time.perf_counter() - started < _ROUND_S:
        due = (time.perf_counter() - started) * _EVENTS_PER_S
        while sent < due:
            agent.send(sent % _STREAMS, _EVENT)
            sent += 1
        gevent.sleep(_TICK_S)
    # What is on its way belongs to the time that is measured.
    gevent.sleep(_TICK_S * _STREAMS)
    return sent


def _call(port: int) -> int:
    sock = socket.create_connection((HOST, port))
    body = b'{"model":"m","stream":true}'
    sock.sendall(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer forward\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body),
    )
    events = 0
    rest = b''
    while received := sock.recv(_READ_BYTES):
        joined = rest + received
        events += joined.count(b'data: {')
        rest = joined[-(len(b'data: {') - 1) :]
    return events


def _start_router(fleet: Fleet, agent: FakeAgent) -> Process:
    platform = fleet.start_standin('platform', 'platform')
    for kind, name, spec in (
        ('RequestClass', 'plain', {'tier': 0, 'timeout_ms': 600_000}),
        ('Customer', 'forward', {'key_hashes': [hash_key('forward')]}),
        (
            'Endpoint',
            'fake',
            {
                'address': f'{HOST}:{agent.port}',
                'zone': 'local',
                'type': 'engine',
                'models': ['m'],
            },
        ),
    ):
        metadata = {'name': name}
        fleet.put_object(
            platform,
            {'kind': kind, 'metadata': metadata, 'spec': spec},
        )
    router = fleet.start_router('router', platform, log_level='warning')
    fleet.wait_links(router, 1)
    return router
