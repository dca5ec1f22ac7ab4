"""Types of the elements of lists and maps in a message.

A list of an unexpected shape would raise where it is read, at each gateway
that it reaches; with a shape the message is refused where it is received.
"""

from __future__ import annotations

import math
from types import NoneType
from typing import TYPE_CHECKING, Any, Final, TypeAlias, final

if TYPE_CHECKING:
    from collections.abc import Iterable

ANY: Final = object


@final
class Number:
    """An integer or a finite float."""

    __slots__ = ()
    kind: type[Any] = float

    def matches(self, given: Any) -> bool:
        """Check a value.

        :param given: the value.
        :returns: whether it is such a number.
        """
        if isinstance(given, float):
            return math.isfinite(given)
        return isinstance(given, int)


@final
class ListOf:
    """A list of elements of one type."""

    __slots__ = ('_element',)
    kind: type[Any] = list

    def __init__(self, element: FieldType) -> None:
        """Describe a list.

        :param element: type of each element.
        """
        self._element = element

    def matches(self, given: Any) -> bool:
        """Check a value.

        :param given: the value.
        :returns: whether it is such a list.
        """
        return isinstance(given, list) and _all_match(self._element, given)


@final
class MapOf:
    """A map from texts to values of one type."""

    __slots__ = ('_element',)
    kind: type[Any] = dict

    def __init__(self, element: FieldType) -> None:
        """Describe a map.

        :param element: type of each value.
        """
        self._element = element

    def matches(self, given: Any) -> bool:
        """Check a value.

        :param given: the value.
        :returns: whether it is such a map.
        """
        return (
            isinstance(given, dict)
            and _all_match(str, given)
            and _all_match(self._element, given.values())
        )


@final
class Row:
    """A list of a fixed number of fields, and of groups that may follow."""

    __slots__ = ('_fields', '_group', '_is_optional')
    kind: type[Any] = list

    def __init__(
        self,
        *fields: FieldType,
        group: tuple[FieldType, ...] = (),
        is_optional: bool = False,
    ) -> None:
        """Describe a row.

        :param fields: types of its first fields.
        :param group: types of the fields of each group, none if no group
            follows.
        :param is_optional: whether an empty list stands for no row.
        """
        self._fields = fields
        self._group = group
        self._is_optional = is_optional

    def matches(self, given: Any) -> bool:
        """Check a value.

        :param given: the value.
        :returns: whether it is such a row.
        """
        if not isinstance(given, list):
            return False
        if self._is_optional and not given:
            return True
        groups, odd = 0, len(given) - len(self._fields)
        if self._group:
            groups, odd = divmod(odd, len(self._group))
        return (
            odd == 0
            and groups >= 0
            and all(map(matches, (*self._fields, *self._group * groups), given))
        )


Shape: TypeAlias = ListOf | MapOf | Number | Row
FieldType: TypeAlias = 'type[Any] | tuple[type[Any], ...] | Shape'

NUMBER: Final = Number()
OPTIONAL_NUMBER: Final = (int, float, NoneType)
OPTIONAL_TEXT: Final = (str, NoneType)


def matches(declared: FieldType, given: Any) -> bool:
    """Check a value.

    :param declared: its declared type.
    :param given: the value.
    :returns: whether it is of this type.
    """
    if isinstance(declared, Shape):
        return declared.matches(given)
    return isinstance(given, declared)


def _all_match(declared: FieldType, elements: Iterable[Any]) -> bool:
    return all(matches(declared, each) for each in elements)
