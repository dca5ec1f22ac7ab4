"""What the head of an answer has changed in what is known of its endpoint."""

from __future__ import annotations

import enum
from typing import final


@final
class SignalChange(enum.StrEnum):
    """The changes, as metrics name them."""

    limit_named = 'limit_named'
    limit_ended = 'limit_ended'
    leaving = 'leaving'
    rest = 'rest'
    unreadable = 'unreadable'
