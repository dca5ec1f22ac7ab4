"""The platform's object store over HTTP: lists, watches, single objects.

Owns the connections to it; each call is counted, each failure is a value.
"""

from __future__ import annotations

import http
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, final

import orjson
import urllib3
from returns.result import Failure, Result, Success

from wingfall.answer_head import make_pool_manager
from wingfall.clock import MS_PER_S
from wingfall.errors import PlatformError
from wingfall.gateway.model.object_store import StoreResponse
from wingfall.log import log_event
from wingfall.platform.long_answers import LongAnswers, Turn
from wingfall.platform.store_answers import (
    parse_answer,
    read_changes,
    read_object,
    read_page,
)
from wingfall.platform.store_body import Allowance, read_body
from wingfall.tcp import silence_options

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wingfall.gateway.model.object_store import StoredObject
    from wingfall.metrics import Metrics

_JSON_HEADERS: Final = MappingProxyType({'Content-Type': 'application/json'})
_DONE: Final = frozenset((http.HTTPStatus.OK, http.HTTPStatus.CREATED))
_OBJECTS: Final = '/wingfall/objects'
# Milliseconds by which the answer of a watch may be late.
_SLACK_MS: Final = 1000
# A watch that doesn't wait; the store takes whole milliseconds from 1 on.
_BRIEF_MS: Final = 1
# Characters of an error's text that are logged.
_MAX_MESSAGE: Final = 200
# Maximum bytes of an answer: many changes of the longest objects.
_MAX_ANSWER_BYTES: Final = 33_554_432
# Maximum bytes of all pages of a list.
_MAX_LIST_BYTES: Final = 16_777_216
# Maximum bytes of the answer to a call for a single object.
_MAX_OBJECT_BYTES: Final = 4_194_304
# Probes in a row without an answer that end a connection. A store that is lost
# is noticed as soon as possible.
_UNANSWERED_PROBES: Final = 1


def _pass_over() -> None:
    """Take no note of the progress of a short answer."""


