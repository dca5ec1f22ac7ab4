"""Finds what gateways logged of one call, and what they believed then."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Seconds around a call in which lines about its endpoints, the store and peers
# are shown. Longer than a crashed endpoint's entry stays listed.
_CONTEXT_S: Final = 5
_HIDDEN: Final = frozenset(('time', 'level', 'message', 'process', 'call'))
_CONFIG: Final = 'config: '
# Lines on endpoints that crashed and on requests that are blocked for it.
_CRASHES: Final = ('crash: ', 'blocks: ')


@final
class LogLine:
    """One parsed line of a gateway's log."""

    __slots__ = ('fields',)

    def __init__(self, *, fields: dict[str, Any]) -> None:
        """Keep a line.

        :param fields: all fields of the line.
        """
        self.fields = fields

    @property
    def time_s(self) -> float:
        """When it was written, in seconds."""
        return float(self.fields.get('time', 0))

    @property
    def process(self) -> str:
        """Name of the process that wrote it."""
        return str(self.fields.get('process', ''))

    @property
    def message(self) -> str:
        """The part and the sentence."""
        return str(self.fields.get('message', ''))

    def __str__(self) -> str:
        """Format for people: time, process, sentence, other fields."""
        rest = ' '.join(
            f'{name}={each}'
            for name, each in self.fields.items()
            if name not in _HIDDEN
        )
        return f'{self.time_s:.3f} {self.process} {self.message} {rest}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines, whatever a collector put before each.

    :param texts: the lines; those that hold no JSON are passed over.
    :yields: the parsed lines.
    """
    for text in texts:
        fields = _parse(text)
        if isinstance(fields, dict) and 'message' in fields:
            yield LogLine(fields=fields)


def trace_call(call_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Choose the lines that tell the story of a call.

    :param call_id: id of the call.
    :param lines: lines of one or more gateways.
    :returns: the call's own lines, and of the gateways that served it those
        on its endpoints, the store and peers some seconds around it and the
        last configuration before; of all gateways those on crashes that its
        request, or a part of its prompt that was blocked, was at and on the
        block; in the order of their times.
    """
    known = sorted(lines, key=_by_time)
    own = [line for line in known if line.fields.get('call') == call_id]
    if not own:
        return []
    beliefs = [line for line in known if _concerns(line, own)]
    last_config = [
        line
        for line in known
        if line.message.startswith(_CONFIG)
        and line.process == own[0].process
        and line.time_s <= own[0].time_s
    ]
    suspects = _list_suspects(known, own)
    crashes = [line for line in known if _is_on_crashes(line, suspects)]
    chosen = {
        id(line): line for line in last_config[-1:] + own + beliefs + crashes
    }
    return sorted(chosen.values(), key=_by_time)


def _list_suspects(known: list[LogLine], own: list[LogLine]) -> set[str]:
    # The request, and those parts of its prompt that were ever blocked: most
    # prompts share some part with others at every crash.
    parts = {part for each in own for part in each.fields.get('parts', ())}
    parts.update(str(each.fields.get('prompt_part')) for each in own)
    blocked = {str(each.fields.get('prompt_part')) for each in known}
    requests = {each.fields.get('request') for each in own}
    return (parts & blocked | requests) - {None, 'None', ''}


def _is_on_crashes(line: LogLine, suspects: set[str]) -> bool:
    if not line.message.startswith(_CRASHES):
        return False
    fields = line.fields
    named = {
        fields.get('request'),
        fields.get('prompt_part'),
        *fields.get('requests', ()),
        *fields.get('parts', ()),
    }
    return not named.isdisjoint(suspects)


def _parse(text: str) -> Any:
    _before, brace, rest = text.partition('{')
    try:
        return orjson.loads(brace + rest)
    except orjson.JSONDecodeError:
        return None


def _by_time(line: LogLine) -> float:
    return line.time_s


def _concerns(line: LogLine, own: list[LogLine]) -> bool:
    if 'call' in line.fields or line.message.startswith(_CRASHES):
        return False
    if line.process not in {each.process for each in own}:
        return False
    first_s, last_s = own[0].time_s, own[-1].time_s
    if not first_s - _CONTEXT_S <= line.time_s <= last_s + _CONTEXT_S:
        return False
    endpoint = line.fields.get('endpoint')
    return endpoint is None or endpoint in {
        each.fields.get('endpoint') for each in own
    }
