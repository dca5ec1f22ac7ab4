"""How much memory this process may use, and what told so.

The settings may say it. Otherwise it is the least of what the machine has and
of what limits this process.
"""

from __future__ import annotations

import pathlib
import re
import resource
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterator

_ROOT: Final = pathlib.Path('/')
BYTES_PER_MB: Final = 1_048_576
_BYTES_PER_KB: Final = 1024
_MACHINE_TOTAL: Final = re.compile(r'^MemTotal:\s+(\d+) kB', re.MULTILINE)
# Path of the process in a hierarchy of control groups, the folder of that
# hierarchy, and the file of a group's limit: of version 2 and of version 1.
_GROUP_LIMITS: Final = (
    (re.compile(r'^0::(/.*)$', re.MULTILINE), 'sys/fs/cgroup', 'memory.max'),
    (
        re.compile(
            r'^\d+:(?:[^:\n]*,)?memory(?:,[^:\n]*)?:(/.*)$', re.MULTILINE
        ),
        'sys/fs/cgroup/memory',
        'memory.limit_in_bytes',
    ),
)
# Fields of the kernel's ``statm``: resident pages, and by limit the pages that
# it counts.
_RESIDENT_FIELD: Final = 1
_PAGE_FIELDS: Final = MappingProxyType({'RLIMIT_AS': 0, 'RLIMIT_DATA': 5})
# Limit of a machine that tells none.
_UNKNOWN_MB: Final = 300


@final
class MemoryLimit:
    """Memory that this process may use."""

    __slots__ = ('limit_bytes', 'source')

    def __init__(self, *, limit_bytes: int, source: str) -> None:
        """Create a limit.

        :param limit_bytes: bytes that the process may use.
        :param source: what told so.
        """
        self.limit_bytes = limit_bytes
        self.source = source


def find_memory_limit(
    configured_mb: int, root: pathlib.Path = _ROOT
) -> MemoryLimit:
    """Return how much memory this process may use.

    :param configured_mb: limit in the settings in MB, 0 to find it.
    :param root: folder of the kernel's file systems.
    :returns: the limit.
    """
    if configured_mb:
        return MemoryLimit(
            limit_bytes=configured_mb * BYTES_PER_MB, source='settings'
        )
    found = (*_find_files(root), *_find_resource_limits(root))
    if not found:
        return MemoryLimit(
            limit_bytes=_UNKNOWN_MB * BYTES_PER_MB, source='default'
        )
    return min(found, key=lambda each: each.limit_bytes)


def _find_resource_limits(root: pathlib.Path) -> Iterator[MemoryLimit]:
    pages = _read(root / 'proc/self/statm').split()
    counts = [int(count) for count in pages if count.isdecimal()]
    for name, field in _PAGE_FIELDS.items():
        soft, _hard = resource.getrlimit(getattr(resource, name))
        if soft != resource.RLIM_INFINITY:
            # These limit what is mapped, of which a part is never resident.
            unused_bytes = _count_unused_bytes(counts, field)
            yield MemoryLimit(
                limit_bytes=max(0, soft - unused_bytes), source=name
            )


def _count_unused_bytes(counts: list[int], field: int) -> int:
    if len(counts) <= field:
        return 0
    unused_pages = counts[field] - counts[_RESIDENT_FIELD]
    return max(0, unused_pages) * resource.getpagesize()


def _find_files(root: pathlib.Path) -> Iterator[MemoryLimit]:
    total = _MACHINE_TOTAL.search(_read(root / 'proc/meminfo'))
    if total:
        yield MemoryLimit(
            limit_bytes=int(total[1]) * _BYTES_PER_KB, source='MemTotal'
        )
    groups = _read(root / 'proc/self/cgroup')
    for path in _list_group_limits(groups):
        text = _read(root / path).strip()
        if text.isdecimal():
            yield MemoryLimit(limit_bytes=int(text), source=path.name)


def _list_group_limits(groups: str) -> Iterator[pathlib.PurePath]:
    # Each group above limits those below; a container sees its own group as
    # the root of a hierarchy.
    for pattern, folder, name in _GROUP_LIMITS:
        found = pattern.search(groups)
        group = pathlib.PurePath(found[1].strip('/') if found else '')
        for path in (group, *group.parents):
            yield pathlib.PurePath(folder) / path / name


def _read(path: pathlib.Path) -> str:
    # What can't be read sets no limit.
    try:
        return path.read_text('utf-8', 'replace')
    except OSError:
        return ''
