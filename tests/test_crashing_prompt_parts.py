"""Unlike prompts that share a part which crashes engines.

Each request was blocked after its third crash, and the next one with the part
began at zero: engine after engine crashed.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import gevent
import pytest

from tests.prompt_part_site import CRASH_PART, PromptPartSite

if TYPE_CHECKING:
    import pathlib

# Seconds after the fifth crash in which all gateways must know of the part.
CONTACT_S = 3
CRASHES = 5
# Prompts with the part that may still be tried after that.
MOST_TRIES = 3
CALM_S = 3
WATCHED_S = 6
# Share of the sound prompts begun at the first attempt that must remain.
MIN_BEGUN = 0.5

SOUND_PARTS = ('aa:200,bb:100', 'aa:200,cc:100', 'ee:200,ff:100')
SITES = {
    'the part in the middle': {'bad_parts': f'aa:200,{CRASH_PART}:50,bb:100'},
    'the part first': {'bad_parts': f'{CRASH_PART}:50,bb:100'},
    'after the first event': {
        'bad_parts': f'aa:200,bb:100,{CRASH_PART}:50',
        'after_events': 1,
    },
    'answers without length': {
        'bad_parts': f'aa:200,{CRASH_PART}:50,bb:100',
        'after_events': 1,
        'unframed': True,
    },
    'the first part of all': {
        'bad_parts': f'aa:200,{CRASH_PART}:50',
        'sound_parts': ('aa:200,bb:100',),
    },
}


@pytest.mark.processes
@pytest.mark.parametrize('changes', SITES.values(), ids=SITES.keys())
def test_prompts_with_a_part_that_crashes_engines_are_not_sent_on(
    tmp_path: pathlib.Path, changes: dict[str, Any]
):
    site = PromptPartSite(
        folder=tmp_path, **{'sound_parts': SOUND_PARTS, **changes}
    )
    try:
        since_s = start_sound_callers(site)
        bad_s = time.monotonic()
        site.send_bad(callers=2, every_s=0.1)
        known_s = site.wait_for_crashes(CRASHES, timeout_s=20) + CONTACT_S
        gevent.sleep(known_s + WATCHED_S - time.monotonic())
    finally:
        site.close()
    assert site.arrivals(after_s=known_s) <= MOST_TRIES
    assert not site.refused_sound()
    before = site.begun_share(since_s=since_s, until_s=bad_s)
    # Those of the last second may not have begun yet.
    end_s = known_s + WATCHED_S
    after = site.begun_share(since_s=known_s + CONTACT_S, until_s=end_s - 1)
    assert after > before * MIN_BEGUN


def start_sound_callers(site: PromptPartSite) -> float:
    """Have sound prompts served for some seconds.

    :param site: the site.
    :returns: from when on they were served.
    """
    since_s = time.monotonic()
    site.send_sound(callers=8)
    gevent.sleep(CALM_S)
    return since_s
