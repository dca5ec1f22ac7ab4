"""Tests of request fingerprints and body digests."""

from __future__ import annotations

import hashlib

import pytest

from wingfall.gateway.model.fingerprint import (
    is_part,
    make_fingerprint,
    make_part_fingerprint,
)
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.model.request_body import BodyReader
from wingfall.platform.headers import read_call


def fingerprint(
    *headers: tuple[bytes, bytes],
    method: bytes = b'POST',
    target: bytes = b'/a/b?c=1',
    host: bytes = b'h.example',
    customer: str = 'oslo',
    body: tuple[bytes, ...] = (b'one', b'two'),
) -> bytes:
    """Return the fingerprint of a request."""
    head = read_call(method, target, [(b'Host', host), *headers])
    reader = BodyReader()
    for chunk in body:
        reader.add(chunk)
    return make_fingerprint(head, customer, reader.finish().digest)


@pytest.mark.parametrize(
    'header',
    [
        (b'X-Attempt-Id', b'r2'),
        (b'X-Deadline-Ms', b'4711'),
        (b'Last-Event-Id', b'7'),
    ],
)
def test_attempt_headers_do_not_change_fingerprint(
    header: tuple[bytes, bytes],
):
    assert fingerprint(header) == fingerprint()


@pytest.mark.parametrize(
    'changed',
    [
        {'method': b'PUT'},
        {'target': b'/a/b?c=2'},
        {'host': b'other.example'},
        {'customer': 'bergen'},
        {'body': (b'one', b'tw')},
        {'body': ()},
    ],
)
def test_different_requests_have_different_fingerprints(
    changed: dict[str, object],
):
    assert fingerprint(**changed) != fingerprint()


def test_field_boundaries_change_fingerprint():
    first = fingerprint(target=b'/ab', customer='c')
    assert first != fingerprint(target=b'/a', customer='bc')


def test_chunking_of_body_does_not_change_fingerprint():
    assert fingerprint(body=(b'onetwo',)) == fingerprint()


def test_reader_returns_whole_body_and_digest():
    reader = BodyReader()
    reader.add(b'one')
    reader.add(b'two')
    body = reader.finish()
    assert body.payload == b'onetwo'
    assert body.digest == hashlib.blake2b(b'onetwo', digest_size=16).digest()
    assert reader.size == 6


def test_part_has_one_fingerprint_in_all_prompts():
    part = make_part_fingerprint(PromptPart(part_id='5c1e07a2', tokens=800))
    same = make_part_fingerprint(PromptPart(part_id='5c1e07a2', tokens=810))
    other = make_part_fingerprint(PromptPart(part_id='5c1e07a3', tokens=800))
    assert part == same
    assert part != other
    assert is_part(part)
    assert not is_part(fingerprint())
