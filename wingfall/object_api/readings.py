"""What the object API answers: lists, changes, VMs, and how they are read."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Any, Protocol, final

import orjson
from returns.result import Failure, Result, Success

from wingfall.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import Iterator


@final
class ObjectList:
    """All objects at one version."""

    __slots__ = ('objects', 'version')

    def __init__(self, *, version: int, objects: list[dict[str, Any]]) -> None:
        """Keep a list.

        :param version: version of the whole list.
        :param objects: the objects as JSON.
        """
        self.version = version
        self.objects = objects


@final
class Vm:
    """A VM as the platform lists it."""

    __slots__ = ('leaving', 'name', 'peer', 'zone')

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        leaving: bool,
        peer: str = '',
    ) -> None:
        """Describe a VM.

        :param name: its name.
        :param zone: its availability zone.
        :param leaving: whether it is about to go.
        :param peer: ``host:port`` for peers if a router runs there.
        """
        self.name = name
        self.zone = zone
        self.leaving = leaving
        self.peer = peer


@final
class WatchEvent:
    """One accepted change, or a mark that nothing happened up to a version."""

    __slots__ = ('deleted', 'raw', 'version')

    def __init__(
        self,
        *,
        version: int,
        raw: dict[str, Any] | None,
        deleted: bool = False,
    ) -> None:
        """Describe a change.

        :param version: version after the change.
        :param raw: the object as JSON, None for a mark.
        :param deleted: whether the object is gone.
        """
        self.version = version
        self.raw = raw
        self.deleted = deleted


class ObjectApi(Protocol):
    """What wingfall needs of the platform; bind another platform here."""

    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """Read all objects."""

    def watch_objects(
        self,
        version: int,
        timeout_ms: int,
    ) -> Iterator[Result[WatchEvent, PlatformError]]:
        """Wait for changes after a version."""


def read_event(line: bytes) -> Result[WatchEvent, PlatformError]:
    """Parse one line of a watch.

    :param line: the event as JSON.
    :returns: the change; or the error that the line tells or is.
    """
    try:
        event = orjson.loads(line)
        kind = event['type']
        raw = event['object']
        if kind == 'ERROR':
            return Failure(
                PlatformError(status=raw['code'], message=raw['message']),
            )
        version = int(raw['metadata']['resourceVersion'])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return Failure(
            PlatformError(status=http.HTTPStatus.OK, message='not an event')
        )
    return Success(
        WatchEvent(
            version=version,
            raw=None if kind == 'BOOKMARK' else raw,
            deleted=kind == 'DELETED',
        ),
    )


def read_vms(body: Any) -> Result[list[Vm], PlatformError]:
    """Parse the list of VMs.

    :param body: the answer as JSON.
    :returns: the VMs, or that it is no such list.
    """
    try:
        return Success(
            [
                Vm(
                    name=str(raw['name']),
                    zone=str(raw.get('zone', '')),
                    leaving=raw.get('state') == 'leaving',
                    peer=str(raw.get('peer', '')),
                )
                for raw in body['items']
            ]
        )
    except (KeyError, TypeError, AttributeError):
        return Failure(
            PlatformError(
                status=http.HTTPStatus.OK, message='not a list of VMs'
            )
        )


def read_list(body: Any) -> Result[ObjectList, PlatformError]:
    """Parse a list of objects.

    :param body: the answer as JSON.
    :returns: the list, or that it is none.
    """
    try:
        version = int(body['metadata']['resourceVersion'])
        return Success(ObjectList(version=version, objects=body['items']))
    except (KeyError, TypeError, ValueError):
        return Failure(
            PlatformError(status=http.HTTPStatus.OK, message='not a list')
        )
