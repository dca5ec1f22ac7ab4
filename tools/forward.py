"""``make forward``: what forwarding a token costs a router.

A source in this process sends token events of many streams over one
connection, once as an agent to a real router and once to a bare forwarder;
callers in this process read them. Compared is the processor time of the
forwarding process.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import os
import pathlib
import socket
import statistics
import subprocess  # noqa: S404
import sys
import tempfile
import time
from typing import Any, Callable, Final, final

import gevent
import msgpack
from gevent.event import Event
from gevent.server import StreamServer

from tools.fleet import HOST, Fleet, free_port, wait_for
from wingfall.objects.customer import hash_key
from wingfall.wire.call_messages import Chunk, End, Head, Run
from wingfall.wire.connection import Connection, set_no_delay
from wingfall.wire.handshake import Identity, accept_peer, welcome_peer
from wingfall.wire.offer_messages import Report

_STREAMS: Final = 200
_TICK_S: Final = 0.001
_READ_BYTES: Final = 65_536
_SECRET: Final = b'a secret for local use only'
_US: Final = 1_000_000
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
_UTIME: Final = 11
_EVENT: Final = (
    b'id: 100\ndata: {"id":"x","object":"chat.completion.chunk","model":"m",'
    b'"choices":[{"index":0,"delta":{"content":"a token "}}]}\n\n'
)


@final
class FakeAgent:
    """Takes every run and holds it until the bench sends its tokens."""

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


@final
class Subject:
    """A forwarding process: how to reach it and how to feed it."""

    def __init__(
        self,
        *,
        name: str,
        pid: int,
        port: int,
        send: Callable[[int, bytes], None],
        forget: Callable[[], None],
        opened: Callable[[], int] | None = None,
    ) -> None:
        """Describe a subject.

        :param name: its name in the table.
        :param pid: its process.
        :param port: port for callers.
        :param send: sends an event of a stream.
        :param forget: starts a new round of streams.
        :param opened: counts the open streams, by default those whose
            callers have got a head.
        """
        self.name = name
        self.pid = pid
        self.port = port
        self.send = send
        self.heads = 0
        self.opened = opened or (lambda: self.heads)
        self.forget = forget

    def cpu_s(self) -> float:
        """Read the processor time of the process.

        :returns: seconds in user and system mode.
        """
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_UTIME]) + int(fields[_UTIME + 1])
        return ticks / _TICKS_PER_S


def measure(subject: Subject, *, rate: int, seconds: float) -> float:
    """Forward events for a while.

    :param subject: the process.
    :param rate: events a second over all streams.
    :param seconds: how long.
    :returns: microseconds of processor time an event.
    """
    subject.forget()
    subject.heads = 0
    callers = [gevent.spawn(_call, subject) for _ in range(_STREAMS)]
    wait_for(lambda: subject.opened() == _STREAMS, 'the streams to open')
    before_s = subject.cpu_s()
    sent = _feed(subject, rate=rate, seconds=seconds)
    used_s = subject.cpu_s() - before_s
    for number in range(_STREAMS):
        subject.send(number, b'')
    gevent.joinall(callers)
    received = sum(caller.value for caller in callers)
    if received != sent:
        raise RuntimeError(f'{received} of {sent} events came')
    return used_s / sent * _US


def _feed(subject: Subject, *, rate: int, seconds: float) -> int:
    started = time.perf_counter()
    sent = 0
    while time.perf_counter() - started < seconds:
        due = (time.perf_counter() - started) * rate
        while sent < due:
            subject.send(sent % _STREAMS, _EVENT)
            sent += 1
        gevent.sleep(_TICK_S)
    # What is on its way belongs to the time that is measured.
    gevent.sleep(_TICK_S * _STREAMS)
    return sent


def _call(subject: Subject) -> int:
    sock = socket.create_connection((HOST, subject.port))
    body = b'{"model":"m","stream":true}'
    sock.sendall(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer forward\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(body), body),
    )
    events = 0
    rest = b''
    while received := sock.recv(_READ_BYTES):
        subject.heads += not rest
        joined = rest + received
        events += joined.count(b'data: {')
        rest = joined[-(len(b'data: {') - 1) :]
    return events


def _start_router(fleet: Fleet, agent: FakeAgent) -> Subject:
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
    return Subject(
        name='router',
        pid=router.child.pid,
        port=router.port,
        send=agent.send,
        opened=lambda: len(agent.calls),
        forget=agent.forget,
    )


def _start_bare(children: list[subprocess.Popen[bytes]]) -> Subject:
    port, source_port = free_port(), free_port()
    child = subprocess.Popen(  # noqa: S603
        (
            sys.executable,
            '-m',
            'tools.bare_forwarder',
            str(port),
            str(source_port),
        ),
    )
    children.append(child)
    wait_for(lambda: _listens(source_port), 'the forwarder')
    sock = socket.create_connection((HOST, source_port))
    set_no_delay(sock)
    packer = msgpack.Packer()
    queued: list[bytes] = []
    ready = Event()

    def send(number: int, body: bytes) -> None:
        queued.append(packer.pack([number + base[0], body]))
        ready.set()

    def write() -> None:
        while ready.wait():
            ready.clear()
            joined = b''.join(queued)
            queued.clear()
            sock.sendall(joined)

    def forget() -> None:
        base[0] += rounds[0] * _STREAMS
        rounds[0] = 1

    base, rounds = [0], [0]
    gevent.spawn(write)
    return Subject(
        name='bare forwarder',
        pid=child.pid,
        port=port,
        send=send,
        forget=forget,
    )


def _listens(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=int, default=8000)
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--rounds', type=int, default=3)
    chosen = parser.parse_args()
    children: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=pathlib.Path(folder))
        try:
            subjects = [
                _start_router(fleet, FakeAgent()),
                _start_bare(children),
            ]
            _compare(subjects, chosen)
        finally:
            fleet.stop()
            for child in children:
                child.kill()
    return 0


def _compare(subjects: list[Subject], chosen: argparse.Namespace) -> None:
    costs: dict[str, list[float]] = {subject.name: [] for subject in subjects}
    for _round in range(chosen.rounds):
        for subject in subjects:
            cost = measure(subject, rate=chosen.rate, seconds=chosen.seconds)
            costs[subject.name].append(cost)
    for name, listed in costs.items():
        median = statistics.median(listed)
        print(
            f'{name:<16} {median:6.1f} us an event (from {min(listed):.1f} '
            f'to {max(listed):.1f}), {_US / median:,.0f} events a second '
            f'of processor time',
        )
    router, bare = (statistics.median(listed) for listed in costs.values())
    print(f'ratio of events a second, router to bare: {bare / router:.2f}')


if __name__ == '__main__':
    sys.exit(main())
