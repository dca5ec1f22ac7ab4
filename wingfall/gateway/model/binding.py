"""Interface between a gateway and the platform it runs on.

:mod:`wingfall.platform` implements it: it reads and writes the platform's
headers, paths and objects, so no other package uses the platform's names.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, Protocol, final

from wingfall.gateway.model.answer_signals import NO_SIGNALS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.errors import ObjectFault
    from wingfall.gateway.model.answer_signals import AnswerSignals
    from wingfall.gateway.model.call import Call, CallHead, Headers
    from wingfall.gateway.model.duty import DutyCalls
    from wingfall.gateway.model.object_store import (
        ObjectDirectory,
        ObjectStore,
        ObjectWriter,
    )
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import PromptPart
    from wingfall.gateway.model.routes import Routes
    from wingfall.metrics import Metrics


@final
class AttemptRequest:
    """Parameters that an attempt adds to a caller's request."""

    __slots__ = (
        'backup',
        'continues',
        'endpoint',
        'last_event_id',
        'source',
        'time_left_ms',
    )

    def __init__(
        self,
        *,
        endpoint: PoolEndpoint,
        time_left_ms: int,
        last_event_id: str | None = None,
        source: PoolEndpoint | None = None,
        backup: PoolEndpoint | None = None,
        continues: bool = False,
    ) -> None:
        """Create the parameters of an attempt.

        :param endpoint: the endpoint that receives the request.
        :param time_left_ms: remaining time of the caller, in milliseconds.
        :param last_event_id: id of the event after which the stream continues.
        :param source: the engine from which the endpoint copies cached prompt
            parts.
        :param backup: the engine that stores a copy of the run.
        :param continues: whether the endpoint holds a copy of this run and
            continues it.
        """
        self.endpoint = endpoint
        self.time_left_ms = time_left_ms
        self.last_event_id = last_event_id
        self.source = source
        self.backup = backup
        self.continues = continues


@final
class AnswerHead:
    """Meaning of the head of an endpoint's answer."""

    __slots__ = (
        'call_id',
        'is_relayable',
        'not_run',
        'retry_elsewhere',
        'signals',
        'valid',
    )

    def __init__(
        self,
        *,
        call_id: str,
        not_run: bool,
        valid: bool,
        retry_elsewhere: bool,
        is_relayable: bool = True,
        signals: AnswerSignals = NO_SIGNALS,
    ) -> None:
        """Create the head of an answer.

        :param call_id: id of the request answered, empty if not given.
        :param not_run: whether the answer proves that the request did not run.
        :param valid: whether it can be the endpoint's genuine answer.
        :param retry_elsewhere: whether the run failed at this endpoint.
        :param is_relayable: whether the caller may get the answer; not if its
            status promises that the request has not run and nothing proves it.
        :param signals: signals about the endpoint itself.
        """
        self.call_id = call_id
        self.not_run = not_run
        self.valid = valid
        self.retry_elsewhere = retry_elsewhere
        self.is_relayable = is_relayable
        self.signals = signals


class Binding(Protocol):
    """Translates a platform's headers, paths and objects."""

    ready_path: str

    def read_call(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
    ) -> CallHead:
        """Read the head of a caller's request."""

    def endpoint_headers(self, call: Call, sending: AttemptRequest) -> Headers:
        """Return the headers of a request to an endpoint."""

    def prefix_cache_request(
        self, endpoint: PoolEndpoint
    ) -> tuple[bytes, Headers]:
        """Return path and headers to query an engine's prompt cache."""

    def read_prefix_cache(
        self, body: bytes
    ) -> Result[tuple[PromptPart, ...], str]:
        """Read the prompt parts that an engine reports as cached."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an endpoint's answer."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer to forward to the caller."""

    def refusal_headers(self, head: CallHead) -> Headers:
        """Return the headers of an answer by the gateway itself."""

    def read_routes(self, name: str, spec: Any) -> Result[Routes, ObjectFault]:
        """Read the configuration from its stored object."""

    def read_endpoint(
        self,
        name: str,
        spec: Any,
    ) -> Result[PoolEndpoint, ObjectFault]:
        """Read an endpoint from its stored object."""

    def routes_store(self) -> ObjectStore:
        """Return the store of the configuration."""

    def endpoints_store(self) -> ObjectStore:
        """Return the store of the endpoints."""

    def leases_store(self) -> ObjectWriter:
        """Return the store of the leases."""

    def versions_store(self) -> ObjectWriter:
        """Return the store of the history of software versions."""

    def streams_store(self) -> ObjectDirectory:
        """Return the store of the origins of streams."""

    def crashes_store(self) -> ObjectWriter:
        """Return the store of the crashes."""

    def duty_calls(self, address: str) -> DutyCalls:
        """Return the platform calls reserved to the holder of a duty."""


class BindingFactory(Protocol):
    """Factory of a binding."""

    def __call__(
        self,
        *,
        settings: SimpleNamespace,
        metrics: Metrics,
    ) -> Binding:
        """Create the binding.

        :param settings: section ``store`` of the gateway's settings.
        :param metrics: metrics that count the calls to the store.
        """


bindings: Final[Registry[BindingFactory]] = Registry(kind='binding')
