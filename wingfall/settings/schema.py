"""JSON schemas of the settings files, with their defaults."""

from __future__ import annotations

from typing import Final

from wingfall.settings.fields import (
    HOST_PORT,
    LOG_LEVEL,
    MAX_PORT,
    address,
    number,
    section,
    text,
)

_IDENTITY: Final = {
    'name': text('Name of this process, unique in its site.'),
    'zone': text('Availability zone of the VM.'),
    'secret_path': text('File with the secret shared by all processes.'),
    'log_level': LOG_LEVEL,
}

ROUTER_SCHEMA: Final = section(
    'Settings of `wingfall router`.',
    **_IDENTITY,
    callers=address('Where callers connect.'),
    admin=address('Where operators and Prometheus connect.'),
    platform=section(
        "The platform's object API.",
        url=text('Base URL.'),
        vms_ms=number(30_000, 100, 600_000, 'Time between VM list reads.'),
        watch_ms=number(30_000, 100, 600_000, 'Longest wait of one watch.'),
        timeout_ms=number(3000, 50, 60_000, 'Bound of one short call.'),
    ),
    peers=section(
        'Other routers.',
        host=text('IP number to listen on for peers.', '127.0.0.1'),
        port=number(0, 0, MAX_PORT, 'Port for peers; 0 takes a free one.'),
        seeds={
            'type': 'array',
            'items': {'type': 'string', 'pattern': HOST_PORT},
            'default': [],
            'description': 'Addresses (host:port) of some other routers.',
        },
        watchers=number(2, 1, 100, 'Routers of a zone that hold watches.'),
    ),
    policy=section(
        'Decisions.',
        choice=text('How agents are chosen.', 'expected_delay'),
        offers=number(2, 1, 3, 'Agents that get an offer at once.'),
        affinity={
            'type': 'boolean',
            'default': True,
            'description': 'Prefer agents that had a like prompt before.',
        },
        attempts=number(4, 1, 10, 'Rounds of offers for one request.'),
        retry_percent=number(
            10,
            0,
            100,
            'Second runs allowed, in percent of the fresh requests.',
        ),
    ),
    limits=section(
        'Bounds.',
        body_bytes=number(1_000_000, 1, 3_000_000, 'Largest request body.'),
        memory_mb=number(
            0,
            0,
            1_048_576,
            'Memory that the process may use, in MB; 0 to find it.',
        ),
        waiting=number(2000, 1, 100_000, 'Most requests held at once.'),
        window_bytes=number(
            262_144,
            1024,
            16_777_216,
            'Bytes of an answer on their way to one slow caller.',
        ),
        resume_ms=number(5000, 0, 60_000, 'Wait for a lost agent link.'),
        drain_ms=number(600_000, 0, 3_600_000, 'Longest planned stop.'),
    ),
)

AGENT_SCHEMA: Final = section(
    'Settings of `wingfall agent`.',
    **_IDENTITY,
    listen=address('Where routers connect.'),
    admin=address('Where operators and Prometheus connect.'),
    endpoint=section(
        'The endpoint beside this agent.',
        url=text('Base URL.'),
        slots=number(8, 1, 4096, 'Calls that may run at once.'),
        headroom=number(1, 0, 4096, 'Slots that only tier 0 may take.'),
        connect_ms=number(1000, 10, 60_000, 'Bound of a connect.'),
        idle_ms=number(30_000, 100, 600_000, 'Longest silence of a call.'),
    ),
    policy=section(
        'Decisions.',
        order=text('How waiting offers are ordered.', 'tiered'),
        limit=text('How many calls run at once.', 'adaptive'),
    ),
    limits=section(
        'Bounds.',
        queue=number(64, 1, 100_000, 'Shared waiting places.'),
        grant_ms=number(2000, 10, 60_000, 'How long a granted slot is held.'),
        window_bytes=number(
            262_144,
            1024,
            16_777_216,
            'Bytes of one answer held for its router.',
        ),
        orphan_ms=number(
            10_000,
            0,
            600_000,
            'How long a call outlives the link to its router.',
        ),
        key_window_ms=number(
            120_000,
            1000,
            86_400_000,
            'How long an idempotency key is known after its run.',
        ),
        report_ms=number(1000, 50, 60_000, 'Time between load reports.'),
        drain_ms=number(600_000, 0, 3_600_000, 'Longest planned stop.'),
    ),
)
