"""Whether gateways keep to what endpoints say, by the endpoints' ledgers.

A ledger tells which request was answered with what, and what arrived when; the
callers tell which gateway each request went to.
"""

from __future__ import annotations

import bisect
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
# Seconds after a disturbance of a gateway in which it is excused.
_EXCUSED_S: Final = 4


def allowed(rate: float) -> float:
    """Tell how many requests may come in one window.

    :param rate: the limit.
    :returns: the number.
    """
    return rate * WINDOW_S * _TIMES + _BESIDE


@final
class SignalJudge:
    """Judges one endpoint's ledger."""

    def __init__(
        self,
        *,
        ledger: AnswerSignalsStandIn,
        gateways: Mapping[str, str],
        disturbed: Mapping[str, list[float]] | None = None,
    ) -> None:
        """Take what is judged.

        :param ledger: what the endpoint has said, and what arrived.
        :param gateways: the gateway of each call, by its id.
        :param disturbed: when gateways were disturbed, by their names.
        """
        self._ledger = ledger
        self._gateways = gateways
        self._disturbed = disturbed or {}

    def worst_window(self, rate: float) -> int:
        """Count the arrivals in the worst window while a limit was named.

        :param rate: the limit, named from its first naming to its last.
        :returns: how many came from gateways that had been told.
        """
        told = [each for each in self._ledger.limits_told if _is(each, rate)]
        if not told:
            return 0
        first_s, last_s = told[0].at_s + CONTACT_S, told[-1].at_s
        told_s = self._first_told_s(told)
        counted = [
            each.at_s
            for each in self._ledger.arrivals
            if first_s <= each.at_s <= last_s and self._knew(each, told_s)
        ]
        return max((_count_from(counted, at_s) for at_s in counted), default=0)

    def use(self, rate: float) -> float:
        """Tell which share of a limit was used while it was named.

        :param rate: the limit.
        :returns: arrivals a second, of the limit.
        """
        told = [each for each in self._ledger.limits_told if _is(each, rate)]
        first_s, last_s = told[0].at_s + CONTACT_S, told[-1].at_s
        arrived = sum(
            first_s <= each.at_s <= last_s for each in self._ledger.arrivals
        )
        return arrived / max(1, last_s - first_s) / rate

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
        told_s = self._first_told_s(self._ledger.leavings_told)
        late = 0
        for each in self._ledger.arrivals:
            gateway = self._gateways.get(each.call_id)
            first_s = told_s.get(gateway) if gateway else None
            if gateway is None or first_s is None:
                continue
            since_s = sent_s[each.call_id] - first_s
            late += since_s > DRAIN_S and not self._excused(gateway, each.at_s)
        return late

    def _first_told_s(self, told: Iterable[Told]) -> dict[str, float]:
        first_s: dict[str, float] = {}
        for each in told:
            gateway = self._gateways.get(each.call_id)
            if gateway is not None:
                first_s.setdefault(gateway, each.at_s)
        return first_s

    def _knew(self, arrival: Told, told_s: Mapping[str, float]) -> bool:
        gateway = self._gateways.get(arrival.call_id)
        if gateway is None or self._excused(gateway, arrival.at_s):
            return False
        first_s = told_s.get(gateway)
        return first_s is not None and arrival.at_s >= first_s + TOLD_S

    def _excused(self, gateway: str, at_s: float) -> bool:
        return any(
            disturbed_s <= at_s < disturbed_s + _EXCUSED_S
            for disturbed_s in self._disturbed.get(gateway, ())
        )


def _is(told: Told, rate: float) -> bool:
    return float(told.text) == rate


def _count_from(counted: list[float], at_s: float) -> int:
    first = bisect.bisect_left(counted, at_s)
    return bisect.bisect_right(counted, at_s + WINDOW_S) - first
