"""Tests of the retry budget over all gateways, whatever becomes of them."""

from __future__ import annotations

from typing import Final

from tests.retry_fleet import RetryFleet

ALL: Final = range(4)
# Retries are whole and shares are not.
ROUNDING: Final = 1e-6


def test_gateways_that_are_killed_together_keep_the_budget():
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL)
    fleet.run(1, ALL, failing=True)
    fleet.restart(ALL)
    fleet.run(12, ALL, failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())
