"""Acceptance of a request: finds its route, customer and deadline.

Relies only on the configuration in force. Nothing is sent yet, so a refusal
always means that the request has not run.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, final

from returns.result import Failure, Result, Success

from wingfall.gateway.model.call import Call
from wingfall.gateway.model.fingerprint import (
    make_fingerprint,
    make_part_fingerprint,
)
from wingfall.gateway.rules.admission.refusals import (
    refuse_no_routes,
    refuse_request,
)
from wingfall.gateway.rules.placement.engine_priority import engine_priority

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.model.call import CallHead
    from wingfall.gateway.model.request_body import RequestBody
    from wingfall.gateway.model.routes import (
        GatewayCustomer,
        Route,
        Routes,
    )

# Timeout of a call if neither the caller nor a route states one.
DEFAULT_TIMEOUT_MS: Final = 30_000
# A final answer is sent this long before the caller's timeout, which allows for
# the network delay within a region.
_NETWORK_DELAY_MS: Final = 10


@final
class CallTerms:
    """What the configuration says of a request."""

    __slots__ = ('customer', 'route', 'tiers')

    def __init__(
        self,
        *,
        route: Route,
        customer: GatewayCustomer | None,
        tiers: tuple[int, ...],
    ) -> None:
        """Initialize the terms.

        :param route: the route that serves the request.
        :param customer: the sender, None on public routes.
        :param tiers: the tiers of the configuration.
        """
        self.route = route
        self.customer = customer
        self.tiers = tiers


def find_terms(
    routes: Routes | None, head: CallHead
) -> Result[CallTerms, Refusal]:
    """Find the route and customer of a request.

    :param routes: the configuration in force, None if there is none yet.
    :param head: head of the request.
    :returns: what was found, or why the request is refused.
    """
    if routes is None:
        left_ms = head.time_left_ms or DEFAULT_TIMEOUT_MS
        return Failure(refuse_no_routes(left_ms))
    route = routes.find_route(head.host, head.path)
    if route is None:
        refusal = refuse_request(
            http.HTTPStatus.NOT_FOUND,
            'no_route',
            'There is no route.',
        )
        return Failure(refusal)
    customer = _find_customer(routes, route, head)
    if customer is None and _requires_key(routes, route):
        refusal = refuse_request(
            http.HTTPStatus.UNAUTHORIZED,
            'unknown_key',
            'The key is unknown.',
        )
        return Failure(refusal)
    return Success(
        CallTerms(route=route, customer=customer, tiers=routes.tiers)
    )


def accept_call(
    routes: Routes | None,
    head: CallHead,
    body: RequestBody,
    arrived_ms: int,
) -> Result[Call, Refusal]:
    """Accept or refuse a request.

    :param routes: the configuration in force, None if there is none yet.
    :param head: head of the request.
    :param body: the whole body of the request.
    :param arrived_ms: time in milliseconds at which the head was received.
    :returns: the accepted call, or the refusal to answer with.
    """
    found = find_terms(routes, head)
    if not isinstance(found, Success):
        return Failure(found.failure())
    terms = found.unwrap()
    route, customer = terms.route, terms.customer
    left_ms = route.timeout_ms
    if head.time_left_ms is not None:
        left_ms = min(left_ms, head.time_left_ms)
    return Success(
        Call(
            head=head,
            body=body.payload,
            route=route,
            customer=customer,
            arrived_ms=arrived_ms,
            fingerprint=make_fingerprint(
                head,
                customer.name if customer else '',
                body.digest,
            ),
            part_fingerprints=tuple(
                map(
                    make_part_fingerprint,
                    head.prompt.shared_parts if head.prompt else (),
                ),
            ),
            deadline_ms=arrived_ms + left_ms - _NETWORK_DELAY_MS,
            priority=engine_priority(
                route.tier,
                customer.tier if customer else None,
                terms.tiers,
            ),
        ),
    )


def _requires_key(routes: Routes, route: Route) -> bool:
    return bool(routes.customers) and not route.public


def _find_customer(
    routes: Routes,
    route: Route,
    head: CallHead,
) -> GatewayCustomer | None:
    if not _requires_key(routes, route) or head.api_key is None:
        return None
    return routes.find_customer(head.api_key)
