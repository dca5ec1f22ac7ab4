"""Resolver that reads IP numbers without a thread.

gevent's resolvers hand each address to a pool of threads, which a machine may
refuse to start and which take memory. All addresses of a site are IP numbers.
"""

from __future__ import annotations

import socket
from typing import Any, Callable, Final, final

from gevent.monkey import get_original
from gevent.resolver.thread import Resolver

_look_up: Final = get_original('socket', 'getaddrinfo')


@final
class NumericResolver(Resolver):
    """Looks up names as gevent does, and reads numbers itself."""

    def getaddrinfo(  # noqa: WPS211
        self,
        host: Any,
        port: Any,
        family: int = 0,
        type: int = 0,  # noqa: A002, WPS125
        proto: int = 0,
        flags: int = 0,
    ) -> list[Any]:
        """Return the addresses of a host and port.

        :param host: name or IP number.
        :param port: its port.
        :param family: family of the addresses, 0 for any.
        :param type: kind of the sockets, 0 for any.
        :param proto: their protocol, 0 for any.
        :param flags: flags of the look-up.
        :returns: the addresses as the standard library lists them.
        :raises OSError: if there are none, or no thread can look them up.
        """
        query = (host, port, family, type, proto)
        try:
            return _look_up(*query, flags | socket.AI_NUMERICHOST)
        except socket.gaierror:
            return _call_in_thread(super().getaddrinfo, *query, flags)


def _call_in_thread(look_up: Callable[..., list[Any]], *query: Any) -> Any:
    try:
        return look_up(*query)
    except RuntimeError as error:
        # No thread can be started.
        raise OSError(f'the name was not looked up: {error}') from error
