"""The typed messages between routers and agents.

On the wire a message is a msgpack array: its tag, then its fields in the
order of ``__slots__``. Fields added at the end of a message are optional for
the reader, and extra ones are passed over, so neighbouring versions of the
programs understand each other.
"""

from __future__ import annotations

from typing import Any, Callable, ClassVar, Final, TypeVar, final

from wingfall.errors import RunState, WireError

PROTOCOL: Final = 1


class Message:
    """What all messages share: a tag and typed fields."""

    __slots__ = ()
    tag: ClassVar[int]
    types: ClassVar[tuple[Any, ...]]

    def fields(self) -> list[Any]:
        """List the fields for the codec.

        :returns: the tag and the fields in their order.
        """
        return [self.tag, *(getattr(self, slot) for slot in self.__slots__)]


_NUMBER: Final = (int, float)
# Fields of an offer: the terms of the class, then times and targets.
_TERMS: Final = (str, str, int, str, _NUMBER, _NUMBER, int)
_TARGETS: Final = (int, int, int, bool, int, int)
_MessageType = TypeVar('_MessageType', bound=type[Message])
_MESSAGES: Final[dict[int, type[Message]]] = {}


def message(tag: int, *types: Any) -> Callable[[_MessageType], _MessageType]:
    """Register a message.

    :param tag: its number on the wire.
    :param types: the type of each field.
    :returns: a decorator that gives the class back.
    :raises ValueError: if the tag is taken or the types don't fit.
    """

    def decorate(kind: _MessageType) -> _MessageType:
        if tag in _MESSAGES or len(types) != len(kind.__slots__):
            raise ValueError(f'message {kind.__name__} does not fit its tag')
        kind.tag = tag
        kind.types = types
        _MESSAGES[tag] = kind
        return kind

    return decorate


def build_message(fields: object) -> Message:
    """Make a message from decoded fields.

    :param fields: what the codec decoded.
    :returns: the typed message.
    :raises WireError: if it is no message of this protocol.
    """
    if not isinstance(fields, list) or not fields:
        raise WireError('not a message')
    tag = fields.pop(0)
    kind = _MESSAGES.get(tag) if isinstance(tag, int) else None
    if kind is None:
        raise WireError(f'unknown message tag {tag!r:.40}')
    if not all(map(isinstance, fields, kind.types)):
        raise WireError(f'a field of {kind.__name__} has a wrong type')
    try:
        return kind(**dict(zip(kind.__slots__, fields, strict=False)))
    except TypeError as error:
        raise WireError(f'{kind.__name__} is too short') from error


@final
@message(1, int, str, bytes)
class Challenge(Message):
    """First message of the accepting side: prove that you know the secret."""

    __slots__ = ('protocol', 'name', 'nonce')  # noqa: WPS607

    def __init__(self, *, protocol: int, name: str, nonce: bytes) -> None:
        """Ask for a proof.

        :param protocol: version of the protocol.
        :param name: name of the sender.
        :param nonce: fresh random bytes.
        """
        self.protocol = protocol
        self.name = name
        self.nonce = nonce


@final
@message(2, int, str, str, bytes, bytes, int)
class Hello(Message):
    """Answer of the connecting side, with a challenge of its own."""

    __slots__ = (
        'protocol',
        'name',
        'incarnation',
        'nonce',
        'proof',
        'config_version',
    )

    def __init__(
        self,
        *,
        protocol: int,
        name: str,
        incarnation: str,
        nonce: bytes,
        proof: bytes,
        config_version: int,
    ) -> None:
        """Introduce the sender.

        :param protocol: version of the protocol.
        :param name: name of the sender.
        :param incarnation: changes with each start of the sender.
        :param nonce: fresh random bytes.
        :param proof: HMAC over the challenge.
        :param config_version: configuration in force at the sender.
        """
        self.protocol = protocol
        self.name = name
        self.incarnation = incarnation
        self.nonce = nonce
        self.proof = proof
        self.config_version = config_version


@final
@message(3, str, str, bytes)
class Welcome(Message):
    """Last message of the handshake."""

    __slots__ = ('name', 'incarnation', 'proof')  # noqa: WPS607

    def __init__(self, *, name: str, incarnation: str, proof: bytes) -> None:
        """Accept the peer.

        :param name: name of the sender.
        :param incarnation: changes with each start of the sender.
        :param proof: HMAC over the challenge in hello.
        """
        self.name = name
        self.incarnation = incarnation
        self.proof = proof


