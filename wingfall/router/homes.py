"""Which endpoints share the idempotency keys of which requests.

A key has one home, named by rendezvous hashing among the endpoints that are
configured, up or not, so that all routers name the same one whatever they can
reach. Agents are told the members ahead of any key: one that becomes a new
home must know since when.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.config.copy import ConfigCopy
    from wingfall.objects.endpoint import Endpoint


@final
class Home:
    """The endpoint that knows an idempotency key."""

    __slots__ = ('endpoint', 'members')

    def __init__(self, *, endpoint: str, members: bytes) -> None:
        """Name a home.

        :param endpoint: name of the endpoint, empty if none may serve.
        :param members: digest of the endpoints it was named among.
        """
        self.endpoint = endpoint
        self.members = members


def find_home(key: str, endpoints: Iterable[str]) -> Home:
    """Find the home of a key.

    :param key: the key.
    :param endpoints: names of the endpoints that share such keys.
    :returns: the home.
    """
    names = sorted(endpoints)
    # Rendezvous hashing: a member that comes or goes moves only its keys.
    endpoint = max(names, key=lambda name: _digest((key, name)), default='')
    return Home(endpoint=endpoint, members=_digest(names))


def members_by_endpoint(copy: ConfigCopy) -> dict[str, dict[str, bytes]]:
    """Work out what each endpoint's agent must be told.

    :param copy: the configuration; its unrepeatable classes count.
    :returns: by endpoint the digest of the members of each of its homes.
    """
    told: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
    for terms in copy.classes:
        if terms.repeatable:
            continue
        usable = [
            endpoint
            for endpoint in copy.endpoints
            if terms.endpoints.matches(endpoint.labels)
        ]
        for resource, names in _by_resource(usable).items():
            members = _digest(sorted(names))
            for name in names:
                told[name][home_name(terms.name, resource)] = members
    return told


def home_name(class_name: str, resource: str) -> str:
    """Name what keys are homed by.

    :param class_name: class of the requests.
    :param resource: their model or service.
    :returns: the name.
    """
    return f'{class_name}/{resource}'


def _by_resource(endpoints: Iterable[Endpoint]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = collections.defaultdict(list)
    for endpoint in endpoints:
        resources = endpoint.models
        if endpoint.service is not None:
            resources = frozenset((endpoint.service,))
        for resource in resources:
            groups[resource].append(endpoint.name)
    return groups


def _digest(parts: Iterable[str]) -> bytes:
    return hashlib.sha256('\n'.join(parts).encode()).digest()
