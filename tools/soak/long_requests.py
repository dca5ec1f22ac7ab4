"""Callers of a soak that send long requests.

Apart from the other traffic, so that the seeds of soaks without them stay the
same series.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent

from tools.soak.caller_group import CallerGroup
from tools.soak.traffic import KINDS

if TYPE_CHECKING:
    import random

    from tools.soak.site import SoakSite
    from tools.soak.traffic import Traffic

_CALLERS: Final = 10
_MOST_PAUSE_S: Final = 0.1
# Shorter ones fit into the buffers of a connection.
LEAST_BYTES: Final = 200_000
# Close to the maximum length of a body, which most of the bodies have.
_MOST_BYTES: Final = 4_000_000
_LONGEST: Final = 0.75


@final
class LongRequests:
    """Sends long requests to random gateways."""

    def __init__(self, *, site: SoakSite, traffic: Traffic, seed: int) -> None:
        """Start to send.

        :param site: the site.
        :param traffic: sends and keeps what came back.
        :param seed: what callers draw from.
        """
        self._site = site
        self._traffic = traffic
        self._group = CallerGroup(callers=_CALLERS, seed=seed, call=self._call)

    def stop(self) -> None:
        """Send no more, and wait for those that are under way."""
        self._group.stop()

    def _call(self, chance: random.Random) -> None:
        self._traffic.send_long(
            chance.choice(KINDS),
            chance.choice(list(self._site.gateways)),
            _draw_length(chance),
        )
        gevent.sleep(chance.uniform(0, _MOST_PAUSE_S))


def _draw_length(chance: random.Random) -> int:
    if chance.random() < _LONGEST:
        return _MOST_BYTES
    return chance.randrange(LEAST_BYTES, _MOST_BYTES)
