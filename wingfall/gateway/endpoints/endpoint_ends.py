"""What a gateway learns from connections that end."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.gateway.endpoints.answer_end import AnswerEndCheck
    from wingfall.gateway.endpoints.crash_detector import CrashDetector
    from wingfall.gateway.endpoints.endless_answers import EndlessAnswers
    from wingfall.gateway.endpoints.leaving_watch import LeavingWatch


@final
class EndpointEnds:
    """Whether an endpoint has crashed, and whether its answer is complete."""

    __slots__ = ('answers', 'crashes', 'endless', 'leavings')

    def __init__(
        self,
        *,
        answers: AnswerEndCheck,
        crashes: CrashDetector,
        endless: EndlessAnswers,
        leavings: LeavingWatch,
    ) -> None:
        """Combine the checks.

        :param answers: checks answers that end with their connection.
        :param crashes: detects endpoints that crash.
        :param endless: records answers that were given up.
        :param leavings: watches leaving endpoints that still answer.
        """
        self.answers = answers
        self.crashes = crashes
        self.endless = endless
        self.leavings = leavings
