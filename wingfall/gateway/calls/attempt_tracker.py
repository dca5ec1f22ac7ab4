"""Notes what an attempt does to an endpoint, and what it shows of it.

Owns the attempt's entry in the load table and the watch over its token gaps;
tells the prefix caches, the engines' speeds and the endpoints' health.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.calls.admission import note_given
from wingfall.gateway.calls.attempt_log import log_attempt
from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
from wingfall.gateway.knowledge.prefix_caches import SentPrompt
from wingfall.gateway.model.attempt_end import AttemptEnd

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.model.answer_signals import AnswerSignals
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Multiples of the estimated start after which a prompt counts as read. The
# first event tells exactly, so this only bounds the wait of other prompts for a
# shared part.
_READ_SLACK: Final = 2
# Ends by which the endpoint may have crashed.
_BROKEN: Final = frozenset((AttemptEnd.lost, AttemptEnd.cut))
# Ends by which a plain endpoint has begun to run the request, as far as can be
# told: it answered, or its answer was lost.
_MAY_HAVE_RUN: Final = frozenset(
    (AttemptEnd.answered, AttemptEnd.failed, AttemptEnd.lost),
)


@final
class AttemptTracker:
    """Follows one attempt from its sending to its end."""

    __slots__ = (
        '_call',
        '_destination',
        '_estimate_ms',
        '_gaps',
        '_load_entry',
        '_number',
        '_output_ms',
        '_started_ms',
        '_state',
    )

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        destination: Destination,
        number: int,
    ) -> None:
        """Count the attempt's work from now on.

        :param state: what the gateway knows.
        :param call: the call.
        :param destination: where it is sent.
        :param number: which attempt it is, from 1.
        """
        name, knowledge = destination.endpoint.name, state.knowledge
        self._state = state
        self._call = call
        self._destination = destination
        self._number = number
        # By the engine's speed as it was known when the prompt was sent.
        self._estimate_ms = destination.start_ms
        self._load_entry = knowledge.load.start(name, destination.load)
        self._note_prompt()
        self._started_ms = state.clock.now_ms()
        # When the first events of this attempt came.
        self._output_ms: int | None = None
        self._gaps = TokenGapWatch(
            endpoint=name,
            load=knowledge.load,
            clock=state.clock,
            speed=destination.candidate.speed,
        )

    def note_output(self) -> None:
        """Note that events of the stream have come."""
        self._gaps.note_event()
        if self._output_ms is None:
            self._output_ms = self._state.clock.now_ms()
            self._note_begun(self._output_ms)
        if not self._load_entry.begin_output():
            return
        name, prompt = self._destination.endpoint.name, self._call.head.prompt
        if prompt is not None:
            self._state.knowledge.caches.confirm_read(name, prompt)
        self._learn_read_rate()
        self._learn_start()

    def note_signals(self, signals: AnswerSignals, sent_ms: int) -> None:
        """Note what the head of the answer says of the endpoint.

        :param signals: what it says.
        :param sent_ms: when the request was sent.
        """
        known = self._state.knowledge.signals
        name = self._destination.endpoint.name
        for change in known.note_answer(name, signals, sent_ms):
            self._state.metrics.decisions.inc(
                {'part': 'signals', 'reason': change},
            )

    def end(self, outcome: AttemptOutcome, reply: Reply) -> None:
        """Note the end of the attempt, whatever ended it, and log it.

        :param outcome: how it ended.
        :param reply: the answer, as far as it was written.
        """
        name, knowledge = self._destination.endpoint.name, self._state.knowledge
        self._load_entry.end()
        prompt = self._call.head.prompt
        if prompt is not None:
            knowledge.caches.drop_unconfirmed(name, prompt)
        self._gaps.end()
        if outcome.end is AttemptEnd.answered:
            knowledge.health.note_success(name)
        if self._call.head.prompt is None and outcome.end in _MAY_HAVE_RUN:
            self._note_begun(self._started_ms)
        self._note_survival(outcome)
        self._state.metrics.decisions.inc(
            {'part': 'dispatch', 'reason': outcome.end},
        )
        log_attempt(
            call=self._call,
            destination=self._destination,
            outcome=outcome,
            gaps=self._gaps,
            number=self._number,
            started_ms=self._started_ms,
            now_ms=self._state.clock.now_ms(),
            estimate_ms=self._estimate_ms,
            first_byte_ms=reply.first_byte_ms if reply.started else None,
        )

    def _note_begun(self, began_ms: int) -> None:
        # Once a call, however many endpoints run it.
        call, usage = self._call, self._state.usage
        if usage is None or call.begun or call.customer is None:
            return
        call.begun = True
        usage.note(call.customer.name, began_ms)

    def _note_survival(self, outcome: AttemptOutcome) -> None:
        state, endpoint = self._state, self._destination.endpoint
        fingerprint = self._call.fingerprint
        gave_up = outcome.left or outcome.end is AttemptEnd.late
        if outcome.succeeded:
            state.knowledge.crashes.note_served(fingerprint)
        elif gave_up and self._output_ms is None:
            state.crash_watch.note_left(endpoint, fingerprint)
        elif outcome.end in _BROKEN and not gave_up:
            state.crash_watch.note_broken(
                endpoint, fingerprint, self._output_for_ms()
            )

    def _output_for_ms(self) -> int | None:
        if self._output_ms is None:
            return None
        return self._state.clock.now_ms() - self._output_ms

    def _note_prompt(self) -> None:
        prompt, destination = self._call.head.prompt, self._destination
        if prompt is None or destination.continues:
            return
        name = destination.endpoint.name
        uncached = destination.load.reading_tokens
        self._state.knowledge.note_prompt_sent(name, uncached)
        if self._number == 1:
            note_given(self._state, self._call, destination)
        read_ms = int(self._estimate_ms * _READ_SLACK)
        self._state.knowledge.caches.note_sent(
            SentPrompt(endpoint=name, parts=prompt.shared, unread=uncached),
            self._state.clock.now_ms() + read_ms,
        )

    def _learn_start(self) -> None:
        destination = self._destination
        if self._call.head.prompt is None or destination.continues:
            return
        self._state.knowledge.note_first_event(destination.endpoint.pool)
        self._state.knowledge.starts.note(
            destination.endpoint.pool,
            self._call.priority,
            self._estimate_ms,
            self._state.clock.now_ms() - self._started_ms,
        )

    def _learn_read_rate(self) -> None:
        waiting = self._destination.candidate.reading_tokens
        own = self._destination.load.reading_tokens
        endpoint = self._destination.endpoint
        self._state.knowledge.speeds.note_start(
            endpoint.name,
            endpoint.pool,
            waiting + own,
            self._state.clock.now_ms() - self._started_ms,
            waiting,
        )
