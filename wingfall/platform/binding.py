"""The binding of the users' platform, registered under its name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from returns.result import Failure

from wingfall.errors import ObjectFault
from wingfall.gateway.model.binding import bindings
from wingfall.platform.documents import read_prefix_cache, read_routes
from wingfall.platform.duty_calls import HttpDutyCalls
from wingfall.platform.endpoint_entry import read_endpoint
from wingfall.platform.headers import (
    caller_headers,
    endpoint_headers,
    memory_headers,
    read_answer,
    read_call,
    refusal_headers,
)
from wingfall.platform.long_answers import LongAnswers
from wingfall.platform.store import HttpObjectStore

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.gateway.model.binding import AnswerHead, AttemptRequest
    from wingfall.gateway.model.call import Call, CallHead, Headers
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import PromptPart
    from wingfall.gateway.model.routes import Routes
    from wingfall.metrics import Metrics

_READY_PATH: Final = '/wingfall/ready'
_MEMORY_PATH: Final = b'/wingfall/kv-list'
_CONFIG_KIND: Final = 'config'
# The one object of its kind that is in force.
_CONFIG_NAME: Final = 'main'
_ENDPOINT_KIND: Final = 'servers'
# Kinds of wingfall's own.
_LEASE_KIND: Final = 'wingfall-leases'
_VERSIONS_KIND: Final = 'wingfall-versions'
_STREAMS_KIND: Final = 'wingfall-streams'
_CRASHES_KIND: Final = 'wingfall-crashes'


@final
@bindings.register('fjordgrid')
class FjordgridBinding:
    """Joins what this folder translates; see the protocol it implements."""

    __slots__ = ('_long_answers', '_metrics', '_settings')

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
        self._long_answers = LongAnswers()

    @property
    def ready_path(self) -> str:
        """Path of the balancer's question."""
        return _READY_PATH

    def read_call(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
    ) -> CallHead:
        """Read the head of a caller's request."""
        return read_call(method, target, headers)

    def endpoint_headers(self, call: Call, sending: AttemptRequest) -> Headers:
        """Write the headers of a request to an endpoint."""
        return endpoint_headers(call, sending)

    def prefix_cache_request(
        self, endpoint: PoolEndpoint
    ) -> tuple[bytes, Headers]:
        """Give path and headers of the question what an engine keeps."""
        return _MEMORY_PATH, memory_headers(endpoint)

    def read_prefix_cache(
        self, body: bytes
    ) -> Result[tuple[PromptPart, ...], str]:
        """Read the parts of prompts that an engine says it keeps."""
        return read_prefix_cache(body)

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an endpoint's answer."""
        return read_answer(status, headers)

    def caller_headers(self, headers: Headers) -> Headers:
        """Choose the headers of an answer that the caller shall see."""
        return caller_headers(headers)

    def refusal_headers(self, head: CallHead) -> Headers:
        """Write the headers of an answer that is the gateway's own."""
        return refusal_headers(head)

    def read_routes(self, name: str, spec: Any) -> Result[Routes, ObjectFault]:
        """Read the configuration from its stored object."""
        if name != _CONFIG_NAME:
            reason = f'the configuration is {_CONFIG_NAME!r} alone'
            return Failure(ObjectFault(field='name', reason=reason))
        return read_routes(spec)

    def read_endpoint(
        self,
        name: str,
        spec: Any,
    ) -> Result[PoolEndpoint, ObjectFault]:
        """Read an endpoint from its stored object."""
        return read_endpoint(name, spec)

    def routes_store(self) -> HttpObjectStore:
        """Give the store of the configuration."""
        return self._store(_CONFIG_KIND)

    def endpoints_store(self) -> HttpObjectStore:
        """Give the store of the endpoints."""
        return self._store(_ENDPOINT_KIND)

    def leases_store(self) -> HttpObjectStore:
        """Give the store of the leases."""
        return self._store(_LEASE_KIND)

    def versions_store(self) -> HttpObjectStore:
        """Give the store of the history of software versions."""
        return self._store(_VERSIONS_KIND)

    def streams_store(self) -> HttpObjectStore:
        """Give the store of the origins of streams."""
        return self._store(_STREAMS_KIND)

    def crashes_store(self) -> HttpObjectStore:
        """Give the store of the crashes."""
        return self._store(_CRASHES_KIND)

    def duty_calls(self, address: str) -> HttpDutyCalls:
        """Give the calls that only the holder of a duty makes."""
        return HttpDutyCalls(address=address, metrics=self._metrics)

    def _store(self, kind: str) -> HttpObjectStore:
        return HttpObjectStore(
            address=self._settings.address,
            kind=kind,
            timeout_ms=self._settings.timeout_ms,
            wait_ms=self._settings.watch_ms,
            metrics=self._metrics,
            long_answers=self._long_answers,
        )
