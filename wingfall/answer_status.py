"""Statuses that an endpoint may answer."""

from __future__ import annotations

from typing import Final

# Final statuses of HTTP (RFC 9110, section 15). Lower ones are informational,
# so that an answer follows; higher ones have no meaning.
_MIN_STATUS: Final = 200
_MAX_STATUS: Final = 599


def is_final_status(status: int) -> bool:
    """Check if a status is that of a final answer.

    :param status: status of an answer.
    :returns: whether HTTP defines its class, and no other answer follows.
    """
    return _MIN_STATUS <= status <= _MAX_STATUS
