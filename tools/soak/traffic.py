"""Callers of a soak: what they send and what they receive."""

from __future__ import annotations

import itertools
import random
import re
import socket
import time
from typing import TYPE_CHECKING, Final, final

import gevent
import h11

from standins.body_reading import body_of
from standins.received_answer import ReceivedAnswer
from tools.fleet import HOST
from tools.soak.site import RELEASED_POOL, STEADY_KEY

if TYPE_CHECKING:
    from gevent import Greenlet

    from tools.soak.site import SoakSite

KINDS: Final = ('safe', 'unsafe', 'stream', 'oneway')
_READ_BYTES: Final = 65_536
_DEADLINE_MS: Final = 3000
# Longer than a gateway takes to start and a call until its deadline.
_PATIENCE_S: Final = 8
_PAUSE_S: Final = 0.08
_KEEP: Final = 0.8
_LEAVE: Final = 0.03
_REVOKED: Final = 0.1
_ADDED: Final = 0.2
_PARTS: Final = 'aa:200,bb:100'
_EVENT: Final = re.compile(
    rb'^id: (\d+)\ndata: \S+ \d+ (\S+)\n\n', re.MULTILINE
)


@final
class Outcome(ReceivedAnswer):
    """One request and what its caller saw."""

    def __init__(
        self,
        *,
        call_id: str,
        kind: str,
        gateway: str,
        key: str,
        route: str = '',
    ) -> None:
        """Begin a request.

        :param call_id: its id.
        :param kind: its kind.
        :param gateway: where it goes.
        :param key: the API key.
        :param route: name of its route, empty for that of its kind.
        """
        super().__init__()
        self.route = route or kind
        self.call_id = call_id
        self.kind = kind
        self.gateway = gateway
        self.key = key
        self.sent_s = time.monotonic()
        self.ended_s = self.sent_s
        self.sent_whole = False
        self.parts = _PARTS
        # Bytes of the body of the request.
        self.body_bytes = 0
        self.first_s: float = 0
        self.left = False
        # The request whose answer began the stream that this one takes up, and
        # the last event that came of it; empty for a new stream.
        self.resumes = ''
        self.last_event_id = ''
        # Engines of the stream's version that took new work when this was sent.
        self.engines_of_version = 0
        # Number of events after which the caller leaves, 0 for none.
        self.leaves_after = 0

    def take(self, event: h11.Event) -> None:
        """Take a piece of the answer.

        :param event: the piece.
        """
        super().take(event)
        if isinstance(event, h11.Response):
            self.first_s = time.monotonic() - self.sent_s

    @property
    def events(self) -> list[tuple[str, str]]:
        """Id and version of the endpoint of each whole event that came."""
        return [
            (event_id.decode(), version.decode())
            for event_id, version in _EVENT.findall(self.body)
        ]


