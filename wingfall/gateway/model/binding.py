"""What a gateway needs of the platform it runs on.

The interface that :mod:`wingfall.platform` implements: it reads and writes the
platform's headers, paths and objects; its names stay on its side.
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
    from wingfall.gateway.model.object_store import ObjectStore, ObjectWriter
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import PromptPart
    from wingfall.gateway.model.routes import Routes
    from wingfall.metrics import Metrics


@final
class Sending:
    """What an attempt adds to a caller's request."""

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
        """Describe a sending.

        :param endpoint: where the request goes.
        :param time_left_ms: how long the caller still waits.
        :param last_event_id: the event after which the stream shall go on.
        :param source: the engine that the endpoint shall copy kept parts of
            the prompt from.
        :param backup: the engine that shall keep a copy of the run.
        :param continues: whether the endpoint holds a copy of this very run
            and shall go on with it.
        """
        self.endpoint = endpoint
        self.time_left_ms = time_left_ms
        self.last_event_id = last_event_id
        self.source = source
        self.backup = backup
        self.continues = continues


@final
class AnswerHead:
    """What the head of an endpoint's answer means."""

    __slots__ = ('call_id', 'not_run', 'retry_elsewhere', 'signals', 'valid')

    def __init__(
        self,
        *,
        call_id: str,
        not_run: bool,
        valid: bool,
        retry_elsewhere: bool,
        signals: AnswerSignals = NO_SIGNALS,
    ) -> None:
        """Describe an answer.

        :param call_id: the request it says it answers, empty if it doesn't.
        :param not_run: whether it proves that the request did not run.
        :param valid: whether it can be the endpoint's true answer.
        :param retry_elsewhere: whether the run failed at this endpoint.
        :param signals: what it says of the endpoint itself.
        """
        self.call_id = call_id
        self.not_run = not_run
        self.valid = valid
        self.retry_elsewhere = retry_elsewhere
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

    def endpoint_headers(self, call: Call, sending: Sending) -> Headers:
        """Write the headers of a request to an endpoint."""

    def memory_request(self, endpoint: PoolEndpoint) -> tuple[bytes, Headers]:
        """Give path and headers of the question what an engine keeps."""

    def read_memory(self, body: bytes) -> Result[tuple[PromptPart, ...], str]:
        """Read the parts of prompts that an engine says it keeps."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an endpoint's answer."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Choose the headers of an answer that the caller shall see."""

    def refusal_headers(self, head: CallHead) -> Headers:
        """Write the headers of an answer that is the gateway's own."""

    def read_routes(self, name: str, spec: Any) -> Result[Routes, ObjectFault]:
        """Read the configuration from its stored object."""

    def read_endpoint(
        self,
        name: str,
        spec: Any,
    ) -> Result[PoolEndpoint, ObjectFault]:
        """Read an endpoint from its stored object."""

    def routes_store(self) -> ObjectStore:
        """Give the store of the configuration."""

    def endpoints_store(self) -> ObjectStore:
        """Give the store of the endpoints."""

    def leases_store(self) -> ObjectWriter:
        """Give the store of the leases."""

    def duty_calls(self, address: str) -> DutyCalls:
        """Give the calls that only the holder of a duty makes."""


class BindingFactory(Protocol):
    """How a binding is made."""

    def __call__(
        self,
        *,
        settings: SimpleNamespace,
        metrics: Metrics,
    ) -> Binding:
        """Make the binding.

        :param settings: section ``store`` of the gateway's settings.
        :param metrics: where calls to the store are counted.
        """


bindings: Final[Registry[BindingFactory]] = Registry(kind='binding')
