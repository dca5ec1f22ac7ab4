"""The typed messages between gateways."""

from __future__ import annotations

from typing import Any, Final, final

from wingfall.wire.message import Message, message
from wingfall.wire.shapes import (
    ANY,
    NUMBER,
    OPTIONAL_NUMBER,
    ListOf,
    MapOf,
    Row,
)

# The sender understands the messages of :mod:`wingfall.wire.stream_messages`.
STREAMS_FEATURE: Final = 'streams'
# The sender understands which versions the history in the store names.
HISTORY_FEATURE: Final = 'history'

_TEXTS: Final = ListOf(str)
_LOADS: Final = ListOf(Row(str, NUMBER, NUMBER, NUMBER, group=(NUMBER, NUMBER)))
_SENT: Final = ListOf(Row(str, NUMBER, group=(Row(str, NUMBER),)))
_OUTCOMES: Final = ListOf(Row(str, NUMBER, NUMBER))
_CRASHES: Final = ListOf(Row(str, NUMBER, str, ListOf(bytes), ListOf(bytes)))
_SERVED: Final = ListOf(Row(bytes, NUMBER))
_DUTIES: Final = Row(
    NUMBER,
    bool,
    NUMBER,
    ListOf(Row(NUMBER, str, NUMBER)),
    group=(ANY,),
    is_optional=True,
)
_LIMITS: Final = ListOf(Row(str, OPTIONAL_NUMBER, NUMBER, NUMBER, NUMBER, str))
_LEAVINGS: Final = ListOf(Row(str, NUMBER, str))
# Readings and gaps of engines.
_SAMPLES: Final = ListOf(Row(str, group=(NUMBER,)))
_WORK: Final = ListOf(Row(str, str, NUMBER, NUMBER, group=(ANY,)))


@final
@message(48, str, str, _TEXTS, str, int, _TEXTS)
class GatewayHello(Message):
    """First message of both sides."""

    __slots__ = (  # noqa: WPS607
        'name',
        'address',
        'known',
        'zone',
        'incarnation',
        'features',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        known: list[str],
        zone: str = '',
        incarnation: int = 0,
        features: list[str] | None = None,
    ) -> None:
        """Introduce the sender.

        :param name: its name.
        :param address: ``host:port`` where it takes connections.
        :param known: addresses of the gateways that it knows.
        :param zone: its availability zone.
        :param incarnation: a number drawn at its start.
        :param features: messages beyond the first ones that it understands.
        """
        self.name = name
        self.address = address
        self.known = known
        self.zone = zone
        self.incarnation = incarnation
        self.features = features or []


