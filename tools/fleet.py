"""Starts a small wingfall with stand-ins, each as a process of its own."""

from __future__ import annotations

import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from typing import Any, Final, final

import orjson
import urllib3
import yaml

from wingfall.answer_head import make_pool_manager

HOST: Final = '127.0.0.1'
_SECRET: Final = 'a secret for local use only\n'
_READY_S: Final = 30
_POLL_S: Final = 0.05
_STOP_S: Final = 20
_LAST_LINES: Final = 10
_FIRST_PORT: Final = 20_000
_LAST_PORT: Final = 32_000
_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent


@final
class ChildEndedError(Exception):
    """A process that was started ended before it listened."""

    def __init__(self, name: str, code: int, log: pathlib.Path) -> None:
        """Tell what it left behind.

        :param name: its name.
        :param code: its exit code, below zero for a signal.
        :param log: file of what it printed.
        """
        last = log.read_text('utf-8', 'replace').splitlines()[-_LAST_LINES:]
        told = '\n'.join(last)
        super().__init__(f'{name} ended with {code}; its log ends:\n{told}')


@final
class Process:
    """One child process and where it listens."""

    __slots__ = (
        '_own_session',
        'admin_port',
        'child',
        'command',
        'folder',
        'log',
        'name',
        'port',
        'started_s',
    )

    def __init__(
        self,
        *,
        name: str,
        log: pathlib.Path,
        command: tuple[str, ...],
        port: int,
        admin_port: int = 0,
        own_session: bool = False,
        folder: pathlib.Path = _ROOT,
    ) -> None:
        """Start a child.

        :param name: its name.
        :param log: file for what it prints.
        :param command: how it is started.
        :param port: its main port.
        :param admin_port: its admin port, if it has one.
        :param own_session: whether it leads a session of its own; a child
            that is going to be stopped must, since the kernel hangs up a
            process group that loses its parent while a member is stopped.
        :param folder: where it runs, and is taken from if it is a module.
        """
        self.name = name
        self.log = log
        self.command = command
        self.folder = folder
        self.port = port
        self.admin_port = admin_port
        self._own_session = own_session
        # When it was started, by the steady clock.
        self.started_s: list[float] = []
        self.child = self._spawn()
        self._wait_until_it_listens()

    @property
    def url(self) -> str:
        """Base URL of the main port."""
        return f'http://{HOST}:{self.port}'

    @property
    def admin_url(self) -> str:
        """Base URL of the admin port."""
        return f'http://{HOST}:{self.admin_port}'

    def signal(self, number: signal.Signals) -> None:
        """Send a signal.

        :param number: the signal.
        """
        self.child.send_signal(number)

    def stop(self) -> int:
        """Ask for a planned stop and wait for it.

        :returns: the exit code.
        """
        self.signal(signal.SIGTERM)
        return self.wait()

    def kill(self) -> None:
        """End the process at once."""
        self.child.kill()
        self.child.wait()

    def restart(self) -> None:
        """Start it again by the same command, after it has ended."""
        if self.child.poll() is None:
            self.kill()
        self.child = self._spawn()
        self._wait_until_it_listens()

    def wait(self) -> int:
        """Wait for the process to end.

        :returns: the exit code.
        """
        return self.child.wait(timeout=_STOP_S)

    def _wait_until_it_listens(self) -> None:
        wait_for(
            lambda: self.child.poll() is not None or listens(self.port),
            f'{self.name} to listen',
        )
        code = self.child.poll()
        if code is not None:
            raise ChildEndedError(self.name, code, self.log)

    def _spawn(self) -> subprocess.Popen[bytes]:
        self.started_s.append(time.monotonic())
        with self.log.open('ab') as log:
            return subprocess.Popen(  # noqa: S603
                self.command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self.folder,
                env={**os.environ, 'PYTHONDONTWRITEBYTECODE': '1'},
                start_new_session=self._own_session,
            )


