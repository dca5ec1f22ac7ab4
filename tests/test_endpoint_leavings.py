"""An endpoint that says that it is leaving gets nothing new.

An endpoint that leaves says so in all its answers, also while the store still
lists it as ready: its entry comes late, or not at all while the store is away.
What answers said of their endpoint was dropped where they are read, so that its
gateways sent on until the store told them.

What settled it: with entries that stayed ready, 95 requests came later than two
seconds after their gateway had been told, four gateways and two such endpoints;
each gateway had the line ``An endpoint is leaving. endpoint=server-0`` once the
heads of answers were logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from tools.soak.signals import SignalJudge
from tools.soak.site import SoakSite
from tools.soak.traffic import Traffic

if TYPE_CHECKING:
    import pathlib

SAID_S = 8


@pytest.mark.processes
def test_endpoint_that_is_leaving_gets_nothing_new(tmp_path: pathlib.Path):
    site = SoakSite(folder=tmp_path, gateways=4, servers=4)
    leaving = [site.listed(pool)[0] for pool in ('plain', 'engines')]
    try:
        traffic = Traffic(site=site, seed=7, callers=24)
        gevent.sleep(1)
        for server in leaving:
            server.standin.signals.leaving = True
        gevent.sleep(SAID_S)
        traffic.stop()
    finally:
        site.close()
    calls = {each.call_id: each.gateway for each in traffic.outcomes}
    sent_s = {each.call_id: each.sent_s for each in traffic.outcomes}
    for server in leaving:
        ledger = server.standin.signals
        assert ledger.leavings_told
        judge = SignalJudge(ledger=ledger, gateways=calls)
        assert judge.late_after_leaving(sent_s) == 0, server.pool
    # Streams that ran there ended in peace, and the others took over.
    last_s = leaving[1].standin.signals.leavings_told[0].at_s
    streams = [each for each in traffic.outcomes if each.kind == 'stream']
    served = [each for each in streams if each.sent_s > last_s + 1]
    assert sum(
        each.status == 200 and each.whole for each in served
    ) > 0.9 * len(served)
