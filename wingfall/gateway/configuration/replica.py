"""This gateway's copy of the platform's objects, by the store or by peers.

Each object only moves to a higher revision, whoever tells of it, so that a
slow peer or a store that answers late can't bring an older state back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, Final, final

from wingfall.gateway.model.object_store import StoredObject

if TYPE_CHECKING:
    from wingfall.gateway.model.object_store import StoreReading

ROUTES_KIND: Final = 'routes'
ENDPOINTS_KIND: Final = 'endpoints'
# Removed objects whose names are kept for peers that are behind. More than
# leave a site in the seconds that a peer is behind.
_MAX_GONE: Final = 1000

Listener = Callable[[str, Any], None]


@final
class _Entry:
    """An object and when this replica learned of its state."""

    __slots__ = ('learned_at', 'stored')

    def __init__(self, *, stored: StoredObject, learned_at: int) -> None:
        """Keep an object.

        :param stored: the object.
        :param learned_at: revision that brought it, at least its own.
        """
        self.stored = stored
        self.learned_at = learned_at


@final
class ObjectReplica:
    """All objects of one kind and the last ones that are gone.

    The revision of the replica is one up to which it is complete.
    """

    __slots__ = ('_entries', '_gone', '_listener', 'kind', 'revision')

    def __init__(self, *, kind: str, listener: Listener) -> None:
        """Start empty.

        :param kind: the product's word for the kind.
        :param listener: called with the name and what an object says after
            each change of that, None once it is gone.
        """
        self.kind = kind
        self.revision = 0
        self._listener = listener
        self._entries: dict[str, _Entry] = {}
        # Names of the objects that are gone, the oldest first.
        self._gone: dict[str, None] = {}

    def apply_list(self, reading: StoreReading) -> None:
        """Apply a complete list.

        :param reading: the list and its revision.
        """
        listed = {each.name for each in reading.objects}
        self.apply_changes(reading)
        for name, entry in list(self._entries.items()):
            known = entry.stored
            if name not in listed and known.revision <= reading.revision:
                gone = StoredObject(
                    name=name,
                    revision=known.revision,
                    spec=None,
                )
                self._apply(gone, reading.revision)

    def apply_changes(self, reading: StoreReading) -> int:
        """Apply changes in their order.

        :param reading: the changes and the revision that they lead to.
        :returns: how many of them were new.
        """
        if reading.objects:
            self.revision = max(self.revision, reading.revision)
        return sum(
            self._apply(each, reading.revision) for each in reading.objects
        )

    def catch_up(self, reading: StoreReading) -> int:
        """Apply what a peer gave that is complete up to a revision.

        :param reading: what changed and the peer's revision.
        :returns: how many changes were new.
        """
        self.revision = max(self.revision, reading.revision)
        return self.apply_changes(reading)

    def since(self, revision: int) -> list[StoredObject]:
        """List what changed after a revision, for a peer.

        :param revision: up to where the peer is complete.
        :returns: the objects, oldest first.
        """
        changed = [
            entry.stored
            for entry in self._entries.values()
            if _told_at(entry) > revision
        ]
        changed.sort(key=lambda each: each.revision)
        return changed

    def _apply(self, changed: StoredObject, learned_at: int) -> bool:
        known = self._entries.get(changed.name)
        if known is not None and not _is_newer(changed, known.stored):
            return False
        self._entries[changed.name] = _Entry(
            stored=changed,
            learned_at=learned_at,
        )
        self._gone.pop(changed.name, None)
        if changed.spec is None:
            self._gone[changed.name] = None
            self._trim_gone()
        if known is None or known.stored.spec != changed.spec:
            self._listener(changed.name, changed.spec)
        return True

    def _trim_gone(self) -> None:
        while len(self._gone) > _MAX_GONE:
            oldest = next(iter(self._gone))
            self._gone.pop(oldest)
            self._entries.pop(oldest)


def _told_at(entry: _Entry) -> int:
    # An object has the same revision everywhere; by the one that a list or a
    # peer happened to have, peers that hold it would be sent it again. What is
    # gone bears the revision of its last change and would not be told at all.
    gone = entry.stored.spec is None
    return entry.learned_at if gone else entry.stored.revision


def _is_newer(changed: StoredObject, known: StoredObject) -> bool:
    # What is gone may bear the revision of its last change.
    if changed.revision == known.revision:
        return changed.spec is None and known.spec is not None
    return changed.revision > known.revision
