"""JSON schemas of the settings files, with their defaults."""

from __future__ import annotations

from typing import Any, Final

_MAX_PORT: Final = 65535


def _number(default: int, low: int, high: int, about: str) -> dict[str, Any]:
    return {
        'type': 'integer',
        'minimum': low,
        'maximum': high,
        'default': default,
        'description': about,
    }


def _text(about: str, default: str | None = None) -> dict[str, Any]:
    schema: dict[str, Any] = {
        'type': 'string',
        'minLength': 1,
        'description': about,
    }
    if default is not None:
        schema['default'] = default
    return schema


def _section(about: str, **properties: Any) -> dict[str, Any]:
    required = [
        name
        for name, field in properties.items()
        if 'default' not in field and field.get('type') != 'object'
    ]
    nested = [
        name
        for name, field in properties.items()
        if field.get('type') == 'object' and field['required']
    ]
    return {
        'type': 'object',
        'description': about,
        'additionalProperties': False,
        'properties': properties,
        'required': required + nested,
    }


def _address(about: str) -> dict[str, Any]:
    return _section(
        about,
        host=_text('IP number to listen on.'),
        port=_number(0, 0, _MAX_PORT, 'Port; 0 takes a free one.'),
    )


_IDENTITY: Final = {
    'name': _text('Name of this process, unique in its site.'),
    'zone': _text('Availability zone of the VM.'),
    'secret_path': _text('File with the secret shared by all processes.'),
    'log_level': {
        'type': 'string',
        'enum': ['debug', 'info', 'warning', 'error'],
        'default': 'info',
        'description': 'Lowest level that is logged.',
    },
}

ROUTER_SCHEMA: Final = _section(
    'Settings of `wingfall router`.',
    **_IDENTITY,
    callers=_address('Where callers connect.'),
    admin=_address('Where operators and Prometheus connect.'),
    platform=_section(
        "The platform's object API.",
        url=_text('Base URL.'),
        vms_ms=_number(30_000, 100, 600_000, 'Time between VM list reads.'),
        watch_ms=_number(30_000, 100, 600_000, 'Longest wait of one watch.'),
        timeout_ms=_number(3000, 50, 60_000, 'Bound of one short call.'),
    ),
    peers=_section(
        'Other routers.',
        host=_text('IP number to listen on for peers.', '127.0.0.1'),
        port=_number(0, 0, _MAX_PORT, 'Port for peers; 0 takes a free one.'),
        seeds={
            'type': 'array',
            'items': {'type': 'string', 'pattern': r'^[0-9A-Fa-f.:\[\]]+:\d+$'},
            'default': [],
            'description': 'Addresses (host:port) of some other routers.',
        },
        watchers=_number(2, 1, 100, 'Routers of a zone that hold watches.'),
    ),
    policy=_section(
        'Decisions.',
        choice=_text('How agents are chosen.', 'expected_delay'),
        offers=_number(2, 1, 3, 'Agents that get an offer at once.'),
        affinity={
            'type': 'boolean',
            'default': True,
            'description': 'Prefer agents that had a like prompt before.',
        },
        attempts=_number(4, 1, 10, 'Rounds of offers for one request.'),
        retry_percent=_number(
            10,
            0,
            100,
            'Second runs allowed, in percent of the fresh requests.',
        ),
    ),
    limits=_section(
        'Bounds.',
        body_bytes=_number(1_000_000, 1, 3_000_000, 'Largest request body.'),
        waiting=_number(2000, 1, 100_000, 'Most requests held at once.'),
        window_bytes=_number(
            262_144,
            1024,
            16_777_216,
            'Bytes of an answer on their way to one slow caller.',
        ),
        resume_ms=_number(5000, 0, 60_000, 'Wait for a lost agent link.'),
        drain_ms=_number(600_000, 0, 3_600_000, 'Longest planned stop.'),
    ),
)

AGENT_SCHEMA: Final = _section(
    'Settings of `wingfall agent`.',
    **_IDENTITY,
    listen=_address('Where routers connect.'),
    admin=_address('Where operators and Prometheus connect.'),
    endpoint=_section(
        'The endpoint beside this agent.',
        url=_text('Base URL.'),
        slots=_number(8, 1, 4096, 'Calls that may run at once.'),
        headroom=_number(1, 0, 4096, 'Slots that only tier 0 may take.'),
        connect_ms=_number(1000, 10, 60_000, 'Bound of a connect.'),
        idle_ms=_number(30_000, 100, 600_000, 'Longest silence of a call.'),
    ),
    policy=_section(
        'Decisions.',
        order=_text('How waiting offers are ordered.', 'tiered'),
        limit=_text('How many calls run at once.', 'adaptive'),
    ),
    limits=_section(
        'Bounds.',
        queue=_number(64, 1, 100_000, 'Shared waiting places.'),
        grant_ms=_number(2000, 10, 60_000, 'How long a granted slot is held.'),
        window_bytes=_number(
            262_144,
            1024,
            16_777_216,
            'Bytes of one answer held for its router.',
        ),
        orphan_ms=_number(
            10_000,
            0,
            600_000,
            'How long a call outlives the link to its router.',
        ),
        key_window_ms=_number(
            120_000,
            1000,
            86_400_000,
            'How long an idempotency key is known after its run.',
        ),
        report_ms=_number(1000, 50, 60_000, 'Time between load reports.'),
        drain_ms=_number(600_000, 0, 3_600_000, 'Longest planned stop.'),
    ),
)
