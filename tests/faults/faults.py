"""The faults, by name: how each is made to happen."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Callable, Final

import gevent

from wingfall.registry import Registry
from wingfall.wire.message import Message
from wingfall.wire.offer_messages import Report

if TYPE_CHECKING:
    from tests.faults.fault_site import FaultSite
    from tests.faults.frame_relay import FrameRelay

Fault = Callable[['FaultSite', str], None]

faults: Final[Registry[Fault]] = Registry(kind='fault')

_FREEZE_S: Final = 1
_TWICE_S: Final = 0.3


@faults.register('agent killed')
def kill_agent(site: FaultSite, endpoint: str) -> None:
    """Kill the agent of an endpoint.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    site.process(f'agent-{endpoint}').kill()


@faults.register('router killed')
def kill_router(site: FaultSite, endpoint: str) -> None:
    """Kill a router.

    :param site: the site.
    :param endpoint: not heeded.
    """
    site.router('a').kill()


@faults.register('connection cut')
def cut(site: FaultSite, endpoint: str) -> None:
    """Cut the connections between routers and an agent.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    site.relays[endpoint].reset()


@faults.register('agent frozen')
def freeze_agent(site: FaultSite, endpoint: str) -> None:
    """Freeze an agent until its grants have lapsed, then wake it.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    _freeze(site, f'agent-{endpoint}')


@faults.register('router frozen')
def freeze_router(site: FaultSite, endpoint: str) -> None:
    """Freeze a router until the grants it has have lapsed, then wake it.

    :param site: the site.
    :param endpoint: not heeded.
    """
    _freeze(site, 'router-a')


@faults.register('engine slow')
def slow(site: FaultSite, endpoint: str) -> None:
    """Slow an endpoint down.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    site.script(endpoint, pace=6, delay_ms=400)


@faults.register('engine crashed')
def crash(site: FaultSite, endpoint: str) -> None:
    """Cut what an engine runs and refuse what comes.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    site.script(endpoint, cut_after=4, cuts=9, refuse=True)


@faults.register('reports stale')
def stale(site: FaultSite, endpoint: str) -> None:
    """Hold all load reports back.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    relay = site.relays[endpoint]
    passed = relay.hook
    relay.hook = lambda message: (
        not isinstance(message, Report) and passed(message)
    )


@faults.register('store down')
def store_down(site: FaultSite, endpoint: str) -> None:
    """Let the platform answer 503.

    :param site: the site.
    :param endpoint: not heeded.
    """
    site.script('platform', down=True)


@faults.register('store slow')
def store_slow(site: FaultSite, endpoint: str) -> None:
    """Let the platform answer late, past the routers' bound.

    :param site: the site.
    :param endpoint: not heeded.
    """
    site.script('platform', delay_ms=1500)


@faults.register('cut twice')
def cut_twice(site: FaultSite, endpoint: str) -> None:
    """Cut the connections, and again soon after.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    cut(site, endpoint)
    gevent.spawn_later(_TWICE_S, cut, site, endpoint)


@faults.register('store down + agent killed')
def store_down_and_agent_killed(site: FaultSite, endpoint: str) -> None:
    """Two faults together.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    store_down(site, endpoint)
    kill_agent(site, endpoint)


@faults.register('cut + router frozen')
def cut_and_router_frozen(site: FaultSite, endpoint: str) -> None:
    """Two faults together.

    :param site: the site.
    :param endpoint: the endpoint.
    """
    freeze_router(site, endpoint)
    cut(site, endpoint)


def at_message(
    site: FaultSite,
    kind: type[Message],
    count: int,
    fault: Fault,
) -> list[str]:
    """Let a fault happen just before a message passes a relay.

    :param site: the site.
    :param kind: kind of the message.
    :param count: which of that kind on one relay, from 1.
    :param fault: the fault.
    :returns: where it happened, filled when it does.
    """
    fired: list[str] = []
    for endpoint, relay in site.relays.items():
        _arm(site, endpoint, relay, kind, count, fault, fired)
    return fired


def _arm(
    site: FaultSite,
    endpoint: str,
    relay: FrameRelay,
    kind: type[Message],
    count: int,
    fault: Fault,
    fired: list[str],
) -> None:
    seen = [0]

    def hook(message: Message) -> bool:
        if isinstance(message, kind):
            seen[0] += 1
            if seen[0] == count and not fired:
                fired.append(endpoint)
                fault(site, endpoint)
        return True

    relay.hook = hook


def _freeze(site: FaultSite, name: str) -> None:
    process = site.process(name)
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(_FREEZE_S, _wake, process)


def _wake(process: object) -> None:
    if process.child.poll() is None:
        process.signal(signal.SIGCONT)
