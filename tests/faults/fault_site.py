"""A site of real processes, with relays between routers and agents."""

from __future__ import annotations

import signal
import time
import uuid
from typing import TYPE_CHECKING, Any, Final, final

import gevent
import urllib3

from tests.faults.frame_relay import FrameRelay
from tools.caller import Ask, Caller
from tools.fleet import HOST, Fleet, free_port, wait_for
from wingfall.objects.customer import hash_key

if TYPE_CHECKING:
    import pathlib

    from tools.caller import Outcome
    from tools.fleet import Process

KEY: Final = 'fault-key'
ENDPOINTS: Final = ('engine-0', 'engine-1', 'seats-0')
ROUTERS: Final = ('a', 'b')
# A fresh agent refuses keys that are younger than this, see keys.py.
_KEY_AGE_S: Final = 5.5
_TOKENS: Final = 15
_TRIES: Final = 12
_PAUSE_S: Final = 0.25
_MS: Final = 1000
_VERSION_SHIFT: Final = 76
_TIME_SHIFT: Final = 80
_VARIANT_SHIFT: Final = 62


@final
class FaultSite:
    """Two routers, two engines and a plain service, all processes."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        """Start everything.

        :param folder: folder for settings and logs.
        """
        self.fleet = Fleet(folder=folder)
        self.caller = Caller(connections=50)
        self.relays = {name: FrameRelay() for name in ENDPOINTS}
        self.platform = self.fleet.start_standin('platform', 'platform')
        self._write_objects()
        for name in ENDPOINTS:
            self._start_endpoint(name)
        self._start_routers()
        self.wait_healthy()
        gevent.sleep(_KEY_AGE_S)

    def process(self, name: str) -> Process:
        """Find a process.

        :param name: its name in the fleet.
        :returns: the process.
        """
        return self.fleet.processes[name]

    def router(self, name: str) -> Process:
        """Find a router.

        :param name: ``a`` or ``b``.
        :returns: its process.
        """
        return self.process(f'router-{name}')

    def script(self, name: str, **script: Any) -> None:
        """Script a stand-in.

        :param name: the stand-in.
        :param script: what it shall do.
        """
        self.fleet.post_json(f'{self.process(name).url}/script', script)

    def ask(self, router: str, kind: str, marker: str) -> Outcome:
        """Send a request.

        :param router: where to.
        :param kind: ``stream``, ``once`` or ``seat``.
        :param marker: what the caller calls it.
        :returns: what came of it.
        """
        return self.caller.send(self.make_ask(router, kind, marker))

    def make_ask(self, router: str, kind: str, marker: str) -> Ask:
        """Make a request.

        :param router: where to.
        :param kind: ``stream``, ``once`` or ``seat``.
        :param marker: what the caller calls it.
        :returns: the request.
        """
        path = '/v1/chat/completions'
        payload: dict[str, Any] = {
            'model': 'm',
            'stream': True,
            'max_tokens': _TOKENS,
            'messages': [],
        }
        headers = {'X-Marker': marker}
        if kind == 'seat':
            path, payload = '/services/seats/assign', {'seat': marker}
        elif kind == 'once':
            headers['Wingfall-Repeatable'] = 'no'
        return Ask(
            url=self.router(router).url + path,
            key=KEY,
            class_name='seat' if kind == 'seat' else 'chat',
            payload=payload,
            target={},
            headers=headers,
        )

    def ask_keyed(self, marker: str) -> list[Outcome]:
        """Ask for a seat by a key, through either router, until it is known.

        :param marker: what the caller calls it.
        :returns: what came of each try.
        """
        key = _make_key()
        tries: list[Outcome] = []
        for number in range(_TRIES):
            router = ROUTERS[number % len(ROUTERS)]
            ask = self.make_ask(router, 'seat', marker)
            ask.headers['Idempotency-Key'] = key
            tries.append(self.caller.send(ask))
            if tries[-1].whole:
                break
            gevent.sleep(_PAUSE_S)
        return tries

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Join the ledgers.

        :returns: runs by request id.
        """
        joined: dict[str, list[dict[str, Any]]] = {}
        for name in ENDPOINTS:
            ledger = self.fleet.get_json(f'{self.process(name).url}/ledger')
            for request_id, runs in ledger.items():
                joined.setdefault(request_id, []).extend(runs)
        return joined

    def inversions(self) -> int:
        """Count requests shed while one of a lower tier was kept.

        :returns: the sum over all agents.
        """
        return sum(
            self.fleet.get_json(
                f'{self.process(f"agent-{name}").admin_url}/status',
            )['inversions']
            for name in ENDPOINTS
        )

    def version_at(self, router: str) -> int | None:
        """Read the version in force at a router.

        :param router: its name.
        :returns: the version, None if it doesn't answer.
        """
        try:
            response = urllib3.request(
                'GET',
                f'{self.router(router).admin_url}/status',
                timeout=1,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return int(response.json()['config_version'])

    def accepted(self) -> int:
        """Read the accepted version.

        :returns: the version.
        """
        return int(
            self.fleet.get_json(f'{self.platform.url}/ledger')['version'],
        )

    def wait_healthy(self) -> None:
        """Wait until both routers reach all endpoints and are up to date."""
        for name in ROUTERS:
            self.fleet.wait_links(self.router(name), len(ENDPOINTS))
        wait_for(
            lambda: all(
                self.version_at(name) == self.accepted() for name in ROUTERS
            ),
            'the routers to be up to date',
        )

    def heal(self) -> None:
        """Undo all faults and wait until the site is whole again."""
        for name in ('platform', *ENDPOINTS):
            self.script(name)
        for relay in self.relays.values():
            relay.hook = lambda _message: True
        for process in self.fleet.processes.values():
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
            else:
                process.restart()
        self.wait_healthy()

    def serves(self) -> bool:
        """Tell whether each router serves a request of each kind.

        :returns: whether it does, within some tries.
        """
        return all(
            self._serves(router, kind)
            for router in ROUTERS
            for kind in ('stream', 'seat')
        )

    def put(self, kind: str, name: str, **spec: Any) -> None:
        """Write an object that is not there yet.

        :param kind: its kind.
        :param name: its name.
        :param spec: its spec.
        """
        metadata = {'name': name}
        self.fleet.put_object(
            self.platform,
            {'kind': kind, 'metadata': metadata, 'spec': spec},
        )

    def close(self) -> None:
        """End all processes."""
        self.fleet.stop()
        for relay in self.relays.values():
            relay.reset()

    def _serves(self, router: str, kind: str) -> bool:
        for _try in range(_TRIES):
            if self.ask(router, kind, str(uuid.uuid4())).whole:
                return True
            gevent.sleep(_PAUSE_S)
        return False

    def _write_objects(self) -> None:
        for name, repeatable in (('chat', True), ('seat', False)):
            self.put(
                'RequestClass',
                name,
                tier=1,
                timeout_ms=8000,
                repeatable=repeatable,
            )
        self.put('Customer', 'oslo', key_hashes=[hash_key(KEY)])

    def _start_endpoint(self, name: str) -> None:
        if name.startswith('seats'):
            standin = self.fleet.start_standin(name, 'plain_service')
            spec = {'type': 'service', 'service': 'seats'}
        else:
            standin = self.fleet.start_standin(
                name,
                'engine',
                '--token-ms=15',
                '--prefill-ms=15',
            )
            spec = {'type': 'engine', 'models': ['m']}
        agent = self.fleet.start_agent(
            name,
            standin,
            limits={'grant_ms': 400, 'orphan_ms': 2500, 'report_ms': 200},
        )
        relay = self.relays[name]
        relay.aim(agent.port)
        address = f'{HOST}:{relay.port}'
        self.put('Endpoint', name, address=address, zone='z', **spec)

    def _start_routers(self) -> None:
        ports = [free_port() for _name in ROUTERS]
        for name, port, other in zip(
            ROUTERS, ports, reversed(ports), strict=True
        ):
            self.fleet.start_router(
                name,
                self.platform,
                platform={'watch_ms': 2000, 'timeout_ms': 1000},
                peers={'port': port, 'seeds': [f'{HOST}:{other}']},
                limits={'resume_ms': 1500},
            )


def _make_key() -> str:
    # A UUIDv7; the standard library of this Python has none.
    made = (int(time.time() * _MS) << _TIME_SHIFT) | (7 << _VERSION_SHIFT)
    chance = uuid.uuid4().int & ((1 << _VARIANT_SHIFT) - 1)
    return str(uuid.UUID(int=made | (2 << _VARIANT_SHIFT) | chance))
