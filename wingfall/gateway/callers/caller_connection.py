"""One HTTP connection of a caller, which serves its requests in sequence.

Owns the socket and the HTTP protocol state. While a call is served, a second
greenlet watches the socket and ends the call when the caller disconnects.
:mod:`wingfall.gateway.calls` produces the responses.
"""

from __future__ import annotations

import functools
import http
import socket
import traceback
from typing import TYPE_CHECKING, Final, final

import gevent
import h11
from gevent.socket import wait_read
from returns.result import Failure, Success

from wingfall.errors import RunState
from wingfall.gateway.callers.body_reception import BodyReception
from wingfall.gateway.callers.caller_writer import (
    CallerDisconnectedError,
    CallerWriter,
)
from wingfall.gateway.callers.request_memory import RequestMemory, find_urgency
from wingfall.gateway.callers.request_reader import (
    HeadMemoryError,
    RequestReader,
    RequestTimeoutError,
)
from wingfall.gateway.calls.dispatcher import (
    Dispatch,
    GatewayStoppingError,
    ReplyCutError,
)
from wingfall.gateway.calls.final_answer import (
    note_answer,
    send_head_refusal,
    send_malformed_request_error,
    send_refusal,
)
from wingfall.gateway.calls.intake import DEFAULT_TIMEOUT_MS, accept_call
from wingfall.gateway.calls.reply import Reply
from wingfall.gateway.model.routes import CallerLimits
from wingfall.gateway.rules.admission.refusals import (
    refuse_fault,
    refuse_short_memory,
    refuse_stopping,
)
from wingfall.log import log_event
from wingfall.tcp import is_readable, reset, set_no_delay

if TYPE_CHECKING:
    from gevent import Greenlet

    from wingfall.errors import Refusal
    from wingfall.gateway.callers.caller_memory import CallerMemory
    from wingfall.gateway.model.call import Call, CallHead
    from wingfall.gateway.model.request_body import RequestBody
    from wingfall.gateway.rules.planned_stop import StopAdmission
    from wingfall.gateway.state import GatewayState

# Time in which a new connection may send its first request although the gateway
# is stopping.
_FIRST_REQUEST_GRACE_MS: Final = 500


# Errors after which a connection is closed without a further answer.
_END_ERRORS: Final = (
    CallerDisconnectedError,
    GatewayStoppingError,
    OSError,
    ReplyCutError,
    RequestTimeoutError,
)


