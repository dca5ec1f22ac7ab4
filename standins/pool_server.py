"""A stand-in for an endpoint of the users' platform, engine or plain.

It speaks raw HTTP/1.1 so that it can break every rule of it. What it does is
told by ``faults``, taken one a request, oldest first; without one it answers
rightly. A streaming request (one with ``X-Token-Count``) gets ``events``
events, ids from 1, or from the one after ``Last-Event-Id``; each holds the id
of the request, its own number and the version of the endpoint's software.
``naming`` changes the ids, and where a stream goes on that is taken up.

The faults: ``error`` (500), ``ran_408``, ``ran_429``, ``ran_503`` (these
statuses after a run, without proof of the opposite), ``status_`` and three
digits (that status; no answer follows one that is informational), ``shed``
(503, not run), ``late_shed`` (the same after the body's first bytes),
``reset`` (no answer), ``torn`` (half of the body), ``extra`` (bytes after the
answer), ``unframed`` (ends by closing), ``unframed_reset``, ``foreign``
(421), ``stray`` (an answer to another request), ``garbage`` (no HTTP),
``encoded`` (a content encoding), ``hang``, ``cut`` (a stream ends after two
events and half of the third), ``crash`` (it is reset there, and nothing
listens any more), ``endless_third`` (the third event never ends), ``half`` (a
stream ends well inside its third event), ``headonly`` (the endpoint ends
after the head of a stream), and the keys of ``ENDLESS``: bytes without end
until the caller closes.

A request for a target that ``ends_by`` names ends the endpoint as it begins to
run: all connections are reset, and nothing listens any more. So does a prompt
that ``prompt_crash`` names.
"""

from __future__ import annotations

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import argparse
import functools
import itertools
import socket
import struct
import time
from types import MappingProxyType
from typing import Any, Callable, Final, final

import gevent
import h11
import orjson
from gevent.event import Event
from gevent.server import StreamServer

from standins.answer_signals import AnswerSignalsStandIn
from standins.body_reading import BodyReading, EarlyAnswer
from standins.endless_answer import ENDLESS, repeat_piece, send_endless
from standins.event_naming import EventNaming
from standins.long_answer import LONG, send_long
from standins.prompt_crash import PromptCrash

_READ_BYTES: Final = 65_536
_MS: Final = 1000
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_CUT_AFTER: Final = 2
_RESET_AFTER_S: Final = 0.05
_OK: Final = 200
_MISDIRECTED: Final = 421
_UNAVAILABLE: Final = 503
# Statuses of whole answers that report a failure.
_STATUSES: Final = MappingProxyType(
    {
        'error': 500,
        'conflict': 409,
        'ran_408': 408,
        'ran_429': 429,
        'ran_503': 503,
    }
)
# Followed by a status in three digits, of an answer that is whole but for one
# that is informational.
_STATUS: Final = 'status_'
# Faults by which a request for a stream gets another answer or none.
_NO_STREAMS: Final = frozenset(
    ('error', 'ran_408', 'ran_429', 'ran_503', 'reset', 'hang', 'garbage')
)
# Faults that end a stream before its end.
_BREAKS: Final = frozenset(('crash', 'cut', 'endless_third'))
_ENDLESS_PIECE: Final = bytes(1000)
# More requests than an endpoint gets.
_MANY: Final = 1_000_000
_HELD_PATH: Final = '/wingfall/kv-list'


@final
class Run:
    """One request that was run."""

    def __init__(self, *, call_id: str, headers: dict[str, str]) -> None:
        """Begin a run.

        :param call_id: id of the request.
        :param headers: its headers, names in lower case.
        """
        self.call_id = call_id
        self.headers = headers
        self.arrived_s = time.monotonic()
        # When it began to run, of a stream with its first event; 0 if not yet.
        self.began_s: float = 0
        self.method = ''
        self.target = ''
        self.body = b''
        # Length of the body by the head of the request.
        self.length = 0
        # Whether it is answered before its body was read.
        self.is_early = False
        self.whole = False
        self.left = False

    @property
    def parts(self) -> list[str]:
        """Ids of the prompt parts that others may share: all but the last."""
        prefix = self.headers.get('x-prompt-prefix', '')
        return [part.partition(':')[0] for part in prefix.split(',')[:-1]]


