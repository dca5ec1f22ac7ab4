"""Rules of a call over tables of cases, compared with a golden record.

The expected results are in ``tests/golden/call_rules.json``; an intended change
of a rule changes the record too, with its reason.
"""

from __future__ import annotations

import itertools
import pathlib
from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from wingfall.clock import ManualClock
from wingfall.errors import RunState
from wingfall.gateway.calls import destination
from wingfall.gateway.calls.dispatcher import Dispatch
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.routes import WeightedPool
from wingfall.gateway.rules.admission.early_refusal import (
    StartEstimate,
    admit_by_target,
)
from wingfall.gateway.rules.admission.refusals import (
    refuse_after,
    refuse_early,
    refuse_no_routes,
)
from wingfall.gateway.rules.placement.candidate import Candidate, Demand
from wingfall.gateway.rules.placement.endpoint_choice import place_by_cost
from wingfall.gateway.rules.placement.pool_choice import pick_pool
from wingfall.gateway.rules.placement.shortlist import (
    choose_sample_size,
    make_shortlist,
    prefer_available,
)
from wingfall.gateway.rules.placement.stream_backup import back_up_long_answers
from wingfall.gateway.rules.planned_stop import StopSchedule
from wingfall.gateway.rules.retries.retry import (
    CallProgress,
    RetryDecision,
    RetryTerms,
    decide_retry,
)

RECORD = pathlib.Path(__file__).parent / 'golden' / 'call_rules.json'
NOW_MS = 1000
# A deferred attempt was not sent, so it has no final answer; it has a test of
# its own.
ENDS = [
    end
    for end in AttemptEnd
    if end not in {AttemptEnd.answered, AttemptEnd.held}
]


def make_dispatch(
    *,
    left_ms: int = 1000,
    target_ms: int = 100,
    idempotent: bool = True,
    max_attempts: int = 2,
    sent: int = 0,
    unreached: int = 0,
    may_have_run: bool = False,
    started: bool = False,
    last_event_id: str | None = None,
    resumable: bool = True,
    asked: list[str] | None = None,
) -> Dispatch:
    """Create the dispatch of a call between two attempts."""
    asked = [] if asked is None else asked
    pool = SimpleNamespace(pool='p', weight=1)
    dispatch = Dispatch(
        state=SimpleNamespace(
            clock=ManualClock(start_ms=NOW_MS),
            retry_charges=SimpleNamespace(
                take=lambda _call, name: not asked.append(name)
            ),
        ),
        call=SimpleNamespace(
            arrived_ms=0,
            deadline_ms=NOW_MS + left_ms,
            idempotent=idempotent,
            route=SimpleNamespace(
                target_ms=target_ms,
                max_attempts=max_attempts,
                pools=(pool,),
                streaming=True,
                resumable=resumable,
            ),
        ),
        reply=SimpleNamespace(started=started, last_event_id=last_event_id),
    )
    dispatch._progress.sent.extend(map(str, range(sent)))
    dispatch._progress.unreached.update(map(str, range(unreached)))
    dispatch._progress.may_have_run = may_have_run
    return dispatch


def first_byte_in_ms(start_ms: int, **case: Any) -> int:
    """Return the maximum wait for the first byte of an attempt."""
    outlook = SimpleNamespace(start_ms=start_ms)
    limits = make_dispatch(**case)._limits(outlook)
    return limits.first_byte_ms - NOW_MS


def retry_verdict(end: AttemptEnd, **case: Any) -> str:
    """Return whether a call is retried: no, freely or from the budget."""
    asked: list[str] = []
    is_retried = make_dispatch(asked=asked, **case)._may_retry(end)
    if asked:
        return 'b'
    return 'f' if is_retried else 'n'


def final_answer(end: AttemptEnd, run: RunState, left_ms: int) -> list[Any]:
    """Return the answer to a call after its last attempt."""
    return caller_fields(refuse_after(end, run, left_ms))


def answer_without_endpoint(run: RunState, left_ms: int) -> list[Any]:
    """Return the answer to a call for which no endpoint is left."""
    return caller_fields(refuse_after(AttemptEnd.not_sent, run, left_ms))


def answer_when_time_is_over(run: RunState, left_ms: int) -> list[Any]:
    """Return the answer to a call whose deadline has passed."""
    return caller_fields(refuse_after(AttemptEnd.late, run, left_ms))


def answer_without_routes(left_ms: int) -> list[Any]:
    """Return the answer to a call before a configuration is loaded."""
    return caller_fields(refuse_no_routes(left_ms))