@final
class Traffic:
    """Callers that keep sending until they are stopped."""

    def __init__(self, *, site: SoakSite, seed: int, callers: int) -> None:
        """Start the callers.

        :param site: the site.
        :param seed: what they draw from.
        :param callers: how many.
        """
        self.outcomes: list[Outcome] = []
        self._site = site
        self._numbers = itertools.count()
        self._stopped = False
        self._callers: list[Greenlet] = [
            gevent.spawn(
                self._call_forever,
                random.Random(seed + number),
                # Half of them use a connection until the gateway ends it.
                1 if number % 2 else _KEEP,
            )
            for number in range(callers)
        ]

    def stop(self) -> None:
        """Let each caller end its request, and wait for them."""
        self._stopped = True
        gevent.joinall(self._callers)

    def ask(
        self,
        kind: str,
        gateway: str,
        key: str,
        parts: str = _PARTS,
        route: str = '',
    ) -> Outcome:
        """Send one request on a new connection.

        :param kind: its kind.
        :param gateway: where it goes.
        :param key: the API key.
        :param parts: parts of the prompt, if there is one.
        :param route: name of its route, empty for that of its kind.
        :returns: what came back.
        """
        outcome = self._begin(kind, gateway, key, route)
        outcome.parts = parts
        self._send_alone(outcome)
        return outcome

    def send_long(self, kind: str, gateway: str, length: int) -> Outcome:
        """Send a request with a body on a new connection.

        :param kind: its kind.
        :param gateway: where it goes.
        :param length: bytes of the body.
        :returns: what came back.
        """
        outcome = self._begin(kind, gateway, STEADY_KEY)
        outcome.body_bytes = length
        self._send_alone(outcome)
        return outcome

    def begin_stream(
        self, gateway: str, leaves_after: int, route: str = ''
    ) -> Outcome:
        """Send a request for a stream that may be taken up later.

        :param gateway: where it goes.
        :param leaves_after: events after which the caller leaves, 0 for none.
        :param route: name of its route, empty for that of its kind.
        :returns: what came back.
        """
        outcome = self._begin('stream', gateway, STEADY_KEY, route)
        outcome.leaves_after = leaves_after
        self._send_alone(outcome)
        return outcome

    def take_up_stream(self, gateway: str, tries: list[Outcome]) -> Outcome:
        """Send a request that goes on after the last event of earlier ones.

        :param gateway: where it goes.
        :param tries: the requests of the stream so far.
        :returns: what came back.
        """
        events = [event for each in tries for event in each.events]
        route = tries[0].route
        outcome = self._begin('stream', gateway, STEADY_KEY, route)
        outcome.resumes = next(each.call_id for each in tries if each.events)
        outcome.last_event_id = events[-1][0]
        version = events[0][1]
        released = route.startswith(RELEASED_POOL)
        outcome.engines_of_version = self._site.listed_versions(
            route if released else 'engines'
        ).count(version)
        self._send_alone(outcome)
        return outcome

    def _send_alone(self, outcome: Outcome) -> None:
        try:
            with self._connect(outcome.gateway) as sock:
                self._exchange(sock, h11.Connection(h11.CLIENT), outcome)
        except (OSError, h11.ProtocolError):
            outcome.whole = False
        outcome.ended_s = time.monotonic()

    def _call_forever(self, chance: random.Random, keep: float) -> None:
        while not self._stopped:
            gateway = chance.choice(list(self._site.gateways))
            try:
                with self._connect(gateway) as sock:
                    self._use(sock, gateway, chance, keep)
            except (OSError, h11.ProtocolError):
                gevent.sleep(_PAUSE_S)

    def _use(
        self,
        sock: socket.socket,
        gateway: str,
        chance: random.Random,
        keep: float,
    ) -> None:
        http = h11.Connection(h11.CLIENT)
        while not self._stopped:
            outcome = self._draw(gateway, chance)
            outcome.left = chance.random() < _LEAVE
            try:
                self._exchange(sock, http, outcome)
            finally:
                outcome.ended_s = time.monotonic()
            ended = http.our_state is not h11.DONE
            if ended or http.their_state is not h11.DONE:
                return
            if chance.random() > keep:
                return
            http.start_next_cycle()
            gevent.sleep(chance.random() * _PAUSE_S)

    def _draw(self, gateway: str, chance: random.Random) -> Outcome:
        key = self._pick_key(chance)
        added = list(self._site.added_s)
        if added and chance.random() < _ADDED:
            # The latest are those that a gateway may lack.
            return self._begin('safe', gateway, key, added[-1])
        return self._begin(chance.choice(KINDS), gateway, key)

    def _pick_key(self, chance: random.Random) -> str:
        revoked = list(self._site.revoked_s)
        if revoked and chance.random() < _REVOKED:
            return chance.choice(revoked)
        return chance.choice(self._site.keys)

    def _begin(
        self,
        kind: str,
        gateway: str,
        key: str,
        route: str = '',
    ) -> Outcome:
        outcome = Outcome(
            call_id=f'call-{next(self._numbers)}',
            kind=kind,
            gateway=gateway,
            key=key,
            route=route,
        )
        self.outcomes.append(outcome)
        return outcome

    def _connect(self, gateway: str) -> socket.socket:
        port = self._site.gateways[gateway].port
        return socket.create_connection((HOST, port), _PATIENCE_S)

    def _exchange(
        self,
        sock: socket.socket,
        http: h11.Connection,
        outcome: Outcome,
    ) -> None:
        sock.settimeout(_PATIENCE_S)
        sock.sendall(_encode(http, outcome))
        outcome.sent_whole = True
        if outcome.left:
            gevent.sleep(_PAUSE_S)
            sock.close()
            return
        _receive(sock, http, outcome)


def _receive(
    sock: socket.socket,
    http: h11.Connection,
    outcome: Outcome,
) -> None:
    while not outcome.whole:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(sock.recv(_READ_BYTES))
        elif isinstance(event, h11.ConnectionClosed):
            return
        else:
            outcome.take(event)
        if outcome.leaves_after and len(outcome.events) >= outcome.leaves_after:
            outcome.left = True
            return


def _encode(http: h11.Connection, outcome: Outcome) -> bytes:
    headers = [
        ('Host', 'site.example'),
        ('Authorization', f'Token {outcome.key}'),
        ('X-Attempt-Id', outcome.call_id),
        ('X-Deadline-Ms', str(_DEADLINE_MS)),
    ]
    if outcome.kind in {'stream', 'oneway'}:
        headers.append(('X-Token-Count', '300,40'))
        headers.append(('X-Prompt-Prefix', outcome.parts))
    if outcome.resumes:
        headers.append(('Resumes', outcome.resumes))
        headers.append(('Last-Event-Id', outcome.last_event_id))
    has_body = outcome.kind != 'safe' or outcome.body_bytes
    if has_body:
        headers.append(('Content-Length', str(outcome.body_bytes)))
    request = h11.Request(
        method='POST' if has_body else 'GET',
        target=f'/{outcome.route}/x',
        headers=headers,
    )
    body = h11.Data(data=body_of(outcome.call_id, outcome.body_bytes))
    events = (request, body, h11.EndOfMessage())
    return b''.join(map(http.send, events))
