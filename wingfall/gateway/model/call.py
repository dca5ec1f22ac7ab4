"""A request at a gateway, from its head to its final answer.

Times are in milliseconds; deadlines are timestamps of the clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.gateway.model.prompt import Prompt, PromptPart
    from wingfall.gateway.model.routes import GatewayCustomer, Route
    from wingfall.gateway.model.stream_origin import StreamOrigin
    from wingfall.memory_portion import Reservation

Headers = list[tuple[bytes, bytes]]


@final
class CallHead:
    """Head of a caller's request."""

    __slots__ = (
        'api_key',
        'call_id',
        'headers',
        'host',
        'last_event_id',
        'method',
        'prompt',
        'resumed_call_id',
        'target',
        'time_left_ms',
    )

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        host: str,
        headers: Headers,
        call_id: str,
        api_key: str | None,
        time_left_ms: int | None,
        last_event_id: str | None,
        prompt: Prompt | None,
        resumed_call_id: str | None = None,
    ) -> None:
        """Create the head of a request.

        :param method: HTTP method.
        :param target: path and query as received.
        :param host: the requested host, without a port.
        :param headers: the headers to forward to an endpoint.
        :param call_id: id of the request, empty if it has none.
        :param api_key: API key of the customer, if any.
        :param time_left_ms: how long the caller waits, if given.
        :param last_event_id: id of the event after which a stream continues,
            if any.
        :param prompt: description of the prompt, None for plain requests.
        :param resumed_call_id: id of the request whose answer began the stream
            that this request continues, if the caller names it.
        """
        self.method = method
        self.target = target
        self.host = host
        self.headers = headers
        self.call_id = call_id
        self.api_key = api_key
        self.time_left_ms = time_left_ms
        self.last_event_id = last_event_id
        self.prompt = prompt
        self.resumed_call_id = resumed_call_id

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


@final
class Call:
    """An accepted request that is being served."""

    __slots__ = (
        'arrived_ms',
        'asked',
        'run_started',
        'body',
        'customer',
        'deadline_ms',
        'fingerprint',
        'head',
        'memory',
        'origin',
        'part_fingerprints',
        'priority',
        'route',
    )

    def __init__(
        self,
        *,
        head: CallHead,
        body: bytes,
        route: Route,
        customer: GatewayCustomer | None,
        arrived_ms: int,
        deadline_ms: int,
        priority: int | None = None,
        fingerprint: bytes = b'',
        part_fingerprints: tuple[bytes, ...] = (),
    ) -> None:
        """Create a call for an accepted request.

        :param head: head of the request.
        :param body: complete body of the request.
        :param route: the route that serves the request.
        :param customer: the sender, None on public routes.
        :param arrived_ms: when the head was read.
        :param deadline_ms: when the final answer is due.
        :param priority: priority of a prompt at engines, 0 the most urgent;
            defaults to the route's tier.
        :param fingerprint: equal for retries of the same request; empty if
            the request is not to be tracked.
        :param part_fingerprints: fingerprints of the shared parts of the
            prompt, in order.
        """
        self.head = head
        self.body = body
        self.route = route
        self.customer = customer
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.fingerprint = fingerprint
        self.part_fingerprints = part_fingerprints
        self.priority = route.tier if priority is None else priority
        # Memory that is reserved for the body, None if none is.
        self.memory: Reservation | None = None
        # Whether an endpoint is known to have started the run.
        self.run_started = False
        # Where the stream of the call began; None before its first event.
        self.origin: StreamOrigin | None = None
        # Whether the work was counted in its customer's demand.
        self.asked = False

    @property
    def call_id(self) -> str:
        """Request id for logs."""
        return self.head.call_id

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty on public routes."""
        return self.customer.name if self.customer else ''

    @property
    def idempotent(self) -> bool:
        """Whether a retry is allowed although the request may have run."""
        route = self.route
        return route.resumable if route.streaming else route.repeatable

    def find_part(self, fingerprint: bytes) -> PromptPart | None:
        """Find a part of the prompt that other prompts may share.

        :param fingerprint: fingerprint of the part.
        :returns: the part, None if the prompt has no such part.
        """
        if fingerprint not in self.part_fingerprints or not self.head.prompt:
            return None
        index = self.part_fingerprints.index(fingerprint)
        return self.head.prompt.shared_parts[index]
