"""Follows the platform's list of VMs: who is leaving, and where routers are.

The list lags by tens of seconds, so it comes second: an agent's own word that
it is leaving is there at once. The list serves for an agent that can't say it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import part_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.object_api.client import HttpObjectApi
    from wingfall.object_api.readings import Vm
    from wingfall.router.directory import Directory
    from wingfall.router.peers import Peers
    from wingfall.supervisor import Supervisor

_OTHER_ZONES: Final = 2
_LEAST_WAIT: Final = 0.7

logger = part_logger('router.vms')


@final
class VmFollower:
    """Reads the list now and then and tells the parts that it concerns."""

    __slots__ = ('_api', '_directory', '_peers', '_period_ms', '_zone')

    def __init__(
        self,
        *,
        api: HttpObjectApi,
        zone: str,
        period_ms: int,
        directory: Directory,
        peers: Peers,
    ) -> None:
        """Set up the follower.

        :param api: the platform.
        :param zone: availability zone of this router.
        :param period_ms: time between two reads.
        :param directory: told which VMs are leaving.
        :param peers: told where other routers are.
        """
        self._api = api
        self._zone = zone
        self._period_ms = period_ms
        self._directory = directory
        self._peers = peers

    def follow(self, supervisor: Supervisor) -> None:
        """Follow until the process ends.

        :param supervisor: tells when that is.
        """
        while not supervisor.stopped:
            self.read_once()
            # Routers that started together shall not ask together.
            part = random.uniform(_LEAST_WAIT, 1)  # noqa: S311
            gevent.sleep(self._period_ms * part / MS_PER_S)

    def read_once(self) -> None:
        """Read the list; when it can't be read, the last one stays."""
        listed = self._api.list_vms()
        if not isinstance(listed, Success):
            logger.warning('The VM list was not read: %s.', listed.failure())
            return
        vms = listed.unwrap()
        leaving = {vm.name for vm in vms if vm.leaving}
        self._directory.note_leaving(leaving)
        self._peers.follow(self._choose_peers(vms))

    def _choose_peers(self, vms: Iterable[Vm]) -> set[str]:
        # All of the own zone, whose routers share watches and limits; and a
        # few others, so that zones hear of each other.
        routers = [vm for vm in vms if vm.peer and not vm.leaving]
        near = {vm.peer for vm in routers if vm.zone == self._zone}
        far = sorted(vm.peer for vm in routers if vm.zone != self._zone)
        return near | set(random.sample(far, min(_OTHER_ZONES, len(far))))
