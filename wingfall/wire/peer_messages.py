"""The typed messages between routers."""

from __future__ import annotations

from typing import final

from wingfall.wire.message import Message, message
from wingfall.wire.shapes import NUMBER, ListOf, Row


@final
@message(32, str, int, bool, ListOf(Row(str, NUMBER)))
class PeerState(Message):
    """What a router tells its peers each second and at each change."""

    __slots__ = ('zone', 'config_version', 'leaving', 'demands')

    def __init__(
        self,
        *,
        zone: str,
        config_version: int,
        leaving: bool,
        demands: list[list[str | int]],
    ) -> None:
        """Tell the state.

        :param zone: availability zone of the sender.
        :param config_version: configuration in force there.
        :param leaving: whether it is stopping.
        :param demands: customers whose limits count there, each as its name
            and its requests in 1000 seconds.
        """
        self.zone = zone
        self.config_version = config_version
        self.leaving = leaving
        self.demands = demands


@final
@message(33, int)
class ConfigFetch(Message):
    """Ask a peer for what has changed after a version."""

    __slots__ = ('since',)

    def __init__(self, *, since: int) -> None:
        """Ask.

        :param since: version in force at the sender, 0 for none.
        """
        self.since = since


@final
@message(34, int, bool, bool, ListOf(bytes))
class ConfigPage(Message):
    """A part of the answer to a fetch; in force when the last has come."""

    __slots__ = ('version', 'snapshot', 'last', 'changes')

    def __init__(
        self,
        *,
        version: int,
        snapshot: bool,
        last: bool,
        changes: list[bytes],
    ) -> None:
        """Carry changes.

        :param version: version of the whole answer.
        :param snapshot: whether objects that are not named are gone.
        :param last: whether no page follows.
        :param changes: watch events as JSON, in their order.
        """
        self.version = version
        self.snapshot = snapshot
        self.last = last
        self.changes = changes
