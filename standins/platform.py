"""A stand-in for the platform: objects with versions, watches, a VM list.

``POST /script`` sets ``{"delay_ms": N, "down": bool, "lose_answers": N}``: how
late it answers, whether it answers 503, and how many writes take effect
without an answer that arrives. ``"forget": 1`` forgets the changes so far, so
that a watch from before them is too old.
"""

from __future__ import annotations

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import socket
from typing import TYPE_CHECKING, Any, Final, final

import bottle
import gevent
import orjson
from gevent.event import Event

from standins.serving import answer_json, parse_port, serve
from wingfall.http_server import SOCKET_KEY

if TYPE_CHECKING:
    from collections.abc import Iterator

_CONFLICT: Final = 409
_GONE: Final = 410
_NOT_FOUND: Final = 404
_DOWN: Final = 503
_MS: Final = 1000
_HISTORY: Final = 1000
_ROOT: Final = '/apis/wingfall/v1/objects'


@final
class PlatformStandIn:
    """Objects in memory, each change with the next version."""

    def __init__(self, *, history: int = _HISTORY) -> None:
        """Start empty.

        :param history: changes that a watch can start before.
        """
        self.version = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.calls = 0
        self.script: dict[str, int] = {}
        self.vms: list[dict[str, Any]] = []
        self._history = history
        self._changed = Event()
        self.app = self._make_app()

    def put(self, raw: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Take a conditional write.

        :param raw: the object.
        :returns: status and answer.
        """
        metadata = raw['metadata']
        key = (raw['kind'], metadata['name'])
        held = self.objects.get(key)
        held_version = held['metadata']['resourceVersion'] if held else None
        if metadata.get('resourceVersion') != held_version:
            return _CONFLICT, {'code': _CONFLICT, 'message': 'conflict'}
        stored = {
            **raw,
            'metadata': {**metadata, 'resourceVersion': str(self.version + 1)},
        }
        self.objects[key] = stored
        self._record('MODIFIED' if held else 'ADDED', stored)
        return 200, stored

    def delete(self, kind: str, name: str) -> bool:
        """Delete an object.

        :param kind: its kind.
        :param name: its name.
        :returns: whether it was there.
        """
        held = self.objects.pop((kind, name), None)
        if held is None:
            return False
        gone = {**held, 'metadata': dict(held['metadata'])}
        gone['metadata']['resourceVersion'] = str(self.version + 1)
        self._record('DELETED', gone)
        return True

    def _record(self, kind: str, raw: dict[str, Any]) -> None:
        self.version += 1
        self.changes.append({'type': kind, 'object': raw})
        self._changed.set()
        self._changed.clear()

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.get(_ROOT, callback=self._list_or_watch)
        app.get(f'{_ROOT}/<kind>/<name>', callback=self._get)
        app.put(f'{_ROOT}/<kind>/<name>', callback=self._put)
        app.delete(f'{_ROOT}/<kind>/<name>', callback=self._delete)
        app.get('/apis/wingfall/v1/vms', callback=self._list_vms)
        app.post('/script', callback=self._set_script)
        app.get('/ledger', callback=self._ledger)
        return app

    def _behave(self) -> None:
        self.calls += 1
        gevent.sleep(self.script.get('delay_ms', 0) / _MS)
        if self.script.get('down'):
            raise bottle.HTTPResponse('down', _DOWN)

    def _list_or_watch(self) -> Any:
        self._behave()
        query = bottle.request.query
        if query.get('watch'):
            return self._watch(
                int(query['resourceVersion']),
                int(query['timeoutMs']) / _MS,
            )
        return answer_json(
            {
                'metadata': {'resourceVersion': str(self.version)},
                'items': list(self.objects.values()),
            }
        )

    def _watch(self, version: int, wait_s: float) -> Iterator[bytes]:
        oldest = self.version - min(len(self.changes), self._history)
        if version < oldest:
            gone = {'code': _GONE, 'message': 'version too old'}
            yield _line({'type': 'ERROR', 'object': gone})
            return
        with gevent.Timeout(wait_s, False):
            while not self.script.get('down'):
                seen = self.version
                missed = self.changes[len(self.changes) - (seen - version) :]
                for change in missed if seen > version else ():
                    yield _line(change)
                version = seen
                if seen == self.version:
                    self._changed.wait()

    def _get(self, kind: str, name: str) -> bottle.HTTPResponse:
        self._behave()
        held = self.objects.get((kind, name))
        if held is None:
            return answer_json({'code': _NOT_FOUND}, _NOT_FOUND)
        return answer_json(held)

    def _put(self, kind: str, name: str) -> bottle.HTTPResponse:
        self._behave()
        status, answer = self.put(orjson.loads(bottle.request.body.read()))
        self._lose_answer()
        return answer_json(answer, status)

    def _delete(self, kind: str, name: str) -> bottle.HTTPResponse:
        self._behave()
        wanted = bottle.request.query.get('resourceVersion')
        held = self.objects.get((kind, name))
        if held and wanted not in {None, held['metadata']['resourceVersion']}:
            return answer_json({'code': _CONFLICT}, _CONFLICT)
        status = 200 if self.delete(kind, name) else _NOT_FOUND
        self._lose_answer()
        return answer_json({}, status)

    def _lose_answer(self) -> None:
        if self.script.get('lose_answers', 0) > 0:
            self.script['lose_answers'] -= 1
            sock = bottle.request.environ[SOCKET_KEY]
            sock.shutdown(socket.SHUT_RDWR)

    def _list_vms(self) -> bottle.HTTPResponse:
        self._behave()
        return answer_json({'items': self.vms})

    def _set_script(self) -> bottle.HTTPResponse:
        self.script = orjson.loads(bottle.request.body.read())
        if self.script.pop('forget', 0):
            self.changes.clear()
        self._changed.set()
        self._changed.clear()
        return answer_json(self.script)

    def _ledger(self) -> bottle.HTTPResponse:
        return answer_json({'calls': self.calls, 'version': self.version})


def _line(event: dict[str, Any]) -> bytes:
    return orjson.dumps(event, option=orjson.OPT_APPEND_NEWLINE)


if __name__ == '__main__':
    serve(PlatformStandIn().app, parse_port('The platform stand-in.'))
