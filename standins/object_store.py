"""A stand-in for the store of the users' platform.

Objects by kind and name with one counter of revisions, lists by page and
watches that wait. ``POST /script`` sets ``{"status": N, "delay_ms": N,
"page": N}``: a status for all calls, how late it answers, how many objects a
page holds. ``{"forget": 1}`` forgets the history, so that a watch from before
gets 410. ``{"lose_answers": N}`` lets writes take effect whose answers never
come, ``{"deadline_ms": N}`` has them take effect so much later.
"""

from __future__ import annotations

from gevent import monkey

if __name__ == '__main__':
    monkey.patch_all()

import socket
from typing import Any, Final, final

import bottle
import gevent
import orjson
from gevent.event import Event

from standins.serving import answer_json, parse_port, serve
from wingfall.http_server import SOCKET_KEY

_CONFLICT: Final = 409
_GONE: Final = 410
_NOT_FOUND: Final = 404
_MS: Final = 1000
_PAGE: Final = 500


@final
class ObjectStoreStandIn:
    """Objects in memory, each change with the next revision."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any]]] = []
        self.oldest = 1
        self.calls = 0
        self.script: dict[str, int] = {}
        # Status of all writes, 0 if they are taken.
        self.refused_writes = 0
        # Bytes that are replaced in each answer, so that it can be no JSON.
        self.replaced: dict[bytes, bytes] = {}
        self._changed = Event()
        app = bottle.Bottle()
        app.post('/script', callback=self._set_script)
        app.get('/wingfall/objects/<kind>', callback=self._read)
        app.post('/wingfall/objects/<kind>', callback=self._create)
        app.get('/wingfall/objects/<kind>/<name>', callback=self._read_one)
        app.put('/wingfall/objects/<kind>/<name>', callback=self._replace)
        app.delete('/wingfall/objects/<kind>/<name>', callback=self._remove)
        self.app = app

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object.

        :param kind: its kind.
        :param name: its name.
        :param spec: what it says.
        """
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'made': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._note(kind, {'gone': False, 'object': stored})

    def put_raw(self, kind: str, name: str, stored: Any) -> None:
        """Write what another writer left in the place of an object.

        :param kind: its kind.
        :param name: the name under which it is listed.
        :param stored: all of it, of any type.
        """
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = stored
        self._note(kind, {'gone': False, 'object': stored})

    def delete(self, kind: str, name: str) -> None:
        """Remove an object.

        :param kind: its kind.
        :param name: its name.
        """
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._note(kind, {'gone': True, 'object': stored})

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        self.events.append((self.revision, kind, event))
        changed = self._changed
        self._changed = Event()
        changed.set()

    def _set_script(self) -> bottle.HTTPResponse:
        self.script = orjson.loads(bottle.request.body.read())
        if self.script.pop('forget', 0):
            self.oldest = self.revision + 1
        return answer_json(self.script)

    def _read(self, kind: str) -> bottle.HTTPResponse:
        self._behave()
        query = bottle.request.query
        if query.get('watch'):
            wait_ms = int(query.get('wait_ms', 0))
            return self._watch(kind, int(query['watch']), wait_ms)
        return self._list(kind, query.get('since_rev', ''))

    def _create(self, kind: str) -> bottle.HTTPResponse:
        return self._write(kind, None)

    def _replace(self, kind: str, name: str) -> bottle.HTTPResponse:
        return self._write(kind, name)

    def _remove(self, kind: str, name: str) -> bottle.HTTPResponse:
        self._behave()
        stored = self.objects.get(kind, {}).get(name)
        if stored is None:
            return answer_json({}, _NOT_FOUND)
        wanted = bottle.request.query.get('revision')
        if wanted and int(wanted) != stored['metadata']['revision']:
            return answer_json(stored, _CONFLICT)
        self.delete(kind, name)
        return answer_json(stored)

    def _read_one(self, kind: str, name: str) -> bottle.HTTPResponse:
        self._behave()
        known = self.objects.get(kind, {})
        if name not in known:
            return answer_json({}, _NOT_FOUND)
        return self._answer(known[name])

    def _write(self, kind: str, name: str | None) -> bottle.HTTPResponse:
        self._behave()
        if self.refused_writes:
            return answer_json({}, self.refused_writes)
        raw = orjson.loads(bottle.request.body.read())
        if self.script.get('lose_answers', 0) > 0:
            self.script['lose_answers'] -= 1
            gevent.sleep(self.script.get('late_ms', 0) / _MS)
            self._apply(kind, name, raw)
            bottle.request.environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            return answer_json({})
        return self._apply(kind, name, raw)

    def _apply(
        self,
        kind: str,
        name: str | None,
        raw: dict[str, Any],
    ) -> bottle.HTTPResponse:
        wanted = raw['metadata'].get('revision')
        name = name or raw['metadata']['name']
        stored = self.objects.get(kind, {}).get(name)
        known = stored['metadata']['revision'] if stored else None
        if known != wanted:
            return answer_json(stored or {}, _CONFLICT)
        if stored is None or stored['spec'] != raw['spec']:
            self.put(kind, name, raw['spec'])
        return answer_json(self.objects[kind][name])

    def _behave(self) -> None:
        self.calls += 1
        gevent.sleep(self.script.get('delay_ms', 0) / _MS)
        if 'status' in self.script:
            raise answer_json({}, self.script['status'])

    def _list(self, kind: str, since: str) -> bottle.HTTPResponse:
        page = self.script.get('page', _PAGE)
        names = sorted(self.objects.get(kind, {}))
        later = [name for name in names if name > since]
        listed = [self.objects[kind][name] for name in later[:page]]
        body = {
            'items': listed,
            'more': len(later) > page,
            'at': self.revision,
        }
        return self._answer(body)

    def _watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
    ) -> bottle.HTTPResponse:
        if revision < self.oldest - 1:
            return answer_json({}, _GONE)
        deadline = gevent.Timeout.start_new(wait_ms / _MS)
        try:
            while not self._after(kind, revision):
                self._changed.wait()
        except gevent.Timeout as timeout:
            if timeout is not deadline:
                raise
        finally:
            deadline.close()
        events = self._after(kind, revision)
        return self._answer({'events': events, 'at': self.revision})

    def _answer(self, body: dict[str, Any]) -> bottle.HTTPResponse:
        answer = answer_json(body)
        for known, replacement in self.replaced.items():
            answer.body = answer.body.replace(known, replacement)
        return answer

    def _after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for at, changed_kind, event in self.events
            if at > revision and changed_kind == kind
        ]


if __name__ == '__main__':
    serve(ObjectStoreStandIn().app, parse_port('The object store stand-in.'))
