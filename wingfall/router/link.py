"""The router's connection to one agent."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final, TypeAlias, final

from gevent.event import Event

from wingfall.clock import MS_PER_S, US_PER_MS
from wingfall.decision.choice import Candidate
from wingfall.errors import WireError
from wingfall.log import part_logger
from wingfall.supervisor import Backoff
from wingfall.wire.connection import Connection
from wingfall.wire.handshake import greet_peer
from wingfall.wire.message import Message
from wingfall.wire.offer_messages import HomeMembers, Refused, Report
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from gevent.queue import SimpleQueue

    from wingfall.config.copy import ConfigCopy
    from wingfall.objects.endpoint import Endpoint
    from wingfall.wire.handshake import Identity

    Mailbox: TypeAlias = SimpleQueue[Message | None]

_CONNECT_S: Final = 2
_SILENCE_MS: Final = 4000
_FIRST_LIMIT: Final = 1
_MAX_BACKOFF_MS: Final = 2000

logger = part_logger('router.link')


@final
class AgentLink:
    """Connects, reconnects, and hands messages to the calls they are for."""

    __slots__ = (
        '_calls',
        '_connection',
        '_copy',
        '_homes',
        '_incarnation',
        '_identity',
        '_report',
        '_sent_since',
        '_stopped',
        '_up',
        '_zone',
        'endpoint',
        'vm_leaving',
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        zone: str,
        identity: Identity,
        copy: ConfigCopy,
    ) -> None:
        """Set up a link; :meth:`run` connects it.

        :param endpoint: the endpoint whose agent it reaches.
        :param zone: availability zone of this router.
        :param identity: who this router is.
        :param copy: gives the version in force.
        """
        self.endpoint = endpoint
        self.vm_leaving = False
        self._zone = zone
        self._identity = identity
        self._copy = copy
        self._connection: Connection | None = None
        self._report: Report | None = None
        self._sent_since = 0
        self._incarnation = ''
        self._homes: dict[str, bytes] = {}
        self._calls: dict[str, Mailbox] = {}
        self._up = Event()
        self._stopped = Event()

    @property
    def usable(self) -> bool:
        """Whether offers can be sent."""
        report = self._report
        if report is None or report.leaving or self.vm_leaving:
            return False
        return self._up.is_set()

    @property
    def report(self) -> Report | None:
        """The last report, None while the link is down."""
        return self._report

    @property
    def incarnation(self) -> str:
        """Incarnation of the agent at the last connection."""
        return self._incarnation

    @property
    def open_calls(self) -> int:
        """Offers and calls that are open on this link."""
        return len(self._calls)

    def candidate(self, tier: int, cached_part: float = 0) -> Candidate:
        """Describe this agent for a choice.

        :param tier: tier of the request.
        :param cached_part: part of its prompt that is likely cached there.
        :returns: its load by the last report and what was sent since.
        """
        report = self._report
        return Candidate(
            name=self.endpoint.name,
            same_zone=self.endpoint.zone == self._zone,
            limit=report.limit if report else _FIRST_LIMIT,
            reported=report.running + report.waiting if report else 0,
            sent_since=self._sent_since,
            mean_run_ms=report.mean_run_ms if report else 0,
            reserved=report.headroom if report and tier else 0,
            token_gap_ms=report.token_gap_us / US_PER_MS if report else 0,
            gain_ms=cached_part * report.first_token_ms if report else 0,
        )

    def open_call(self, call_id: str, mailbox: Mailbox) -> None:
        """Receive the messages of an offer from now on.

        :param call_id: id of the offer.
        :param mailbox: where its messages go.
        """
        self._calls[call_id] = mailbox
        self._sent_since += 1

    def close_call(self, call_id: str) -> None:
        """Receive no more messages of an offer.

        :param call_id: id of the offer.
        """
        if self._calls.pop(call_id, None) is not None:
            self._sent_since = max(0, self._sent_since - 1)

    def send(self, message: Message) -> None:
        """Send a message; it is lost if the link is down.

        :param message: the message.
        """
        if self._connection is not None:
            self._connection.send(message)

    def tell_homes(self, homes: dict[str, bytes]) -> None:
        """Tell the agent which endpoints share idempotency keys with it.

        :param homes: digest of the members by home; what the agent has
            been told already is not sent again.
        """
        known = self._homes
        self._homes = homes
        for home, members in homes.items():
            if known.get(home) != members:
                self.send(HomeMembers(home=home, members=members))

    def wait_up(self, timeout_ms: int) -> bool:
        """Wait until the link is up.

        :param timeout_ms: longest wait.
        :returns: whether it is up.
        """
        return self._up.wait(timeout_ms / MS_PER_S)

    def stop(self) -> None:
        """End the link for good."""
        self._stopped.set()
        if self._connection is not None:
            self._connection.close()

    def run(self) -> None:
        """Keep the link up until it is stopped."""
        backoff = Backoff(max_ms=_MAX_BACKOFF_MS)
        while not self._stopped.is_set():
            if self._connect_and_serve():
                backoff.reset()
            self._stopped.wait(backoff.take_ms() / MS_PER_S)

    def take_report(self, report: Report) -> None:
        """Take a load report; the link is up from the first on.

        :param report: the report.
        """
        known = self._report
        if known is None or known.leaving is not report.leaving:
            state = 'leaving' if report.leaving else 'up'
            logger.info('Endpoint %s is %s.', self.endpoint.name, state)
        self._report = report
        self._sent_since = 0
        self._up.set()

    def _connect_and_serve(self) -> bool:
        address = (self.endpoint.host, self.endpoint.port)
        try:
            sock = socket.create_connection(address, timeout=_CONNECT_S)
        except OSError as error:
            logger.debug('No link to %s: %s.', self.endpoint.name, error)
            return False
        connection = Connection(sock=sock)
        try:
            welcome = greet_peer(
                self._identity,
                connection,
                self._copy.version,
            )
            self._incarnation = welcome.incarnation
            connection.set_timeout(_SILENCE_MS)
            self._serve(connection)
        except WireError as error:
            logger.warning('Link to %s: %s.', self.endpoint.name, error)
            return False
        finally:
            connection.close()
            self._lose()
        return True

    def _serve(self, connection: Connection) -> None:
        self._connection = connection
        for home, members in self._homes.items():
            self.send(HomeMembers(home=home, members=members))
        for message in connection.receive():
            if isinstance(message, Report):
                self.take_report(message)
                continue
            mailbox = self._calls.get(getattr(message, 'call_id', ''))
            if mailbox is not None:
                mailbox.put(message)

    def _lose(self) -> None:
        was_up = self._up.is_set()
        self._up.clear()
        self._connection = None
        self._report = None
        if was_up:
            logger.info('Endpoint %s is down.', self.endpoint.name)
        for call_id, mailbox in list(self._calls.items()):
            mailbox.put(
                Refused(
                    call_id=call_id,
                    reason=RefusalReason.link_down,
                    retry_after_ms=0,
                ),
            )
