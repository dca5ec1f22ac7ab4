# flake8: noqa
"""A run that ends with 503 and no X-Not-Executed reaches the client as 503."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import kit  # noqa: E402

HOST_NAME = 'lobby.example'
KEY = 'n2ctnfzs989anu6wsjnb'


class Service(kit.Server):
    """Runs each request; some of the runs fail, as at a grey server."""

    def __init__(self, *, fails, **known):
        self.fails = fails
        self.runs = []
        super().__init__(slots=6, **known)

    def behave(self, sock, request):
        # The run begins here, and takes its 45 ms whatever its end.
        self.runs.append(request.id)
        number = len(self.runs)
        self.record.note(f'{self.instance} begins to run {request.id}')
        time.sleep(0.045)
        if self.fails and number % 5 in (0, 3):
            self.record.note(f'{self.instance} ran {request.id}: 503, failed')
            self.answer(sock, request, 503, b'failed while seating')
            return
        self.record.note(f'{self.instance} ran {request.id}: 200')
        self.answer(sock, request, 200, b'seated ' + request.id.encode())


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


def body(record, trouble):
    site = kit.Site(record, gateways=2)
    try:
        site.store.put('config', 'main', configuration())
        for number, zone in enumerate(('a', 'b', 'a')):
            site.add_server(
                Service(
                    fails=trouble and number == 0,
                    record=record,
                    instance=f'i-{number}{number}f1',
                    service='match-api',
                    zone=zone,
                )
            )
        site.start_gateways()
        time.sleep(1)
        promised = []
        lock = threading.Lock()

        def join(number):
            attempt = f'{number:04x}a7be2a35f68'
            gateway = site.gateways[number % len(site.gateways)]
            record.note(f'client sends {attempt} to {gateway.name}')
            answer = kit.ask(
                gateway.callers,
                'POST',
                '/join/7',
                {
                    'X-Attempt-Id': attempt,
                    'X-Deadline-Ms': '1000',
                    'Authorization': f'Token {KEY}',
                },
                b'{"player":7}',
                host=HOST_NAME,
            )
            record.note(
                f'client gets {answer.status or answer.error} for {attempt},'
                f' seal {answer.headers.get("x-response-seal")}'
            )
            if answer.status in {408, 421, 429, 503}:
                with lock:
                    promised.append(attempt)

        threads = []
        for number in range(60):
            thread = threading.Thread(target=join, args=(number,))
            thread.start()
            threads.append(thread)
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        ran = {run for server in site.servers for run in server.runs}
        broken = [attempt for attempt in promised if attempt in ran]
        for attempt in broken:
            record.note(f'REFUSED: {attempt} was promised not to run, but ran')
        record.note(
            f'{len(ran)} requests ran, {len(promised)} answers were promises,'
            f' {len(broken)} of these were false'
        )
        if not ran:
            return 2
        return 1 if broken else 0
    finally:
        site.close()


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, body))
