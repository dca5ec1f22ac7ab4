"""Faults of a soak that come in series: signals, restarts and changes."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Final

import gevent

from tools.soak.faults import faults

if TYPE_CHECKING:
    import random

    from tools.soak.site import SoakSite

_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM)
_MOST_SIGNALS: Final = 6
_MOST_GAP_S: Final = 0.4
_MOST_CHANGES: Final = 5
# Of each of the changes: a configuration of up to 0.4 MB.
_MOST_ROUTES: Final = 2000


@faults.register('gateway_signalled')
def signal_gateway(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Reload and stop a gateway several times before its stop has ended."""
    name = chance.choice(list(site.gateways))
    gateway = site.gateways[name]
    with site.held[name]:
        gateway.signal(signal.SIGHUP)
        for _signal in range(chance.randrange(2, _MOST_SIGNALS)):
            gevent.sleep(chance.uniform(0, _MOST_GAP_S))
            if gateway.child.poll() is None:
                gateway.signal(chance.choice(_SIGNALS))
        if gateway.child.poll() is None:
            gateway.stop()
        gateway.restart()


@faults.register('gateways_roll')
def roll_gateways(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Stop gateways in turn, the next before the one before is back."""
    names = list(site.gateways)
    chance.shuffle(names)
    rolled = []
    for name in names[: len(names) // 2 + 1]:
        rolled.append(gevent.spawn(_restart, site, name))
        gevent.sleep(chance.uniform(0, for_s))
    for each in rolled:
        each.get()


@faults.register('config_storm')
def change_config_often(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Add many routes by several versions in quick succession."""
    for _change in range(chance.randrange(2, _MOST_CHANGES)):
        site.add_routes(chance.randrange(1, _MOST_ROUTES))
        gevent.sleep(chance.uniform(0, _MOST_GAP_S))


def _restart(site: SoakSite, name: str) -> None:
    with site.held[name]:
        site.gateways[name].stop()
        site.gateways[name].restart()
