"""The typed messages by which gateways tell each other where streams began.

They are sent only to gateways whose hello says that they know them.
"""

from __future__ import annotations

from typing import Any, Final, final

from wingfall.wire.message import Message, message
from wingfall.wire.shapes import ANY, NUMBER, OPTIONAL_TEXT, ListOf, Row

_STREAMS: Final = ListOf(
    Row(bytes, str, OPTIONAL_TEXT, str, NUMBER, NUMBER, group=(ANY,))
)


@final
@message(55, _STREAMS)
class StreamsBegun(Message):
    """Tells where streams began."""

    __slots__ = ('streams',)

    def __init__(self, *, streams: list[list[Any]]) -> None:
        """Tell of streams.

        :param streams: for each stream its key, the pool, the version or
            nothing, the endpoint where the version is not known, how many
            milliseconds ago it began and for how many it is kept.
        """
        self.streams = streams


@final
@message(56, int, bytes)
class StreamFetch(Message):
    """Asks where a stream began."""

    __slots__ = ('number', 'key')  # noqa: WPS607

    def __init__(self, *, number: int, key: bytes) -> None:
        """Ask.

        :param number: number of the question, which the answer repeats.
        :param key: key of the stream.
        """
        self.number = number
        self.key = key


@final
@message(57, int, _STREAMS)
class StreamFound(Message):
    """Answers where a stream began."""

    __slots__ = ('number', 'streams')  # noqa: WPS607

    def __init__(self, *, number: int, streams: list[list[Any]]) -> None:
        """Answer.

        :param number: number of the question.
        :param streams: the stream as in :class:`StreamsBegun`, empty if it is
            not known.
        """
        self.number = number
        self.streams = streams


@final
@message(58, int, ListOf(Row(ANY, ANY, ANY)))
class VersionsListed(Message):
    """Tells which software versions pools had lately."""

    __slots__ = ('complete_ms', 'versions')  # noqa: WPS607

    def __init__(self, *, complete_ms: int, versions: list[list[Any]]) -> None:
        """Tell of versions.

        :param complete_ms: for how many milliseconds the sender missed no
            change of the list of endpoints; 0 from gateways that claim
            nothing, and not read by them.
        :param versions: for each the pool, the version or nothing, and how
            many milliseconds ago it was last listed.
        """
        self.complete_ms = complete_ms
        self.versions = versions


@final
@message(59, int, int, ListOf(Row(ANY, ANY)))
class HistoryWritten(Message):
    """Tells what the sender has just written to the history of versions."""

    __slots__ = ('revision', 'complete_ms', 'versions')  # noqa: WPS607

    def __init__(
        self, *, revision: int, complete_ms: int, versions: list[list[Any]]
    ) -> None:
        """Tell of the history.

        :param revision: revision of the store's object.
        :param complete_ms: for how many milliseconds it names all versions.
        :param versions: for each the pool, and the version or nothing.
        """
        self.revision = revision
        self.complete_ms = complete_ms
        self.versions = versions
