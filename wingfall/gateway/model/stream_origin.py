"""Where a stream began, which decides where it may continue."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint


@final
class StreamOrigin:
    """The endpoint that sent the first event of a stream."""

    __slots__ = ('endpoint', 'is_only_version', 'pool', 'version')

    def __init__(
        self,
        *,
        pool: str,
        version: str | None,
        endpoint: str = '',
        is_only_version: bool = False,
    ) -> None:
        """Describe where a stream began.

        :param pool: name of the pool.
        :param version: version of the endpoint's software, None if unknown.
        :param endpoint: name of the endpoint's incarnation, empty if unknown.
        :param is_only_version: whether the pool had no other version while the
            stream may have begun.
        """
        self.pool = pool
        self.version = version
        self.endpoint = endpoint
        self.is_only_version = is_only_version

    def allows(self, endpoint: PoolEndpoint) -> bool:
        """Check if the stream may continue at an endpoint.

        What two versions write doesn't fit together. Two endpoints of unknown
        versions may differ, so there only the same incarnation is allowed.

        :param endpoint: the endpoint.
        :returns: whether it is of the same pool and version.
        """
        if endpoint.pool != self.pool:
            return False
        if self.version is None or endpoint.version is None:
            is_same = self.is_only_version and endpoint.version is self.version
            return is_same or endpoint.name == self.endpoint
        return endpoint.version == self.version
