"""The HTTP API for callers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, final

import bottle
import orjson
from returns.result import Failure, Result, Success

from wingfall.decision.overload import admits
from wingfall.errors import Refusal, RunState
from wingfall.http_server import SOCKET_KEY
from wingfall.log import part_logger
from wingfall.router.reply import Reply, render_refusal
from wingfall.tcp import peer_closed

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.clock import Clock
    from wingfall.config.copy import ConfigCopy
    from wingfall.decision.customer_limits import CustomerLimits, Overuse
    from wingfall.loop_lag import LoopLag
    from wingfall.metrics import Metrics
    from wingfall.router.dispatcher import Dispatcher
    from wingfall.router.intake import Intake
    from wingfall.router.request import Request

_RETRY_MS: Final = 1000
_ANY_METHOD: Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')

logger = part_logger('router.api')


@final
class CallerApi:
    """Routes of the caller port."""

    __slots__ = (
        '_clock',
        '_copy',
        '_customer_limits',
        '_dispatcher',
        '_draining',
        '_held',
        '_intake',
        '_lag',
        '_limits',
        '_metrics',
        'app',
    )

    def __init__(
        self,
        *,
        limits: SimpleNamespace,
        clock: Clock,
        copy: ConfigCopy,
        intake: Intake,
        dispatcher: Dispatcher,
        customer_limits: CustomerLimits,
        lag: LoopLag,
        metrics: Metrics,
    ) -> None:
        """Set up the routes.

        :param limits: limits of the settings.
        :param clock: the time.
        :param copy: the configuration.
        :param intake: checks requests.
        :param dispatcher: runs them.
        :param customer_limits: limits of customers.
        :param lag: lag of the loop.
        :param metrics: where answers are counted.
        """
        self._limits = limits
        self._clock = clock
        self._copy = copy
        self._intake = intake
        self._dispatcher = dispatcher
        self._customer_limits = customer_limits
        self._lag = lag
        self._metrics = metrics
        self._held: dict[str, Request] = {}
        self._draining = False
        self.app = self._make_app()

    @property
    def held(self) -> int:
        """Requests that are not answered to their end."""
        return len(self._held)

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._draining

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._draining = True

    def chat_completions(self) -> bottle.HTTPResponse:
        """Serve ``POST /v1/chat/completions``."""
        return self._serve_model('/v1/chat/completions')

    def completions(self) -> bottle.HTTPResponse:
        """Serve ``POST /v1/completions``."""
        return self._serve_model('/v1/completions')

    def service(self, name: str, path: str = '') -> bottle.HTTPResponse:
        """Serve ``/services/NAME/...``.

        :param name: name of the service.
        :param path: path at the service.
        :returns: the response.
        """
        return self._serve(
            self._intake.read_service_request(bottle.request, name, path),
        )

    def models(self) -> bottle.HTTPResponse:
        """Serve ``GET /v1/models``."""
        customer = self._intake.authenticate(bottle.request)
        if not isinstance(customer, Success):
            return render_refusal(customer.failure())
        names = {
            model
            for endpoint in self._copy.endpoints
            for model in endpoint.models
        }
        listed = [{'id': name, 'object': 'model'} for name in sorted(names)]
        return bottle.HTTPResponse(
            orjson.dumps({'object': 'list', 'data': listed}),
            headers={'Content-Type': 'application/json'},
        )

    def _make_app(self) -> bottle.Bottle:
        app = bottle.Bottle()
        app.post('/v1/chat/completions', callback=self.chat_completions)
        app.post('/v1/completions', callback=self.completions)
        app.get('/v1/models', callback=self.models)
        app.route('/services/<name>', _ANY_METHOD, self.service)
        app.route('/services/<name>/<path:path>', _ANY_METHOD, self.service)
        app.default_error_handler = _render_error
        return app

    def _serve_model(self, path: str) -> bottle.HTTPResponse:
        return self._serve(
            self._intake.read_model_request(bottle.request, path),
        )

    def _serve(
        self,
        read: Result[Request, Refusal],
    ) -> bottle.HTTPResponse:
        admitted = read.bind(self._admit)
        if not isinstance(admitted, Success):
            read.map(lambda request: request.free())
            refusal = admitted.failure()
            logger.info('Refused a request: %s.', refusal.code)
            self._count('', refusal.status, refusal.run)
            return render_refusal(refusal)
        return self._dispatch(admitted.unwrap())

    def _admit(self, request: Request) -> Result[Request, Refusal]:
        if self._draining:
            return Failure(_busy('draining', 'this router is stopping'))
        room = admits(
            tier=request.request_class.tier,
            held=self.held,
            bound=self._limits.waiting,
            lag_ms=self._lag.worst_ms,
        )
        if not room:
            return Failure(_busy('router_full', 'this router has no room'))
        admitted = self._customer_limits.admit(request.customer)
        return admitted.map(lambda _none: request).alt(_over_limit)

    def _dispatch(self, request: Request) -> bottle.HTTPResponse:
        sock = bottle.request.environ[SOCKET_KEY]
        self._held[request.request_id] = request
        passed_on = False
        try:
            dispatched = self._dispatcher.dispatch(
                request,
                lambda: peer_closed(sock),
            )
            if isinstance(dispatched, Success):
                reply = self._make_reply(request, dispatched.unwrap())
                response = reply.render()
                passed_on = True
                return response
            refusal = dispatched.failure()
            self._note_end(request, refusal.status, refusal.run, refusal)
            return render_refusal(refusal, request.request_id)
        finally:
            if not passed_on:
                self._release(request)

    def _make_reply(self, request: Request, answer: Any) -> Reply:
        return Reply(
            answer=answer,
            request_id=request.request_id,
            collect_bytes=self._limits.window_bytes,
            ended=lambda *ending: self._note_end(request, *ending),
        )

    def _note_end(
        self,
        request: Request,
        status: int,
        run: RunState,
        fault: Refusal | None,
    ) -> None:
        self._release(request)
        class_name = request.request_class.name
        logger.info(
            'Request %s class %s: status %d, %s, %s, after %d ms.',
            request.request_id,
            class_name,
            status,
            run,
            fault.code if fault else 'whole',
            self._clock.now_ms() - request.arrived_ms,
        )
        self._count(class_name, status, run)

    def _release(self, request: Request) -> None:
        if self._held.pop(request.request_id, None) is not None:
            self._customer_limits.release(request.customer)
            request.free()

    def _count(self, class_name: str, status: int, run: RunState) -> None:
        self._metrics.answers.inc(
            {
                'class': class_name,
                'status': str(status),
                'run': str(run),
            }
        )


def _busy(code: str, message: str) -> Refusal:
    return Refusal(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity_error',
        code=code,
        message=message,
        retry_after_ms=_RETRY_MS,
    )


def _over_limit(overuse: Overuse) -> Refusal:
    return Refusal(
        status=HTTPStatus.TOO_MANY_REQUESTS,
        kind='rate_limit_error',
        code=overuse.code,
        message='the limit of this customer is reached',
        retry_after_ms=overuse.retry_after_ms,
    )


def _render_error(error: bottle.HTTPError) -> bytes:
    if error.exception is not None:
        logger.error('A request failed: %r.', error.exception)
    no_such_path = error.status_code == HTTPStatus.NOT_FOUND
    refusal = Refusal(
        status=error.status_code,
        kind='invalid_request_error',
        code='not_found' if no_such_path else 'http_error',
        message=str(error.body),
        run=RunState.unknown if error.exception else RunState.not_run,
    )
    response = render_refusal(refusal)
    error.headers.update(response.headers)
    return response.body
