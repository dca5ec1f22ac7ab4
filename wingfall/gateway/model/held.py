"""Why an endpoint takes no request now."""

from __future__ import annotations

import enum
from typing import final


@final
class Held(enum.StrEnum):
    """The reasons, as logs and metrics name them."""

    leaving = 'leaving'
    limited = 'limited'
    resting = 'resting'
