# flake8: noqa
"""Stand-ins and processes of a small site, for the cases of this review.

Only the standard library is used. All addresses are loopback addresses. The
stand-ins follow PROTOCOL.md: the platform's store (objects, watches), servers
of a service, and clients. Gateways are started with the deploy file's command.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
BOUNDS = {
    'contact_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 54,
}


class CouldNotRun(Exception):
    """The case could not be set up."""


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Everything that was sent, answered and run, with times."""

    def __init__(self, path):
        self._path = path
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self._started

    def note(self, text):
        with self._lock:
            self.lines.append(f'{self.now():8.3f} s  {text}')

    def save(self):
        with self._lock:
            self._path.write_text('\n'.join(self.lines) + '\n')


class HttpPeer:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b''

    def _fill(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise ConnectionError('closed')
        self.buffer += piece

    def read_line(self):
        while b'\r\n' not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b'\r\n', 1)
        return line

    def read_bytes(self, count):
        while len(self.buffer) < count:
            self._fill()
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def read_head(self):
        first = self.read_line().decode('latin-1')
        headers = {}
        while True:
            line = self.read_line().decode('latin-1')
            if not line:
                return first, headers
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()

    def read_body(self, headers):
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = b''
            while True:
                size = int(self.read_line().split(b';')[0], 16)
                if not size:
                    self.read_line()
                    return body
                body += self.read_bytes(size)
                self.read_line()
        return self.read_bytes(int(headers.get('content-length', '0')))


def reset(sock):
    """Close with a reset, as a process that is killed does."""
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


class Listener:
    """Accepts connections and serves each in a thread."""

    def __init__(self, port=0):
        self.open = set()
        self.closed = False
        self.listen(port)

    def listen(self, port):
        self._server = socket.create_server((HOST, port), backlog=256)
        self.port = self._server.getsockname()[1]
        self.closed = False
        threading.Thread(
            target=self._accept, args=(self._server,), daemon=True
        ).start()

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    def _accept(self, server):
        while not self.closed:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError, ConnectionError):
            pass
        finally:
            self.open.discard(sock)
            try:
                sock.close()
            except OSError:
                pass

    def serve(self, sock):
        raise NotImplementedError

    def stop_listening(self):
        self.closed = True
        try:
            self._server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._server.close()

    def stop(self):
        """End as a killed process does: nothing listens, all is reset."""
        self.stop_listening()
        for sock in list(self.open):
            reset(sock)


