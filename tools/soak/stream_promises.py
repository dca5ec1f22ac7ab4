"""What must hold in a soak of streams that go on at a second endpoint."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

from tools.soak.promises import is_gateway_disturbed, promises

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome

# The platform's rules: streams that may hold events of two versions, streams
# that are taken up before their share is judged, the least share that goes on
# beside the share of new streams that begin.
MAX_MIXED_STREAMS: Final = 2
_MIN_JUDGED: Final = 12
_MIN_RELATIVE_SHARE: Final = 0.5
# Seconds that a gateway must have reached the store to be judged.
_CONTACT_S: Final = 3
_OK: Final = 200


@promises.register('streams_stay_at_their_version')
def streams_stay_at_their_version(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """Nearly no stream holds events of two software versions."""
    mixed = find_mixed_streams(outcomes)
    if len(mixed) > MAX_MIXED_STREAMS:
        yield f'{len(mixed)} streams of two versions: {mixed[:5]}'


@promises.register('streams_that_are_taken_up_go_on')
def streams_that_are_taken_up_go_on(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """Streams go on at least half as often as new streams begin."""
    judged = [
        each
        for each in outcomes
        if each.kind == 'stream' and _is_in_touch(site, each)
    ]
    taken_up = [
        each for each in judged if each.resumes and each.engines_of_version > 1
    ]
    begun = [each for each in judged if not each.resumes]
    if len(taken_up) < _MIN_JUDGED or not begun:
        return
    share, share_of_new = (
        _share_with_events(taken_up),
        _share_with_events(begun),
    )
    if share < share_of_new * _MIN_RELATIVE_SHARE:
        yield (
            f'{share:.2f} of {len(taken_up)} streams went on,'
            f' {share_of_new:.2f} of new ones began'
        )


def find_mixed_streams(outcomes: list[Outcome]) -> list[str]:
    """Find the streams that hold events of two software versions.

    :param outcomes: all requests; those that take up a stream count with the
        one that began it.
    :returns: ids of the requests that began them.
    """
    versions = collections.defaultdict(set)
    for each in outcomes:
        stream = each.resumes or each.call_id
        versions[stream].update(version for _id, version in each.events)
    return [stream for stream, seen in versions.items() if len(seen) > 1]


def _share_with_events(outcomes: list[Outcome]) -> float:
    answered = [each for each in outcomes if each.status == _OK and each.events]
    return len(answered) / len(outcomes)


def _is_in_touch(site: SoakSite, outcome: Outcome) -> bool:
    if is_gateway_disturbed(site, outcome):
        return False
    return not any(
        started_s <= outcome.ended_s and outcome.sent_s - _CONTACT_S <= ended_s
        for started_s, ended_s in site.store_disturbed
    )