@final
@message(4, int, int, int, int, int, bool, int, int, int)
class Report(Message):
    """State of an agent, sent now and then and as the heartbeat."""

    __slots__ = (
        'limit',
        'running',
        'waiting',
        'mean_run_ms',
        'config_version',
        'leaving',
        'headroom',
        'token_gap_us',
        'first_token_ms',
    )

    def __init__(
        self,
        *,
        limit: int,
        running: int,
        waiting: int,
        mean_run_ms: int,
        config_version: int,
        leaving: bool,
        headroom: int = 0,
        token_gap_us: int = 0,
        first_token_ms: int = 0,
    ) -> None:
        """Report the load.

        :param limit: calls that may run at once.
        :param running: calls that run or hold a slot.
        :param waiting: offers that wait.
        :param mean_run_ms: mean time of a finished call.
        :param config_version: highest configuration the agent has seen.
        :param leaving: whether it takes no new work.
        :param headroom: slots of the limit that only tier 0 may take.
        :param token_gap_us: smoothed microseconds between two tokens.
        :param first_token_ms: smoothed time to a first token, uncached.
        """
        self.limit = limit
        self.running = running
        self.waiting = waiting
        self.mean_run_ms = mean_run_ms
        self.config_version = config_version
        self.leaving = leaving
        self.headroom = headroom
        self.token_gap_us = token_gap_us
        self.first_token_ms = first_token_ms


@final
@message(5, *_TERMS, *_TARGETS, str, bytes, str, bytes)
class Offer(Message):
    """Ask for a slot; carries all that an agent must know of the class."""

    __slots__ = (
        'call_id',
        'class_name',
        'tier',
        'customer',
        'worth',
        'share',
        'private',
        'first_left_ms',
        'complete_left_ms',
        'expires_ms',
        'eager',
        'first_token_ms',
        'token_gap_ms',
        'key',
        'digest',
        'home',
        'members',
    )

    def __init__(
        self,
        *,
        call_id: str,
        class_name: str,
        tier: int,
        customer: str,
        worth: float,
        share: float,
        private: int,
        first_left_ms: int,
        complete_left_ms: int,
        expires_ms: int,
        eager: bool = False,
        first_token_ms: int = 0,
        token_gap_ms: int = 0,
        key: str = '',
        digest: bytes = b'',
        home: str = '',
        members: bytes = b'',
    ) -> None:
        """Offer a call.

        :param call_id: id of the call, unique in the site.
        :param class_name: its class.
        :param tier: tier of the class, 0 is the highest.
        :param customer: who sent it.
        :param worth: weight of the customer.
        :param share: guaranteed share of starts of the class.
        :param private: private waiting places of the class.
        :param first_left_ms: time left to the first token, 0 for no target.
        :param complete_left_ms: time left to the end, 0 for no target.
        :param expires_ms: time left until the caller is refused.
        :param eager: whether run follows at once, without a grant.
        :param first_token_ms: target of the class, 0 for none.
        :param token_gap_ms: target of the class, 0 for none.
        :param key: idempotency key, empty for none.
        :param digest: digest of the request that the key stands for.
        :param home: what the key is homed by.
        :param members: digest of the endpoints that share such keys.
        """
        self.call_id = call_id
        self.class_name = class_name
        self.tier = tier
        self.customer = customer
        self.worth = worth
        self.share = share
        self.private = private
        self.first_left_ms = first_left_ms
        self.complete_left_ms = complete_left_ms
        self.expires_ms = expires_ms
        self.eager = eager
        self.first_token_ms = first_token_ms
        self.token_gap_ms = token_gap_ms
        self.key = key
        self.digest = digest
        self.home = home
        self.members = members


