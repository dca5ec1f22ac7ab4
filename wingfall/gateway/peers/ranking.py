"""An order of gateways that all of them agree on without a word."""

from __future__ import annotations

import hashlib


def rank(name: str) -> bytes:
    """Order gateways the same way everywhere.

    :param name: name of a gateway.
    :returns: what it is sorted by.
    """
    return hashlib.sha256(name.encode()).digest()
