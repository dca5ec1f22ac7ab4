"""A request at a gateway, from its head to its final answer.

Plain data; times are milliseconds, deadlines readings of the clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.gateway.model.prompt import Prompt
    from wingfall.gateway.model.routes import GatewayCustomer, Route

Headers = list[tuple[bytes, bytes]]


@final
class CallHead:
    """What a caller's request says before its body."""

    __slots__ = (
        'api_key',
        'call_id',
        'headers',
        'host',
        'last_event_id',
        'method',
        'prompt',
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
    ) -> None:
        """Describe a request.

        :param method: its method.
        :param target: path and query as they came.
        :param host: the host that it names, without a port.
        :param headers: the headers that an endpoint shall see.
        :param call_id: id of this request, empty if it has none.
        :param api_key: key of the customer, if any.
        :param time_left_ms: how long the caller waits, if it tells.
        :param last_event_id: the event after which a stream goes on, if any.
        :param prompt: what it tells of its prompt, None for plain requests.
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

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


@final
class Call:
    """An accepted request that is being served."""

    __slots__ = (
        'arrived_ms',
        'asked',
        'begun',
        'body',
        'customer',
        'deadline_ms',
        'fingerprint',
        'head',
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
    ) -> None:
        """Accept a request.

        :param head: its head.
        :param body: its whole body.
        :param route: the route it takes.
        :param customer: who sent it, None on public routes.
        :param arrived_ms: when its head was read.
        :param deadline_ms: when it must have its final answer.
        :param priority: rank of a prompt at engines, 0 the most urgent; the
            route's tier if it isn't told.
        :param fingerprint: what it has in common with the same request sent
            again; empty if nothing is to be learned of it.
        """
        self.head = head
        self.body = body
        self.route = route
        self.customer = customer
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.fingerprint = fingerprint
        self.priority = route.tier if priority is None else priority
        # Whether an endpoint is known to have begun to run it.
        self.begun = False
        # Whether its work was counted as asked by its customer.
        self.asked = False

    @property
    def call_id(self) -> str:
        """Id of the request, for logs."""
        return self.head.call_id

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty on public routes."""
        return self.customer.name if self.customer else ''

    @property
    def idempotent(self) -> bool:
        """Whether it may be sent again though it may have run."""
        route = self.route
        return route.resumable if route.streaming else route.repeatable
