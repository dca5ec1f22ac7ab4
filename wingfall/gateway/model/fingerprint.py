"""Fingerprint of a request, equal for all retries at all gateways.

It covers method, host, path with query, customer and body. It leaves out what
differs between retries: ids, deadlines, the event after which a stream
continues, and everything that a gateway adds.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from wingfall.gateway.model.call import CallHead

Fingerprint: TypeAlias = bytes

# Length in bytes; finding two requests with equal fingerprints takes about
# 2^64 trials.
FINGERPRINT_BYTES: Final = 16


def make_fingerprint(
    head: CallHead,
    customer: str,
    body_digest: bytes,
) -> Fingerprint:
    """Return the fingerprint of a request.

    :param head: head of the request.
    :param customer: name of the customer, empty on public routes.
    :param body_digest: digest of the body.
    :returns: the fingerprint.
    """
    fields = (
        head.method,
        head.host.lower().encode('latin-1', 'replace'),
        head.target,
        customer.encode(),
        body_digest,
    )
    # Length prefixes keep the encoding of different requests distinct.
    encoded = b''.join(b'%d:%b' % (len(field), field) for field in fields)
    return hashlib.blake2b(encoded, digest_size=FINGERPRINT_BYTES).digest()
