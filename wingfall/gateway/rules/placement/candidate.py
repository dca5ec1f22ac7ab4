"""The inputs of a placement: a request, and the endpoints it may go to.

Plain data; times are milliseconds, lengths tokens.
"""

from __future__ import annotations

from typing import final

from wingfall.gateway.knowledge.engine_speed import EngineSpeed


@final
class Candidate:
    """What is known of an endpoint when a request is placed."""

    __slots__ = (
        'cached_tokens',
        'copied_tokens',
        'failing',
        'all_cached_tokens',
        'memory_tokens',
        'memory_used',
        'name',
        'reading_tokens',
        'long_reads',
        'remote',
        'running',
        'safe_gap_ms',
        'slots',
        'speed',
        'streams',
        'unseen_tokens',
    )

    def __init__(
        self,
        *,
        name: str,
        remote: bool = False,
        slots: int = 1,
        running: int = 0,
        reading_tokens: int = 0,
        memory_used: int = 0,
        memory_tokens: int = 0,
        cached_tokens: int = 0,
        copied_tokens: int = 0,
        all_cached_tokens: int = 0,
        streams: dict[int, int] | None = None,
        speed: EngineSpeed | None = None,
        long_reads: float = 0,
        unseen_tokens: float = 0,
        failing: float = 0,
        safe_gap_ms: int | None = None,
    ) -> None:
        """Describe an endpoint.

        :param name: its name.
        :param remote: whether it is in another availability zone.
        :param slots: requests it runs at once.
        :param running: requests that run or wait there, of all gateways.
        :param reading_tokens: prompt tokens still to be read there.
        :param memory_used: tokens that running requests hold there.
        :param memory_tokens: tokens it can hold, 0 if unknown.
        :param cached_tokens: tokens of this prompt that it caches.
        :param copied_tokens: tokens of this prompt that it would copy from
            another engine.
        :param all_cached_tokens: tokens of all prompts that it caches.
        :param streams: how many streams there bear which longest token gap
            in milliseconds.
        :param speed: what it has shown of its reading and its token gaps.
        :param long_reads: tokens of long reads that it was sent lately.
        :param unseen_tokens: a guess at what other gateways sent it meanwhile.
        :param failing: share of its requests that fail, 0 to 1.
        :param safe_gap_ms: the shortest gap that streams there bear beside
            reads that never end, None if that is not known.
        """
        self.name = name
        self.remote = remote
        self.slots = slots
        self.running = running
        self.reading_tokens = reading_tokens
        self.memory_used = memory_used
        self.memory_tokens = memory_tokens
        self.cached_tokens = cached_tokens
        self.copied_tokens = copied_tokens
        self.all_cached_tokens = all_cached_tokens
        self.streams = streams or {}
        self.speed = speed or EngineSpeed()
        self.long_reads = long_reads
        self.unseen_tokens = unseen_tokens
        self.failing = failing
        self.safe_gap_ms = safe_gap_ms

    def is_safe(self, gap_ms: int) -> bool:
        """Tell whether reads there are harmless to a stream.

        :param gap_ms: the longest gap in milliseconds that the stream bears.
        :returns: whether it is known that they are.
        """
        return self.safe_gap_ms is not None and gap_ms >= self.safe_gap_ms


@final
class Demand:
    """What a request asks of an endpoint."""

    __slots__ = (
        'body_bytes',
        'gap_target_ms',
        'is_prompt',
        'output_tokens',
        'shared_tokens',
        'start_target_ms',
        'tokens',
    )

    def __init__(
        self,
        *,
        is_prompt: bool = False,
        tokens: int = 0,
        shared_tokens: int = 0,
        output_tokens: int = 0,
        start_target_ms: int | None = None,
        gap_target_ms: int | None = None,
        body_bytes: int = 0,
    ) -> None:
        """Describe a request.

        :param is_prompt: whether a model engine reads a prompt for it.
        :param tokens: length of the prompt.
        :param shared_tokens: tokens of it that other prompts share.
        :param output_tokens: likely length of the answer.
        :param start_target_ms: when its first event is due, None if ever.
        :param gap_target_ms: the longest token gap in milliseconds that its
            stream bears, None if any.
        :param body_bytes: bytes that travel to the endpoint.
        """
        self.is_prompt = is_prompt
        self.tokens = tokens
        self.shared_tokens = shared_tokens
        self.output_tokens = output_tokens
        self.start_target_ms = start_target_ms
        self.gap_target_ms = gap_target_ms
        self.body_bytes = body_bytes
