# flake8: noqa
"""A server whose entry went still gets requests from a gateway that restarted."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import kit  # noqa: E402

HOST_NAME = 'lobby.example'
KEY = 'n2ctnfzs989anu6wsjnb'
CONTACT_S = kit.BOUNDS['contact_ms'] / 1000
DRAIN_S = kit.BOUNDS['drain_ms'] / 1000
SERVERS = 5
ROUNDS = 2
IN_TOUCH_S = 5


class Service(kit.Server):
    """Runs each request and notes when it reached it."""

    def __init__(self, **known):
        self.arrivals = []
        self.gone_s = None
        super().__init__(slots=6, **known)

    def behave(self, sock, request):
        now = self.record.now()
        self.arrivals.append((now, request.id))
        if self.gone_s is not None:
            self.record.note(
                f'{request.id} reaches {self.instance},'
                f' {now - self.gone_s:.3f} s after its entry went'
            )
        time.sleep(0.03)
        self.answer(sock, request, 200, b'ok ' + request.id.encode())


def configuration():
    return {
        'version': 1,
        'routes': [
            {
                'name': 'lobby-join',
                'host': HOST_NAME,
                'path_prefix': '/join/',
                'service': 'match-api',
                'kind': 'unsafe',
                'timeout_ms': 1000,
                'target_latency_ms': 200,
                'priority': 2,
                'max_attempts': 1,
                'public': False,
            }
        ],
        'services': [{'name': 'match-api', 'health_path': '/health'}],
        'tenants': [{'name': 'hule930', 'api_keys': [KEY]}],
        'limits': {},
    }


class Clients:
    """Send to all gateways, some requests a second."""

    def __init__(self, site):
        self.site = site
        self.stopped = False
        self.count = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.stopped:
            self.count += 1
            gateway = self.site.gateways[self.count % len(self.site.gateways)]
            threading.Thread(
                target=self.ask, args=(self.count, gateway), daemon=True
            ).start()
            time.sleep(0.05)

    def ask(self, number, gateway):
        answer = kit.ask(
            gateway.callers,
            'POST',
            '/join/7',
            {
                'X-Attempt-Id': f'{gateway.name}-{number:06x}',
                'X-Deadline-Ms': '1000',
                'Authorization': f'Token {KEY}',
            },
            b'{"player":7}',
            host=HOST_NAME,
        )
        if answer.status != 200:
            self.site.record.note(
                f'client gets {answer.status or answer.error}'
                f' for {number:06x} from {gateway.name}'
            )


def kill_and_restart(record, gateway):
    """End a process by SIGKILL; the platform starts it again soon after."""
    record.note(f'{gateway.name} is killed')
    gateway.kill()
    time.sleep(0.5)
    gateway.start()
    deadline = time.monotonic() + 10
    while not gateway.is_ready():
        if time.monotonic() > deadline:
            raise kit.CouldNotRun(f'{gateway.name} is not ready')
        time.sleep(0.02)
    record.note(f'{gateway.name} is ready again')


def list_late(site, in_touch):
    """Arrivals later than drain_ms, from gateways that were in touch."""
    late = []
    for server in site.servers:
        for at_s, run in server.arrivals:
            if server.gone_s is None or at_s <= server.gone_s + DRAIN_S:
                continue
            name = run.rpartition('-')[0]
            if any(
                gateway == name and begin <= at_s <= end
                for gateway, begin, end in in_touch
            ):
                late.append((server.instance, at_s, run))
    return late


def body(record, trouble):
    site = kit.Site(record, gateways=2)
    clients = None
    try:
        site.store.put('config', 'main', configuration())
        for number in range(SERVERS):
            site.add_server(
                Service(
                    record=record,
                    instance=f'i-{number:04x}f1',
                    service='match-api',
                    zone='ab'[number % 2],
                )
            )
        site.start_gateways()
        clients = Clients(site)
        time.sleep(CONTACT_S + 1)
        steady, struck = site.gateways
        steady_s = record.now()
        in_touch = []
        if trouble:
            kill_and_restart(record, struck)
        time.sleep(1)
        for leaving in site.servers[:ROUNDS]:
            # It never says draining: its entry goes, and it serves on.
            site.store.delete('servers', leaving.instance)
            leaving.gone_s = record.now()
            record.note(f'the entry of {leaving.instance} went')
            time.sleep(1)
            if trouble:
                record.note(f'the store turns {struck.name} away')
                struck.store_front.turns_away = True
                kill_and_restart(record, struck)
                time.sleep(0.5)
                struck.store_front.turns_away = False
                record.note(f'the store serves {struck.name} again')
            time.sleep(CONTACT_S + 0.5)
            begin_s = record.now()
            record.note('both gateways are in touch')
            time.sleep(IN_TOUCH_S)
            in_touch.append((struck.name, begin_s, record.now()))
        in_touch.append((steady.name, steady_s, record.now()))
        late = list_late(site, in_touch)
        for instance, at_s, run in late:
            record.note(f'DRAIN: {run} reached {instance} at {at_s:.3f} s')
        runs = sum(len(server.arrivals) for server in site.servers)
        record.note(
            f'{runs} requests ran; {len(late)} reached servers from gateways in'
            f' touch, later than drain_ms after the entry went'
        )
        if not runs:
            return 2
        return 1 if late else 0
    finally:
        if clients is not None:
            clients.stopped = True
        site.close()


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, body))
