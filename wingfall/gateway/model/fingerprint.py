"""Fingerprints of requests and of the parts of their prompts.

That of a request is equal for all retries at all gateways. It covers method,
host, path with query, customer and body. It leaves out what differs between
retries: ids, deadlines, the event after which a stream continues, and
everything that a gateway adds.

That of a part is equal in all prompts that share the part, whatever else the
requests hold.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from wingfall.gateway.model.call import CallHead
    from wingfall.gateway.model.prompt import PromptPart

Fingerprint: TypeAlias = bytes

# Length in bytes; finding two requests with equal fingerprints takes about
# 2^64 trials.
FINGERPRINT_BYTES: Final = 16
# Length in bytes of the fingerprint of a part, by which it differs from that of
# a request. Finding a part with a given fingerprint takes about 2^64 trials.
PART_FINGERPRINT_BYTES: Final = 8


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


def make_part_fingerprint(part: PromptPart) -> Fingerprint:
    """Return the fingerprint of a prompt part.

    :param part: a part that prompts may share.
    :returns: the fingerprint.
    """
    return hashlib.blake2b(
        part.part_id.encode('latin-1', 'replace'),
        digest_size=PART_FINGERPRINT_BYTES,
    ).digest()


def is_part(fingerprint: Fingerprint) -> bool:
    """Check if a fingerprint is that of a prompt part.

    :param fingerprint: fingerprint of a request or of a part.
    :returns: whether it is that of a part.
    """
    return len(fingerprint) == PART_FINGERPRINT_BYTES
