"""Label selectors: ``k=v, k!=v, k in (a,b), k notin (a), k, !k``."""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING, Final, final

from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Mapping

_WORD: Final = r'[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?'
_LABEL: Final = re.compile(_WORD)
_TERM: Final = re.compile(
    rf'(?P<absent>!)?\s*(?P<key>{_WORD})\s*'
    rf'(?:(?P<sign>!=|==|=)\s*(?P<word>{_WORD})'
    r'|\s(?P<set>in|notin)\s*\((?P<words>[^()]*)\))?',
)
_NO_WORDS: Final[frozenset[str]] = frozenset()
_COMMA: Final = re.compile(r',(?![^()]*\))')


class Operator(enum.Enum):
    """How a requirement compares a label."""

    one_of = 'in'
    none_of = 'notin'
    present = 'exists'
    absent = '!'


@final
class Requirement:
    """One comparison of a selector."""

    __slots__ = ('key', 'operator', 'words')

    def __init__(
        self,
        *,
        key: str,
        operator: Operator,
        words: frozenset[str] = _NO_WORDS,
    ) -> None:
        """Describe the comparison.

        :param key: key of the label.
        :param operator: how it is compared.
        :param words: what it is compared with.
        """
        self.key = key
        self.operator = operator
        self.words = words

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Compare with labels.

        A missing label matches ``none_of``, as in Kubernetes.

        :param labels: the labels to test.
        :returns: whether they meet the requirement.
        """
        if self.operator is Operator.one_of:
            return labels.get(self.key) in self.words
        if self.operator is Operator.none_of:
            return labels.get(self.key) not in self.words
        return (self.key in labels) is (self.operator is Operator.present)


@final
class Selector:
    """All requirements of a selector; an empty one matches everything."""

    __slots__ = ('requirements', 'text')

    def __init__(self, *, text: str, requirements: list[Requirement]) -> None:
        """Keep the parsed requirements.

        :param text: the selector as written.
        :param requirements: its comparisons.
        """
        self.text = text
        self.requirements = requirements

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Compare with labels.

        :param labels: the labels to test.
        :returns: whether they meet every requirement.
        """
        return all(term.matches(labels) for term in self.requirements)


def parse_selector(text: str) -> Result[Selector, str]:
    """Parse a selector.

    :param text: the selector as written.
    :returns: the selector, or what is wrong with it.
    """
    requirements: list[Requirement] = []
    for part in _COMMA.split(text) if text.strip() else ():
        match = _TERM.fullmatch(part.strip())
        requirement = match and _requirement(match)
        if requirement is None:
            return Failure(f'{part.strip()!r} is not a selector term')
        requirements.append(requirement)
    return Success(Selector(text=text, requirements=requirements))


def parse_labels(text: str) -> Result[dict[str, str], str]:
    """Parse labels as written in a header: ``k=v, k2=v2``.

    :param text: the header.
    :returns: the labels, or what is wrong with them.
    """
    labels: dict[str, str] = {}
    for part in filter(None, (piece.strip() for piece in text.split(','))):
        key, sign, word = part.partition('=')
        if not (sign and _LABEL.fullmatch(key) and _LABEL.fullmatch(word)):
            return Failure(f'{part!r} is not a label of the form key=value')
        labels[key] = word
    return Success(labels)


def _requirement(match: re.Match[str]) -> Requirement | None:
    key, sign, group = match['key'], match['sign'], match['set']
    if match['absent']:
        plain = not (sign or group)
        return Requirement(key=key, operator=Operator.absent) if plain else None
    if sign:
        operator = Operator.none_of if sign == '!=' else Operator.one_of
        words = frozenset((match['word'],))
        return Requirement(key=key, operator=operator, words=words)
    if group:
        return _set_requirement(match)
    return Requirement(key=key, operator=Operator.present)


def _set_requirement(match: re.Match[str]) -> Requirement | None:
    words = [word.strip() for word in match['words'].split(',')]
    if not all(_LABEL.fullmatch(word) for word in words):
        return None
    operator = Operator(match['set'])
    return Requirement(
        key=match['key'],
        operator=operator,
        words=frozenset(words),
    )
