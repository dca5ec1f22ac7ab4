"""What must hold in a soak, from what callers and endpoints saw."""

from __future__ import annotations

import collections
import re
from typing import TYPE_CHECKING, Callable, Final

from tools.soak.site import (
    BAD_PROMPT_ROUTE,
    CRASH_ROUTE,
    EVENTS,
    STEADY_KEY,
)
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.pool_server import Run
    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome

Promise = Callable[['SoakSite', 'list[Outcome]'], 'Iterator[str]']
promises: Final[Registry[Promise]] = Registry(kind='promise')

_OK: Final = 200
_NOT_FOUND: Final = 404
_REFUSED: Final = frozenset((429, 503))
_ONCE: Final = frozenset(('unsafe', 'oneway'))
_STREAMS: Final = frozenset(('stream', 'oneway'))
# A gateway has learned of a change after so long, where the store could be
# reached for some time before.
CONTACT_S: Final = 3
_LEARNED_S: Final = CONTACT_S + 2.5
_CALM_S: Final = 5
# Crashes after which a request is known, and sendings that may follow.
_CRASHES: Final = 3
MOST_TRIES: Final = 3
_BLAMED: Final = (
    b'request_crashes_endpoints',
    b'prompt_part_crashes_endpoints',
)
_CRASHING_ROUTES: Final = (CRASH_ROUTE, BAD_PROMPT_ROUTE)
_DENIED: Final = frozenset((401, 403, 404))
_EVENT_ID: Final = re.compile(rb'^id: (\d+)$', re.MULTILINE)


def runs_by_call(site: SoakSite) -> dict[str, list[Run]]:
    """Collect what all endpoints ran.

    :param site: the site.
    :returns: runs by the id of their call.
    """
    runs = collections.defaultdict(list)
    for server in site.servers:
        for run in server.standin.runs:
            runs[run.call_id].append(run)
    return runs


def arrivals_after(
    site: SoakSite, outcomes: list[Outcome], after_s: float
) -> list[Run]:
    """Collect what undisturbed gateways sent to endpoints after some time.

    :param site: the site.
    :param outcomes: what callers saw.
    :param after_s: from when on.
    :returns: the runs.
    """
    sent = {each.call_id: each for each in outcomes}
    return [
        run
        for server in site.servers
        for run in server.standin.runs
        if run.arrived_s > after_s
        and not is_gateway_disturbed(site, sent[run.call_id])
    ]


