"""Content of the object that keeps crashes and their suspects.

Each crash lists the suspects that were not served since. Times are ages at the
write, so a crash that is read looks younger than it is, by the time since.
"""

from __future__ import annotations

import base64
import binascii
import collections
import hashlib
import itertools
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import (
    FINGERPRINT_BYTES,
    PART_FINGERPRINT_BYTES,
    is_part,
)

if TYPE_CHECKING:
    from collections.abc import (
        Callable,
        Collection,
        Iterable,
        Iterator,
        Mapping,
    )

    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.fingerprint import Fingerprint

# Crashes in the object, and requests and prompt parts of each: 0.2 MB at most,
# which a store takes as one object.
MAX_CRASHES: Final = 64
_MAX_SUSPECTS: Final = 32
_MAX_PARTS: Final = 64
# Fields of a crash that differ between gateways that know the same.
_PER_WRITER: Final = frozenset(('age_ms', 'reported_by'))


@final
class StoredCrashes:
    """Crashes as kept in the object."""

    __slots__ = ('common_parts', 'complete', 'crashes', 'served')

    def __init__(
        self,
        *,
        crashes: list[EndpointCrash],
        complete: frozenset[str],
        served: frozenset[Fingerprint],
        common_parts: frozenset[Fingerprint],
    ) -> None:
        """Create the content.

        :param crashes: the crashes, each with the suspects not served since.
        :param complete: endpoints whose crashes were written after all
            gateways had reported what they had there.
        :param served: suspects that were served before.
        :param common_parts: parts that are never blocked, since many prompts
            share them.
        """
        self.crashes = crashes
        self.complete = complete
        self.served = served
        self.common_parts = common_parts


def encode_crashes(
    ledger: CrashLedger,
    now_ms: int,
    *,
    is_common: Callable[[Fingerprint], bool],
    is_complete: Callable[[EndpointCrash], bool],
) -> dict[str, Any]:
    """Return the content of the object that keeps the crashes of a ledger.

    :param ledger: the crashes.
    :param now_ms: current time in milliseconds.
    :param is_common: checks if a prompt part is never blocked.
    :param is_complete: checks if all gateways have reported what they had at a
        crash.
    :returns: the content, as JSON.
    """
    newest = sorted(ledger.crashes, key=_crash_order)[-MAX_CRASHES:]
    repeated = collections.Counter(
        itertools.chain.from_iterable(each.suspects for each in newest)
    )
    kept = {
        crash.endpoint: _select_suspects(
            _list_uncleared(crash, ledger.served_ms), repeated
        )
        for crash in newest
    }
    suspects = set(itertools.chain.from_iterable(kept.values()))
    common = [each for each in suspects if is_part(each) and is_common(each)]
    return {
        'crashes': [
            {
                **_encode_crash(crash, kept[crash.endpoint], now_ms),
                'complete': is_complete(crash),
            }
            for crash in newest
        ],
        'served': _encode_all(suspects & ledger.served_ms.keys()),
        'common_parts': _encode(common),
    }


def decode_crashes(spec: Any, now_ms: int) -> StoredCrashes:
    """Read the content of the object.

    :param spec: the content; another writer may have left anything there.
    :param now_ms: current time in milliseconds.
    :returns: the crashes, without those that can't be read.
    """
    fields = spec if isinstance(spec, dict) else {}
    entries = fields.get('crashes')
    if not isinstance(entries, list):
        entries = []
    found = [_read_crash(each, now_ms) for each in entries]
    crashes = [each for each in found if each is not None][-MAX_CRASHES:]
    return StoredCrashes(
        crashes=crashes,
        complete=frozenset(
            crash.endpoint
            for entry, crash in zip(entries, found)
            if crash is not None and entry.get('complete') is True
        ),
        served=frozenset(_decode_all(fields.get('served'))),
        common_parts=frozenset(
            _decode(fields.get('common_parts'), PART_FINGERPRINT_BYTES)
        ),
    )


