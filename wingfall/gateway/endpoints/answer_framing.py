"""What the head of an answer says of its body."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import h11

_EVENT_STREAM: Final = b'text/event-stream'
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS_STATUSES: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED),
)


def is_stream(response: h11.Response) -> bool:
    """Check if an answer is a stream of events.

    :param response: head of the answer.
    :returns: whether its body consists of events.
    """
    content_types = [
        text for name, text in response.headers if name == b'content-type'
    ]
    return response.status_code == http.HTTPStatus.OK and any(
        content_type.startswith(_EVENT_STREAM) for content_type in content_types
    )


def find_body_length(method: bytes, response: h11.Response) -> int:
    """Return the length of the body that the head of an answer names.

    :param method: method of the request.
    :param response: head of the answer.
    :returns: the length in bytes, 0 if there is no body or no length.
    """
    if method == b'HEAD' or response.status_code in _BODILESS_STATUSES:
        return 0
    for name, text in response.headers:
        if name == b'content-length':
            return int(text)
    return 0


def ends_with_connection(method: bytes, response: h11.Response) -> bool:
    """Check if only the end of the connection ends the body of an answer.

    :param method: method of the request.
    :param response: head of the answer.
    :returns: whether the body has neither a length nor chunks.
    """
    if method == b'HEAD' or response.status_code in _BODILESS_STATUSES:
        return False
    names = {name for name, _text in response.headers}
    return names.isdisjoint(_FRAMING_HEADERS)
