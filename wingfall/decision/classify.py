"""Which request class a request belongs to."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from wingfall.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.objects.request_class import RequestClass


def select_class(
    classes: Iterable[RequestClass],
    labels: Mapping[str, str],
) -> Result[RequestClass, Refusal]:
    """Select the class whose selector says most about a request.

    Of the classes that match, the one with most requirements is taken; among
    equals the lowest tier, so that labels must earn a high one, then the name.

    :param classes: all classes.
    :param labels: labels of request and customer, the customer's first.
    :returns: the class, or the refusal.
    """
    matching = [known for known in classes if known.requests.matches(labels)]
    if not matching:
        return Failure(
            Refusal(
                status=http.HTTPStatus.BAD_REQUEST,
                kind='invalid_request_error',
                code='no_class',
                message='no request class matches the labels of this request',
            ),
        )
    return Success(
        max(
            matching,
            key=lambda known: (
                len(known.requests.requirements),
                known.tier,
                known.name,
            ),
        ),
    )


def check_class(
    found: RequestClass | None,
    name: str,
    labels: Mapping[str, str],
) -> Result[RequestClass, Refusal]:
    """Check a class that the caller named.

    :param found: the class of that name, if there is one.
    :param name: the name.
    :param labels: labels of request and customer.
    :returns: the class, or the refusal.
    """
    if found is None:
        return Failure(
            Refusal(
                status=http.HTTPStatus.BAD_REQUEST,
                kind='invalid_request_error',
                code='unknown_class',
                message=f'there is no request class {name!r}',
            ),
        )
    if not found.requests.matches(labels):
        return Failure(
            Refusal(
                status=http.HTTPStatus.FORBIDDEN,
                kind='permission_error',
                code='class_not_allowed',
                message=f'class {name!r} takes only {found.requests.text!r}',
            ),
        )
    return Success(found)
