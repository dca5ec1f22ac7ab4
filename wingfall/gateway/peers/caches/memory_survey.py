"""Queries engines for cached prompt parts after a gateway starts.

A gateway that starts gets the cached prompt parts of each engine from a peer.
When all gateways end at once, no gateway has them, and prompt parts would be
prefilled again at other engines than those that cache them. Then each gateway
queries some of the engines.
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
from wingfall.gateway.endpoints.answer_buffer import (
    AnswerBuffer,
    AnswerMemory,
)
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerTimeoutError,
    BrokenAnswerError,
    NotConnectedError,
)
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.binding import Binding
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer

# Gateways that query the same engine; they report the answers to peers.
_GATEWAYS_PER_ENGINE: Final = 2
# Maximum engines that one gateway queries. 25 gateways ask 150 engines twice.
_MAX_ENGINES: Final = 12
# Engines are assigned to gateways by a hash bucket of their name, so that the
# work does not grow with gateways times engines.
_BUCKET_COUNT: Final = 128
# Milliseconds after which an informed peer would have reported: a dial, a hello
# and a whole heartbeat.
_PEER_TIMEOUT_MS: Final = 400
# Engines that are queried at once, and milliseconds for an answer.
_MAX_PARALLEL_QUERIES: Final = 4
_ANSWER_TIMEOUT_MS: Final = 1000
# Maximum wait for the first list of endpoints in milliseconds.
_FIRST_LIST_TIMEOUT_MS: Final = 3000
# Milliseconds between two checks for this list.
_POLL_INTERVAL_MS: Final = 20
# Maximum bytes of an answer, to bound its memory: some 100,000 parts.
_MAX_ANSWER_BYTES: Final = 4_194_304


@final
class CacheSurvey:
    """Queries engines that ran before this gateway started."""

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
        connections: ConnectionCache,
        routes: Callable[[], Routes | None],
        transfer: PartsTransfer,
        peers: Callable[[], Iterable[str]],
    ) -> None:
        """Initialize the survey.

        :param name: name of this gateway.
        :param clock: clock for timeouts.
        :param knowledge: endpoint knowledge that is updated.
        :param binding: creates the request and parses the answer.
        :param connections: connections to engines.
        :param routes: returns the current configuration, None before the first.
        :param transfer: transfer from a peer, which makes a survey needless.
        :param peers: returns the names of the connected peers.
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
        """Query this gateway's share of the engines, each once."""
        if self._transfer.wait_until_informed(_PEER_TIMEOUT_MS):
            return
        engines = self._wait_for_engines()
        greenlets = GreenletPool(_MAX_PARALLEL_QUERIES)
        for engine in choose_engines(self._name, self._peers(), engines):
            greenlets.spawn(self._query, engine)
        greenlets.join()

    def _wait_for_engines(self) -> list[PoolEndpoint]:
        clock = self._clock
        until_ms = clock.now_ms() + _FIRST_LIST_TIMEOUT_MS
        while not self._engines() and clock.now_ms() < until_ms:
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
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

    def _query(self, engine: PoolEndpoint) -> None:
        answer = self._fetch_memory(engine).bind(
            self._binding.read_prefix_cache
        )
        if isinstance(answer, Success):
            self._knowledge.caches.note_cached(engine.name, answer.unwrap())
        log_event(
            'survey',
            'An engine was asked what it keeps.',
            endpoint=engine.name,
            parts=len(answer.value_or(())),
            reason='' if isinstance(answer, Success) else answer.failure(),
        )

    def _fetch_memory(self, engine: PoolEndpoint) -> Result[bytes, str]:
        connections = self._connections
        connection = None
        try:
            connection = connections.acquire(
                engine,
                timeout_ms=_ANSWER_TIMEOUT_MS,
                allow_reuse=False,
            )
            answer = self._send_request(engine, connection)
        except (
            NotConnectedError,
            BrokenAnswerError,
            AnswerTimeoutError,
        ) as error:
            if connection is not None:
                connection.close()
            return Failure(f'{type(error).__name__} {error}')
        connections.release(engine, connection)
        return answer

    def _send_request(
        self,
        engine: PoolEndpoint,
        connection: EndpointConnection,
    ) -> Result[bytes, str]:
        target, headers = self._binding.prefix_cache_request(engine)
        sent_ms = self._clock.now_ms()
        until_ms = sent_ms + _ANSWER_TIMEOUT_MS
        connection.send(b'GET', target, headers, b'', deadline_ms=until_ms)
        response = connection.receive(_ANSWER_TIMEOUT_MS)
        self._record_signals(engine, response, sent_ms)
        buffer = AnswerBuffer(
            memory=AnswerMemory(), max_bytes=_MAX_ANSWER_BYTES
        )
        while True:
            event = connection.receive(until_ms - self._clock.now_ms())
            if isinstance(event, h11.EndOfMessage):
                break
            buffer.add(event.data)
        if response.status_code != http.HTTPStatus.OK:
            return Failure(f'status {response.status_code}')
        return Success(buffer.read())

    def _record_signals(
        self,
        engine: PoolEndpoint,
        response: h11.Response,
        sent_ms: int,
    ) -> None:
        answer = self._binding.read_answer(
            response.status_code,
            response.headers.raw_items(),
        )
        signals = self._knowledge.signals
        signals.note_answer(engine.name, answer.signals, sent_ms)


def choose_engines(
    name: str,
    peers: Iterable[str],
    engines: Iterable[PoolEndpoint],
) -> list[PoolEndpoint]:
    """Select this gateway's share of the engines without communication.

    :param name: name of this gateway.
    :param peers: names of the connected peers.
    :param engines: all engines.
    :returns: the engines that this gateway queries.
    """
    names = {name, *peers}
    own_buckets = {
        bucket
        for bucket in range(_BUCKET_COUNT)
        if name in _choose_gateways(bucket, names)
    }
    chosen = [engine for engine in engines if _bucket(engine) in own_buckets]
    # Gateways that share a bucket start with different engines of the bucket.
    chosen.sort(key=lambda engine: _digest(name, engine.name))
    return chosen[:_MAX_ENGINES]


def _choose_gateways(bucket: int, names: set[str]) -> list[str]:
    return heapq.nsmallest(
        _GATEWAYS_PER_ENGINE,
        names,
        key=lambda name: _digest(name, bucket),
    )


def _bucket(engine: PoolEndpoint) -> int:
    return int.from_bytes(_digest(engine.name)[:2]) % _BUCKET_COUNT


def _digest(*names: object) -> bytes:
    return hashlib.sha256(repr(names).encode()).digest()