def early_answer(case: tuple[int, int, int, bool]) -> Any:
    """Return the early refusal of a prompt, None if it is admitted."""
    start_ms, target_ms, left_ms, urgent = case
    admitted = admit_by_target(
        StartEstimate(
            start_ms=start_ms,
            target_ms=target_ms,
            left_ms=left_ms,
            urgent=urgent,
        ),
    )
    if admitted.value_or(0) is None:
        return None
    return caller_fields(refuse_early(admitted.failure()))


def make_endpoint(name: str, pool: str = 'p', **changes: Any) -> PoolEndpoint:
    """Create an endpoint."""
    known = {'zone': 'a', 'slots': 1, 'draining': False, **changes}
    return PoolEndpoint(name=name, pool=pool, host='h', port=1, **known)


def available_names(tried: set[str], excluded: set[str]) -> list[str]:
    """Return which of three endpoints a call may be sent to."""
    endpoints = [make_endpoint(name) for name in 'abc']
    available = prefer_available(endpoints, tried, excluded.__contains__)
    return [each.name for each in available]


def list_considered(
    endpoints: list[PoolEndpoint],
    caching: list[PoolEndpoint],
    sample_size: int = 6,
) -> list[PoolEndpoint]:
    """Return the endpoints of a pool that are considered."""
    return make_shortlist(endpoints, caching, sample_size)


def backup_name(
    *,
    backs_up: bool,
    streaming: bool,
    resumable: bool,
    output_tokens: int,
    failure_rate: float,
) -> str | None:
    """Return the engine that holds the backup of a run."""
    state = SimpleNamespace(
        routes=SimpleNamespace(pools={'p': SimpleNamespace(backs_up=backs_up)}),
        policies=SimpleNamespace(
            stream_backup=back_up_long_answers,
            placement=place_by_cost,
        ),
    )
    route = SimpleNamespace(streaming=streaming, resumable=resumable)
    demand = Demand(is_prompt=True, tokens=1000, output_tokens=output_tokens)
    candidates = [
        Candidate(name='failing', failure_rate=failure_rate),
        Candidate(name='busy', running=10, prefill_tokens=500),
    ]
    chosen = destination._choose_backup(
        state, SimpleNamespace(route=route), 'p', demand, candidates
    )
    return chosen.name if chosen else None


def caller_fields(refusal: Any) -> list[Any]:
    """Return the fields of a refusal that the caller receives."""
    return [
        refusal.status,
        refusal.kind,
        refusal.code,
        refusal.run,
        refusal.retry_after_ms,
    ]


def first_byte_table() -> list[int]:
    """Return the maximum waits for the first byte for all cases."""
    return [
        first_byte_in_ms(
            start_ms,
            left_ms=left_ms,
            target_ms=target_ms,
            idempotent=idempotent,
            sent=sent,
        )
        for start_ms, left_ms, target_ms, idempotent, sent in itertools.product(
            (0, 50, 700), (6, 1000, 9001), (0, 200, 2500), (False, True), (0, 1)
        )
    ]


def retry_table() -> str:
    """Return the retry verdicts for all ends of an attempt."""
    return ''.join(
        retry_verdict(
            end,
            idempotent=idempotent,
            may_have_run=ran,
            unreached=unreached,
            sent=sent,
            started=started,
            last_event_id=event_id,
        )
        for end, idempotent, ran, unreached, sent, (
            started,
            event_id,
        ) in itertools.product(
            ENDS,
            (False, True),
            (False, True),
            (0, 7, 8),
            (0, 1, 2),
            ((False, None), (True, None), (True, '7')),
        )
    )


def answer_table() -> list[Any]:
    """Return all final answers that the gateway creates itself."""
    states = list(itertools.product(RunState, (0, 150, 2000, 9000)))
    return [
        *(final_answer(end, *state) for end in ENDS for state in states),
        *(answer_without_endpoint(*state) for state in states),
        *(answer_when_time_is_over(*state) for state in states),
        *(answer_without_routes(left_ms) for left_ms in (0, 150, 9000)),
    ]


def early_table() -> list[Any]:
    """Return the early refusals for all cases."""
    cases = itertools.product(
        (0, 500, 501, 3000, 60_000), (500, 2500), (400, 5000), (False, True)
    )
    return [early_answer(case) for case in cases]


def available_table() -> list[list[str]]:
    """Return the available endpoints for all tried and excluded sets."""
    subsets = [set(), {'a'}, {'a', 'b'}, {'a', 'b', 'c'}]
    return [
        available_names(tried, excluded)
        for tried in subsets
        for excluded in subsets
    ]


