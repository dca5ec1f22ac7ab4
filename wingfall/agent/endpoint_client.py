"""HTTP to the endpoint beside this agent."""

from __future__ import annotations

import functools
import http
import weakref
from typing import TYPE_CHECKING, Callable, Final, final

import urllib3
from returns.result import Failure, Result, Success

from wingfall.address_probe import probe_address
from wingfall.agent.endpoint_http import EndpointHttpConnection
from wingfall.answer_evidence import PROOFS, EndEvidence, find_evidence
from wingfall.answer_status import is_final_status
from wingfall.clock import MS_PER_S
from wingfall.errors import RunState
from wingfall.tcp import read_state

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.clock import Clock
    from wingfall.wire.call_messages import Run

# Maximum bytes of a piece of an answer; a chunk may have any length.
_READ_BYTES: Final = 65_536
_GRACE_MS: Final = 1000
_BODILESS_STATUSES: Final = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED),
)
_KEPT_HEADERS: Final = frozenset(
    ('content-type', 'cache-control', 'location', 'etag', 'last-modified'),
)


@final
class EndpointFault:
    """Why an endpoint gave no whole answer."""

    __slots__ = ('message', 'run')

    def __init__(self, *, message: str, run: RunState) -> None:
        """Describe the fault.

        :param message: what happened.
        :param run: what is known about the run.
        """
        self.message = message
        self.run = run


@final
class EndpointAnswer:
    """An answer whose head has come."""

    __slots__ = ('_find_evidence', '_has_length', '_method', '_response')

    def __init__(
        self,
        *,
        method: str,
        response: urllib3.BaseHTTPResponse,
        find_end_evidence: Callable[[], EndEvidence],
    ) -> None:
        """Wrap the response.

        :param method: HTTP method of the request.
        :param response: the response, its body still unread.
        :param find_end_evidence: looks for evidence that the endpoint outlives
            an answer that has just ended with its connection.
        """
        self._method = method
        self._response = response
        # False also if the endpoint's length can't be read.
        self._has_length = response.length_remaining is not None
        self._find_evidence = find_end_evidence

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> dict[str, str]:
        """Headers that callers may see, in lower case."""
        return {
            name.lower(): text
            for name, text in self._response.headers.items()
            if name.lower() in _KEPT_HEADERS
        }

    def pieces(self) -> Iterator[Result[bytes, EndpointFault]]:
        """Read the body as it comes.

        :yields: bytes, then nothing if the body was whole, else the fault.
        """
        try:
            yield from map(Success, self._read())
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield Failure(
                EndpointFault(
                    message=f'the endpoint cut its answer: {error}',
                    run=RunState.ran,
                ),
            )

    def close(self) -> None:
        """Drop the connection unless the body was read to its end."""
        self._response.close()

    def release(self) -> None:
        """Keep the connection for the next call."""
        self._response.release_conn()

    def _read(self) -> Iterator[bytes]:
        if getattr(self._response, 'chunked', False):
            yield from self._response.stream(amt=_READ_BYTES)
            return
        while received := self._response.read1(_READ_BYTES):
            yield received
        if self._ends_with_connection:
            self._check_end()

    @property
    def _ends_with_connection(self) -> bool:
        if self._method == 'HEAD' or self.status in _BODILESS_STATUSES:
            return False
        return not self._has_length

    def _check_end(self) -> None:
        evidence = self._find_evidence()
        if evidence not in PROOFS:
            raise urllib3.exceptions.ProtocolError(
                f'nothing shows that it outlives its answer ({evidence})'
            )


@final
class EndpointClient:
    """Opens calls at the endpoint."""

    __slots__ = (
        '_clock',
        '_connect_s',
        '_connections',
        '_has_stood_still',
        '_idle_s',
        '_pool',
        '_prefix',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        url: str,
        slots: int,
        connect_ms: int,
        idle_ms: int,
        has_stood_still: Callable[[int], bool],
    ) -> None:
        """Set up the client; no connection is made yet.

        :param clock: clock of this agent.
        :param url: base URL of the endpoint.
        :param slots: connections to keep.
        :param connect_ms: bound of a connect.
        :param idle_ms: longest silence of a call.
        :param has_stood_still: returns whether this process stood still within
            some milliseconds before now.
        """
        self._clock = clock
        self._has_stood_still = has_stood_still
        self._connections: weakref.WeakSet[EndpointHttpConnection] = (
            weakref.WeakSet()
        )
        self._connect_s = connect_ms / MS_PER_S
        self._idle_s = idle_ms / MS_PER_S
        parsed = urllib3.util.parse_url(url)
        self._prefix = (parsed.path or '').rstrip('/')
        self._pool = urllib3.connection_from_url(
            url,
            maxsize=slots,
            retries=False,
            write_timeout_s=self._idle_s,
            connections=self._connections,
        )
        self._pool.ConnectionCls = EndpointHttpConnection

    def open(self, run: Run) -> Result[EndpointAnswer, EndpointFault]:
        """Send a call and wait for the head of its answer.

        :param run: the call.
        :returns: the answer, or the fault, which says ``not_run`` only if
            no byte of the request can have reached the endpoint.
        """
        timeout = urllib3.Timeout(
            connect=self._connect_s,
            # The router is the judge of its caller's time; this is for a
            # router that can't cancel.
            read=min(self._idle_s, (run.timeout_ms + _GRACE_MS) / MS_PER_S),
        )
        try:
            response = self._pool.urlopen(
                run.method,
                self._prefix + run.path,
                body=run.body,
                headers=run.headers,
                timeout=timeout,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Failure(_fault(error, RunState.not_run))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(_fault(error, RunState.unknown))
        if not is_final_status(response.status):
            response.close()
            error = urllib3.exceptions.ProtocolError(response.status)
            return Failure(_fault(error, RunState.unknown))
        return Success(
            EndpointAnswer(
                method=run.method,
                response=response,
                find_end_evidence=self._find_evidence,
            )
        )

    def _find_evidence(self) -> EndEvidence:
        pool = self._pool
        others = [each.sock for each in self._connections if not each.has_ended]
        return find_evidence(
            self._clock,
            functools.partial(probe_address, pool.host, pool.port),
            lambda: list(map(read_state, others)),
            self._has_stood_still,
        )


def _fault(error: Exception, run: RunState) -> EndpointFault:
    message = f'the endpoint gave no answer: {type(error).__name__}'
    return EndpointFault(message=message, run=run)
