"""Tests of admission by the free capacity of a pool and customers' shares."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Success

from tests.load_replay import POOL, ReplayedCall, ReplayedGateway
from wingfall.clock import ManualClock
from wingfall.errors import Refusal
from wingfall.gateway.calls.admission import admit_prompt
from wingfall.gateway.calls.destination import Destination, choose_among
from wingfall.gateway.knowledge.customer_work import Work
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.knowledge.start_estimates import StartErrorStats
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.prompt import Prompt, PromptPart
from wingfall.gateway.rules.admission.early_refusal import (
    StartEstimate,
    admit_fairly,
    fair_bound_ms,
    refusal_reason,
    start_margin,
)
from wingfall.gateway.rules.admission.retry_after import jittered_ms

TARGET_MS = 1200
# Prefill rate of an engine without samples, in tokens per millisecond.
PREFILL_RATE = 25
PROMPT_TOKENS = 5000


def make_estimate(start_ms: float, **changes: Any) -> StartEstimate:
    """Return the estimate for a new prompt of a tier that is not urgent."""
    defaults = {
        'target_ms': TARGET_MS,
        'left_ms': 8000,
        'urgent': False,
        **changes,
    }
    return StartEstimate(start_ms=start_ms, **defaults)


def is_admitted(start_ms: float, **changes: Any) -> bool:
    """Check if a prompt is admitted."""
    return isinstance(admit_fairly(make_estimate(start_ms, **changes)), Success)


def retry_delay_ms(start_ms: float, **changes: Any) -> int:
    """Return the retry delay of a refused prompt in milliseconds."""
    return admit_fairly(make_estimate(start_ms, **changes)).failure()


def test_customer_within_its_share_has_the_full_bound():
    assert is_admitted(TARGET_MS, use=0.3)
    assert is_admitted(TARGET_MS, use=1)
    assert not is_admitted(TARGET_MS + 1, use=1)


def test_bound_shrinks_with_relative_use():
    bounds = [
        fair_bound_ms(make_estimate(0, use=use)) for use in (1, 1.5, 2, 4, 40)
    ]
    assert bounds == [1200, 800, 600, 300, 300]


def test_customer_above_its_share_is_admitted_at_nearly_idle_engines():
    assert is_admitted(700, use=10, empty_queue_start_ms=650)
    assert not is_admitted(800, use=10, empty_queue_start_ms=650)
    # The bound for all customers still applies.
    assert not is_admitted(
        TARGET_MS + 10, use=10, empty_queue_start_ms=TARGET_MS
    )


def test_prompt_is_not_refused_for_its_own_length():
    assert is_admitted(5000, use=10, empty_queue_start_ms=5000)
    assert not is_admitted(5001, empty_queue_start_ms=5000)


def test_share_does_not_put_a_tier_behind_a_lower_one():
    assert is_admitted(TARGET_MS, lowest=False, use=40)
    assert not is_admitted(TARGET_MS + 1, lowest=False, use=40)


def test_most_urgent_tier_is_refused_last():
    assert is_admitted(4000, urgent=True)
    assert not is_admitted(4000, urgent=True, use=4)
    assert is_admitted(TARGET_MS, urgent=True, lowest=False, use=40)


def test_margin_divides_the_bound():
    error = StartErrorStats(median=0.5, worst_tenth=0.72)
    margin = start_margin(error)
    assert margin == pytest.approx(1.2)
    assert is_admitted(TARGET_MS / margin, margin=margin)
    assert not is_admitted(TARGET_MS / margin + 1, margin=margin)
    assert is_admitted(TARGET_MS / margin, margin=margin, lowest=False, use=40)


def test_margin_is_bounded_and_is_one_without_samples():
    assert start_margin(None) == 1
    max_margin = start_margin(StartErrorStats(median=0.1, worst_tenth=9))
    assert max_margin == pytest.approx(1.5)


def test_prompt_that_would_end_after_the_deadline_is_refused():
    assert is_admitted(500, stream_ms=7500)
    assert not is_admitted(500, stream_ms=7501)


def test_refusal_reasons():
    assert refusal_reason(make_estimate(TARGET_MS + 1, use=2)) == 'no_room'
    assert refusal_reason(make_estimate(TARGET_MS, use=2)) == 'over_share'
    assert refusal_reason(make_estimate(500, stream_ms=9000)) == 'ends_late'


def test_retry_delay_ends_when_the_queue_is_half_of_the_target():
    assert retry_delay_ms(2000) == 1400


def test_retry_delay_grows_with_relative_use():
    # The delay until the queue is half of the bound, times the relative use.
    assert retry_delay_ms(2000, use=2) == 3400
    assert retry_delay_ms(2000, use=40, left_ms=5000) == 5000


def test_jitter_spreads_retries_of_callers():
    delays_ms = [jittered_ms(1000, 8000, draw / 10) for draw in range(11)]
    assert delays_ms[0] == 1000
    assert delays_ms[-1] == 1200
    assert len(set(delays_ms)) == 11


def test_retry_delay_is_at_most_the_remaining_time():
    delays_ms = [jittered_ms(5000, 3000, draw) for draw in (0, 0.5, 1)]
    assert len(set(delays_ms)) == 3
    assert max(delays_ms) <= 3000


class Pool:
    """A gateway and the engines of its pool."""

    def __init__(self, *, admission: str = 'fair', engines: int = 4) -> None:
        """Create a pool without work.

        :param admission: name of the admission rule.
        :param engines: number of engines.
        """
        clock = ManualClock(start_ms=1000)
        self.gateway = ReplayedGateway(
            name='g',
            clock=clock,
            policies={'admission': admission},
            gaps_ms=[],
        )
        self.knowledge = self.gateway.knowledge
        self.knowledge.customer_work.merge_from_peer(POOL, 'long ago', 0, 0)
        clock.advance(2000)
        for number in range(1, engines + 1):
            self.knowledge.table.put(
                PoolEndpoint(
                    name=f'e{number}',
                    pool=POOL,
                    host='h',
                    port=1,
                    zone='a',
                    slots=64,
                    draining=False,
                )
            )

    def queue(self, wait_ms: int, *names: str) -> None:
        """Queue prompts with the given wait at engines."""
        for name in names:
            load = EndpointLoad(
                running=1, prefill_tokens=wait_ms * PREFILL_RATE
            )
            self.knowledge.load.start(name, load)

    def note_heavy_use(self, customer: str) -> None:
        """Record a customer that asks for far more than its share."""
        for name, asked in ((customer, 1_200_000), ('bryn', 100_000)):
            work = Work(asked=asked, given=asked / 2)
            self.knowledge.customer_work.note(POOL, name, work)

    def admit(self, customer: str = 'aker', chosen: str = 'e1') -> Any:
        """Return the outcome for a prompt that is placed at one engine."""
        part = PromptPart(part_id='own', tokens=PROMPT_TOKENS)
        request_kind = SimpleNamespace(
            target_ms=TARGET_MS, deadline_ms=8000, gap_ms=800, urgent=False
        )
        replayed = ReplayedCall(
            kind=request_kind,
            gateway=self.gateway,
            prompt=Prompt(parts=(part,), output_tokens=100),
            customer=customer,
            now_ms=self.gateway.state.clock.now_ms(),
        )
        state, call = self.gateway.state, replayed.call
        endpoint = self.knowledge.table.find(chosen)
        destination = choose_among(state, call, POOL, [endpoint])
        outcome = admit_prompt(state, call, POOL, destination)
        return outcome.value_or(None) or outcome.failure()


def engine_name(outcome: Destination) -> str:
    """Return the name of the engine that a prompt is sent to."""
    return outcome.endpoint.name


def test_prompt_is_sent_to_an_engine_that_starts_it_in_time():
    pool = Pool()
    pool.queue(2000, 'e1', 'e2', 'e4')
    assert engine_name(pool.admit(chosen='e1')) == 'e3'


def test_chosen_engine_is_kept_if_it_starts_in_time():
    pool = Pool()
    pool.queue(900, 'e1')
    assert engine_name(pool.admit(chosen='e1')) == 'e1'


def test_prompt_is_refused_only_if_no_engine_starts_it_in_time():
    pool = Pool()
    pool.queue(2000, 'e1', 'e2', 'e4')
    pool.queue(1100, 'e3')
    refusal = pool.admit(chosen='e1')
    assert isinstance(refusal, Refusal)
    # By the earliest start at any engine: 1300 ms, less half of the target.
    assert 700 <= refusal.retry_after_ms <= 840


@pytest.mark.parametrize('admission', ['target', 'always'])
def test_baselines_try_no_other_engine(admission: str):
    pool = Pool(admission=admission)
    pool.queue(2000, 'e1')
    outcome = pool.admit(chosen='e1')
    assert isinstance(outcome, Refusal) == (admission == 'target')


def test_share_does_not_move_a_prompt_from_an_engine_in_time():
    pool = Pool()
    pool.note_heavy_use('hot')
    pool.queue(700, 'e1', 'e2', 'e4')
    assert engine_name(pool.admit('hot', chosen='e1')) == 'e1'


@pytest.mark.parametrize('admission', ['target', 'always'])
def test_baselines_report_no_customer_work(admission: str):
    pool = Pool(admission=admission)
    assert engine_name(pool.admit(chosen='e1')) == 'e1'
    assert not pool.knowledge.customer_work.take_unreported()


def test_unreachable_engine_gets_no_prompt():
    pool = Pool()
    pool.queue(2000, 'e1', 'e2', 'e4')
    pool.knowledge.health.note_unreachable('e3')
    assert isinstance(pool.admit(chosen='e1'), Refusal)


def test_customer_above_its_share_is_refused_where_others_are_not():
    pool = Pool()
    pool.note_heavy_use('hot')
    pool.queue(700, 'e1', 'e2', 'e3', 'e4')
    assert isinstance(pool.admit('hot'), Refusal)
    assert isinstance(pool.admit('bryn'), Destination)


def test_asked_work_is_counted_once_and_also_if_refused():
    pool = Pool()
    pool.queue(2000, 'e1', 'e2', 'e3', 'e4')
    assert isinstance(pool.admit('hot'), Refusal)
    (entry,) = pool.knowledge.customer_work.take_unreported()
    assert entry[:2] == [POOL, 'hot']
    assert entry[2] > PROMPT_TOKENS
    assert entry[3] == 0


def test_uncached_prompts_spread_over_engines_in_time():
    pool = Pool(engines=21)
    pool.queue(2000, 'e1')
    chosen = Counter(
        engine_name(pool.admit(chosen='e1')) for _prompt in range(200)
    )
    assert max(chosen.values()) < 40


def test_small_pool_tries_no_other_engine():
    pool = Pool()
    pool.knowledge._large_pool = 5
    pool.queue(2000, 'e1')
    assert isinstance(pool.admit(chosen='e1'), Refusal)
    assert not pool.knowledge.customer_work.take_unreported()
