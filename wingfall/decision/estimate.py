"""How long a run of a class takes at one endpoint, from those that ended.

Nobody can know the length of an answer in advance. What can be known is how
long answers of a class have taken here; the estimate is their smoothed mean
plus their smoothed deviation, so that about five in six runs are shorter.
"""

from __future__ import annotations

from typing import Final, final

# Part of a new sample in mean and deviation. Ten samples settle them.
_SMOOTHING: Final = 0.1


@final
class _Spread:
    """Smoothed mean and deviation of one class."""

    __slots__ = ('deviation', 'mean')

    def __init__(self, *, first: float) -> None:
        """Start from one sample.

        :param first: the sample.
        """
        self.mean = first
        self.deviation = first / 2

    def note(self, sample: float) -> None:
        """Take a sample.

        :param sample: the sample.
        """
        error = sample - self.mean
        self.mean += error * _SMOOTHING
        self.deviation += (abs(error) - self.deviation) * _SMOOTHING


@final
class RunEstimates:
    """Run times by class at one endpoint."""

    __slots__ = ('_first_tokens', '_runs')

    def __init__(self) -> None:
        """Start knowing nothing, which counts as no time at all."""
        self._runs: dict[str, _Spread] = {}
        self._first_tokens: dict[str, _Spread] = {}

    def note_run(self, class_name: str, run_ms: float) -> None:
        """Take the time of a whole answer.

        :param class_name: its class.
        :param run_ms: from start to end.
        """
        _note(self._runs, class_name, run_ms)

    def note_first_token(self, class_name: str, first_ms: float) -> None:
        """Take the time to a first token.

        :param class_name: its class.
        :param first_ms: from start to the token.
        """
        _note(self._first_tokens, class_name, first_ms)

    def run_ms(self, class_name: str) -> int:
        """Estimate a run.

        :param class_name: its class.
        :returns: milliseconds that most runs stay under.
        """
        return _cautious(self._runs.get(class_name))

    def first_token_ms(self, class_name: str) -> int:
        """Estimate the time to a first token.

        :param class_name: its class.
        :returns: milliseconds that most stay under.
        """
        return _cautious(self._first_tokens.get(class_name))

    def slack_ms(
        self,
        class_name: str,
        *,
        first_left_ms: int,
        complete_left_ms: int,
    ) -> int | None:
        """Work out how long a request can wait and still be on time.

        :param class_name: its class.
        :param first_left_ms: time left to the first token, 0 for no target.
        :param complete_left_ms: time left to the end, 0 for no target.
        :returns: milliseconds, negative if it is too late already; None if
            the class has no target that waiting could miss.
        """
        slacks: list[int] = []
        if first_left_ms:
            slacks.append(first_left_ms - self.first_token_ms(class_name))
        if complete_left_ms:
            slacks.append(complete_left_ms - self.run_ms(class_name))
        return min(slacks, default=None)


def _note(table: dict[str, _Spread], class_name: str, sample: float) -> None:
    if class_name in table:
        table[class_name].note(sample)
    else:
        table[class_name] = _Spread(first=sample)


def _cautious(spread: _Spread | None) -> int:
    return int(spread.mean + spread.deviation) if spread else 0
