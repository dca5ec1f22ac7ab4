"""Bodies of requests as they are read."""

from __future__ import annotations

import tracemalloc

from wingfall.gateway.model.request_body import BodyReader

BODY_BYTES = 1_000_000


def test_body_in_short_pieces_takes_no_more_memory_than_in_long_ones():
    # Pieces of two bytes took twenty times their length.
    pieces = [bytes((number % 256, 0)) for number in range(BODY_BYTES // 2)]
    tracemalloc.start()
    body = BodyReader()
    for piece in pieces:
        body.add(bytes(bytearray(piece)))
    finished = body.finish()
    _size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert finished.payload == b''.join(pieces)
    assert peak < 3 * BODY_BYTES
