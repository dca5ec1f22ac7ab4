"""JSON schemas of the objects that operators write."""

from __future__ import annotations

from typing import Any, Final

NAME_PATTERN: Final = '^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$'

_HOUR_MS: Final = 3_600_000
_MAX_COUNT: Final = 1_000_000
_MAX_TIER: Final = 9

_WORD: Final = {'type': 'string', 'pattern': '^[A-Za-z0-9._/-]{1,63}$'}
_MS: Final = {'type': 'integer', 'minimum': 1, 'maximum': _HOUR_MS}
_SELECTOR: Final = {'type': 'string', 'maxLength': 1000}


def _spec(required: list[str], **properties: Any) -> dict[str, Any]:
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': required,
        'properties': properties,
    }


def _kind(name: str, spec: dict[str, Any]) -> dict[str, Any]:
    metadata = _spec(
        ['name'],
        name={'type': 'string', 'pattern': NAME_PATTERN},
        labels={'type': 'object', 'additionalProperties': _WORD},
        resourceVersion={'type': 'string'},
    )
    return _spec(
        ['kind', 'metadata', 'spec'],
        kind={'const': name},
        metadata=metadata,
        spec=spec,
        status={'type': 'object'},
    )


OBJECT_SCHEMAS: Final = {
    'RequestClass': _kind(
        'RequestClass',
        _spec(
            ['tier', 'timeout_ms'],
            tier={'type': 'integer', 'minimum': 0, 'maximum': _MAX_TIER},
            requests=_SELECTOR,
            endpoints=_SELECTOR,
            target=_spec(
                [],
                first_token_ms=_MS,
                token_gap_ms=_MS,
                complete_ms=_MS,
            ),
            timeout_ms=_MS,
            worth={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1000},
            share={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1},
            repeatable={'type': 'boolean'},
            queue=_spec(
                [],
                private={'type': 'integer', 'minimum': 1, 'maximum': 1000},
            ),
        ),
    ),
    'Endpoint': _kind(
        'Endpoint',
        _spec(
            ['address', 'zone', 'type'],
            address={'type': 'string', 'pattern': r'^[0-9A-Fa-f.:\[\]]+:\d+$'},
            zone=_WORD,
            type={'enum': ['engine', 'service']},
            service=_WORD,
            models={'type': 'array', 'items': _WORD},
            vm=_WORD,
        ),
    ),
    'Customer': _kind(
        'Customer',
        _spec(
            ['key_hashes'],
            key_hashes={
                'type': 'array',
                'minItems': 1,
                'items': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'},
            },
            worth={'type': 'number', 'exclusiveMinimum': 0, 'maximum': 1000},
            limits=_spec(
                [],
                requests_per_s={'type': 'number', 'exclusiveMinimum': 0},
                concurrent={
                    'type': 'integer',
                    'minimum': 1,
                    'maximum': _MAX_COUNT,
                },
            ),
        ),
    ),
}
