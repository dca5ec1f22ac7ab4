"""What an endpoint stand-in says of itself in its answers, and its ledger.

The ledger says who was told what, and what arrived; nothing of the product
writes it.
"""

from __future__ import annotations

import time
from typing import Final, final

_LIMIT: Final = 'Server-Limit'
_LEAVING: Final = 'Server-Leaving'


@final
class Told:
    """One answer that said something, or one request that arrived."""

    __slots__ = ('at_s', 'call_id', 'spell', 'text')

    def __init__(self, *, call_id: str, text: str = '', spell: int = 0) -> None:
        """Note it now.

        :param call_id: id of the request.
        :param text: what was said.
        :param spell: how often it was changed before.
        """
        self.at_s = time.monotonic()
        self.call_id = call_id
        self.text = text
        self.spell = spell


@final
class AnswerSignalsStandIn:
    """Adds headers to answers and keeps the ledger."""

    def __init__(self) -> None:
        """Start with nothing to say."""
        self._limit = ''
        self._spell = 0
        self.leaving = False
        # The rest that is asked for, empty for none; all requests are turned
        # away meanwhile.
        self.rest = ''
        self.arrivals: list[Told] = []
        self.limits_told: list[Told] = []
        self.leavings_told: list[Told] = []
        self.rests_told: list[Told] = []

    @property
    def limit(self) -> str:
        """What answers name as the limit, empty for none."""
        return self._limit

    @limit.setter
    def limit(self, text: str) -> None:
        self._limit = text
        self._spell += 1

    def note_arrival(self, call_id: str) -> None:
        """Note a request, whatever becomes of it.

        :param call_id: its id.
        """
        self.arrivals.append(Told(call_id=call_id))

    def headers(self, call_id: str) -> list[tuple[str, str]]:
        """Give the headers that an answer gets now.

        :param call_id: id of the request that is answered.
        :returns: the headers.
        """
        headers = []
        if self.limit:
            headers.append((_LIMIT, self.limit))
            self.limits_told.append(
                Told(call_id=call_id, text=self.limit, spell=self._spell)
            )
        if self.leaving:
            headers.append((_LEAVING, '1'))
            self.leavings_told.append(Told(call_id=call_id))
        return headers

    def rest_headers(self, call_id: str) -> list[tuple[str, str]]:
        """Give the headers of an answer that turns a request away.

        :param call_id: id of the request that is answered.
        :returns: the headers, without a rest if none is asked for.
        """
        headers = self.headers(call_id)
        if self.rest:
            headers.append(('Retry-After', self.rest))
            self.rests_told.append(Told(call_id=call_id, text=self.rest))
        return headers
