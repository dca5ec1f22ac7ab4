"""Content of an object that keeps the origins of streams.

Streams of one origin share an entry, in which each takes its key and the
seconds for which it may still be asked for.
"""

from __future__ import annotations

import base64
import binascii
import struct
from typing import TYPE_CHECKING, Any, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.knowledge.stream_origins import (
    MAX_STREAM_LIFE_MS,
    STREAM_KEY_BYTES,
    StreamRecord,
)
from wingfall.gateway.model.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wingfall.gateway.knowledge.stream_origins import StreamKey

# What logs name in the place of the peer that reported a stream.
FROM_STORE: Final = 'the store'
_STREAM: Final = struct.Struct(f'>{STREAM_KEY_BYTES}sH')


def encode_streams(
    streams: Iterable[tuple[StreamKey, StreamRecord]], now_ms: int
) -> dict[str, Any]:
    """Return the content of the object that keeps some streams.

    :param streams: keys and records.
    :param now_ms: current time in milliseconds.
    :returns: the content, as JSON.
    """
    packed: dict[tuple[str, str | None, str], list[bytes]] = {}
    for key, record in streams:
        origin = record.origin
        endpoint = origin.endpoint if origin.version is None else ''
        left_s = -((now_ms - record.expires_ms) // MS_PER_S)
        packed.setdefault((origin.pool, origin.version, endpoint), []).append(
            _STREAM.pack(key, max(0, left_s))
        )
    return {
        'streams': [
            {
                'pool': pool,
                'version': version,
                'endpoint': endpoint,
                'keys': base64.b64encode(b''.join(keys)).decode(),
            }
            for (pool, version, endpoint), keys in packed.items()
        ]
    }


def decode_streams(
    spec: Any, now_ms: int
) -> Iterator[tuple[StreamKey, StreamRecord]]:
    """Return the streams in the content of an object.

    :param spec: the content; another writer may have left anything there.
    :param now_ms: current time in milliseconds.
    :yields: keys and records, none of an entry that can't be read.
    """
    entries = spec.get('streams') if isinstance(spec, dict) else None
    for entry in entries if isinstance(entries, list) else ():
        origin = _read_origin(entry)
        if origin is not None:
            yield from _read_records(origin, entry.get('keys'), now_ms)


def _read_origin(entry: Any) -> StreamOrigin | None:
    if not isinstance(entry, dict):
        return None
    pool, version = entry.get('pool'), entry.get('version')
    endpoint = entry.get('endpoint')
    if not isinstance(pool, str) or not isinstance(endpoint, str):
        return None
    if version is not None and not isinstance(version, str):
        return None
    return StreamOrigin(pool=pool, version=version, endpoint=endpoint)


def _read_records(
    origin: StreamOrigin, encoded: Any, now_ms: int
) -> Iterator[tuple[StreamKey, StreamRecord]]:
    if not isinstance(encoded, str):
        return
    try:
        packed = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return
    if len(packed) % _STREAM.size:
        return
    for key, left_s in _STREAM.iter_unpack(packed):
        life_ms = min(left_s * MS_PER_S, MAX_STREAM_LIFE_MS)
        record = StreamRecord(
            origin=origin,
            began_ms=now_ms,
            expires_ms=now_ms + life_ms,
            reported_by=FROM_STORE,
        )
        yield key, record
