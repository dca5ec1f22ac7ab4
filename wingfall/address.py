"""IP numbers with a port, as texts of entries and other processes.

Names of hosts are no addresses: looking one up can take seconds, and raises
more than errors of the operating system.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Final, final

from returns.result import Failure, Result, Success

# Maximum TCP port.
_MAX_PORT: Final = 65_535
# Maximum characters of a text that is read: an IPv6 number that ends with an
# IPv4 number, two brackets, a colon and a port.
_MAX_CHARS: Final = 53
# Without a sign, zeros before the number, and digits of other scripts.
_PORT: Final = re.compile('0|[1-9][0-9]{0,4}')
# Characters of a text that a reason shows.
_MAX_SHOWN: Final = 60
_BROADCAST: Final = ipaddress.IPv4Address('255.255.255.255')


@final
class Address:
    """An IP number and a TCP port."""

    __slots__ = ('host', 'port')

    def __init__(self, *, host: str, port: int) -> None:
        """Create an address.

        :param host: IP number, without brackets.
        :param port: TCP port.
        """
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Format as ``host:port``, an IPv6 number in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


def parse_address(text: str) -> Result[Address, str]:
    """Read an address to listen on.

    :param text: ``host:port``; an IPv6 number may be in brackets.
    :returns: the address, or why there is none.
    """
    if len(text) > _MAX_CHARS:
        return _fail(text, 'is too long')
    host, _colon, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        return _fail(text, 'has no port')
    if host.startswith('[') and host.endswith(']'):
        return _read_host(text, host[1:-1], int(port), is_bracketed=True)
    return _read_host(text, host, int(port))


def parse_destination(text: str) -> Result[Address, str]:
    """Read an address that a connection can be opened to.

    :param text: ``host:port``; an IPv6 number may be in brackets.
    :returns: the address, or why there is none.
    """
    return parse_address(text).bind(_check_destination)


def _read_host(
    text: str, host: str, port: int, *, is_bracketed: bool = False
) -> Result[Address, str]:
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return _fail(text, 'has no IP number')
    if number.version == 4 and is_bracketed:
        return _fail(text, 'has an IPv4 number in brackets')
    # A scope means something on one VM alone.
    if '%' in host:
        return _fail(text, 'has a scope')
    return Success(Address(host=host, port=port))


def _check_destination(address: Address) -> Result[Address, str]:
    number = ipaddress.ip_address(address.host)
    mapped = getattr(number, 'ipv4_mapped', None) or number
    if mapped.is_unspecified or mapped.is_multicast or mapped == _BROADCAST:
        return _fail(str(address), 'is not the address of one VM')
    if not address.port:
        return _fail(str(address), 'has port 0')
    return Success(address)


def _fail(text: str, reason: str) -> Result[Address, str]:
    return Failure(f'{text[:_MAX_SHOWN]!r} {reason}')
