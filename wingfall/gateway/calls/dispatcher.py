"""Service of a call: sends attempts until an endpoint has answered.

Defines only the order of the steps. Each decision is a rule of
:mod:`wingfall.gateway.rules`; :mod:`wingfall.gateway.calls.destination`
collects the inputs.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Final, final

import gevent
from returns.result import Failure, Result, Success

from wingfall.clock import MS_PER_S
from wingfall.errors import RunState
from wingfall.gateway.calls.admission import admit_prompt
from wingfall.gateway.calls.attempt import Attempt
from wingfall.gateway.calls.attempt_outcome import (
    AttemptLimits,
    AttemptOutcome,
    BufferedAnswer,
    CallAnswers,
)
from wingfall.gateway.calls.attempt_tracker import AttemptTracker
from wingfall.gateway.calls.destination import choose_destination
from wingfall.gateway.calls.shared_prefill_wait import await_shared_prefill
from wingfall.gateway.calls.stream_continuation import find_continuation
from wingfall.gateway.calls.stream_endpoints import (
    list_usable,
    may_serve,
    note_first_event,
    version_wait_until_ms,
)
from wingfall.gateway.calls.stream_resumption import (
    find_origin,
    note_stream_begun,
    note_stream_ended,
)
from wingfall.gateway.calls.withheld_pool import (
    defer_attempt,
    defer_call,
    is_pool_withheld,
)
from wingfall.gateway.model.attempt_end import AttemptEnd, CallEndError
from wingfall.gateway.rules.admission.refusals import (
    refuse_after,
    refuse_blocked,
    refuse_failed_run,
    refuse_stream_without_endpoint,
)
from wingfall.gateway.rules.placement.pool_choice import pick_pool
from wingfall.gateway.rules.retries.attempt_time import (
    PlannedAttempt,
    first_byte_timeout_ms,
    is_time_over,
)
from wingfall.gateway.rules.retries.retry import (
    CallProgress,
    RetryDecision,
    RetryTerms,
    decide_retry,
)
from wingfall.gateway.rules.streams.event_order import EventOrder

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.stream_origin import StreamOrigin
    from wingfall.gateway.state import GatewayState


# Interval of the checks for an endpoint that may continue a stream.
_POLL_INTERVAL_MS: Final = 20
# End of a call if there is no endpoint left.
_NO_ENDPOINT: Final = AttemptEnd.not_sent


class ReplyCutError(CallEndError):
    """A stream can't be continued; the caller's connection must be closed."""


class GatewayStoppingError(CallEndError):
    """A planned stop ends the call; it gets a final answer."""


@final
class Dispatch:
    """The service of one call."""

    __slots__ = (
        '_answers',
        '_call',
        '_continuation',
        '_failed_answer',
        '_is_in_flight',
        '_order',
        '_pool',
        '_progress',
        '_reply',
        '_state',
        '_has_waited',
    )

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        reply: Reply,
    ) -> None:
        """Initialize the service of a call.

        :param state: state of the gateway.
        :param call: the call.
        :param reply: the reply to the caller.
        """
        self._state = state
        self._call = call
        self._reply = reply
        self._answers = CallAnswers(
            deadline_ms=call.deadline_ms, clock=state.clock
        )
        self._order = EventOrder()
        self._pool = pick_pool(call.route.pools)
        self._progress = CallProgress()
        # Whether an attempt has begun and not ended.
        self._is_in_flight = False
        # Whether the call has waited for the prefill of a shared part.
        self._has_waited = False
        # The last answer that reports a failed run and may be relayed.
        self._failed_answer: BufferedAnswer | None = None
        # Where an interrupted stream continues as the same run.
        self._continuation: Destination | None = None

    @property
    def run_state(self) -> RunState:
        """Whether an endpoint may have run the call."""
        ran = self._is_in_flight or self._progress.may_have_run
        return RunState.unknown if ran else RunState.not_run

    def serve(self) -> Refusal | None:
        """Serve the call to its final answer.

        :returns: the refusal, None if an endpoint's answer was sent.
        :raises ReplyCutError: if a stream that has begun can't be continued.
        :raises GatewayStoppingError: if a planned stop ends the call.
        """
        found_origin = find_origin(self._state, self._call)
        if not isinstance(found_origin, Success):
            return found_origin.failure()
        self._set_origin(found_origin.unwrap())
        self._state.budget.note_request(self._pool)
        while not is_time_over(self._left_ms()):
            found = self._find_destination()
            if not isinstance(found, Success):
                return found.failure()
            destination = found.unwrap()
            outcome = self._run_attempt(destination)
            if outcome.end is AttemptEnd.answered:
                self._send_answer(outcome)
                return None
            self._record_failure(destination, outcome)
            self._continuation = find_continuation(
                self._state, self._call, self._reply, destination, outcome
            )
            if not self._may_retry(outcome.end):
                return self._end_failed_call(outcome.end)
        return self._end_failed_call(AttemptEnd.late)

    def release(self) -> None:
        """Release the memory of the answers, once the caller has one."""
        self._answers.release()

    def _set_origin(self, origin: StreamOrigin | None) -> None:
        self._call.origin = origin
        if origin is not None:
            self._pool = origin.pool

    def _find_destination(self) -> Result[Destination, Refusal | None]:
        refusal = self._refuse_blocked()
        if refusal is not None:
            return Failure(refusal)
        destination = self._choose() or self._await_version()
        if destination is None:
            return Failure(self._defer() or self._end_failed_call(_NO_ENDPOINT))
        admitted = self._admit(destination)
        if not isinstance(admitted, Success):
            return admitted
        destination = admitted.unwrap()
        destination = self._await_shared_prefill(destination)
        # Peers may meanwhile have found that the request crashes endpoints.
        refusal = self._refuse_blocked()
        return Success(destination) if refusal is None else Failure(refusal)

    def _choose(self) -> Destination | None:
        if self._continuation is not None:
            return self._continuation
        state, call = self._state, self._call
        unreached, sent = self._progress.unreached, self._progress.sent
        avoided = unreached.union(sent)
        destination = choose_destination(state, call, self._pool, avoided)
        if destination is None and sent and call.idempotent:
            # All endpoints were tried; a retry at the same one may succeed.
            return choose_destination(state, call, self._pool, unreached)
        return destination

    def _await_version(self) -> Destination | None:
        # An engine that ended is often soon replaced by one of its version.
        until_ms = version_wait_until_ms(self._state, self._call)
        while self._state.clock.now_ms() < until_ms:
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
            destination = self._choose()
            if destination is not None:
                return destination
        return None

    def _defer(self) -> Refusal | None:
        if self._reply.started or self.run_state is not RunState.not_run:
            return None
        return defer_call(self._state, self._call, self._pool)

    def _refuse_blocked(self) -> Refusal | None:
        call = self._call
        block = self._state.blocks.find_block(
            call.fingerprint, call.part_fingerprints
        )
        if block is None:
            return None
        if self._reply.started:
            raise ReplyCutError
        return refuse_blocked(
            self.run_state,
            block.retry_after_ms,
            call.find_part(block.cause),
        )

    def _admit(self, destination: Destination) -> Result[Destination, Refusal]:
        if self._progress.sent:
            return Success(destination)
        return admit_prompt(self._state, self._call, self._pool, destination)

    def _await_shared_prefill(self, destination: Destination) -> Destination:
        # A call waits once; the earlier choice is outdated after the wait.
        if self._has_waited or destination.is_continuation:
            return destination
        self._has_waited = await_shared_prefill(
            self._state, self._call, destination
        )
        return (self._has_waited and self._choose()) or destination

    def _run_attempt(self, destination: Destination) -> AttemptOutcome:
        state = self._state
        deferred = defer_attempt(state, self._call, destination)
        if deferred is not None:
            return deferred
        self._note_sent()
        if self._call.origin is not None:
            engines = list_usable(state, self._call, self._pool)
            state.stream_log.note_sent(
                self._call, destination.endpoint, len(engines)
            )
        after_event_id = (
            self._reply.last_event_id or self._call.head.last_event_id
        )
        self._order.begin_attempt(after_event_id)
        tracker = AttemptTracker(
            state=state,
            call=self._call,
            destination=destination,
            number=len(self._progress.sent) + 1,
            after_event_id=after_event_id,
        )
        attempt = Attempt(
            call=self._call,
            destination=destination,
            reply=self._reply,
            order=self._order,
            binding=state.binding,
            connections=state.connections,
            now_ms=state.clock.now_ms,
            on_output=functools.partial(
                self._note_output, tracker, destination.endpoint
            ),
            on_signals=tracker.note_signals,
            on_incomplete=tracker.note_incomplete,
            may_send=functools.partial(
                may_serve, state, self._call, destination.endpoint
            ),
            watch_leaving=functools.partial(
                state.ends.leavings.watch, destination.endpoint
            ),
            is_whole=functools.partial(
                state.ends.answers.is_whole,
                self._call.call_id,
                destination.endpoint,
            ),
            memory=state.ends.endless.memory,
            answers=self._answers,
        )
        outcome = AttemptOutcome(
            end=AttemptEnd.cut,
            reason='the caller left',
            is_abandoned=True,
        )
        self._is_in_flight = True
        try:
            outcome = attempt.run(self._limits(destination))
        except GatewayStoppingError:
            outcome.reason = 'the gateway stops'
            raise
        finally:
            tracker.end(outcome, self._reply)
            state.stream_log.note_order(
                self._call, destination.endpoint, after_event_id, self._order
            )
        self._is_in_flight = False
        return outcome

    def _note_sent(self) -> None:
        blocks, call = self._state.blocks, self._call
        blocks.note_sent(call.fingerprint, call.part_fingerprints)
        if call.part_fingerprints and not self._progress.sent:
            blocks.note_prompt(call.part_fingerprints)

    def _note_output(
        self, tracker: AttemptTracker, endpoint: PoolEndpoint
    ) -> None:
        tracker.note_output()
        if self._call.origin is None:
            note_first_event(self._state, self._call, endpoint)
            note_stream_begun(self._state, self._call)

    def _limits(self, destination: Destination) -> AttemptLimits:
        call, now_ms = self._call, self._state.clock.now_ms()
        number = len(self._progress.sent) + 1
        outlook = PlannedAttempt(
            left_ms=call.deadline_ms - now_ms,
            target_ms=call.route.target_ms,
            start_ms=destination.start_ms,
            is_last=not call.idempotent or number >= call.route.max_attempts,
        )
        return AttemptLimits(
            deadline_ms=call.deadline_ms,
            first_byte_ms=now_ms + first_byte_timeout_ms(outlook),
        )

    def _send_answer(self, outcome: AttemptOutcome) -> None:
        if outcome.answer is None:
            self._reply.finish_stream()
            note_stream_ended(self._state, self._call)
        else:
            self._send_whole(outcome.answer)

    def _send_whole(self, answer: BufferedAnswer) -> None:
        self._reply.send_answer(answer.status, answer.headers, answer.body)

    def _record_failure(
        self,
        destination: Destination,
        outcome: AttemptOutcome,
    ) -> None:
        name = destination.endpoint.name
        self._progress.note(name, outcome.end)
        if outcome.end is AttemptEnd.held:
            return
        if outcome.end is AttemptEnd.not_sent and not outcome.is_fault:
            self._state.knowledge.health.note_unreachable(name)
            return
        self._state.knowledge.note_failure(name)
        if outcome.end is AttemptEnd.failed and outcome.answer is not None:
            self._failed_answer = outcome.answer

    def _may_retry(self, end: AttemptEnd) -> bool:
        if self._continuation is not None:
            return True
        reply, route = self._reply, self._call.route
        may_continue = route.streaming and route.resumable
        has_place = may_continue and reply.last_event_id is not None
        terms = RetryTerms(
            idempotent=self._call.idempotent,
            max_attempts=route.max_attempts,
            is_resumable=not reply.started or has_place,
        )
        verdict = decide_retry(end, self._progress, terms)
        if verdict is RetryDecision.from_budget:
            return self._state.retry_charges.take(self._call, self._pool)
        return verdict is RetryDecision.free

    def _end_failed_call(self, end: AttemptEnd) -> Refusal | None:
        if end is _NO_ENDPOINT and self._call.origin is not None:
            self._note_no_endpoint()
        if self._reply.started:
            raise ReplyCutError
        if self._failed_answer is not None:
            self._send_whole(self._failed_answer)
            return None
        if end is AttemptEnd.failed:
            return refuse_failed_run()
        if end is AttemptEnd.not_run and is_pool_withheld(
            self._state, self._call, self._pool
        ):
            deferred = self._defer()
            if deferred is not None:
                return deferred
        if (
            end is _NO_ENDPOINT
            and self._call.origin is not None
            and self.run_state is RunState.not_run
        ):
            return refuse_stream_without_endpoint(self._left_ms())
        return refuse_after(end, self.run_state, self._left_ms())

    def _note_no_endpoint(self) -> None:
        listed = self._state.knowledge.table.usable(self._pool)
        self._state.stream_log.note_refused(
            self._call,
            'no_endpoint',
            engines=len(list_usable(self._state, self._call, self._pool)),
            listed=len(listed),
        )

    def _left_ms(self) -> int:
        return self._call.deadline_ms - self._state.clock.now_ms()