@final
class Fleet:
    """All processes of one run; their files are in one folder."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        program: tuple[str, ...] = (sys.executable, '-m', 'wingfall'),
    ) -> None:
        """Start with no processes.

        :param folder: folder for settings and logs.
        :param program: how wingfall is started.
        """
        self.processes: dict[str, Process] = {}
        self._folder = folder
        self._program = program
        self._http = make_pool_manager(retries=False)
        self._secret = folder / 'secret'
        self._secret.write_text(_SECRET)

    def start_standin(self, name: str, module: str, *options: str) -> Process:
        """Start a stand-in and wait until it listens.

        :param name: name of the process.
        :param module: its module in ``standins``.
        :param options: options of its command line.
        :returns: the process.
        """
        port = free_port()
        command = (sys.executable, '-m', f'standins.{module}', *options)
        process = Process(
            name=name,
            log=self._folder / f'{name}.log',
            command=(*command, '--port', str(port)),
            port=port,
        )
        self.processes[name] = process
        return process

    def start_agent(
        self,
        name: str,
        beside: Process,
        **changes: dict[str, Any],
    ) -> Process:
        """Start an agent beside an endpoint.

        :param name: name of the endpoint.
        :param beside: the endpoint.
        :param changes: settings that differ from the defaults, by section.
        :returns: the process.
        """
        settings = {
            'endpoint': {'url': beside.url, **changes.pop('endpoint', {})},
            **changes,
        }
        return self._start_daemon('agent', 'listen', name, settings)

    def start_router(
        self,
        name: str,
        store: Process,
        **changes: dict[str, Any],
    ) -> Process:
        """Start a router.

        :param name: its name.
        :param store: the platform.
        :param changes: settings that differ from the defaults, by section.
        :returns: the process.
        """
        settings = {
            'platform': {'url': store.url, **changes.pop('platform', {})},
            **changes,
        }
        return self._start_daemon('router', 'callers', name, settings)

    def get_json(self, url: str) -> Any:
        """Read JSON.

        :param url: where.
        :returns: the parsed answer.
        """
        return orjson.loads(self._http.request('GET', url).data)

    def get_text(self, url: str) -> str:
        """Read text.

        :param url: where.
        :returns: the answer.
        """
        return self._http.request('GET', url).data.decode()

    def post_json(self, url: str, body: Any) -> None:
        """Send JSON.

        :param url: where.
        :param body: what.
        """
        self._http.request('POST', url, body=orjson.dumps(body))

    def put_object(self, platform: Process, raw: dict[str, Any]) -> int:
        """Write an object to the platform.

        :param platform: the platform.
        :param raw: the object.
        :returns: the HTTP status.
        """
        kind, name = raw['kind'], raw['metadata']['name']
        url = f'{platform.url}/apis/wingfall/v1/objects/{kind}/{name}'
        return self._http.request('PUT', url, body=orjson.dumps(raw)).status

    def wait_links(self, router: Process, count: int) -> None:
        """Wait until a router can use a number of endpoints.

        :param router: the router.
        :param count: endpoints that must be up.
        """
        wait_for(
            lambda: self.links_up(router) >= count,
            f'{router.name} to reach {count} endpoints',
        )

    def links_up(self, router: Process) -> int:
        """Count the endpoints that a router can use.

        :param router: the router.
        :returns: how many are up.
        """
        try:
            status = self.get_json(f'{router.admin_url}/status')
        except urllib3.exceptions.HTTPError:
            return 0
        states = [link['state'] for link in status['endpoints'].values()]
        return states.count('up')

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()

    def _start_daemon(
        self,
        role: str,
        listener: str,
        name: str,
        changes: dict[str, Any],
    ) -> Process:
        port, admin_port = free_port(), free_port()
        settings = {
            'name': name,
            'zone': 'local',
            'secret_path': str(self._secret),
            listener: {'host': HOST, 'port': port},
            'admin': {'host': HOST, 'port': admin_port},
            **changes,
        }
        path = self._folder / f'{role}-{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        command = (*self._program, role, '--settings', str(path))
        process = Process(
            name=name,
            log=self._folder / f'{role}-{name}.log',
            command=command,
            port=port,
            admin_port=admin_port,
        )
        self.processes[f'{role}-{name}'] = process
        return process


def free_port() -> int:
    """Find a free port on loopback.

    It lies below the ports that the kernel gives to outgoing connections, one
    of which could take it before the process that it is for listens.

    :returns: the port.
    """
    chance = random.SystemRandom()
    while True:  # noqa: WPS457
        port = chance.randrange(_FIRST_PORT, _LAST_PORT)
        if not listens(port):
            return port


def wait_for(condition: Any, what: str, timeout_s: float = _READY_S) -> None:
    """Wait for a condition.

    :param condition: a function that becomes true.
    :param what: what is waited for, for the error.
    :param timeout_s: longest wait.
    :raises TimeoutError: if it stays false.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f'waited {timeout_s} s for {what}')
        time.sleep(_POLL_S)


def listens(port: int) -> bool:
    """Check if something listens on a port.

    :param port: the port.
    :returns: whether it takes connections.
    """
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0
