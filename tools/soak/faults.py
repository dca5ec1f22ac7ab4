"""The faults of a soak, by name; each ends what it began."""

from __future__ import annotations

import contextlib
import random
import signal
import time
from typing import TYPE_CHECKING, Callable, Final

import gevent

from standins.link import LinkState
from tools.soak.site import POOLS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from tools.soak.site import Server, SoakSite

Fault = Callable[['SoakSite', random.Random, float], None]
faults: Final[Registry[Fault]] = Registry(kind='fault')

_ANSWER_FAULTS: Final = (
    'error',
    'shed',
    'reset',
    'torn',
    'extra',
    'unframed',
    'unframed_reset',
    'stray',
    'garbage',
    'encoded',
)
_STREAM_FAULTS: Final = ('error', 'shed', 'reset', 'garbage', 'cut', 'cut')
_BROKEN_ANSWERS: Final = {'plain': _ANSWER_FAULTS, 'engines': _STREAM_FAULTS}
_FEWEST: Final = 2
_LAPSE_S: Final = 3
_DRAIN_S: Final = 7
_SLOW_MS: Final = 300


def _pick_server(site: SoakSite, chance: random.Random) -> Server:
    return site.pick_listed(chance.choice(POOLS), chance)


def _pick_gateway(site: SoakSite, chance: random.Random) -> str:
    return chance.choice(list(site.gateways))


@faults.register('server_link_fails')
def fail_server_link(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Refuse, cut one way or silence the link to an endpoint."""
    server = _pick_server(site, chance)
    server.link.fail(
        chance.choice([LinkState.refusing, LinkState.deaf, LinkState.silent]),
    )
    gevent.sleep(for_s)
    server.link.heal()


@faults.register('server_link_slow')
def slow_server_link(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Delay the link to an endpoint."""
    server = _pick_server(site, chance)
    server.link.delay(chance.randrange(20, _SLOW_MS))
    gevent.sleep(for_s)
    server.link.heal()


@faults.register('server_link_reset')
def reset_server_link(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Reset all connections to an endpoint."""
    _pick_server(site, chance).link.reset()


@faults.register('answers_broken')
def break_answers(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have an endpoint of each pool break some of its next answers."""
    for pool, faulty in _BROKEN_ANSWERS.items():
        listed = site.listed(pool)
        # All engines may have crashed.
        if not listed:
            continue
        server = chance.choice(listed)
        chosen = chance.choices([*faulty, ''], k=chance.randrange(4, 17))
        server.standin.faults = chosen


@faults.register('server_crash')
def crash_server(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """End an endpoint; its entry goes later, and another one comes."""
    pool = chance.choice(POOLS)
    if len(site.listed(pool)) <= _FEWEST:
        return
    server = chance.choice(site.listed(pool))
    server.alive = False
    server.standin.stop()
    server.link.reset()
    gevent.sleep(_LAPSE_S)
    site.store.delete('servers', server.name)
    site.add_server(pool)


@faults.register('server_drain')
def drain_server(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have an endpoint leave by plan, after another one came."""
    pool = chance.choice(POOLS)
    if len(site.listed(pool)) <= _FEWEST:
        return
    server = chance.choice(site.listed(pool))
    site.add_server(pool)
    site.list_server(server, 'draining')
    server.draining_since_s = time.monotonic()
    gevent.sleep(_DRAIN_S)
    site.store.delete('servers', server.name)


@faults.register('store_down')
def fail_store(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have the store turn everybody away, or answer late."""
    script = chance.choice(
        [{'status': 503}, {'status': 429}, {'delay_ms': 400}]
    )
    site.store.script = dict(script)
    _disturb_store(site, for_s)
    site.store.script = {}


@faults.register('store_forgets')
def forget_history(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have the store forget its history."""
    site.store.oldest = site.store.revision + 1


@faults.register('store_link_fails')
def fail_store_link(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Cut one gateway off from the store."""
    link = site.store_links[_pick_gateway(site, chance)]
    link.fail(chance.choice([LinkState.refusing, LinkState.silent]))
    _disturb_store(site, for_s)
    link.heal()


@faults.register('gateway_stop')
def stop_gateway(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Stop a gateway by plan and start it again."""
    name = _pick_gateway(site, chance)
    with site.held[name]:
        site.gateways[name].stop()
        site.gateways[name].restart()


@faults.register('gateway_kill')
def kill_gateway(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Kill a gateway and start it again."""
    name = _pick_gateway(site, chance)
    with site.held[name]:
        site.disturb(name)
        site.gateways[name].restart()
        site.disturb(name)


@faults.register('gateways_killed')
def kill_all_gateways(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Kill all gateways at once and start them again."""
    with contextlib.ExitStack() as held:
        for name, gateway in site.gateways.items():
            held.enter_context(site.held[name])
            site.disturb(name)
            gateway.child.kill()
        for name, gateway in site.gateways.items():
            gateway.restart()
            site.disturb(name)


@faults.register('gateway_pause')
def pause_gateway(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Freeze a gateway for a while."""
    name = _pick_gateway(site, chance)
    gateway = site.gateways[name]
    with site.held[name]:
        site.disturb(name)
        gateway.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        gateway.signal(signal.SIGCONT)
        site.disturb(name)


@faults.register('gateway_reload')
def reload_gateway(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Send SIGHUP to a gateway that listens; one that only starts would end."""
    name = _pick_gateway(site, chance)
    with site.held[name]:
        site.gateways[name].signal(signal.SIGHUP)


@faults.register('config_changes')
def change_config(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Add a key and take it away again, in quick succession."""
    key = f'key-{site.version}'
    site.keys.append(key)
    site.write_config()
    gevent.sleep(for_s)
    site.keys.remove(key)
    site.write_config()
    site.revoked_s[key] = time.monotonic()


def _disturb_store(site: SoakSite, for_s: float) -> None:
    started_s = time.monotonic()
    gevent.sleep(for_s)
    site.store_disturbed.append((started_s, time.monotonic()))
