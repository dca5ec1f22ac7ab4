"""One endpoint as the platform lists it."""

from __future__ import annotations

from typing import final


@final
class PoolEndpoint:
    """An endpoint of a pool as the platform lists it."""

    __slots__ = (
        'draining',
        'host',
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
    ) -> None:
        """Describe an endpoint.

        :param name: id of this incarnation, never used twice.
        :param pool: the pool it belongs to.
        :param host: its IP number.
        :param port: its port.
        :param zone: its availability zone.
        :param slots: requests it runs at once.
        :param draining: whether it is about to leave.
        """
        self.name = name
        self.pool = pool
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.draining = draining
