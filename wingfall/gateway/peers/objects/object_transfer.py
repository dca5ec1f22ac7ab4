"""Compressed transfer of objects between two gateways in chunks."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any, Final, final

import msgpack
import orjson

from wingfall.errors import WireError
from wingfall.gateway.model.object_store import StoredObject, StoreResponse

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.wire.transfer_messages import ObjectsPage

# One chunk delays a heartbeat by at most 0.1 s on a link of 5 Mbit/s.
CHUNK_BYTES: Final = 65_536
# The fastest zlib level: 4,250 routes with random names, 871 KB as JSON, take
# 89 KB and 4 ms of processor time; level 6 would take 86 KB and 8 ms.
_ZLIB_LEVEL: Final = 1
# Bounds the memory that an answer of a peer can take: twenty times the objects
# at the size expected in two years (DEVELOPING.md).
_MAX_UNPACKED_BYTES: Final = 67_108_864
_DECODE_ERRORS: Final = (ValueError, TypeError, zlib.error)
# Replaces a spec that cannot be encoded as JSON; the parser of each kind treats
# it as a plain string.
_UNENCODABLE_SPEC: Final = 'the object can not be written'


@final
class OutgoingTransfer:
    """Packed objects that a peer requests chunk by chunk."""

    __slots__ = ('_packed', 'names', 'revision')

    def __init__(
        self,
        *,
        revision: int,
        packed: bytes,
        names: list[str] | None = None,
    ) -> None:
        """Create a transfer of packed objects.

        :param revision: revision up to which the objects are complete.
        :param packed: result of :func:`pack_objects`.
        :param names: names of all objects at that revision, None if each
            removal is among the packed objects.
        """
        self.revision = revision
        self.names = names
        self._packed = packed

    @property
    def size(self) -> int:
        """Total size of all chunks in bytes."""
        return len(self._packed)

    def chunk(self, offset: int, max_bytes: int) -> bytes:
        """Return the chunk at an offset.

        :param offset: offset of the first byte.
        :param max_bytes: maximum length in bytes.
        :returns: the chunk, empty at the end of the packed bytes.
        """
        return self._packed[offset : offset + max_bytes]


@final
class IncomingTransfer:
    """Chunks received so far of one answer."""

    __slots__ = ('_names', '_received', '_revision', '_size')

    def __init__(self) -> None:
        """Create a transfer without received chunks."""
        self._received = bytearray()
        self._names: frozenset[str] | None = None
        self._revision = 0
        self._size = 0

    @property
    def offset(self) -> int:
        """Number of bytes received, the offset of the next chunk."""
        return len(self._received)

    @property
    def complete(self) -> bool:
        """Whether all chunks have been received."""
        return bool(self._size) and len(self._received) == self._size

    def append_chunk(self, page: ObjectsPage) -> bool:
        """Append a chunk.

        :param page: message that carries the chunk.
        :returns: False if the chunk does not continue the transfer.
        :raises WireError: if the names beside it are malformed.
        """
        if not page.offset:
            self._received.clear()
            self._revision = page.revision
            self._size = page.size
        expected = (self._revision, self._size, len(self._received))
        if expected != (page.revision, page.size, page.offset):
            return False
        self._received += page.chunk
        self._names = read_names(page)
        return True

    def unpack(self) -> StoreResponse:
        """Unpack the objects once all chunks have been received.

        :returns: the objects and the revision up to which they are complete.
        :raises WireError: if the objects cannot be unpacked.
        """
        objects = unpack_objects(bytes(self._received))
        return StoreResponse(
            revision=self._revision,
            objects=objects,
            names=self._names,
        )


def pack_objects(objects: Sequence[StoredObject]) -> bytes:
    """Encode and compress objects.

    :param objects: the objects, oldest first.
    :returns: the compressed bytes.
    """
    entries = [
        [each.name, each.revision, encode_spec(each)] for each in objects
    ]
    return zlib.compress(msgpack.packb(entries), _ZLIB_LEVEL)


def unpack_objects(packed: bytes) -> list[StoredObject]:
    """Decompress and decode objects of a peer.

    :param packed: result of :func:`pack_objects` at the peer.
    :returns: the objects, oldest first.
    :raises WireError: if the bytes are malformed or exceed the size limit.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise WireError(f'objects exceed {_MAX_UNPACKED_BYTES} bytes')
        entries = msgpack.unpackb(raw)
    except _DECODE_ERRORS as error:
        raise WireError(f'objects that can not be read: {error}') from error
    return decode_objects(entries)


def read_names(page: ObjectsPage) -> frozenset[str] | None:
    """Read the names beside the objects of a peer.

    :param page: message that carries the objects or a chunk of them.
    :returns: the names, None if the message has none.
    :raises WireError: if one of them is not a string.
    """
    if page.names is None:
        return None
    if not all(isinstance(name, str) for name in page.names):
        raise WireError('a name of an object is not a string')
    return frozenset(page.names)


def encode_spec(stored: StoredObject) -> bytes | None:
    """Encode the spec of an object as JSON.

    :param stored: the object.
    :returns: the JSON, None for a deleted object.
    """
    if stored.spec is None:
        return None
    try:
        return orjson.dumps(stored.spec)
    except orjson.JSONEncodeError:
        # The parser accepts deeper nesting of lists than the encoder.
        return orjson.dumps(_UNENCODABLE_SPEC)


def decode_objects(entries: Any) -> list[StoredObject]:
    """Decode the objects of a message.

    :param entries: name, revision and JSON of each object, None as the JSON of
        a deleted object.
    :returns: the objects in the order of the entries.
    :raises WireError: if an entry is malformed.
    """
    if not isinstance(entries, list):
        raise WireError('objects are not a list')
    return [_read_object(entry) for entry in entries]


def _read_object(entry: Any) -> StoredObject:
    match entry:
        case [str(name), int(revision), bytes() | None as raw]:
            spec = None if raw is None else _read_spec(raw)
            return StoredObject(name=name, revision=revision, spec=spec)
        case _:
            raise WireError('object entry is not name, revision and JSON')


def _read_spec(raw: bytes) -> Any:
    try:
        spec = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise WireError(f'object is not valid JSON: {error}') from error
    if spec is None:
        raise WireError('object spec is null')
    return spec
