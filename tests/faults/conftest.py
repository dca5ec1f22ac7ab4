"""One site for all cells; each cell heals it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.faults.fault_site import FaultSite

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(scope='session')
def standing_site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[FaultSite]:
    """Give a site that stands through all cells."""
    running = FaultSite(folder=tmp_path_factory.mktemp('faults'))
    yield running
    running.close()


@pytest.fixture
def fault_site(standing_site: FaultSite) -> Iterator[FaultSite]:
    """Give the site whole, and heal it afterwards."""
    standing_site.heal()
    yield standing_site
    standing_site.heal()
