"""YAML nodes as plain values, each fault with its line."""

from __future__ import annotations

import math
from typing import Any, Final, TypeAlias, final

import yaml
from returns.result import Failure, Result, Success

from wingfall.errors import FieldFault

Path: TypeAlias = tuple[str | int, ...]

# Values that are nested in each other.
_MAX_DEPTH: Final = 50
# Values of a file that are read again, since an alias repeats them.
_MAX_REPEATED: Final = 100_000
# Characters of a value that isn't a text.
_MAX_CHARACTERS: Final = 100
# JSON's readers take integers of 64 bits with a sign.
_MAX_INTEGER: Final = 0x7FFFFFFFFFFFFFFF
_PREFIX: Final = 'tag:yaml.org,2002:'
_MERGE_TAG: Final = f'{_PREFIX}merge'
_TEXT_TAG: Final = f'{_PREFIX}str'
_DATE_TAG: Final = f'{_PREFIX}timestamp'
_SCALAR_TAGS: Final = frozenset(
    f'{_PREFIX}{kind}' for kind in ('null', 'bool', 'int', 'float', 'str')
)


@final
class NodeReader:
    """Reads the nodes of one file into values that JSON has too."""

    __slots__ = ('_open', '_repeated', '_seen', '_source', 'faults')

    def __init__(self, *, source: str) -> None:
        """Start without faults.

        :param source: name of the file, for faults.
        """
        self.faults: list[FieldFault] = []
        self._source = source
        # Nodes that hold the one that is read, by their identities.
        self._open: set[int] = set()
        self._seen: set[int] = set()
        self._repeated = 0

    def read(
        self, node: yaml.Node, lines: dict[Path, int], path: Path = ()
    ) -> Any:
        """Read a node with all that it holds.

        :param node: the node.
        :param lines: takes the line of each field, from 1.
        :param path: keys and indexes from the top.
        :returns: its value; without a meaning if there are faults.
        """
        lines.setdefault(path, _line(node))
        if not self._may_enter(node, path):
            return None
        self._open.add(id(node))
        try:
            return self._read_kind(node, lines, path)
        finally:
            self._open.discard(id(node))

    def _read_kind(
        self, node: yaml.Node, lines: dict[Path, int], path: Path
    ) -> Any:
        if isinstance(node, yaml.ScalarNode):
            return self._read_scalar(node, path)
        kind = 'map' if isinstance(node, yaml.MappingNode) else 'seq'
        if node.tag != f'{_PREFIX}{kind}':
            return self._note_tag(node, path)
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, lines, path)
        return [
            self.read(child, lines, (*path, index))
            for index, child in enumerate(node.value)
        ]

    def _may_enter(self, node: yaml.Node, path: Path) -> bool:
        if id(node) in self._open:
            return self._note(node, path, 'the value holds itself')
        if len(self._open) >= _MAX_DEPTH:
            reason = f'more than {_MAX_DEPTH} values are nested'
            return self._note(node, path, reason)
        if id(node) not in self._seen:
            self._seen.add(id(node))
            return True
        self._repeated += 1
        if self._repeated == _MAX_REPEATED:
            reason = f'aliases repeat {_MAX_REPEATED} values or more'
            self._note(node, path, reason)
        return self._repeated < _MAX_REPEATED

    def _read_mapping(
        self, node: yaml.MappingNode, lines: dict[Path, int], path: Path
    ) -> dict[str, Any]:
        merged: dict[str, Any] = {}
        own: dict[str, Any] = {}
        known: set[str] = set()
        for key, child in node.value:
            if not self._is_key(key, path):
                continue
            child_path = (*path, key.value)
            if key.value in known:
                self._note(key, child_path, 'the field is given twice')
            known.add(key.value)
            if key.tag == _MERGE_TAG:
                merged = self._read_merged(child, lines, path)
            else:
                lines[child_path] = _line(key)
                own[key.value] = self.read(child, lines, child_path)
        return {**merged, **own}

    def _read_merged(
        self, node: yaml.Node, lines: dict[Path, int], path: Path
    ) -> dict[str, Any]:
        sources = node.value if _is_list(node) else [node]
        merged: dict[str, Any] = {}
        for each in sources:
            if not isinstance(each, yaml.MappingNode):
                self._note(each, path, 'only mappings can be merged')
                continue
            # The first of several mappings prevails.
            merged = {**(self.read(each, lines, path) or {}), **merged}
        return merged

    def _is_key(self, key: yaml.Node, path: Path) -> bool:
        if not isinstance(key, yaml.ScalarNode):
            return self._note(key, path, 'a key is not a text')
        if not key.tag.startswith(_PREFIX):
            return self._note_tag(key, path)
        return self._is_text(key, path)

    def _read_scalar(self, node: yaml.ScalarNode, path: Path) -> Any:
        if node.tag == _DATE_TAG:
            return self._note(node, path, 'a date must be put in quotes')
        if node.tag not in _SCALAR_TAGS:
            return self._note_tag(node, path)
        if node.tag == _TEXT_TAG:
            return node.value if self._is_text(node, path) else None
        kind = node.tag.removeprefix(_PREFIX)
        if len(node.value) > _MAX_CHARACTERS:
            reason = f'the {kind} has more than {_MAX_CHARACTERS} characters'
            return self._note(node, path, reason)
        found = _construct(node)
        if not isinstance(found, Success):
            reason = f'not a valid {kind}: {node.value}'
            return self._note(node, path, reason)
        return found.unwrap()

    def _is_text(self, node: yaml.ScalarNode, path: Path) -> bool:
        if '\0' in node.value:
            return self._note(node, path, 'a text holds a NUL character')
        return True

    def _note_tag(self, node: yaml.Node, path: Path) -> bool:
        return self._note(node, path, f'the tag {node.tag!r} is not known')

    def _note(self, node: yaml.Node, path: Path, reason: str) -> bool:
        self.faults.append(
            FieldFault(
                source=self._source,
                line=_line(node),
                field='.'.join(map(str, path)),
                reason=reason,
            ),
        )
        return False


def _line(node: yaml.Node) -> int:
    return node.start_mark.line + 1


def _is_list(node: yaml.Node) -> bool:
    return isinstance(node, yaml.SequenceNode)


def _construct(node: yaml.ScalarNode) -> Result[Any, str]:
    try:
        found = yaml.constructor.SafeConstructor().construct_object(node)
    except Exception as error:  # A tag is put on any text.
        return Failure(str(error))
    if isinstance(found, float) and not math.isfinite(found):
        return Failure('not a finite number')
    if isinstance(found, int) and abs(found) > _MAX_INTEGER:
        return Failure('more than 64 bits')
    return Success(found)
