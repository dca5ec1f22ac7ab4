"""Fetches the configuration from a peer that has a higher version.

Comparing versions on messages that are sent anyway, and one debounced fetch
off the request path, are from "TCM Day-2 Operations and Performance".
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, Protocol, final

from returns.result import Success

from wingfall.log import part_logger
from wingfall.object_api.readings import ObjectList, WatchEvent, read_event
from wingfall.wire.peer_messages import ConfigFetch, ConfigPage

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.clock import Clock
    from wingfall.config.copy import ConfigCopy
    from wingfall.wire.message import Message

_FETCH_MS: Final = 3000
_PAGE_BYTES: Final = 262_144

logger = part_logger('config.fetcher')


class Peer(Protocol):
    """A connected router."""

    name: str

    def send(self, message: Message) -> None:
        """Send it a message."""


@final
class ConfigFetcher:
    """At most one fetch is open, whoever tells of a higher version."""

    __slots__ = ('_asked', '_clock', '_copy', '_pages', '_since_ms')

    def __init__(self, *, clock: Clock, copy: ConfigCopy) -> None:
        """Start with no fetch.

        :param clock: the time.
        :param copy: the copy to bring up to date.
        """
        self._clock = clock
        self._copy = copy
        self._asked: Peer | None = None
        self._since_ms = 0
        self._pages: list[ConfigPage] = []

    def note_version(self, peer: Peer, version: int) -> None:
        """Compare a version that came with a message.

        :param peer: who sent it.
        :param version: version in force there.
        """
        if version <= self._copy.version or self._is_open():
            return
        self._asked = peer
        self._since_ms = self._clock.now_ms()
        self._pages = []
        peer.send(ConfigFetch(since=self._copy.version))

    def note_page(self, peer: Peer, page: ConfigPage) -> None:
        """Take a part of an answer.

        :param peer: who sent it.
        :param page: the part; those of an older fetch are passed over.
        """
        if peer is not self._asked:
            return
        self._since_ms = self._clock.now_ms()
        self._pages.append(page)
        if not page.last:
            return
        before = self._copy.version
        self._asked = None
        self._apply(self._pages)
        self._pages = []
        logger.info(
            'Version %d from peer %s, before %d, %s.',
            self._copy.version,
            peer.name,
            before,
            'snapshot' if page.snapshot else 'delta',
        )

    def _is_open(self) -> bool:
        if self._asked is None:
            return False
        return self._clock.now_ms() - self._since_ms < _FETCH_MS

    def _apply(self, pages: list[ConfigPage]) -> None:
        last = pages[-1]
        events = list(_read_changes(pages))
        if last.snapshot:
            raws = [event.raw for event in events if event.raw is not None]
            self._copy.apply_list(
                ObjectList(version=last.version, objects=raws),
            )
            return
        for event in events:
            self._copy.apply_event(event)
        self._copy.apply_event(WatchEvent(version=last.version, raw=None))


def answer_fetch(
    copy: ConfigCopy,
    fetch: ConfigFetch,
    send: Callable[[Message], None],
) -> None:
    """Send a peer what it lacks: a delta, or a snapshot if too far back.

    :param copy: the configuration in force here.
    :param fetch: what the peer has.
    :param send: sends a message to it.
    """
    delta = copy.history.delta(fetch.since) if fetch.since else None
    snapshot = delta is None
    changes = copy.history.snapshot() if delta is None else delta
    page: list[bytes] = []
    size = 0
    version = copy.version
    for change in changes:
        page.append(change)
        size += len(change)
        if size > _PAGE_BYTES:
            send(
                ConfigPage(
                    version=version,
                    snapshot=snapshot,
                    last=False,
                    changes=page,
                ),
            )
            page, size = [], 0
    send(
        ConfigPage(
            version=version,
            snapshot=snapshot,
            last=True,
            changes=page,
        ),
    )


def _read_changes(pages: list[ConfigPage]) -> Iterator[WatchEvent]:
    for page in pages:
        for change in page.changes:
            event = read_event(change)
            if isinstance(event, Success):
                yield event.unwrap()
