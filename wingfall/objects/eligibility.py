"""Which endpoints may serve what, by labels and models."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wingfall.objects.endpoint import Endpoint
    from wingfall.objects.request_class import RequestClass


def why_not(
    endpoint: Endpoint,
    *,
    request_class: RequestClass,
    model: str | None,
    service: str | None,
) -> str:
    """Tell why an endpoint can't serve a request.

    :param endpoint: the endpoint.
    :param request_class: class of the request.
    :param model: its model, for an engine.
    :param service: its service, for a plain service.
    :returns: the reason, empty if it can.
    """
    if service != endpoint.service:
        return f'serves {endpoint.service or "models"}'
    if model is not None and model not in endpoint.models:
        return f'has no model {model}'
    if not request_class.endpoints.matches(endpoint.labels):
        return f'labels miss {request_class.endpoints.text!r}'
    return ''
