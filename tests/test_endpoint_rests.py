"""An endpoint that asks a gateway for rest gets nothing from it meanwhile.

An endpoint that turns a request away may say for how long it wants nothing from
that gateway. The time was dropped where answers are read, so that the next call
was placed as if it had said nothing, and a call that one resting endpoint had
turned away went on to the next one. Operators saw gateways send three requests
to an engine that had asked them for three seconds of rest.

What settled it: not only second attempts came. A gateway that had been asked by
both engines took a call 1.7 s later and reached the first of them 3 ms after
that, was turned away, and reached the second 2 ms after the first. In a run of
four gateways, 136 requests of one gateway came within one rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tools.soak.signals import MOST_IN_REST, SignalJudge
from tools.soak.site import SoakSite
from tools.soak.traffic import Traffic

if TYPE_CHECKING:
    import pathlib

    from tools.soak.site import Server

# Seconds in which endpoints turn requests away, and the rest they ask for.
ASKED_S = 8
REST = '3'
# Seconds after that in which they are back in use.
BACK_S = 4


def play(site: SoakSite, endpoints: list[Server]) -> dict[str, str]:
    """Have endpoints ask for rest, and not any more, while callers ask.

    :param site: the site.
    :param endpoints: the endpoints that do.
    :returns: the gateway of each call.
    """
    traffic = Traffic(site=site, seed=7, callers=24)
    gevent.sleep(1)
    for rest, seconds in ((REST, ASKED_S), ('', BACK_S)):
        for server in endpoints:
            server.standin.signals.rest = rest
        gevent.sleep(seconds)
    traffic.stop()
    return {each.call_id: each.gateway for each in traffic.outcomes}


@pytest.mark.processes
@pytest.mark.parametrize('resting', [1, 4], ids=['one', 'whole pool'])
def test_endpoint_that_asks_for_rest_gets_it(
    tmp_path: pathlib.Path, resting: int
):
    site = SoakSite(folder=tmp_path, gateways=4, servers=4)
    endpoints = [
        server
        for pool in ('plain', 'engines')
        for server in site.listed(pool)[:resting]
    ]
    try:
        calls = play(site, endpoints)
    finally:
        site.close()
    ledgers = [server.standin.signals for server in endpoints]
    judges = [SignalJudge(ledger=each, gateways=calls) for each in ledgers]
    assert max(judge.most_in_rest() for judge in judges) <= MOST_IN_REST
    # It is back in use after its last rest.
    for ledger in ledgers:
        assert ledger.arrivals[-1].at_s > ledger.rests_told[-1].at_s + 3