@final
@message(
    49,
    MapOf(int),
    _LOADS,
    _SENT,
    bool,
    bool,
    bool,
    bool,
    _OUTCOMES,
    int,
    _CRASHES,
    _SERVED,
    int,
    _DUTIES,
    _LIMITS,
    _LEAVINGS,
    int,
    _SAMPLES,
    _WORK,
    _SAMPLES,
    int,
)
class GatewayHeartbeat(Message):
    """What a gateway tells its peers some times a second."""

    __slots__ = (
        'revisions',
        'loads',
        'sent',
        'leaving',
        'whole',
        'watching',
        'knows_caches',
        'outcomes',
        'reach',
        'crashes',
        'served',
        'crash_digest',
        'duties',
        'limits',
        'leavings',
        'signal_digest',
        'readings',
        'work',
        'gaps',
        'part_digest',
    )

    def __init__(
        self,
        *,
        revisions: dict[str, int],
        loads: list[list[Any]],
        sent: list[list[Any]],
        leaving: bool,
        whole: bool,
        watching: bool,
        knows_caches: bool = False,
        outcomes: list[list[Any]] | None = None,
        reach: int = 0,
        crashes: list[list[Any]] | None = None,
        served: list[list[Any]] | None = None,
        crash_digest: int = -1,
        duties: list[Any] | None = None,
        limits: list[list[Any]] | None = None,
        leavings: list[list[Any]] | None = None,
        signal_digest: int = -1,
        readings: list[list[Any]] | None = None,
        work: list[list[Any]] | None = None,
        gaps: list[list[Any]] | None = None,
        part_digest: int = -1,
    ) -> None:
        """Tell the state.

        :param revisions: newest revision of each kind of object.
        :param loads: work of the sender by endpoint: name, running, reading
            tokens, memory, then pairs of the gap in milliseconds that
            streams bear and their number.
        :param sent: prompts sent since the last heartbeat: name of the
            endpoint, tokens to read there, then the shared parts, each as id
            and tokens.
        :param leaving: whether the sender is stopping.
        :param whole: whether the loads are all that there are, not only
            those that changed since the last heartbeat.
        :param watching: whether the sender hears the store's changes.
        :param knows_caches: whether the sender knows what engines keep.
        :param outcomes: how requests ended since the last heartbeat: name of
            the endpoint, how many failed, how many were served.
        :param reach: how many other availability zones the sender hears.
        :param crashes: endpoints that crashed: name, age in milliseconds, the
            gateway that told first, fingerprints of the requests there
            without output, and of those whose output had begun, each with
            those of the parts of their prompts.
        :param served: fingerprints of requests and prompt parts beside a
            crash that were answered well, and how many milliseconds ago.
        :param crash_digest: the same number for gateways that know the same
            crashes of the last minute; -1 from a program that knows none.
        :param duties: empty if nothing is told of them, else the last window
            that is reported, whether the sender holds the lease, its time of
            day in milliseconds, and its counts that have risen, each as
            window, customer and count.
        :param limits: limits that endpoints named: name, requests a second
            or nothing once none is named, how many milliseconds ago that rate
            was first heard, the request of the newest answer was sent and that
            answer was heard, and the gateway that heard it.
        :param leavings: endpoints that said that they leave: name, how many
            milliseconds ago, and the gateway that heard it.
        :param signal_digest: the same number for gateways that know the same of
            these; -1 from a program that knows none.
        :param readings: how fast engines read lately: name of the engine, then
            tenths of a token a millisecond, one number a reading; below
            zero the rate that the sender believes, in a greeting.
        :param work: work of customers since the last heartbeat: name of the
            pool, name of the customer, tokens of all prompts that it asked
            for, tokens of those that were sent to an engine.
        :param gaps: the longest gaps of streams beside reads that never ended:
            name of the engine, then milliseconds, one number a stream.
        :param part_digest: the same number for gateways that know the same
            prompt parts at crashes of the last minute; -1 from a program that
            knows none.
        """
        self.revisions = revisions
        self.loads = loads
        self.sent = sent
        self.leaving = leaving
        self.whole = whole
        self.watching = watching
        self.knows_caches = knows_caches
        self.outcomes = outcomes or []
        self.reach = reach
        self.crashes = crashes or []
        self.served = served or []
        self.crash_digest = crash_digest
        self.duties = duties or []
        self.limits = limits or []
        self.leavings = leavings or []
        self.signal_digest = signal_digest
        self.readings = readings or []
        self.work = work or []
        self.gaps = gaps or []
        self.part_digest = part_digest


@final
@message(54, str, _LOADS, _SENT, bool, _OUTCOMES, _SAMPLES, _WORK, _SAMPLES)
class ZoneLoads(Message):
    """The work of all gateways of an availability zone."""

    __slots__ = (  # noqa: WPS607
        'zone',
        'loads',
        'sent',
        'whole',
        'outcomes',
        'readings',
        'work',
        'gaps',
    )

    def __init__(
        self,
        *,
        zone: str,
        loads: list[list[Any]],
        sent: list[list[Any]],
        whole: bool,
        outcomes: list[list[Any]] | None = None,
        readings: list[list[Any]] | None = None,
        work: list[list[Any]] | None = None,
        gaps: list[list[Any]] | None = None,
    ) -> None:
        """Tell the work.

        :param zone: the availability zone.
        :param loads: its work by endpoint, as in a heartbeat.
        :param sent: prompts that it has sent, as in a heartbeat.
        :param whole: whether the zone has no work at other endpoints.
        :param outcomes: how its requests ended, as in a heartbeat.
        :param readings: how fast engines read, as in a heartbeat.
        :param work: work of customers, as in a heartbeat.
        :param gaps: gaps of streams beside reads, as in a heartbeat.
        """
        self.zone = zone
        self.loads = loads
        self.sent = sent
        self.whole = whole
        self.outcomes = outcomes or []
        self.readings = readings or []
        self.work = work or []
        self.gaps = gaps or []