@final
@message(6, str)
class Grant(Message):
    """A slot is held for the call until run or withdraw comes."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Grant a slot.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(7, str, str, str, dict, bytes, int, int)
class Run(Message):
    """Start the call; the body goes to the endpoint as it is."""

    __slots__ = (
        'call_id',
        'method',
        'path',
        'headers',
        'body',
        'timeout_ms',
        'priority',
    )

    def __init__(
        self,
        *,
        call_id: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_ms: int,
        priority: int,
    ) -> None:
        """Start a call.

        :param call_id: the call.
        :param method: HTTP method.
        :param path: path and query at the endpoint.
        :param headers: headers for the endpoint.
        :param body: the request's body.
        :param timeout_ms: time left until the caller gives up.
        :param priority: tier, for engines that honour priorities.
        """
        self.call_id = call_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.timeout_ms = timeout_ms
        self.priority = priority


@final
@message(8, str)
class Withdraw(Message):
    """The offer is void; answered by withdrawn or by the running call."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Withdraw an offer.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(9, str)
class Withdrawn(Message):
    """Proof that the call has not run here and never will."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Confirm a withdrawal.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(10, str, str, int)
class Refused(Message):
    """The offer or run is refused; the call has not run here."""

    __slots__ = ('call_id', 'reason', 'retry_after_ms')  # noqa: WPS607

    def __init__(
        self,
        *,
        call_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Refuse a call.

        :param call_id: the call.
        :param reason: a word of :class:`RefusalReason`.
        :param retry_after_ms: estimate of when there is room.
        """
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@final
@message(11, str, int, dict)
class Head(Message):
    """Status and headers of the endpoint's answer."""

    __slots__ = ('call_id', 'status', 'headers')  # noqa: WPS607

    def __init__(
        self,
        *,
        call_id: str,
        status: int,
        headers: dict[str, str],
    ) -> None:
        """Start an answer.

        :param call_id: the call.
        :param status: HTTP status.
        :param headers: headers that callers may see.
        """
        self.call_id = call_id
        self.status = status
        self.headers = headers


@final
@message(12, str, int, bytes)
class Chunk(Message):
    """A piece of an answer's body."""

    __slots__ = ('call_id', 'offset', 'body')  # noqa: WPS607

    def __init__(self, *, call_id: str, offset: int, body: bytes) -> None:
        """Carry a piece.

        :param call_id: the call.
        :param offset: bytes of the body before this piece.
        :param body: the bytes, as the endpoint sent them.
        """
        self.call_id = call_id
        self.offset = offset
        self.body = body


@final
@message(13, str, int, str, str)
class End(Message):
    """The answer is over."""

    __slots__ = ('call_id', 'length', 'run', 'fault')  # noqa: WPS607

    def __init__(
        self,
        *,
        call_id: str,
        length: int,
        run: str = RunState.ran,
        fault: str = '',
    ) -> None:
        """End an answer.

        :param call_id: the call.
        :param length: bytes of the whole body.
        :param run: what is known about the run, see :class:`RunState`.
        :param fault: why the answer is not whole, empty if it is.
        """
        self.call_id = call_id
        self.length = length
        self.run = run
        self.fault = fault


@final
@message(14, str, int)
class Ack(Message):
    """The router has passed on all bytes before an offset."""

    __slots__ = ('call_id', 'offset')  # noqa: WPS607

    def __init__(self, *, call_id: str, offset: int) -> None:
        """Open the window of a call.

        :param call_id: the call.
        :param offset: bytes that need not be kept any more.
        """
        self.call_id = call_id
        self.offset = offset


@final
@message(15, str)
class Cancel(Message):
    """Nobody wants the answer any more; also closes a finished call."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Cancel a call.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(17, str, bytes)
class HomeMembers(Message):
    """Which endpoints share the idempotency keys of a home."""

    __slots__ = ('home', 'members')

    def __init__(self, *, home: str, members: bytes) -> None:
        """Tell the members.

        :param home: what the keys are homed by.
        :param members: digest of the endpoints.
        """
        self.home = home
        self.members = members


@final
@message(16, str, int, str)
class Resume(Message):
    """After a new connection: send the answer again from an offset."""

    __slots__ = ('call_id', 'offset', 'incarnation')  # noqa: WPS607

    def __init__(
        self,
        *,
        call_id: str,
        offset: int,
        incarnation: str = '',
    ) -> None:
        """Resume an answer.

        :param call_id: the call.
        :param offset: bytes that the router has.
        :param incarnation: that of the agent when the run was sent.
        """
        self.call_id = call_id
        self.offset = offset
        self.incarnation = incarnation
