"""Changes of objects by operators: conditional, and sure of their outcome."""

from __future__ import annotations

import enum
import http
from typing import TYPE_CHECKING, Any, Callable, final

from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from wingfall.errors import PlatformError
    from wingfall.object_api.client import HttpObjectApi


class Change(enum.StrEnum):
    """What a confirmed change did."""

    created = 'created'
    changed = 'changed'
    unchanged = 'unchanged'
    deleted = 'deleted'


@final
class Confirmed:
    """A change that the platform is known to have accepted."""

    __slots__ = ('change', 'version')

    def __init__(self, *, change: Change, version: str) -> None:
        """Confirm a change.

        :param change: what it did.
        :param version: version of the object after it.
        """
        self.change = change
        self.version = version


def apply_object(
    api: HttpObjectApi,
    wanted: dict[str, Any],
) -> Result[Confirmed, str]:
    """Create or replace an object, unless another change comes between.

    :param api: the platform.
    :param wanted: the object without a version.
    :returns: the confirmed change, or why there is none.
    """
    kind, name = wanted['kind'], wanted['metadata']['name']
    return _read(api, kind, name).bind(
        lambda held: _replace(api, held, wanted),
    )


def edit_object(
    api: HttpObjectApi,
    kind: str,
    name: str,
    edit: Callable[[dict[str, Any]], dict[str, Any]],
) -> Result[Confirmed, str]:
    """Change an object that is there, unless another change comes between.

    :param api: the platform.
    :param kind: its kind.
    :param name: its name.
    :param edit: makes the wanted object of the one that was read.
    :returns: the confirmed change, or why there is none.
    """
    return _read(api, kind, name).bind(
        lambda held: (
            Failure(f'{kind} {name} does not exist')
            if held is None
            else _replace(api, held, edit(held))
        ),
    )


def delete_object(
    api: HttpObjectApi,
    kind: str,
    name: str,
) -> Result[Confirmed, str]:
    """Delete an object, unless another change comes between.

    :param api: the platform.
    :param kind: its kind.
    :param name: its name.
    :returns: the confirmed deletion, or why there is none.
    """
    return _read(api, kind, name).bind(
        lambda held: (
            Failure(f'{kind} {name} does not exist')
            if held is None
            else _delete(api, kind, name, _version(held))
        ),
    )


def _read(
    api: HttpObjectApi,
    kind: str,
    name: str,
) -> Result[dict[str, Any] | None, str]:
    found = api.read(kind, name)
    if isinstance(found, Success):
        return Success(found.unwrap())
    error = found.failure()
    if error.status == http.HTTPStatus.NOT_FOUND:
        return Success(None)
    return Failure(f'{kind} {name} was not read: {error}')


def _replace(
    api: HttpObjectApi,
    held: dict[str, Any] | None,
    wanted: dict[str, Any],
) -> Result[Confirmed, str]:
    if held is not None and _same(held, wanted):
        return Success(
            Confirmed(change=Change.unchanged, version=_version(held)),
        )
    metadata = {**wanted['metadata']}
    metadata.pop('resourceVersion', None)
    if held is not None:
        metadata['resourceVersion'] = _version(held)
    written = api.write({**wanted, 'metadata': metadata})
    change = Change.created if held is None else Change.changed
    if isinstance(written, Success):
        version = _version(written.unwrap())
        return Success(Confirmed(change=change, version=version))
    return _resolve(api, wanted, change, written.failure())


def _resolve(
    api: HttpObjectApi,
    wanted: dict[str, Any],
    change: Change,
    error: PlatformError,
) -> Result[Confirmed, str]:
    name = f'{wanted["kind"]} {wanted["metadata"]["name"]}'
    if error.status == http.HTTPStatus.CONFLICT:
        return Failure(f'{name}: conflict, another change came first')
    if error.status:
        return Failure(f'{name} was refused: {error}')
    # The answer was lost; the write may have taken effect.
    read = _read(api, wanted['kind'], wanted['metadata']['name'])
    held = read.value_or(None)
    if held is not None and _same(held, wanted):
        return Success(Confirmed(change=change, version=_version(held)))
    if isinstance(read, Success):
        return Failure(f'{name} was not changed: {error}')
    return Failure(f'{name}: not confirmed, it may have changed: {error}')


def _delete(
    api: HttpObjectApi,
    kind: str,
    name: str,
    version: str,
) -> Result[Confirmed, str]:
    deleted = api.delete(kind, name, version)
    confirmed = Confirmed(change=Change.deleted, version=version)
    if isinstance(deleted, Success):
        return Success(confirmed)
    error = deleted.failure()
    if error.status == http.HTTPStatus.CONFLICT:
        return Failure(f'{kind} {name}: conflict, another change came first')
    if error.status:
        return Failure(f'{kind} {name} was refused: {error}')
    read = _read(api, kind, name)
    if isinstance(read, Success) and read.unwrap() is None:
        return Success(confirmed)
    return Failure(f'{kind} {name}: not confirmed: {error}')


def _version(raw: dict[str, Any]) -> str:
    return str(raw['metadata']['resourceVersion'])


def _same(held: dict[str, Any], wanted: dict[str, Any]) -> bool:
    labels = [each['metadata'].get('labels', {}) for each in (held, wanted)]
    return held['spec'] == wanted['spec'] and labels[0] == labels[1]
