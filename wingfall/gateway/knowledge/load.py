"""Work that runs at each endpoint, by this gateway and its peers.

Holds the work of each gateway at each endpoint, and the sum over peers. Own
work is counted from the sending of a request to its end; a report of a peer
replaces its earlier reports.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable


@final
class EndpointLoad:
    """Work at one endpoint."""

    __slots__ = ('memory_used', 'prefill_tokens', 'running', 'streams')

    def __init__(
        self,
        *,
        running: int = 0,
        prefill_tokens: int = 0,
        memory_used: int = 0,
        streams: dict[int, int] | None = None,
    ) -> None:
        """Initialize the work.

        :param running: number of requests sent to the endpoint and not ended.
        :param prefill_tokens: prompt tokens of requests without a first event.
        :param memory_used: tokens that these requests hold in memory.
        :param streams: number of streams among them by token gap bound in
            milliseconds.
        """
        self.running = running
        self.prefill_tokens = prefill_tokens
        self.memory_used = memory_used
        self.streams = streams or {}

    @property
    def is_idle(self) -> bool:
        """Whether no request runs at the endpoint."""
        return not self.running

    def add(self, other: EndpointLoad, sign: int = 1) -> None:
        """Add or subtract work.

        :param other: the work to add or subtract.
        :param sign: 1 to add, -1 to subtract.
        """
        self.running += sign * other.running
        self.prefill_tokens += sign * other.prefill_tokens
        self.memory_used += sign * other.memory_used
        for gap_ms, count in other.streams.items():
            remaining = self.streams.get(gap_ms, 0) + sign * count
            self.streams[gap_ms] = remaining
            if not remaining:
                self.streams.pop(gap_ms)


@final
class LoadTable:
    """Work at all endpoints, by the gateway that sent it."""

    __slots__ = ('_unreported', '_peer_totals', '_own', '_peers')

    def __init__(self) -> None:
        """Create an empty table."""
        self._own: dict[str, EndpointLoad] = {}
        self._peers: dict[str, dict[str, EndpointLoad]] = {}
        # Sum over all peers: the cost of a look-up doesn't grow with them.
        self._peer_totals: dict[str, EndpointLoad] = {}
        # Endpoints whose own work is not yet reported to peers.
        self._unreported: set[str] = set()

    @property
    def own(self) -> dict[str, EndpointLoad]:
        """Work sent by this gateway, by endpoint."""
        return self._own

    @property
    def has_unreported(self) -> bool:
        """Whether own work has changes not yet reported to peers."""
        return bool(self._unreported)

    def take_unreported(self) -> dict[str, EndpointLoad]:
        """Return own work with unreported changes and mark it as reported.

        :returns: own work by endpoint, idle where all requests have ended.
        """
        changed = {
            name: self._own.get(name, EndpointLoad())
            for name in self._unreported
        }
        self._unreported = set()
        return changed

    def total(self, endpoint: str) -> EndpointLoad:
        """Return the total work at an endpoint.

        :param endpoint: name of the endpoint.
        :returns: the work of this gateway and its peers.
        """
        summed = EndpointLoad()
        for table in (self._own, self._peer_totals):
            load = table.get(endpoint)
            if load is not None:
                summed.add(load)
        return summed

    def sum_with(self, peers: Iterable[str]) -> dict[str, EndpointLoad]:
        """Return the sum of the own work and the work of some peers.

        :param peers: names of the peers.
        :returns: the summed work by endpoint.
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
        """Start counting the work of a request.

        :param endpoint: name of the endpoint that gets the request.
        :param load: work of the request.
        :returns: the entry that updates and ends this work.
        """
        return LoadEntry(table=self, endpoint=endpoint, load=load)

    def adjust_own(self, endpoint: str, load: EndpointLoad, sign: int) -> None:
        """Adjust this gateway's own work at an endpoint.

        :param endpoint: name of the endpoint.
        :param load: the work to add or subtract.
        :param sign: 1 to add, -1 to subtract.
        """
        self._unreported.add(endpoint)
        own = self._own.setdefault(endpoint, EndpointLoad())
        own.add(load, sign)
        if own.is_idle:
            self._own.pop(endpoint)

    def merge_from_peer(
        self,
        peer: str,
        loads: Iterable[tuple[str, EndpointLoad]],
        *,
        whole: bool,
    ) -> None:
        """Merge the work that a peer reports.

        :param peer: name of the peer.
        :param loads: work of the peer by endpoint, idle where it has ended.
        :param whole: whether the peer has no work at other endpoints.
        """
        if whole:
            self.remove_peer(peer)
        known = self._peers.setdefault(peer, {})
        for name, load in loads:
            self._replace(name, known.pop(name, None), load)
            if not load.is_idle:
                known[name] = load

    def remove_peer(self, peer: str) -> None:
        """Remove the work of a departed peer.

        :param peer: name of the peer.
        """
        for name, load in self._peers.pop(peer, {}).items():
            self._replace(name, load, EndpointLoad())

    def _replace(
        self,
        endpoint: str,
        known: EndpointLoad | None,
        load: EndpointLoad,
    ) -> None:
        peer_total = self._peer_totals.setdefault(endpoint, EndpointLoad())
        if known is not None:
            peer_total.add(known, -1)
        peer_total.add(load)
        if peer_total.is_idle:
            self._peer_totals.pop(endpoint)


@final
class LoadEntry:
    """Work of one request in a load table, from its sending to its end."""

    __slots__ = ('_has_output', '_endpoint', '_load', '_table')

    def __init__(
        self,
        *,
        table: LoadTable,
        endpoint: str,
        load: EndpointLoad,
    ) -> None:
        """Add the work to the table.

        :param table: the table that counts the work.
        :param endpoint: name of the endpoint that gets the request.
        :param load: work of the request.
        """
        self._table = table
        self._endpoint = endpoint
        # A copy, since the work shrinks while the request runs.
        self._load = EndpointLoad()
        self._load.add(load)
        self._has_output = False
        table.adjust_own(endpoint, load, 1)

    def begin_output(self) -> bool:
        """Record that the prefill of the prompt has ended.

        :returns: True for the first call, False for further calls.
        """
        if self._has_output:
            return False
        self._has_output = True
        prefilled = EndpointLoad(prefill_tokens=self._load.prefill_tokens)
        self._load.prefill_tokens = 0
        self._table.adjust_own(self._endpoint, prefilled, -1)
        return True

    def end(self) -> None:
        """Record the end of the request; further calls do nothing."""
        ended = self._load
        self._load = EndpointLoad()
        if ended.running:
            self._table.adjust_own(self._endpoint, ended, -1)
