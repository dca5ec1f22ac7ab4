"""The figures of a load run: attainment, goodput, wasted work."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from tools.caller import Outcome
    from tools.traffic import Arrival

_LONGEST_MS: Final = 60_000
_US: Final = 1000
_EVENT: Final = b'data: {"id"'


def summarize(
    outcomes: list[Outcome],
    arrivals: list[Arrival],
    runs: dict[str, list[dict[str, Any]]],
) -> dict[str, Any]:
    """Work out the figures of a run.

    :param outcomes: what came of each arrival.
    :param arrivals: the arrivals.
    :param runs: runs by request id.
    :returns: the figures.
    """
    groups = collections.defaultdict(list)
    for outcome, arrival in zip(outcomes, arrivals, strict=True):
        groups[arrival.traffic].append(outcome)
    offered = sum(arrival.traffic.worth for arrival in arrivals)
    on_time = [
        arrival
        for outcome, arrival in zip(outcomes, arrivals, strict=True)
        if outcome.on_time
    ]
    good = sum(arrival.traffic.worth for arrival in on_time)
    engine_good = sum(
        arrival.traffic.worth for arrival in on_time if arrival.tokens
    )
    made = sum(_tokens_made(listed) for listed in runs.values())
    delivered = sum(
        outcome.body.count(_EVENT) for outcome in outcomes if outcome.whole
    )
    lowest = max(groups, key=lambda traffic: traffic.tier)
    return {
        'classes': {
            traffic.name: _class_figures(group)
            for traffic, group in groups.items()
        },
        'attainment_by_worth': round(good / offered, 4),
        'goodput_worth': round(good, 1),
        'engine_goodput_worth': round(engine_good, 1),
        'goodput': len(on_time),
        'tokens_made': made,
        'tokens_wasted': made - delivered,
        'doubled': sum(len(listed) > 1 for listed in runs.values()),
        'longest_wait_lowest_ms': max(
            (round(outcome.first_ms) for outcome in groups[lowest]),
            default=0,
        ),
    }


def print_figures(name: str, figures: dict[str, Any]) -> None:
    """Print the figures of a policy.

    :param name: its name.
    :param figures: the figures.
    """
    print(
        f'  {name:<20} attainment {figures["attainment_by_worth"]:.3f}  '
        f'goodput {figures["goodput"]:>5} worth '
        f'{figures["goodput_worth"]:>7}  wasted tokens '
        f'{figures["tokens_wasted"]:>6} of {figures["tokens_made"]:>6}  '
        f'doubled {figures["doubled"]}  inversions {figures["inversions"]}  '
        f'longest wait {figures["longest_wait_lowest_ms"]} ms',
    )
    for class_name, row in figures['classes'].items():
        print(
            f'    {class_name:<12} sent {row["sent"]:>5}  '
            f'on time {row["on_time"]:>5} ({row["attainment"]:.3f})  '
            f'late {row["late"]:>4}  refused {row["refused"]:>5}  '
            f'broken {row["broken"]:>4}  first p50 {row["first_p50_ms"]:>7} '
            f'p99 {row["first_p99_ms"]:>7} ms',
            flush=True,
        )


def _class_figures(group: list[Outcome]) -> dict[str, Any]:
    histogram = HdrHistogram(1, _LONGEST_MS * _US, 3)
    for outcome in group:
        if outcome.whole:
            histogram.record_value(max(1, int(outcome.first_ms * _US)))
    on_time = sum(outcome.on_time for outcome in group)
    whole = sum(outcome.whole for outcome in group)
    refused = sum(outcome.run == 'not_run' for outcome in group)
    return {
        'sent': len(group),
        'on_time': on_time,
        'attainment': round(on_time / len(group), 4),
        'late': whole - on_time,
        'refused': refused,
        'broken': len(group) - whole - refused,
        'first_p50_ms': histogram.get_value_at_percentile(50) / _US,
        'first_p99_ms': histogram.get_value_at_percentile(99) / _US,
    }


def _tokens_made(listed: list[dict[str, Any]]) -> int:
    return sum(run.get('tokens', 0) for run in listed)
