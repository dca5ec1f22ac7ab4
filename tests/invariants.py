"""The one checker: what callers got against what endpoints and platform saw.

Each function lists violations as sentences; an empty list is a pass.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.caller import Outcome

_OK = 200
_REFUSED = 400
_ERROR_EVENT = b'event: error\n'
_DONE = b'data: [DONE]\n\n'


def check_answers(
    outcomes: Iterable[Outcome],
    runs: dict[str, list[dict[str, Any]]],
) -> list[str]:
    """Whole answers are one run's own; refusals are truthful.

    :param outcomes: what callers got.
    :param runs: runs by request id, over all endpoints.
    :returns: the violations.
    """
    violations: list[str] = []
    for outcome in outcomes:
        own = runs.get(outcome.request_id, [])
        violations.extend(_check_whole(outcome, own, runs))
        if outcome.run == 'not_run' and own:
            violations.append(f'{outcome.request_id}: not_run, but it ran')
        if _looks_cut_but_whole(outcome):
            violations.append(f'{outcome.request_id}: cut, but looks whole')
    return violations


def check_once(
    markers: Iterable[str],
    runs: dict[str, list[dict[str, Any]]],
) -> list[str]:
    """Unrepeatable requests run at most once, whatever was tried.

    :param markers: what their callers called them.
    :param runs: runs by request id, over all endpoints.
    :returns: the violations.
    """
    counts: collections.Counter[str] = collections.Counter()
    for listed in runs.values():
        counts.update(run['marker'] for run in listed)
    return [
        f'{marker} ran {counts[marker]} times'
        for marker in markers
        if counts[marker] > 1
    ]


def check_versions(samples: Iterable[list[int]]) -> list[str]:
    """No process goes back to a lower version.

    :param samples: versions seen of each process, in their order.
    :returns: the violations.
    """
    return [
        f'a version went down: {seen}'
        for seen in samples
        if any(later < earlier for earlier, later in zip(seen, seen[1:]))
    ]


def _check_whole(
    outcome: Outcome,
    own: list[dict[str, Any]],
    runs: dict[str, list[dict[str, Any]]],
) -> list[str]:
    if not outcome.whole:
        return []
    sent = {run['sha256'] for run in own if run['whole']}
    if outcome.asked.headers.get('Idempotency-Key'):
        # A held answer is that of an earlier try.
        marker = outcome.asked.headers['X-Marker']
        sent = {
            run['sha256']
            for listed in runs.values()
            for run in listed
            if run['marker'] == marker
        }
    if outcome.sha256 in sent:
        return []
    return [f'{outcome.request_id}: whole, but no endpoint sent it']


def _looks_cut_but_whole(outcome: Outcome) -> bool:
    if outcome.whole or outcome.status >= _REFUSED or not outcome.status:
        return False
    if outcome.code:
        # The connection broke, which no client takes for an end.
        return False
    return _ERROR_EVENT not in outcome.body or outcome.body.endswith(_DONE)
