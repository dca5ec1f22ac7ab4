"""Endpoint of a pool."""

from __future__ import annotations

from typing import final

from wingfall.address import Address


@final
class PoolEndpoint:
    """Endpoint of a pool as listed by the platform."""

    __slots__ = (
        'born_ms',
        'draining',
        'host',
        'instance',
        'name',
        'pool',
        'port',
        'slots',
        'version',
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
        version: str | None = None,
    ) -> None:
        """Create an endpoint.

        :param name: name of this incarnation, never reused.
        :param pool: name of its pool.
        :param host: IP address.
        :param port: TCP port.
        :param zone: availability zone.
        :param slots: number of requests that it runs concurrently.
        :param draining: whether the endpoint is about to leave.
        :param instance: id on the platform, which may stay the same after a
            restart; defaults to the name.
        :param born_ms: start of this incarnation in Unix milliseconds; None on
            platforms that don't report it, where ids are never reused.
        :param version: version of its software, compared for equality only;
            None if the platform doesn't report it.
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
        self.version = version

    @property
    def address(self) -> str:
        """Host and port, the host in brackets if it has colons."""
        return str(Address(host=self.host, port=self.port))
