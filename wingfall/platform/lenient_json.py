"""Reads JSON in which single values can't be read.

Another writer may have left values that a reader refuses: nested too deeply,
numbers that no float holds, ``NaN``, control characters in a text. Only these
are replaced; whatever stands beside them is read as it is.
"""

from __future__ import annotations

import itertools
import math
import re
from typing import TYPE_CHECKING, Any, Final, final

import gevent
import orjson

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Levels of lists and objects that are read. Answers of the store have seven.
MAX_DEPTH: Final = 100
# Characters of a number; a float needs fewer.
_MAX_NUMBER: Final = 400
# Stands for a value that can't be read. No reader of a field takes a list.
_UNREADABLE: Final = '[]'
# Stands for characters that can't be read.
_REPLACEMENT: Final = '\ufffd'
# Tokens that are read before other greenlets run, some 10 ms, and milliseconds
# of the pause; without one, no timer runs and no socket is read.
_MAX_TOKENS_AT_ONCE: Final = 10_000
_PAUSE_MS: Final = 1
_TOKEN: Final = re.compile(
    r'"(?:[^"\\]|\\.)*+"|[\[\]{}]|[\s,:]++|[^\s"\[\]{},:]++|"', re.DOTALL
)
_ESCAPE: Final = re.compile(
    r'(\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))|\\.?|[\x00-\x1f]', re.DOTALL
)
_NUMBER: Final = re.compile(r'-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?')
# Half of a surrogate pair, written as an escape without the other half.
_LONE_SURROGATE: Final = re.compile(
    r'\\u[dD][89abAB][0-9a-fA-F]{2}(?!\\u[dD][c-fC-F][0-9a-fA-F]{2})'
    r'|(?<!\\u[dD][89abAB][0-9a-fA-F]{2})\\u[dD][c-fC-F][0-9a-fA-F]{2}',
)
_OPENING: Final = frozenset(('[', '{'))
_CLOSING: Final = frozenset((']', '}'))
_LITERALS: Final = frozenset(('true', 'false', 'null'))


def ignore_replaced() -> None:
    """Take no note of values that were replaced."""


def parse_json(
    encoded: bytes | bytearray,
    note_replaced: Callable[[], None] = ignore_replaced,
) -> Any:
    """Parse JSON; replace what can't be read.

    Other greenlets run meanwhile if there is much to replace.

    :param encoded: the bytes.
    :param note_replaced: called if anything was replaced.
    :returns: the JSON, no deeper than :data:`MAX_DEPTH`.
    :raises ValueError: if it is none even with single values replaced.
    """
    try:
        parsed = orjson.loads(encoded)
    except orjson.JSONDecodeError:
        text = encoded.decode(errors='replace')
        sound = _LONE_SURROGATE.sub(_REPLACEMENT, text)
        replaced = orjson.loads(_replace_unreadable(sound))
        note_replaced()
        return prune(replaced)
    pruned = prune(parsed)
    if pruned is not parsed:
        note_replaced()
    return pruned


def prune(parsed: Any) -> Any:
    """Replace what is nested too deeply to be compared or encoded.

    :param parsed: parsed JSON.
    :returns: the same if it has at most :data:`MAX_DEPTH` levels.
    """
    return _cut(parsed, MAX_DEPTH) if _is_deep(parsed) else parsed


def _is_deep(parsed: Any) -> bool:
    level = _list_inner([parsed])
    depth = 0
    while level and depth < MAX_DEPTH:
        level = _list_inner(itertools.chain.from_iterable(map(_open, level)))
        depth += 1
    return bool(level)


def _list_inner(parsed: Iterable[Any]) -> list[Any]:
    return [each for each in parsed if isinstance(each, (dict, list))]


def _open(outer: dict[str, Any] | list[Any]) -> Iterable[Any]:
    return outer.values() if isinstance(outer, dict) else outer


def _cut(parsed: Any, levels: int) -> Any:
    if not isinstance(parsed, (dict, list)):
        return parsed
    if not levels:
        return []
    if isinstance(parsed, list):
        return [_cut(each, levels - 1) for each in parsed]
    return {name: _cut(each, levels - 1) for name, each in parsed.items()}


def _replace_unreadable(text: str) -> str:
    nesting = _Nesting()
    replaced: list[str] = []
    matches = _TOKEN.finditer(text)
    while batch := list(itertools.islice(matches, _MAX_TOKENS_AT_ONCE)):
        replaced.extend(nesting.read(match[0]) for match in batch)
        # An answer of megabytes takes seconds.
        gevent.sleep(_PAUSE_MS / MS_PER_S)
    return ''.join(replaced)


@final
class _Nesting:
    """Tokens of JSON, of which those nested too deeply are left out."""

    __slots__ = ('_depth',)

    def __init__(self) -> None:
        """Start outside of all lists and objects."""
        self._depth = 0

    def read(self, token: str) -> str:
        """Read the next token.

        :param token: the token.
        :returns: what stands in its place.
        """
        if token in _OPENING:
            return self._open(token)
        if token in _CLOSING:
            return self._close(token)
        return _read_token(token) if self._depth <= MAX_DEPTH else ''

    def _open(self, token: str) -> str:
        self._depth += 1
        if self._depth <= MAX_DEPTH:
            return token
        return _UNREADABLE if self._depth == MAX_DEPTH + 1 else ''

    def _close(self, token: str) -> str:
        self._depth -= 1
        return token if self._depth < MAX_DEPTH else ''


def _read_token(token: str) -> str:
    first = token[0]
    if first == '"':
        return _ESCAPE.sub(_keep_escape, token)
    if first in ',:' or first.isspace() or token in _LITERALS:
        return token
    return token if _is_number(token) else _UNREADABLE


def _keep_escape(match: re.Match[str]) -> str:
    return match[1] or _REPLACEMENT


def _is_number(token: str) -> bool:
    if len(token) > _MAX_NUMBER or not _NUMBER.fullmatch(token):
        return False
    return math.isfinite(float(token))
