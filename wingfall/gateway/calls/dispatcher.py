"""Serves a call: chooses endpoints until one has answered it."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Final, final

from returns.result import Success

from wingfall.errors import RunState
from wingfall.gateway.calls.attempt import (
    Attempt,
    AttemptEnd,
    AttemptLimits,
    AttemptOutcome,
    WholeAnswer,
)
from wingfall.gateway.calls.chooser import Choice, choose_endpoint
from wingfall.gateway.calls.refusals import (
    refuse_early,
    refuse_late,
    refuse_lost,
    refuse_no_endpoint,
    refuse_not_run,
)
from wingfall.gateway.calls.shared_read_wait import await_shared_read
from wingfall.gateway.calls.stream_continuation import find_continuation
from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
from wingfall.gateway.rules.early_refusal import StartEstimate
from wingfall.gateway.rules.prefix_caches import SentPrompt
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.endpoints.load import LoadEntry
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# An attempt that could still be followed by another gives up its wait for
# the first byte after this part of the time left, or this many targets.
_WAIT_PART: Final = 0.4
_WAIT_TARGETS: Final = 1.5
# Nor before a prompt's turn has come, by a careful estimate.
_WAIT_STARTS: Final = 3
_MIN_LEFT_MS: Final = 5
_MAX_CONNECTS: Final = 4
_READ_SLACK: Final = 2


class ReplyCutError(Exception):
    """A stream that can't be continued; its connection must be cut."""


