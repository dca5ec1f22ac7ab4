"""What all messages between wingfall's processes share.

On the wire a message is a msgpack array: its tag, then its fields in the
order of ``__slots__``. Fields added at the end of a message are optional for
the reader, and extra ones are passed over, so neighbouring versions of the
programs understand each other.
"""

from __future__ import annotations

from typing import Any, Callable, ClassVar, Final, TypeVar

from wingfall.errors import WireError
from wingfall.wire.shapes import FieldType, Shape, matches


class Message:
    """What all messages share: a tag and typed fields."""

    __slots__ = ()
    tag: ClassVar[int]
    types: ClassVar[tuple[Any, ...]]
    # Fields whose elements are checked, by their names.
    shapes: ClassVar[dict[str, Shape]]

    def fields(self) -> list[Any]:
        """List the fields for the codec.

        :returns: the tag and the fields in their order.
        """
        return [self.tag, *(getattr(self, slot) for slot in self.__slots__)]

    def check_elements(self) -> None:
        """Check the elements of lists and maps of a received message.

        :raises WireError: if one has a wrong type.
        """
        for name, shape in self.shapes.items():
            if not matches(shape, getattr(self, name)):
                raise WireError(
                    f'an element of {type(self).__name__}.{name} is wrong',
                )


_MessageType = TypeVar('_MessageType', bound=type[Message])
_MESSAGES: Final[dict[int, type[Message]]] = {}


def message(
    tag: int, *types: FieldType
) -> Callable[[_MessageType], _MessageType]:
    """Register a message.

    :param tag: its number on the wire.
    :param types: the type of each field.
    :returns: a decorator that gives the class back.
    :raises ValueError: if the tag is taken or the types don't fit.
    """

    def decorate(kind: _MessageType) -> _MessageType:
        if tag in _MESSAGES or len(types) != len(kind.__slots__):
            raise ValueError(f'message {kind.__name__} does not fit its tag')
        kind.tag = tag
        kind.types = tuple(
            each.kind if isinstance(each, Shape) else each for each in types
        )
        kind.shapes = {
            name: each
            for name, each in zip(kind.__slots__, types, strict=True)
            if isinstance(each, Shape)
        }
        _MESSAGES[tag] = kind
        return kind

    return decorate


def build_message(fields: object) -> Message:
    """Make a message from decoded fields.

    :param fields: what the codec decoded.
    :returns: the typed message.
    :raises WireError: if it is no message of this protocol.
    """
    if not isinstance(fields, list) or not fields:
        raise WireError('not a message')
    tag = fields.pop(0)
    kind = _MESSAGES.get(tag) if isinstance(tag, int) else None
    if kind is None:
        raise WireError(f'unknown message tag {tag!r:.40}')
    if not all(map(isinstance, fields, kind.types)):
        raise WireError(f'a field of {kind.__name__} has a wrong type')
    try:
        return kind(**dict(zip(kind.__slots__, fields, strict=False)))
    except TypeError as error:
        raise WireError(f'{kind.__name__} is too short') from error
