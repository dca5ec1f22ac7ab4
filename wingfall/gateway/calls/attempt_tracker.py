"""Records the load and the observations of an attempt at an endpoint.

Owns the attempt's entry in the load table and the measurement of its token
gaps; updates the prefix caches, the engines' speeds and the endpoints' health.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.calls.admission import note_given_work
from wingfall.gateway.calls.attempt_log import log_attempt, log_incomplete
from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
from wingfall.gateway.knowledge.prefix_caches import SentPrompt
from wingfall.gateway.model.attempt_end import AttemptEnd

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.endpoints.request_writer import IncompleteRequest
    from wingfall.gateway.model.answer_signals import AnswerSignals
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Multiple of the estimated start after which the prefill of a prompt counts as
# complete. The first event shows the exact end, so this only limits how long
# other prompts wait for a shared part.
_PREFILL_TIMEOUT_FACTOR: Final = 2
# A prompt with this much output has run well so far as its parts are concerned:
# one that crashes endpoints does so as the output begins.
_PROVEN_OUTPUT_MS: Final = 500
# Ends that a crash of the endpoint may have caused.
_BROKEN_ENDS: Final = frozenset((AttemptEnd.lost, AttemptEnd.cut))
# Ends after which a plain endpoint is assumed to have begun the request: it
# answered, or its answer was lost.
_POSSIBLY_RUN_ENDS: Final = frozenset(
    (AttemptEnd.answered, AttemptEnd.failed, AttemptEnd.lost),
)


@final
class AttemptTracker:
    """Records of one attempt, from its sending to its end."""

    __slots__ = (
        '_after_event_id',
        '_call',
        '_destination',
        '_estimate_ms',
        '_gap_watch',
        '_load_entry',
        '_number',
        '_first_output_ms',
        '_is_proven',
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
        after_event_id: str | None = None,
    ) -> None:
        """Create the records and add the attempt to the endpoint's load.

        :param state: state of the gateway.
        :param call: the call.
        :param destination: the endpoint that the call is sent to.
        :param number: number of the attempt in its call, from 1.
        :param after_event_id: id of the event after which the attempt continues
            the stream, None if it begins one.
        """
        name, knowledge = destination.endpoint.name, state.knowledge
        self._state = state
        self._call = call
        self._destination = destination
        self._number = number
        self._after_event_id = after_event_id
        # Estimated by the engine's speed at the time of sending.
        self._estimate_ms = destination.start_ms
        self._load_entry = knowledge.load.start(name, destination.load)
        self._note_prompt()
        self._started_ms = state.clock.now_ms()
        # Time in milliseconds of the first events of this attempt.
        self._first_output_ms: int | None = None
        # Whether the output so far was recorded as proof for the parts.
        self._is_proven = False
        self._gap_watch = TokenGapWatch(
            endpoint=name,
            load=knowledge.load,
            clock=state.clock,
            speed=destination.candidate.speed,
        )

    def note_output(self) -> None:
        """Record the arrival of events of the stream."""
        self._gap_watch.note_event()
        if self._first_output_ms is None:
            self._first_output_ms = self._state.clock.now_ms()
            self._note_usage(self._first_output_ms)
        self._note_proof()
        if not self._load_entry.begin_output():
            return
        name, prompt = self._destination.endpoint.name, self._call.head.prompt
        if prompt is not None:
            self._state.knowledge.caches.confirm_prefill(name, prompt)
        self._update_prefill_rate()
        self._update_start_estimates()

    def note_signals(self, signals: AnswerSignals, sent_ms: int) -> None:
        """Record the endpoint's signals in the head of the answer.

        :param signals: the signals.
        :param sent_ms: time in milliseconds at which the request was sent.
        """
        signals_table = self._state.knowledge.signals
        name = self._destination.endpoint.name
        for change in signals_table.note_answer(name, signals, sent_ms):
            self._state.metrics.decisions.inc(
                {'part': 'signals', 'reason': change},
            )

    def note_incomplete(self, request: IncompleteRequest) -> None:
        """Log and count a request that the endpoint did not receive whole.

        :param request: how much of it was delivered, and why not all.
        """
        self._state.metrics.decisions.inc(
            {'part': 'delivery', 'reason': 'incomplete'},
        )
        log_incomplete(
            call=self._call,
            endpoint=self._destination.endpoint,
            number=self._number,
            request=request,
        )

    def end(self, outcome: AttemptOutcome, reply: Reply) -> None:
        """Record and log the end of the attempt, whatever its cause.

        :param outcome: the outcome of the attempt.
        :param reply: the answer to the caller, as far as it was written.
        """
        name, knowledge = self._destination.endpoint.name, self._state.knowledge
        self._load_entry.end()
        prompt = self._call.head.prompt
        if prompt is not None:
            knowledge.caches.drop_unconfirmed(name, prompt)
        self._gap_watch.end()
        if outcome.end is AttemptEnd.answered:
            knowledge.health.note_success(name)
        if self._call.head.prompt is None and outcome.end in _POSSIBLY_RUN_ENDS:
            self._note_usage(self._started_ms)
        if outcome.endless is None:
            self._note_crash_evidence(outcome)
        else:
            # No evidence of a crash: the endpoint was still sending.
            self._state.ends.endless.note(
                self._call.call_id, self._destination.endpoint, outcome.endless
            )
        self._state.metrics.decisions.inc(
            {'part': 'dispatch', 'reason': outcome.end},
        )
        log_attempt(
            call=self._call,
            destination=self._destination,
            outcome=outcome,
            gap_watch=self._gap_watch,
            number=self._number,
            started_ms=self._started_ms,
            now_ms=self._state.clock.now_ms(),
            estimate_ms=self._estimate_ms,
            first_byte_ms=reply.first_byte_ms if reply.started else None,
            after_event_id=self._after_event_id,
        )

    def _note_proof(self) -> None:
        output_ms = self._output_duration_ms() or 0
        if not self._is_proven and output_ms >= _PROVEN_OUTPUT_MS:
            self._is_proven = True
            self._state.knowledge.crashes.note_parts_served(
                self._call.part_fingerprints,
            )

    def _note_usage(self, started_ms: int) -> None:
        # A call counts once, even if several endpoints run it.
        call, usage = self._call, self._state.usage
        if usage is None or call.run_started or call.customer is None:
            return
        call.run_started = True
        usage.note(call.customer.name, started_ms)

    def _note_crash_evidence(self, outcome: AttemptOutcome) -> None:
        state, endpoint = self._state, self._destination.endpoint
        fingerprint = self._call.fingerprint
        parts = self._call.part_fingerprints
        is_abandoned = outcome.is_abandoned or outcome.end is AttemptEnd.late
        if outcome.succeeded:
            state.knowledge.crashes.note_served(fingerprint, parts)
        elif is_abandoned and self._first_output_ms is None:
            state.ends.crashes.note_abandoned(endpoint, fingerprint, parts)
        elif outcome.end in _BROKEN_ENDS and not is_abandoned:
            state.ends.crashes.note_broken(
                endpoint,
                fingerprint,
                self._output_duration_ms(),
                parts,
            )

    def _output_duration_ms(self) -> int | None:
        if self._first_output_ms is None:
            return None
        return self._state.clock.now_ms() - self._first_output_ms

    def _note_prompt(self) -> None:
        prompt, destination = self._call.head.prompt, self._destination
        if prompt is None or destination.is_continuation:
            return
        name = destination.endpoint.name
        uncached_tokens = destination.load.prefill_tokens
        self._state.knowledge.note_prompt_sent(name, uncached_tokens)
        if self._number == 1:
            note_given_work(self._state, self._call, destination)
        prefill_timeout_ms = int(self._estimate_ms * _PREFILL_TIMEOUT_FACTOR)
        self._state.knowledge.caches.note_sent(
            SentPrompt(
                endpoint=name,
                parts=prompt.shared_parts,
                uncached_tokens=uncached_tokens,
            ),
            self._state.clock.now_ms() + prefill_timeout_ms,
        )

    def _update_start_estimates(self) -> None:
        destination = self._destination
        if self._call.head.prompt is None or destination.is_continuation:
            return
        self._state.knowledge.note_first_event(destination.endpoint.pool)
        self._state.knowledge.start_estimates.note(
            destination.endpoint.pool,
            self._call.priority,
            self._estimate_ms,
            self._state.clock.now_ms() - self._started_ms,
        )

    def _update_prefill_rate(self) -> None:
        pending_tokens = self._destination.candidate.prefill_tokens
        own_tokens = self._destination.load.prefill_tokens
        endpoint = self._destination.endpoint
        self._state.knowledge.speeds.note_start(
            endpoint.name,
            endpoint.pool,
            pending_tokens + own_tokens,
            self._state.clock.now_ms() - self._started_ms,
            pending_tokens,
        )
