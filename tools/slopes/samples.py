"""Samples of everything that is measured."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Final

from wingfall.decision.ticket import Ticket
from wingfall.objects.customer import Customer
from wingfall.router.request import Request

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.config.copy import ConfigCopy

CLASSES: Final = 40
_MODELS: Final = 25


def make_endpoint(number: int) -> dict[str, Any]:
    """Make an endpoint as JSON."""
    return {
        'kind': 'Endpoint',
        'metadata': {
            'name': f'engine-{number:05}',
            'labels': {'pool': f'pool-{number % CLASSES}', 'size': 'large'},
            'resourceVersion': '1',
        },
        'spec': {
            'address': f'10.{number // 62_500}.{number // 250 % 250}'
            f'.{number % 250}:7000',
            'zone': f'zone-{number % 34}',
            'type': 'engine',
            'models': [f'model-{number % _MODELS}'],
        },
    }


def make_customer(number: int) -> dict[str, Any]:
    """Make a customer as JSON."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return {
        'kind': 'Customer',
        'metadata': {
            'name': f'customer-{number:05}',
            'labels': {'plan': 'gold'},
            'resourceVersion': '1',
        },
        'spec': {
            'key_hashes': [digest],
            'limits': {'requests_per_s': 10, 'concurrent': 20},
        },
    }


def make_class(number: int) -> dict[str, Any]:
    """Make a request class as JSON."""
    return {
        'kind': 'RequestClass',
        'metadata': {'name': f'class-{number}', 'resourceVersion': '1'},
        'spec': {
            'tier': number % 4,
            'requests': f'use=use-{number}',
            'endpoints': f'pool=pool-{number}',
            'timeout_ms': 10_000,
        },
    }


def make_request(copy: ConfigCopy) -> Request:
    """Make a request of the first class of a configuration."""
    customer = Customer(
        name='c',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=None,
        concurrent=None,
    )
    return Request(
        request_id='router-1',
        customer=customer,
        request_class=next(iter(copy.classes)),
        arrived_ms=0,
        timeout_ms=10_000,
        repeatable=True,
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        model='model-0',
    )


def make_ticket(number: int, clock: Clock) -> Ticket:
    """Make a ticket of an offer."""
    now_ms = clock.now_ms()
    return Ticket(
        call_id=f'router-042-0123456789abcdef-{number}.1',
        class_name=f'class-{number % 8}',
        tier=number % 4,
        customer=f'customer-{number % 50}',
        worth=1,
        share=0.02,
        private=2,
        queued_ms=now_ms,
        start_by_ms=now_ms + number,
        expires_ms=now_ms + 10_000,
        owner='router-042',
    )
