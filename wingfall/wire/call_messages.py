"""The messages of a call that has a slot: run, answer, resume."""

from __future__ import annotations

from typing import final

from wingfall.errors import RunState
from wingfall.wire.message import Message, message
from wingfall.wire.shapes import MapOf


@final
@message(7, str, str, str, MapOf(str), bytes, int, int)
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
@message(11, str, int, MapOf(str))
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
