"""``make faults``: the fault matrix as a grid, and docs/FAULTS.md."""

from __future__ import annotations

import pathlib
import sys
from typing import Final, final

import pytest

_PAGE: Final = pathlib.Path('docs/FAULTS.md')
_STEPS: Final = (
    'accept',
    'class chosen',
    'offer sent',
    'granted',
    'run sent',
    'first byte',
    'mid-stream',
    'end',
    'key replay',
    'object write',
    'watch event',
    'peer fetch',
    'restart',
    'leaving noticed',
    'draining',
    'exit',
    'lease taken',
    'lease renewed',
    'order sent',
    'order received',
)
_MEANINGLESS: Final = {
    'class chosen': 'nothing outside the router shows it; accept and offer '
    'sent lie on its two sides',
}
_NOT_BUILT: Final = 'leases, fences and placement are not built'
_NO_CELL: Final = '-'
_INTRODUCTION: Final = """# Fault matrix

Made by `make faults`. Faults are placed by the stand-ins, by signals to real
processes, and by relays that read the frames between routers and agents. One
checker (`tests/invariants.py`) compares what callers got with the endpoints'
ledgers, and versions with the platform's.

`passed`; `RED`; `-`: no such cell. The faults of the configuration steps have
no meaning at the steps of a request (a lost answer to a write, a watch gap),
and an agent's or engine's have none at a configuration step: agents never
read the platform.
"""


@final
class _Grid:
    """Collects the verdict of each cell as a plugin of pytest."""

    def __init__(self) -> None:
        """Start empty."""
        self.cells: dict[tuple[str, str], str] = {}
        self._names: dict[str, tuple[str, str]] = {}

    def pytest_collection_modifyitems(
        self,
        items: list[pytest.Item],  # noqa: WPS110
    ) -> None:
        """Note which cell each test is.

        :param items: the tests.
        """
        for test in items:
            spec = getattr(test, 'callspec', None)
            named = spec.params if spec else {}
            plain = test.name.partition('[')[0].removeprefix('test_')
            step = named.get('step', plain.replace('_', ' '))
            fault = named.get('fault', 'two operators racing')
            if plain == 'key_replay':
                step = 'key replay'
            if plain == 'object_write_by_two_operators':
                step = 'object write'
            self._names[test.nodeid] = (step, fault)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take the end of one phase of a test.

        :param report: what pytest tells.
        """
        cell = self._names[report.nodeid]
        if report.failed:
            self.cells[cell] = 'RED'
        elif report.when == 'call':
            self.cells.setdefault(cell, 'passed')

    def render(self) -> str:
        """Write the grid.

        :returns: a table in Markdown, faults by steps.
        """
        faults = sorted({fault for _step, fault in self.cells})
        steps = [
            step
            for step in _STEPS
            if any(cell[0] == step for cell in self.cells)
        ]
        lines = [
            f'| fault | {" | ".join(steps)} |',
            f'|---|{"---|" * len(steps)}',
        ]
        for fault in faults:
            row = [self.cells.get((step, fault), _NO_CELL) for step in steps]
            lines.append(f'| {fault} | {" | ".join(row)} |')
        return '\n'.join(lines)


def main() -> int:
    """Run the matrix.

    :returns: the exit code.
    """
    grid = _Grid()
    code = int(
        pytest.main(['-q', 'tests/faults', *sys.argv[1:]], plugins=[grid])
    )
    table = grid.render()
    without = [
        f'- {step}: {_MEANINGLESS.get(step, _NOT_BUILT)}.'
        for step in _STEPS
        if all(cell[0] != step for cell in grid.cells)
    ]
    verdicts = list(grid.cells.values())
    last = (
        f'faults: {len(verdicts)} cells, {verdicts.count("passed")} passed, '
        f'{verdicts.count("RED")} failed'
    )
    if len(sys.argv) == 1:
        parts = (
            _INTRODUCTION,
            table,
            '\nSteps without cells:\n',
            '\n'.join(without),
            f'\n{last}\n',
        )
        _PAGE.write_text('\n'.join(parts), 'utf-8')
    print(table)
    print('\n'.join(without))
    print(last)
    return code


if __name__ == '__main__':
    sys.exit(main())
