"""A gateway that has missed news asks one peer what engines keep.

What a peer knows is large, so it is given once, on request: to a gateway that
starts, or that was cut off from most of the others.
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

# Milliseconds between two looks whether a peer has told.
_TICK_MS: Final = 50
# Milliseconds for which only peers of the own availability zone are asked, so
# that bytes between zones are spared where a near peer knows.
_NEAR_ONLY_MS: Final = 300
# Milliseconds after which a peer that has not answered is asked no longer; the
# time doubles with each, since the answer is long and links may be slow.
_ANSWER_MS: Final = 1000
_MAX_ANSWER_MS: Final = 8000
# Milliseconds after which nobody knows more if no peer has said so. The time
# after which a silent peer counts as gone.
_NOBODY_KNOWS_MS: Final = 3000
# Parts of an answer, 0.26 MB at 13 bytes each, and of one engine in it: more
# than an engine of the deployments seen so far caches.
_MOST_PARTS: Final = 20_000
_MOST_PARTS_EACH: Final = 300


@final
class PartsTransfer:
    """Learns what engines keep from one peer that knows."""

    __slots__ = (
        '_asked',
        '_asked_until_ms',
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
        """Start without knowledge.

        :param zone: availability zone of this gateway.
        :param clock: the time.
        :param caches: where what is learned is kept.
        """
        self._zone = zone
        self._clock = clock
        self._caches = caches
        # Whether this gateway knows as much as any other.
        self.knows_caches = False
        self._behind_since_ms = clock.now_ms()
        self._asked: PeerSession | None = None
        self._asked_until_ms = 0
        self._backoff = Backoff(min_ms=_ANSWER_MS, max_ms=_MAX_ANSWER_MS)

    def note_sessions(self, connected: int, known: int) -> None:
        """Note how many peers are left after one has gone.

        :param connected: peers that are connected.
        :param known: peers that are known.
        """
        if self.knows_caches and connected * 2 < known:
            self.knows_caches = False
            self._behind_since_ms = self._clock.now_ms()

    def step(self, sessions: Collection[PeerSession]) -> None:
        """Ask a peer if that is due.

        :param sessions: the connected peers.
        """
        now_ms = self._clock.now_ms()
        if self.knows_caches or now_ms < self._asked_until_ms:
            return
        behind_ms = now_ms - self._behind_since_ms
        session = self._choose(sessions, near_only=behind_ms < _NEAR_ONLY_MS)
        if session is not None:
            self._asked = session
            self._asked_until_ms = now_ms + self._backoff.take_ms()
            session.connection.send(PartsFetch(most=_MOST_PARTS))
        elif sessions and behind_ms >= _NOBODY_KNOWS_MS:
            self.knows_caches = True

    def answer(self, session: PeerSession, fetch: PartsFetch) -> None:
        """Give a peer what this gateway knows.

        :param session: the peer.
        :param fetch: what it asks for.
        """
        models = self._caches.models()
        most = fetch.most // max(1, len(models))
        parts = [
            [name, *map(list, cache.recent(min(most, _MOST_PARTS_EACH)))]
            for name, cache in models
        ]
        session.connection.send(PartsPage(parts=parts))

    def take(self, session: PeerSession, page: PartsPage) -> None:
        """Take what a peer gives.

        :param session: the peer.
        :param page: its answer.
        """
        for endpoint, *parts in page.parts:
            self._caches.find(endpoint).note(read_parts(parts))
        self.knows_caches = True
        self._backoff.reset()
        log_event(
            'peers',
            'A peer told what engines keep.',
            peer=session.name,
            engines=len(page.parts),
            parts=sum(len(entry) - 1 for entry in page.parts),
        )

    def wait(self, timeout_ms: int) -> bool:
        """Wait until a peer has told.

        :param timeout_ms: for how long, unless a peer was asked meanwhile.
        :returns: whether one has.
        """
        clock = self._clock
        until_ms = clock.now_ms() + timeout_ms
        while not self.knows_caches:
            if clock.now_ms() >= max(until_ms, self._asked_until_ms):
                return False
            gevent.sleep(_TICK_MS / MS_PER_S)
        return True

    def _choose(
        self,
        sessions: Iterable[PeerSession],
        *,
        near_only: bool,
    ) -> PeerSession | None:
        knowing = [session for session in sessions if session.knows_caches]
        near = [each for each in knowing if each.zone == self._zone]
        far = [] if near_only else knowing
        # Another one than last time, if there is one.
        return min(
            near or far,
            key=lambda each: each is self._asked,
            default=None,
        )


def read_parts(raw: Iterable[list[Any]]) -> list[PromptPart]:
    """Read parts of prompts as they are on the wire.

    :param raw: ids and tokens.
    :returns: the parts.
    """
    return [
        PromptPart(part_id=part_id, tokens=tokens) for part_id, tokens in raw
    ]
