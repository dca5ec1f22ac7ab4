"""Answers the load balancer's question whether this gateway is ready.

Owns nothing; the application tells why it is not ready.
"""

from __future__ import annotations

import http
from typing import Callable

import bottle


def make_ready_app(
    *,
    path: str,
    not_ready: Callable[[], str],
) -> bottle.Bottle:
    """Make the application of the readiness port.

    :param path: the path that the balancer asks.
    :param not_ready: gives why the gateway isn't ready, empty if it is.
    :returns: the application.
    """
    app = bottle.Bottle()

    def show_ready() -> bottle.HTTPResponse:
        reason = not_ready()
        if reason:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        else:
            status = http.HTTPStatus.OK
        return bottle.HTTPResponse(f'{reason or "ready"}\n', status.value)

    app.get(path, callback=show_ready)
    return app
