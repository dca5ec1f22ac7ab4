"""The fingerprint of a request: the same whenever and wherever it comes again.

Method, host, path with query, customer and body make it. What differs from one
sending to the next is left out: ids, deadlines, the event after which a stream
goes on, and everything that a gateway adds.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from wingfall.gateway.model.call import CallHead

Fingerprint: TypeAlias = bytes

# Bytes of a fingerprint. Two requests with one fingerprint take some 2^64
# trials.
FINGERPRINT_BYTES: Final = 16


def make_fingerprint(
    head: CallHead,
    customer: str,
    body_digest: bytes,
) -> Fingerprint:
    """Make the fingerprint of a request.

    :param head: its head.
    :param customer: name of its customer, empty on public routes.
    :param body_digest: digest of its body.
    :returns: the fingerprint.
    """
    fields = (
        head.method,
        head.host.lower().encode('latin-1', 'replace'),
        head.target,
        customer.encode(),
        body_digest,
    )
    # Each field with its length, so that no two requests read the same.
    framed = b''.join(b'%d:%b' % (len(each), each) for each in fields)
    return hashlib.blake2b(framed, digest_size=FINGERPRINT_BYTES).digest()
