"""The client of the platform's store."""

from __future__ import annotations

import socket

from returns.result import Failure, Success

from standins.object_store import ObjectStoreStandIn
from standins.serving import start_server
from wingfall.metrics import Metrics
from wingfall.platform.store import HttpObjectStore

LONG_WAIT_MS = 600_000


def test_brief_watch_gives_up_a_silent_store_soon():
    with socket.create_server(('127.0.0.1', 0)) as silent:
        store = HttpObjectStore(
            address=f'127.0.0.1:{silent.getsockname()[1]}',
            kind='config',
            timeout_ms=100,
            wait_ms=LONG_WAIT_MS,
            metrics=Metrics(),
        )
        # A watch with its whole wait would outlast any run of the tests.
        read = store.watch(5, brief=True, progress=lambda: None)
    assert isinstance(read, Failure)
    assert read.failure().status == 0


def test_object_that_has_changed_is_not_removed():
    standin = ObjectStoreStandIn()
    server = start_server(standin.app)
    store = HttpObjectStore(
        address=f'127.0.0.1:{server.port}',
        kind='own',
        timeout_ms=5000,
        wait_ms=LONG_WAIT_MS,
        metrics=Metrics(),
    )
    earlier = store.write('a', {'text': 'one'}, None).unwrap()
    later = store.write('a', {'text': 'two'}, earlier.revision).unwrap()
    assert store.remove('a', earlier.revision).failure().status == 409
    assert store.read('a').unwrap() is not None
    assert store.remove('a', later.revision) == Success(None)
    assert store.read('a').unwrap() is None
    server.stop()
