"""Which requests are not sent on, since they end the endpoints that run them.

All other bounds hold for one call at one gateway. Such a request comes again as
another call at another gateway, so its bound is kept for the request itself, by
what all gateways together have seen of it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.rules.crashes.crash_blame import Blame, find_causes
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.fingerprint import Fingerprint

# Milliseconds after its last crash in which a blocked request is tried once
# more, by the crashes that it caused beyond those that were enough. One who was
# blamed wrongly, or whose cause is gone, is soon served again; a request that
# ends endpoints ends two more at most. A restart and a repair by hand.
_TRY_AFTER_MS: Final = (60_000, 600_000)
# Milliseconds for which requests are sent on that were at the same crashes, or
# that are blamed for a crash at which others may have been that are not known:
# a good answer or the next crash tells them apart. A third of the three seconds
# in which the request must be blocked everywhere.
_UNDECIDED_MS: Final = 1000
# Milliseconds that a caller is told to wait if the request isn't tried again:
# the longest of the above.
_NO_TRY_MS: Final = 600_000
# Bytes of the number by which gateways are ranked for a request.
_RANK_BYTES: Final = 8


@final
class Block:
    """Why a request is not sent on."""

    __slots__ = ('blame', 'retry_after_ms')

    def __init__(self, *, blame: Blame, retry_after_ms: int) -> None:
        """Describe a block.

        :param blame: the crashes that it caused.
        :param retry_after_ms: when it may be tried once more.
        """
        self.blame = blame
        self.retry_after_ms = retry_after_ms


@final
class RequestBlocks:
    """Decides whether a request may be sent to an endpoint."""

    __slots__ = (
        '_blamed',
        '_clock',
        '_gateways',
        '_ledger',
        '_name',
        '_revision',
        '_started_ms',
        '_tried_ms',
    )

    def __init__(self, *, name: str, clock: Clock, ledger: CrashLedger) -> None:
        """Start without a block.

        :param name: name of this gateway.
        :param clock: the time.
        :param ledger: the crashes that all gateways have seen.
        """
        self._name = name
        self._clock = clock
        self._ledger = ledger
        self._started_ms = clock.now_ms()
        self._gateways = {name}
        self._revision = ledger.revision
        self._blamed: dict[Fingerprint, Blame] = {}
        # When this gateway last tried a blocked request.
        self._tried_ms: dict[Fingerprint, int] = {}

    @property
    def count(self) -> int:
        """How many requests are blocked."""
        return len(self._find_causes())

    def set_peers(self, names: Iterable[str]) -> None:
        """Tell which gateways there are beside this one.

        :param names: the connected peers.
        """
        self._gateways = {self._name, *names}

    def find(self, fingerprint: Fingerprint) -> Block | None:
        """Tell whether a request must not be sent.

        :param fingerprint: the request.
        :returns: why not, None if it may be sent.
        """
        blame = self._find_causes().get(fingerprint)
        if blame is None or not fingerprint or self._is_undecided(blame):
            return None
        wait_ms = self._wait_ms(fingerprint, blame)
        if wait_ms == 0:
            return None
        return Block(blame=blame, retry_after_ms=wait_ms or _NO_TRY_MS)

    def note_sent(self, fingerprint: Fingerprint) -> None:
        """Note that a request is sent; a blocked one is tried by that.

        :param fingerprint: the request.
        """
        blame = self._find_causes().get(fingerprint)
        if blame is not None and not self._is_undecided(blame):
            self._tried_ms[fingerprint] = self._clock.now_ms()
            log_event(
                'blocks',
                'A blocked request is tried once more.',
                request=fingerprint.hex(),
                crashes=len(blame.crashes),
            )

    def _find_causes(self) -> dict[Fingerprint, Blame]:
        if self._revision == self._ledger.revision:
            return self._blamed
        before = self._blamed
        self._blamed = find_causes(self._ledger.crashes, self._ledger.served_ms)
        self._ledger.trim(
            {
                crash.endpoint
                for blame in self._blamed.values()
                for crash in blame.crashes
            },
        )
        self._revision = self._ledger.revision
        self._log_changes(before)
        return self._blamed

    def _is_undecided(self, blame: Blame) -> bool:
        if blame.alone and self._is_certain(blame):
            return False
        # Incomplete crashes after that don't count, so that gateways that are
        # lost again and again can't put it off.
        since_ms = blame.enough_ms
        if not blame.alone:
            since_ms = max(since_ms, blame.last_complete_ms)
        return self._clock.now_ms() - since_ms < _UNDECIDED_MS

    def _is_certain(self, blame: Blame) -> bool:
        # Which gateways were lost before this one started is not known here.
        return blame.certain and blame.enough_ms >= self._started_ms

    def _wait_ms(self, fingerprint: Fingerprint, blame: Blame) -> int | None:
        if blame.excess >= len(_TRY_AFTER_MS):
            return None
        wait_ms = _TRY_AFTER_MS[blame.excess]
        tried_ms = self._tried_ms.get(fingerprint, blame.last_ms)
        since_ms = max(tried_ms, blame.last_ms)
        left_ms = since_ms + wait_ms - self._clock.now_ms()
        if left_ms > 0:
            return left_ms
        return 0 if self._is_first(fingerprint) else wait_ms

    def _is_first(self, fingerprint: Fingerprint) -> bool:
        # One gateway tries it, the same for all who hear each other.
        return self._name == max(
            self._gateways,
            key=lambda name: hashlib.blake2b(
                name.encode() + fingerprint,
                digest_size=_RANK_BYTES,
            ).digest(),
        )

    def _log_changes(self, before: dict[Fingerprint, Blame]) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint in self._blamed.keys() - before.keys():
            crashes = self._blamed[fingerprint].crashes
            log_event(
                'blocks',
                'A request is blocked: it ends the endpoints that run it.',
                request=fingerprint.hex(),
                alone=self._blamed[fingerprint].alone,
                certain=self._blamed[fingerprint].certain,
                crashes=len(crashes),
                endpoints=[crash.endpoint for crash in crashes],
                ages_ms=[now_ms - crash.crashed_ms for crash in crashes],
                told_by=sorted({crash.told_by for crash in crashes}),
            )
        for fingerprint in before.keys() - self._blamed.keys():
            self._tried_ms.pop(fingerprint, None)
            log_event(
                'blocks',
                'A request is blocked no longer.',
                request=fingerprint.hex(),
                served=fingerprint in self._ledger.served_ms,
            )
