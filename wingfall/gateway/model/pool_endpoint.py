"""One endpoint as the platform lists it."""

from __future__ import annotations

from typing import final


@final
class PoolEndpoint:
    """An endpoint of a pool as the platform lists it."""

    __slots__ = (
        'born_ms',
        'draining',
        'host',
        'instance',
        'name',
        'pool',
        'port',
        'slots',
        'zone',
    )

    def __init__(
        self,
        *,
        name: str,
        pool: str,
        host: str,
        port: int,
        zone: str,
        slots: int,
        draining: bool,
        instance: str | None = None,
        born_ms: int | None = None,
    ) -> None:
        """Describe an endpoint.

        :param name: name of this incarnation, never used twice.
        :param pool: the pool it belongs to.
        :param host: its IP number.
        :param port: its port.
        :param zone: its availability zone.
        :param slots: requests it runs at once.
        :param draining: whether it is about to leave.
        :param instance: the platform's id, which an endpoint that starts
            again may keep; the name if it isn't told.
        :param born_ms: when this incarnation started, Unix milliseconds; None
            on platforms that don't tell, where an id is never used twice.
        """
        self.name = name
        self.instance = name if instance is None else instance
        self.born_ms = born_ms
        self.pool = pool
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.draining = draining
