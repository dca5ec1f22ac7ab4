"""The baseline of ``tools.forward``: msgpack in, HTTP chunks out, no more.

Each caller that connects is a stream, numbered in the order of connecting;
the source sends ``[number, body]``, and an empty body ends a stream.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import socket
import sys
from typing import Final

import gevent
import msgpack
from gevent.queue import SimpleQueue
from gevent.server import StreamServer

from tools.fleet import HOST
from wingfall.wire.connection import set_no_delay

_READ_BYTES: Final = 65_536
_HEAD: Final = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNK: Final = b'%x\r\n%s\r\n'

_mailboxes: list[SimpleQueue] = []


def _serve_caller(sock: socket.socket, _peer: object) -> None:
    set_no_delay(sock)
    mailbox: SimpleQueue = SimpleQueue()
    _mailboxes.append(mailbox)
    sock.recv(_READ_BYTES)
    sock.sendall(_HEAD)
    body = mailbox.get()
    while body:
        bodies = [body]
        while not mailbox.empty():
            bodies.append(mailbox.get())
        joined = b''.join(bodies)
        sock.sendall(_CHUNK % (len(joined), joined))
        body = bodies[-1] and mailbox.get()
    sock.sendall(_CHUNK % (0, b''))
    sock.close()


def _serve_source(sock: socket.socket, _peer: object) -> None:
    set_no_delay(sock)
    unpacker = msgpack.Unpacker()
    while received := sock.recv(_READ_BYTES):
        unpacker.feed(received)
        for number, body in unpacker:
            _mailboxes[number].put(body)


def main() -> None:
    """Run the forwarder on the two ports of the command line."""
    callers, source = (int(port) for port in sys.argv[1:])
    StreamServer((HOST, callers), _serve_caller, backlog=512).start()
    StreamServer((HOST, source), _serve_source).start()
    gevent.get_hub().join()


if __name__ == '__main__':
    main()
