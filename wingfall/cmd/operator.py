"""What the operators' commands share: the platform and their exit codes."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from wingfall.metrics import Metrics
from wingfall.object_api.client import HttpObjectApi

if TYPE_CHECKING:
    from wingfall.object_api.edit import Confirmed

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
PLATFORM_VARIABLE: Final = 'WINGFALL_PLATFORM'

_TIMEOUT_MS: Final = 5000


def open_platform(url: str | None) -> Result[HttpObjectApi, str]:
    """Open the platform's object API.

    :param url: base URL, by default from the environment.
    :returns: the API, or what is missing.
    """
    found = url or os.environ.get(PLATFORM_VARIABLE)
    if not found:
        return Failure(f'give --platform URL, or set {PLATFORM_VARIABLE}')
    return Success(
        HttpObjectApi(url=found, timeout_ms=_TIMEOUT_MS, metrics=Metrics()),
    )


def report(name: str, outcome: Result[Confirmed, str]) -> int:
    """Print the outcome of a change.

    :param name: kind and name of the object.
    :param outcome: the outcome.
    :returns: the exit code.
    """
    if isinstance(outcome, Success):
        confirmed = outcome.unwrap()
        say(f'{name}: {confirmed.change}, version {confirmed.version}')
        return EXIT_DONE
    return refuse(outcome.failure())


def refuse(reason: str) -> int:
    """Print why something was not done.

    :param reason: the reason.
    :returns: the exit code.
    """
    sys.stderr.write(f'{reason}\n')
    return EXIT_REFUSED


def say(line: str) -> None:
    """Print a line.

    :param line: the line.
    """
    sys.stdout.write(f'{line}\n')
