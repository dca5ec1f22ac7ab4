"""This process's copy of the accepted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, TypeAlias, final

import gevent
from returns.result import Result, Success

from wingfall.config.history import History, object_key
from wingfall.log import part_logger
from wingfall.objects.customer import Customer
from wingfall.objects.endpoint import Endpoint
from wingfall.objects.parser import ConfigObject, is_config_kind, parse_object
from wingfall.objects.request_class import RequestClass

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.object_api.readings import ObjectList, WatchEvent

_Key: TypeAlias = tuple[str, str]

_SLICE = 50

logger = part_logger('config')


@final
class _Parsed:
    """An object after its check."""

    __slots__ = ('key', 'outcome')

    def __init__(
        self,
        *,
        key: _Key,
        outcome: Result[ConfigObject, str] | None,
    ) -> None:
        """Keep the outcome.

        :param key: kind and name.
        :param outcome: the typed object or its fault, None for a kind that
            is no configuration.
        """
        self.key = key
        self.outcome = outcome


@final
class ConfigCopy:
    """Typed objects at one version, which only ever rises.

    An object that fails its check is left out of the change: the last good
    version of that object stays in force and the fault is kept for status.
    """

    __slots__ = (
        '_customers_by_key',
        '_faults',
        '_history',
        '_listeners',
        '_tables',
        '_version',
    )

    def __init__(self) -> None:
        """Start empty at version 0, before the first list."""
        self._version = 0
        self._history = History()
        self._tables: dict[type[ConfigObject], dict[str, Any]] = {
            RequestClass: {},
            Endpoint: {},
            Customer: {},
        }
        self._faults: dict[_Key, str] = {}
        self._customers_by_key: dict[str, Customer] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force, 0 before the first list."""
        return self._version

    @property
    def history(self) -> History:
        """The objects as JSON and the latest changes."""
        return self._history

    @property
    def faults(self) -> dict[_Key, str]:
        """Why the newest version of an object is refused, by kind and name."""
        return self._faults

    @property
    def classes(self) -> Collection[RequestClass]:
        """All request classes."""
        return self._tables[RequestClass].values()

    @property
    def endpoints(self) -> Collection[Endpoint]:
        """All endpoints."""
        return self._tables[Endpoint].values()

    @property
    def customers(self) -> Collection[Customer]:
        """All customers."""
        return self._tables[Customer].values()

    def find_class(self, name: str) -> RequestClass | None:
        """Find a request class.

        :param name: its name.
        :returns: the class, or None.
        """
        return self._tables[RequestClass].get(name)

    def find_customer(self, key_hash: str) -> Customer | None:
        """Find the customer of an API key.

        :param key_hash: hash of the key.
        :returns: the customer, or None.
        """
        return self._customers_by_key.get(key_hash)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change.

        :param listener: the function.
        """
        self._listeners.append(listener)

    def apply_list(self, objects: ObjectList) -> bool:
        """Take a whole list.

        A long list is parsed in slices, between which others run; it comes
        in force at once when all is parsed.

        :param objects: the list.
        :returns: False if its version is not above the one in force.
        """
        parsed: list[_Parsed] = []
        for number, raw in enumerate(objects.objects):
            if number % _SLICE == _SLICE - 1:
                gevent.sleep(0)
            parsed.append(_parse(raw))
        if objects.version <= self._version:
            return False
        listed = {each.key for each in parsed}
        for key in self._keys() - listed:
            self._remove(key)
        for each in parsed:
            self._take(each)
        self._history.replace(objects.version, objects.objects)
        self._finish(objects.version)
        return True

    def apply_event(self, event: WatchEvent) -> bool:
        """Take one change.

        :param event: the change, which must follow the version in force.
        :returns: False if its version is not above the one in force.
        """
        if event.version <= self._version:
            return False
        if event.raw is None:
            self._finish(event.version)
            return True
        if event.deleted:
            self._remove(object_key(event.raw))
        else:
            self._take(_parse(event.raw))
        self._history.note(event)
        self._finish(event.version)
        return True

    def _take(self, parsed: _Parsed) -> None:
        if parsed.outcome is None:
            return
        if not isinstance(parsed.outcome, Success):
            fault = parsed.outcome.failure()
            self._faults[parsed.key] = fault
            logger.warning('Refused %s %s: %s.', *parsed.key, fault)
            return
        self._remove(parsed.key)
        typed = parsed.outcome.unwrap()
        self._tables[type(typed)][typed.name] = typed
        if isinstance(typed, Customer):
            for key_hash in typed.key_hashes:
                self._customers_by_key[key_hash] = typed

    def _remove(self, key: _Key) -> None:
        self._faults.pop(key, None)
        kind, name = key
        for typed_kind, table in self._tables.items():
            if typed_kind.__name__ != kind:
                continue
            removed = table.pop(name, None)
            if isinstance(removed, Customer):
                self._forget_keys(removed)

    def _forget_keys(self, customer: Customer) -> None:
        for key_hash in customer.key_hashes:
            if self._customers_by_key.get(key_hash) is customer:
                self._customers_by_key.pop(key_hash)

    def _keys(self) -> set[_Key]:
        keys = set(self._faults)
        for kind, table in self._tables.items():
            keys.update((kind.__name__, name) for name in table)
        return keys

    def _finish(self, version: int) -> None:
        self._version = version
        logger.info('Version %d is in force.', version)
        for listener in self._listeners:
            listener()


def _parse(raw: dict[str, Any]) -> _Parsed:
    key = object_key(raw)
    outcome = parse_object(raw) if is_config_kind(key[0]) else None
    return _Parsed(key=key, outcome=outcome)
