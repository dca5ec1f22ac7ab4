"""``make soak``: random faults on real gateway processes, by a seed."""

from __future__ import annotations

import gevent
from gevent import monkey

gevent.config.loop = 'libev-cext'
gevent.config.libev_backend = 'epoll'
monkey.patch_all()

import argparse
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Any

from standins.duty_platform import DutyPlatformStandIn
from standins.serving import start_server
from tools.fleet import HOST, wait_for
from tools.soak import (
    body_promises,
    prompt_promises,
    retry_promises,
    series,
    signal_promises,
    stream_promises,
)
from tools.soak.crashes import CrashingCaller
from tools.soak.crashing_prompts import CrashingPrompts
from tools.soak.duties import LATE_S, LEASE_S, WINDOW_S, duty_faults
from tools.soak.endurance import MEMORY_MB, GatewayWatch, endurance_faults
from tools.soak.engine_crashes import EngineCrashes
from tools.soak.failing_pools import FAILING_POOL_BOUND, FailingPools
from tools.soak.faults import Fault, faults
from tools.soak.long_requests import LongRequests
from tools.soak.odd_entries import OddEntries
from tools.soak.partitioned_releases import (
    BESIDE_PARTITIONS,
    PartitionedReleases,
    most_rounds,
)
from tools.soak.promises import promises
from tools.soak.resuming_callers import ResumingCallers
from tools.soak.running_faults import RunningFaults
from tools.soak.signal_faults import SpeakingEndpoints
from tools.soak.site import STEADY_KEY, SoakSite
from tools.soak.slow_readers import SlowReaders
from tools.soak.stream_promises import find_mixed_streams
from tools.soak.traffic import KINDS, Outcome, Traffic
from tools.soak.upgrade import Upgrade, unpack_version
from tools.soak.version_faults import version_faults
from tools.soak.writers import writer_faults
from wingfall.clock import MS_PER_S
from wingfall.http_server import HttpServer

# Faults and promises are known once their modules are imported.
IMPORTED = (
    body_promises,
    prompt_promises,
    retry_promises,
    series,
    signal_promises,
    stream_promises,
)

_CALLERS = 8
# Enough that a failing pool would get more retries than its bound allows.
_CALLERS_OF_FAILING_POOLS = 24
_SETTLE_S = 6
_RECOVER_S = 12
_MOST_SHOWN = 5
_MOST_FAULTS = 4
_LAST_ROUTES = 3


def main() -> int:
    """Run one soak.

    :returns: 0 if all promises held, 1 if not.
    """
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seed', type=int, default=None)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--gateways', type=int, default=4)
    parser.add_argument(
        '--writers',
        action='store_true',
        help='endpoints start again under their id, others write entries',
    )
    parser.add_argument(
        '--crashes',
        action='store_true',
        help='a caller whose requests end the engines that run them',
    )
    parser.add_argument(
        '--parts',
        action='store_true',
        help='callers whose prompts share a part that ends engines',
    )
    parser.add_argument(
        '--duties',
        action='store_true',
        help='gateways report usage, and faults strike who does',
    )
    parser.add_argument(
        '--signals',
        action='store_true',
        help='endpoints name limits, ask for rest, say that they leave',
    )
    parser.add_argument(
        '--failures',
        action='store_true',
        help='pools fail most requests while gateways end',
    )
    parser.add_argument(
        '--bodies',
        action='store_true',
        help='callers send long bodies, which endpoints read slowly',
    )
    parser.add_argument(
        '--versions',
        type=int,
        default=1,
        help='software versions of the endpoints; callers take streams up',
    )
    parser.add_argument(
        '--partitions',
        action='store_true',
        help='releases while a gateway is cut off or stands still',
    )
    parser.add_argument(
        '--endurance',
        action='store_true',
        help='unsound settings, crowds with long bodies, ports in use',
    )
    parser.add_argument(
        '--previous',
        help='commit that gateways are rolled from, and back to',
    )
    parser.add_argument('--keep', help='folder for logs that are kept')
    chosen = parser.parse_args()
    if chosen.partitions and chosen.previous:
        parser.error('earlier gateways announce no address')
    seed = chosen.seed
    if seed is None:
        seed = random.SystemRandom().randrange(10**6)
    with tempfile.TemporaryDirectory(prefix='wingfall-soak-') as folder:
        kept = pathlib.Path(chosen.keep or folder)
        kept.mkdir(parents=True, exist_ok=True)
        return _soak(seed, chosen, kept)


