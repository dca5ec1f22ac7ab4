"""Which endpoints are likely to have the beginning of a prompt cached.

Engines cache prompts by blocks and forget the least used. Their cache events
come late and with gaps, so a router goes by its own history: where it last
sent a prompt that began alike. A wrong guess costs nothing but the gain.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, Any, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterator

# Characters of a block of a prompt, and blocks that are looked at: prompts that
# differ after 4,096 characters count as alike.
BLOCK_CHARS: Final = 256
MAX_BLOCKS: Final = 16
# Prompts that a router remembers, some MB.
MAX_ENTRIES: Final = 50_000

# Bytes of a digest: two of 50,000 prompts are rarely taken for one.
_DIGEST_BYTES: Final = 8


def prompt_text(body: dict[str, Any]) -> str:
    """Join what a model request says, as far as its cache can matter.

    :param body: the parsed body of a chat or completion request.
    :returns: the text from its beginning; empty if there is none.
    """
    joined = ''.join(_parts(body))
    return joined[: BLOCK_CHARS * MAX_BLOCKS]


def hash_prefixes(text: str) -> list[bytes]:
    """Hash a prompt so that equal beginnings have equal hashes.

    :param text: the prompt.
    :returns: a hash a whole block, each over all up to its end.
    """
    hashes: list[bytes] = []
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(running.digest())
    return hashes


@final
class PrefixHistory:
    """Where prompts went, the least recent forgotten first."""

    __slots__ = ('_endpoints', '_max_entries')

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        """Start empty.

        :param max_entries: blocks that are remembered, some 150 bytes each.
        """
        self._max_entries = max_entries
        self._endpoints: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )

    def note(self, prefixes: list[bytes], endpoint: str) -> None:
        """Remember where a prompt went.

        :param prefixes: its hashes.
        :param endpoint: name of the endpoint.
        """
        for prefix in prefixes:
            self._endpoints[prefix] = endpoint
            self._endpoints.move_to_end(prefix)
        while len(self._endpoints) > self._max_entries:
            self._endpoints.popitem(last=False)

    def cached_parts(self, prefixes: list[bytes]) -> dict[str, float]:
        """Guess who has how much of a prompt.

        :param prefixes: its hashes.
        :returns: by endpoint the part of the prompt, 0 to 1.
        """
        parts: dict[str, float] = {}
        for count, prefix in enumerate(prefixes, start=1):
            endpoint = self._endpoints.get(prefix)
            if endpoint is not None:
                parts[endpoint] = count / len(prefixes)
        return parts


def _parts(body: dict[str, Any]) -> Iterator[str]:
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        yield prompt
    messages = body.get('messages')
    if not isinstance(messages, list):
        return
    for each in messages:
        said = each.get('content') if isinstance(each, dict) else None
        if isinstance(said, str):
            yield f'{each.get("role")}\n{said}\n'
