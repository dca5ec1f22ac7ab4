# flake8: noqa
"""A small site of real processes on loopback, for the scripts of the cases.

It starts the project's own programs with the commands of the deploy file, the
project's store stand-in, and any stand-in of a case. It ends only what it
started, by their process ids.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = '127.0.0.1'
# Below the 120 seconds that a script may take, with time to end all.
_LONGEST_S = 112


class CannotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def note(self, text: str, at_s: float | None = None) -> None:
        now_s = time.monotonic() if at_s is None else at_s
        with self._lock:
            self._file.write(f'{now_s - self.start_s:8.3f} {text}\n')
            self._file.flush()


class Site:
    """Processes of one case; all of them end with :meth:`close`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self._held: list[socket.socket] = []
        self._taken: set[int] = set()
        self.store = ''
        self.gateways: dict[str, dict[str, str]] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()
        self._closed = False

    def free_port(self) -> int:
        """Return a free port below those of outgoing connections."""
        import random

        chance = random.SystemRandom()
        while True:
            port = chance.randrange(20_000, 32_000)
            if port in self._taken:
                continue
            with socket.socket() as sock:
                try:
                    sock.bind((HOST, port))
                except OSError:
                    continue
            self._taken.add(port)
            return port

    def start(self, name: str, command: list[str], path: str) -> None:
        """Start a process; ``path`` is its ``PYTHONPATH``."""
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = path
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self._commands[name] = (command, environment)
        self._spawn(name)

    def _spawn(self, name: str) -> None:
        if self._closed:
            raise CannotRunError('the site is closed')
        command, environment = self._commands[name]
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.note(f'start {name} pid={self.processes[name].pid}')

    def kill(self, name: str) -> None:
        """SIGKILL a process."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.record.note(f'SIGKILL {name}')

    def restart(self, name: str) -> None:
        """Start an ended process again by its command."""
        self._spawn(name)

    def start_store(self) -> None:
        """Start the project's stand-in of the platform's store."""
        port = self.free_port()
        self.store = f'{HOST}:{port}'
        self.start(
            'store',
            [
                sys.executable,
                '-S',
                '-m',
                'standins.object_store',
                '--port',
                str(port),
            ],
            'target/deps:.',
        )
        wait_for(lambda: listens(port), 'the store')

    def put(self, kind: str, name: str, spec: dict) -> float:
        """Write an object to the store; returns when it was acknowledged."""
        with self._lock:
            revision = self._revisions.get((kind, name))
            metadata: dict = {'name': name}
            verb, path = 'POST', f'/wingfall/objects/{kind}'
            if revision is not None:
                metadata['revision'] = revision
                verb, path = 'PUT', f'{path}/{name}'
            status, body = call_json(
                self.store, verb, path, {'metadata': metadata, 'spec': spec}
            )
            if status not in (200, 201):
                raise CannotRunError(f'the store answered {status}: {body}')
            self._revisions[kind, name] = body['metadata']['revision']
        self.record.note(f'store: {kind}/{name} = {json.dumps(spec)}')
        return time.monotonic()

    def start_gateways(self, count: int) -> None:
        """Start gateways by the command and the template of the deploy file."""
        control = [self.free_port() for _ in range(count)]
        seeds = [f'{HOST}:{port}' for port in control[:3]]
        for number in range(count):
            name = f'gateway-{number}'
            ports = [self.free_port() for _ in range(3)]
            settings = {
                'callers': f'{HOST}:{ports[0]}',
                'name': name,
                'zone': 'ab'[number % 2],
                'readiness': f'{HOST}:{ports[1]}',
                'admin': {'host': HOST, 'port': ports[2]},
                'binding': 'fjordgrid',
                'peers': {
                    'listen': f'{HOST}:{control[number]}',
                    'seeds': seeds,
                },
                'store': {'address': self.store},
                'resend': {'ratio': 0.2, 'slack': 54, 'window_s': 10},
                'limits': {'stop_s': 8},
                'policy': {
                    'large_pool': 9,
                    'short_gap_ms': 250,
                    'read_rates': 'shared',
                    'start_estimates': 'corrected',
                    'engine_groups': 'by_gap',
                    'admission': 'target',
                },
            }
            path = self.folder / f'{name}.yaml'
            # JSON is YAML; the early listener looks for a line of its own.
            lines = [
                f'{key}: {json.dumps(known)}' for key, known in settings.items()
            ]
            path.write_text('\n'.join(lines) + '\n', 'utf-8')
            self.gateways[name] = {
                'callers': settings['callers'],
                'readiness': settings['readiness'],
                'admin': f'{HOST}:{ports[2]}',
            }
            self.start(
                name,
                [
                    'python3',
                    '-S',
                    '-m',
                    'wingfall.gateway',
                    '--settings',
                    str(path),
                ],
                'target/deps',
            )

    def is_ready(self, name: str) -> bool:
        """Ask as the platform does whether a gateway is ready."""
        try:
            status, _body = call(
                self.gateways[name]['readiness'], 'GET', '/wingfall/ready'
            )
        except OSError:
            return False
        return status == 200

    def wait_ready(self) -> None:
        """Wait until all gateways are ready and know each other."""
        for name in self.gateways:
            wait_for(lambda: self.is_ready(name), f'{name} to be ready')
        for name in self.gateways:
            wait_for(
                lambda: self._peers(name) >= len(self.gateways) - 1,
                f'{name} to have its peers',
            )

    def _peers(self, name: str) -> int:
        try:
            _status, body = call(self.gateways[name]['admin'], 'GET', '/status')
            return len(json.loads(body)['peers'])
        except (OSError, ValueError, KeyError):
            return 0

    def log_lines(self, name: str) -> list[dict]:
        """Read what a gateway logged."""
        lines = []
        for line in (self.folder / f'{name}.log').read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    def close(self) -> None:
        """End all processes that were started, and start none again."""
        self._closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for name in self.gateways:
            path = self.folder / f'{name}.log'
            if os.environ.get('KEEP_LOGS') and path.exists():
                shutil.copy(path, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, what: str, timeout_s: float = 20) -> None:
    """Wait for a condition; it is no verdict if it doesn't come."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRunError(f'waited {timeout_s} s for {what}')
        time.sleep(0.05)


