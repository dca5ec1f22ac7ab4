"""Opens the callers' port before the rest of the program is imported.

A restart takes some tenths of a second, most of it for imports. Connections
queue during that time and are served late instead of being refused, so this
module imports only what it needs.
"""

from __future__ import annotations

import os
import re
import socket

# Limit of connections that queue while the program loads, about 0.5 s.
BACKLOG = 1024
# Limit of what is read of the settings; a longer file is refused later.
_MAX_BYTES = 262_144
_SETTINGS_FLAG = '--settings'
# A whole line, since the file may be half written.
_CALLERS_SETTING = re.compile(
    r'^callers:\s*("?)([\d.]+):(\d{1,5})\1[ \t]*\n', re.MULTILINE
)


def listen_early(arguments: list[str]) -> socket.socket | None:
    """Listen for callers on the address in the settings file.

    A file that can't be read here is reported by the later check of the
    settings.

    :param arguments: command line, with the program name first.
    :returns: the listening socket, None if no address was found or bound.
    """
    address = _find_address(arguments)
    if address is None:
        return None
    sock = socket.socket()
    try:
        _listen(sock, address)
    except (OSError, OverflowError):
        sock.close()
        return None
    return sock


def _listen(sock: socket.socket, address: tuple[str, int]) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)


def _find_address(arguments: list[str]) -> tuple[str, int] | None:
    if _SETTINGS_FLAG not in arguments[:-1]:
        return None
    path = arguments[arguments.index(_SETTINGS_FLAG) + 1]
    try:
        text = _read(path).decode()
    except (OSError, ValueError):
        return None
    match = _CALLERS_SETTING.search(text)
    return (match.group(2), int(match.group(3))) if match else None


def _read(path: str) -> bytes:
    # A pipe in place of the file would block a plain open for good.
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    try:
        return os.read(descriptor, _MAX_BYTES)
    finally:
        os.close(descriptor)
