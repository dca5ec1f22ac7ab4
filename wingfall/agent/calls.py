"""All calls of an agent: started, resumed, cancelled, forgotten."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Callable, final

import gevent

from wingfall.agent.call import Call
from wingfall.agent.stopwatch import Stopwatch
from wingfall.log import part_logger

if TYPE_CHECKING:
    from gevent import Greenlet

    from wingfall.agent.endpoint_client import EndpointClient
    from wingfall.clock import Clock
    from wingfall.decision.estimate import RunEstimates
    from wingfall.decision.keys import KeyedAnswer, KeyTable
    from wingfall.decision.limit import Pace
    from wingfall.decision.ticket import Ticket
    from wingfall.wire.call_messages import Run
    from wingfall.wire.connection import Connection

_STARTED_KEPT = 50_000

logger = part_logger('agent.calls')


@final
class CallTable:
    """The calls by id, each with the greenlet that relays it."""

    __slots__ = (
        '_calls',
        '_client',
        '_clock',
        '_estimates',
        '_finished',
        '_greenlets',
        '_keys',
        '_link_lost_ms',
        '_orphan_ms',
        '_pace',
        '_started',
        '_window',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        client: EndpointClient,
        pace: Pace,
        estimates: RunEstimates,
        keys: KeyTable,
        window: int,
        orphan_ms: int,
        finished: Callable[[Call], None],
    ) -> None:
        """Start empty.

        :param clock: the time.
        :param client: the endpoint.
        :param pace: where the pace of the answers is noted.
        :param estimates: where times to first tokens are noted.
        :param keys: the idempotency keys.
        :param window: unconfirmed bytes of one call.
        :param orphan_ms: how long a call outlives its connection, and a router
            that lost its connection may come back to ask for its calls.
        :param finished: called once for each call when its slot is free.
        """
        self._clock = clock
        self._client = client
        self._pace = pace
        self._estimates = estimates
        self._keys = keys
        self._window = window
        self._orphan_ms = orphan_ms
        # When the connection of a router was last lost, None if none was.
        self._link_lost_ms: int | None = None
        self._finished = finished
        self._calls: dict[str, Call] = {}
        # Every id that was started, the latest 50,000.
        self._started: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._greenlets: dict[str, Greenlet] = {}

    @property
    def running(self) -> int:
        """Calls that the endpoint works on."""
        return len(self._greenlets)

    @property
    def held(self) -> int:
        """Calls that run, or whose end no router has confirmed."""
        return len(self._calls)

    @property
    def awaits_router(self) -> bool:
        """Whether a router that lost its connection may come back.

        It may have sent calls that never arrived, which only this agent can
        prove.
        """
        if self._link_lost_ms is None:
            return False
        return self._clock.now_ms() - self._link_lost_ms < self._orphan_ms

    @property
    def keys(self) -> KeyTable:
        """The idempotency keys of this agent."""
        return self._keys

    def start(self, run: Run, ticket: Ticket, connection: Connection) -> bool:
        """Run a call.

        :param run: the request; its id must be new.
        :param ticket: the granted offer.
        :param connection: connection to the router.
        :returns: False if its idempotency key has a run already.
        """
        keyed = None
        if ticket.key:
            keyed = self._keys.begin(ticket.key, ticket.digest)
            if keyed is None:
                return False
        call = self._make_call(run, ticket, connection, keyed)
        self._started[call.call_id] = None
        if len(self._started) > _STARTED_KEPT:
            self._started.popitem(last=False)
        self._greenlets[call.call_id] = gevent.spawn(self._relay, call)
        return True

    def was_started(self, call_id: str) -> bool:
        """Tell whether a call was ever started here.

        :param call_id: its id.
        :returns: whether it was, as far as ids are kept.
        """
        return call_id in self._started

    def replay(self, run: Run, ticket: Ticket, connection: Connection) -> None:
        """Send the held answer of a key again.

        :param run: the request.
        :param ticket: its offer.
        :param connection: connection to the router.
        """
        call = self._make_call(run, ticket, connection, None)
        call.replay(self._keys.find(ticket.key))

    def find(self, call_id: str) -> Call | None:
        """Find a call.

        :param call_id: its id.
        :returns: the call, or None if it never ran or is forgotten.
        """
        return self._calls.get(call_id)

    def cancel(self, call_id: str) -> None:
        """Stop a call if it runs, and forget it.

        :param call_id: its id.
        """
        call = self._calls.pop(call_id, None)
        greenlet = self._greenlets.get(call_id)
        if greenlet is None:
            return
        if call is not None and call.is_keyed:
            # Its caller may ask again: the run goes on for the key.
            call.detach()
        else:
            greenlet.kill(block=False)

    def orphan(self, owner: str) -> None:
        """Note that a router's connection is lost.

        :param owner: the router.
        """
        now_ms = self._clock.now_ms()
        self._link_lost_ms = now_ms
        for call in self._calls.values():
            if call.owner == owner and call.orphaned_ms is None:
                call.orphan(now_ms)

    def forget_orphans(self) -> None:
        """Cancel and forget calls whose router stayed away too long."""
        self._keys.forget_old()
        oldest_ms = self._clock.now_ms() - self._orphan_ms
        for call_id, call in list(self._calls.items()):
            if call.orphaned_ms is not None and call.orphaned_ms < oldest_ms:
                logger.info('Forgot %s: its router stayed away.', call_id)
                self.cancel(call_id)

    def _end(self, call: Call) -> None:
        if call.is_keyed:
            self._keys.end(call.key, whole=call.whole, ran=call.ran)
        self._finished(call)

    def _make_call(
        self,
        run: Run,
        ticket: Ticket,
        connection: Connection,
        keyed: KeyedAnswer | None,
    ) -> Call:
        call = Call(
            run=run,
            ticket=ticket,
            connection=connection,
            window=self._window,
            keyed=keyed,
            stopwatch=Stopwatch(
                pace=self._pace,
                estimates=self._estimates,
                ticket=ticket,
            ),
        )
        self._calls[call.call_id] = call
        return call

    def _relay(self, call: Call) -> None:
        try:
            call.relay(self._client)
        finally:
            self._greenlets.pop(call.call_id, None)
            self._end(call)
