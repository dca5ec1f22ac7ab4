# flake8: noqa
"""A plain server of the platform that may answer before it reads a long body.

Standard library only. It answers ``X-Attempt-Id`` back, serves one request at a
time on a connection and keeps connections. With ``--early 1`` its link is slow
for long requests, and it answers them (409, an error of its own) two seconds
after their head, before their body has come in; it holds the connection open
and reads the rest, as RULES lets a server do. Everything that it reads is judged where it
is read, and told as a JSON line on standard output.
"""

import argparse
import json
import socket
import sys
import threading
import time

_LONG = 65_536
_WORK_S = 2.0
# Bytes a turn of a slow reader: 5 Mbit a second, the slowest link of a sheet.
_SLOW_BYTES = 62_500
_TURN_S = 0.1
_WINDOW = 65_536
_lock = threading.Lock()


def tell(**fields) -> None:
    with _lock:
        print(json.dumps({'at_s': time.monotonic(), **fields}), flush=True)


def pattern(call_id: str, start: int, length: int) -> bytes:
    """Return a piece of the body that the client sends under an id."""
    word = f'{call_id}.'.encode()
    first = start % len(word)
    return (word * (length // len(word) + 2))[first : first + length]


class Connection:
    def __init__(self, sock: socket.socket, options) -> None:
        self._sock = sock
        self._options = options
        self._buffer = b''
        # Bytes of the present body that were read, and whether slowly.
        self._offset = 0
        self._slow = False
        self.name = f'{options.name}:{sock.getpeername()[1]}'

    def serve(self) -> None:
        try:
            while self._serve_one():
                pass
        except OSError as error:
            tell(
                server=self._options.name, connection=self.name, end=str(error)
            )
        finally:
            self._sock.close()

    def _receive(self) -> bool:
        received = self._sock.recv(_SLOW_BYTES if self._slow else _WINDOW)
        self._buffer += received
        return bool(received)

    def _serve_one(self) -> bool:
        while b'\r\n\r\n' not in self._buffer:
            if not self._receive():
                return False
        head, self._buffer = self._buffer.split(b'\r\n\r\n', 1)
        first, *lines = head.decode('latin-1').split('\r\n')
        method, target, _version = first.split(' ')
        headers = {}
        for line in lines:
            name, _colon, text = line.partition(':')
            headers[name.lower()] = text.strip()
        call_id = headers.get('x-attempt-id', '')
        length = int(headers.get('content-length', '0'))
        tell(
            server=self._options.name,
            connection=self.name,
            arrived=call_id,
            request=first,
            length=length,
        )
        self._offset = 0
        self._slow = bool(self._options.early) and length > _LONG
        if headers.get('x-expect-instance') != self._options.name:
            if not self._read_body(call_id, length, float('inf')):
                return False
            self._answer(421, call_id, b'', ran=False)
            return True
        if self._slow:
            until_s = time.monotonic() + _WORK_S
            if not self._read_body(call_id, length, until_s):
                return False
            tell(
                server=self._options.name,
                connection=self.name,
                answered_early=call_id,
                unread=length - self._offset,
            )
            self._answer(409, call_id, b'taken', ran=True)
            return self._read_body(call_id, length, float('inf'))
        if not self._read_body(call_id, length, float('inf')):
            return False
        tell(
            server=self._options.name,
            connection=self.name,
            ran=call_id,
            target=target,
        )
        time.sleep(0.03)
        self._answer(200, call_id, f'{call_id} {target}'.encode(), ran=True)
        return True

    def _read_body(self, call_id: str, length: int, until_s: float) -> bool:
        """Read a body, at most until a time, and compare it with what was sent.

        Returns False if the connection ended or the bytes were other ones.
        """
        while self._offset < length and time.monotonic() < until_s:
            if not self._buffer and not self._receive():
                tell(
                    server=self._options.name,
                    connection=self.name,
                    closed_within_body=call_id,
                    read=self._offset,
                    length=length,
                )
                return False
            piece = self._buffer[: length - self._offset]
            self._buffer = self._buffer[len(piece) :]
            wanted = pattern(call_id, self._offset, len(piece))
            if piece != wanted:
                wrong = next(
                    place
                    for place, pair in enumerate(zip(piece, wanted))
                    if pair[0] != pair[1]
                )
                tell(
                    server=self._options.name,
                    connection=self.name,
                    other_bytes_in_body=call_id,
                    offset=self._offset + wrong,
                    length=length,
                    found=piece[wrong : wrong + 400].decode('latin-1'),
                )
                return False
            self._offset += len(piece)
            if self._slow:
                time.sleep(_TURN_S)
        return True

    def _answer(self, status: int, call_id: str, body: bytes, *, ran) -> None:
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Attempt-Id: {call_id}',
            'Keep-Alive: timeout=5',
            f'Content-Length: {len(body)}',
        ]
        if ran:
            lines.append(f'X-Response-Seal: seal.{self._options.name}')
        else:
            lines.append('X-Not-Executed: 1')
        encoded = '\r\n'.join([*lines, '', '']).encode() + body
        self._sock.sendall(encoded)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--name')
    parser.add_argument('--port', type=int)
    parser.add_argument('--early', type=int)
    options = parser.parse_args()
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Links of the platform have small windows.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW)
    listener.bind(('127.0.0.1', options.port))
    listener.listen(100)
    while True:
        sock, _peer = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, options)
        threading.Thread(target=connection.serve, daemon=True).start()


if __name__ == '__main__':
    sys.exit(main())
