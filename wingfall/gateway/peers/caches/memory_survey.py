"""Asks engines what they cache, after a start that has forgotten it.

A gateway that starts hears from a peer what each engine keeps. When all
gateways end at once nobody knows any more, and parts of prompts would be read
again at engines beside those that keep them. Then the gateways ask the
engines, each of them some.
"""

from __future__ import annotations

import hashlib
import heapq
import http
from typing import TYPE_CHECKING, Final, final

import gevent
import h11
from gevent.pool import Pool as GreenletPool
from returns.result import Failure, Result, Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerBrokenError,
    AnswerLateError,
    NotConnectedError,
)
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.endpoints.kept_connections import KeptConnections
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.binding import Binding
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer

# What is learned is told to peers: so many gateways ask the same engine.
_ASKED_BY: Final = 2
# Engines that one gateway asks. 25 gateways ask 150 engines twice.
_MOST_ASKED: Final = 12
# Engines are shared out by the bucket that their name falls into, so that the
# work doesn't grow with gateways times engines.
_BUCKETS: Final = 128
# Milliseconds after which a peer that knows would have been heard. A dial, a
# hello and a whole heartbeat.
_PEERS_MS: Final = 400
# Engines that are asked at once, and milliseconds for an answer.
_AT_ONCE: Final = 4
_ANSWER_MS: Final = 1000
# Milliseconds for which the first list of endpoints is waited for.
_FIRST_LIST_MS: Final = 3000
# Milliseconds between two looks whether it has come.
_POLL_MS: Final = 20
# Bytes of an answer, so that one can't fill the memory: some 100,000 parts.
_MAX_BYTES: Final = 4_194_304


@final
class MemorySurvey:
    """Asks engines that ran before this gateway started."""

    __slots__ = (
        '_binding',
        '_clock',
        '_connections',
        '_knowledge',
        '_name',
        '_peers',
        '_routes',
        '_transfer',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
        binding: Binding,
        connections: KeptConnections,
        routes: Callable[[], Routes | None],
        transfer: PartsTransfer,
        peers: Callable[[], Iterable[str]],
    ) -> None:
        """Set up a survey.

        :param name: name of this gateway.
        :param clock: the time.
        :param knowledge: where what is learned is kept.
        :param binding: translates the question and the answer.
        :param connections: connections to engines.
        :param routes: gives the configuration in force.
        :param transfer: what a peer tells makes the survey needless.
        :param peers: names of the connected peers.
        """
        self._name = name
        self._clock = clock
        self._knowledge = knowledge
        self._binding = binding
        self._connections = connections
        self._routes = routes
        self._transfer = transfer
        self._peers = peers

    def run(self) -> None:
        """Ask this gateway's share of the engines, each once."""
        if self._transfer.wait(_PEERS_MS):
            return
        engines = self._wait_for_engines()
        asking = GreenletPool(_AT_ONCE)
        for engine in choose_engines(self._name, self._peers(), engines):
            asking.spawn(self._ask, engine)
        asking.join()

    def _wait_for_engines(self) -> list[PoolEndpoint]:
        clock = self._clock
        until_ms = clock.now_ms() + _FIRST_LIST_MS
        while not self._engines() and clock.now_ms() < until_ms:
            gevent.sleep(_POLL_MS / MS_PER_S)
        return self._engines()

    def _engines(self) -> list[PoolEndpoint]:
        routes = self._routes()
        if routes is None:
            return []
        return [
            endpoint
            for pool in routes.pools.values()
            if pool.memory_tokens
            for endpoint in self._knowledge.table.usable(pool.name)
        ]

    def _ask(self, engine: PoolEndpoint) -> None:
        answer = self._exchange(engine).bind(self._binding.read_memory)
        if isinstance(answer, Success):
            self._knowledge.caches.learn(engine.name, answer.unwrap())
        log_event(
            'survey',
            'An engine was asked what it keeps.',
            endpoint=engine.name,
            parts=len(answer.value_or(())),
            reason='' if isinstance(answer, Success) else answer.failure(),
        )

    def _exchange(self, engine: PoolEndpoint) -> Result[bytes, str]:
        connections = self._connections
        connection = None
        try:
            connection = connections.take(
                engine,
                timeout_ms=_ANSWER_MS,
                kept=False,
            )
            answer = self._read(engine, connection)
        except (NotConnectedError, AnswerBrokenError, AnswerLateError) as error:
            if connection is not None:
                connection.close()
            return Failure(f'{type(error).__name__} {error}')
        connections.give_back(engine, connection)
        return answer

    def _read(
        self,
        engine: PoolEndpoint,
        connection: EndpointConnection,
    ) -> Result[bytes, str]:
        target, headers = self._binding.memory_request(engine)
        sent_ms = self._clock.now_ms()
        connection.send(b'GET', target, headers, b'')
        until_ms = self._clock.now_ms() + _ANSWER_MS
        response = connection.receive(_ANSWER_MS)
        self._note_signals(engine, response, sent_ms)
        body = b''
        while True:
            event = connection.receive(until_ms - self._clock.now_ms())
            if isinstance(event, h11.EndOfMessage):
                break
            body += bytes(event.data)
            if len(body) > _MAX_BYTES:
                raise AnswerBrokenError('an answer beyond all bounds')
        if response.status_code != http.HTTPStatus.OK:
            return Failure(f'status {response.status_code}')
        return Success(body)

    def _note_signals(
        self,
        engine: PoolEndpoint,
        response: h11.Response,
        sent_ms: int,
    ) -> None:
        head = self._binding.read_answer(
            response.status_code,
            response.headers.raw_items(),
        )
        signals = self._knowledge.signals
        signals.note_answer(engine.name, head.signals, sent_ms)


def choose_engines(
    name: str,
    peers: Iterable[str],
    engines: Iterable[PoolEndpoint],
) -> list[PoolEndpoint]:
    """Share the engines out among the gateways, without a word.

    :param name: name of this gateway.
    :param peers: names of the gateways that it hears.
    :param engines: the engines.
    :returns: those that this gateway asks.
    """
    names = {name, *peers}
    own = {
        bucket for bucket in range(_BUCKETS) if name in _askers(bucket, names)
    }
    asked = [engine for engine in engines if _bucket(engine) in own]
    # Gateways that share a bucket begin at different engines of it.
    asked.sort(key=lambda engine: _digest(name, engine.name))
    return asked[:_MOST_ASKED]


def _askers(bucket: int, names: set[str]) -> list[str]:
    return heapq.nsmallest(
        _ASKED_BY,
        names,
        key=lambda name: _digest(name, bucket),
    )


def _bucket(engine: PoolEndpoint) -> int:
    return int.from_bytes(_digest(engine.name)[:2]) % _BUCKETS


def _digest(*names: object) -> bytes:
    return hashlib.sha256(repr(names).encode()).digest()
