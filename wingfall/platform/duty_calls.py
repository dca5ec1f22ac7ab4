"""The platform's calls that only the holder of a duty makes, over HTTP.

Each goes over a connection of its own, which is reset as it ends: what was not
delivered by then must not arrive later, when another gateway holds the duty.
"""

from __future__ import annotations

import http
import socket
import struct
from typing import TYPE_CHECKING, Final, final

import gevent
import orjson
import urllib3
from returns.result import Failure, Result, Success

from wingfall.answer_head import make_pool_manager
from wingfall.clock import MS_PER_S
from wingfall.errors import PlatformError

if TYPE_CHECKING:
    from wingfall.gateway.model.duty import Fence, UsageReport
    from wingfall.metrics import Metrics

_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
)
# Characters of an error's text that are logged.
_MAX_MESSAGE: Final = 200


@final
class HttpDutyCalls:
    """Makes the calls; each is counted, each failure is a value."""

    __slots__ = ('_metrics', '_url')

    def __init__(self, *, address: str, metrics: Metrics) -> None:
        """Set the calls up; none is made yet.

        :param address: ``host:port`` that takes them.
        :param metrics: where they are counted.
        """
        self._url = f'http://{address}'
        self._metrics = metrics

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        timeout_ms: int,
    ) -> Result[None, PlatformError]:
        """Report a window.

        :param report: the requests of each customer.
        :param fence: under which right.
        :param timeout_ms: how long all of it may take.
        :returns: nothing, or why it is not known to have been taken.
        """
        body = {'window_id': report.window, 'counts': report.counts}
        return self._post('/usage', orjson.dumps(body), fence, timeout_ms)

    def _post(
        self,
        path: str,
        body: bytes,
        fence: Fence,
        timeout_ms: int,
    ) -> Result[None, PlatformError]:
        headers = {
            'Content-Type': 'application/json',
            'X-Duty-Holder': fence.holder,
            'X-Fence-Token': str(fence.token),
        }
        pool = make_pool_manager(
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )
        answer = Failure(PlatformError(status=0, message='no answer in time'))
        try:
            with gevent.Timeout(timeout_ms / MS_PER_S, False):  # noqa: FBT003
                answer = _read_answer(
                    pool.request(
                        'POST',
                        self._url + path,
                        body=body,
                        headers=headers,
                        preload_content=False,
                    ),
                )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer = Failure(PlatformError(status=0, message=str(error)))
        finally:
            pool.clear()
        self._count(answer)
        return answer

    def _count(self, answer: Result[None, PlatformError]) -> None:
        done = isinstance(answer, Success)
        status = http.HTTPStatus.OK if done else answer.failure().status
        labels = {'verb': 'POST', 'status': str(int(status))}
        self._metrics.platform_calls.inc(labels)


def _read_answer(
    response: urllib3.BaseHTTPResponse,
) -> Result[None, PlatformError]:
    # The status says all; an answer may have any length.
    if response.status == http.HTTPStatus.OK:
        return Success(None)
    received = response.read(_MAX_MESSAGE)
    message = received.decode(errors='replace')
    return Failure(PlatformError(status=response.status, message=message))
