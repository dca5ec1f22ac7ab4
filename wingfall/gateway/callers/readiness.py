"""Readiness check for the load balancer.

Holds no state; the application reports why the gateway is not ready.
"""

from __future__ import annotations

import http
from typing import Callable

import bottle


def make_readiness_app(
    *,
    path: str,
    not_ready_reason: Callable[[], str],
) -> bottle.Bottle:
    """Create the WSGI application of the readiness port.

    :param path: path that the load balancer requests.
    :param not_ready_reason: returns why the gateway isn't ready, or ''.
    :returns: the application.
    """
    app = bottle.Bottle()

    def show_readiness() -> bottle.HTTPResponse:
        reason = not_ready_reason()
        if reason:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        else:
            status = http.HTTPStatus.OK
        return bottle.HTTPResponse(f'{reason or "ready"}\n', status.value)

    app.get(path, callback=show_readiness)
    return app
