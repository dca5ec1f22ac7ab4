"""Refusals of requests and prompts that crash endpoints."""

from __future__ import annotations

import pytest

from wingfall.errors import RunState
from wingfall.gateway.model.fingerprint import make_part_fingerprint
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.rules.admission.refusals import refuse_blocked

PART = PromptPart(part_id='5c1e07a2', tokens=800)


@pytest.mark.parametrize(
    ('run', 'status', 'retry_after_ms'),
    [(RunState.not_run, 503, 4000), (RunState.unknown, 502, None)],
)
def test_refusal_for_a_prompt_part_names_it(
    run: RunState, status: int, retry_after_ms: int | None
):
    refusal = refuse_blocked(run, 4000, PART)
    assert (refusal.status, refusal.run) == (status, run)
    assert refusal.retry_after_ms == retry_after_ms
    assert refusal.code == 'prompt_part_crashes_endpoints'
    assert '5c1e07a2' in refusal.message
    assert refusal.cause == make_part_fingerprint(PART).hex()


def test_refusal_for_a_request_names_no_part():
    refusal = refuse_blocked(RunState.not_run, 4000)
    assert refusal.code == 'request_crashes_endpoints'
    assert refusal.cause is None


def test_long_id_of_a_part_is_cut_in_the_message():
    part = PromptPart(part_id='a' * 5000, tokens=1)
    assert len(refuse_blocked(RunState.not_run, 4000, part).message) < 200
