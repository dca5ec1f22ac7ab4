"""Reads what the platform's store answers, each object by itself.

Another writer may have left anything in an object's place; the objects beside
it hold.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Result, Success

from wingfall.errors import PlatformError
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
from wingfall.platform.lenient_json import ignore_replaced, parse_json

if TYPE_CHECKING:
    from collections.abc import Callable

# Stand for what an object says, which no reader of a kind takes for more than a
# text; None would say that it is gone.
_NO_REVISION: Final = 'the object has no revision'
_NO_SPEC: Final = 'the object has no spec'


def parse_answer(
    body: bytes | bytearray,
    note_replaced: Callable[[], None] = ignore_replaced,
) -> Result[Any, PlatformError]:
    """Parse an answer.

    :param body: its bytes.
    :param note_replaced: called if a value was replaced.
    :returns: its JSON, or a failure if it is none even with single values
        replaced.
    """
    try:
        return Success(parse_json(body, note_replaced))
    except ValueError as error:
        return _unreadable(str(error))


def read_page(body: Any) -> Result[tuple[StoreResponse, bool], PlatformError]:
    """Read a page of a list.

    :param body: the answer's JSON.
    :returns: the objects that have a name, and whether more follow; a failure
        if it is no list at all.
    """
    if not _is_answer(body, 'items'):
        return _unreadable('not a list')
    found = [_read_object(raw, body['at'], gone=False) for raw in body['items']]
    return Success((_make_reading(found, body['at']), bool(body.get('more'))))


def read_changes(body: Any) -> Result[StoreResponse, PlatformError]:
    """Read what a watch tells.

    :param body: the answer's JSON.
    :returns: the changes of objects that have a name, or a failure if they are
        no changes at all.
    """
    if not _is_answer(body, 'events'):
        return _unreadable('not changes')
    events = [raw if isinstance(raw, dict) else {} for raw in body['events']]
    found = [
        _read_object(
            each.get('object'), body['at'], gone=bool(each.get('gone'))
        )
        for each in events
    ]
    return Success(_make_reading(found, body['at']))


def read_object(body: Any) -> Result[StoredObject, PlatformError]:
    """Read the answer to a call for a single object.

    :param body: the answer's JSON.
    :returns: the object, or a failure if it has no name and revision.
    """
    metadata = body.get('metadata') if isinstance(body, dict) else None
    revision = metadata.get('revision') if isinstance(metadata, dict) else None
    if not _is_whole(revision):
        return _unreadable('not an object')
    found = _read_object(body, revision, gone=False)
    return _unreadable('not an object') if found is None else Success(found)


def _unreadable(reason: str) -> Result[Any, PlatformError]:
    failure = PlatformError(status=http.HTTPStatus.OK, message=reason)
    return Failure(failure)


def _is_answer(body: Any, listed: str) -> bool:
    if not isinstance(body, dict):
        return False
    return isinstance(body.get(listed), list) and _is_whole(body.get('at'))


def _is_whole(given: Any) -> bool:
    # True and False are integers of this language, not of JSON.
    return isinstance(given, int) and not isinstance(given, bool)


def _make_reading(
    found: list[StoredObject | None],
    revision: int,
) -> StoreResponse:
    objects = [stored for stored in found if stored is not None]
    return StoreResponse(
        revision=revision,
        objects=objects,
        unnamed_count=len(found) - len(objects),
    )


def _read_object(raw: Any, at: int, *, gone: bool) -> StoredObject | None:
    metadata = raw.get('metadata') if isinstance(raw, dict) else None
    if not isinstance(metadata, dict):
        return None
    name = metadata.get('name')
    if not isinstance(name, str):
        return None
    revision = metadata.get('revision')
    leaving = gone or bool(metadata.get('deleting'))
    if _is_whole(revision):
        # A counter beyond the store's own would keep later changes out.
        revision = min(revision, at)
        spec = raw.get('spec')
    else:
        revision = at
        spec = _NO_REVISION
    if spec is None:
        spec = _NO_SPEC
    return StoredObject(
        name=name,
        revision=revision,
        spec=None if leaving else spec,
    )
