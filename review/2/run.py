# flake8: noqa
"""UNASKED: other bytes where the rest of a long body is due.

Two gateways, three plain servers. Clients send long requests that may run once
and, beside them, short ones that may be repeated. See ``claim.txt``.
"""

from __future__ import annotations

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

from shared.site import Record, Site, call, make_route, run_case, wait_for

_BODY_BYTES = 4_000_000
_SERVERS = 3
_PLAY_S = 20
_KEY = 'key-of-oslo'


def body_of(call_id: str) -> bytes:
    word = f'{call_id}.'.encode()
    return (word * (_BODY_BYTES // len(word) + 1))[:_BODY_BYTES]


def send(site: Site, record: Record, gateway: str, verb, path, call_id, body):
    headers = {
        'Host': 'site.example',
        'Authorization': f'Token {_KEY}',
        'X-Attempt-Id': call_id,
        'X-Deadline-Ms': '6000',
    }
    length = len(body or b'')
    record.note(f'client {call_id}: {verb} {path} to {gateway}, {length} bytes')
    try:
        status, answer = call(
            site.gateways[gateway]['callers'], verb, path, body, headers, 8
        )
    except OSError as error:
        record.note(f'client {call_id}: no answer, {error!r}')
        return
    record.note(f'client {call_id}: {status} {answer[:80]!r}')


def play(site: Site, record: Record, trouble: bool) -> bool:
    site.start_store()
    for number in range(_SERVERS):
        port = site.free_port()
        name = f'i-{number}'
        site.start(
            name,
            [
                sys.executable,
                '-S',
                str(FOLDER / 'server.py'),
                '--name',
                name,
                '--port',
                str(port),
                '--early',
                str(int(trouble)),
            ],
            '',
        )
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{port}',
            'zone': 'abc'[number],
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': 1,
        }
        site.put('servers', name, entry)
    site.put(
        'config',
        'main',
        {
            'version': 1,
            'routes': [
                make_route('join', 'desk', kind='unsafe', max_attempts=1),
                make_route('ping', 'desk', kind='safe'),
            ],
            'services': [{'name': 'desk', 'health_path': '/health'}],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 5000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [{'name': 'oslo', 'api_keys': [_KEY]}],
        },
    )
    site.start_gateways(2)
    site.wait_ready()
    threads = []
    begin_s = time.monotonic()
    number = 0
    while time.monotonic() - begin_s < _PLAY_S:
        gateway = f'gateway-{number % 2}'
        if number % 20 == 0:
            call_id = f'long{number:04d}'
            arguments = ('POST', '/join/1', call_id, body_of(call_id))
        else:
            arguments = ('GET', '/ping/1', f'short{number:04d}', None)
        thread = threading.Thread(
            target=send, args=(site, record, gateway, *arguments)
        )
        thread.start()
        threads.append(thread)
        number += 1
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    time.sleep(1)
    return judge(site, record)


def judge(site: Site, record: Record) -> bool:
    """UNASKED as written: other bytes where the rest of a body is due."""
    told = []
    for number in range(_SERVERS):
        log = site.folder / f'i-{number}.log'
        for line in log.read_text().splitlines():
            if not line.startswith('{'):
                record.note(f'server i-{number}: {line}')
                continue
            told.append(json.loads(line))
    told.sort(key=lambda each: each['at_s'])
    for each in told:
        at_s = each.pop('at_s')
        record.note(f'server {json.dumps(each)}', at_s)
    wrong = [each for each in told if 'other_bytes_in_body' in each]
    record.note(f'bodies in whose rest a server got other bytes: {len(wrong)}')
    print(f'bodies in whose rest a server got other bytes: {len(wrong)}')
    return bool(wrong)


if __name__ == '__main__':
    run_case(FOLDER, play)
