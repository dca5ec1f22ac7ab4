"""``make gateway-cost``: processor time of a gateway a request and an event.

One real gateway process between stand-ins and one caller; its processor time
is read from the kernel before and after.
"""

from __future__ import annotations

import gevent
from gevent import monkey

gevent.config.loop = 'libev-cext'
gevent.config.libev_backend = 'epoll'
monkey.patch_all()

import argparse
import os
import pathlib
import sys
import tempfile
from typing import TYPE_CHECKING, Final

from tools.fleet import wait_for
from tools.soak.site import STEADY_KEY, SoakSite
from tools.soak.traffic import Traffic

if TYPE_CHECKING:
    from tools.soak.traffic import Outcome

_REQUESTS: Final = 400
_SHORT: Final = 5
_LONG: Final = 105
_US: Final = 1_000_000


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog='gateway_cost')
    parser.add_argument('--requests', type=int, default=_REQUESTS)
    parser.add_argument('--log-level', default='info')
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix='wingfall-cost-') as folder:
        site = SoakSite(
            folder=pathlib.Path(folder),
            gateways=1,
            servers=2,
            changes={'log_level': chosen.log_level},
        )
        try:
            _measure(site, chosen.requests)
        finally:
            site.close()
    return 0


def _measure(site: SoakSite, requests: int) -> None:
    traffic = Traffic(site=site, seed=1, callers=0)
    wait_for(lambda: _ask(traffic, 'safe').status == 200, 'service')
    for server in site.servers:
        server.standin.event_ms = 1
        server.standin.delay_ms = 0
    plain_us = _cost_us(site, traffic, 'safe', requests)
    short_us = _stream_cost_us(site, traffic, requests // 4, _SHORT)
    long_us = _stream_cost_us(site, traffic, requests // 4, _LONG)
    event_us = (long_us - short_us) / (_LONG - _SHORT)
    print(f'plain request on a new connection: {plain_us:.0f} us')
    print(f'stream of {_SHORT} events: {short_us:.0f} us')
    print(f'one more event of a stream: {event_us:.1f} us')


def _stream_cost_us(
    site: SoakSite,
    traffic: Traffic,
    requests: int,
    events: int,
) -> float:
    for server in site.servers:
        server.standin.events = events
    return _cost_us(site, traffic, 'stream', requests)


def _cost_us(
    site: SoakSite,
    traffic: Traffic,
    kind: str,
    requests: int,
) -> float:
    gateway = next(iter(site.gateways.values()))
    before_s = _processor_s(gateway.child.pid)
    for _request in range(requests):
        outcome = _ask(traffic, kind)
        if not outcome.whole:
            raise RuntimeError(_tell(outcome))
    return (_processor_s(gateway.child.pid) - before_s) / requests * _US


def _tell(outcome: Outcome) -> str:
    took_s = outcome.ended_s - outcome.sent_s
    return f'{outcome.kind}: status {outcome.status}, cut after {took_s:.2f} s'


def _ask(traffic: Traffic, kind: str) -> Outcome:
    return traffic.ask(kind, 'gateway-0', STEADY_KEY)


def _processor_s(pid: int) -> float:
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf('SC_CLK_TCK')


if __name__ == '__main__':
    sys.exit(main())