class Store(Listener):
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = threading.Condition()
        super().__init__()

    def put(self, kind, name, spec):
        with self.changed:
            return self._put(kind, name, spec)

    def _put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        made = known['metadata']['made'] if known else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'made': made,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind][name] = stored
        self.events.append(
            (self.revision, kind, {'object': stored, 'gone': False})
        )
        self.changed.notify_all()
        return stored

    def delete(self, kind, name):
        with self.changed:
            stored = self.objects.get(kind, {}).pop(name, None)
            if stored is None:
                return
            self.revision += 1
            self.events.append(
                (self.revision, kind, {'object': stored, 'gone': True})
            )
            self.changed.notify_all()

    def serve(self, sock):
        peer = HttpPeer(sock)
        while True:
            first, headers = peer.read_head()
            method, target, _ = first.split(' ')
            body = peer.read_body(headers)
            status, answer = self._answer(method, target, body)
            encoded = json.dumps(answer).encode()
            sock.sendall(
                (
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(encoded)}\r\n\r\n'
                ).encode()
                + encoded
            )

    def _answer(self, method, target, body):
        path, _, query_text = target.partition('?')
        query = dict(
            pair.split('=', 1) for pair in query_text.split('&') if pair
        )
        words = path.split('/')  # '', wingfall, objects, KIND, NAME
        kind = words[3]
        name = words[4] if len(words) > 4 else None
        if method == 'GET' and name is None:
            if 'watch' in query:
                return self._watch(kind, query)
            return self._list(kind, query)
        with self.changed:
            known = self.objects.get(kind, {}).get(name)
            if method == 'GET':
                return (200, known) if known else (404, {})
            given = json.loads(body) if body else {}
            metadata = given.get('metadata', {})
            if method == 'POST':
                name = metadata['name']
                if name in self.objects.get(kind, {}):
                    return 409, self.objects[kind][name]
                return 201, self._put(kind, name, given.get('spec'))
            if known is None:
                return 404, {}
            wanted = metadata.get('revision', query.get('revision'))
            if (
                wanted is not None
                and int(wanted) != known['metadata']['revision']
            ):
                return 409, known
            if method == 'PUT':
                return 200, self._put(kind, name, given.get('spec'))
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, known
        return 400, {}

    def _list(self, kind, query):
        with self.changed:
            since = query.get('since_rev', '')
            names = sorted(self.objects.get(kind, {}))
            items = [self.objects[kind][each] for each in names if each > since]
            return 200, {
                'items': items[:500],
                'more': len(items) > 500,
                'at': self.revision,
            }

    def _watch(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', '1')) / 1000
        with self.changed:
            while True:
                found = [
                    event
                    for revision, its_kind, event in self.events
                    if revision > since and its_kind == kind
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {'events': found, 'at': self.revision}
                self.changed.wait(left)


class Request:
    """A request as it reached a server."""

    def __init__(self, first, headers, body):
        self.method, self.target, _ = first.split(' ')
        self.headers = headers
        self.body = body
        self.id = headers.get('x-attempt-id', '')


class Server(Listener):
    """A server of a service; answers rightly unless ``behave`` is replaced."""

    def __init__(self, *, record, instance, service, zone, slots=64):
        self.record = record
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = '1.0'
        super().__init__()

    def entry(self, state='ready'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'seq_no': 1,
        }

    def serve(self, sock):
        peer = HttpPeer(sock)
        while True:
            first, headers = peer.read_head()
            request = Request(first, headers, peer.read_body(headers))
            if request.target == '/health':
                self.send(sock, request, 200, b'', [])
                continue
            if request.target == '/wingfall/kv-list':
                body = b'{"epoch":1,"next_token":1,"held":[]}'
                self.send(sock, request, 200, body, [])
                continue
            expected = headers.get('x-expect-instance', self.instance)
            if expected != self.instance:
                not_run = [('X-Not-Executed', '1')]
                self.send(sock, request, 421, b'', not_run)
                continue
            self.behave(sock, request)

    def behave(self, sock, request):
        self.answer(sock, request, 200, b'ok ' + request.id.encode())

    def answer(self, sock, request, status, body, headers=()):
        """Send an answer of a run, with the server's signature."""
        seal = [('X-Response-Seal', f'{self.instance}.{request.id}')]
        self.send(sock, request, status, body, [*seal, *headers])

    def send(self, sock, request, status, body, headers):
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Attempt-Id: {request.id}',
            f'X-Instance-Id: {self.instance}',
            'X-Weight-Versions: 1',
            'Keep-Alive: timeout=5',
            *(f'{name}: {text}' for name, text in headers),
            f'Content-Length: {len(body)}',
        ]
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


class Answer:
    """What a client got; status 0 if no head came."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''


def ask(port, method, target, headers, body=b'', *, timeout_s=10, host):
    """Send one request on a new connection and read the answer."""
    answer = Answer()
    try:
        with socket.create_connection((HOST, port), timeout=1) as sock:
            sock.settimeout(timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            peer = HttpPeer(sock)
            first, answer.headers = peer.read_head()
            answer.status = int(first.split(' ')[1])
            answer.body = peer.read_body(answer.headers)
            answer.whole = True
    except (OSError, ValueError, ConnectionError) as error:
        answer.error = f'{type(error).__name__} {error}'
    return answer


class Gateway:
    """A gateway process, by the command of the deploy file."""

    def __init__(self, site, name, zone, ports):
        self.site = site
        self.name = name
        self.zone = zone
        self.callers, self.ready, self.control, self.admin = ports
        self.path = site.folder / f'{name}.yaml'
        self.child = None

    def write_settings(self):
        seeds = [f'{HOST}:{each.control}' for each in self.site.gateways[:3]]
        settings = {
            'callers': f'{HOST}:{self.callers}',
            'name': self.name,
            'zone': self.zone,
            'readiness': f'{HOST}:{self.ready}',
            'admin': {'host': HOST, 'port': self.admin},
            'binding': 'fjordgrid',
            'peers': {'listen': f'{HOST}:{self.control}', 'seeds': seeds},
            'store': {
                'address': self.site.store.address,
                'writes_per_s': 400,
                'reads_per_s': 2000,
            },
            'resend': {
                'ratio': BOUNDS['retry_budget_ratio'],
                'slack': BOUNDS['budget_slack'],
                'window_s': BOUNDS['budget_window_s'],
            },
            'limits': {'stop_s': BOUNDS['grace_s']},
            # As in deploy/gateway.yaml.
            'policy': {
                'large_pool': 9,
                'short_gap_ms': 250,
                'read_rates': 'shared',
                'start_estimates': 'corrected',
                'engine_groups': 'by_gap',
                'admission': 'target',
            },
        }
        lines = [
            f'{key}: {json.dumps(value)}' for key, value in settings.items()
        ]
        self.path.write_text('\n'.join(lines) + '\n')

    def start(self):
        self.write_settings()
        log = open(self.site.folder / f'{self.name}.log', 'ab')
        self.child = subprocess.Popen(
            [
                sys.executable,
                '-S',
                '-m',
                'wingfall.gateway',
                '--settings',
                str(self.path),
            ],
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': str(self.site.folder),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
            },
            stdout=log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        log.close()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                HOST, self.ready, timeout=0.5
            )
            connection.request('GET', '/wingfall/ready')
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return False
        return status == 200

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()

    def log_text(self):
        path = self.site.folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''


class Site:
    """A store, gateways and servers; ends all that it started."""

    def __init__(self, record, gateways=4, zones=('a', 'b')):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='wingfall-review-'))
        self.store = Store()
        self.servers = []
        self.gateways = []
        for number in range(gateways):
            ports = [free_port() for _ in range(4)]
            zone = zones[number % len(zones)]
            name = f'front-{zone}-{number}'
            self.gateways.append(Gateway(self, name, zone, ports))

    def add_server(self, server, state='ready'):
        self.servers.append(server)
        self.store.put('servers', server.instance, server.entry(state))
        self.record.note(f'server {server.instance} at {server.address}')

    def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        self.await_ready(20)

    def await_ready(self, seconds):
        until = time.monotonic() + seconds
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > until:
                    raise CouldNotRun(f'{gateway.name} is not ready')
                time.sleep(0.05)

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        for server in self.servers:
            server.stop()
        self.store.stop()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


def run_case(folder, body):
    """Run a case; the exit code says what became of the rule."""
    # An end from outside still ends all that was started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'trouble: {trouble}')
    code = 2
    try:
        code = body(record, trouble)
    except CouldNotRun as error:
        record.note(f'could not run: {error}')
    except Exception as error:
        record.note(f'could not run: {type(error).__name__} {error}')
    finally:
        verdict = {0: 'the rule held', 1: 'the rule was broken'}
        text = verdict.get(code, 'the case could not run')
        record.note(f'exit {code}: {text}')
        record.save()
    print(text)
    return code