@promises.register('own_whole_answers')
def own_whole_answers(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A success is the endpoint's whole answer to this very request."""
    for each in outcomes:
        plain = each.kind not in _STREAMS
        if plain and each.status == _OK and each.whole:
            yield from _compare_plain(each)


@promises.register('streams_in_order')
def streams_in_order(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A stream has each event once, and all of them if it looks whole."""
    for each in outcomes:
        if each.status == _OK and each.kind in _STREAMS:
            yield from _compare_stream(each)


@promises.register('at_most_once')
def at_most_once(site: SoakSite, outcomes: list[Outcome]) -> Iterator[str]:
    """What may not be repeated runs once at most."""
    runs = runs_by_call(site)
    for each in outcomes:
        if each.kind in _ONCE and len(runs[each.call_id]) > 1:
            yield f'{each.call_id} ran {len(runs[each.call_id])} times'


@promises.register('refused_never_runs')
def refused_never_runs(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """What was refused by 429 or 503 has not run and never does."""
    runs = runs_by_call(site)
    for each in outcomes:
        refused = each.status in _REFUSED and each.kind in _ONCE
        if refused and runs[each.call_id]:
            yield f'{each.call_id} was refused by {each.status} and ran'


@promises.register('leaving_gets_nothing')
def leaving_gets_nothing(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """An endpoint that leaves gets nothing new once that is in force."""
    sent = {each.call_id: each for each in outcomes}
    for server in site.servers:
        since_s = server.draining_since_s
        if since_s is None:
            continue
        late = [
            run.call_id
            for run in server.standin.runs
            if _must_know(site, since_s, sent[run.call_id])
        ]
        for call_id in late:
            yield f'{call_id} reached {server.name}, which left'


@promises.register('revoked_keys_are_refused')
def revoked_keys_are_refused(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A key that was taken away is of no use once that is in force."""
    for each in outcomes:
        since_s = site.revoked_s.get(each.key)
        if since_s is None or each.status != _OK:
            continue
        if _must_know(site, since_s, each):
            yield f'{each.call_id} was served with a key taken away'


@promises.register('steady_key_is_known')
def steady_key_is_known(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A key that all configurations have is never refused."""
    for each in outcomes:
        added = each.route in site.added_s
        if each.key == STEADY_KEY and each.status in _DENIED and not added:
            yield f'{each.call_id} was denied by {each.status}'


@promises.register('added_routes_are_there')
def added_routes_are_there(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A route that was added is there once that is in force."""
    for each in outcomes:
        since_s = site.added_s.get(each.route)
        if since_s is None or each.status != _NOT_FOUND:
            continue
        if _must_know(site, since_s, each):
            late_s = round(each.sent_s - since_s, 1)
            yield f'{each.call_id}: {each.route} is unknown after {late_s} s'


@promises.register('planned_stop_answers')
def planned_stop_answers(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A gateway that nothing else disturbs answers all that it has read."""
    runs = runs_by_call(site)
    for each in outcomes:
        unanswered = each.sent_whole and not each.status and not each.left
        passed_on = bool(runs[each.call_id])
        excused = is_gateway_disturbed(site, each) or _is_cut_off(site, each)
        if unanswered and passed_on and not excused:
            yield f'{each.call_id} ran and got no answer at {each.gateway}'


@promises.register('crashing_requests_are_not_sent_on')
def crashing_requests_are_not_sent_on(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """A request that ended three engines reaches few after that is known."""
    for target, crashed_s in site.crashed_s.items():
        if len(crashed_s) < _CRASHES:
            continue
        known_s = crashed_s[_CRASHES - 1] + CONTACT_S
        late = [
            run.call_id
            for run in arrivals_after(site, outcomes, known_s)
            if run.target == target
        ]
        if len(late) > MOST_TRIES:
            yield f'{target} ended {len(crashed_s)} and came as {late}'


@promises.register('others_are_not_blamed')
def others_are_not_blamed(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """No request is refused for crashes that another one caused."""
    for each in outcomes:
        blamed = any(code in each.body for code in _BLAMED)
        if blamed and not each.route.startswith(_CRASHING_ROUTES):
            yield f'{each.call_id} on {each.route} is blamed for crashes'


def _compare_plain(outcome: Outcome) -> Iterator[str]:
    words = outcome.body.split(b' ')
    seal = outcome.headers.get('x-response-seal', '')
    path = f'/{outcome.route}/x'
    if words[1:] != [outcome.call_id.encode(), path.encode()]:
        yield f'{outcome.call_id} got {outcome.body!r}'
    elif seal != f'seal.{words[0].decode()}':
        yield f'{outcome.call_id} got the seal {seal}'


def _compare_stream(outcome: Outcome) -> Iterator[str]:
    ids = [int(number) for number in _EVENT_ID.findall(outcome.body)]
    first = int(outcome.last_event_id or 0) + 1
    if ids != list(range(first, first + len(ids))):
        yield f'{outcome.call_id} got events {ids}'
    elif outcome.whole and first + len(ids) - 1 != EVENTS:
        yield f'{outcome.call_id} looks whole with events {ids}'


def in_force(site: SoakSite, since_s: float, sent_s: float) -> bool:
    """Tell whether a change must be in force when a request is sent.

    :param site: the site.
    :param since_s: when the store took the change.
    :param sent_s: when the request was sent.
    :returns: whether the store could be reached for long enough.
    """
    calm_from_s = since_s - CONTACT_S
    for started_s, ended_s in sorted(site.store_disturbed):
        if min(started_s, sent_s) - calm_from_s >= _LEARNED_S:
            return True
        calm_from_s = max(calm_from_s, ended_s)
    return sent_s - calm_from_s >= _LEARNED_S


def _must_know(site: SoakSite, since_s: float, outcome: Outcome) -> bool:
    learned = in_force(site, since_s, outcome.sent_s)
    return learned and not is_gateway_disturbed(site, outcome)


def _is_cut_off(site: SoakSite, outcome: Outcome) -> bool:
    # A caller may wait for longer than a disturbance counts after its request.
    return any(
        outcome.sent_s < disturbed_s < outcome.ended_s
        for disturbed_s in site.disturbed.get(outcome.gateway, ())
    )


def is_gateway_disturbed(site: SoakSite, outcome: Outcome) -> bool:
    """Check if a gateway was disturbed about the time of a request.

    :param site: the site.
    :param outcome: the request, which names its gateway.
    :returns: whether it was killed, paused or started otherwise than by plan.
    """
    return any(
        outcome.sent_s - _CALM_S < disturbed_s < outcome.sent_s + _CALM_S
        for disturbed_s in site.disturbed.get(outcome.gateway, ())
    )
