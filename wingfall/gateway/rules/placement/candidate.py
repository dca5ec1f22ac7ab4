"""Inputs of a placement: a request and the endpoints it may be sent to.

Plain data; times are in milliseconds, lengths in tokens.
"""

from __future__ import annotations

from typing import final

from wingfall.gateway.knowledge.engine_speed import EngineSpeed


@final
class Candidate:
    """State of an endpoint at the time a request is placed."""

    __slots__ = (
        'cached_tokens',
        'copied_tokens',
        'failure_rate',
        'total_cached_tokens',
        'memory_tokens',
        'memory_used',
        'name',
        'prefill_tokens',
        'long_reads',
        'remote',
        'running',
        'safe_gap_ms',
        'slots',
        'speed',
        'streams',
        'unreported_tokens',
    )

    def __init__(
        self,
        *,
        name: str,
        remote: bool = False,
        slots: int = 1,
        running: int = 0,
        prefill_tokens: int = 0,
        memory_used: int = 0,
        memory_tokens: int = 0,
        cached_tokens: int = 0,
        copied_tokens: int = 0,
        total_cached_tokens: int = 0,
        streams: dict[int, int] | None = None,
        speed: EngineSpeed | None = None,
        long_reads: float = 0,
        unreported_tokens: float = 0,
        failure_rate: float = 0,
        safe_gap_ms: int | None = None,
    ) -> None:
        """Describe an endpoint.

        :param name: name of the endpoint.
        :param remote: whether it is in another availability zone.
        :param slots: number of requests that it runs at once.
        :param running: requests of all gateways that run or wait there.
        :param prefill_tokens: prompt tokens that it has not prefilled yet.
        :param memory_used: tokens held there by running requests.
        :param memory_tokens: capacity in tokens, 0 if unknown.
        :param cached_tokens: tokens of this prompt that it caches.
        :param copied_tokens: tokens of this prompt that it would copy from
            another engine.
        :param total_cached_tokens: cached tokens of all prompts.
        :param streams: number of running streams by their token gap bound in
            milliseconds.
        :param speed: measured prefill rate and token gaps.
        :param long_reads: tokens of long prefills sent recently.
        :param unreported_tokens: estimate of tokens that other gateways sent
            but have not reported yet.
        :param failure_rate: fraction of its requests that fail, 0 to 1.
        :param safe_gap_ms: the shortest token gap bound that is met during
            continuous prefill, None if unknown.
        """
        self.name = name
        self.remote = remote
        self.slots = slots
        self.running = running
        self.prefill_tokens = prefill_tokens
        self.memory_used = memory_used
        self.memory_tokens = memory_tokens
        self.cached_tokens = cached_tokens
        self.copied_tokens = copied_tokens
        self.total_cached_tokens = total_cached_tokens
        self.streams = streams or {}
        self.speed = speed or EngineSpeed()
        self.long_reads = long_reads
        self.unreported_tokens = unreported_tokens
        self.failure_rate = failure_rate
        self.safe_gap_ms = safe_gap_ms

    def meets_gap_bound(self, gap_ms: int) -> bool:
        """Check if a stream meets its token gap bound during any prefill.

        :param gap_ms: token gap bound of the stream in milliseconds.
        :returns: whether the bound is known to be met.
        """
        return self.safe_gap_ms is not None and gap_ms >= self.safe_gap_ms


@final
class Demand:
    """Requirements that a request places on an endpoint."""

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

        :param is_prompt: whether the request has a prompt for a model engine.
        :param tokens: length of the prompt.
        :param shared_tokens: prompt tokens shared with other prompts.
        :param output_tokens: expected length of the answer.
        :param start_target_ms: target for the time to the first event in
            milliseconds, None without a target.
        :param gap_target_ms: token gap bound of the stream in milliseconds,
            None without a bound.
        :param body_bytes: bytes sent to the endpoint.
        """
        self.is_prompt = is_prompt
        self.tokens = tokens
        self.shared_tokens = shared_tokens
        self.output_tokens = output_tokens
        self.start_target_ms = start_target_ms
        self.gap_target_ms = gap_target_ms
        self.body_bytes = body_bytes
