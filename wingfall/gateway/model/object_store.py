"""Objects of the platform's store, and how a gateway reads them.

A revision is the store's counter at a change; it only rises.
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
        """Keep an object.

        :param name: its name within its kind.
        :param revision: the store's counter at its last change.
        :param spec: what it says, of any type since anybody may have written
            it; None once it is gone.
        """
        self.name = name
        self.revision = revision
        self.spec = spec


@final
class StoreReading:
    """The answer of one call to the store."""

    __slots__ = ('nameless', 'objects', 'revision')

    def __init__(
        self,
        *,
        revision: int,
        objects: list[StoredObject],
        nameless: int = 0,
    ) -> None:
        """Keep a reading.

        :param revision: the store's counter up to which it is complete.
        :param objects: the objects listed or changed, in order.
        :param nameless: how many more there were, without a name to know
            them by.
        """
        self.revision = revision
        self.objects = objects
        self.nameless = nameless


class ObjectStore(Protocol):
    """Reads one kind of object; tells of progress as answers come in."""

    def list_all(
        self,
        *,
        progress: Callable[[], None],
    ) -> Result[StoreReading, PlatformError]:
        """Read all objects of the kind."""

    def watch(
        self,
        revision: int,
        *,
        progress: Callable[[], None],
        brief: bool = False,
    ) -> Result[StoreReading, PlatformError]:
        """Wait a bounded time, or not at all, for changes after a revision."""


class ObjectWriter(Protocol):
    """Reads and writes single objects of one kind by condition."""

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Read an object as it is now, None if there is none."""

    def write(
        self,
        name: str,
        spec: Any,
        revision: int | None,
    ) -> Result[StoredObject, PlatformError]:
        """Make an object, or replace the one that has a revision.

        A failure with status 409 proves that nothing was written; one without
        an answer proves nothing, and the write may still take effect.
        """
