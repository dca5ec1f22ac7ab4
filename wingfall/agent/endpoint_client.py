"""HTTP to the endpoint beside this agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import urllib3
from returns.result import Failure, Result, Success

from wingfall.agent.endpoint_http import EndpointHttpConnection
from wingfall.clock import MS_PER_S
from wingfall.errors import RunState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.wire.call_messages import Run

_READ_BYTES: Final = 65_536
_GRACE_MS: Final = 1000
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

    __slots__ = ('_response',)

    def __init__(self, *, response: urllib3.BaseHTTPResponse) -> None:
        """Wrap the response.

        :param response: the response, its body still unread.
        """
        self._response = response

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
            yield from self._response.stream(amt=None)
            return
        while received := self._response.read1(_READ_BYTES):
            yield received


@final
class EndpointClient:
    """Opens calls at the endpoint."""

    __slots__ = ('_connect_s', '_idle_s', '_pool', '_prefix')

    def __init__(
        self,
        *,
        url: str,
        slots: int,
        connect_ms: int,
        idle_ms: int,
    ) -> None:
        """Set up the client; no connection is made yet.

        :param url: base URL of the endpoint.
        :param slots: connections to keep.
        :param connect_ms: bound of a connect.
        :param idle_ms: longest silence of a call.
        """
        self._connect_s = connect_ms / MS_PER_S
        self._idle_s = idle_ms / MS_PER_S
        parsed = urllib3.util.parse_url(url)
        self._prefix = (parsed.path or '').rstrip('/')
        self._pool = urllib3.connection_from_url(
            url,
            maxsize=slots,
            retries=False,
            write_timeout_s=self._idle_s,
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
        return Success(EndpointAnswer(response=response))


def _fault(error: Exception, run: RunState) -> EndpointFault:
    message = f'the endpoint gave no answer: {type(error).__name__}'
    return EndpointFault(message=message, run=run)