def _soak(seed: int, chosen: argparse.Namespace, folder: pathlib.Path) -> int:
    chance = random.Random(seed)
    duty_platform = None
    changes: dict[str, Any] = {}
    if chosen.duties:
        duty_platform = DutyPlatformStandIn(lease_s=LEASE_S)
        changes['duties'] = _describe_duties(start_server(duty_platform.app))
    if chosen.failures:
        changes['resend'] = FAILING_POOL_BOUND
    if chosen.endurance:
        changes['limits'] = {'memory_mb': MEMORY_MB}
    site = SoakSite(
        folder=folder,
        gateways=chosen.gateways,
        servers=3 * chosen.versions,
        versions=tuple(f'v{number + 1}' for number in range(chosen.versions)),
        changes=changes,
        tells_starts=chosen.writers,
        duty_platform=duty_platform,
        earlier=_unpack_previous(chosen, folder),
        small_link_buffers=chosen.bodies,
        released_pools=most_rounds(chosen.seconds) if chosen.partitions else 0,
        cuts_peers=chosen.partitions,
    )
    try:
        struck, broken, outcomes = _run(seed, chance, chosen, site)
    finally:
        site.close()
    served = sum(each.status == 200 for each in outcomes)
    print(
        f'soak seed {seed}: {len(outcomes)} requests, {served} served,'
        f' {len(struck)} faults, {len(broken)} broken,'
        f' {len(find_mixed_streams(outcomes))} streams of two versions',
    )
    for told in broken[:_MOST_SHOWN]:
        print(f'  {told}')
    return 1 if broken else 0


def _run(
    seed: int,
    chance: random.Random,
    chosen: argparse.Namespace,
    site: SoakSite,
) -> tuple[list[str], list[str], list[Outcome]]:
    callers = _CALLERS_OF_FAILING_POOLS if chosen.failures else _CALLERS
    traffic = Traffic(site=site, seed=seed, callers=callers)
    end_crashes = _start_crashes(site, traffic, chosen, seed)
    end_signals = _start_signals(site, chosen, seed)
    end_failures = _start_failures(site, chosen, seed)
    end_streams = _start_streams(site, traffic, chosen, seed)
    end_bodies = _start_bodies(site, traffic, chosen, seed)
    end_partitions = _start_partitions(site, traffic, chosen, seed)
    join_upgrade = _start_upgrade(site, chosen, seed)
    end_odd_entries = _start_odd_entries(site, chosen, seed)
    watch = GatewayWatch(site=site) if chosen.endurance else None
    struck = _strike(site, chance, chosen.seconds, _find_faults(chosen))
    join_upgrade()
    end_odd_entries()
    end_partitions()
    end_bodies()
    end_streams()
    end_failures()
    end_signals()
    end_crashes()
    broken = _check_recovery(site, traffic)
    traffic.stop()
    if watch is not None:
        print(f'memory of a gateway: {watch.peak_mb} MB at most')
        broken.extend(watch.stop())
    broken.extend(
        f'{name}: {told}'
        for name in promises.names
        for told in promises.find(name).unwrap()(site, traffic.outcomes)
    )
    return struck, broken, traffic.outcomes


