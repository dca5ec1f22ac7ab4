"""The metrics of a process, in Prometheus' text format."""

from __future__ import annotations

from typing import final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_WAIT_BUCKETS_MS = (1, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 30000)


@final
class Metrics:
    """All metrics that routers and agents count, on one registry."""

    __slots__ = (
        'answer_ms',
        'answers',
        'config_faults',
        'config_version',
        'decisions',
        'inversions',
        'limit',
        'links',
        'loop_lag_ms',
        'memory_bytes',
        'objects_refused',
        'platform_calls',
        'queue_length',
        'registry',
        'running',
        'shed',
        'start_error',
        'stream_bytes',
        'wait_ms',
        'waiting_bodies',
    )

    def __init__(self) -> None:
        """Create the metrics at zero."""
        registry = Registry()
        self.registry = registry
        self.answers = Counter(
            'wingfall_answers_total',
            'Answers to callers by class, status and run state.',
            registry=registry,
        )
        self.answer_ms = Histogram(
            'wingfall_answer_ms',
            'Time from a request to the end of its answer, by class.',
            registry=registry,
            buckets=_WAIT_BUCKETS_MS,
        )
        self.decisions = Counter(
            'wingfall_decisions_total',
            'Routing decisions by part and reason.',
            registry=registry,
        )
        self.shed = Counter(
            'wingfall_shed_total',
            'Waiting requests shed for room, by tier.',
            registry=registry,
        )
        self.platform_calls = Counter(
            'wingfall_platform_calls_total',
            'Calls to the platform by verb and status.',
            registry=registry,
        )
        self.stream_bytes = Counter(
            'wingfall_stream_bytes_total',
            'Bytes of answers forwarded.',
            registry=registry,
        )
        self.config_version = Gauge(
            'wingfall_config_version',
            'Version of the configuration in force.',
            registry=registry,
        )
        self.config_faults = Gauge(
            'wingfall_config_faults',
            'Objects whose newest version is refused.',
            registry=registry,
        )
        self.objects_refused = Counter(
            'wingfall_objects_refused_total',
            'Stored objects that can not be used, by kind and faulty field.',
            registry=registry,
        )
        self.links = Gauge(
            'wingfall_links',
            'Open connections between routers and agents.',
            registry=registry,
        )
        self.queue_length = Gauge(
            'wingfall_queue_length',
            'Requests that wait here.',
            registry=registry,
        )
        self.limit = Gauge(
            'wingfall_limit',
            'Calls that may run at once at this endpoint.',
            registry=registry,
        )
        self.inversions = Gauge(
            'wingfall_inversions',
            'Requests shed while one of a lower tier kept a shared place.',
            registry=registry,
        )
        self.running = Gauge(
            'wingfall_running',
            'Calls that run here.',
            registry=registry,
        )
        self.loop_lag_ms = Gauge(
            'wingfall_loop_lag_ms',
            'How late the event loop woke a timer, worst of the last second.',
            registry=registry,
        )
        self.memory_bytes = Gauge(
            'wingfall_memory_bytes',
            'Memory of this process: resident, and reserved for requests.',
            registry=registry,
        )
        self.start_error = Gauge(
            'wingfall_start_error',
            'First events over their estimates, by pool, tier and part.',
            registry=registry,
        )
        self.waiting_bodies = Gauge(
            'wingfall_waiting_bodies',
            'Requests whose bodies wait for memory.',
            registry=registry,
        )
        self.wait_ms = Histogram(
            'wingfall_wait_ms',
            'Time from a request to its start, by tier.',
            registry=registry,
            buckets=_WAIT_BUCKETS_MS,
        )

    def render(self) -> bytes:
        """Write all metrics.

        :returns: the text exposition format, version 0.0.4.
        """
        text, _headers = render(self.registry, [])
        return text
