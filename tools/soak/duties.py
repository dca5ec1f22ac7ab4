"""Faults and promises of a soak whose gateways report usage.

Apart from the others, so that the seeds of soaks without it stay the same
series.
"""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING, Final

import gevent

from standins.link import LinkState
from tools.soak.faults import pause_gateway
from tools.soak.promises import promises, runs_by_call
from wingfall.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from tools.soak.faults import Fault
    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome

duty_faults: Final[Registry[Fault]] = Registry(kind='duty fault')

# Seconds of a window, and after its end in which it must be reported.
WINDOW_S: Final = 2
LATE_S: Final = 6
# Seconds within which a holder must not come back after another has acted.
LEASE_S: Final = 1.2
_CALLS_FAIL: Final = ('down', 'reset', 'lost', 'slow')
_LATE_WRITE_MS: Final = 900
# Part of a customer's requests by which a report may be off, and requests at
# the borders of a window, where begun and seen differ by some milliseconds.
_OFF: Final = 0.05
_BORDER: Final = 3
# Seconds around a window in which nothing may have been disturbed for it to be
# judged: what a gateway had not told as it ended is lost.
_CALM_S: Final = 5


@duty_faults.register('duty_calls_fail')
def fail_duty_calls(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have the duties' address refuse, be slow, or lose answers."""
    if site.duty_platform is None:
        return
    site.store_disturbed.append((time.monotonic(), time.monotonic() + for_s))
    site.duty_platform.fault = chance.choice(_CALLS_FAIL)
    gevent.sleep(for_s)
    site.duty_platform.fault = ''


@duty_faults.register('writes_lose_answers')
def lose_write_answers(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Have writes take effect, some later, without an answer."""
    site.store_disturbed.append((time.monotonic(), time.monotonic() + for_s))
    late_ms = chance.choice([0, _LATE_WRITE_MS])
    site.store.script = {'lose_answers': 100, 'late_ms': late_ms}
    gevent.sleep(for_s)
    site.store.script = {}


def find_holder(site: SoakSite) -> str | None:
    """Find the gateway that holds the lease.

    :param site: the site.
    :returns: its name, None if there is none.
    """
    lease = site.store.objects.get('wingfall-leases', {}).get('duties')
    name = lease['spec']['name'] if lease else ''
    return name if name in site.gateways else None


@duty_faults.register('holder_cut_from_store')
def cut_holder(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Cut the holder of the lease off from the store alone."""
    holder = find_holder(site)
    if holder is None:
        return
    link = site.store_links[holder]
    site.store_disturbed.append((time.monotonic(), time.monotonic() + for_s))
    link.fail(chance.choice([LinkState.refusing, LinkState.silent]))
    gevent.sleep(for_s)
    link.heal()


@duty_faults.register('holder_ends')
def kill_holder(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Kill the holder of the lease and start it again at once."""
    holder = find_holder(site)
    if holder is None:
        return
    with site.held[holder]:
        site.disturb(holder)
        site.gateways[holder].restart()
        site.disturb(holder)


# Longer than the lease, so that another may act meanwhile.
duty_faults.register('gateway_pauses')(pause_gateway)


@promises.register('one_holder_acts')
def one_holder_acts(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """One gateway at a time acts, and reports each window once."""
    if site.duty_platform is not None:
        yield from site.duty_platform.breaches


@promises.register('usage_is_reported')
def usage_is_reported(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """Windows that nothing disturbed are reported, in time and truly."""
    platform = site.duty_platform
    if platform is None or not platform.reports:
        return
    began = _count_begun(site, outcomes)
    first, last = min(platform.reports), max(platform.reports)
    for window in range(first + 1, last):
        if not _is_calm(site, window):
            continue
        told = platform.reports.get(window)
        if told is None:
            yield f'window {window} was not reported'
        else:
            yield from _compare(window, told, began.get(window, {}))
            late_s = platform.reported_s[window] - (window + 1) * WINDOW_S
            if late_s > LATE_S:
                yield f'window {window} was reported after {late_s:.1f} s'


def _compare(
    window: int,
    told: dict[str, int],
    began: dict[str, int],
) -> Iterator[str]:
    for customer in told.keys() | began.keys():
        told_count = told.get(customer, 0)
        true_count = began.get(customer, 0)
        if abs(told_count - true_count) > true_count * _OFF + _BORDER:
            yield f'window {window}: {told_count} told, {true_count} began'


def _count_begun(
    site: SoakSite,
    outcomes: list[Outcome],
) -> dict[int, dict[str, int]]:
    epoch_s = time.time() - time.monotonic()
    began: dict[int, dict[str, int]] = collections.defaultdict(
        lambda: collections.Counter()
    )
    runs = runs_by_call(site)
    for outcome in outcomes:
        begun_s = [run.began_s for run in runs[outcome.call_id] if run.began_s]
        if begun_s:
            window = int((min(begun_s) + epoch_s) // WINDOW_S)
            began[window]['oslo'] += 1
    return began


def _is_calm(site: SoakSite, window: int) -> bool:
    epoch_s = time.time() - time.monotonic()
    from_s = window * WINDOW_S - epoch_s - _CALM_S
    until_s = (window + 1) * WINDOW_S - epoch_s + _CALM_S
    disturbed = [at_s for times in site.disturbed.values() for at_s in times]
    spans = (*site.store_disturbed, *site.mixed_s)
    return not any(from_s < at_s < until_s for at_s in disturbed) and not any(
        started_s < until_s and ended_s > from_s for started_s, ended_s in spans
    )