@final
class Dispatch:
    """The service of one call."""

    __slots__ = (
        '_call',
        '_continuation',
        '_gaps',
        '_kept_answer',
        '_may_have_run',
        '_pool',
        '_reply',
        '_sent',
        '_started_ms',
        '_state',
        '_unreached',
        '_waited',
    )

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        reply: Reply,
    ) -> None:
        """Start the service.

        :param state: what the gateway knows.
        :param call: the request.
        :param reply: its answer.
        """
        self._state = state
        self._call = call
        self._reply = reply
        self._pool = _pick_pool(call)
        self._sent: list[str] = []
        self._unreached: set[str] = set()
        self._may_have_run = False
        self._waited = False
        self._started_ms = call.arrived_ms
        self._kept_answer: WholeAnswer | None = None
        self._gaps: TokenGapWatch | None = None
        self._continuation: Choice | None = None

    def serve(self) -> Refusal | None:
        """Serve the call to its final answer.

        :returns: why there is no endpoint's answer, None if there is one.
        :raises ReplyCutError: if a stream that has begun can't go on.
        """
        self._state.budget.note_fresh(self._pool)
        while True:
            if self._left_ms() < _MIN_LEFT_MS:
                return self._give_up(refuse_late)
            choice = self._choose()
            if choice is None:
                return self._give_up(refuse_no_endpoint)
            refusal = self._refuse_early(choice)
            if refusal is not None:
                return refusal
            choice = self._after_shared_read(choice)
            outcome = self._try(choice)
            if outcome.end is AttemptEnd.answered:
                self._finish(outcome)
                return None
            self._note(choice, outcome)
            self._continuation = find_continuation(
                self._state, self._call, self._reply, choice, outcome
            )
            if not self._may_try_again(outcome.end):
                return self._give_up(_REFUSALS[outcome.end])

    def _choose(self) -> Choice | None:
        if self._continuation is not None:
            return self._continuation
        avoided = self._unreached | set(self._sent)
        choice = choose_endpoint(self._state, self._call, self._pool, avoided)
        if choice is None and self._sent and self._call.idempotent:
            # All others were tried; the same endpoint may do better now.
            choice = choose_endpoint(
                self._state,
                self._call,
                self._pool,
                self._unreached,
            )
        return choice

    def _refuse_early(self, choice: Choice) -> Refusal | None:
        call, routes = self._call, self._state.routes
        if call.head.prompt is None or self._sent or routes is None:
            return None
        estimate = StartEstimate(
            start_ms=self._start_ms(choice),
            target_ms=call.route.target_ms,
            left_ms=self._left_ms(),
            urgent=call.route.tier <= routes.most_urgent(self._pool),
        )
        admitted = self._state.admission(estimate)
        if isinstance(admitted, Success):
            return None
        log_event(
            'admission',
            'A prompt would start too late.',
            call=call.call_id,
            endpoint=choice.endpoint.name,
            reading=choice.candidate.reading_tokens,
            start_ms=int(estimate.start_ms),
            target_ms=estimate.target_ms,
            left_ms=estimate.left_ms,
        )
        return refuse_early(admitted.failure())

    def _after_shared_read(self, choice: Choice) -> Choice:
        # One wait a call; what was chosen before it is old after it.
        if self._waited or choice.continues:
            return choice
        self._waited = await_shared_read(self._state, self._call, choice)
        return (self._waited and self._choose()) or choice

    def _start_ms(self, choice: Choice) -> float:
        waiting = choice.candidate.reading_tokens + choice.load.reading_tokens
        return choice.candidate.speed.read_ms(waiting)

    def _try(self, choice: Choice) -> AttemptOutcome:
        state = self._state
        entry = state.load.start(choice.endpoint.name, choice.load)
        self._note_read(choice)
        self._started_ms = state.clock.now_ms()
        self._gaps = TokenGapWatch(
            endpoint=choice.endpoint.name,
            load=state.load,
            clock=state.clock,
            speed=choice.candidate.speed,
        )
        outcome = AttemptOutcome(end=AttemptEnd.cut, reason='the caller left')
        try:
            outcome = self._attempt(choice, entry).run(self._limits(choice))
        finally:
            entry.end()
            self._note_end(choice, outcome)
        return outcome

    def _note_read(self, choice: Choice) -> None:
        prompt = self._call.head.prompt
        if prompt is None or choice.continues:
            return
        name, unread = choice.endpoint.name, choice.load.reading_tokens
        self._state.note_read(name, unread)
        sent = SentPrompt(endpoint=name, parts=prompt.shared, unread=unread)
        # The first event tells exactly; the estimate only bounds the wait.
        start_ms = int(self._start_ms(choice) * _READ_SLACK)
        ready_ms = self._state.clock.now_ms() + start_ms
        self._state.caches.note_sent(sent, ready_ms)

    def _attempt(self, choice: Choice, entry: LoadEntry) -> Attempt:
        state = self._state
        return Attempt(
            call=self._call,
            endpoint=choice.endpoint,
            source=choice.source,
            backup=choice.backup,
            continues=choice.continues,
            reply=self._reply,
            binding=state.binding,
            connections=state.connections,
            now_ms=state.clock.now_ms,
            on_output=functools.partial(self._note_output, choice, entry),
        )

    def _note_output(self, choice: Choice, entry: LoadEntry) -> None:
        if self._gaps is not None:
            self._gaps.note_event()
        if entry.begin_output():
            self._state.caches.note_read(choice.endpoint.name, self._call)
            self._note_start(choice)

    def _note_start(self, choice: Choice) -> None:
        waiting = choice.candidate.reading_tokens
        own = choice.load.reading_tokens
        # Of what waited, part was read already; that must not count for much.
        if waiting > own:
            return
        self._state.speeds.note_start(
            choice.endpoint.name,
            self._pool,
            waiting + own,
            self._state.clock.now_ms() - self._started_ms,
        )

    def _limits(self, choice: Choice) -> AttemptLimits:
        call = self._call
        first_byte_ms = call.deadline_ms
        if call.idempotent and len(self._sent) + 1 < call.route.max_attempts:
            wait_ms = max(
                self._left_ms() * _WAIT_PART,
                call.route.target_ms * _WAIT_TARGETS,
                self._start_ms(choice) * _WAIT_STARTS,
            )
            until_ms = self._state.clock.now_ms() + int(wait_ms)
            first_byte_ms = min(first_byte_ms, until_ms)
        return AttemptLimits(
            deadline_ms=call.deadline_ms,
            first_byte_ms=first_byte_ms,
        )

    def _finish(self, outcome: AttemptOutcome) -> None:
        if outcome.answer is None:
            self._reply.finish_stream()
        else:
            self._pass_on(outcome.answer)

    def _pass_on(self, answer: WholeAnswer) -> None:
        self._reply.send_whole(answer.status, answer.headers, answer.body)

    def _note(self, choice: Choice, outcome: AttemptOutcome) -> None:
        name = choice.endpoint.name
        if outcome.end is AttemptEnd.not_sent:
            self._unreached.add(name)
            self._state.health.note_unreachable(name)
            return
        self._sent.append(name)
        if outcome.end is AttemptEnd.failed:
            self._kept_answer = outcome.answer
        if outcome.end is not AttemptEnd.not_run:
            self._may_have_run = True
        self._state.health.note_failure(name)

    def _may_try_again(self, end: AttemptEnd) -> bool:
        if self._continuation is not None:
            return True
        # First of all: also where the last engine could not be reached, an
        # earlier one may have run it.
        if self._may_have_run and not self._call.idempotent:
            return False
        if end is AttemptEnd.not_sent:
            return len(self._unreached) < _MAX_CONNECTS
        if len(self._sent) >= self._call.route.max_attempts:
            return False
        if self._reply.started and self._reply.last_event_id is None:
            return False
        return self._state.budget.take(self._pool)

    def _give_up(self, refuse: _Refuse) -> Refusal | None:
        if self._reply.started:
            raise ReplyCutError
        if self._kept_answer is not None:
            self._pass_on(self._kept_answer)
            return None
        run = RunState.unknown if self._may_have_run else RunState.not_run
        return refuse(run, self._left_ms())

    def _first_ms(self) -> int | None:
        if not self._reply.started:
            return None
        return self._reply.first_byte_ms - self._call.arrived_ms

    def _left_ms(self) -> int:
        return self._call.deadline_ms - self._state.clock.now_ms()

    def _note_end(self, choice: Choice, outcome: AttemptOutcome) -> None:
        self._state.caches.note_unread(choice.endpoint.name, self._call)
        if self._gaps is not None:
            self._gaps.end()
        self._log_attempt(choice, outcome)

    def _log_attempt(
        self,
        choice: Choice,
        outcome: AttemptOutcome,
    ) -> None:
        if outcome.end is AttemptEnd.answered:
            self._state.health.note_success(choice.endpoint.name)
        known, gaps = choice.candidate, self._gaps
        self._state.metrics.decisions.inc(
            {'part': 'dispatch', 'reason': outcome.end},
        )
        log_event(
            'dispatch',
            'An attempt ended.',
            call=self._call.call_id,
            route=self._call.route.name,
            tier=self._call.tier,
            attempt=len(self._sent) + 1,
            endpoint=known.name,
            end=outcome.end,
            reason=outcome.reason,
            ms=self._state.clock.now_ms() - self._started_ms,
            left_ms=self._left_ms(),
            first_ms=self._first_ms(),
            gap_ms=gaps.longest_ms if gaps else None,
            gap_reading=gaps.longest_reading_tokens if gaps else None,
            running=known.running,
            reading=known.reading_tokens,
            cached=known.cached_tokens,
            copied=known.copied_tokens,
            source=choice.source.name if choice.source else None,
            backup=choice.backup.name if choice.backup else None,
            continues=choice.continues,
            recent=int(known.recent_reads),
            streams=known.streams,
            idle_gap_ms=int(known.speed.idle_gap_ms),
            full_gap_ms=int(known.speed.full_gap_ms or 0),
            rate=round(known.speed.rate.tokens_per_ms, 1),
            failing=round(known.failing, 2),
        )


_Refuse = type(refuse_late)
_REFUSALS: Final = {
    AttemptEnd.failed: refuse_lost,
    AttemptEnd.not_sent: refuse_no_endpoint,
    AttemptEnd.not_run: refuse_not_run,
    AttemptEnd.lost: refuse_lost,
    AttemptEnd.late: refuse_late,
    AttemptEnd.cut: refuse_lost,
}


def _pick_pool(call: Call) -> str:
    pools = call.route.pools
    weights = [entry.weight for entry in pools]
    if len(pools) == 1 or not any(weights):
        return pools[0].pool
    return random.choices(pools, weights)[0].pool  # noqa: S311
