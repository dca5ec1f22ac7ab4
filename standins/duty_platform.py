"""A stand-in for the address that takes what the holder of a duty does.

It judges by its own ledger: reports of one window that differ, fencing tokens
that fall or that two holders share, holders that come back too soon. ``fault``
is what it does with the next calls: ``down`` (503), ``reset`` (no answer),
``lost`` (taken, no answer), ``cut`` (an answer cut in its head), ``taken_cut``
(taken, and so answered), ``slow`` (taken after a second), empty for none.
"""

from __future__ import annotations

import itertools
import socket
import time
from typing import Any, Final, final

import bottle
import gevent
import orjson

from standins.serving import answer_json
from wingfall.http_server import SOCKET_KEY

_DOWN: Final = 503
_SLOW_S: Final = 1
_MS: Final = 1000
_PART_OF_HEAD: Final = b'HTTP/1.1 200 OK\r\nContent-'


@final
class DutyAct:
    """One call that was taken."""

    def __init__(self, *, holder: str, token: int) -> None:
        """Note a call.

        :param holder: who made it.
        :param token: its fencing token.
        """
        self.holder = holder
        self.token = token
        self.at_s = time.monotonic()


@final
class DutyPlatformStandIn:
    """Takes reports of usage and keeps what breaks a promise."""

    def __init__(self, *, lease_s: float) -> None:
        """Start without a report.

        :param lease_s: within so long a holder must not come back after
            another has acted.
        """
        self.fault = ''
        self.breaches: list[str] = []
        self.acts: list[DutyAct] = []
        # Counts by window, and when each came first, in seconds since 1970.
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_s: dict[int, float] = {}
        self._lease_s = lease_s
        self.app = bottle.Bottle()
        self.app.post('/usage', callback=self._take_usage)

    def _take_usage(self) -> bottle.HTTPResponse:
        headers = bottle.request.headers
        act = DutyAct(
            holder=headers['X-Duty-Holder'],
            token=int(headers['X-Fence-Token']),
        )
        body = orjson.loads(bottle.request.body.read())
        fault = self.fault
        if fault == 'down':
            return answer_json({}, _DOWN)
        if fault == 'reset':
            return self._reset()
        if fault == 'cut':
            return self._reset(_PART_OF_HEAD)
        if fault == 'slow':
            gevent.sleep(_SLOW_S)
        self._judge(act)
        self._take_report(body['window_id'], body['counts'])
        if fault == 'taken_cut':
            return self._reset(_PART_OF_HEAD)
        return self._reset() if fault == 'lost' else answer_json({})

    def _take_report(self, window: int, counts: dict[str, Any]) -> None:
        known = self.reports.setdefault(window, counts)
        self.reported_s.setdefault(window, time.time())
        if known != counts:
            self.breaches.append(f'window {window} has two reports')

    def _judge(self, act: DutyAct) -> None:
        for known in self.acts:
            if known.token > act.token:
                self.breaches.append(f'{act.holder} came with an old token')
            if known.token == act.token and known.holder != act.holder:
                self.breaches.append(f'the token {act.token} is shared')
        if self._is_back_too_soon(act):
            self.breaches.append(f'{act.holder} is back within the lease')
        self.acts.append(act)

    def _is_back_too_soon(self, act: DutyAct) -> bool:
        recent = [
            known
            for known in self.acts
            if act.at_s - known.at_s < self._lease_s
        ]
        own = [known for known in recent if known.holder == act.holder]
        others = [known for known in recent if known.holder != act.holder]
        return any(
            mine.at_s < theirs.at_s
            for mine, theirs in itertools.product(own, others)
        )

    def _reset(self, part: bytes = b'') -> bottle.HTTPResponse:
        sock = bottle.request.environ[SOCKET_KEY]
        sock.sendall(part)
        sock.shutdown(socket.SHUT_RDWR)
        return answer_json({})
