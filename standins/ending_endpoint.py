"""A stand-in for an endpoint that ends in the middle of its answers or after.

It runs as a process of its own, so that the system closes its connections as
the process ends. Each answer has ``pieces`` pieces: events with ids from 1, or
from the one after ``Last-Event-Id``, for a request with ``X-Token-Count``, else
lines. It waits before piece ``hold-before``, if that is given, until the
process gets SIGUSR1, and then ends as ``ending`` says. SIGUSR2 resets all
connections. With ``deaf`` it takes none after SIGUSR1.
"""

from __future__ import annotations

import argparse
import enum
import os
import random
import select
import signal
import socket
import struct
import sys
import threading
import time
from types import MappingProxyType
from typing import Final, final

_MS: Final = 1000
_READ_BYTES: Final = 65_536
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_HEAD_END: Final = b'\r\n\r\n'
_OWN_PATH: Final = ' /wingfall/'
_NOT_FOUND: Final = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
_LATER_S: Final = 1.0
_POLL_S: Final = 0.005
# Options that are numbers: pieces of an answer, milliseconds before each, the
# piece before which it waits, and the most milliseconds that it waits longer.
_NUMBERS: Final = MappingProxyType(
    {
        '--pieces': 6,
        '--piece-ms': 10,
        '--hold-before': 0,
        '--spread-ms': 0,
    }
)


class Framing(enum.StrEnum):
    """What tells the end of an answer's body."""

    none = 'none'
    length = 'length'
    chunks = 'chunks'


class Ending(enum.StrEnum):
    """What the process does after its last answer."""

    stays = 'stays'
    exits = 'exits'
    exits_later = 'exits_later'


@final
class EndingEndpoint:
    """Answers requests, and ends as it is told."""

    def __init__(self, chosen: argparse.Namespace) -> None:
        """Listen on loopback.

        :param chosen: the options of the command line.
        """
        self._chosen = chosen
        self._listener = socket.create_server(('127.0.0.1', chosen.port))
        self._may_end = threading.Event()
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()

    def run(self) -> None:
        """Answer requests until the process ends."""
        signals = {signal.SIGUSR1, signal.SIGUSR2}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        threading.Thread(target=self._accept, daemon=True).start()
        while True:  # noqa: WPS457
            if signal.sigwait(signals) == signal.SIGUSR2:
                self._reset_all()
                continue
            if self._chosen.deaf:
                self._await_accepted()
                self._listener.shutdown(socket.SHUT_RDWR)
                self._listener.close()
            self._may_end.set()

    def _accept(self) -> None:
        while True:  # noqa: WPS457
            try:
                sock = self._listener.accept()[0]
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _await_accepted(self) -> None:
        # A connection that waits to be accepted would be reset.
        while select.select([self._listener], [], [], 0)[0]:
            time.sleep(_POLL_S)

    def _serve(self, sock: socket.socket) -> None:
        try:
            headers = _read_headers(sock)
            if headers is not None:
                with self._lock:
                    self._open.add(sock)
                self._answer(sock, headers)
        except OSError:
            return
        finally:
            self._end_answer(sock)

    def _end_answer(self, sock: socket.socket) -> None:
        with self._lock:
            had_answer = sock in self._open
            self._open.discard(sock)
            is_last = had_answer and not self._open and self._may_end.is_set()
        if is_last and self._chosen.ending == Ending.exits:
            # The system closes the connection, which has no unread bytes.
            os._exit(0)
        sock.close()
        if is_last and self._chosen.ending == Ending.exits_later:
            time.sleep(_LATER_S)
            os._exit(0)

    def _answer(self, sock: socket.socket, headers: dict[str, str]) -> None:
        chosen = self._chosen
        is_stream = 'x-token-count' in headers
        first = int(headers.get('last-event-id', '0')) + 1
        pieces = [
            _make_piece(
                headers.get('x-attempt-id', ''), number, is_stream=is_stream
            )
            for number in range(first, chosen.pieces + 1)
        ]
        length = sum(map(len, pieces))
        sock.sendall(_make_head(chosen, headers, length, is_stream=is_stream))
        for number, piece in enumerate(pieces, first):
            if number == chosen.hold_before:
                _log('holds')
                self._may_end.wait()
                spread_ms = random.Random(repr(headers)).random()
                time.sleep(spread_ms * chosen.spread_ms / _MS)
            time.sleep(chosen.piece_ms / _MS)
            if chosen.framing == Framing.chunks:
                piece = b'%x\r\n%b\r\n' % (len(piece), piece)
            sock.sendall(piece)
        if chosen.framing == Framing.chunks:
            sock.sendall(b'0\r\n\r\n')

    def _reset_all(self) -> None:
        with self._lock:
            for sock in self._open:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                sock.close()
            self._open.clear()


def _log(event: str) -> None:
    sys.stdout.write(f'{event}\n')
    sys.stdout.flush()


def _read_headers(sock: socket.socket) -> dict[str, str] | None:
    received = b''
    while _HEAD_END not in received:
        more = sock.recv(_READ_BYTES)
        if not more:
            return None
        received += more
    head = received.partition(_HEAD_END)[0].decode('latin-1')
    first, *rest = head.split('\r\n')
    if _OWN_PATH in first:
        # It keeps no prompts that a gateway may ask for.
        sock.sendall(_NOT_FOUND)
        return None
    lines = (line.partition(':') for line in rest)
    return {name.lower(): text.strip() for name, _colon, text in lines}


def _make_head(
    chosen: argparse.Namespace,
    headers: dict[str, str],
    length: int,
    *,
    is_stream: bool,
) -> bytes:
    call_id = headers.get('x-attempt-id', '')
    kind = 'text/event-stream' if is_stream else 'text/plain'
    lines = [
        'HTTP/1.1 200 OK',
        f'X-Attempt-Id: {call_id}',
        f'X-Response-Seal: seal.{chosen.name}',
        f'Content-Type: {kind}',
        'Connection: close',
    ]
    if chosen.framing == Framing.length:
        lines.append(f'Content-Length: {length}')
    elif chosen.framing == Framing.chunks:
        lines.append('Transfer-Encoding: chunked')
    return '\r\n'.join([*lines, '', '']).encode()


def _make_piece(call_id: str, number: int, *, is_stream: bool) -> bytes:
    if is_stream:
        return f'id: {number}\ndata: {call_id} {number} v1\n\n'.encode()
    return f'{number} {call_id}\n'.encode()


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description='An endpoint that ends.')
    parser.add_argument('--name', default='endpoint')
    parser.add_argument('--framing', type=Framing, default=Framing.none)
    parser.add_argument('--ending', type=Ending, default=Ending.stays)
    parser.add_argument('--deaf', action='store_true')
    parser.add_argument('--port', type=int, required=True)
    for name, usual in _NUMBERS.items():
        parser.add_argument(name, type=int, default=usual)
    return parser.parse_args()


def main() -> None:
    """Run the stand-in until it ends."""
    EndingEndpoint(_read_options()).run()


if __name__ == '__main__':
    main()
