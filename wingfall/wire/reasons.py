"""Why an agent refuses an offer."""

from __future__ import annotations

import enum


class RefusalReason(enum.StrEnum):
    """The words in ``Refused.reason``."""

    leaving = 'leaving'
    queue_full = 'queue_full'
    shed = 'shed'
    too_late = 'too_late'
    grant_lapsed = 'grant_lapsed'
    busy = 'busy'
    never_started = 'never_started'
    unknown_call = 'unknown_call'
    key_in_use = 'key_in_use'
    key_mismatch = 'key_mismatch'
    key_not_held = 'key_not_held'
    endpoint_down = 'endpoint_down'
    link_down = 'link_down'