@final
class PoolServerStandIn:
    """Answers requests and keeps a ledger of what it ran."""

    def __init__(
        self, *, name: str, port: int = 0, endless_pause_ms: float = 1
    ) -> None:
        """Listen on loopback.

        :param name: id of this incarnation.
        :param port: port, 0 for a free one.
        :param endless_pause_ms: time between two pieces of an answer that
            never ends.
        """
        self._endless_pause_s = endless_pause_ms / _MS
        self.name = name
        self.zone = ''
        # Version of its software, which each event of a stream names.
        self.version = 'v1'
        self.faults: list[str] = []
        # What its answers say of itself, and the ledger of that.
        self.signals = AnswerSignalsStandIn()
        self.events = 3
        self.event_ms = 0
        self.delay_ms = 0
        # Draws the delay of each request, instead of the one above.
        self.draw_delay_ms: Callable[[], int] | None = None
        self.crashed = False
        self.runs: list[Run] = []
        # How it reads the bodies of requests.
        self.reading = BodyReading()
        self.turned_away = 0
        self.connections = 0
        # Which targets' requests end the endpoint, and who is told of that.
        self.ends_by: Callable[[str], bool] = lambda _target: False
        self.on_crash: Callable[[Run], None] | None = None
        # Which prompts end the endpoint.
        self.prompt_crash = PromptCrash()
        # Whether streams have neither a length nor chunks.
        self.unframed_streams = False
        self._naming = EventNaming()
        self._open: set[socket.socket] = set()
        # Parts of prompts that it says it keeps: ids and tokens.
        self.held: list[tuple[str, int]] = []
        # What goes wrong when it is asked for them; ``faults`` are for runs.
        self.held_fault = ''
        self._server = StreamServer(('127.0.0.1', port), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """``host:port`` where it listens."""
        return f'127.0.0.1:{self._server.server_port}'

    @property
    def naming(self) -> EventNaming:
        """Ids of the events of its streams."""
        return self._naming

    def stop(self) -> None:
        """Refuse connections from now on."""
        self._server.stop(timeout=0)

    def crash(self) -> None:
        """End all connections and refuse new ones."""
        self.crashed = True
        self._server.close()
        for sock in list(self._open):
            if self.prompt_crash.closes:
                sock.close()
            else:
                _reset(sock)
        self._open.clear()

    def run_ids(self) -> list[str]:
        """List the requests that ran.

        :returns: their ids in order.
        """
        return [run.call_id for run in self.runs]

    def _serve(self, sock: socket.socket, _peer: Any) -> None:
        self.connections += 1
        self._open.add(sock)
        http = h11.Connection(h11.SERVER)
        try:
            while self._serve_one(sock, http):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._open.discard(sock)
            sock.close()

    def _serve_one(self, sock: socket.socket, http: h11.Connection) -> bool:
        run = _read_head(sock, http)
        if run is None:
            return False
        if run.length:
            self.reading.requests.append(run)
        self.signals.note_arrival(run.call_id)
        if self.reading.answers_early(run):
            run.is_early = True
            return self._answer_early(sock, http, run)
        return self.reading.read(sock, http, run) and self._answer(
            sock, http, run
        )

    def _answer_early(
        self, sock: socket.socket, http: h11.Connection, run: Run
    ) -> bool:
        rest = gevent.spawn(self._read_rest, sock, http, run)
        gevent.sleep(self.reading.early_after_s)
        early = self.reading.early
        if early is EarlyAnswer.foreign:
            keeps = self._turn_away(sock, http, run, _MISDIRECTED)
        elif early is EarlyAnswer.shed:
            keeps = self._turn_away(sock, http, run, _UNAVAILABLE)
        elif early is EarlyAnswer.error:
            self.runs.append(run)
            keeps = self._answer_whole(sock, http, run, 'conflict')
        else:
            keeps = self._answer(sock, http, run)
        return rest.get() and keeps

    def _read_rest(
        self, sock: socket.socket, http: h11.Connection, run: Run
    ) -> bool:
        try:
            return self.reading.read(sock, http, run)
        except (OSError, h11.ProtocolError):
            return False

    def _answer(
        self, sock: socket.socket, http: h11.Connection, run: Run
    ) -> bool:
        listing = run.target == _HELD_PATH
        fault = self._next_fault(listing=listing)
        expected = run.headers.get('x-expect-instance', self.name)
        if fault == 'foreign' or expected != self.name:
            return self._turn_away(sock, http, run, _MISDIRECTED)
        if self.signals.rest or fault in {'shed', 'late_shed'}:
            return self._turn_away(sock, http, run, _UNAVAILABLE)
        if listing and not fault:
            return self._list_held(sock, http, run)
        self.runs.append(run)
        if 'x-token-count' not in run.headers:
            run.began_s = run.arrived_s
        delay_ms = self.draw_delay_ms() if self.draw_delay_ms else self.delay_ms
        if delay_ms:
            self._work(sock, run, delay_ms)
        self._crash_if_due(run, 0)
        if fault in ENDLESS:
            lines = _encode_lines(self._answer_headers(run))
            send_endless(sock, fault, lines, self._endless_pause_s)
        if fault in LONG:
            send_long(sock, fault, _encode_lines(self._answer_headers(run)))
            run.whole = True
            return False
        if 'x-token-count' in run.headers:
            return self._answer_stream(sock, http, run, fault)
        return self._answer_whole(sock, http, run, fault)

    def _work(self, sock: socket.socket, run: Run, delay_ms: int) -> None:
        # An endpoint drops a request once its connection closes.
        if run.is_early:
            gevent.sleep(delay_ms / _MS)
            return
        with gevent.Timeout(delay_ms / _MS, False):  # noqa: FBT003
            if not sock.recv(1):
                run.left = True
                raise ConnectionError

    def _crash_by(self, run: Run) -> None:
        if self.crashed:
            raise ConnectionError
        self.crash()
        if self.on_crash is not None:
            self.on_crash(run)
        raise ConnectionError

    def _crash_if_due(self, run: Run, events: int) -> None:
        if not events and self.ends_by(run.target):
            self._crash_by(run)
        if self.prompt_crash.is_due(run.parts, events):
            # What was sent must be read before a reset drops it.
            gevent.sleep(_RESET_AFTER_S if events else 0)
            self._crash_by(run)

    def _next_fault(self, *, listing: bool) -> str:
        if listing:
            return self.held_fault
        return self.faults.pop(0) if self.faults else ''

    def _list_held(
        self,
        sock: socket.socket,
        http: h11.Connection,
        run: Run,
    ) -> bool:
        held = [['', part, tokens, 'm'] for part, tokens in self.held]
        body = orjson.dumps({'epoch': 1, 'next_token': 1, 'held': held})
        encoded = _encode(
            http,
            h11.Response(
                status_code=200,
                headers=[
                    ('Content-Length', str(len(body))),
                    *self.signals.headers(run.call_id),
                ],
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        sock.sendall(encoded)
        return True

    def _turn_away(
        self,
        sock: socket.socket,
        http: h11.Connection,
        run: Run,
        status: int,
    ) -> bool:
        self.turned_away += 1
        headers = [('Content-Length', '0'), ('X-Not-Executed', '1')]
        if status == _UNAVAILABLE:
            headers += self.signals.rest_headers(run.call_id)
        else:
            headers += self.signals.headers(run.call_id)
        response = h11.Response(status_code=status, headers=headers)
        sock.sendall(_encode(http, response, h11.EndOfMessage()))
        return True

    def _answer_status(self, sock: socket.socket, run: Run, fault: str) -> bool:
        # By hand: h11 sends no status that HTTP doesn't know.
        body = f'{self.name} {run.call_id} {run.target}'
        headers = [*self._answer_headers(run), ('Content-Length', len(body))]
        status = fault.removeprefix(_STATUS)
        if status.startswith('1'):
            headers, body = [], ''
        lines = _encode_lines(headers)
        sock.sendall(f'HTTP/1.1 {status} X\r\n{lines}\r\n{body}'.encode())
        gevent.sleep(_RESET_AFTER_S)
        return False

    def _answer_whole(
        self,
        sock: socket.socket,
        http: h11.Connection,
        run: Run,
        fault: str,
    ) -> bool:
        if fault.startswith(_STATUS):
            return self._answer_status(sock, run, fault)
        if fault == 'hang':
            gevent.sleep(60)
        if fault in {'reset', 'garbage'}:
            if fault == 'garbage':
                sock.sendall(b'\x00\x01 nothing that is HTTP\r\n\r\n')
            else:
                _reset(sock)
            return False
        if fault.startswith('unframed'):
            return self._answer_unframed(sock, run, fault)
        call_id = _answered_id(run, fault)
        body = f'{self.name} {call_id} {run.target}'.encode()
        status = _STATUSES.get(fault, _OK)
        encoded = _encode(
            http,
            h11.Response(
                status_code=status,
                headers=self._headers(run, fault, len(body)),
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        if fault == 'torn':
            sock.sendall(encoded[: -len(body) // 2])
            return False
        run.whole = True
        if fault == 'extra':
            sock.sendall(encoded + encoded)
            return True
        sock.sendall(encoded)
        return True

    def _answer_unframed(
        self,
        sock: socket.socket,
        run: Run,
        fault: str,
    ) -> bool:
        head = _encode_head(
            [*self._answer_headers(run), ('Connection', 'close')],
        )
        body = f'{self.name} {run.call_id} {run.target}'
        encoded = head + body.encode()
        if fault == 'unframed_reset':
            sock.sendall(encoded[: -len(body) // 2])
            # What was sent must be read before the reset drops it.
            gevent.sleep(_RESET_AFTER_S)
            _reset(sock)
        elif fault == 'unframed_end':
            sock.sendall(encoded[: -len(body) // 2])
            self.crash()
        else:
            sock.sendall(encoded)
            run.whole = True
        return False

    def _answer_headers(self, run: Run) -> list[tuple[str, str]]:
        return [
            ('X-Attempt-Id', run.call_id),
            ('X-Response-Seal', f'seal.{self.name}'),
            *self.signals.headers(run.call_id),
        ]

    def _headers(
        self,
        run: Run,
        fault: str,
        length: int,
    ) -> list[tuple[str, str]]:
        headers = [
            ('X-Attempt-Id', _answered_id(run, fault)),
            ('X-Response-Seal', f'seal.{self.name}'),
            ('Keep-Alive', 'timeout=5'),
            *self.signals.headers(run.call_id),
        ]
        if fault == 'encoded':
            headers.append(('Content-Encoding', 'gzip'))
        headers.append(('Content-Length', str(length)))
        return headers

    def _answer_stream(
        self,
        sock: socket.socket,
        http: h11.Connection,
        run: Run,
        fault: str,
    ) -> bool:
        if fault.startswith(_STATUS):
            return self._answer_status(sock, run, fault)
        if fault in _NO_STREAMS:
            return self._answer_whole(sock, http, run, fault)
        headers = [
            *self._answer_headers(run),
            ('Content-Type', 'text/event-stream'),
        ]
        if self.unframed_streams:
            sock.sendall(_encode_head(headers))
            frame = _frame_plainly
        else:
            response = h11.Response(status_code=200, headers=headers)
            sock.sendall(_encode(http, response))
            frame = functools.partial(_frame_by_h11, http)
        if fault == 'headonly':
            self.crash()
            return False
        if not self._send_events(sock, run, fault, frame):
            return False
        run.whole = True
        if self.unframed_streams:
            return False
        sock.sendall(_encode(http, h11.EndOfMessage()))
        return True

    def _send_events(
        self,
        sock: socket.socket,
        run: Run,
        fault: str,
        frame: Callable[[bytes], bytes],
    ) -> bool:
        first = self._naming.find_first(run.headers.get('last-event-id'))
        for number in range(first, self.events + 1):
            gevent.sleep(self.event_ms / _MS)
            run.began_s = run.began_s or time.monotonic()
            event = (
                f'id: {self._naming.name(number)}\n'
                f'data: {run.call_id} {number} {self.version}\n\n'
            ).encode()
            if fault == 'half' and number > _CUT_AFTER:
                sock.sendall(frame(event[: len(event) // 2]))
                return True
            if fault in _BREAKS and number > _CUT_AFTER:
                self._break_off(sock, fault, event, frame)
                return False
            sock.sendall(frame(event))
            self._crash_if_due(run, number - first + 1)
        return True

    def _break_off(
        self,
        sock: socket.socket,
        fault: str,
        event: bytes,
        frame: Callable[[bytes], bytes],
    ) -> None:
        half = frame(event[: len(event) // 2])
        if fault == 'crash':
            self._server.close()
        else:
            sock.sendall(half)
        if fault == 'endless_third':
            repeat_piece(sock, frame(_ENDLESS_PIECE), self._endless_pause_s)
        _reset(sock)


def _read_head(sock: socket.socket, http: h11.Connection) -> Run | None:
    event = http.next_event()
    while event is h11.NEED_DATA:
        http.receive_data(sock.recv(_READ_BYTES))
        event = http.next_event()
    return _begin_run(event) if isinstance(event, h11.Request) else None


def _begin_run(request: h11.Request) -> Run:
    headers = {
        name.decode(): text.decode('latin-1') for name, text in request.headers
    }
    run = Run(call_id=headers.get('x-attempt-id', ''), headers=headers)
    run.method = request.method.decode()
    run.target = request.target.decode()
    run.length = int(headers.get('content-length', '0'))
    return run


def _answered_id(run: Run, fault: str) -> str:
    return 'another' if fault == 'stray' else run.call_id


def _encode(http: h11.Connection, *events: h11.Event) -> bytes:
    return b''.join(filter(None, map(http.send, events)))


def _encode_head(headers: list[tuple[str, str]]) -> bytes:
    # By hand: h11 would frame an answer without a length as chunks.
    return f'HTTP/1.1 200 OK\r\n{_encode_lines(headers)}\r\n'.encode()


def _encode_lines(headers: list[tuple[str, str]]) -> str:
    return ''.join(f'{name}: {text}\r\n' for name, text in headers)


def _frame_plainly(piece: bytes) -> bytes:
    return piece


def _frame_by_h11(http: h11.Connection, piece: bytes) -> bytes:
    return _encode(http, h11.Data(data=piece))


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def main() -> None:
    """Run the stand-in until it is ended."""
    parser = argparse.ArgumentParser(description='An endpoint stand-in.')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='endpoint')
    parser.add_argument('--fault', default='', help='of all its answers')
    parser.add_argument('--endless-pause-ms', type=float, default=1)
    chosen = parser.parse_args()
    server = PoolServerStandIn(
        name=chosen.name,
        port=chosen.port,
        endless_pause_ms=chosen.endless_pause_ms,
    )
    if chosen.fault:
        server.faults = list(itertools.repeat(chosen.fault, _MANY))
    Event().wait()


if __name__ == '__main__':
    main()
