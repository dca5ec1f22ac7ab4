"""Crashes beside other failures: who is blamed, and who hears of it."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.crash_site import Ask, CrashSite
from tests.local_site import wait_until

if TYPE_CHECKING:
    import pathlib

CONTACT_S = 3
MOST_TRIES = 3
CRASHES = 3
CRASHING = Ask(target='/stream/crash', body=b'ends whatever runs it')


def keep_asking(site: CrashSite) -> None:
    """Have callers ask for unlike streams and for two popular requests."""
    site.keep_asking('/stream/other-', callers=12, alike=False)
    site.keep_asking('/stream/popular', callers=6, alike=True)
    site.keep_asking('/safe/other-', callers=8, alike=False)
    site.keep_asking('/safe/popular', callers=4, alike=True)


@pytest.mark.processes
@pytest.mark.parametrize('count', [3, 6], ids=['a quarter', 'half'])
def test_no_request_is_blamed_for_the_failure_of_many_endpoints(
    tmp_path: pathlib.Path, count: int
):
    # A rack, then another one, and so on: calls that are sent again may meet
    # several of them.
    site = CrashSite(folder=tmp_path, endpoints=12, seed=count)
    try:
        keep_asking(site)
        for _rack in range(4):
            gevent.sleep(0.7)
            site.end_endpoints('engines', count)
            site.end_endpoints('plain', count)
        gevent.sleep(2)
    finally:
        site.close()
    served = sum(len(answers) for answers in site.answers.values())
    assert served > 100
    assert not site.refused(but=())


@pytest.mark.processes
def test_gateways_that_start_or_wake_meanwhile_hear_of_it(
    tmp_path: pathlib.Path,
):
    site = CrashSite(
        folder=tmp_path, gateways=4, crash_targets=(CRASHING.target,)
    )
    try:
        in_touch_s = strike_beside_gateways(site)
        gevent.sleep(CONTACT_S + 4)
    finally:
        site.close()
    assert site.arrivals(CRASHING.target, after_s=in_touch_s) <= MOST_TRIES
    assert not site.refused(but=(CRASHING.target,))


def strike_beside_gateways(site: CrashSite) -> float:
    """Pause a gateway and restart another while a request ends endpoints.

    :param site: the site.
    :returns: from when on all gateways must know of the request.
    """
    paused, restarted = list(site.site.gateways.values())[:2]
    keep_asking(site)
    paused.signal(signal.SIGSTOP)
    site.repeat(CRASHING, every_s=0.15)
    crashes_s = site.crashes_s[CRASHING.target]
    try:
        wait_until(lambda: len(crashes_s) >= CRASHES)
        restarted.restart()
        gevent.sleep(CONTACT_S)
    finally:
        paused.signal(signal.SIGCONT)
    return time.monotonic() + CONTACT_S