@final
class CallerConnection:
    """Reads requests, dispatches them and detects a caller's disconnect."""

    __slots__ = (
        '_body',
        '_closing',
        '_greenlet',
        '_http',
        '_idle_since_ms',
        '_memory',
        '_reader',
        '_socket',
        '_state',
        '_stop',
        '_writer',
        'is_busy',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        state: GatewayState,
        stop: StopAdmission,
        memory: CallerMemory,
    ) -> None:
        """Create the handler of an accepted connection.

        :param sock: socket of the connection.
        :param state: state that all connections of the gateway share.
        :param stop: decides which calls are taken in a planned stop.
        :param memory: memory that the requests of all connections share.
        """
        self._stop = stop
        set_no_delay(sock)
        self._socket = sock
        self._state = state
        # What refers to this connection would keep it as garbage after its end.
        limits = functools.partial(_find_limits, state)
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits().head_bytes,
        )
        self._writer = CallerWriter(
            sock=sock,
            http=self._http,
            clock=state.clock,
            answers=state.ends.endless.memory,
        )
        self._reader = RequestReader(
            sock=sock,
            http=self._http,
            clock=state.clock,
            limits=limits,
            heads=memory.heads,
        )
        self._memory = RequestMemory(
            sock=sock, memory=memory, clock=state.clock
        )
        self._body = BodyReception(
            http=self._http,
            reader=self._reader,
            memory=self._memory,
            state=state,
            limits=limits,
            write=self._writer.write,
        )
        self._closing = False
        # Serves the connection.
        self._greenlet: Greenlet | None = None
        # When the connection was opened or its last request ended.
        self._idle_since_ms = state.clock.now_ms()
        self.is_busy = False

    def run(self) -> bool:
        """Serve requests until either side closes the connection.

        :returns: whether the socket is left open, since a request was answered
            without being read whole.
        """
        self._greenlet = gevent.getcurrent()
        try:
            while self._serve_next():
                self._reader.prepare_next_request()
                # The next request may be there already, which is read without
                # a turn of the loop.
                gevent.sleep(0)
        except h11.RemoteProtocolError as error:
            self._refuse_invalid_request(error)
        except HeadMemoryError:
            self._refuse_head()
        except _END_ERRORS:
            self._closing = True
        finally:
            self.is_busy = False
            self._close()
        return self._is_answered_unread

    def end_call(self) -> None:
        """End the request in progress with an answer, unless one has begun."""
        self._closing = True
        is_unanswered = self._http.our_state is h11.SEND_RESPONSE
        if self.is_busy and is_unanswered and self._greenlet is not None:
            self._greenlet.kill(GatewayStoppingError, block=False)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or arriving.

        A new connection is given time to send its first request.
        """
        self._closing = True
        age_ms = self._state.clock.now_ms() - self._idle_since_ms
        if (
            self.is_busy
            or self._reader.received
            or age_ms < _FIRST_REQUEST_GRACE_MS
        ):
            return
        if is_readable(self._socket):
            return
        self._reader.is_shut_down = True
        try:
            # Wakes the greenlet that is blocked in a read.
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:  # The caller has already disconnected.
            return

    @property
    def _is_answered_unread(self) -> bool:
        # An answer was sent to a request that was not read whole.
        return self._http.our_state in {
            h11.DONE,
            h11.MUST_CLOSE,
        } and self._http.their_state in {h11.IDLE, h11.SEND_BODY, h11.ERROR}

    def _close(self) -> None:
        # To a caller without chunks, the end of the connection is the end of
        # the answer.
        version = self._http.their_http_version or b''
        if self._is_answered_unread:
            return
        if self._http.our_state is h11.SEND_BODY and version < b'1.1':
            reset(self._socket)
        else:
            self._socket.close()

    def _serve_next(self) -> bool:
        request = self._reader.read_request()
        if request is None:
            return False
        arrived_ms = self._state.clock.now_ms()
        self.is_busy = True
        head = self._state.binding.read_call(
            request.method,
            request.target,
            request.headers.raw_items(),
        )
        try:
            is_served = self._serve_request(request, head, arrived_ms)
        finally:
            self._memory.release()
        self.is_busy = False
        self._idle_since_ms = self._state.clock.now_ms()
        return is_served and self._is_reusable()

    def _serve_request(
        self, request: h11.Request, head: CallHead, arrived_ms: int
    ) -> bool:
        try:
            received = self._body.receive(request, head)
        except GatewayStoppingError:
            received = Failure(refuse_stopping(RunState.not_run))
        except MemoryError as error:
            log_event('callers', 'There is no memory.', error=repr(error))
            urgency = find_urgency(self._state.routes, head)
            received = Failure(refuse_short_memory(urgency.left_ms))
        if not isinstance(received, Success):
            self._closing = True
            # The answer may have to wait for its caller.
            self._memory.release()
            send_refusal(
                self._state, self._make_reply(), head, received.failure()
            )
            return False
        self._respond(head, received.unwrap(), arrived_ms)
        return True

    def _respond(
        self,
        head: CallHead,
        body: RequestBody,
        arrived_ms: int,
    ) -> None:
        reply = self._make_reply(has_body=head.method != b'HEAD')
        outcome = accept_call(self._state.routes, head, body, arrived_ms)
        call = outcome.unwrap() if isinstance(outcome, Success) else None
        refusal = self._serve(call, reply) if call else outcome.failure()
        if refusal is not None:
            send_refusal(self._state, reply, head, refusal, call)

    def _serve(self, call: Call, reply: Reply) -> Refusal | None:
        route, now_ms = call.route, self._state.clock.now_ms()
        if not self._stop.admits(route.name, route.target_ms, now_ms):
            return refuse_stopping(RunState.not_run)
        call.memory = self._memory.reservation
        dispatch = Dispatch(state=self._state, call=call, reply=reply)
        watcher = gevent.spawn(self._watch_for_disconnect, gevent.getcurrent())
        refusal = None
        try:
            refusal = dispatch.serve()
        except (CallerDisconnectedError, ReplyCutError, OSError):
            raise
        except GatewayStoppingError:
            refusal = _refuse_ended(dispatch, reply)
        except Exception:  # Internal error; the caller still gets a response.
            refusal = self._note_fault(call, reply)
        finally:
            self._end_dispatch(dispatch, watcher)
            if refusal is None:
                self._note_end(call, reply)
        return refusal

    def _end_dispatch(self, dispatch: Dispatch, watcher: Greenlet) -> None:
        watcher.kill(block=False)
        dispatch.release()

    def _note_end(self, call: Call, reply: Reply) -> None:
        note_answer(self._state, call, reply)
        if reply.finished and reply.status < http.HTTPStatus.BAD_REQUEST:
            duration_ms = self._state.clock.now_ms() - call.arrived_ms
            self._stop.note_answer(call.route.name, duration_ms)

    def _note_fault(self, call: Call, reply: Reply) -> Refusal:
        self._state.metrics.decisions.inc({'part': 'calls', 'reason': 'fault'})
        log_event(
            'gateway',
            'A fault of the program ended a call.',
            call=call.call_id,
            trace=traceback.format_exc(),
        )
        if reply.started:
            raise ReplyCutError
        return refuse_fault()

    def _make_reply(self, *, has_body: bool = True) -> Reply:
        return Reply(
            has_body=has_body,
            write=self._writer.write,
            is_closing=lambda: self._closing or self._state.draining,
            now_ms=self._state.clock.now_ms,
        )

    def _is_reusable(self) -> bool:
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._closing
        )

    def _watch_for_disconnect(self, serving: Greenlet) -> None:
        try:
            wait_read(self._socket.fileno())
            disconnected = not self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            disconnected = True
        if disconnected:
            serving.kill(CallerDisconnectedError, block=False)

    def _refuse_head(self) -> None:
        self._closing = True
        refusal = refuse_short_memory(DEFAULT_TIMEOUT_MS)
        try:
            send_head_refusal(self._state, self._make_reply(), refusal)
        except CallerDisconnectedError:
            return

    def _refuse_invalid_request(self, error: h11.RemoteProtocolError) -> None:
        self._closing = True
        status = error.error_status_hint or http.HTTPStatus.BAD_REQUEST
        log_event(
            'callers',
            'Rejected an invalid HTTP request.',
            status=status,
            error=str(error),
        )
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        try:
            send_malformed_request_error(self._make_reply(), status)
        except (CallerDisconnectedError, h11.LocalProtocolError):
            return


def _refuse_ended(dispatch: Dispatch, reply: Reply) -> Refusal:
    if reply.started:
        raise ReplyCutError
    return refuse_stopping(dispatch.run_state)


def _find_limits(state: GatewayState) -> CallerLimits:
    return CallerLimits() if state.routes is None else state.routes.limits