def listens(port: int) -> bool:
    """Tell whether a port takes connections."""
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0


def call(
    address: str,
    verb: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5,
) -> tuple[int, bytes]:
    """Make a call on a connection of its own."""
    host, _colon, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(verb, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def call_json(address: str, verb: str, path: str, body) -> tuple[int, dict]:
    """Make a call with JSON both ways."""
    status, answer = call(
        address,
        verb,
        path,
        json.dumps(body).encode(),
        {'Content-Type': 'application/json'},
    )
    return status, json.loads(answer or b'{}')


def make_route(name: str, service: str, **changes) -> dict:
    """Make a route of the configuration."""
    return {
        'name': name,
        'host': 'site.example',
        'path_prefix': f'/{name}/',
        'service': service,
        'kind': 'safe',
        'timeout_ms': 6000,
        'target_latency_ms': 500,
        'priority': 2,
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        **changes,
    }


def run_case(folder: pathlib.Path, body) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it can't run.

    Only a verdict gives 0 or 1; any error, a signal or _LONGEST_S seconds give 2. All
    processes that were started end before.
    """
    trouble = sys.argv[sys.argv.index('--trouble') + 1] != '0'
    record = Record(folder / 'record.txt')
    record.note(f'TROUBLE={int(trouble)}')
    site = Site(record)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _give_up)
    signal.alarm(_LONGEST_S)
    code = 2
    try:
        broken = body(site, record, trouble)
        verdict = 'the rule was BROKEN' if broken else 'the rule held'
        code = int(broken)
    except BaseException as error:
        verdict = f'could not run: {error!r}'
    finally:
        signal.alarm(0)
        site.close()
    record.note(verdict)
    print(verdict, flush=True)
    # Threads of clients may still wait for answers.
    os._exit(code)


def _give_up(number: int, _frame) -> None:
    raise CannotRunError(f'ended by signal {number}')