def strip_writer(spec: dict[str, Any]) -> Any:
    """Return what a content tells, without what each writer tells differently.

    :param spec: content made by :func:`encode_crashes`.
    :returns: a value equal for contents that tell the same.
    """
    crashes = [
        {name: text for name, text in each.items() if name not in _PER_WRITER}
        for each in spec['crashes']
    ]
    crashes.sort(key=lambda each: each['endpoint'])
    return crashes, spec['served']


def _crash_order(crash: EndpointCrash) -> tuple[int, str]:
    return crash.crashed_ms, crash.endpoint


def _list_uncleared(
    crash: EndpointCrash, served_ms: Mapping[Fingerprint, int]
) -> set[Fingerprint]:
    earlier_ms = crash.crashed_ms - 1
    return {
        each
        for each in crash.suspects
        if served_ms.get(each, earlier_ms) < crash.crashed_ms
    }


def _select_suspects(
    suspects: Collection[Fingerprint], counts: collections.Counter[Fingerprint]
) -> set[Fingerprint]:
    # In an order that all gateways share, so that they write the same.
    ordered = sorted(suspects, key=lambda each: (-counts[each], each))
    requests = [each for each in ordered if not is_part(each)]
    parts = [each for each in ordered if is_part(each)]
    return {*requests[:_MAX_SUSPECTS], *parts[:_MAX_PARTS]}


def _encode_crash(
    crash: EndpointCrash, kept: set[Fingerprint], now_ms: int
) -> dict[str, Any]:
    silent = crash.silent & kept
    if crash.silent and not silent:
        # Requests with output count less if others had none; which these were
        # does not matter any more.
        silent = {_make_placeholder(crash.endpoint)}
    return {
        'endpoint': crash.endpoint,
        'age_ms': max(0, now_ms - crash.crashed_ms),
        'reported_by': crash.reported_by,
        'incomplete': crash.incomplete,
        'silent': _encode_all(silent),
        'streaming': _encode_all(crash.streaming & kept - crash.silent),
    }


def _make_placeholder(endpoint: str) -> Fingerprint:
    return hashlib.blake2b(
        endpoint.encode(), digest_size=FINGERPRINT_BYTES
    ).digest()


def _encode_all(suspects: Iterable[Fingerprint]) -> dict[str, str]:
    listed = list(suspects)
    return {
        'requests': _encode(each for each in listed if not is_part(each)),
        'parts': _encode(each for each in listed if is_part(each)),
    }


def _encode(fingerprints: Iterable[Fingerprint]) -> str:
    return base64.b64encode(b''.join(sorted(fingerprints))).decode()


def _read_crash(entry: Any, now_ms: int) -> EndpointCrash | None:
    match entry:
        case {
            'endpoint': str(endpoint),
            'age_ms': int(age_ms),
            'reported_by': str(reported_by),
            'silent': silent,
            'streaming': streaming,
        } if age_ms >= 0:
            crash = EndpointCrash(
                endpoint=endpoint,
                crashed_ms=now_ms - age_ms,
                reported_by=reported_by,
                silent=_decode_all(silent),
                streaming=_decode_all(streaming),
            )
            crash.incomplete = entry.get('incomplete') is True
            crash.is_restored = True
            return crash
        case _:
            return None


def _decode_all(encoded: Any) -> Iterator[Fingerprint]:
    if isinstance(encoded, dict):
        yield from _decode(encoded.get('requests'), FINGERPRINT_BYTES)
        yield from _decode(encoded.get('parts'), PART_FINGERPRINT_BYTES)


def _decode(encoded: Any, length: int) -> list[Fingerprint]:
    if not isinstance(encoded, str):
        return []
    try:
        packed = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return []
    if len(packed) % length:
        return []
    return [
        packed[start : start + length]
        for start in range(0, len(packed), length)
    ]
