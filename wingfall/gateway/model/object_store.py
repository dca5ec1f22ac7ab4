"""Objects of the platform's store, and the interface to access them.

A revision is the store's change counter; it only rises.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, final

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from wingfall.errors import PlatformError


@final
class StoredObject:
    """One object of the platform's store."""

    __slots__ = ('name', 'revision', 'spec')

    def __init__(
        self,
        *,
        name: str,
        revision: int,
        spec: Any,
    ) -> None:
        """Create an object.

        :param name: name of the object within its kind.
        :param revision: the store's counter at the object's last change.
        :param spec: content of the object, of any type since it may come from
            any writer; None once the object is deleted.
        """
        self.name = name
        self.revision = revision
        self.spec = spec


@final
class StoreResponse:
    """Answer to one call to the store."""

    __slots__ = ('names', 'unnamed_count', 'objects', 'revision')

    def __init__(
        self,
        *,
        revision: int,
        objects: list[StoredObject],
        unnamed_count: int = 0,
        names: frozenset[str] | None = None,
    ) -> None:
        """Create the answer.

        :param revision: the store's counter up to which the answer is complete.
        :param objects: the listed or changed objects, in order.
        :param unnamed_count: number of further objects that have no name.
        :param names: names of all objects that exist at the revision, None if
            each removal is among the changes.
        """
        self.revision = revision
        self.objects = objects
        self.unnamed_count = unnamed_count
        self.names = names


class ObjectStore(Protocol):
    """Reader of one kind of object that reports progress of answers."""

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreResponse, PlatformError]:
        """Return all objects of the kind."""

    def watch(
        self,
        revision: int,
        *,
        progress: Callable[[], None],
        brief: bool = False,
    ) -> Result[StoreResponse, PlatformError]:
        """Return the changes after a revision, waiting a bounded time.

        With ``brief``, return the changes so far without waiting for more.
        """


class ObjectWriter(Protocol):
    """Store of one kind of object with conditional writes."""

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object as currently stored, None if there is none."""

    def write(
        self,
        name: str,
        spec: Any,
        revision: int | None,
    ) -> Result[StoredObject, PlatformError]:
        """Create an object, or replace the object of a given revision.

        A failure with status 409 proves that nothing was written; one without
        an answer proves nothing, and the write may still take effect.
        """


class ObjectDirectory(ObjectWriter, Protocol):
    """Store of one kind of object with one object for each gateway."""

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreResponse, PlatformError]:
        """Return all objects of the kind."""

    def remove(self, name: str, revision: int) -> Result[None, PlatformError]:
        """Remove the object of a given revision."""