@final
class HttpObjectStore:
    """Reads and writes the objects of one kind."""

    __slots__ = (
        '_kind',
        '_long_answers',
        '_metrics',
        '_pool',
        '_timeout_ms',
        '_url',
        '_wait_ms',
    )

    def __init__(
        self,
        *,
        address: str,
        kind: str,
        timeout_ms: int,
        wait_ms: int,
        metrics: Metrics,
        long_answers: LongAnswers | None = None,
    ) -> None:
        """Set up the client; no call is made yet.

        :param address: ``host:port`` of the store.
        :param kind: the kind of object.
        :param timeout_ms: bound of a short call.
        :param wait_ms: how long a watch waits for changes.
        :param metrics: where calls are counted.
        :param long_answers: shared by all that read the store, None if it is
            read by this client alone.
        """
        self._long_answers = long_answers or LongAnswers()
        self._url = f'http://{address}{_OBJECTS}/{kind}'
        self._kind = kind
        self._timeout_ms = timeout_ms
        self._wait_ms = wait_ms
        self._metrics = metrics
        self._pool = make_pool_manager(
            retries=False,
            socket_options=silence_options(_UNANSWERED_PROBES),
        )

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreResponse, PlatformError]:
        """Read all objects of the kind, page by page.

        :param progress: called as the answers come in.
        :returns: the objects and the revision they stand at, or the failure.
        """
        objects: list[StoredObject] = []
        names: set[str] = set()
        allowance = Allowance(
            max_bytes=_MAX_LIST_BYTES, wait_ms=self._timeout_ms
        )
        query: dict[str, str] = {}
        revision: int | None = None
        while True:
            page = self._call(
                query, self._timeout_ms, progress, allowance
            ).bind(read_page)
            if not isinstance(page, Success):
                return page
            reading, more = page.unwrap()
            self._note_nameless(reading)
            objects.extend(reading.objects)
            known_count = len(names)
            names.update(each.name for each in reading.objects)
            # What changed while later pages were read comes by the watch.
            revision = reading.revision if revision is None else revision
            if not more or not reading.objects:
                return Success(
                    StoreResponse(revision=revision, objects=objects),
                )
            if len(names) == known_count:
                return _fail_endless_list()
            query = {'since_rev': reading.objects[-1].name}

    def watch(
        self,
        revision: int,
        *,
        progress: Callable[[], None],
        brief: bool = False,
    ) -> Result[StoreResponse, PlatformError]:
        """Wait for changes after a revision.

        :param revision: up to where the changes are known.
        :param progress: called as the answer comes in.
        :param brief: whether to take what there is without waiting for more.
        :returns: the changes, none after the time of one watch.
        """
        wait_ms = _BRIEF_MS if brief else self._wait_ms
        query = {'watch': str(revision), 'wait_ms': str(wait_ms)}
        timeout_ms = self._timeout_ms if brief else wait_ms + _SLACK_MS
        allowance = Allowance(max_bytes=_MAX_ANSWER_BYTES, wait_ms=timeout_ms)
        changes = self._call(query, timeout_ms, progress, allowance).bind(
            read_changes
        )
        changes.map(self._note_nameless)
        return changes

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Read one object as it is now.

        :param name: its name.
        :returns: the object, None if there is none, or the failure.
        """
        answer = self._request('GET', f'{self._url}/{name}', self._timeout_ms)
        answer = answer.bind(read_object)
        if isinstance(answer, Success):
            return answer
        absent = answer.failure().status == http.HTTPStatus.NOT_FOUND
        return Success(None) if absent else answer

    def write(
        self,
        name: str,
        spec: Any,
        revision: int | None,
    ) -> Result[StoredObject, PlatformError]:
        """Make an object, or replace the one that has a revision.

        :param name: its name.
        :param spec: what it shall say, as JSON.
        :param revision: the object's revision, None if there is no object.
        :returns: the object as it stands now, or the failure; nothing was
            written only if that is a conflict.
        """
        metadata: dict[str, Any] = {'name': name}
        verb, url = 'POST', self._url
        if revision is not None:
            metadata['revision'] = revision
            verb, url = 'PUT', f'{self._url}/{name}'
        body = orjson.dumps({'metadata': metadata, 'spec': spec})
        written = self._request(verb, url, self._timeout_ms, body=body)
        return written.bind(read_object)

    def remove(self, name: str, revision: int) -> Result[None, PlatformError]:
        """Remove the object that has a revision.

        :param name: its name.
        :param revision: the object's revision.
        :returns: nothing, or the failure.
        """
        removed = self._request(
            'DELETE',
            f'{self._url}/{name}',
            self._timeout_ms,
            query={'revision': str(revision)},
        )
        return removed.map(lambda _answer: None)

    def _call(
        self,
        query: Mapping[str, str],
        timeout_ms: int,
        progress: Callable[[], None],
        allowance: Allowance,
    ) -> Result[Any, PlatformError]:
        return self._request(
            'GET',
            self._url,
            timeout_ms,
            query=query,
            progress=progress,
            allowance=allowance,
        )

    def _request(
        self,
        verb: str,
        url: str,
        timeout_ms: int,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        progress: Callable[[], None] = _pass_over,
        allowance: Allowance | None = None,
    ) -> Result[Any, PlatformError]:
        turn = Turn(self._long_answers)
        allowance = allowance or Allowance(
            max_bytes=_MAX_OBJECT_BYTES, wait_ms=timeout_ms
        )
        try:
            return self._exchange(
                verb,
                url,
                timeout_ms,
                query=query,
                body=body,
                progress=progress,
                allowance=allowance,
                turn=turn,
            )
        finally:
            turn.end()

    def _exchange(
        self,
        verb: str,
        url: str,
        timeout_ms: int,
        *,
        query: Mapping[str, str] | None,
        body: bytes | None,
        progress: Callable[[], None],
        allowance: Allowance,
        turn: Turn,
    ) -> Result[Any, PlatformError]:
        status = 0
        try:
            with allowance.bound_time():
                response = self._pool.request(
                    verb,
                    url,
                    fields=dict(query) if query else None,
                    body=body,
                    headers=_JSON_HEADERS if body else None,
                    timeout=urllib3.Timeout(
                        connect=self._timeout_ms / MS_PER_S,
                        read=timeout_ms / MS_PER_S,
                    ),
                    preload_content=False,
                )
            received = read_body(response, progress, allowance, turn)
            status = response.status
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(PlatformError(status=0, message=str(error)))
        finally:
            labels = {'verb': verb, 'status': str(status)}
            self._metrics.platform_calls.inc(labels)
        if status not in _DONE:
            text = received.decode(errors='replace')[:_MAX_MESSAGE]
            return Failure(PlatformError(status=status, message=text))
        return parse_answer(received, self._note_replaced)

    def _note_replaced(self) -> None:
        labels = {'part': 'store', 'reason': 'unreadable_values'}
        self._metrics.decisions.inc(labels)
        log_event(
            'store',
            'Values that can not be read were replaced.',
            kind=self._kind,
        )

    def _note_nameless(self, reading: StoreResponse) -> None:
        # Nothing can be done about them; a list tells of them each time.
        if not reading.unnamed_count:
            return
        labels = {'kind': self._kind, 'field': 'name'}
        self._metrics.objects_refused.add(labels, reading.unnamed_count)
        log_event(
            'store',
            'Objects without a name were left out.',
            kind=self._kind,
            objects=reading.unnamed_count,
            revision=reading.revision,
        )


def _fail_endless_list() -> Result[Any, PlatformError]:
    message = 'a page of a list names no other objects'
    return Failure(PlatformError(status=0, message=message))
