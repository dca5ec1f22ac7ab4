"""Runs steps whose exceptions must end neither the process nor other steps."""

from __future__ import annotations

from typing import Callable

from wingfall.log import part_logger


def run_guarded(part: str, name: str, step: Callable[[], object]) -> bool:
    """Run a step and log its exception, if there is one.

    :param part: part that the step belongs to, for the log.
    :param name: name of the step, for the log.
    :param step: the step.
    :returns: whether it ended without an exception.
    """
    try:
        step()
    except Exception:
        part_logger(part).exception('%s failed.', name)
        return False
    return True


def run_steps(part: str, **steps: Callable[[], object]) -> None:
    """Run steps one after another; one that fails is logged and passed over.

    :param part: part that the steps belong to, for the log.
    :param steps: the steps by their names.
    """
    for name, step in steps.items():
        run_guarded(part, name, step)
