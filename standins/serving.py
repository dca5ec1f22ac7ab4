"""What the stand-ins share: their command line and their server."""

from __future__ import annotations

import argparse
from typing import Final

import bottle
import orjson
from gevent.event import Event

from wingfall.http_server import HttpServer, ServerLimits

_HOUR_MS: Final = 3_600_000
# Callers are known; nothing of theirs is cut.
_LIMITS: Final = ServerLimits(
    connections=10_000, head_ms=_HOUR_MS, crowded_ms=_HOUR_MS, idle_ms=_HOUR_MS
)


def parse_port(about: str) -> int:
    """Read ``--port`` from the command line.

    :param about: what the program is.
    :returns: the port, 0 for a free one.
    """
    parser = argparse.ArgumentParser(description=about)
    parser.add_argument('--port', type=int, default=0)
    return int(parser.parse_args().port)


def serve(app: bottle.Bottle, port: int) -> None:
    """Serve on loopback until the process is ended.

    :param app: the application.
    :param port: port, 0 for a free one.
    """
    start_server(app, port)
    Event().wait()


def start_server(app: bottle.Bottle, port: int = 0) -> HttpServer:
    """Start to serve on loopback.

    :param app: the application.
    :param port: port, 0 for a free one.
    :returns: the running server.
    """
    address = argparse.Namespace(host='127.0.0.1', port=port)
    server = HttpServer(app=app, address=address, limits=_LIMITS)
    server.start()
    return server


def answer_json(body: object, status: int = 200) -> bottle.HTTPResponse:
    """Make a JSON response.

    :param body: what to send.
    :param status: HTTP status.
    :returns: the response.
    """
    headers = {'Content-Type': 'application/json'}
    return bottle.HTTPResponse(orjson.dumps(body), status, headers)
