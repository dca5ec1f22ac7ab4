"""Change of an endpoint's recorded signals by the head of an answer."""

from __future__ import annotations

import enum
from typing import final


@final
class SignalChange(enum.StrEnum):
    """Changes, as named in metrics."""

    limit_named = 'limit_named'
    limit_ended = 'limit_ended'
    leaving = 'leaving'
    rest = 'rest'
    unreadable = 'unreadable'
