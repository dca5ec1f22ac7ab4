"""Whether gateways keep to what endpoints say, by the endpoints' ledgers.

A ledger tells which request was answered with what, and what arrived when; the
callers tell which gateway each request went to.
"""

from __future__ import annotations

import bisect
import math
import re
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from standins.answer_signals import AnswerSignalsStandIn, Told

# Seconds after an endpoint first named its limit from which it must be kept.
CONTACT_S: Final = 3
# Seconds after which a gateway that was told must keep to it.
TOLD_S: Final = 0.5
# Seconds in which arrivals are counted.
WINDOW_S: Final = 4
# How many times the limit may come, and how many requests beside.
_TIMES: Final = 1.5
_BESIDE: Final = 5
# Requests that may come within a rest.
MOST_IN_REST: Final = 2
# Seconds after a leaving was told in which requests may still come.
DRAIN_S: Final = 2
# What an endpoint names as a limit, if it can be read.
_DECIMAL: Final = re.compile(r'\d+(\.\d+)?')
# Seconds after a disturbance of a gateway in which it is excused.
_EXCUSED_S: Final = 4


def allowed(rate: float) -> float:
    """Tell how many requests may come in one window.

    :param rate: the limit.
    :returns: the number.
    """
    return rate * WINDOW_S * _TIMES + _BESIDE


@final
class LimitSpell:
    """A time in which an endpoint named one limit."""

    __slots__ = ('number', 'rate', 'told')

    def __init__(self, *, number: int, rate: float, told: list[Told]) -> None:
        """Describe it.

        :param number: how often its limit was changed before.
        :param rate: the limit, requests a second.
        :param told: the answers that named it, at least one.
        """
        self.number = number
        self.rate = rate
        self.told = told

    @property
    def from_s(self) -> float:
        """From when on it must be kept."""
        return self.told[0].at_s + CONTACT_S

    @property
    def until_s(self) -> float:
        """When it was last named."""
        return self.told[-1].at_s


@final
class SignalJudge:
    """Judges one endpoint's ledger."""

    def __init__(
        self,
        *,
        ledger: AnswerSignalsStandIn,
        gateways: Mapping[str, str],
        disturbed: Mapping[str, list[float]] | None = None,
        started: Mapping[str, list[float]] | None = None,
        mixed_s: Iterable[tuple[float, float]] = (),
    ) -> None:
        """Take what is judged.

        :param ledger: what the endpoint has said, and what arrived.
        :param gateways: the gateway of each call, by its id.
        :param disturbed: when gateways were disturbed, by their names.
        :param started: when gateways were started.
        :param mixed_s: from when to when some were of a version that reads
            none of it.
        """
        self._ledger = ledger
        self._gateways = gateways
        self._disturbed = disturbed or {}
        self._started = started or {}
        self._mixed_s = list(mixed_s)

    def spells(self) -> list[LimitSpell]:
        """List the times in which the endpoint named a limit.

        :returns: one for each limit, without what can't be read.
        """
        grouped: dict[int, list[Told]] = {}
        for each in self._ledger.limits_told:
            grouped.setdefault(each.spell, []).append(each)
        return [
            LimitSpell(number=number, rate=float(told[0].text), told=told)
            for number, told in grouped.items()
            if _DECIMAL.fullmatch(told[0].text)
        ]

    def worst_window(self, spell: LimitSpell) -> int:
        """Count the arrivals in the worst window of a spell.

        :param spell: the spell.
        :returns: how many came from gateways that had been told.
        """
        counted = [
            each.at_s
            for each in self._ledger.arrivals
            if spell.from_s <= each.at_s <= spell.until_s
            and self._knew(each, spell.told)
        ]
        return max((_count_from(counted, at_s) for at_s in counted), default=0)

    def use(self, spell: LimitSpell) -> float:
        """Tell which share of a limit was used in a spell.

        :param spell: the spell.
        :returns: arrivals a second, of the limit.
        """
        arrived = sum(
            spell.from_s <= each.at_s <= spell.until_s
            for each in self._ledger.arrivals
        )
        seconds = max(1, spell.until_s - spell.from_s)
        return arrived / seconds / spell.rate

    def most_in_rest(self) -> int:
        """Count the arrivals in the worst rest of a gateway.

        :returns: how many came from one gateway in one rest.
        """
        most = 0
        for told in self._ledger.rests_told:
            gateway = self._gateways.get(told.call_id)
            if gateway is None or self._excused(gateway, told.at_s):
                continue
            from_s, until_s = told.at_s + TOLD_S, told.at_s + float(told.text)
            came = sum(
                from_s < each.at_s < until_s
                and self._gateways.get(each.call_id) == gateway
                and not self._excused(gateway, each.at_s)
                and not self._restarted(gateway, told.at_s, each.at_s)
                for each in self._ledger.arrivals
            )
            most = max(most, came)
        return most

    def late_after_leaving(self, sent_s: Mapping[str, float]) -> int:
        """Count requests to an endpoint that had said that it is leaving.

        :param sent_s: when callers sent each call, by its id.
        :returns: how many were sent later than it may be after their gateway
            was told.
        """
        told = self._ledger.leavings_told
        late = 0
        for each in self._ledger.arrivals:
            gateway = self._gateways.get(each.call_id)
            if gateway is None or self._excused(gateway, each.at_s):
                continue
            first_s = self._first_told_s(gateway, each.at_s, told)
            late += sent_s[each.call_id] - first_s > DRAIN_S
        return late

    def _first_told_s(
        self,
        gateway: str,
        at_s: float,
        told: Iterable[Told],
    ) -> float:
        """Tell when the process that sent something was first told.

        :param gateway: the gateway.
        :param at_s: when it sent.
        :param told: the answers that told gateways.
        :returns: when, infinite if its process wasn't told before.
        """
        for each in told:
            if each.at_s > at_s:
                break
            if self._gateways.get(each.call_id) != gateway:
                continue
            if not self._restarted(gateway, each.at_s, at_s):
                return each.at_s
        return math.inf

    def _knew(self, arrival: Told, told: Iterable[Told]) -> bool:
        gateway = self._gateways.get(arrival.call_id)
        if gateway is None or self._excused(gateway, arrival.at_s):
            return False
        first_s = self._first_told_s(gateway, arrival.at_s, told)
        return arrival.at_s >= first_s + TOLD_S

    def _restarted(self, gateway: str, from_s: float, until_s: float) -> bool:
        return any(
            from_s < started_s <= until_s
            for started_s in self._started.get(gateway, ())
        )

    def _excused(self, gateway: str, at_s: float) -> bool:
        if any(from_s <= at_s < to_s for from_s, to_s in self._mixed_s):
            return True
        return any(
            disturbed_s <= at_s < disturbed_s + _EXCUSED_S
            for disturbed_s in self._disturbed.get(gateway, ())
        )


def _count_from(counted: list[float], at_s: float) -> int:
    first = bisect.bisect_left(counted, at_s)
    return bisect.bisect_right(counted, at_s + WINDOW_S) - first
