"""The typed messages by which gateways hand each other what they keep."""

from __future__ import annotations

from typing import Any, final

from wingfall.wire.message import Message, message
from wingfall.wire.shapes import NUMBER, ListOf, Row


@final
@message(50, str, int, int, int)
class ObjectsFetch(Message):
    """Asks for what changed after a revision, or for more of the answer."""

    __slots__ = ('kind', 'revision', 'offset', 'most')  # noqa: WPS607

    def __init__(
        self,
        *,
        kind: str,
        revision: int,
        offset: int = 0,
        most: int = 0,
    ) -> None:
        """Ask.

        :param kind: kind of object.
        :param revision: up to where the sender is complete.
        :param offset: bytes of the answer that have come.
        :param most: bytes that the next chunk may have; 0 from a program that
            takes whole objects only.
        """
        self.kind = kind
        self.revision = revision
        self.offset = offset
        self.most = most


@final
@message(51, str, int, list, int, int, bytes, (type(None), list))
class ObjectsPage(Message):
    """Answers a fetch by whole objects, or by one chunk of packed ones."""

    __slots__ = (  # noqa: WPS607
        'kind',
        'revision',
        'objects',
        'size',
        'offset',
        'chunk',
        'names',
    )

    def __init__(
        self,
        *,
        kind: str,
        revision: int,
        objects: list[list[Any]] | None = None,
        size: int = 0,
        offset: int = 0,
        chunk: bytes = b'',
        names: list[Any] | None = None,
    ) -> None:
        """Answer.

        :param kind: kind of object.
        :param revision: up to where the sender is complete.
        :param objects: name, revision and JSON of each, None once gone; empty
            beside a chunk.
        :param size: bytes of all chunks, 0 if the objects are whole or none
            have changed.
        :param offset: where the chunk begins, in bytes.
        :param chunk: a part of the packed objects.
        :param names: names of all objects of the sender, beside the last chunk
            if it does not know of each removal; otherwise None.
        """
        self.kind = kind
        self.revision = revision
        self.objects = objects or []
        self.size = size
        self.offset = offset
        self.chunk = chunk
        self.names = names


@final
@message(52, int)
class PartsFetch(Message):
    """Asks for what engines keep of prompts."""

    __slots__ = ('most',)

    def __init__(self, *, most: int) -> None:
        """Ask.

        :param most: how many parts the answer may have.
        """
        self.most = most


@final
@message(53, ListOf(Row(str, group=(Row(str, NUMBER),))))
class PartsPage(Message):
    """Tells what engines keep of prompts."""

    __slots__ = ('parts',)

    def __init__(self, *, parts: list[list[Any]]) -> None:
        """Answer.

        :param parts: name of each engine, then the parts it keeps, each as
            id and tokens, the one used last at the end.
        """
        self.parts = parts
