"""This gateway's copy of the platform's objects, by the store or by peers.

Each object only moves to a higher revision, whoever tells of it, so that a
slow peer or a store that answers late can't bring an older state back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, Final, final

from wingfall.gateway.binding import StoredObject

if TYPE_CHECKING:
    from wingfall.gateway.binding import StoreReading

ROUTES_KIND: Final = 'routes'
ENDPOINTS_KIND: Final = 'endpoints'
_MAX_GONE: Final = 1000

Listener = Callable[[str, 'dict[str, Any] | None'], None]


@final
class ObjectReplica:
    """All objects of one kind and the last ones that are gone."""

    __slots__ = ('_gone', '_listener', '_objects', 'kind', 'revision')

    def __init__(self, *, kind: str, listener: Listener) -> None:
        """Start empty.

        :param kind: the product's word for the kind.
        :param listener: called with the name and what an object says after
            each change, None once it is gone.
        """
        self.kind = kind
        self.revision = 0
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._gone: dict[str, StoredObject] = {}

    def apply_list(self, reading: StoreReading) -> None:
        """Apply a complete list.

        :param reading: the list and its revision.
        """
        listed = {each.name for each in reading.objects}
        for each in reading.objects:
            self.apply(each)
        for name, known in list(self._objects.items()):
            if name not in listed and known.revision <= reading.revision:
                gone = StoredObject(
                    name=name,
                    revision=reading.revision,
                    spec=None,
                )
                self.apply(gone)

    def apply_changes(self, reading: StoreReading) -> None:
        """Apply changes in their order.

        :param reading: the changes and the revision they lead to.
        """
        for each in reading.objects:
            if each.spec is None:
                # The revision of an object that is gone may be its last.
                each.revision = max(each.revision, reading.revision)
            self.apply(each)

    def apply(self, changed: StoredObject) -> bool:
        """Apply one object if it is newer than what is known.

        :param changed: the object.
        :returns: whether it was.
        """
        name = changed.name
        known = self._objects.get(name) or self._gone.get(name)
        if known is not None and known.revision >= changed.revision:
            return False
        self.revision = max(self.revision, changed.revision)
        self._objects.pop(name, None)
        self._gone.pop(name, None)
        if changed.spec is None:
            self._gone[name] = changed
            self._trim_gone()
        else:
            self._objects[name] = changed
        self._listener(name, changed.spec)
        return True

    def since(self, revision: int) -> list[StoredObject]:
        """List what changed after a revision, for a peer.

        :param revision: up to where the peer is complete.
        :returns: the objects, oldest first.
        """
        changed = [
            each
            for table in (self._objects, self._gone)
            for each in table.values()
            if each.revision > revision
        ]
        changed.sort(key=lambda each: each.revision)
        return changed

    def _trim_gone(self) -> None:
        while len(self._gone) > _MAX_GONE:
            self._gone.pop(next(iter(self._gone)))
