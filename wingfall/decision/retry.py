"""How often requests may be run a second time."""

from __future__ import annotations

from typing import Final, final

_PERCENT: Final = 100
# Second runs that a class may have before it has earned any.
_BURST: Final = 10


@final
class RetryBudget:
    """A share of the fresh requests of each class, with a small burst.

    Without it a failing endpoint would have every request run again, which
    doubles the load just when capacity is short.
    """

    __slots__ = ('_percent', '_tokens')

    def __init__(self, *, percent: int) -> None:
        """Start with a full burst for each class.

        :param percent: second runs in percent of the fresh requests.
        """
        self._percent = percent
        self._tokens: dict[str, float] = {}

    def note_fresh(self, class_name: str) -> None:
        """Count a fresh request.

        :param class_name: its class.
        """
        tokens = self._tokens.get(class_name, _BURST)
        earned = self._percent / _PERCENT
        self._tokens[class_name] = min(_BURST, tokens + earned)

    def take(self, class_name: str) -> bool:
        """Ask for a second run.

        :param class_name: class of the request.
        :returns: whether it may run again.
        """
        tokens = self._tokens.get(class_name, _BURST)
        if not self._percent or tokens < 1:
            return False
        self._tokens[class_name] = tokens - 1
        return True
