"""From a request to an endpoint that runs it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, final

from returns.result import Failure, Result, Success

from wingfall.decision.affinity import PrefixHistory
from wingfall.errors import Refusal, RunState
from wingfall.log import part_logger
from wingfall.router.answer import Answer
from wingfall.router.attempt import Attempt
from wingfall.router.dispatch_progress import DispatchProgress
from wingfall.router.refusals import (
    gave_up,
    key_home_down,
    no_endpoint,
    run_failed,
)
from wingfall.router.wakeups import Wakeups
from wingfall.wire.offer_messages import Grant, Refused
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import SimpleNamespace

    from wingfall.clock import Clock
    from wingfall.decision.choice import Candidate, Choice
    from wingfall.decision.retry import RetryBudget
    from wingfall.metrics import Metrics
    from wingfall.router.directory import Directory
    from wingfall.router.link import AgentLink
    from wingfall.router.request import Request
    from wingfall.wire.call_messages import End

logger = part_logger('router.dispatch')


@final
class Dispatcher:
    """Offers requests to agents in rounds until one runs it.

    A round ends by a refusal of every offer; only then does another start,
    so a request runs a second time only where that is allowed.
    """

    __slots__ = (
        '_affinity',
        '_attempts',
        '_budget',
        '_choice',
        '_clock',
        '_directory',
        '_history',
        '_metrics',
        '_offers',
        '_resume_ms',
        '_wakeups',
        '_window',
    )

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        clock: Clock,
        directory: Directory,
        choice: Choice,
        budget: RetryBudget,
        metrics: Metrics,
    ) -> None:
        """Set up the dispatcher.

        :param settings: the router's settings.
        :param clock: the time.
        :param directory: links to agents.
        :param choice: chooses among them.
        :param budget: bounds second runs.
        :param metrics: where decisions are counted.
        """
        self._clock = clock
        self._directory = directory
        self._choice = choice
        self._budget = budget
        self._metrics = metrics
        self._wakeups = Wakeups(clock=clock)
        self._affinity = settings.policy.affinity
        self._history = PrefixHistory()
        self._attempts = settings.policy.attempts
        self._offers = settings.policy.offers
        self._window = settings.limits.window_bytes
        self._resume_ms = settings.limits.resume_ms

    def dispatch(
        self,
        request: Request,
        gone: Callable[[], bool],
    ) -> Result[Answer, Refusal]:
        """Run a request somewhere.

        :param request: the request.
        :param gone: tells whether the caller has left.
        :returns: the answer with its head, to be closed by the applier; or
            the refusal.
        """
        self._budget.note_fresh(request.request_class.name)
        attempt = Attempt(
            request=request,
            clock=self._clock,
            gone=gone,
            closed=self._wakeups.remove,
        )
        self._wakeups.add(attempt)
        progress = DispatchProgress()
        outcome: Result[Answer, Refusal] | None = None
        try:
            while progress.rounds < self._attempts:
                progress.rounds += 1
                outcome = self._try_round(attempt, progress)
                if outcome is not None:
                    return outcome
            return Failure(progress.refuse())
        finally:
            if not isinstance(outcome, Success):
                attempt.close()

    def run(self) -> None:
        """Wake attempts in vain, for as long as the process runs."""
        self._wakeups.run()

    def _try_round(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
    ) -> Result[Answer, Refusal] | None:
        cached = self._history.cached_parts(attempt.request.prefixes)
        links = self._find_links(attempt, progress, cached)
        if not links:
            return Failure(self._nowhere(attempt.request, progress))
        tier = attempt.request.request_class.tier
        by_name = {link.endpoint.name: link for link in links}
        ranked = self._choice.rank(
            [
                link.candidate(tier, cached.get(link.endpoint.name, 0))
                for link in links
            ],
            self._offers,
        )
        eager = progress.eager and ranked[0].free_slots > 0
        if eager:
            ranked = ranked[:1]
        self._log_offers(attempt.request, ranked, eager=eager)
        for candidate in ranked:
            attempt.offer(by_name[candidate.name], eager=eager)
        if eager:
            call_id = next(iter(attempt.offers))
            return self._await_run(attempt, progress, call_id)
        return self._await_grant(attempt, progress)

    def _find_links(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
        cached: Iterable[str],
    ) -> list[AgentLink]:
        if not attempt.request.key:
            return self._directory.usable(
                attempt.request,
                progress.tried,
                cached,
            )
        home = self._directory.home(attempt.request)
        attempt.members = home.members
        link = self._directory.links.get(home.endpoint)
        if link is None or home.endpoint in progress.tried:
            return []
        return [link] if link.usable else []

    def _await_grant(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
    ) -> Result[Answer, Refusal] | None:
        while attempt.offers:
            message = attempt.receive()
            if message is None:
                return Failure(gave_up(attempt, progress.run))
            if isinstance(message, Grant):
                attempt.withdraw_others(message.call_id)
                attempt.run(message.call_id)
                return self._await_run(attempt, progress, message.call_id)
            if isinstance(message, Refused):
                self._note_refused(attempt, progress, message)
        return None

    def _await_run(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
        call_id: str,
    ) -> Result[Answer, Refusal] | None:
        answer = Answer(
            attempt=attempt,
            call_id=call_id,
            window=self._window,
            resume_ms=self._resume_ms,
        )
        read = answer.read_head()
        if isinstance(read, Success):
            self._note_start(attempt, answer)
            return Success(answer)
        return self._after_failed_run(attempt, progress, read.failure())

    def _after_failed_run(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
        ending: Refused | End | None,
    ) -> Result[Answer, Refusal] | None:
        if ending is None:
            return Failure(gave_up(attempt, RunState.unknown))
        if isinstance(ending, Refused) and _proves_not_run(ending):
            self._note_refused(attempt, progress, ending)
            return None
        request = attempt.request
        class_name = request.request_class.name
        if request.repeatable and self._budget.take(class_name):
            logger.info('Request %s: may run again.', request.request_id)
            progress.tried.update(
                link.endpoint.name for link in attempt.offers.values()
            )
            attempt.cancel()
            attempt.running_on = None
            progress.failed = ending
            return None
        return Failure(run_failed(ending))

    def _note_refused(
        self,
        attempt: Attempt,
        progress: DispatchProgress,
        refused: Refused,
    ) -> None:
        link = attempt.offers[refused.call_id]
        logger.info(
            'Request %s: %s refused, %s.',
            attempt.request.request_id,
            link.endpoint.name,
            refused.reason,
        )
        self._metrics.decisions.inc(
            {'part': 'router', 'reason': refused.reason}
        )
        attempt.drop(refused.call_id)
        attempt.running_on = None
        progress.eager = False
        if refused.reason != RefusalReason.busy:
            progress.refused = refused
            progress.tried.add(link.endpoint.name)

    def _nowhere(self, request: Request, progress: DispatchProgress) -> Refusal:
        if progress.refused or progress.failed:
            return progress.refuse()
        if request.key and self._directory.configured(request):
            return key_home_down()
        return no_endpoint(configured=self._directory.configured(request))

    def _log_offers(
        self,
        request: Request,
        ranked: list[Candidate],
        *,
        eager: bool,
    ) -> None:
        reason = 'eager' if eager else 'offered'
        self._metrics.decisions.inc({'part': 'router', 'reason': reason})
        logger.info(
            'Request %s class %s tier %d: %s to %s, expected delay %d ms.',
            request.request_id,
            request.request_class.name,
            request.request_class.tier,
            reason,
            ','.join(candidate.name for candidate in ranked),
            ranked[0].delay_ms,
        )

    def _note_start(self, attempt: Attempt, answer: Answer) -> None:
        request = attempt.request
        if self._affinity:
            self._history.note(request.prefixes, answer.endpoint)
        logger.info(
            'Request %s class %s tier %d: runs on %s, head after %d ms.',
            request.request_id,
            request.request_class.name,
            request.request_class.tier,
            answer.endpoint,
            self._clock.now_ms() - request.arrived_ms,
        )


def _proves_not_run(refused: Refused) -> bool:
    return refused.reason not in {
        RefusalReason.link_down,
        RefusalReason.unknown_call,
    }
