"""What runs where, by this gateway's own count and what its peers tell.

Owns the work of each gateway at each endpoint, and the sum over peers. Own
work is counted from its sending to its end; what peers tell replaces what they
told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable


@final
class EndpointLoad:
    """Work at one endpoint."""

    __slots__ = ('memory_used', 'reading_tokens', 'running', 'streams')

    def __init__(
        self,
        *,
        running: int = 0,
        reading_tokens: int = 0,
        memory_used: int = 0,
        streams: dict[int, int] | None = None,
    ) -> None:
        """Describe the work.

        :param running: requests sent there and not ended.
        :param reading_tokens: prompt tokens of those without a first event.
        :param memory_used: tokens that these requests hold.
        :param streams: how many streams among them bear which longest gap
            in milliseconds.
        """
        self.running = running
        self.reading_tokens = reading_tokens
        self.memory_used = memory_used
        self.streams = streams or {}

    @property
    def idle(self) -> bool:
        """Whether nothing runs there."""
        return not self.running

    def add(self, other: EndpointLoad, sign: int = 1) -> None:
        """Add work, or take it away.

        :param other: the work.
        :param sign: 1 to add, -1 to take away.
        """
        self.running += sign * other.running
        self.reading_tokens += sign * other.reading_tokens
        self.memory_used += sign * other.memory_used
        for gap_ms, count in other.streams.items():
            left = self.streams.get(gap_ms, 0) + sign * count
            self.streams[gap_ms] = left
            if not left:
                self.streams.pop(gap_ms)


@final
class LoadTable:
    """Work at all endpoints."""

    __slots__ = ('_changed', '_of_peers', '_own', '_peers')

    def __init__(self) -> None:
        """Start without work."""
        self._own: dict[str, EndpointLoad] = {}
        self._peers: dict[str, dict[str, EndpointLoad]] = {}
        # The sum over all peers, so that a look-up doesn't grow with them.
        self._of_peers: dict[str, EndpointLoad] = {}
        # Endpoints whose own work the peers have not heard of.
        self._changed: set[str] = set()

    @property
    def own(self) -> dict[str, EndpointLoad]:
        """Work that this gateway has sent, by endpoint."""
        return self._own

    @property
    def has_changed(self) -> bool:
        """Whether there is work that the peers have not heard of."""
        return bool(self._changed)

    def take_changed(self) -> dict[str, EndpointLoad]:
        """Take what the peers have not heard of.

        :returns: own work by endpoint, idle where it has ended.
        """
        changed = {
            name: self._own.get(name, EndpointLoad()) for name in self._changed
        }
        self._changed = set()
        return changed

    def total(self, endpoint: str) -> EndpointLoad:
        """Sum up the work at an endpoint.

        :param endpoint: its name.
        :returns: the work of this gateway and its peers.
        """
        summed = EndpointLoad()
        for table in (self._own, self._of_peers):
            load = table.get(endpoint)
            if load is not None:
                summed.add(load)
        return summed

    def sum_with(self, peers: Iterable[str]) -> dict[str, EndpointLoad]:
        """Sum up the own work and that of some peers.

        :param peers: their names.
        :returns: the work by endpoint.
        """
        summed: dict[str, EndpointLoad] = {}
        for known in (
            self._own,
            *(self._peers.get(peer, {}) for peer in peers),
        ):
            for name, load in known.items():
                summed.setdefault(name, EndpointLoad()).add(load)
        return summed

    def start(self, endpoint: str, load: EndpointLoad) -> LoadEntry:
        """Count a request that is sent.

        :param endpoint: where it goes.
        :param load: the work it brings.
        :returns: the entry that ends it.
        """
        return LoadEntry(table=self, endpoint=endpoint, load=load)

    def change(self, endpoint: str, load: EndpointLoad, sign: int) -> None:
        """Change this gateway's own work.

        :param endpoint: the endpoint.
        :param load: the work.
        :param sign: 1 to add, -1 to take away.
        """
        self._changed.add(endpoint)
        own = self._own.setdefault(endpoint, EndpointLoad())
        own.add(load, sign)
        if own.idle:
            self._own.pop(endpoint)

    def take_from_peer(
        self,
        peer: str,
        loads: Iterable[tuple[str, EndpointLoad]],
        *,
        whole: bool,
    ) -> None:
        """Take what a peer tells.

        :param peer: the peer.
        :param loads: its work by endpoint, idle where it has ended.
        :param whole: whether it has no work at other endpoints.
        """
        if whole:
            self.forget(peer)
        known = self._peers.setdefault(peer, {})
        for name, load in loads:
            self._replace(name, known.pop(name, None), load)
            if not load.idle:
                known[name] = load

    def forget(self, peer: str) -> None:
        """Forget a peer that is gone.

        :param peer: the peer.
        """
        for name, load in self._peers.pop(peer, {}).items():
            self._replace(name, load, EndpointLoad())

    def _replace(
        self,
        endpoint: str,
        known: EndpointLoad | None,
        load: EndpointLoad,
    ) -> None:
        of_peers = self._of_peers.setdefault(endpoint, EndpointLoad())
        if known is not None:
            of_peers.add(known, -1)
        of_peers.add(load)
        if of_peers.idle:
            self._of_peers.pop(endpoint)


@final
class LoadEntry:
    """One request's work, from its sending to its end."""

    __slots__ = ('_begun', '_endpoint', '_load', '_table')

    def __init__(
        self,
        *,
        table: LoadTable,
        endpoint: str,
        load: EndpointLoad,
    ) -> None:
        """Count the work.

        :param table: where it is counted.
        :param endpoint: where the request goes.
        :param load: the work it brings.
        """
        self._table = table
        self._endpoint = endpoint
        # A copy, since it shrinks as the request goes on.
        self._load = EndpointLoad()
        self._load.add(load)
        self._begun = False
        table.change(endpoint, load, 1)

    def begin_output(self) -> bool:
        """Note that the prompt has been read.

        :returns: whether this was not known before.
        """
        if self._begun:
            return False
        self._begun = True
        read = EndpointLoad(reading_tokens=self._load.reading_tokens)
        self._load.reading_tokens = 0
        self._table.change(self._endpoint, read, -1)
        return True

    def end(self) -> None:
        """Note that the request has ended; further calls do nothing."""
        ended = self._load
        self._load = EndpointLoad()
        if ended.running:
            self._table.change(self._endpoint, ended, -1)
