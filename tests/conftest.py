"""Fixtures; the standard library is patched before anything else."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from tests.gateway_site import GatewaySite
from tests.local_site import LocalSite
from tests.relay import Relay
from wingfall.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Iterator

settings.register_profile('same', derandomize=True, deadline=None)
settings.load_profile('same')


@pytest.fixture
def clock() -> ManualClock:
    """Give a clock that moves when told to."""
    return ManualClock(start_ms=1000)


@pytest.fixture
def site() -> Iterator[LocalSite]:
    """Give a site whose parts all run in this process."""
    running = LocalSite()
    yield running
    running.close()


@pytest.fixture
def relay() -> Iterator[Relay]:
    """Give a TCP relay that can be cut."""
    running = Relay()
    yield running
    running.close()


@pytest.fixture
def gateway_site() -> Iterator[GatewaySite]:
    """Give a store to which a test adds endpoints and gateways."""
    running = GatewaySite()
    yield running
    running.close()
