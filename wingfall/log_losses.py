"""Finds out of the logs of gateways which calls were not served in time, why.

A call is in time if its answer, or the first event of its stream, came within
its route's target and no pause of its stream was over that route's bound.
A caller's further tries are calls of their own here.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.log_trace import LogLine

IN_TIME: Final = 'in time'
_ATTEMPT: Final = 'dispatch: An attempt ended.'
_WAIT: Final = 'dispatch: A prompt waited for a shared part.'
_ANSWER: Final = 'answer: A call ended.'
_REFUSAL: Final = 'refusal: A call was refused.'
_STOPPING: Final = 'gateway: Stopping.'
_LEFT: Final = 'the caller left'
_SUCCESS: Final = 2  # The first digit of its status.
_STATUS_DIGITS: Final = 100
# Less waits at an engine in most moments; it explains no long pause.
_LONG_READ_TOKENS: Final = 1024
_BUSIEST_SECONDS: Final = 3


@final
class CallStory:
    """The lines of one call, by what they tell."""

    __slots__ = ('attempts', 'end', 'waited_ms')

    def __init__(self) -> None:
        """Start without a line."""
        self.attempts: list[dict[str, Any]] = []
        # The fields of its answer or refusal.
        self.end: dict[str, Any] | None = None
        self.waited_ms = 0

    @property
    def route(self) -> str:
        """Name of its route, empty if the logs don't tell."""
        known = [*self.attempts, self.end or {}]
        return next((each['route'] for each in known if each.get('route')), '')

    def take(self, line: LogLine) -> None:
        """Add a line.

        :param line: a line that names the call.
        """
        if line.message == _ATTEMPT:
            self.attempts.append(line.fields)
        elif line.message == _WAIT:
            self.waited_ms += line.fields.get('waited_ms', 0)
        elif line.message in {_ANSWER, _REFUSAL}:
            self.end = line.fields


@final
class Loss:
    """The calls of a route that ended in the same way for the same reason."""

    __slots__ = ('calls', 'reason', 'route', 'seconds')

    def __init__(self, *, route: str, reason: str) -> None:
        """Start without a call.

        :param route: name of the route.
        :param reason: why its calls were not in time.
        """
        self.route = route
        self.reason = reason
        self.calls: list[str] = []
        self.seconds: collections.Counter[int] = collections.Counter()

    def add(self, call_id: str, second: int) -> None:
        """Add a call.

        :param call_id: its id.
        :param second: when it ended, from the first line of the logs.
        """
        self.calls.append(call_id)
        self.seconds[second] += 1

    @property
    def busiest(self) -> str:
        """The seconds with the most such calls, as ``second:calls``."""
        most = self.seconds.most_common(_BUSIEST_SECONDS)
        return ' '.join(f'{second}:{count}' for second, count in most)


def find_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Sort the calls of logs by route and by how they ended.

    :param lines: lines of one or more gateways.
    :returns: all groups, those in time as well, by route and size.
    """
    known = sorted(lines, key=_by_time)
    start_s = known[0].time_s if known else 0
    stops = {
        line.process: line.time_s for line in known if line.message == _STOPPING
    }
    losses: dict[tuple[str, str], Loss] = {}
    for call_id, story in _read_stories(known).items():
        if story.end is None:
            continue
        key = (story.route, explain(story, stops))
        loss = losses.setdefault(key, Loss(route=key[0], reason=key[1]))
        loss.add(call_id, int(story.end['time'] - start_s))
    return sorted(losses.values(), key=_by_route_and_size)


def explain(story: CallStory, stops: dict[str, float]) -> str:
    """Say how a call ended, and why it was not in time.

    :param story: its lines, with its end.
    :param stops: when gateways were told to stop, in seconds, by name.
    :returns: a phrase that is the same for calls of the same fate.
    """
    end = story.end or {}
    if 'code' in end:
        return _explain_refusal(story, end)
    if end.get('status', 0) // _STATUS_DIGITS != _SUCCESS:
        tried = len({each.get('endpoint') for each in story.attempts})
        return f'failed: status {end.get("status")} of {tried} endpoints'
    if not end.get('whole'):
        return _explain_cut(story, end, stops)
    if _over(end.get('first_ms'), end.get('target_ms')):
        return _explain_late_start(story)
    if _over(end.get('gap_ms'), end.get('gap_target_ms')):
        return _explain_pause(story)
    return IN_TIME


def _explain_refusal(story: CallStory, end: dict[str, Any]) -> str:
    if not story.attempts:
        return f'refused: {end["code"]}'
    count, last = len(story.attempts), story.attempts[-1]
    return f'refused: {end["code"]} after {count} attempts, {last.get("end")}'


def _explain_cut(
    story: CallStory,
    end: dict[str, Any],
    stops: dict[str, float],
) -> str:
    last = story.attempts[-1] if story.attempts else {}
    if last.get('reason') == _LEFT:
        return 'cut: the caller left'
    if stops.get(end.get('process', ''), end['time']) < end['time']:
        return 'cut: the gateway was stopping'
    if last.get('reason') == 'no bytes in time':
        return 'cut: the engine fell silent'
    return 'cut: the engine broke the stream off'


def _explain_late_start(story: CallStory) -> str:
    if len(story.attempts) > 1:
        return f'late start: {story.attempts[0].get("end")} attempts before'
    if story.waited_ms:
        return 'late start: waited for a shared part'
    reading = story.attempts[-1].get('reading') if story.attempts else 0
    if reading and reading > _LONG_READ_TOKENS:
        return 'late start: reads were ahead of it'
    return 'late start: nothing was ahead of it'


def _explain_pause(story: CallStory) -> str:
    if len(story.attempts) > 1:
        return 'pause: resumed at another engine'
    last = story.attempts[-1] if story.attempts else {}
    if (last.get('gap_reading') or 0) > _LONG_READ_TOKENS:
        return 'pause: beside reads'
    return 'pause: no read is known'


def _read_stories(lines: Iterable[LogLine]) -> dict[str, CallStory]:
    stories: dict[str, CallStory] = {}
    for line in lines:
        call_id = line.fields.get('call')
        if call_id:
            stories.setdefault(call_id, CallStory()).take(line)
    return stories


def _over(measured_ms: int | None, target_ms: int | None) -> bool:
    if measured_ms is None or not target_ms:
        return False
    return measured_ms > target_ms


def _by_time(line: LogLine) -> float:
    return line.time_s


def _by_route_and_size(loss: Loss) -> tuple[str, int]:
    return (loss.route, -len(loss.calls))
