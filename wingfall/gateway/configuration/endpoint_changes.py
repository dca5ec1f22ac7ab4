"""Versions of endpoints that changed since this gateway last heard of them.

A gateway that is out of step does not know which versions its pools have. The
store is asked for what the gateway has missed, from the last change of which
the store itself has told: peers tell of no endpoint that came and went.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, final

from returns.result import Success

from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from wingfall.errors import PlatformError
    from wingfall.gateway.configuration.replica import ObjectReplica
    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.model.binding import Binding
    from wingfall.gateway.model.object_store import (
        ObjectStore,
        StoredObject,
        StoreResponse,
    )

# Failures after which the changes since a revision can't be told any more, or
# could not be read; a list tells of all endpoints.
_LIST_STATUSES: Final = frozenset((http.HTTPStatus.GONE, http.HTTPStatus.OK))


@final
class EndpointChanges:
    """Reads changes of endpoints from the store, beside the watch of it."""

    __slots__ = (
        '_binding',
        '_replica',
        '_revision',
        '_store',
        '_versions',
    )

    def __init__(
        self,
        *,
        store: ObjectStore,
        binding: Binding,
        versions: PoolVersions,
        replica: ObjectReplica,
    ) -> None:
        """Initialize without a call to the store.

        :param store: store of the endpoints.
        :param binding: parses their entries.
        :param versions: versions known to this gateway, which are updated.
        :param replica: the endpoints as known to this gateway.
        """
        self._store = store
        self._binding = binding
        self._versions = versions
        self._replica = replica
        # Revision up to which the versions were read here.
        self._revision = 0

    def note(self) -> bool:
        """Record the versions that were listed up to this moment.

        :returns: whether the store has answered.
        """
        answer = self._read()
        if not isinstance(answer, Success):
            log_event(
                'versions',
                'The changes of endpoints were not read.',
                revision=max(self._revision, self._replica.revision),
                reason=str(answer.failure()),
            )
            return False
        response = answer.unwrap()
        self._note_listed(response.objects)
        self._revision = max(self._revision, response.revision)
        return True

    def _read(self) -> Result[StoreResponse, PlatformError]:
        replica = self._replica
        known = {replica.store_revision, replica.revision}
        revisions = {max(self._revision, each) for each in known}
        for revision in sorted(filter(None, revisions)):
            answer = self._store.watch(
                revision, progress=_pass_over, brief=True
            )
            if not _is_forgotten(answer):
                return answer
        return self._store.list_all(progress=_pass_over)

    def _note_listed(self, changed: Iterable[StoredObject]) -> None:
        for stored in changed:
            # Of an endpoint that was removed nothing is told.
            if stored.spec is not None:
                parsed = self._binding.read_endpoint(stored.name, stored.spec)
                parsed.map(self._versions.note_listed)


def _is_forgotten(answer: Result[StoreResponse, PlatformError]) -> bool:
    if isinstance(answer, Success):
        return False
    return answer.failure().status in _LIST_STATUSES


def _pass_over() -> None:
    """Take no note of the progress of an answer."""
