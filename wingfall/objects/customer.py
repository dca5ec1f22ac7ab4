"""A customer: who calls, what they may use and what they count."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, final

from returns.result import Result, Success

if TYPE_CHECKING:
    from collections.abc import Mapping


@final
class Customer:
    """One customer and the hashes of its API keys."""

    __slots__ = (
        'concurrent',
        'key_hashes',
        'labels',
        'name',
        'requests_per_s',
        'worth',
    )

    def __init__(
        self,
        *,
        name: str,
        labels: Mapping[str, str],
        key_hashes: tuple[str, ...],
        worth: float,
        requests_per_s: float | None,
        concurrent: int | None,
    ) -> None:
        """Describe a customer.

        :param name: name of the object.
        :param labels: its labels, which go before those of a request.
        :param key_hashes: SHA-256 of each API key, in hex.
        :param worth: its weight beside other customers of a tier.
        :param requests_per_s: limit of its rate, None for no limit.
        :param concurrent: limit of its open requests, None for no limit.
        """
        self.name = name
        self.labels = labels
        self.key_hashes = key_hashes
        self.worth = worth
        self.requests_per_s = requests_per_s
        self.concurrent = concurrent


def parse_customer(
    name: str,
    labels: Mapping[str, str],
    spec: Mapping[str, Any],
) -> Result[Customer, str]:
    """Make a customer from an object that met its schema.

    :param name: name of the object.
    :param labels: labels of the object.
    :param spec: its ``spec``.
    :returns: the customer.
    """
    limits = spec.get('limits', {})
    return Success(
        Customer(
            name=name,
            labels=labels,
            key_hashes=tuple(spec['key_hashes']),
            worth=spec.get('worth', 1),
            requests_per_s=limits.get('requests_per_s'),
            concurrent=limits.get('concurrent'),
        ),
    )


def hash_key(key: str) -> str:
    """Hash an API key the way customers store it.

    :param key: the key as the caller sends it.
    :returns: its SHA-256 in hex.
    """
    return hashlib.sha256(key.encode()).hexdigest()
