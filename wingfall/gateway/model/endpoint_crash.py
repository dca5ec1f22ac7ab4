"""Crash of an endpoint, and the requests and prompt parts that were there."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.fingerprint import Fingerprint


@final
class EndpointCrash:
    """Crash of one endpoint, merged from all gateways."""

    __slots__ = (
        'crashed_ms',
        'endpoint',
        'incomplete',
        'is_restored',
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
        """Create the record of a crash.

        :param endpoint: name of the incarnation that crashed.
        :param crashed_ms: time of the crash by this gateway's clock.
        :param reported_by: the gateway that reported the crash first.
        :param silent: requests without output at the crash, and the parts
            of their prompts.
        :param streaming: the same of requests whose output had just started.
        """
        self.endpoint = endpoint
        self.crashed_ms = crashed_ms
        self.reported_by = reported_by
        self.silent = set(silent)
        self.streaming = set(streaming)
        # Whether a gateway was lost at about the time of the crash; it may
        # have had further requests there.
        self.incomplete = False
        # Whether it is known from the store alone; it may be older than its
        # time tells.
        self.is_restored = False

    @property
    def suspects(self) -> set[Fingerprint]:
        """All requests and prompt parts that may have caused the crash."""
        return self.silent | self.streaming

    def involves(self, fingerprint: Fingerprint) -> bool:
        """Check if a request or a prompt part was at the endpoint.

        :param fingerprint: its fingerprint.
        :returns: whether it is a suspect.
        """
        return fingerprint in self.silent or fingerprint in self.streaming

    def restricted_to(self, suspects: set[Fingerprint]) -> EndpointCrash:
        """Return a copy of the crash limited to some of its suspects.

        :param suspects: the suspects to retain.
        :returns: the copy.
        """
        restricted = EndpointCrash(
            endpoint=self.endpoint,
            crashed_ms=self.crashed_ms,
            reported_by=self.reported_by,
            silent=self.silent & suspects,
            streaming=self.streaming & suspects - self.silent,
        )
        restricted.incomplete = self.incomplete
        restricted.is_restored = self.is_restored
        return restricted
