"""Transfer of the cached prompt parts of engines from one peer.

The state of a peer is large, so it is sent once, on request of a gateway that
has missed updates: one that starts, or was cut off from most other gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.prompt import PromptPart
from wingfall.log import log_event
from wingfall.supervisor import Backoff
from wingfall.wire.transfer_messages import PartsFetch, PartsPage

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
    from wingfall.gateway.peers.peer_session import PeerSession

# Milliseconds between two checks for an answer.
_POLL_INTERVAL_MS: Final = 50
# Milliseconds for which only peers of the own availability zone are asked, to
# save traffic between zones if a peer of this zone is informed.
_OWN_ZONE_ONLY_MS: Final = 300
# Milliseconds for an answer, after which another peer is asked; the timeout
# doubles with each peer, since the answer is long and links may be slow.
_ANSWER_TIMEOUT_MS: Final = 1000
_MAX_ANSWER_TIMEOUT_MS: Final = 8000
# Milliseconds without an informed peer after which no gateway is assumed to
# know more; equals the time after which a silent peer counts as gone.
_ASSUME_INFORMED_MS: Final = 3000
# Maximum parts of an answer, 0.26 MB at 13 bytes each, and of one engine in it:
# more than an engine of the deployments seen so far caches.
_MAX_PARTS: Final = 20_000
_MAX_PARTS_PER_ENGINE: Final = 300


@final
class PartsTransfer:
    """Requests the cached prompt parts of engines from an informed peer."""

    __slots__ = (
        '_asked_session',
        '_answer_deadline_ms',
        '_backoff',
        '_behind_since_ms',
        '_caches',
        '_clock',
        '_zone',
        'knows_caches',
    )

    def __init__(
        self,
        *,
        zone: str,
        clock: Clock,
        caches: PrefixCaches,
    ) -> None:
        """Initialize the transfer of a gateway that starts.

        :param zone: availability zone of this gateway.
        :param clock: clock for timeouts.
        :param caches: prefix caches of engines that are updated.
        """
        self._zone = zone
        self._clock = clock
        self._caches = caches
        # Whether this gateway knows as many cached parts as any other.
        self.knows_caches = False
        self._behind_since_ms = clock.now_ms()
        self._asked_session: PeerSession | None = None
        self._answer_deadline_ms = 0
        self._backoff = Backoff(
            min_ms=_ANSWER_TIMEOUT_MS, max_ms=_MAX_ANSWER_TIMEOUT_MS
        )

    def note_sessions(self, connected: int, known: int) -> None:
        """Record the number of peers after a session has ended.

        :param connected: number of connected peers.
        :param known: number of known peers.
        """
        if self.knows_caches and connected * 2 < known:
            self.knows_caches = False
            self._behind_since_ms = self._clock.now_ms()

    def request_if_due(self, sessions: Collection[PeerSession]) -> None:
        """Send a request to a peer if one is due.

        :param sessions: sessions with the connected peers.
        """
        now_ms = self._clock.now_ms()
        if self.knows_caches or now_ms < self._answer_deadline_ms:
            return
        behind_ms = now_ms - self._behind_since_ms
        session = self._choose_peer(
            sessions, own_zone_only=behind_ms < _OWN_ZONE_ONLY_MS
        )
        if session is not None:
            self._asked_session = session
            self._answer_deadline_ms = now_ms + self._backoff.take_ms()
            session.connection.send(PartsFetch(most=_MAX_PARTS))
        elif sessions and behind_ms >= _ASSUME_INFORMED_MS:
            self.knows_caches = True

    def send_parts(self, session: PeerSession, fetch: PartsFetch) -> None:
        """Send the known cached parts to a peer.

        :param session: session with the peer.
        :param fetch: request of the peer.
        """
        models = self._caches.models()
        most = fetch.most // max(1, len(models))
        parts = [
            [
                name,
                *map(
                    list, cache.recent_parts(min(most, _MAX_PARTS_PER_ENGINE))
                ),
            ]
            for name, cache in models
        ]
        session.connection.send(PartsPage(parts=parts))

    def record_page(self, session: PeerSession, page: PartsPage) -> None:
        """Record the cached parts in an answer of a peer.

        :param session: session with the peer.
        :param page: answer of the peer.
        """
        for endpoint, *parts in page.parts:
            self._caches.find(endpoint).note(decode_parts(parts))
        self.knows_caches = True
        self._backoff.reset()
        log_event(
            'peers',
            'A peer told what engines keep.',
            peer=session.name,
            engines=len(page.parts),
            parts=sum(len(entry) - 1 for entry in page.parts),
        )

    def wait_until_informed(self, timeout_ms: int) -> bool:
        """Wait until this gateway knows the cached parts.

        :param timeout_ms: milliseconds to wait, extended by a pending request.
        :returns: whether they are known.
        """
        clock = self._clock
        until_ms = clock.now_ms() + timeout_ms
        while not self.knows_caches:
            if clock.now_ms() >= max(until_ms, self._answer_deadline_ms):
                return False
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        return True

    def _choose_peer(
        self,
        sessions: Iterable[PeerSession],
        *,
        own_zone_only: bool,
    ) -> PeerSession | None:
        informed = [session for session in sessions if session.knows_caches]
        near = [each for each in informed if each.zone == self._zone]
        far = [] if own_zone_only else informed
        # Prefers a peer other than the one asked last.
        return min(
            near or far,
            key=lambda each: each is self._asked_session,
            default=None,
        )


def decode_parts(raw: Iterable[list[Any]]) -> list[PromptPart]:
    """Decode the prompt parts of a message.

    :param raw: id and tokens of each part.
    :returns: the prompt parts.
    """
    return [
        PromptPart(part_id=part_id, tokens=tokens) for part_id, tokens in raw
    ]
