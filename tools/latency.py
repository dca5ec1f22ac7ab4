"""``make latency``: what router and agent add to an idle system's answers.

The same short streamed request goes in turn straight to the engine stand-in
and through router and agent; compared is the time to the first byte.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import pathlib
import sys
import tempfile
from typing import Final

from hdrh.histogram import HdrHistogram

from tools.caller import Ask, Caller
from tools.fleet import HOST, Fleet
from wingfall.objects.customer import hash_key

_KEY: Final = 'latency-key'
_US: Final = 1000
_LONGEST_US: Final = 60_000_000
_WARM_UP: Final = 50


def _start(fleet: Fleet) -> list[str]:
    platform = fleet.start_standin('platform', 'platform')
    engine = fleet.start_standin(
        'engine',
        'engine',
        '--prefill-ms=0',
        '--token-ms=0',
    )
    agent = fleet.start_agent('engine', engine)
    for kind, name, spec in (
        ('RequestClass', 'plain', {'tier': 0, 'timeout_ms': 10_000}),
        ('Customer', 'latency', {'key_hashes': [hash_key(_KEY)]}),
        (
            'Endpoint',
            'engine',
            {
                'address': f'{HOST}:{agent.port}',
                'zone': 'local',
                'type': 'engine',
                'models': ['m'],
            },
        ),
    ):
        metadata = {'name': name}
        fleet.put_object(
            platform,
            {'kind': kind, 'metadata': metadata, 'spec': spec},
        )
    router = fleet.start_router('router', platform)
    fleet.wait_links(router, 1)
    return [engine.url, router.url]


def measure(urls: list[str], requests: int) -> list[HdrHistogram]:
    """Ask in turn.

    :param urls: base URLs.
    :param requests: how often to ask each.
    :returns: times to the first byte in microseconds, by URL.
    """
    caller = Caller(connections=len(urls))
    histograms = [HdrHistogram(1, _LONGEST_US, 3) for _url in urls]
    for number in range(requests + _WARM_UP):
        for url, histogram in zip(urls, histograms, strict=True):
            outcome = caller.send(
                Ask(
                    url=f'{url}/v1/chat/completions',
                    key=_KEY,
                    class_name='plain',
                    payload={'model': 'm', 'stream': True, 'max_tokens': 2},
                    target={},
                ),
            )
            if not outcome.whole:
                raise RuntimeError(f'{url} answered {outcome.status}')
            if number >= _WARM_UP:
                histogram.record_value(int(outcome.first_ms * _US))
    return histograms


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=1000)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=pathlib.Path(folder))
        try:
            direct, through = measure(_start(fleet), chosen.requests)
        finally:
            fleet.stop()
    for percentile in (50, 99):
        alone = direct.get_value_at_percentile(percentile) / _US
        both = through.get_value_at_percentile(percentile) / _US
        print(
            f'first byte p{percentile}: direct {alone:.2f} ms, through router '
            f'and agent {both:.2f} ms, added {both - alone:.2f} ms, '
            f'ratio {both / alone:.2f}',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
