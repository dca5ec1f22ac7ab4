"""Takes callers' connections before the rest of the program is loaded.

A restart takes some tenths of a second, most of it imports. Callers whose
connections wait for that time are served late instead of being refused, so
this module imports nothing but what it needs.
"""

from __future__ import annotations

import re
import socket

# Connections that wait while the program loads, some 0.5 s.
BACKLOG = 1024
_SETTINGS_FLAG = '--settings'
_CALLERS = re.compile(r'^callers:\s*"?([\d.]+):(\d+)"?\s*$', re.MULTILINE)


def listen_early(arguments: list[str]) -> socket.socket | None:
    """Listen for callers where the settings file says.

    The file is checked later; one that can't be read here is left to that
    check.

    :param arguments: the command line.
    :returns: the listening socket, None if the address isn't plain to see.
    """
    address = _find_address(arguments)
    if address is None:
        return None
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        return None
    sock.listen(BACKLOG)
    return sock


def _find_address(arguments: list[str]) -> tuple[str, int] | None:
    if _SETTINGS_FLAG not in arguments[:-1]:
        return None
    path = arguments[arguments.index(_SETTINGS_FLAG) + 1]
    try:
        with open(path, encoding='utf-8') as settings:
            found = _CALLERS.search(settings.read())
    except (OSError, UnicodeDecodeError):
        return None
    return (found.group(1), int(found.group(2))) if found else None
