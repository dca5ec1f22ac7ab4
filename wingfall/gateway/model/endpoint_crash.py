"""An endpoint that crashed, and the requests that were there."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.fingerprint import Fingerprint


@final
class EndpointCrash:
    """One endpoint's crash, as all gateways together have seen it."""

    __slots__ = (
        'crashed_ms',
        'endpoint',
        'incomplete',
        'silent',
        'streaming',
        'reported_by',
    )

    def __init__(
        self,
        *,
        endpoint: str,
        crashed_ms: int,
        reported_by: str,
        silent: Iterable[Fingerprint] = (),
        streaming: Iterable[Fingerprint] = (),
    ) -> None:
        """Describe a crash.

        :param endpoint: name of the incarnation that crashed.
        :param crashed_ms: when, a reading of this gateway's clock.
        :param reported_by: the gateway that was the first to tell of it.
        :param silent: requests there that had no output.
        :param streaming: requests there whose output had just begun.
        """
        self.endpoint = endpoint
        self.crashed_ms = crashed_ms
        self.reported_by = reported_by
        self.silent = set(silent)
        self.streaming = set(streaming)
        # Whether a gateway was lost at about that time, which may have had
        # further requests there.
        self.incomplete = False

    @property
    def suspects(self) -> set[Fingerprint]:
        """All requests that may have been the cause."""
        return self.silent | self.streaming

    def has(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request was there.

        :param fingerprint: the request.
        :returns: whether it was.
        """
        return fingerprint in self.silent or fingerprint in self.streaming

    def narrowed(self, suspects: set[Fingerprint]) -> EndpointCrash:
        """Describe the same crash with some of its requests.

        :param suspects: the requests that are kept.
        :returns: a copy.
        """
        return EndpointCrash(
            endpoint=self.endpoint,
            crashed_ms=self.crashed_ms,
            reported_by=self.reported_by,
            silent=self.silent & suspects,
            streaming=self.streaming & suspects - self.silent,
        )