def _start_upgrade(
    site: SoakSite,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not chosen.previous:
        return lambda: None
    return Upgrade(site=site, chance=random.Random(seed)).join


def _unpack_previous(
    chosen: argparse.Namespace,
    folder: pathlib.Path,
) -> pathlib.Path | None:
    if not chosen.previous:
        return None
    return unpack_version(chosen.previous, folder / 'previous')


def _find_faults(chosen: argparse.Namespace) -> dict[str, Fault]:
    chosen_faults = BESIDE_PARTITIONS if chosen.partitions else faults.names
    registries = []
    if chosen.writers:
        registries.append(writer_faults)
    if chosen.duties:
        registries.append(duty_faults)
    if chosen.versions > 1:
        registries.append(version_faults)
    if chosen.endurance:
        registries.append(endurance_faults)
    known = {name: faults.find(name).unwrap() for name in chosen_faults}
    for registry in registries:
        for name in registry.names:
            known[name] = registry.find(name).unwrap()
    return known


def _describe_duties(server: HttpServer) -> dict[str, Any]:
    return {
        'address': f'{HOST}:{server.port}',
        'names': ['usage'],
        'lease_ms': int(LEASE_S * MS_PER_S),
        'window_s': WINDOW_S,
        'late_s': LATE_S,
    }


def _start_crashes(
    site: SoakSite,
    traffic: Traffic,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not (chosen.crashes or chosen.parts):
        return lambda: None
    engines = EngineCrashes(site=site)
    callers: list[CrashingCaller | CrashingPrompts] = []
    parts: dict[str, Any] = {'site': site, 'traffic': traffic, 'seed': seed}
    if chosen.crashes:
        callers.append(CrashingCaller(engines=engines, **parts))
    if chosen.parts:
        callers.append(CrashingPrompts(engines=engines, **parts))

    def stop() -> None:
        for caller in callers:
            caller.stop()
        engines.join()

    return stop


def _start_streams(
    site: SoakSite,
    traffic: Traffic,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if chosen.versions == 1:
        return lambda: None
    return ResumingCallers(site=site, traffic=traffic, seed=seed).stop


def _start_partitions(
    site: SoakSite,
    traffic: Traffic,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not chosen.partitions:
        return lambda: None
    releases = PartitionedReleases(site=site, traffic=traffic, seed=seed)

    def stop() -> None:
        for told in releases.stop():
            print(told)

    return stop


def _start_bodies(
    site: SoakSite,
    traffic: Traffic,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not (chosen.bodies or chosen.endurance):
        return lambda: None
    readers = SlowReaders(site=site, seed=seed) if chosen.bodies else None
    callers = LongRequests(site=site, traffic=traffic, seed=seed)

    def stop() -> None:
        callers.stop()
        if readers is not None:
            readers.stop()

    return stop


def _start_signals(
    site: SoakSite,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not chosen.signals:
        return lambda: None
    return SpeakingEndpoints(site=site, seed=seed).stop


def _start_odd_entries(
    site: SoakSite,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not chosen.writers:
        return lambda: None
    return OddEntries(site=site, seed=seed).stop


def _start_failures(
    site: SoakSite,
    chosen: argparse.Namespace,
    seed: int,
) -> Callable[[], None]:
    if not chosen.failures:
        return lambda: None
    return FailingPools(site=site, seed=seed).stop


def _strike(
    site: SoakSite,
    chance: random.Random,
    seconds: float,
    known: dict[str, Fault],
) -> list[str]:
    until_s = time.monotonic() + seconds
    running = RunningFaults(site=site, chance=chance)
    struck: list[str] = []
    while time.monotonic() < until_s:
        gevent.sleep(chance.uniform(0.1, 1.2))
        if len(running) >= _MOST_FAULTS:
            continue
        name = chance.choice(list(known))
        struck.append(name)
        running.strike(known[name])
    running.join()
    return struck


def _check_recovery(site: SoakSite, traffic: Traffic) -> list[str]:
    site.heal()
    gevent.sleep(_SETTLE_S)
    broken = []
    for name, gateway in site.gateways.items():
        if gateway.child.poll() is not None:
            broken.append(f'{name} has ended by itself')
            continue
        broken.extend(_check_service(traffic, name))
        # The promises look at what became of these.
        for key in site.revoked_s:
            traffic.ask(KINDS[0], name, key)
        for route in list(site.added_s)[-_LAST_ROUTES:]:
            traffic.ask(KINDS[0], name, STEADY_KEY, route=route)
    return broken


def _check_service(traffic: Traffic, name: str) -> Iterator[str]:
    for kind in KINDS:
        try:
            wait_for(
                lambda: traffic.ask(kind, name, STEADY_KEY).status == 200,
                'service',
                _RECOVER_S,
            )
        except TimeoutError:
            yield f'{name} does not serve {kind} again'


if __name__ == '__main__':
    sys.exit(main())
