"""The binding of the users' platform, registered under its name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.binding import bindings
from wingfall.platform.documents import read_endpoint, read_routes
from wingfall.platform.headers import (
    caller_headers,
    endpoint_headers,
    read_answer,
    read_call,
    refusal_headers,
)
from wingfall.platform.store import HttpObjectStore

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.metrics import Metrics

READY_PATH: Final = '/wingfall/ready'
_CONFIG_KIND: Final = 'config'
_ENDPOINT_KIND: Final = 'servers'


@final
@bindings.register('fjordgrid')
class FjordgridBinding:
    """Joins what this folder translates; see the protocol it implements."""

    __slots__ = ('_metrics', '_settings')

    ready_path = READY_PATH
    read_call = staticmethod(read_call)
    endpoint_headers = staticmethod(endpoint_headers)
    read_answer = staticmethod(read_answer)
    refusal_headers = staticmethod(refusal_headers)
    caller_headers = staticmethod(caller_headers)
    read_routes = staticmethod(read_routes)
    read_endpoint = staticmethod(read_endpoint)

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        metrics: Metrics,
    ) -> None:
        """Set the binding up.

        :param settings: section ``store`` of the gateway's settings.
        :param metrics: where calls to the store are counted.
        """
        self._settings = settings
        self._metrics = metrics

    def routes_store(self) -> HttpObjectStore:
        """Give the store of the configuration."""
        return self._store(_CONFIG_KIND)

    def endpoints_store(self) -> HttpObjectStore:
        """Give the store of the endpoints."""
        return self._store(_ENDPOINT_KIND)

    def _store(self, kind: str) -> HttpObjectStore:
        return HttpObjectStore(
            address=self._settings.address,
            kind=kind,
            timeout_ms=self._settings.timeout_ms,
            wait_ms=self._settings.watch_ms,
            metrics=self._metrics,
        )
