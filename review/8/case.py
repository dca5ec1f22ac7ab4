# flake8: noqa
"""A prompt part that crashes servers, and a kill of all gateways after it."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import kit  # noqa: E402

HOST_NAME = 'cards.example'
KEY = 'n2ctnfzs989anu6wsjnb'
BAD_PART = 'bad0c0de'
SHARED_PART = '5c1e07a2'
CONTACT_S = kit.BOUNDS['contact_ms'] / 1000
# A server that crashed is back after so long.
BACK_S = 3
ENGINES = 5


class Engine(kit.Server):
    """Streams events; a prompt with the bad part ends the process."""

    def __init__(self, *, on_crash, **known):
        self.on_crash = on_crash
        self.ended = False
        super().__init__(**known)

    def behave(self, sock, request):
        prefix = request.headers.get('x-prompt-prefix', '')
        parts = [part.partition(':')[0] for part in prefix.split(',')]
        is_bad = BAD_PART in parts[:-1]
        if is_bad:
            self.record.note(f'ARRIVAL {request.id} at {self.instance}')
            self.on_arrival(request)
        time.sleep(0.15)
        if self.ended:
            raise ConnectionError
        if is_bad:
            self.ended = True
            self.record.note(f'CRASH of {self.instance} by {request.id}')
            self.stop()
            self.on_crash(self)
            raise ConnectionError
        lines = [
            'HTTP/1.1 200 X',
            f'X-Attempt-Id: {request.id}',
            f'X-Response-Seal: {self.instance}.{request.id}',
            'X-Weight-Versions: 1',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(1, 9):
            event = f'id: {number}\ndata: {request.id} {number}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            time.sleep(0.05)
        sock.sendall(b'0\r\n\r\n')

    def on_arrival(self, request):
        self.arrivals.append((self.record.now(), request.id))


def configuration():
    return {
        'version': 1,
        'routes': [
            {
                'name': 'rival-card',
                'host': HOST_NAME,
                'path_prefix': '/card/',
                'service': 'wingfall-pool',
                'kind': 'stream',
                'resumable': False,
                'timeout_ms': 6000,
                'target_latency_ms': 1500,
                'gap_aim_ms': 500,
                'priority': 1,
                'max_attempts': 1,
                'public': False,
                'sticky': True,
            }
        ],
        'services': [
            {
                'name': 'wingfall-pool',
                'health_path': '/health',
                'engine': {'slots': 64, 'kv_capacity_tokens': 521945},
            }
        ],
        'tenants': [{'name': 'hule930', 'api_keys': [KEY]}],
        'limits': {},
    }


class Scene:
    """The site of the case, its crashes and what reached servers."""

    def __init__(self, record):
        self.record = record
        self.site = kit.Site(record, gateways=4, zones=('a', 'b', 'c'))
        self.arrivals = []
        self.crashes = []
        self.numbers = iter(range(1000))
        self.lock = threading.Lock()
        self.closed = False

    def add_engine(self):
        with self.lock:
            if self.closed:
                return
            number = next(self.numbers)
            engine = Engine(
                on_crash=self.note_crash,
                record=self.record,
                instance=f'i-{number:04x}c2',
                service='wingfall-pool',
                zone='abc'[number % 3],
            )
            engine.arrivals = self.arrivals
            self.site.add_server(engine)

    def note_crash(self, engine):
        self.crashes.append(self.record.now())
        # Its entry goes after three heartbeats of silence; it comes back as a
        # new incarnation.
        threading.Timer(
            3.6, self.site.store.delete, ('servers', engine.instance)
        ).start()
        threading.Timer(BACK_S, self.add_engine).start()

    def ask(self, number, gateway, *, bad):
        attempt = f'{"bad" if bad else "c0de"}{number:08x}'
        middle = BAD_PART if bad else f'{number % 7:08x}'
        answer = kit.ask(
            gateway.callers,
            'POST',
            '/card/2f',
            {
                'X-Attempt-Id': attempt,
                'X-Deadline-Ms': '6000',
                'Authorization': f'Token {KEY}',
                'X-Model': 'm',
                'X-Token-Count': '1460,80',
                'X-Prompt-Prefix': (
                    f'{SHARED_PART}:800,{middle}:410,{number:08x}:250'
                ),
            },
            b'prompt %d' % number,
            host=HOST_NAME,
        )
        if bad:
            self.record.note(
                f'client gets {answer.status or answer.error}'
                f' for {attempt} from {gateway.name}'
            )

    def send_for(self, seconds, first, *, bad):
        """Sound prompts all the while; bad ones too in a spell of them."""
        gateways = self.site.gateways
        until = time.monotonic() + seconds
        number, bad_number = first, first
        next_bad = time.monotonic()
        while time.monotonic() < until:
            number += 1
            threading.Thread(
                target=self.ask,
                args=(number, gateways[number % len(gateways)]),
                kwargs={'bad': False},
                daemon=True,
            ).start()
            if bad and time.monotonic() >= next_bad:
                next_bad += 0.25
                bad_number += 1
                gateway = gateways[bad_number % len(gateways)]
                threading.Thread(
                    target=self.ask,
                    args=(bad_number, gateway),
                    kwargs={'bad': True},
                    daemon=True,
                ).start()
            time.sleep(0.125)


def body(record, trouble):
    scene = Scene(record)
    site = scene.site
    try:
        site.store.put('config', 'main', configuration())
        for _ in range(ENGINES):
            scene.add_engine()
        site.start_gateways()
        scene.send_for(4, 1000, bad=False)
        record.note('first spell of prompts with the bad part')
        for turn in range(10):
            # The rule counts from the fifth crash on.
            scene.send_for(4, 2000 + 100 * turn, bad=True)
            if turn >= 2 and len(scene.crashes) >= 5:
                break
        if len(scene.crashes) < 5:
            record.note(f'only {len(scene.crashes)} crashes')
            return 2
        fifth_s = sorted(scene.crashes)[4]
        record.note(f'the fifth crash was at {fifth_s:.3f} s')
        scene.send_for(1, 4000, bad=False)
        if trouble:
            record.note('all gateways are killed')
            for gateway in site.gateways:
                gateway.kill()
            time.sleep(0.5)
            for gateway in site.gateways:
                gateway.start()
            site.await_ready(10)
            record.note('all gateways are ready again')
        scene.send_for(CONTACT_S + 2, 5000, bad=False)
        touch_s = max(record.now(), fifth_s + CONTACT_S)
        record.note('all gateways are in touch; second spell')
        scene.send_for(14, 6000, bad=True)
        time.sleep(2)
        counted = [each for each in scene.arrivals if each[0] > touch_s]
        record.note(
            f'{len(counted)} requests with the part reached servers while all'
            f' gateways were in touch, later than contact_ms after the fifth'
            f' crash; {len(scene.crashes)} crashes in all'
        )
        return 1 if len(counted) > 3 else 0
    finally:
        with scene.lock:
            scene.closed = True
        site.close()


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, body))
