"""The platform's configuration and lists of cached parts, read into types.

The only place that knows their fields. What can't be read is a failure with its
reason; defaults are those of the platform.
"""

from __future__ import annotations

from typing import Any, Final

import orjson
from returns.result import Failure, Result, Success

from wingfall.errors import ObjectFault
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.model.routes import (
    DEFAULT_TIER,
    CallerLimits,
    GatewayCustomer,
    Pool,
    Route,
    Routes,
    WeightedPool,
)
from wingfall.objects.customer import hash_key
from wingfall.objects.request_class import Target

# A link of one megabit a second carries so many bytes in a millisecond.
_BYTES_PER_MBIT_MS = 125
# The greatest whole number that JSON carries exactly: a version beyond it would
# keep all later ones from being put in force.
_MOST_WHOLE: Final = 9_007_199_254_740_992
_UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def read_routes(spec: Any) -> Result[Routes, ObjectFault]:
    """Read the configuration.

    :param spec: what the stored object says.
    :returns: the routes in force with it, or what is wrong with it.
    """
    try:
        return Success(
            Routes(
                version=_read_version(spec['version']),
                routes=tuple(map(_read_route, spec.get('routes', ()))),
                pools=map(_read_pool, spec.get('services', ())),
                customers=tuple(map(_read_customer, spec.get('tenants') or ())),
                limits=_read_limits(spec.get('limits') or {}),
            ),
        )
    except _UNREADABLE as error:
        reason = f'not a configuration: {error!r}'
        return Failure(ObjectFault(field='object', reason=reason))


def read_prefix_cache(body: bytes) -> Result[tuple[PromptPart, ...], str]:
    """Read what an engine says it keeps.

    :param body: its answer, ``held`` with an entry for each part: a word
        that is empty, the part's id, its tokens, the model.
    :returns: the parts, or why they can't be read.
    """
    try:
        held = orjson.loads(body)['held']
        return Success(
            tuple(
                PromptPart(part_id=str(entry[1]), tokens=int(entry[2]))
                for entry in held
            ),
        )
    except _UNREADABLE as error:
        return Failure(f'not a list of parts: {error!r}')


def _read_version(raw: Any) -> int:
    whole = isinstance(raw, int) and not isinstance(raw, bool)
    if not whole or raw > _MOST_WHOLE:
        raise TypeError(f'no version: {raw!r}')
    return raw


def _read_weight(raw: Any) -> float:
    weight = float(raw)
    if not 0 <= weight <= _MOST_WHOLE:
        raise ValueError(f'no weight: {raw!r}')
    return weight


def _read_text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'no text: {raw!r}')
    return raw


def _read_route(raw: dict[str, Any]) -> Route:
    streaming = raw.get('kind') == 'stream'
    target_ms = int(raw.get('target_latency_ms') or 0)
    return Route(
        name=_read_text(raw['name']),
        host=_read_text(raw['host']).lower(),
        path_prefix=_read_text(raw['path_prefix']),
        pools=_read_pools(raw),
        tier=int(raw.get('priority', DEFAULT_TIER)),
        target=Target(
            first_token_ms=target_ms if streaming else None,
            token_gap_ms=int(raw.get('gap_aim_ms') or 0) or None,
            complete_ms=None if streaming else target_ms,
        ),
        timeout_ms=int(raw['timeout_ms']),
        max_attempts=max(1, int(raw.get('max_attempts') or 1)),
        public=bool(raw.get('public')),
        repeatable=raw.get('kind') == 'safe',
        streaming=streaming,
        resumable=streaming and bool(raw.get('resumable')),
    )


def _read_pools(raw: dict[str, Any]) -> tuple[WeightedPool, ...]:
    backends = raw.get('backends') or [{'service': raw['service']}]
    return tuple(
        WeightedPool(
            pool=_read_text(entry['service']),
            weight=_read_weight(entry.get('weight', 1)),
        )
        for entry in backends
    )


def _read_pool(raw: dict[str, Any]) -> Pool:
    engine = raw.get('engine') or {}
    return Pool(
        name=_read_text(raw['name']),
        memory_tokens=int(engine.get('kv_capacity_tokens', 0)),
        copy_tokens_per_ms=_read_copy_rate(engine),
        backs_up=bool(engine.get('backups')),
        event_tokens=int(engine.get('stride') or 0),
    )


def _read_copy_rate(engine: dict[str, Any]) -> float:
    token_bytes = engine.get('kv_token_bytes')
    if not token_bytes or not engine.get('moves'):
        return 0
    link_mbps = float(engine.get('link_mbps', 0))
    return link_mbps * _BYTES_PER_MBIT_MS / float(token_bytes)


def _read_customer(raw: dict[str, Any]) -> GatewayCustomer:
    tier = raw.get('priority')
    return GatewayCustomer(
        name=_read_text(raw['name']),
        key_hashes=tuple(map(hash_key, raw.get('api_keys') or ())),
        tier=None if tier is None else int(tier),
    )


def _read_limits(raw: dict[str, Any]) -> CallerLimits:
    standard = CallerLimits()
    return CallerLimits(
        head_bytes=int(raw.get('max_header_bytes') or standard.head_bytes),
        body_bytes=int(raw.get('max_body_bytes') or standard.body_bytes),
        head_ms=int(raw.get('header_timeout_ms') or standard.head_ms),
        idle_ms=int(raw.get('idle_timeout_ms') or standard.idle_ms),
    )