def backup_table() -> list[str | None]:
    """Return the backup engines for all cases."""
    cases = itertools.product(
        (False, True), (False, True), (False, True), (499, 500), (0, 0.3, 1)
    )
    names = (
        'backs_up',
        'streaming',
        'resumable',
        'output_tokens',
        'failure_rate',
    )
    return [
        backup_name(**dict(zip(names, case, strict=True))) for case in cases
    ]


TABLES = {
    'first byte': first_byte_table,
    'retry': retry_table,
    'answer': answer_table,
    'early answer': early_table,
    'sound': available_table,
    'backup': backup_table,
}


@pytest.mark.parametrize(('resumable', 'verdict'), [(True, 'b'), (False, 'n')])
def test_stream_that_has_begun_goes_on_only_where_streams_are_resumed(
    verdict: str, *, resumable: bool
):
    case = {'sent': 1, 'started': True, 'last_event_id': '2'}
    assert retry_verdict(AttemptEnd.cut, resumable=resumable, **case) == verdict


@pytest.mark.parametrize('name', TABLES)
def test_rule_matches_golden_record(name: str):
    assert TABLES[name]() == orjson.loads(RECORD.read_bytes())[name]


def test_deferred_attempt_leaves_progress_unchanged():
    progress = CallProgress()
    progress.note('b', AttemptEnd.held)
    assert not progress.sent
    assert not progress.unreached
    assert not progress.may_have_run
    terms = RetryTerms(idempotent=False, max_attempts=1, is_resumable=True)
    verdict = decide_retry(AttemptEnd.held, progress, terms)
    assert verdict is RetryDecision.free
    # No retry once another endpoint may have run the call.
    progress.note('a', AttemptEnd.lost)
    verdict = decide_retry(AttemptEnd.held, progress, terms)
    assert verdict is RetryDecision.never


def test_all_endpoints_of_small_pool_are_considered():
    endpoints = [make_endpoint(str(number)) for number in range(8)]
    assert list_considered(endpoints, []) == endpoints
    endpoints = [make_endpoint(str(number)) for number in range(24)]
    assert list_considered(endpoints, [], sample_size=24) == endpoints


def test_sample_is_larger_for_short_prompts():
    assert [choose_sample_size(each) for each in (0, 4096)] == [24, 24]
    assert [choose_sample_size(each) for each in (4097, 17_000)] == [6, 6]


@pytest.mark.parametrize('sample_size', [6, 24])
@pytest.mark.parametrize('caching_count', [0, 5, 24, 60])
def test_sample_of_large_pool_is_considered(
    caching_count: int, sample_size: int
):
    endpoints = [make_endpoint(str(number)) for number in range(200)]
    caching = endpoints[:caching_count]
    considered = list_considered(endpoints, caching, sample_size)
    names = {each.name for each in considered}
    assert len(names) == len(considered)
    assert sample_size <= len(considered) <= min(caching_count, 6) + sample_size
    chosen = [each for each in caching if each.name in names]
    assert len(chosen) >= min(caching_count, 6)


def test_draining_or_foreign_caching_endpoints_are_not_considered():
    endpoints = [make_endpoint(str(number)) for number in range(100)]
    unusable = [make_endpoint('x', draining=True), make_endpoint('y', pool='q')]
    names = {each.name for each in list_considered(endpoints, unusable)}
    assert not names & {'x', 'y'}


@pytest.mark.parametrize(
    ('weights', 'expected'),
    [
        ([0], {0}),
        ([0, 0], {0}),
        ([0, 1], {1}),
        ([1, 1], {0, 1}),
    ],
)
def test_pools_are_chosen_by_weight(weights: list[int], expected: set[int]):
    pools = [
        WeightedPool(pool=str(number), weight=weight)
        for number, weight in enumerate(weights)
    ]
    seen = {int(pick_pool(pools)) for _draw in range(200)}
    assert seen == expected


@pytest.mark.parametrize(
    ('stop_s', 'serve_ms', 'end_ms'),
    [(8, 2600, 7300), (3.3, 2600, 2600), (1, 300, 300)],
)
def test_planned_stop_serves_first_and_ends_in_time(
    stop_s: float,
    serve_ms: int,
    end_ms: int,
):
    schedule = StopSchedule(stop_s=stop_s)
    assert (schedule.serve_ms, schedule.end_ms) == (serve_ms, end_ms)
