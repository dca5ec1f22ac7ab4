"""Endpoints of a soak that read long bodies slowly, or answer before.

Apart from the other faults, so that the seeds of soaks without them stay the
same series.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

import gevent

from standins.body_reading import BodyReading, EarlyAnswer
from tools.soak.long_requests import LEAST_BYTES
from tools.soak.site import POOLS

if TYPE_CHECKING:
    from tools.soak.site import SoakSite

# Bytes a second that an endpoint reads: 5 Mbit/s, 13 Mbit/s, as it can.
_RATES: Final = (640_000, 640_000, 1_600_000, 0)
_MOST_PAUSE_S: Final = 2
_MOST_PAUSE_AFTER_BYTES: Final = 500_000
_LEAST_EARLY_S: Final = 0.5
_MOST_EARLY_S: Final = 2
# Seconds for which an endpoint keeps a way of reading.
_SHORTEST_S: Final = 1
_LONGEST_S: Final = 4


@final
class SlowReaders:
    """Changes how the endpoints of each pool read."""

    def __init__(self, *, site: SoakSite, seed: int) -> None:
        """Start to change them.

        :param site: the site.
        :param seed: what the changes are drawn from.
        """
        self._site = site
        self._stopped = False
        self._changing = [
            gevent.spawn(self._change_forever, pool, random.Random(seed + at))
            for at, pool in enumerate(POOLS)
        ]

    def stop(self) -> None:
        """Have all endpoints read at full speed, and answer after."""
        self._stopped = True
        gevent.joinall(self._changing)
        for server in self._site.servers:
            _read_fast(server.standin.reading)

    def _change_forever(self, pool: str, chance: random.Random) -> None:
        while not self._stopped:
            for server in self._site.listed(pool):
                _draw(server.standin.reading, chance)
            gevent.sleep(chance.uniform(_SHORTEST_S, _LONGEST_S))


def _draw(reading: BodyReading, chance: random.Random) -> None:
    reading.least_bytes = LEAST_BYTES
    reading.bytes_per_s = chance.choice(_RATES)
    reading.pause_s = chance.choice([0, chance.uniform(0, _MOST_PAUSE_S)])
    reading.pause_after_bytes = chance.randrange(_MOST_PAUSE_AFTER_BYTES)
    reading.early = chance.choice(list(EarlyAnswer))
    reading.early_after_s = chance.uniform(_LEAST_EARLY_S, _MOST_EARLY_S)


def _read_fast(reading: BodyReading) -> None:
    reading.bytes_per_s = 0
    reading.pause_s = 0
    reading.early = EarlyAnswer.none
