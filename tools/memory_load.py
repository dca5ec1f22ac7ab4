"""What callers can make a gateway hold in memory, measured.

``python -m tools.memory_load --memory-mb 150`` plays each row of loads against
a gateway process of its own and prints the peak memory of the process, the
answers by status, and how long short requests took meanwhile.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import collections
import pathlib
import re
import struct
import tempfile
import time
from typing import TYPE_CHECKING, Final, final

import gevent

from tools.memory_site import MB, MemorySite, make_head, read_answer
from wingfall.clock import MS_PER_S
from wingfall.tcp import has_peer_closed
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHello

if TYPE_CHECKING:
    import socket

KB: Final = 1024
# In place of a status: the caller left a connection that was still open.
LEFT: Final = 'left'
_HOLD_S: Final = 6
_SHORT_INTERVAL_S: Final = 0.1
_MAX_BODY: Final = 4 * MB
_TIMEOUT_S: Final = 60
_ERROR_CODE: Final = re.compile(rb'"code": ?"(\w+)"')
_HEAD_LINE: Final = b'X-Filler: %b\r\n' % (b'a' * 900)


@final
class Row:
    """One load on a gateway."""

    __slots__ = (
        'answer_bytes',
        'body_bytes',
        'callers',
        'delay_ms',
        'kind',
        'name',
        'pause_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        callers: int,
        kind: str = 'whole',
        body_bytes: int = 0,
        delay_ms: int = 300,
        answer_bytes: int = 2,
        pause_ms: int = 0,
    ) -> None:
        """Describe a load.

        :param name: what it is called on the command line.
        :param callers: callers at once.
        :param kind: what they do, a key of the table of kinds.
        :param body_bytes: length of a body.
        :param delay_ms: how long endpoints take.
        :param answer_bytes: length of the endpoints' answers.
        :param pause_ms: pause of endpoints before the last byte of an answer.
        """
        self.name = name
        self.callers = callers
        self.kind = kind
        self.body_bytes = body_bytes
        self.delay_ms = delay_ms
        self.answer_bytes = answer_bytes
        self.pause_ms = pause_ms


ROWS: Final = (
    Row(name='whole-40', callers=40, body_bytes=_MAX_BODY),
    Row(name='whole-80', callers=80, body_bytes=_MAX_BODY),
    Row(name='whole-300', callers=300, body_bytes=_MAX_BODY),
    Row(name='stalled-80', callers=80, kind='stalled', body_bytes=_MAX_BODY),
    Row(name='stalled-300', callers=300, kind='stalled', body_bytes=_MAX_BODY),
    Row(name='slow-300', callers=300, body_bytes=_MAX_BODY, delay_ms=8000),
    Row(name='fast-300', callers=300, body_bytes=_MAX_BODY, delay_ms=0),
    Row(name='medium-1500', callers=1500, body_bytes=256 * KB),
    Row(name='chunked-80', callers=80, kind='chunked', body_bytes=_MAX_BODY),
    Row(name='frames-100', callers=100, kind='frame', body_bytes=_MAX_BODY),
    Row(name='peers-100', callers=100, kind='peer', body_bytes=_MAX_BODY),
    Row(name='heads-3500', callers=3500, kind='head'),
    Row(name='idle-4500', callers=4500, kind='idle'),
    Row(
        name='unread-200',
        callers=200,
        kind='unread',
        body_bytes=1,
        delay_ms=10,
        answer_bytes=8 * MB - KB,
    ),
    Row(
        name='unread-2000',
        callers=2000,
        kind='unread',
        body_bytes=1,
        delay_ms=10,
        answer_bytes=8 * MB - KB,
    ),
    Row(
        name='unread-64k-2000',
        callers=2000,
        kind='unread',
        body_bytes=1,
        delay_ms=10,
        answer_bytes=64 * KB,
    ),
    Row(
        name='stalled-64k',
        callers=2900,
        body_bytes=1,
        delay_ms=0,
        answer_bytes=64_000,
        pause_ms=8000,
    ),
    Row(name='calls-2900', callers=2900, body_bytes=1, delay_ms=8000),
    Row(name='short-2900', callers=2900, body_bytes=60 * KB, delay_ms=3000),
)


@final
class Load:
    """The callers of one row, and what they saw."""

    def __init__(self, *, site: MemorySite, row: Row) -> None:
        """Prepare the callers.

        :param site: the gateway and its endpoints.
        :param row: what they do.
        """
        self.site = site
        self.row = row
        self.statuses: collections.Counter[int | str] = collections.Counter()
        # Ids of the requests by status.
        self.ids: dict[int | str, set[str]] = collections.defaultdict(set)
        # Error codes in the answers by status.
        self.codes: dict[int, set[str]] = collections.defaultdict(set)
        # Milliseconds of each short request that was sent meanwhile.
        self.short_ms: list[float] = []
        self.short_statuses: collections.Counter[int] = collections.Counter()
        # Ids of the requests that an endpoint received whole.
        self.served: set[str] = set()
        self._body = bytes(row.body_bytes)
        self._open: list[socket.socket] = []
        self._ended = False
        self._kinds = {
            'whole': self._send_whole,
            'stalled': self._stall,
            'chunked': self._send_chunks,
            'head': self._send_head,
            'frame': self._send_frame,
            'peer': self._send_as_peer,
            'idle': self._wait_idle,
            'unread': self._leave_unread,
        }

    def run(self) -> None:
        """Play the load to its end."""
        self.site.change_endpoints(
            delay_ms=self.row.delay_ms,
            answer_bytes=self.row.answer_bytes,
            pause_ms=self.row.pause_ms,
        )
        short = gevent.spawn(self._send_short_requests)
        callers = [
            gevent.spawn(self._call, f'{self.row.name}-{number}')
            for number in range(self.row.callers)
        ]
        gevent.joinall(callers, timeout=_TIMEOUT_S)
        self._ended = True
        short.join(timeout=_TIMEOUT_S)
        self.served = self.site.served
        for sock in self._open:
            sock.close()
        gevent.killall(callers)

    def _call(self, call_id: str) -> None:
        try:
            sock = self.site.connect()
        except OSError:
            self.statuses['not connected'] += 1
            return
        self._open.append(sock)
        try:
            status = self._kinds[self.row.kind](sock, call_id)
        except OSError as error:
            self.statuses[type(error).__name__] += 1
            return
        self.statuses[status] += 1
        self.ids[status].add(call_id)

    def _send_whole(self, sock: socket.socket, call_id: str) -> int:
        sock.sendall(make_head(call_id, len(self._body)))
        sock.sendall(self._body)
        return self._read_status(sock)

    def _stall(self, sock: socket.socket, call_id: str) -> int | str:
        sock.sendall(make_head(call_id, len(self._body)))
        sock.sendall(memoryview(self._body)[1:])
        sock.settimeout(_HOLD_S)
        status = self._read_status(sock)
        return status if status or has_peer_closed(sock) else LEFT

    def _send_chunks(self, sock: socket.socket, call_id: str) -> int:
        head = make_head(call_id, 0)
        length = b'Content-Length: 0'
        sock.sendall(head.replace(length, b'Transfer-Encoding: chunked'))
        step = 64 * KB
        for _start in range(0, len(self._body), step):
            sock.sendall(b'%x\r\n%b\r\n' % (step, bytes(step)))
        sock.sendall(b'0\r\n\r\n')
        return self._read_status(sock)

    def _send_head(self, sock: socket.socket, call_id: str) -> int:
        head = make_head(call_id, 0).removesuffix(b'\r\n')
        sock.sendall(head)
        for _line in range(16):
            sock.sendall(_HEAD_LINE)
            gevent.sleep(0.01)
        sock.settimeout(_HOLD_S)
        return self._read_status(sock)

    def _send_frame(self, sock: socket.socket, call_id: str) -> int:
        return self._send_peer_message(call_id, b'')

    def _send_as_peer(self, sock: socket.socket, call_id: str) -> int:
        hello = GatewayHello(name=call_id, address='127.0.0.1:1', known=[])
        return self._send_peer_message(call_id, encode(hello))

    def _send_peer_message(self, call_id: str, hello: bytes) -> int:
        with self.site.connect_peer() as sock:
            sock.sendall(hello)
            sock.sendall(struct.pack('>I', len(self._body)))
            sock.sendall(memoryview(self._body)[1:])
            gevent.sleep(_HOLD_S)
        return 0

    def _wait_idle(self, sock: socket.socket, _call_id: str) -> int:
        sock.settimeout(_HOLD_S)
        return self._read_status(sock)

    def _leave_unread(self, sock: socket.socket, call_id: str) -> int:
        sock.sendall(make_head(call_id, len(self._body)))
        sock.sendall(self._body)
        gevent.sleep(_HOLD_S)
        return 0

    def _read_status(self, sock: socket.socket) -> int:
        status, answer = read_answer(sock)
        code = _ERROR_CODE.search(answer)
        if code:
            self.codes[status].add(code[1].decode())
        return status

    def _send_short_requests(self) -> None:
        number = 0
        while not self._ended:
            started_s = time.monotonic()
            try:
                with self.site.connect() as sock:
                    sock.settimeout(_TIMEOUT_S)
                    sock.sendall(b'%b{}' % make_head(f'short-{number}', 2))
                    status, _answer = read_answer(sock)
            except OSError:
                status = 0
            elapsed_ms = (time.monotonic() - started_s) * MS_PER_S
            self.short_ms.append(elapsed_ms)
            self.short_statuses[status] += 1
            number += 1
            gevent.sleep(_SHORT_INTERVAL_S)


def main() -> None:
    """Play the rows and print a line for each."""
    parser = argparse.ArgumentParser(description='Memory of a gateway.')
    parser.add_argument('--memory-mb', type=int)
    parser.add_argument('--rows', nargs='*')
    parser.add_argument('--log')
    chosen = parser.parse_args()
    for row in ROWS:
        if chosen.rows and row.name not in chosen.rows:
            continue
        with tempfile.TemporaryDirectory() as folder:
            _play(row, pathlib.Path(chosen.log or folder), chosen.memory_mb)


def _play(row: Row, folder: pathlib.Path, memory_mb: int | None) -> None:
    site = MemorySite(folder=folder, memory_mb=memory_mb)
    load = Load(site=site, row=row)
    try:
        load.run()
        peak_mb = site.peak_mb
    finally:
        site.close()
    refused = load.ids[503] | load.ids[408] | load.ids[413]
    short_ms = sorted(load.short_ms)
    print(
        f'{row.name}: peak {peak_mb:.0f} MB,'
        f' answers {dict(load.statuses)},'
        f' refused but run {len(refused & load.served)},'
        f' short {dict(load.short_statuses)}'
        f' median {short_ms[len(short_ms) // 2]:.0f} ms'
        f' longest {short_ms[-1]:.0f} ms',
        flush=True,
    )


if __name__ == '__main__':
    main()
