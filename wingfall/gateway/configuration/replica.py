"""This gateway's replica of the platform's objects, from the store and peers.

Each object only moves to a higher revision, whatever the source, so that a slow
peer or a late answer of the store can't bring an older state back.
"""

from __future__ import annotations

from typing import Any, Callable, Final, final

from wingfall.gateway.model.object_store import StoredObject, StoreResponse

ROUTES_KIND: Final = 'routes'
ENDPOINTS_KIND: Final = 'endpoints'
# Removed objects that are retained for peers that are behind: more than leave
# a site in the seconds that a peer is behind.
_MAX_TOMBSTONES: Final = 1000

ChangeListener = Callable[[str, Any], None]


@final
class _Entry:
    """An object and the revision that brought it to this replica."""

    __slots__ = ('source_revision', 'stored')

    def __init__(self, *, stored: StoredObject, source_revision: int) -> None:
        """Create an entry.

        :param stored: the object.
        :param source_revision: revision of the list or change that brought the
            object, at least its own.
        """
        self.stored = stored
        self.source_revision = source_revision


@final
class ObjectReplica:
    """All objects of one kind and the last removed ones.

    The replica is complete up to its revision.
    """

    __slots__ = (
        '_entries',
        '_known_removals_from',
        '_tombstones',
        '_listener',
        'kind',
        'revision',
        'store_revision',
    )

    def __init__(self, *, kind: str, listener: ChangeListener) -> None:
        """Create an empty replica.

        :param kind: name of the kind in this product.
        :param listener: called with the name and the content of an object after
            each change of the content, which is None once it is removed.
        """
        self.kind = kind
        self.revision = 0
        # Up to where the store told of each change. A peer tells of objects as
        # they are, so that nothing is known of one that came and went.
        self.store_revision = 0
        self._listener = listener
        self._entries: dict[str, _Entry] = {}
        # Revision from which on all removals are known: not those before a
        # list, nor those that are no longer retained.
        self._known_removals_from = 0
        # Names of the removed objects, the oldest first.
        self._tombstones: dict[str, None] = {}

    def apply_list(self, reading: StoreResponse) -> None:
        """Apply a complete list.

        :param reading: the list and its revision.
        """
        names = frozenset(each.name for each in reading.objects)
        complete = self._add_removals(reading, names)
        self.apply_changes(complete)

    def apply_changes(self, reading: StoreResponse) -> int:
        """Apply changes in their order.

        :param reading: the changes and the revision that they lead to.
        :returns: number of changes that were new.
        """
        applied = self._apply_all(reading)
        if reading.objects:
            self.revision = max(self.revision, reading.revision)
            self.store_revision = max(self.store_revision, reading.revision)
        return applied

    def apply_peer_changes(self, reading: StoreResponse) -> int:
        """Apply changes of a peer that are complete up to its revision.

        :param reading: the changes and the peer's revision.
        :returns: number of changes that were new.
        """
        names = reading.names
        if names is None and not self.revision:
            names = frozenset(each.name for each in reading.objects)
        if names is not None:
            reading = self._add_removals(reading, names)
        applied = self._apply_all(reading)
        self.revision = max(self.revision, reading.revision)
        return applied

    def list_names_since(self, revision: int) -> list[str] | None:
        """Return the names that a peer needs beside the changed objects.

        :param revision: revision up to which the peer is complete.
        :returns: names of all objects that exist, None if each removal since
            the revision is among the changed objects.
        """
        if revision >= self._known_removals_from:
            return None
        return [
            name
            for name, entry in self._entries.items()
            if entry.stored.spec is not None
        ]

    def objects_since(self, revision: int) -> list[StoredObject]:
        """Return the objects that changed after a revision, for a peer.

        :param revision: revision up to which the peer is complete.
        :returns: the objects, oldest first.
        """
        changed = [
            entry.stored
            for entry in self._entries.values()
            if _send_revision(entry) > revision
        ]
        changed.sort(key=lambda each: each.revision)
        return changed

    def _add_removals(
        self, reading: StoreResponse, names: frozenset[str]
    ) -> StoreResponse:
        # Objects that changed after the reading may exist in spite of it.
        removed = [
            StoredObject(name=name, revision=entry.stored.revision, spec=None)
            for name, entry in self._entries.items()
            if name not in names
            and entry.stored.spec is not None
            and entry.stored.revision <= reading.revision
        ]
        self._known_removals_from = max(
            self._known_removals_from, reading.revision
        )
        return StoreResponse(
            revision=reading.revision,
            objects=[*reading.objects, *removed],
        )

    def _apply_all(self, reading: StoreResponse) -> int:
        return sum(
            self._apply(each, reading.revision) for each in reading.objects
        )

    def _apply(self, changed: StoredObject, source_revision: int) -> bool:
        known = self._entries.get(changed.name)
        if known is None or known.stored.spec is None:
            if self._is_outdated(changed, source_revision):
                return False
        if known is not None and not _is_newer(changed, known.stored):
            return False
        self._entries[changed.name] = _Entry(
            stored=changed,
            source_revision=source_revision,
        )
        self._tombstones.pop(changed.name, None)
        if changed.spec is None:
            self._tombstones[changed.name] = None
            self._trim_tombstones()
        if known is None or known.stored.spec != changed.spec:
            self._listener(changed.name, changed.spec)
        return True

    def _is_outdated(self, absent: StoredObject, source_revision: int) -> bool:
        # The replica is complete up to its revision: an object of that revision
        # or an earlier one that it does not have was removed since.
        is_earlier = source_revision < self.revision
        return is_earlier and absent.revision <= self.revision

    def _trim_tombstones(self) -> None:
        while len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._tombstones.pop(oldest)
            dropped = self._entries.pop(oldest)
            self._known_removals_from = max(
                self._known_removals_from, dropped.source_revision
            )


def _send_revision(entry: _Entry) -> int:
    # An object has the same revision at all gateways; with the revision of the
    # list or peer that brought it, peers that have it would be sent it again. A
    # removed object has the revision of its last change, with which the removal
    # would not be sent at all.
    removed = entry.stored.spec is None
    return entry.source_revision if removed else entry.stored.revision


def _is_newer(changed: StoredObject, known: StoredObject) -> bool:
    # A removed object may have the revision of its last change.
    if changed.revision == known.revision:
        return changed.spec is None and known.spec is not None
    return changed.revision > known.revision
