"""The schema of a gateway's settings, with its defaults."""

from __future__ import annotations

from typing import Any, Final

from wingfall.settings.fields import (
    HOST_PORT,
    LOG_LEVEL,
    address,
    host_port,
    number,
    section,
    text,
)


def _real(default: float, about: str, *, low: float = 0) -> dict[str, Any]:
    return {
        'type': 'number',
        'minimum': low,
        'default': default,
        'description': about,
    }


GATEWAY_SCHEMA: Final = section(
    'Settings of a gateway.',
    name=text('Name of this process, unique in its site.'),
    zone=text('Availability zone of its VM.'),
    callers=host_port('host:port for callers.'),
    readiness=host_port('host:port of the question whether it is ready.'),
    admin=address('Address for health, metrics and status.'),
    binding=text('The platform whose words are spoken.', 'fjordgrid'),
    log_level=LOG_LEVEL,
    peers=section(
        'Other gateways.',
        listen=host_port('host:port for other gateways.'),
        announce={
            'type': 'string',
            'pattern': f'^$|{HOST_PORT}',
            'default': '',
            'description': 'host:port that others connect to, where it is not '
            'the one of `listen`; their seeds name it too.',
        },
        seeds={
            'type': 'array',
            'items': {'type': 'string', 'pattern': HOST_PORT},
            'default': [],
            'description': 'host:port where some gateways may be found.',
        },
    ),
    store=section(
        "The platform's store.",
        address=host_port('host:port of the store.'),
        timeout_ms=number(1500, 10, 60_000, 'Bound of a short call.'),
        # A watch that hangs since the store fell silent must end before VMs
        # count as in touch again, three seconds after the store's return.
        watch_ms=number(3000, 10, 30_000, 'Wait of one watch.'),
        writes_per_s=_real(
            400,
            'Writing calls a second that it takes of all gateways together.',
            low=1,
        ),
        reads_per_s=_real(
            2000,
            'Reading calls a second that it takes of all gateways together.',
            low=1,
        ),
    ),
    resend=section(
        'How often requests may be sent a second time.',
        ratio=_real(0.2, 'Second sendings a request, over all gateways.'),
        slack=_real(10, 'Second sendings a window beyond that.'),
        window_s=_real(10, 'Length of the window in seconds.'),
    ),
    duties=section(
        'What one gateway at a time does for all; nothing without an address.',
        address={
            'type': 'string',
            'pattern': HOST_PORT,
            'default': '',
            'description': 'host:port that takes what is done.',
        },
        names={
            'type': 'array',
            'items': {'type': 'string'},
            'default': [],
            'description': 'Names of the duties.',
        },
        lease_ms=number(
            3000,
            300,
            60_000,
            'How long one must not act again after another has acted.',
        ),
        window_s=_real(5, 'Length of a window of usage in seconds.'),
        late_s=_real(
            10,
            'Seconds after the end of a window in which usage is reported.',
        ),
    ),
    policy=section(
        'The decisions.',
        placement=text('Which endpoint serves.', 'least_read'),
        admission=text('Which prompts are refused early.', 'target'),
        cache_transfer=text(
            'From where engines copy kept parts of prompts.',
            'most_kept',
        ),
        shared_read=text(
            'Whether prompts wait for a part that is being read.',
            'wait',
        ),
        stream_backup=text(
            'Which streams are kept at a second engine as well.',
            'long_answers',
        ),
        rate_share=text(
            'How gateways divide what an endpoint with a limit takes.',
            'few_gateways',
        ),
        large_pool=number(
            0,
            0,
            100_000,
            'Engines of a pool from which read_rates, start_estimates, '
            'engine_groups and an admission by the pool take effect.',
        ),
        short_gap_ms=number(
            0,
            0,
            60_000,
            'The same by configuration: a pool must have a route whose streams '
            'bear no longer token gaps than this; 0 for any.',
        ),
        read_rates=text('How gateways learn how fast engines read.', 'own'),
        start_estimates=text(
            'How estimates of first events are corrected by those that came.',
            'plain',
        ),
        engine_groups=text(
            'Which engines are kept for streams that bear only short gaps.',
            'none',
        ),
    ),
    limits=section(
        'Bounds of this process.',
        stop_s=_real(8, 'When a planned stop has ended, in seconds.'),
        memory_mb=number(
            0,
            0,
            1_048_576,
            'Memory that the process may use, in MB; 0 to find it. Read at a '
            'start.',
        ),
    ),
)
