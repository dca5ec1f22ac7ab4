"""A stand-in for a plain service whose calls may not be repeated.

Any call to any path runs once, is written to the ledger under its
``X-Request-Id``, and answers what it was sent. ``POST /script`` sets
``{"delay_ms": N}``.
"""

from __future__ import annotations

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import hashlib
from typing import Any, Final, final

import bottle
import gevent
import orjson

from standins.serving import answer_json, parse_port, serve

_MS: Final = 1000
_ANY_METHOD: Final = ('GET', 'POST', 'PUT', 'DELETE')


@final
class ServiceStandIn:
    """Keeps a ledger of its runs."""

    def __init__(self) -> None:
        """Start with an empty ledger."""
        self.runs: dict[str, list[dict[str, Any]]] = {}
        self.script: dict[str, int] = {}
        app = bottle.Bottle()
        app.post('/script', callback=self._set_script)
        app.get('/ledger', callback=self._ledger)
        app.route('/<path:path>', _ANY_METHOD, self._run)
        self.app = app

    def _run(self, path: str) -> bottle.HTTPResponse:
        request_id = bottle.request.get_header('X-Request-Id', 'none')
        runs = self.runs.setdefault(request_id, [])
        run: dict[str, Any] = {
            'marker': bottle.request.get_header('X-Marker', ''),
            'whole': False,
            'sha256': '',
        }
        runs.append(run)
        gevent.sleep(self.script.get('delay_ms', 0) / _MS)
        answer = answer_json(
            {
                'request_id': request_id,
                'method': bottle.request.method,
                'path': f'/{path}',
                'query': bottle.request.query_string,
                'body': bottle.request.body.read().decode(errors='replace'),
                'run': len(runs),
            }
        )
        digest = hashlib.sha256(answer.body).hexdigest()
        run.update(whole=True, sha256=digest)
        return answer

    def _set_script(self) -> bottle.HTTPResponse:
        self.script = orjson.loads(bottle.request.body.read())
        return answer_json(self.script)

    def _ledger(self) -> bottle.HTTPResponse:
        return answer_json(self.runs)


if __name__ == '__main__':
    serve(ServiceStandIn().app, parse_port('The plain service stand-in.'))
