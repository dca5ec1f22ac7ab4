"""The admin port: health, readiness, metrics and status."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Any, Callable

import bottle
import orjson

if TYPE_CHECKING:
    from wingfall.metrics import Metrics


def make_admin_app(
    *,
    ready: Callable[[], str],
    status: Callable[[], dict[str, Any]],
    metrics: Metrics,
) -> bottle.Bottle:
    """Make the application of the admin port.

    :param ready: gives why the process is not ready, empty if it is.
    :param status: gives the state of the process as JSON.
    :param metrics: metrics to render.
    :returns: the application.
    """
    app = bottle.Bottle()

    def healthz() -> str:
        return 'ok\n'

    def readyz() -> bottle.HTTPResponse:
        reason = ready()
        code = http.HTTPStatus.OK
        if reason:
            code = http.HTTPStatus.SERVICE_UNAVAILABLE
        return bottle.HTTPResponse(f'{reason or "ready"}\n', code)

    def render_metrics() -> bytes:
        bottle.response.content_type = 'text/plain; version=0.0.4'
        return metrics.render()

    def show_status() -> bytes:
        bottle.response.content_type = 'application/json'
        return orjson.dumps(status(), option=orjson.OPT_INDENT_2)

    app.get('/healthz', callback=healthz)
    app.get('/readyz', callback=readyz)
    app.get('/metrics', callback=render_metrics)
    app.get('/status', callback=show_status)
    return app
