"""Content of the objects that keep the origins of streams."""

from __future__ import annotations

from tests.test_compatibility import record
from wingfall.gateway.configuration.stored_streams import (
    decode_streams,
    encode_streams,
)
from wingfall.gateway.knowledge.stream_origins import StreamRecord
from wingfall.gateway.model.stream_origin import StreamOrigin

NOW_MS = 1_000_000


def make_record(left_ms: int, version: str | None) -> StreamRecord:
    """Make the record of a stream that may be asked for a while longer."""
    return StreamRecord(
        origin=StreamOrigin(pool='engines', version=version, endpoint='one@1'),
        began_ms=0,
        expires_ms=NOW_MS + left_ms,
    )


def test_content_that_a_released_gateway_wrote_stays():
    streams = [
        (b'stream-1', make_record(12_000, 'v1')),
        (b'stream-2', make_record(11_001, 'v1')),
        (b'stream-3', make_record(600_000, None)),
    ]
    assert encode_streams(streams, NOW_MS) == record('stored_streams')


def test_content_that_a_released_gateway_wrote_is_read():
    known = dict(decode_streams(record('stored_streams'), 0))
    assert {
        key: (each.origin.version, each.origin.endpoint, each.expires_ms)
        for key, each in known.items()
    } == {
        b'stream-1': ('v1', '', 12_000),
        b'stream-2': ('v1', '', 12_000),
        b'stream-3': (None, 'one@1', 600_000),
    }
