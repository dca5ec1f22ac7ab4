"""The platform's object API, in the manner of the Kubernetes REST API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

import orjson
import urllib3
from returns.result import Failure, Result, Success

from wingfall.answer_head import make_pool_manager
from wingfall.clock import MS_PER_S
from wingfall.errors import PlatformError
from wingfall.object_api.bounded_answer import (
    AnswerTime,
    read_lines,
    read_pieces,
)
from wingfall.object_api.readings import (
    ObjectList,
    Vm,
    WatchEvent,
    read_event,
    read_list,
    read_vms,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.metrics import Metrics


_FIRST_ERROR: Final = 300
_OBJECTS: Final = '/apis/wingfall/v1/objects'
_VMS: Final = '/apis/wingfall/v1/vms'
_WATCH_SLACK_MS: Final = 2000
# Characters of an error's text that are kept, and the bytes they may take.
_MAX_MESSAGE: Final = 200
_MAX_MESSAGE_BYTES: Final = 800


@final
class HttpObjectApi:
    """The object API over HTTP; calls are counted in the metrics."""

    __slots__ = ('_metrics', '_pool', '_timeout_ms', '_url')

    def __init__(
        self,
        *,
        url: str,
        timeout_ms: int,
        metrics: Metrics,
    ) -> None:
        """Set up the client; no call is made yet.

        :param url: base URL of the API.
        :param timeout_ms: bound of a short call.
        :param metrics: where calls are counted.
        """
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._metrics = metrics
        self._pool = make_pool_manager(retries=False)

    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """Read all objects.

        :returns: the list, or why there is none.
        """
        return self._call('GET', _OBJECTS).bind(read_list)

    def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Read the list of VMs, which lags.

        :returns: the VMs, or why there are none.
        """
        return self._call('GET', _VMS).bind(read_vms)

    def read(self, kind: str, name: str) -> Result[Any, PlatformError]:
        """Read one object.

        :param kind: its kind.
        :param name: its name.
        :returns: the object as JSON, or why there is none.
        """
        return self._call('GET', f'{_OBJECTS}/{kind}/{name}')

    def write(self, raw: dict[str, Any]) -> Result[Any, PlatformError]:
        """Create or replace an object.

        With a ``resourceVersion`` the write is conditional on it; without
        one the object must not exist yet.

        :param raw: the object as JSON.
        :returns: the object as accepted, or why it was not.
        """
        kind, name = raw['kind'], raw['metadata']['name']
        return self._call('PUT', f'{_OBJECTS}/{kind}/{name}', raw)

    def delete(
        self,
        kind: str,
        name: str,
        version: str,
    ) -> Result[Any, PlatformError]:
        """Delete an object that still has a version.

        :param kind: its kind.
        :param name: its name.
        :param version: its version.
        :returns: success, or why it was not deleted.
        """
        path = f'{_OBJECTS}/{kind}/{name}?resourceVersion={version}'
        return self._call('DELETE', path)

    def watch_objects(
        self,
        version: int,
        timeout_ms: int,
    ) -> Iterator[Result[WatchEvent, PlatformError]]:
        """Wait for changes after a version.

        :param version: the last version that is known.
        :param timeout_ms: how long the platform keeps the watch open.
        :yields: the changes in their order; ends when the watch ends.
        """
        query = f'?watch=1&resourceVersion={version}&timeoutMs={timeout_ms}'
        silence_ms = timeout_ms + _WATCH_SLACK_MS
        answer_time = AnswerTime(wait_ms=timeout_ms)
        opened = self._open(
            'GET', _OBJECTS + query, None, silence_ms, answer_time
        )
        if not isinstance(opened, Success):
            yield Failure(opened.failure())
            return
        response = opened.unwrap()
        try:
            for line in read_lines(response, answer_time):
                yield read_event(line)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            yield Failure(PlatformError(status=0, message=str(error)))
        finally:
            response.close()

    def _call(
        self,
        verb: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Result[Any, PlatformError]:
        answer_time = AnswerTime(wait_ms=0)
        opened = self._open(verb, path, body, self._timeout_ms, answer_time)
        if not isinstance(opened, Success):
            return opened
        response = opened.unwrap()
        try:
            return Success(orjson.loads(_read_body(response, answer_time)))
        except (
            urllib3.exceptions.HTTPError,
            orjson.JSONDecodeError,
            OSError,
        ) as error:
            return Failure(PlatformError(status=0, message=str(error)))
        finally:
            response.release_conn()

    def _open(
        self,
        verb: str,
        path: str,
        body: dict[str, Any] | None,
        silence_ms: int,
        answer_time: AnswerTime,
    ) -> Result[urllib3.BaseHTTPResponse, PlatformError]:
        try:
            with answer_time.bound():
                response = self._request(verb, path, body, silence_ms)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._count(verb, 0)
            return Failure(PlatformError(status=0, message=str(error)))
        self._count(verb, response.status)
        if response.status < _FIRST_ERROR:
            return Success(response)
        return Failure(_read_error(response, answer_time))

    def _request(
        self,
        verb: str,
        path: str,
        body: dict[str, Any] | None,
        silence_ms: int,
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            verb,
            self._url + path,
            body=None if body is None else orjson.dumps(body),
            headers={'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(
                connect=self._timeout_ms / MS_PER_S,
                read=silence_ms / MS_PER_S,
            ),
            preload_content=False,
        )

    def _count(self, verb: str, status: int) -> None:
        self._metrics.platform_calls.inc({'verb': verb, 'status': str(status)})


def _read_error(
    response: urllib3.BaseHTTPResponse, answer_time: AnswerTime
) -> PlatformError:
    try:
        received = _read_body(response, answer_time)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        text = str(error)
    else:
        text = received[:_MAX_MESSAGE_BYTES].decode(errors='replace')
    return PlatformError(status=response.status, message=text[:_MAX_MESSAGE])


def _read_body(
    response: urllib3.BaseHTTPResponse, answer_time: AnswerTime
) -> bytearray:
    received = bytearray()
    try:
        for piece in read_pieces(response, answer_time):
            received.extend(piece)
    except urllib3.exceptions.ProtocolError:
        # The rest of the answer would stand before the next one.
        response.close()
        raise
    return received
