"""A caller's request after it was checked."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, final

from wingfall.objects.eligibility import why_not
from wingfall.router.homes import home_name

if TYPE_CHECKING:
    from wingfall.memory_portion import Reservation
    from wingfall.objects.customer import Customer
    from wingfall.objects.endpoint import Endpoint
    from wingfall.objects.request_class import RequestClass


@final
class Request:
    """What the router knows of a request when it looks for an endpoint."""

    __slots__ = (
        '_memory',
        'arrived_ms',
        'body',
        'customer',
        'headers',
        'key',
        'method',
        'model',
        'prefixes',
        'path',
        'repeatable',
        'request_class',
        'request_id',
        'service',
        'timeout_ms',
    )

    def __init__(
        self,
        *,
        request_id: str,
        customer: Customer,
        request_class: RequestClass,
        arrived_ms: int,
        timeout_ms: int,
        repeatable: bool,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        model: str | None = None,
        service: str | None = None,
        key: str = '',
        prefixes: list[bytes] | None = None,
        memory: Reservation | None = None,
    ) -> None:
        """Describe a request.

        :param request_id: its id, unique in the site.
        :param customer: who sent it.
        :param request_class: its class.
        :param arrived_ms: when it came.
        :param timeout_ms: when its caller is answered at the latest.
        :param repeatable: whether a second run does no harm.
        :param method: HTTP method.
        :param path: path and query at the endpoint.
        :param headers: headers for the endpoint.
        :param body: its body.
        :param model: the model, for an engine.
        :param service: the service, for a plain service.
        :param key: idempotency key of an unrepeatable request.
        :param memory: what is reserved for the body.
        :param prefixes: hashes of the beginning of its prompt.
        """
        self.request_id = request_id
        self.customer = customer
        self.request_class = request_class
        self.arrived_ms = arrived_ms
        self.timeout_ms = timeout_ms
        self.repeatable = repeatable
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.model = model
        self.service = service
        self.key = key
        self.prefixes = prefixes or []
        self._memory = memory

    @property
    def deadline_ms(self) -> int:
        """When the caller gives up."""
        return self.arrived_ms + self.timeout_ms

    @property
    def home_name(self) -> str:
        """What an idempotency key is homed by: the class and the resource."""
        resource = self.model or self.service or ''
        return home_name(self.request_class.name, resource)

    def free(self) -> None:
        """Give up the body and its memory; nothing is sent any more."""
        self.body = b''
        memory = self._memory
        self._memory = None
        if memory is not None:
            memory.release()

    def digest(self) -> bytes:
        """Compute the digest that an idempotency key stands for.

        :returns: a digest of method, path and body.
        """
        text = f'{self.method} {self.path}\n'.encode()
        return hashlib.sha256(text + self.body).digest()

    def why_not(self, endpoint: Endpoint) -> str:
        """Tell why an endpoint can't serve this request.

        :param endpoint: the endpoint.
        :returns: the reason, empty if it can.
        """
        return why_not(
            endpoint,
            request_class=self.request_class,
            model=self.model,
            service=self.service,
        )
