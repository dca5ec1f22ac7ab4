"""Faults and promises of a soak that tries to end gateways.

Apart from the others, so that the seeds of soaks without it stay the same
series.
"""

from __future__ import annotations

import pathlib
import signal
import socket
from typing import TYPE_CHECKING, Final, final

import gevent
import yaml

from tools.fleet import HOST, listens, wait_for
from tools.soak.site import STEADY_KEY
from wingfall.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from tools.fleet import Process
    from tools.soak.faults import Fault
    from tools.soak.site import SoakSite

endurance_faults: Final[Registry[Fault]] = Registry(kind='endurance fault')

# Memory of the smallest VM of the users in megabytes.
MEMORY_MB: Final = 128
_KIB_PER_MB: Final = 1024
_WATCH_INTERVAL_S: Final = 0.05
# Texts behind a sound file that make it one that can't be taken.
_UNSOUND_SETTINGS: Final = (
    b'a: &a [*a]\n',
    b'x: !!python/object:os.system {}\n',
    b'a: 9999-99-99\n',
    b'? [a]\n: b\n',
    b'a: %b\n' % (b'9' * 6000),
    b'a: %b\n' % (b'[' * 10_000),
    b'limits: {stop_s: .nan}\n',
    b'\x00\xff\xfe',
    b'{',
)
_RANDOM_BYTES: Final = 200
_CROWD: Final = (20, 120)
_BODY: Final = bytes(4_000_000)
_SHORT_BODY: Final = bytes(200_000)
_MISSING: Final = (1, 1000, 100_000)
_HEAD: Final = (
    'POST /safe/crowd HTTP/1.1\r\nHost: site.example\r\n'
    'Authorization: Token {key}\r\nX-Deadline-Ms: 4000\r\n'
    'Content-Length: {length}\r\n\r\n'
)
# The head of a request that ends in a header without an end.
_HEADER_BYTES: Final = 15_000
_ENDLESS_HEAD: Final = b'GET /safe/crowd HTTP/1.1\r\nX-Long: %b'
_ENDLESS_HEADS: Final = 0.2
_CALLERS_LEAVE: Final = 0.5
_RANDOM_SETTINGS: Final = 0.3
_CALLER_TIMEOUT_S: Final = 6
_PORTS: Final = ('readiness', 'admin', 'peers')


@final
class GatewayWatch:
    """Notes gateways that end by themselves, and how large they grow."""

    def __init__(self, *, site: SoakSite) -> None:
        """Start to watch.

        :param site: the site.
        """
        self._site = site
        self._ended: dict[int, str] = {}
        self._peak_kib: dict[str, int] = {}
        self._watching = gevent.spawn(self._watch)

    def stop(self) -> list[str]:
        """Watch no more.

        :returns: what broke a promise, in words.
        """
        self._watching.kill()
        broken = list(self._ended.values())
        for name, peak_kib in self._peak_kib.items():
            if peak_kib > MEMORY_MB * _KIB_PER_MB:
                broken.append(f'{name} grew to {peak_kib} KiB')
        return broken

    @property
    def peak_mb(self) -> int:
        """Highest resident memory of a gateway in megabytes."""
        return max(self._peak_kib.values(), default=0) // _KIB_PER_MB

    def _watch(self) -> None:
        while True:  # noqa: WPS457
            for name, gateway in self._site.gateways.items():
                self._look_at(name, gateway)
            gevent.sleep(_WATCH_INTERVAL_S)

    def _look_at(self, name: str, gateway: Process) -> None:
        child = gateway.child
        code = child.poll()
        if code is None:
            peak_kib = max(_read_peak_kib(child.pid), self._peak_of(name))
            self._peak_kib[name] = peak_kib
        elif not self._site.held[name].locked():
            self._ended[child.pid] = f'{name} ended by itself with {code}'

    def _peak_of(self, name: str) -> int:
        return self._peak_kib.get(name, 0)


@endurance_faults.register('settings_unsound')
def spoil_settings(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Replace a gateway's settings by ones that can't be taken, and back."""
    name = chance.choice(list(site.gateways))
    gateway = site.gateways[name]
    path = pathlib.Path(gateway.command[-1])
    with site.held[name]:
        # A gateway that listens for callers may not have read them yet.
        readiness = _find_port(gateway, 'readiness')
        wait_for(lambda: listens(readiness), f'{name} to read its settings')
        sound = path.read_bytes()
        path.write_bytes(sound + _draw_unsound(chance))
        gateway.signal(signal.SIGHUP)
        gevent.sleep(for_s)
        ended = gateway.child.poll()
        path.write_bytes(sound)
        if ended is None:
            gateway.signal(signal.SIGHUP)
    if ended is not None:
        # The watch sees it now that the gateway is no longer held.
        gevent.sleep(2 * _WATCH_INTERVAL_S)
        with site.held[name]:
            gateway.restart()


@endurance_faults.register('callers_crowd')
def crowd(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have many callers send bodies or heads that they don't finish."""
    gateway = site.gateways[chance.choice(list(site.gateways))]
    body = chance.choice((_BODY, _BODY, _SHORT_BODY))
    head = _HEAD.format(key=STEADY_KEY, length=len(body)).encode()
    unfinished = memoryview(body)[: -chance.choice(_MISSING)]
    if chance.random() < _ENDLESS_HEADS:
        head = _ENDLESS_HEAD % (b'a' * _HEADER_BYTES)
        unfinished = memoryview(b'')
    callers = [
        gevent.spawn(_send, gateway.port, head, unfinished)
        for _caller in range(chance.randrange(*_CROWD))
    ]
    gevent.sleep(for_s)
    if chance.random() < _CALLERS_LEAVE:
        gevent.killall(callers)
    gevent.joinall(callers)


@endurance_faults.register('ports_in_use')
def restart_beside_used_port(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Start a gateway again while one of its ports is in use."""
    name = chance.choice(list(site.gateways))
    gateway = site.gateways[name]
    wanted = chance.choice(_PORTS)
    with site.held[name]:
        site.disturb(name)
        gateway.kill()
        holder = _listen(_find_port(gateway, wanted))
        gateway.restart()
        site.disturb(name)
    gevent.sleep(for_s)
    site.disturb(name)
    holder.close()


def _draw_unsound(chance: random.Random) -> bytes:
    if chance.random() < _RANDOM_SETTINGS:
        return chance.randbytes(_RANDOM_BYTES)
    return chance.choice(_UNSOUND_SETTINGS)


def _find_port(gateway: Process, wanted: str) -> int:
    path = pathlib.Path(gateway.command[-1])
    settings = yaml.safe_load(path.read_text('utf-8'))
    if wanted == 'admin':
        return int(settings['admin']['port'])
    address = settings[wanted]
    if wanted == 'peers':
        address = address['listen']
    return int(address.rpartition(':')[2])


def _listen(port: int) -> socket.socket:
    return socket.create_server((HOST, port))


def _send(port: int, head: bytes, body: memoryview) -> None:
    try:
        with socket.create_connection((HOST, port), _CALLER_TIMEOUT_S) as sock:
            sock.sendall(head)
            sock.sendall(body)
            sock.recv(_RANDOM_BYTES)
    except OSError:
        # The gateway was ended, or waits no longer for the rest.
        return


def _read_peak_kib(pid: int) -> int:
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text('ascii')
    except OSError:
        return 0
    return _parse_peak_kib(status.splitlines())


def _parse_peak_kib(lines: list[str]) -> int:
    peaks: Iterator[str] = (each for each in lines if each.startswith('VmHWM'))
    found = next(peaks, '')
    return int(found.split()[1]) if found else 0
