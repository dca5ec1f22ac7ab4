"""What the heads of endpoints' answers say of the endpoints, decoded.

The only place that knows the names of these headers. What can't be read is no
error: it is told as a fault, and nothing follows from it.
"""

from __future__ import annotations

import http
import math
import re
import time
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.answer_signals import AnswerSignals

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Headers

_LIMIT: Final = b'server-limit'
_LEAVING: Final = b'server-leaving'
_RETRY_AFTER: Final = b'retry-after'
_DATE: Final = b'date'
_LEAVES: Final = '1'
# A decimal number without a sign, so neither ``nan`` nor ``inf``.
_DECIMAL: Final = re.compile(r'\d{1,400}(\.\d{1,400})?([eE][+-]?\d{1,3})?')
# Characters of a value that can't be read which a log line shows.
_MAX_SHOWN: Final = 40


def read_signals(status: int, headers: Headers) -> AnswerSignals:
    """Read what an answer says of its endpoint.

    :param status: the status of the answer.
    :param headers: its headers.
    :returns: what it says.
    """
    faults: list[str] = []
    rest_ms = None
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        rest_ms = _read_rest(headers, faults)
    return AnswerSignals(
        rate=_read_rate(headers, faults),
        leaving=_LEAVES in _list_texts(headers, _LEAVING),
        rest_ms=rest_ms,
        faults=tuple(faults),
    )


def _read_rate(headers: Headers, faults: list[str]) -> float | None:
    texts = _list_texts(headers, _LIMIT)
    if not texts:
        return None
    rate = _read_decimal(texts[0]) if len(texts) == 1 else None
    if rate is None:
        faults.append(_show(_LIMIT, texts))
    return rate


def _read_rest(headers: Headers, faults: list[str]) -> int | None:
    texts = _list_texts(headers, _RETRY_AFTER)
    if not texts:
        return None
    rest_s = None
    if len(texts) == 1:
        rest_s = _read_decimal(texts[0])
        if rest_s is None:
            rest_s = _seconds_until(texts[0], headers)
    if rest_s is None:
        faults.append(_show(_RETRY_AFTER, texts))
        return None
    return math.ceil(rest_s * MS_PER_S)


def _read_decimal(text: str) -> float | None:
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if math.isfinite(number * MS_PER_S) else None


def _seconds_until(text: str, headers: Headers) -> float | None:
    # By the endpoint's own time of day where it tells it: others may differ.
    until_s = _read_date(text)
    if until_s is None:
        return None
    told = [_read_date(date) for date in _list_texts(headers, _DATE)]
    now_s = next((date for date in told if date is not None), time.time())
    return max(0, until_s - now_s)


def _read_date(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        return None


def _list_texts(headers: Headers, wanted: bytes) -> list[str]:
    return [
        text.decode('latin-1').strip()
        for name, text in headers
        if name.lower() == wanted
    ]


def _show(name: bytes, texts: list[str]) -> str:
    shown = ' / '.join(texts)[:_MAX_SHOWN]
    return f'{name.decode()}: {shown}'
