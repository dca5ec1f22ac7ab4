"""What must hold in a soak while a part of prompts crashes engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tools.soak.promises import (
    CONTACT_S,
    MOST_TRIES,
    arrivals_after,
    is_gateway_disturbed,
    promises,
    runs_by_call,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome

# Crashes after which a part is known.
_CRASHES: Final = 5
# Sound prompts that a share needs, and the fraction of it that must remain.
_MIN_PROMPTS: Final = 20
_MIN_FRACTION: Final = 0.5


@promises.register('prompts_with_crashing_parts_are_not_sent_on')
def prompts_with_crashing_parts_are_not_sent_on(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """Few prompts with a part that crashed five engines reach others."""
    for part, crashed_s in site.part_crashed_s.items():
        if len(crashed_s) < _CRASHES:
            continue
        known_s = crashed_s[_CRASHES - 1] + CONTACT_S
        late = [
            run.call_id
            for run in arrivals_after(site, outcomes, known_s)
            if part in run.parts
        ]
        if len(late) > MOST_TRIES:
            yield f'{part} crashed {len(crashed_s)} and came as {late}'


@promises.register('sound_prompts_begin')
def sound_prompts_begin(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """Sound prompts begin half as often as ever while a part is blocked."""
    sound = [
        each
        for each in outcomes
        if each.route == 'stream' and not is_gateway_disturbed(site, each)
    ]
    inside = [each for each in sound if _is_blocked(site, each)]
    outside = [each for each in sound if not _has_crashes(site, each)]
    if min(len(inside), len(outside)) < _MIN_PROMPTS:
        return
    share, usual = _begun_share(site, inside), _begun_share(site, outside)
    if share < usual * _MIN_FRACTION:
        yield f'of sound prompts {share:.2f} begin, outside {usual:.2f}'


def _is_blocked(site: SoakSite, outcome: Outcome) -> bool:
    return any(
        len(crashed_s) >= _CRASHES
        and outcome.sent_s > crashed_s[_CRASHES - 1] + 2 * CONTACT_S
        for crashed_s in site.part_crashed_s.values()
    )


def _has_crashes(site: SoakSite, outcome: Outcome) -> bool:
    return any(
        crashed_s[0] - CONTACT_S < outcome.sent_s < crashed_s[-1] + CONTACT_S
        for crashed_s in site.part_crashed_s.values()
    )


def _begun_share(site: SoakSite, outcomes: list[Outcome]) -> float:
    runs = runs_by_call(site)
    begun = [
        any(run.began_s for run in runs[each.call_id][:1]) for each in outcomes
    ]
    return sum(begun) / len(begun)
