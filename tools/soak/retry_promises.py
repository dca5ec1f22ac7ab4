"""What must hold in a soak of the retries that endpoints get."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tools.soak.promises import promises
from tools.soak.retry_bound import find_repeats, find_worst_window
from tools.soak.site import POOLS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.retry_bound import RetryWindow
    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome

_ENGINE_ROUTES: Final = ('stream', 'oneway', 'crash')


@promises.register('retry_budget_holds')
def retry_budget_holds(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A pool gets no more retries in a window than its requests allow."""
    for pool in POOLS:
        worst = find_worst_pool_window(site, outcomes, pool)
        if worst is not None and worst.excess > 0:
            yield f'pool {pool} got {worst}'


def find_worst_pool_window(
    site: SoakSite,
    outcomes: list[Outcome],
    pool: str,
) -> RetryWindow | None:
    """Find the window in which a pool got the most retries beyond its bound.

    :param site: the site.
    :param outcomes: all requests.
    :param pool: the pool.
    :returns: the window, None if there was no retry.
    """
    called = {
        each.call_id: each.sent_s for each in outcomes if _pool_of(each) == pool
    }
    repeats = find_repeats(
        (arrival.at_s, arrival.call_id)
        for server in site.servers
        if server.pool == pool
        for arrival in server.standin.signals.arrivals
        if arrival.call_id in called
    )
    return find_worst_window(called.values(), repeats, site.retry_bound)


def _pool_of(outcome: Outcome) -> str:
    plain, engines = POOLS
    return engines if outcome.route.startswith(_ENGINE_ROUTES) else plain
