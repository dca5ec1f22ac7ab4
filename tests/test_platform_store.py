"""The client of the platform's store."""

from __future__ import annotations

import socket

from returns.result import Failure

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
