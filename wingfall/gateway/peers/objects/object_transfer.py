"""Objects on their way between two gateways, compressed and in chunks."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any, Final, final

import msgpack
import orjson

from wingfall.errors import WireError
from wingfall.gateway.model.object_store import StoredObject, StoreReading

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.wire.transfer_messages import ObjectsPage

# A heartbeat waits behind one chunk at most: 0.1 s on a link of 5 Mbit/s.
CHUNK_BYTES: Final = 65_536
# The fastest level: 4,250 routes with random names, 871 KB as JSON, take 89 KB
# and 4 ms of processor time; level 6 would take 86 KB and 8 ms.
_LEVEL: Final = 1
# What a peer gives can't fill the memory: twenty times the objects of the
# size in two years (DEVELOPING.md).
_MOST_BYTES: Final = 67_108_864
_UNREADABLE: Final = (ValueError, TypeError, zlib.error)
# Stands for what an object says that can't be passed on: no reader of a kind
# takes it for more than a text.
_UNWRITABLE: Final = 'the object can not be written'


@final
class OutgoingTransfer:
    """Objects packed for a peer, which asks for one chunk after another."""

    __slots__ = ('_packed', 'revision')

    def __init__(self, *, revision: int, packed: bytes) -> None:
        """Hold what a peer will ask for.

        :param revision: up to where the objects are complete.
        :param packed: what :func:`pack_objects` made.
        """
        self.revision = revision
        self._packed = packed

    @property
    def size(self) -> int:
        """Bytes of all chunks together."""
        return len(self._packed)

    def chunk(self, offset: int, most: int) -> bytes:
        """Cut a chunk.

        :param offset: where it begins, in bytes.
        :param most: its greatest length in bytes.
        :returns: the chunk, empty at the end.
        """
        return self._packed[offset : offset + most]


@final
class IncomingTransfer:
    """The chunks of one answer as they come."""

    __slots__ = ('_received', '_revision', '_size')

    def __init__(self) -> None:
        """Start with nothing received."""
        self._received = bytearray()
        self._revision = 0
        self._size = 0

    @property
    def offset(self) -> int:
        """Bytes received, where the next chunk begins."""
        return len(self._received)

    @property
    def complete(self) -> bool:
        """Whether the last chunk has come."""
        return bool(self._size) and len(self._received) == self._size

    def take(self, page: ObjectsPage) -> bool:
        """Take a chunk.

        :param page: the message that carries it.
        :returns: False for one that does not follow those before.
        """
        if not page.offset:
            self._received.clear()
            self._revision = page.revision
            self._size = page.size
        known = (self._revision, self._size, len(self._received))
        if known != (page.revision, page.size, page.offset):
            return False
        self._received += page.chunk
        return True

    def reading(self) -> StoreReading:
        """Unpack the objects once all chunks have come.

        :returns: the objects and up to where they are complete.
        :raises WireError: if they can't be unpacked.
        """
        objects = unpack_objects(bytes(self._received))
        return StoreReading(revision=self._revision, objects=objects)


def pack_objects(objects: Sequence[StoredObject]) -> bytes:
    """Pack objects for the wire.

    :param objects: the objects, oldest first.
    :returns: the packed bytes.
    """
    entries = [[each.name, each.revision, write_spec(each)] for each in objects]
    return zlib.compress(msgpack.packb(entries), _LEVEL)


def unpack_objects(packed: bytes) -> list[StoredObject]:
    """Unpack objects that a peer has packed.

    :param packed: what :func:`pack_objects` made there.
    :returns: the objects, oldest first.
    :raises WireError: if the bytes were not packed so, or are too many.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, _MOST_BYTES)
        if not decompressor.eof:
            raise WireError(f'objects of more than {_MOST_BYTES} bytes')
        entries = msgpack.unpackb(raw)
    except _UNREADABLE as error:
        raise WireError(f'objects that can not be read: {error}') from error
    return read_objects(entries)


def write_spec(stored: StoredObject) -> bytes | None:
    """Write what an object says.

    :param stored: the object.
    :returns: its JSON, None if it is gone.
    """
    if stored.spec is None:
        return None
    try:
        return orjson.dumps(stored.spec)
    except orjson.JSONEncodeError:
        # Lists in lists may be read that are too deep to be written.
        return orjson.dumps(_UNWRITABLE)


def read_objects(entries: Any) -> list[StoredObject]:
    """Read objects as they are on the wire.

    :param entries: name, revision and JSON of each, None once it is gone.
    :returns: the objects, in their order.
    :raises WireError: if they are not written so.
    """
    if not isinstance(entries, list):
        raise WireError('objects that are no list')
    return [_read_object(entry) for entry in entries]


def _read_object(entry: Any) -> StoredObject:
    match entry:
        case [str(name), int(revision), bytes() | None as raw]:
            spec = None if raw is None else _read_spec(raw)
            return StoredObject(name=name, revision=revision, spec=spec)
        case _:
            raise WireError('an object that is not name, revision and JSON')


def _read_spec(raw: bytes) -> Any:
    try:
        spec = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise WireError(f'an object that is no JSON: {error}') from error
    if spec is None:
        raise WireError('an object that says nothing')
    return spec
