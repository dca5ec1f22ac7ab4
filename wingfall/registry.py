"""Named choices of behaviour, filled by decorators."""

from __future__ import annotations

from typing import Callable, Generic, TypeVar

from returns.result import Failure, Result, Success

_Entry = TypeVar('_Entry')


class Registry(Generic[_Entry]):
    """A table from a name in the settings to the part that serves it."""

    __slots__ = ('_entries', '_kind')

    def __init__(self, *, kind: str) -> None:
        """Create an empty table.

        :param kind: what the entries are, for error messages.
        """
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    @property
    def names(self) -> list[str]:
        """All registered names, sorted."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Register the decorated entry.

        :param name: the name that the settings use.
        :returns: a decorator that gives its argument back.
        :raises ValueError: if the name is taken, which is a broken invariant.
        """

        def decorate(entry: _Entry) -> _Entry:
            if name in self._entries:
                raise ValueError(f'{self._kind} {name} is registered twice')
            self._entries[name] = entry
            return entry

        return decorate

    def find(self, name: str) -> Result[_Entry, str]:
        """Look a name up.

        :param name: the name to find.
        :returns: the entry, or a sentence that lists the names there are.
        """
        if name in self._entries:
            return Success(self._entries[name])
        known = ', '.join(self.names)
        return Failure(f'unknown {self._kind} {name!r}; known: {known}')
