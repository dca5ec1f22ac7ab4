"""Reason why an endpoint is withheld."""

from __future__ import annotations

import enum
from typing import final


@final
class WithholdReason(enum.StrEnum):
    """Reasons to send an endpoint no request, as named in logs and metrics."""

    leaving = 'leaving'
    limited = 'limited'
    resting = 'resting'
